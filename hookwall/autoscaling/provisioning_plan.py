"""What to provision, for the waiting jobs and ahead of need.

Planning sends no requests to other services, and modifies nothing but the resource requests that it is given.

Invariant: a plan uses each incoming machine once, and takes no more machines from a pool than one provisioning request
can contain.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from hookwall.autoscaling.capacity import Capacity, MachinePool
from hookwall.autoscaling.demand import Demand
from hookwall.autoscaling.pool_backoff import PoolBackoff
from hookwall.jobs.job_errors import JobOperation
from hookwall.scheduling.round_state import provisioning_order
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import (
    CAPACITY_TOLERANCE,
    ROUNDING_TOLERANCE,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

MAX_MACHINES_PER_REQUEST = 50
# A pool does not replace a cheaper one of the same type if its machines cost more than this many times as much.
MAX_PRICE_RATIO = 2.5

ProvisioningPlan = dict[MachinePool, int]  # number of machines by pool, in the order of the requests


class ProvisioningPlanner:
    """Decides what to provision, based on the need, the capacity and the open pools."""

    def __init__(
        self,
        fleet: Fleet,
        scheduler: Scheduler,
        capacity: Capacity,
        demand: Demand,
        backoff: PoolBackoff,
        relocation_requests: Callable[[], Iterable[ResourceRequest]],
    ) -> None:
        """`relocation_requests` returns the requests of tasks that must move before machines under drain are empty."""
        self.fleet = fleet
        self.scheduler = scheduler
        self.capacity = capacity
        self.demand = demand
        self.backoff = backoff
        self.relocation_requests = relocation_requests

    def available_pools(self, now: float) -> list[MachinePool]:
        """Return the pools that may have machines now.

        The cheapest pools come first, and among equally expensive ones those with the fewest machines.
        """
        return self._cheapest_first(self._open_pools(now), self.capacity.machine_count_by_pool())

    def _open_pools(self, now: float) -> list[MachinePool]:
        """Return all pools of the catalog that are not closed."""
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
        """Plan what to provision for the waiting jobs in addition to the incoming machines."""
        packing = _Packing(self.capacity, self._open_pools(now), self.capacity.incoming_machines(now))
        for queued in provisioning_order(self.scheduler.waiting):
            if queued.job.spec is None:
                continue
            try:
                packing.add(self.scheduler.resource_request(queued.job, queued.count))
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self.fleet.table.errors.record(queued.job.job_id, JobOperation.PLAN_MACHINES)
        for request in self.relocation_requests():
            packing.add(request)
        return dict(packing.planned)

    def plan_standby(self, now: float) -> ProvisioningPlan:
        """Plan what to provision ahead of need, once the waiting jobs need no further machines."""
        targets = self.demand.targets
        on_demand, total = self.capacity.machine_counts(now)
        target_total = targets.total_for(on_demand)
        plan: ProvisioningPlan = {}
        pools = self.available_pools(now)
        cheapest_price = self._cheapest_price_by_type(pools)
        for on_demand_only in (True, False):
            for pool in pools:
                if on_demand_only and pool.spot:
                    continue
                too_expensive = self.capacity.hourly_price(pool) > MAX_PRICE_RATIO * cheapest_price[pool.type]
                if not on_demand_only and too_expensive:
                    continue
                shortfall = (targets.on_demand - on_demand) if on_demand_only else (target_total - total)
                count = min(int(shortfall + ROUNDING_TOLERANCE), MAX_MACHINES_PER_REQUEST)
                if count <= 0:
                    continue
                plan[pool] = plan.get(pool, 0) + count
                total += count
                if not pool.spot:
                    on_demand += count
                    target_total = targets.total_for(on_demand)
        return plan

    def _cheapest_price_by_type(self, pools: Iterable[MachinePool]) -> dict[int, float]:
        cheapest_price: dict[int, float] = {}
        for pool in pools:
            cheapest_price[pool.type] = min(cheapest_price.get(pool.type, math.inf), self.capacity.hourly_price(pool))
        return cheapest_price


class _Packing:
    """Packs requests onto incoming machines, and plans new machines for the remaining tasks."""

    def __init__(self, capacity: Capacity, pools: list[MachinePool], incoming: list[FreeCapacity]) -> None:
        self.capacity = capacity
        self.pools = pools
        self.counts = capacity.machine_count_by_pool()
        self.incoming = incoming
        # Excludes machines whose GPUs earlier requests have used up, so that they are not checked again.
        self.incoming_with_gpus = [machine for machine in incoming if machine.gpus > CAPACITY_TOLERANCE]
        self.planned: Counter[MachinePool] = Counter()

    def add(self, request: ResourceRequest) -> None:
        """Find capacity for all tasks of a request, as far as the pools may have it."""
        remaining = self._pack(request)
        while remaining > 0:
            pool = self._choose_pool(request, remaining)
            # Once the planned machines of the pool fill a provisioning request, the remaining tasks are left to the
            # next plan instead of being planned on machines of a more expensive pool.
            if pool is None or self.planned[pool] >= MAX_MACHINES_PER_REQUEST:
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
        """Pack the tasks onto incoming machines; return how many tasks are left."""
        remaining = request.count
        machines = self.incoming
        if request.gpus > 0:
            machines = [machine for machine in self.incoming_with_gpus if machine.gpus > CAPACITY_TOLERANCE]
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
        """Return the cheapest pool whose machines can hold a task, or None.

        Equally cheap pools are used evenly, which spreads the machines over the zones. A zone without capacity then
        costs one refused request, but does not prevent the start.
        """
        for pool in sorted(self.pools, key=self._by_price_and_use):
            machine = self.capacity.empty_machine(pool)
            fits = min(remaining, placeable_task_count(request, machine)) > 0
            if fits and satisfies_constraints(request, machine):
                return pool
        return None

    def _by_price_and_use(self, pool: MachinePool) -> tuple[float, int, MachinePool]:
        return self.capacity.hourly_price(pool), self.counts[pool] + self.planned[pool], pool
