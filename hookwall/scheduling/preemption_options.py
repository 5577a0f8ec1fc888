"""Where capacity could be freed for a job, and at what cost; computed once per round for all jobs with equal requests.

Invariant: finding options changes neither the fleet nor the round's free capacity.
"""

from collections.abc import Callable

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.scheduling.round_state import PreemptionKey, PreemptionOption, RoundState, Victim
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import FreeCapacity, ResourceRequest, placeable_task_count, satisfies_constraints

MIN_USEFUL_RUN_S = 30.0  # a task is of use to its user only if it runs for at least this long
REFETCH_COST_S_PER_GB = 0.2  # per GB of images that other jobs would have to fetch again
GANG_COST_S_PER_TASK = 30.0  # per task of a stopped gang, whose restart needs capacity for all its tasks at once
MAX_KEY_TASK_COUNT = 8  # arrays that request this many tasks or more share their options


def preemption_cost_s(job: Job, allocation: Allocation, now: float) -> float:
    """Return the cost of stopping an allocation, in seconds of lost time."""
    spec = job.spec
    if spec is None:
        return 0.0
    cost_s = 1.0 + spec.checkpoint_cost_s
    ran_s = now - allocation.running_since if allocation.running_since >= 0 else 0.0
    if spec.checkpoint_interval_s <= 0:
        cost_s += ran_s
    if allocation.running_since >= 0 and ran_s < MIN_USEFUL_RUN_S:
        # A task that is stopped this early was of no use: its user still waits.
        cost_s += MIN_USEFUL_RUN_S - ran_s
    if spec.gang:
        # All tasks of the gang stop, and to start again it needs capacity for all of them at once.
        cost_s += GANG_COST_S_PER_TASK * len(job.allocations)
    return cost_s


def preemption_key(job: Job, request: ResourceRequest, within_guarantee: bool) -> PreemptionKey:
    """Return all values that determine the options for a job."""
    return PreemptionKey(
        job.rank,
        within_guarantee,
        job.team_index if within_guarantee else -1,
        request.gang,
        request.count if request.gang else min(request.count, MAX_KEY_TASK_COUNT),
        request.cpus,
        request.gpus,
        request.memory,
        request.types,
        request.zone,
        request.spot,
    )


def find_options(
    request: ResourceRequest, state: RoundState, fleet: Fleet, may_stop: Callable[[Job], bool], now: float
) -> list[PreemptionOption]:
    """Return the cheapest option on each unreserved machine where stopping tasks frees capacity for a task."""
    options: list[PreemptionOption] = []
    for index, machine in state.machines.items():
        if index in state.reserved_for or not satisfies_constraints(request, machine):
            continue
        stoppable = [
            (job, allocation)
            for job, allocation in fleet.machines_by_index[index].allocations.values()
            if allocation.stop_grace_s is None and not allocation.finished and may_stop(job)
        ]
        if not stoppable:
            continue
        victims, freed = _choose_victims(request, machine, stoppable, now)
        if freed > 0:
            per_task_s = sum(preemption_cost_s(job, allocation, now) for job, allocation in victims) / freed
            cost_s = per_task_s + REFETCH_COST_S_PER_GB * machine.on_demand_image_gb
            options.append(PreemptionOption(cost_s, index, freed, victims))
    return options


def _choose_victims(
    request: ResourceRequest, machine: FreeCapacity, stoppable: list[Victim], now: float
) -> tuple[list[Victim], int]:
    """Return the cheapest victims that free capacity for a task or more, and for how many tasks they free it."""
    cheapest_first = sorted(
        stoppable,
        key=lambda victim: (-victim[0].rank, preemption_cost_s(victim[0], victim[1], now), -victim[1].created_at),
    )
    projected = FreeCapacity(
        machine.index, machine.type, machine.zone, machine.spot, machine.cpus, machine.gpus, machine.memory
    )
    placeable_before = placeable_task_count(request, projected)
    freed = 0
    victim_count = 0
    for position, (job, _) in enumerate(cheapest_first):
        assert job.spec is not None
        projected.cpus += job.spec.cpus
        projected.gpus += job.spec.gpus
        projected.memory += job.spec.memory_gb
        placeable = placeable_task_count(request, projected) - placeable_before
        if placeable > freed:
            freed = placeable
            victim_count = position + 1
            if freed >= request.count:
                break
    return cheapest_first[:victim_count], freed
