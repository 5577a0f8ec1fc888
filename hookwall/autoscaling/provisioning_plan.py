"""What to provision: for the jobs that wait, and ahead of need. Asks nobody and changes nothing but the requests.

Invariant: the plan counts on each incoming machine once, and asks a pool for no more than one request can bring.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from hookwall.autoscaling.capacity import Capacity, MachinePool
from hookwall.autoscaling.demand import Demand
from hookwall.autoscaling.pool_backoff import PoolBackoff
from hookwall.scheduling.round_state import provisioning_order
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import (
    EPSILON,
    ROUNDING,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

MAX_PER_REQUEST = 50
MAX_PRICE_RATIO = 2.5  # a pool is no substitute for another that costs so much less

ProvisioningPlan = dict[MachinePool, int]  # how many machines of each pool, in the order of requests


class ProvisioningPlanner:
    """Decides what to provision, by need, capacity and which pools are open."""

    def __init__(
        self,
        fleet: Fleet,
        scheduler: Scheduler,
        capacity: Capacity,
        demand: Demand,
        backoff: PoolBackoff,
        relocation_requests: Callable[[], Iterable[ResourceRequest]],
    ) -> None:
        """`relocation_requests`: what has to find capacity elsewhere before drained machines can be emptied."""
        self.fleet = fleet
        self.scheduler = scheduler
        self.capacity = capacity
        self.demand = demand
        self.backoff = backoff
        self.relocation_requests = relocation_requests

    def available_pools(self, now: float) -> list[MachinePool]:
        """Pools that might have machines now, cheapest first, zones with fewest machines first."""
        return self._cheapest_first(self._open_pools(now), self.capacity.machine_count_by_pool())

    def _open_pools(self, now: float) -> list[MachinePool]:
        """All pools of the catalog that are not closed."""
        pools = [
            MachinePool(type_, self.fleet.zone_names.index_of(zone), spot)
            for type_, machine_type in enumerate(self.fleet.machine_types)
            if machine_type is not None
            for zone in machine_type.zones
            for spot in (False, True)
        ]
        return [pool for pool in pools if self.backoff.is_open(pool, now)]

    def _cheapest_first(self, pools: Iterable[MachinePool], counts: Counter[MachinePool]) -> list[MachinePool]:
        return sorted(pools, key=lambda pool: (self.capacity.hourly_price(pool), counts[pool], pool))

    def plan_for_waiting_jobs(self, now: float) -> ProvisioningPlan:
        """What to provision for the jobs that wait, beyond the machines that are on their way."""
        packing = _Packing(self.capacity, self._open_pools(now), self.capacity.incoming_machines(now))
        for queued in provisioning_order(self.scheduler.waiting):
            if queued.job.spec is not None:
                packing.add(self.scheduler.resource_request(queued.job, queued.count))
        for request in self.relocation_requests():
            packing.add(request)
        return dict(packing.planned)

    def plan_standby(self, now: float) -> ProvisioningPlan:
        """What to provision ahead of need, once nothing that waits needs anything."""
        targets = self.demand.targets
        on_demand, total = self.capacity.machine_counts(now)
        target_total = targets.total_with(on_demand)
        plan: ProvisioningPlan = {}
        pools = self.available_pools(now)
        cheapest = self._cheapest_price_by_type(pools)
        for on_demand_only in (True, False):
            for pool in pools:
                if on_demand_only and pool.spot:
                    continue
                too_dear = self.capacity.hourly_price(pool) > MAX_PRICE_RATIO * cheapest[pool.type]
                if not on_demand_only and too_dear:
                    continue
                lacking = (targets.on_demand - on_demand) if on_demand_only else (target_total - total)
                count = min(int(lacking + ROUNDING), MAX_PER_REQUEST)
                if count <= 0:
                    continue
                plan[pool] = plan.get(pool, 0) + count
                total += count
                if not pool.spot:
                    on_demand += count
                    target_total = targets.total_with(on_demand)
        return plan

    def _cheapest_price_by_type(self, pools: Iterable[MachinePool]) -> dict[int, float]:
        cheapest: dict[int, float] = {}
        for pool in pools:
            cheapest[pool.type] = min(cheapest.get(pool.type, math.inf), self.capacity.hourly_price(pool))
        return cheapest


class _Packing:
    """Packs requests into incoming machines, and plans new ones for what is left."""

    def __init__(self, capacity: Capacity, pools: list[MachinePool], incoming: list[FreeCapacity]) -> None:
        self.capacity = capacity
        self.pools = pools
        self.counts = capacity.machine_count_by_pool()
        self.incoming = incoming
        # What others have filled is not looked at again.
        self.incoming_with_gpus = [machine for machine in incoming if machine.gpus > EPSILON]
        self.planned: Counter[MachinePool] = Counter()

    def add(self, request: ResourceRequest) -> None:
        """Find capacity for all tasks of a request, as far as pools can have it."""
        remaining = self._pack(request)
        while remaining > 0:
            pool = self._choose_pool(request, remaining)
            # The rest of a pool that has all that one request can bring comes with the next plan, rather
            # than from a dearer one.
            if pool is None or self.planned[pool] >= MAX_PER_REQUEST:
                return
            if request.one_zone and request.zone < 0:
                request.zone = pool.zone
            machine = self.capacity.empty_machine(pool)
            placed = min(remaining, placeable_task_count(request, machine))
            machine.allocate(request, placed)
            self.planned[pool] += 1
            self.incoming.append(machine)
            self.incoming_with_gpus.append(machine)
            remaining -= placed

    def _pack(self, request: ResourceRequest) -> int:
        """Use machines that are on their way; returns how many tasks are left."""
        remaining = request.count
        machines = self.incoming
        if request.gpus > 0:
            machines = [machine for machine in self.incoming_with_gpus if machine.gpus > EPSILON]
            self.incoming_with_gpus = machines
        for machine in machines:
            if remaining <= 0:
                break
            if satisfies_constraints(request, machine):
                placed = min(remaining, placeable_task_count(request, machine))
                machine.allocate(request, placed)
                remaining -= placed
        return remaining

    def _choose_pool(self, request: ResourceRequest, remaining: int) -> MachinePool | None:
        """The cheapest pool whose machines hold a task, or None.

        Evenly over the zones: one that has no capacity then costs one refusal, not the start.
        """
        for pool in sorted(self.pools, key=self._cheapest_and_least_used):
            machine = self.capacity.empty_machine(pool)
            fits = min(remaining, placeable_task_count(request, machine)) > 0
            if fits and satisfies_constraints(request, machine):
                return pool
        return None

    def _cheapest_and_least_used(self, pool: MachinePool) -> tuple[float, int, MachinePool]:
        return self.capacity.hourly_price(pool), self.counts[pool] + self.planned[pool], pool
