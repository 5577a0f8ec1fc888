"""Renting machines, and carrying out what is rented and returned.

Requests name themselves `hw-<token>-<n>`: the token is new with each leadership and the number with
each request, so a name is never used twice. A request without an answer is repeated under its own
name until it has one.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from hookwall.autoscaling.capacity import Hire, Pool, Supply
from hookwall.autoscaling.cloud_client import CloudClient, NoCapacity, Trouble
from hookwall.autoscaling.demand import Demand
from hookwall.autoscaling.inventory import MachineList
from hookwall.autoscaling.scale_in import Returning
from hookwall.config.platform import Params
from hookwall.protocol.cloud_messages import Catalog
from hookwall.scheduling.placement import EPS, Ask, allowed, units
from hookwall.scheduling.round_state import needy
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

MOST_PER_HIRE = 50
MOST_PER_DELETE = 100
DEAR = 2.5  # a pool is no substitute for another that costs so much less
TRIM_AFTER_S = 30.0  # a new leader lets nothing go before it has seen this much
SETTLE_S = 4.0  # a new leader first learns what there is; renting before that would double it
LOOK_S = 0.3
PLAN_EVERY_S = 1.0
CATALOG_EVERY_S = 60.0
AFTER_TROUBLE_S = 0.7
FIRST_PAUSE_S, MOST_PAUSE_S = 3.0, 30.0  # before a pool that refused is asked again


async def _no_catalog(catalog: Catalog) -> None:
    """Where nobody wants to know the machine types."""


class Renting:
    """What to rent. Decides; `run` carries it out while this node leads."""

    def __init__(
        self, params: Params, fleet: Fleet, scheduler: Scheduler, client: CloudClient, clock: Callable[[], float]
    ) -> None:
        self.fleet, self.scheduler, self.client, self.clock = fleet, scheduler, client, clock
        self.lists = MachineList(fleet, client, params.cloud, clock)
        self.supply = Supply(fleet, self.lists, clock)
        self.demand = Demand(params, fleet, scheduler, clock)
        self.returning = Returning(params, fleet, scheduler, self.supply, self.demand, clock)
        self.serial = 0
        self.closed: dict[Pool, tuple[float, float]] = {}  # pool -> (not before, pause)
        self.began_at = -1e9
        # Whether nobody can have led lately, so that there are no hires and reports to wait for.
        self.fresh: Callable[[], bool] = lambda: False
        # What has to find room elsewhere before machines that are being drained can be emptied.
        self.relocations: Callable[[], list[Ask]] = list
        self.on_catalog: Callable[[Catalog], Awaitable[None]] = _no_catalog

    def reset(self) -> None:
        """A new leadership: lists and reports tell what there is."""
        self.supply.hires.clear()
        self.closed.clear()
        self.lists.reset()
        self.demand.reset(unmeasured=not self.fresh())
        self.returning.reset()
        self.serial = 0
        self.began_at = self.clock()

    def is_gone(self, machine: str) -> bool:
        """Whether a machine that records name is known to be no more."""
        if machine in self.fleet.deleted:
            return True
        leading_s = self.clock() - self.began_at
        return machine not in self.fleet.machines and self.lists.listed_once and leading_s > 2 * self.lists.late_s

    # -- what to rent --------------------------------------------------------------------------

    def pools(self, now: float) -> list[Pool]:
        """Kinds of machine that might be had now, cheapest first, zones with fewest machines first."""
        fleet = self.fleet
        have = self.supply.by_pool()
        out: list[Pool] = []
        for i, info in enumerate(fleet.type_info):
            if info is None:
                continue
            for z in info.zones:
                for spot in (False, True):
                    pool = (i, fleet.zones.of(z), spot)
                    if now >= self.closed.get(pool, (0.0, 0.0))[0]:
                        out.append(pool)
        return sorted(out, key=lambda p: (self.supply.price(p), have.get(p, 0), p))

    def wanted(self, now: float) -> dict[Pool, int]:
        """What to rent for the jobs that wait, beyond the machines that are coming."""
        coming = self.supply.coming(now)
        pools = self.pools(now)
        have = self.supply.by_pool()
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
                for pool in sorted(pools, key=lambda p: (self.supply.price(p), have.get(p, 0) + new.get(p, 0), p)):
                    room = self.supply.full_room(pool, -1)
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
        for ask in self.relocations():
            more(ask, ask.count)
        return new

    def standby(self, now: float) -> dict[Pool, int]:
        """What to rent ahead of need, once nothing that waits needs anything."""
        t = self.demand.targets
        have_solid, have = self.supply.standing(now)
        total = t.all_with(have_solid)
        out: dict[Pool, int] = {}
        pools = self.pools(now)
        cheapest: dict[int, float] = {}
        for pool in pools:
            cheapest[pool[0]] = min(cheapest.get(pool[0], math.inf), self.supply.price(pool))
        for solid_only in (True, False):
            for pool in pools:
                if solid_only and pool[2]:
                    continue
                if not solid_only and self.supply.price(pool) > DEAR * cheapest[pool[0]]:
                    continue
                lack = (t.solid - have_solid) if solid_only else (total - have)
                n = min(int(lack + 1e-9), MOST_PER_HIRE)
                if n > 0:
                    out[pool] = out.get(pool, 0) + n
                    have += n
                    if not pool[2]:
                        have_solid += n
                        total = t.all_with(have_solid)
        return out

    # -- carrying out --------------------------------------------------------------------------

    def _log_need(self, now: float) -> None:
        """Why machines are rented and returned, in one line."""
        if log.isEnabledFor(logging.DEBUG):
            solid, total = self.supply.standing(now)
            demand, t = self.demand, self.demand.targets
            log.debug(
                "need %.0f ordinary, %.0f in all; targets %.0f, %.0f; standing %.0f, %.0f; %d jobs wait",
                demand.need_solid, demand.need_solid + demand.need_other, t.solid, t.total, solid, total,
                len(self.scheduler.waiting),
            )  # fmt: skip

    async def _hire(self, hire: Hire) -> None:
        type_ = self.fleet.types.names[hire.pool[0]]
        zone = self.fleet.zones.names[hire.pool[1]]
        try:
            names = await self.client.rent(hire.name, type_, zone, hire.pool[2], hire.count)
        except NoCapacity:
            self.supply.hires.remove(hire)
            self._close(hire.pool)
            return
        self.supply.hires.remove(hire)
        log.info("rented %d of %d %s %s%s", len(names), hire.count, type_, zone, " spot" if hire.pool[2] else "")
        if len(names) < hire.count:
            self._close(hire.pool)
        else:
            self.closed.pop(hire.pool, None)
        for name in names:
            self.fleet.machine(name, type_, zone, hire.pool[2]).listed_at = self.clock()

    def _close(self, pool: Pool) -> None:
        """Refused: ask this pool again only after a pause, which grows."""
        pause = min(MOST_PAUSE_S, self.closed.get(pool, (0.0, FIRST_PAUSE_S))[1] * 2)
        self.closed[pool] = (self.clock() + pause, pause)

    async def run(self, valid: Callable[[], bool], token: Callable[[], int]) -> None:
        """Look at need and supply every moment; rent and return."""
        last_plan = last_catalog = -1e9
        while True:
            await asyncio.sleep(LOOK_S)
            if not valid():
                continue
            try:
                if self.fleet.catalog is None or self.clock() - last_catalog > CATALOG_EVERY_S:
                    last_catalog = self.clock()
                    await self.on_catalog(await self.client.catalog())
                if not valid():
                    continue
                await self._return()
                for hire in list(self.supply.hires):
                    await self._hire(hire)
                settle_s = 0.0 if self.fresh() else SETTLE_S
                now = self.clock()
                if self.lists.listed_once and now - self.began_at >= settle_s and now - last_plan >= PLAN_EVERY_S:
                    last_plan = now
                    await self._rent(valid, token)
            except Trouble as e:
                log.debug("cloud: %s", e)
                await asyncio.sleep(AFTER_TROUBLE_S)

    async def _return(self) -> None:
        """Let go of what is beyond need and of what is of no use any more."""
        self.demand.measure(self.clock())
        if self.lists.listed_once and self.clock() - self.began_at > TRIM_AFTER_S:
            self.returning.trim(self.clock())
        gone = self.returning.to_return(self.clock())[:MOST_PER_DELETE]
        if not gone:
            return
        await self.client.delete([m.name for m in gone])
        for m in gone:
            if self.fleet.machines.get(m.name) is m:
                self.fleet.gone(m, "deleted")

    async def _rent(self, valid: Callable[[], bool], token: Callable[[], int]) -> None:
        """Rent for what waits, else ahead of need."""
        self._log_need(self.clock())
        plan = self.wanted(self.clock()) or self.standby(self.clock())
        for pool, count in plan.items():
            if not valid():
                return
            self.serial += 1
            hire = Hire(f"hw-{token()}-{self.serial}", pool, min(count, MOST_PER_HIRE))
            self.supply.hires.append(hire)
            await self._hire(hire)
