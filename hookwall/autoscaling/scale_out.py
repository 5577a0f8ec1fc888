"""Renting machines, and carrying out what is rented and returned.

Requests name themselves `hw-<token>-<n>`: the token is new with each leadership and the number with
each request, so a name is never used twice. A request without an answer is repeated under its own
name until it has one.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from hookwall.autoscaling.capacity import Capacity, Pool, ProvisioningRequest
from hookwall.autoscaling.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from hookwall.autoscaling.demand import Demand
from hookwall.autoscaling.inventory import Inventory
from hookwall.autoscaling.scale_in import ScaleIn
from hookwall.config.platform import PlatformParameters
from hookwall.protocol.cloud_messages import Catalog
from hookwall.scheduling.placement import EPSILON, ResourceRequest, placeable_task_count, satisfies_constraints
from hookwall.scheduling.round_state import provisioning_order
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

MAX_PER_REQUEST = 50
MAX_PER_DELETE = 100
MAX_PRICE_RATIO = 2.5  # a pool is no substitute for another that costs so much less
SCALE_IN_AFTER_S = 30.0  # a new leader lets nothing go before it has seen this much
SETTLE_S = 4.0  # a new leader first learns what there is; renting before that would double it
LOOK_S = 0.3
PLAN_EVERY_S = 1.0
CATALOG_EVERY_S = 60.0
AFTER_TROUBLE_S = 0.7
FIRST_PAUSE_S, MOST_PAUSE_S = 3.0, 30.0  # before a pool that refused is asked again


async def _no_catalog(catalog: Catalog) -> None:
    """Where nobody wants to know the machine types."""


class ScaleOut:
    """What to rent. Decides; `run` carries it out while this node leads."""

    def __init__(
        self,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        client: CloudClient,
        clock: Callable[[], float],
    ) -> None:
        self.fleet, self.scheduler, self.client, self.clock = fleet, scheduler, client, clock
        self.inventory = Inventory(fleet, client, params.cloud, clock)
        self.capacity = Capacity(fleet, self.inventory, clock)
        self.demand = Demand(params, fleet, scheduler, clock)
        self.scale_in = ScaleIn(params, fleet, scheduler, self.capacity, self.demand, clock)
        self.request_serial = 0
        self.refused_pools: dict[Pool, tuple[float, float]] = {}  # pool -> (not before, pause)
        self.leading_since = -1e9
        # Whether nobody can have led lately, so that there are no hires and reports to wait for.
        self.fresh: Callable[[], bool] = lambda: False
        # What has to find room elsewhere before machines that are being drained can be emptied.
        self.relocation_requests: Callable[[], list[ResourceRequest]] = list
        self.on_catalog: Callable[[Catalog], Awaitable[None]] = _no_catalog

    def reset(self) -> None:
        """A new leadership: lists and reports tell what there is."""
        self.capacity.pending_requests.clear()
        self.refused_pools.clear()
        self.inventory.reset()
        self.demand.reset(unmeasured=not self.fresh())
        self.scale_in.reset()
        self.request_serial = 0
        self.leading_since = self.clock()

    def is_gone(self, machine: str) -> bool:
        """Whether a machine that records name is known to be no more."""
        if machine in self.fleet.deleted_names:
            return True
        leading_s = self.clock() - self.leading_since
        return (
            machine not in self.fleet.machines
            and self.inventory.has_listing
            and leading_s > 2 * self.inventory.max_age_s
        )

    # -- what to rent --------------------------------------------------------------------------

    def available_pools(self, now: float) -> list[Pool]:
        """Kinds of machine that might be had now, cheapest first, zones with fewest machines first."""
        fleet = self.fleet
        have = self.capacity.machine_count_by_pool()
        out: list[Pool] = []
        for i, info in enumerate(fleet.machine_types):
            if info is None:
                continue
            for z in info.zones:
                for spot in (False, True):
                    pool = (i, fleet.zone_names.index_of(z), spot)
                    if now >= self.refused_pools.get(pool, (0.0, 0.0))[0]:
                        out.append(pool)
        return sorted(out, key=lambda p: (self.capacity.hourly_price(p), have.get(p, 0), p))

    def wanted(self, now: float) -> dict[Pool, int]:
        """What to rent for the jobs that wait, beyond the machines that are coming."""
        coming = self.capacity.incoming_machines(now)
        pools = self.available_pools(now)
        have = self.capacity.machine_count_by_pool()
        new: dict[Pool, int] = {}

        with_gpus = [r for r in coming if r.gpus > EPSILON]  # what others have filled is not looked at again

        def more(ask: ResourceRequest, left: int) -> None:
            nonlocal with_gpus
            if ask.gpus > 0:
                with_gpus = [r for r in with_gpus if r.gpus > EPSILON]
            for room in with_gpus if ask.gpus > 0 else coming:
                if left <= 0:
                    return
                if satisfies_constraints(ask, room):
                    n = min(left, placeable_task_count(ask, room))
                    room.cpus -= n * ask.cpus
                    room.gpus -= n * ask.gpus
                    room.memory -= n * ask.memory
                    left -= n
            while left > 0:
                # Evenly over the zones: one that has no room then costs one refusal, not the start.
                for pool in sorted(
                    pools, key=lambda p: (self.capacity.hourly_price(p), have.get(p, 0) + new.get(p, 0), p)
                ):
                    room = self.capacity.empty_machine(pool, -1)
                    n = min(left, placeable_task_count(ask, room))
                    if satisfies_constraints(ask, room) and n > 0:
                        break
                else:
                    return
                if new.get(pool, 0) >= MAX_PER_REQUEST:
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

        for w in provisioning_order(self.scheduler.waiting):
            if w.job.spec is not None:
                more(self.scheduler.resource_request(w.job, w.count), w.count)
        for ask in self.relocation_requests():
            more(ask, ask.count)
        return new

    def plan_standby(self, now: float) -> dict[Pool, int]:
        """What to rent ahead of need, once nothing that waits needs anything."""
        t = self.demand.targets
        have_solid, have = self.capacity.machine_counts(now)
        total = t.total_with(have_solid)
        out: dict[Pool, int] = {}
        pools = self.available_pools(now)
        cheapest: dict[int, float] = {}
        for pool in pools:
            cheapest[pool[0]] = min(cheapest.get(pool[0], math.inf), self.capacity.hourly_price(pool))
        for solid_only in (True, False):
            for pool in pools:
                if solid_only and pool[2]:
                    continue
                if not solid_only and self.capacity.hourly_price(pool) > MAX_PRICE_RATIO * cheapest[pool[0]]:
                    continue
                lack = (t.on_demand - have_solid) if solid_only else (total - have)
                n = min(int(lack + 1e-9), MAX_PER_REQUEST)
                if n > 0:
                    out[pool] = out.get(pool, 0) + n
                    have += n
                    if not pool[2]:
                        have_solid += n
                        total = t.total_with(have_solid)
        return out

    # -- carrying out --------------------------------------------------------------------------

    def _log_need(self, now: float) -> None:
        """Why machines are rented and returned, in one line."""
        if log.isEnabledFor(logging.DEBUG):
            solid, total = self.capacity.machine_counts(now)
            demand, t = self.demand, self.demand.targets
            log.debug(
                "need %.0f ordinary, %.0f in all; targets %.0f, %.0f; standing %.0f, %.0f; %d jobs wait",
                demand.on_demand_need, demand.on_demand_need + demand.spot_need, t.on_demand, t.total, solid, total,
                len(self.scheduler.waiting),
            )  # fmt: skip

    async def _hire(self, hire: ProvisioningRequest) -> None:
        type_ = self.fleet.type_names.names[hire.pool[0]]
        zone = self.fleet.zone_names.names[hire.pool[1]]
        try:
            names = await self.client.rent(hire.name, type_, zone, hire.pool[2], hire.count)
        except NoCapacityError:
            self.capacity.pending_requests.remove(hire)
            self._close(hire.pool)
            return
        self.capacity.pending_requests.remove(hire)
        log.info("rented %d of %d %s %s%s", len(names), hire.count, type_, zone, " spot" if hire.pool[2] else "")
        if len(names) < hire.count:
            self._close(hire.pool)
        else:
            self.refused_pools.pop(hire.pool, None)
        for name in names:
            self.fleet.ensure_machine(name, type_, zone, hire.pool[2]).last_listed_at = self.clock()

    def _close(self, pool: Pool) -> None:
        """Refused: ask this pool again only after a pause, which grows."""
        pause = min(MOST_PAUSE_S, self.refused_pools.get(pool, (0.0, FIRST_PAUSE_S))[1] * 2)
        self.refused_pools[pool] = (self.clock() + pause, pause)

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
                for hire in list(self.capacity.pending_requests):
                    await self._hire(hire)
                settle_s = 0.0 if self.fresh() else SETTLE_S
                now = self.clock()
                if (
                    self.inventory.has_listing
                    and now - self.leading_since >= settle_s
                    and now - last_plan >= PLAN_EVERY_S
                ):
                    last_plan = now
                    await self._rent(valid, token)
            except CloudUnavailableError as e:
                log.debug("cloud: %s", e)
                await asyncio.sleep(AFTER_TROUBLE_S)

    async def _return(self) -> None:
        """Let go of what is beyond need and of what is of no use any more."""
        self.demand.measure(self.clock())
        if self.inventory.has_listing and self.clock() - self.leading_since > SCALE_IN_AFTER_S:
            self.scale_in.drain_excess_machines(self.clock())
        gone = self.scale_in.machines_to_delete(self.clock())[:MAX_PER_DELETE]
        if not gone:
            return
        await self.client.delete([m.name for m in gone])
        for m in gone:
            if self.fleet.machines.get(m.name) is m:
                self.fleet.confirm_deletion(m, "deleted")

    async def _rent(self, valid: Callable[[], bool], token: Callable[[], int]) -> None:
        """Rent for what waits, else ahead of need."""
        self._log_need(self.clock())
        plan = self.wanted(self.clock()) or self.plan_standby(self.clock())
        for pool, count in plan.items():
            if not valid():
                return
            self.request_serial += 1
            hire = ProvisioningRequest(f"hw-{token()}-{self.request_serial}", pool, min(count, MAX_PER_REQUEST))
            self.capacity.pending_requests.append(hire)
            await self._hire(hire)
