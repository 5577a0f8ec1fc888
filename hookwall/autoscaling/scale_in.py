"""Which machines are let go: those beyond need, and those that are of no use any more."""

from collections.abc import Callable

from hookwall.autoscaling.capacity import Capacity
from hookwall.autoscaling.demand import Demand
from hookwall.config.platform import PlatformParameters
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase

KEEP_IDLE_S = 25.0


class ScaleIn:
    """Decides what to return; `renting` carries it out."""

    def __init__(
        self,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        supply: Capacity,
        demand: Demand,
        clock: Callable[[], float],
    ) -> None:
        self.params, self.fleet, self.scheduler = params, fleet, scheduler
        self.capacity, self.demand = supply, demand
        self.leading_since = -1e9
        self.clock = clock

    def reset(self) -> None:
        """A new leadership."""
        self.leading_since = self.clock()

    def drain_excess_machines(self, now: float) -> None:
        """Let go of what is beyond need: ordinary machines that hold only work for cheap ones first."""
        fleet, t = self.fleet, self.demand.targets
        solid, total = self.capacity.machine_counts(now)
        over_solid, over = solid - t.on_demand, total - t.total_with(solid)
        waits = [w.job.spec for w in self.scheduler.waiting.values() if w.job.spec is not None]
        wait_cheap = any(spec.spot for spec in waits)
        draining = [m for m in fleet.machines.values() if m.phase is MachinePhase.DRAINING]
        for m in draining:
            if wait_cheap or (waits and not m.spot) or (over_solid < -1e-6 and not m.spot) or over < -1e-6:
                fleet.transition_to(m, MachinePhase.UP, "needed again")
                over_solid += not m.spot
                over += 1
        if wait_cheap or over < 1 - 1e-6:
            return
        idle = []
        for m in fleet.machines.values():
            if (
                m.phase is not MachinePhase.UP
                or m.reserved_for
                or m.unrecorded_tasks
                or m.unresponsive
                or (waits and not m.spot)
            ):
                continue
            if m.name in fleet.cordoned:
                continue
            if m.allocations and len(fleet.machine_types) > 1:
                continue  # with several types, need in all says little about the need of this one
            if m.spot and now - m.first_heartbeat_at > KEEP_IDLE_S:
                # Also with tasks on it: spread thinly over many machines they kept all of them.
                idle.append(m)
            solid = any(j.spec is not None and not j.spec.spot for j, _ in m.allocations.values())
            if not m.spot and not solid and now - max(m.first_heartbeat_at, m.last_on_demand_work_at) > KEEP_IDLE_S:
                idle.append(m)
        # The dearest first, then those that hold and do least.
        idle.sort(
            key=lambda m: (
                -self.capacity.hourly_price((m.type, m.zone, m.spot)),
                fleet.on_demand_image_gb(m),
                len(m.allocations),
                m.index,
            )
        )
        for m in idle:
            if over < 1 - 1e-6:
                return
            if not m.spot:
                if over_solid < 1 - 1e-6:
                    continue
                over_solid -= 1
            over -= 1
            fleet.transition_to(m, MachinePhase.DRAINING, "beyond need")

    def machines_to_delete(self, now: float) -> list[Machine]:
        """Machines to delete now. They get no more work from this moment on."""
        out: list[Machine] = []
        lease = self.params.workers.lease_s
        leading = now - self.leading_since
        cut: set[int] | None = None
        for m in self.fleet.machines.values():
            if m.phase is MachinePhase.UP and not (
                m.unresponsive or m.provisioning_failed or m.may_run_cancelled_tasks or m.first_heartbeat_at < 0
            ):
                continue  # as nearly all are
            if cut is None:
                cut = self._cut_zones(now)
            info = self.fleet.machine_type(m.type)
            boot = info.boot_s if info is not None else 30.0
            why = ""
            if m.phase is MachinePhase.DELETING:
                out.append(m)
                continue
            if m.name in self.fleet.in_maintenance and not m.may_run_cancelled_tasks:
                continue  # out of service and empty: its worker may be silent for long
            if m.provisioning_failed:
                why = "it has failed"
            elif (
                m.first_heartbeat_at < 0
                and self.capacity.inventory.is_missing(m)
                and leading > self.capacity.inventory.max_age_s
            ):
                why = "it is not listed any more"
            elif m.phase is MachinePhase.BOOTING:
                if now - m.provisioned_at > 5.0 * boot and leading > 2 * lease and now - m.first_known_at > 3 * lease:
                    why = "it never came up"
            elif m.may_run_cancelled_tasks:
                why = "cancelled tasks may go on there"
            elif m.unresponsive and leading > 2 * lease and now - m.acknowledged_at > self._patience(m, cut):
                why = "its worker is silent"
            elif (
                m.phase is MachinePhase.PREEMPTION_NOTICED
                and m.preemption_at is not None
                and now > m.preemption_at + 3.0
                and m.unresponsive
            ):
                why = "the cloud has taken it"
            elif m.phase is MachinePhase.QUARANTINED and not m.allocations:
                why = "it fails its tasks"
            elif m.phase is MachinePhase.DRAINING and not m.allocations and not m.unrecorded_tasks:
                why = "empty"
            if why:
                self.fleet.transition_to(m, MachinePhase.DELETING, why)
                out.append(m)
        return out

    def _patience(self, m: Machine, cut: set[int]) -> float:
        """How long a silent machine is kept before it is deleted.

        A cheap one was most likely taken without notice. Its deletion is confirmed sooner than its
        lease is over, so its tasks go on elsewhere sooner; and if it was only cut off, they were lost
        anyway. An ordinary one is more likely to come back with its images.
        """
        lease = self.params.workers.lease_s
        if m.zone in cut or self.fleet.delegated_leases.is_delegated(m.name):
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
            if m.phase in (MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.PREEMPTION_NOTICED):
                late.setdefault(m.zone, []).append(now - m.acknowledged_at > after)
            elif m.phase is MachinePhase.BOOTING and m.unresponsive:
                late.setdefault(m.zone, []).append(True)
        return {z for z, s in late.items() if sum(s) >= 3 and 2 * sum(s) > len(s)}
