"""Which machines are let go: those beyond need, and those that are of no use any more."""

from collections.abc import Callable

from hookwall.autoscaling.capacity import Supply
from hookwall.autoscaling.demand import Demand
from hookwall.config.platform import Params
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, Phase

KEEP_IDLE_S = 25.0


class Returning:
    """Decides what to return; `renting` carries it out."""

    def __init__(
        self,
        params: Params,
        fleet: Fleet,
        scheduler: Scheduler,
        supply: Supply,
        demand: Demand,
        clock: Callable[[], float],
    ) -> None:
        self.params, self.fleet, self.scheduler = params, fleet, scheduler
        self.supply, self.demand = supply, demand
        self.began_at = -1e9
        self.clock = clock

    def reset(self) -> None:
        """A new leadership."""
        self.began_at = self.clock()

    def trim(self, now: float) -> None:
        """Let go of what is beyond need: ordinary machines that hold only work for cheap ones first."""
        fleet, t = self.fleet, self.demand.targets
        solid, total = self.supply.standing(now)
        over_solid, over = solid - t.solid, total - t.all_with(solid)
        waits = [w.job.spec for w in self.scheduler.waiting.values() if w.job.spec is not None]
        wait_cheap = any(spec.spot for spec in waits)
        draining = [m for m in fleet.machines.values() if m.phase is Phase.DRAINING]
        for m in draining:
            if wait_cheap or (waits and not m.spot) or (over_solid < -1e-6 and not m.spot) or over < -1e-6:
                fleet.become(m, Phase.UP, "needed again")
                over_solid += not m.spot
                over += 1
        if wait_cheap or over < 1 - 1e-6:
            return
        idle = []
        for m in fleet.machines.values():
            if m.phase is not Phase.UP or m.held_for or m.unrecorded or m.silent or (waits and not m.spot):
                continue
            if m.name in fleet.cordoned:
                continue
            if m.entries and len(fleet.type_info) > 1:
                continue  # with several types, need in all says little about the need of this one
            if m.spot and now - m.up_at > KEEP_IDLE_S:
                # Also with tasks on it: spread thinly over many machines they kept all of them.
                idle.append(m)
            solid = any(j.spec is not None and not j.spec.spot for j, _ in m.entries.values())
            if not m.spot and not solid and now - max(m.up_at, m.solid_at) > KEEP_IDLE_S:
                idle.append(m)
        # The dearest first, then those that hold and do least.
        idle.sort(key=lambda m: (-self.supply.price((m.type, m.zone, m.spot)), fleet.stock(m), len(m.entries), m.index))
        for m in idle:
            if over < 1 - 1e-6:
                return
            if not m.spot:
                if over_solid < 1 - 1e-6:
                    continue
                over_solid -= 1
            over -= 1
            fleet.become(m, Phase.DRAINING, "beyond need")

    def to_return(self, now: float) -> list[Machine]:
        """Machines to delete now. They get no more work from this moment on."""
        out: list[Machine] = []
        lease = self.params.workers.lease_s
        leading = now - self.began_at
        cut: set[int] | None = None
        for m in self.fleet.machines.values():
            if m.phase is Phase.UP and not (m.silent or m.failed or m.doubtful or m.up_at < 0):
                continue  # as nearly all are
            if cut is None:
                cut = self._cut_zones(now)
            info = self.fleet.info(m.type)
            boot = info.boot_s if info is not None else 30.0
            why = ""
            if m.phase is Phase.LEAVING:
                out.append(m)
                continue
            if m.name in self.fleet.maintained and not m.doubtful:
                continue  # out of service and empty: its worker may be silent for long
            if m.failed:
                why = "it has failed"
            elif m.up_at < 0 and self.supply.lists.unlisted(m) and leading > self.supply.lists.late_s:
                why = "it is not listed any more"
            elif m.phase is Phase.BOOTING:
                if now - m.rented_at > 5.0 * boot and leading > 2 * lease and now - m.known_at > 3 * lease:
                    why = "it never came up"
            elif m.doubtful:
                why = "cancelled tasks may go on there"
            elif m.silent and leading > 2 * lease and now - m.heard_us_at > self._patience(m, cut):
                why = "its worker is silent"
            elif m.phase is Phase.NOTICED and m.notice_at is not None and now > m.notice_at + 3.0 and m.silent:
                why = "the cloud has taken it"
            elif m.phase is Phase.SICK and not m.entries:
                why = "it fails its tasks"
            elif m.phase is Phase.DRAINING and not m.entries and not m.unrecorded:
                why = "empty"
            if why:
                self.fleet.become(m, Phase.LEAVING, why)
                out.append(m)
        return out

    def _patience(self, m: Machine, cut: set[int]) -> float:
        """How long a silent machine is kept before it is deleted.

        A cheap one was most likely taken without notice. Its deletion is confirmed sooner than its
        lease is over, so its tasks go on elsewhere sooner; and if it was only cut off, they were lost
        anyway. An ordinary one is more likely to come back with its images.
        """
        lease = self.params.workers.lease_s
        if m.zone in cut or self.fleet.kept.kept(m.name):
            return lease + 100.0
        return 3.2 * self.params.workers.report_s if m.spot else lease + 25.0

    def _cut_zones(self, now: float) -> set[int]:
        """Zones most of whose machines are late with a report: the network's trouble, not the machines'.

        After a cut of half a minute each of them had been deleted and was rented again. Being late is
        enough here: the first to count as silent are so two seconds before most of their zone.
        """
        late: dict[int, list[bool]] = {}
        after = 1.8 * self.params.workers.report_s
        for m in self.fleet.machines.values():
            if m.phase in (Phase.UP, Phase.DRAINING, Phase.NOTICED):
                late.setdefault(m.zone, []).append(now - m.heard_us_at > after)
            elif m.phase is Phase.BOOTING and m.silent:
                late.setdefault(m.zone, []).append(True)
        return {z for z, s in late.items() if sum(s) >= 3 and 2 * sum(s) > len(s)}
