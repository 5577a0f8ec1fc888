"""Renting and returning machines.

Requests name themselves `hw-<token>-<n>`: the token is new with each leadership and the number with
each request, so a name is never used twice. A request without an answer is repeated under its own
name until it has one.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from hookwall import wire
from hookwall.cloud_client import CloudClient, NoCapacity, Trouble
from hookwall.fleet import Fleet
from hookwall.job import OPEN, Job
from hookwall.machine import Machine, Phase
from hookwall.placement import EPS, Ask, Room, allowed, units
from hookwall.scheduler import Scheduler, needy
from hookwall.settings import Params

log = logging.getLogger("hookwall.renting")

MOST_PER_HIRE = 50
MOST_PER_DELETE = 100


SMOOTH_S = 60.0  # time constant of the smoothed arrivals
SOLID_Z = 0.8  # margin of ordinary machines, in standard deviations of need while one boots
TOTAL_Z = 0.7  # margin of all machines
FIRM_Z = 3.0  # the same where a guarantee has to start sooner than a machine boots
QUIET_S = 20.0  # without any job for this long, nothing stands ready
KEEP_IDLE_S = 25.0
TRIM_AFTER_S = 30.0  # a new leader lets nothing go before it has seen this much
DEAR = 2.5  # a pool is no substitute for another that costs so much less

Pool = tuple[int, int, bool]  # type, zone, spot


@dataclass(slots=True)
class Targets:
    """How many machines should stand ready."""

    solid: float = 0.0
    total: float = 0.0
    floor: float = 0.0  # what guarantees want to stand ready, whatever else is short


@dataclass(slots=True)
class Hire:
    """A rental request that has no final answer yet."""

    name: str
    pool: Pool
    count: int


class Renting:
    """What to rent and what to return. Decides; `run` carries it out while this node leads."""

    def __init__(
        self, params: Params, fleet: Fleet, scheduler: Scheduler, client: CloudClient, clock: Callable[[], float]
    ) -> None:
        self.params, self.fleet, self.scheduler, self.client, self.clock = params, fleet, scheduler, client, clock
        self.targets = Targets()
        self.rate_solid = self.rate_other = 0.0  # arrivals, in machines a second
        self.need_solid = self.need_other = 0.0
        self.counted: set[str] = set()
        self.unmeasured = False
        self.measured_at = self.busy_at = -1e9
        self.serial = 0
        self.hires: list[Hire] = []
        self.closed: dict[Pool, tuple[float, float]] = {}  # pool -> (not before, pause)
        self.listed_once = False
        self.listed_at = -1e9
        self.list_late_s = 2.0 * params.cloud.list_lag_s + 1.0  # no list is older than this
        self.began_at = -1e9
        # Whether nobody can have led lately, so that there are no hires and reports to wait for.
        self.fresh: Callable[[], bool] = lambda: False
        # Whether nothing can be accepted or stored now, so that need seems to fall and will come back.
        self.stuck: Callable[[], bool] = lambda: False

    def reset(self) -> None:
        """A new leadership: lists and reports tell what there is."""
        self.hires.clear()
        self.closed.clear()
        self.listed_once, self.listed_at = False, -1e9
        self.targets = Targets()
        self.unmeasured = not self.fresh()
        self.rate_solid = self.rate_other = 0.0
        self.counted.clear()
        self.measured_at = self.busy_at = self.clock()
        self.serial = 0
        self.began_at = self.clock()

    # -- what there is -------------------------------------------------------------------------

    def take_list(self, listed: list[wire.Listed], now: float) -> None:
        """Take in a machine list, which may be older than the one before."""
        fleet = self.fleet
        for item in listed:
            if item.name in fleet.deleted:
                continue
            m = fleet.machines.get(item.name)
            fresh = m is None
            m = fleet.machine(item.name, item.type, item.zone, item.spot)
            if fresh:
                m.rented_at = now - item.age_s
                m.known_at = now if item.phase != "booting" else m.rented_at
            m.listed_at = now
            if item.phase == "running" and m.ran_at < 0:
                m.ran_at = now
            if item.phase == "failed":
                m.failed = True
        self.listed_once, self.listed_at = True, now

    # -- renting -------------------------------------------------------------------------------

    def price(self, pool: Pool) -> float:
        info = self.fleet.info(pool[0])
        return 1e9 if info is None else (info.spot_price if pool[2] else info.price)

    def _have(self) -> dict[Pool, int]:
        have: dict[Pool, int] = {}
        for m in self.fleet.machines.values():
            pool = (m.type, m.zone, m.spot)
            have[pool] = have.get(pool, 0) + 1
        return have

    def pools(self, now: float) -> list[Pool]:
        """Kinds of machine that might be had now, cheapest first, zones with fewest machines first."""
        fleet = self.fleet
        have = self._have()
        out: list[Pool] = []
        for i, info in enumerate(fleet.type_info):
            if info is None:
                continue
            for z in info.zones:
                for spot in (False, True):
                    pool = (i, fleet.zones.of(z), spot)
                    if now >= self.closed.get(pool, (0.0, 0.0))[0]:
                        out.append(pool)
        return sorted(out, key=lambda p: (self.price(p), have.get(p, 0), p))

    def _full_room(self, pool: Pool, index: int) -> Room:
        info = self.fleet.info(pool[0])
        assert info is not None
        return Room(index, pool[0], pool[1], pool[2], info.cpus, info.gpus, info.memory, self.price(pool))

    def unlisted(self, m: Machine) -> bool:
        """Whether the lists have lacked the machine for so long that it must be gone.

        A new leader's records name machines that were taken meanwhile. They counted as standing, and as
        ordinary ones at that, so nothing was rented in their place until they were deleted.
        """
        return self.listed_at - m.listed_at > self.list_late_s

    def _expected(self, m: Machine, now: float) -> bool:
        """Whether a machine that has not reported yet may be counted on."""
        return m.phase is Phase.BOOTING and not (m.silent or self.overdue(m, now) or self.unlisted(m))

    def overdue(self, m: Machine, now: float) -> bool:
        """Whether a booting machine should no longer be counted on."""
        info = self.fleet.info(m.type)
        return m.phase is Phase.BOOTING and now - m.rented_at > 2.5 * (info.boot_s if info else 30.0)

    def coming(self, now: float) -> list[Room]:
        """Machines that are on their way."""
        rooms: list[Room] = []
        for m in self.fleet.machines.values():
            if self._expected(m, now) and self.fleet.info(m.type) is not None:
                rooms.append(self._full_room((m.type, m.zone, m.spot), m.index))
        for h in self.hires:
            rooms.extend(self._full_room(h.pool, -1) for _ in range(h.count))
        return rooms

    def wanted(self, now: float) -> dict[Pool, int]:
        """What to rent for the jobs that wait, beyond the machines that are coming."""
        coming = self.coming(now)
        pools = self.pools(now)
        have = self._have()
        new: dict[Pool, int] = {}

        with_gpus = [r for r in coming if r.gpus > EPS]  # what others have filled is not looked at again

        def more(ask: Ask, left: int) -> None:
            nonlocal with_gpus
            if ask.gpus > 0:
                with_gpus = [r for r in with_gpus if r.gpus > EPS]
            for room in with_gpus if ask.gpus > 0 else coming:
                if left <= 0:
                    return
                if allowed(ask, room):
                    n = min(left, units(ask, room))
                    room.cpus -= n * ask.cpus
                    room.gpus -= n * ask.gpus
                    room.memory -= n * ask.memory
                    left -= n
            while left > 0:
                # Evenly over the zones: one that has no room then costs one refusal, not the start.
                for pool in sorted(pools, key=lambda p: (self.price(p), have.get(p, 0) + new.get(p, 0), p)):
                    room = self._full_room(pool, -1)
                    n = min(left, units(ask, room))
                    if allowed(ask, room) and n > 0:
                        break
                else:
                    return
                if new.get(pool, 0) >= MOST_PER_HIRE:
                    return  # the rest with the next plan, rather than of a dearer kind
                if ask.one_zone and ask.zone < 0:
                    ask.zone = pool[1]
                new[pool] = new.get(pool, 0) + 1
                room.cpus -= n * ask.cpus
                room.gpus -= n * ask.gpus
                room.memory -= n * ask.memory
                coming.append(room)
                with_gpus.append(room)
                left -= n

        for w in needy(self.scheduler.waiting):
            if w.job.spec is not None:
                more(self.scheduler.ask(w.job, w.count), w.count)
        return new

    def standby(self, now: float) -> dict[Pool, int]:
        """What to rent ahead of need, once nothing that waits needs anything."""
        t = self.targets
        have_solid, have = self.standing(now)
        total = self._total(have_solid)
        out: dict[Pool, int] = {}
        pools = self.pools(now)
        cheapest: dict[int, float] = {}
        for pool in pools:
            cheapest[pool[0]] = min(cheapest.get(pool[0], math.inf), self.price(pool))
        for solid_only in (True, False):
            for pool in pools:
                if solid_only and pool[2]:
                    continue
                if not solid_only and self.price(pool) > DEAR * cheapest[pool[0]]:
                    continue
                lack = (t.solid - have_solid) if solid_only else (total - have)
                n = min(int(lack + 1e-9), MOST_PER_HIRE)
                if n > 0:
                    out[pool] = out.get(pool, 0) + n
                    have += n
                    if not pool[2]:
                        have_solid += n
                        total = self._total(have_solid)
        return out

    # -- how much is enough ----------------------------------------------------------------------

    def weight(self, job: Job) -> float:
        """What one task takes of a machine that it may use; whatever it uses most counts."""
        spec = job.spec
        best = 0.0
        for i, info in enumerate(self.fleet.type_info):
            if info is None or spec is None or (job.types is not None and i not in job.types):
                continue
            needs = ((spec.gpus, info.gpus), (spec.cpus, info.cpus), (spec.memory, info.memory))
            if any(need > have + 1e-9 for need, have in needs):
                continue
            share = max(need / have for need, have in needs if have > 0)
            share = 1.0 if share > 0.5 else share
            best = share if best == 0.0 else min(best, share)
        return best

    def measure(self, now: float) -> None:
        """Follow what is needed now, and how fast jobs arrive.

        A machine rented now serves after a boot and a fetch. Until then as many jobs may arrive and
        end as do on average, give or take the root of their number; that has to stand ready. When
        arrivals stop, so does the reason for it, whatever still runs.
        """
        solid = other = 0.0
        horizon = 0.0
        decay = math.exp(-min(10.0, max(0.0, now - self.measured_at)) / SMOOTH_S)
        self.measured_at = now
        if self.unmeasured and self.fleet.hints.rate_told is not None:
            # A new leader goes on from what the last one measured.
            self.rate_solid, self.rate_other = self.fleet.hints.rate_told
        self.rate_solid *= decay
        self.rate_other *= decay
        for job in self.fleet.table.open.values():
            if job.phase != OPEN or job.spec is None:
                continue
            w = self.scheduler.waiting.get(job.ref)
            count = len(job.active) + (w.count if w is not None else 0)
            n = count * self.weight(job)
            if job.spec.spot:
                other += n
            else:
                solid += n
            horizon = max(horizon, self._wait_for_machine(job))
            if job.ref not in self.counted and count:
                self.counted.add(job.ref)
                if self.unmeasured:
                    continue
                if job.spec.spot:
                    self.rate_other += n / SMOOTH_S
                else:
                    self.rate_solid += n / SMOOTH_S
        self.unmeasured = False
        self.need_solid, self.need_other = solid, other
        self.fleet.hints.rate_now = (self.rate_solid, self.rate_other)
        if solid or other:
            self.busy_at = now
        elif now - self.busy_at > QUIET_S:
            self.counted.clear()
            self.targets = Targets()
            return

        def margin(rate: float, z: float) -> float:
            return z * math.sqrt(2.0 * rate * horizon)

        floor = self.firm_floor()
        t = Targets(floor=floor)
        t.solid = solid + margin(self.rate_solid, SOLID_Z)
        t.total = solid + other + margin(self.rate_solid + self.rate_other, FIRM_Z if floor else TOTAL_Z)
        t.total = max(t.total, t.solid, floor)
        if self.stuck():
            # Users try again until they are heard. In an outage of 25 s need fell by a fifth, cheap
            # machines that were taken meanwhile were not replaced, and a queue met too few of them.
            t = Targets(max(t.solid, self.targets.solid), max(t.total, self.targets.total), floor)
        self.targets = t

    def _log_need(self, now: float) -> None:
        """Why machines are rented and returned, in one line."""
        if log.isEnabledFor(logging.DEBUG):
            solid, total = self.standing(now)
            t = self.targets
            log.debug(
                "need %.0f ordinary, %.0f in all; targets %.0f, %.0f; standing %.0f, %.0f; %d jobs wait",
                self.need_solid, self.need_solid + self.need_other, t.solid, t.total, solid, total,
                len(self.scheduler.waiting),
            )  # fmt: skip

    def _wait_for_machine(self, job: Job) -> float:
        """How long a new machine takes until it serves this job: boot and fetch."""
        best = math.inf
        for i, info in enumerate(self.fleet.type_info):
            if info is not None and job.spec is not None and (job.types is None or i in job.types):
                best = min(best, info.boot_s + self.fleet.fetch_s(i, job.spec.image_gb))
        return best if best < math.inf else 0.0

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

    def firm_floor(self) -> float:
        """A guarantee that must start sooner than a machine boots has to stand ready."""
        boot = max((i.boot_s for i in self.fleet.type_info if i is not None), default=0.0)
        if not any(o.kind == "guarantee" and (o.within_s or 1e9) < boot for o in self.params.objectives):
            return 0.0
        gpus = max((i.gpus for i in self.fleet.type_info if i is not None), default=0.0)
        cpus = max((i.cpus for i in self.fleet.type_info if i is not None), default=0.0)
        by_gpus = sum(t.gpus for t in self.params.teams) / gpus if gpus else 0.0
        by_cpus = sum(t.cpus for t in self.params.teams) / cpus if cpus else 0.0
        return max(by_gpus, by_cpus)

    def standing(self, now: float) -> tuple[int, int]:
        """(ordinary, all) machines that stand ready or are on their way."""
        solid = total = 0
        for m in self.fleet.machines.values():
            if (m.phase is Phase.UP and not m.silent) or self._expected(m, now):
                total += 1
                solid += not m.spot
        for h in self.hires:
            total += h.count
            solid += 0 if h.pool[2] else h.count
        return solid, total

    def _total(self, solid: int) -> float:
        """How many machines should stand ready, with `solid` ordinary ones.

        Ordinary machines that can't be had are not made up for by cheap ones, which the work that
        lacks them can't use: in a queue of urgent gangs half of 315 cheap machines stood idle for it.
        """
        t = self.targets
        return max(t.floor, t.total - max(0.0, t.solid - solid))

    def trim(self, now: float) -> None:
        """Let go of what is beyond need: ordinary machines that hold only work for cheap ones first."""
        fleet, t = self.fleet, self.targets
        solid, total = self.standing(now)
        over_solid, over = solid - t.solid, total - self._total(solid)
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
            if m.entries and len(fleet.type_info) > 1:
                continue  # with several types, need in all says little about the need of this one
            if m.spot and now - m.up_at > KEEP_IDLE_S:
                # Also with tasks on it: spread thinly over many machines they kept all of them.
                idle.append(m)
            solid = any(j.spec is not None and not j.spec.spot for j, _ in m.entries.values())
            if not m.spot and not solid and now - max(m.up_at, m.solid_at) > KEEP_IDLE_S:
                idle.append(m)
        # The dearest first, then those that hold and do least.
        idle.sort(key=lambda m: (-self.price((m.type, m.zone, m.spot)), fleet.stock(m), len(m.entries), m.index))
        for m in idle:
            if over < 1 - 1e-6:
                return
            if not m.spot:
                if over_solid < 1 - 1e-6:
                    continue
                over_solid -= 1
            over -= 1
            fleet.become(m, Phase.DRAINING, "beyond need")

    # -- returning -----------------------------------------------------------------------------

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
            if m.failed:
                why = "it has failed"
            elif m.up_at < 0 and self.unlisted(m) and leading > self.list_late_s:
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

    # -- carrying out --------------------------------------------------------------------------

    async def _hire(self, hire: Hire) -> None:
        type_ = self.fleet.types.names[hire.pool[0]]
        zone = self.fleet.zones.names[hire.pool[1]]
        try:
            names = await self.client.rent(hire.name, type_, zone, hire.pool[2], hire.count)
        except NoCapacity:
            self.hires.remove(hire)
            self._close(hire.pool)
            return
        self.hires.remove(hire)
        log.info("rented %d of %d %s %s%s", len(names), hire.count, type_, zone, " spot" if hire.pool[2] else "")
        if len(names) < hire.count:
            self._close(hire.pool)
        else:
            self.closed.pop(hire.pool, None)
        for name in names:
            self.fleet.machine(name, type_, zone, hire.pool[2]).listed_at = self.clock()

    def _close(self, pool: Pool) -> None:
        """Refused: ask this pool again only after a pause, which grows."""
        pause = min(30.0, self.closed.get(pool, (0.0, 3.0))[1] * 2)
        self.closed[pool] = (self.clock() + pause, pause)

    async def run(self, valid: Callable[[], bool], token: Callable[[], int]) -> None:
        """Look at the cloud every few seconds; rent and return."""
        last_list = last_plan = last_catalog = -1e9
        while True:
            await asyncio.sleep(0.3)
            if not valid():
                last_list = -1e9
                continue
            now = self.clock()
            try:
                if self.fleet.catalog is None or now - last_catalog > 60.0:
                    last_catalog = now
                    await self.on_catalog(await self.client.catalog())
                if now - last_list > (4.0 if self.listed_once else 0.5):
                    last_list = now
                    listed = await self.client.machines()
                    if valid():
                        self.take_list(listed, self.clock())
                if not valid():
                    continue
                self.measure(self.clock())
                if self.listed_once and now - self.began_at > TRIM_AFTER_S:
                    self.trim(self.clock())
                gone = self.to_return(self.clock())[:MOST_PER_DELETE]
                if gone:
                    await self.client.delete([m.name for m in gone])
                    for m in gone:
                        if self.fleet.machines.get(m.name) is m:
                            self.fleet.gone(m, "deleted")
                for hire in list(self.hires):
                    await self._hire(hire)
                # A new leader first learns what there is; renting before that would double it.
                settle = 0.0 if self.fresh() else 4.0
                if not self.listed_once or now - self.began_at < settle or now - last_plan < 1.0:
                    continue
                last_plan = now
                self._log_need(self.clock())
                plan = self.wanted(self.clock()) or self.standby(self.clock())
                for pool, count in plan.items():
                    if not valid():
                        break
                    self.serial += 1
                    hire = Hire(f"hw-{token()}-{self.serial}", pool, min(count, MOST_PER_HIRE))
                    self.hires.append(hire)
                    await self._hire(hire)
            except Trouble as e:
                log.debug("cloud: %s", e)
                await asyncio.sleep(0.7)

    on_catalog: Callable = staticmethod(lambda c: None)
