"""Placement as a pure function: heterogeneity-aware scheduling (HAS) after the Frenzy paper.

Each job has a ranked list of shapes (here: sets of machines) and uses the first one whose free GPUs suffice. Within a
shape, best fit applies: of the machines that can hold all remaining tasks, the one with the fewest idle GPUs takes
them. If no machine can hold all of them, the machine with the most idle GPUs takes as many as it can hold and the loop
repeats. See docs/design.md for what was added (CPUs, memory, zones, spot instances) and why.

Invariant: a placement exceeds no machine's free capacity and violates no constraint of the request, a gang is placed as
a whole or not at all, and the arguments are not modified.
"""

from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import NamedTuple

from hookwall.workers.resources import (
    CAPACITY_TOLERANCE,
    UNKNOWN_ZONE,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

# Includes names from `workers.resources` that other packages import together with `place`.
__all__ = [
    "CAPACITY_TOLERANCE",
    "UNKNOWN_ZONE",
    "FreeCapacity",
    "Placement",
    "ResourceRequest",
    "idle_capacity",
    "place",
    "placeable_task_count",
    "satisfies_constraints",
    "tie_break_key",
]


class Placement(NamedTuple):
    """A number of tasks of one job on one machine."""

    machine_index: int
    task_count: int


# A machine and how many tasks it can hold. It is a plain tuple because one is created per machine and job.
_Candidate = tuple[FreeCapacity, int]
# Lower keys come first: image missing, on-demand machine wasted, penalty, price, GB of on-demand images, index.
_TieBreakKey = tuple[bool, bool, float, float, float, int]


def idle_capacity(request: ResourceRequest, machine: FreeCapacity) -> float:
    """Return the machine's idle GPUs, or its idle CPUs if the tasks need no GPUs."""
    return machine.gpus if request.gpus > 0 else machine.cpus


def tie_break_key(request: ResourceRequest, machine: FreeCapacity) -> _TieBreakKey:
    """Return the sort key of equally idle machines.

    Preferred are machines with the image, then spot instances if the job may use them (other jobs can't), then machines
    with a lower penalty (fewer consecutive errors), then cheaper ones, then those with the fewest GB of images of jobs
    that can't run on spot instances. The last rule keeps machines with images that take long to fetch free for the jobs
    that need these images.
    """
    wastes_on_demand = request.spot and not machine.spot
    return (
        request.image not in machine.cached_images,
        wastes_on_demand,
        machine.penalty,
        machine.price,
        machine.on_demand_image_gb,
        machine.index,
    )


def place(request: ResourceRequest, machines: Sequence[FreeCapacity]) -> list[Placement]:
    """Return on which machines the job's tasks are placed now; empty if none can be placed.

    The ranked shapes are: spot instances that have the image, if the job may use spot instances; machines that have the
    image; all machines. A gang uses a shape only if it serves all tasks. An array uses the first shape that serves all
    tasks; if there is none, as many tasks as possible are placed on any machines.
    """
    admitted = [machine for machine in machines if satisfies_constraints(request, machine)]
    if not admitted or request.count <= 0:
        return []
    if request.service:
        return _place_replicas(request, admitted)
    cached = [machine for machine in admitted if request.image in machine.cached_images]
    for shape in _preferred_shapes(request, admitted, cached):
        placements = _place_in_zones(request, shape, all_or_none=True)
        if placements:
            return placements
    if request.gang or request.one_zone or request.spread or not cached:
        return _place_in_zones(request, admitted, all_or_none=request.gang)
    return _place_in_portions(request, admitted, cached)


def _preferred_shapes(
    request: ResourceRequest, admitted: list[FreeCapacity], cached: list[FreeCapacity]
) -> Iterator[list[FreeCapacity]]:
    """Yield the shapes before the last one, which is all admitted machines; each is a smaller set than the next."""
    if request.spot:
        spot = [machine for machine in cached if machine.spot]
        if spot and len(spot) < len(cached):
            yield spot
    if cached and len(cached) < len(admitted):
        yield cached


def _place_in_portions(
    request: ResourceRequest, admitted: list[FreeCapacity], cached: list[FreeCapacity]
) -> list[Placement]:
    """Place an array on several shapes, best shapes first, because no single shape can hold all its tasks.

    Each task on a machine without the image waits for an image fetch, so such machines come last.
    """
    count_by_machine: dict[int, int] = {}
    remaining = request.count
    spot = [machine for machine in cached if machine.spot]
    on_demand = [machine for machine in cached if not machine.spot]
    uncached = [machine for machine in admitted if request.image not in machine.cached_images]
    for shape in (spot, on_demand, uncached):
        if remaining > 0 and shape:
            for index, count in _place_has(replace(request, count=remaining), shape, all_or_none=False):
                count_by_machine[index] = count_by_machine.get(index, 0) + count
                remaining -= count
    return [Placement(index, count) for index, count in count_by_machine.items()]


def _place_in_zones(request: ResourceRequest, machines: Sequence[FreeCapacity], all_or_none: bool) -> list[Placement]:
    """Place the job with HAS, within a single zone if it must stay in one.

    Return the result of the zone in which the most tasks are placed; of equal results, return the tightest one.
    """
    if not request.one_zone:
        return _place_has(request, machines, all_or_none)
    occupied = [zone for zone, count in request.tasks_by_zone.items() if count > 0]
    if len(occupied) > 1:
        return []
    best: tuple[tuple[int, int, float, int, int], list[Placement]] | None = None
    for zone in occupied or sorted({machine.zone for machine in machines}):
        in_zone = [machine for machine in machines if machine.zone == zone]
        placements = _place_has(request, in_zone, all_or_none)
        if placements:
            key = _zone_key(request, zone, in_zone, placements)
            if best is None or key < best[0]:
                best = (key, placements)
    return best[1] if best else []


def _zone_key(
    request: ResourceRequest, zone: int, machines: Sequence[FreeCapacity], placements: list[Placement]
) -> tuple[int, int, float, int, int]:
    """Return the sort key of a zone's result: most tasks, fewest machines, least idle capacity, fewest fetches."""
    by_index = {machine.index: machine for machine in machines}
    used = [by_index[index] for index, _ in placements]
    return (
        -sum(count for _, count in placements),
        len(placements),
        sum(idle_capacity(request, machine) for machine in used),
        sum(request.image not in machine.cached_images for machine in used),
        zone,
    )


def _place_has(request: ResourceRequest, machines: Sequence[FreeCapacity], all_or_none: bool) -> list[Placement]:
    """Place the request with HAS on one set of machines."""
    if not request.spread:
        fitting_machines = _machines_fitting_all(request, machines)
        if fitting_machines:
            return [Placement(_least_idle(request, fitting_machines).index, request.count)]
    candidates = [(machine, n) for machine in machines if (n := placeable_task_count(request, machine)) > 0]
    if not candidates or (all_or_none and sum(n for _, n in candidates) < request.count):
        return []
    if request.spread:
        return _place_spread(request, candidates, all_or_none)
    remaining = request.count
    # Sorting once suffices: placing tasks on one machine does not change how many tasks the others can hold.
    candidates.sort(key=lambda candidate: _greedy_key(request, *candidate))
    placements: list[Placement] = []
    for position, (machine, count) in enumerate(candidates):
        if count >= remaining:
            tightest = _tightest(request, candidates[position:], remaining)
            return [*placements, Placement(tightest.index, remaining)]
        placements.append(Placement(machine.index, count))
        remaining -= count
    return [] if all_or_none and remaining > 0 else placements


def _machines_fitting_all(request: ResourceRequest, machines: Sequence[FreeCapacity]) -> list[FreeCapacity]:
    """Return the machines that can hold all tasks.

    Most jobs fit on a single machine. Finding it like this is far faster than counting how many tasks each machine can
    hold.
    """
    gpus = request.count * request.gpus - CAPACITY_TOLERANCE
    cpus = request.count * request.cpus - CAPACITY_TOLERANCE
    memory = request.count * request.memory - CAPACITY_TOLERANCE
    return [m for m in machines if m.gpus >= gpus and m.cpus >= cpus and m.memory >= memory]


def _least_idle(request: ResourceRequest, fitting_machines: Sequence[FreeCapacity]) -> FreeCapacity:
    """Return, of the machines that can hold all remaining tasks, the one with the fewest idle GPUs (best fit)."""
    least = min(m.gpus for m in fitting_machines) if request.gpus > 0 else min(m.cpus for m in fitting_machines)
    return min(
        (machine for machine in fitting_machines if idle_capacity(request, machine) == least),
        key=lambda machine: tie_break_key(request, machine),
    )


def _tightest(request: ResourceRequest, candidates: Sequence[_Candidate], remaining: int) -> FreeCapacity:
    """Return the best fit among candidates, each of which states how many tasks its machine can hold."""
    return _least_idle(request, [machine for machine, count in candidates if count >= remaining])


def _greedy_key(request: ResourceRequest, machine: FreeCapacity, count: int) -> tuple[int | float | bool, ...]:
    """Return the sort key of the greedy split: the machine that can hold the most tasks comes first."""
    return (-count, -idle_capacity(request, machine), *tie_break_key(request, machine))


def _place_spread(request: ResourceRequest, candidates: list[_Candidate], all_or_none: bool) -> list[Placement]:
    """Place the request with HAS under a cap per zone: as a zone fills, its machines can take fewer tasks."""
    remaining = request.count
    cap, remaining_by_zone = _zone_caps(request)
    placements: list[Placement] = []
    while remaining > 0:
        eligible = [(m, capped) for m, n in candidates if (capped := min(n, remaining_by_zone.get(m.zone, cap))) > 0]
        if not eligible:
            break
        if max(count for _, count in eligible) >= remaining:
            machine, count = _tightest(request, eligible, remaining), remaining
        else:
            machine, count = min(eligible, key=lambda candidate: _greedy_key(request, *candidate))
        candidates = [(m, n) for m, n in candidates if m is not machine]
        placements.append(Placement(machine.index, count))
        remaining -= count
        remaining_by_zone[machine.zone] = remaining_by_zone.get(machine.zone, cap) - count
    return [] if all_or_none and remaining > 0 else placements


def _zone_caps(request: ResourceRequest) -> tuple[int, dict[int, int]]:
    """Return, for `spread`, how many tasks an unused zone may hold, and how many more each used zone may hold.

    A task on a machine whose zone is not known yet counts in every zone. When unknown zones counted as a separate
    zone, more than half of a job's tasks could be placed in one zone after a change of leader.
    """
    cap = (request.total + 1) // 2 - request.tasks_by_zone.get(UNKNOWN_ZONE, 0)
    return cap, {zone: cap - count for zone, count in request.tasks_by_zone.items()}


def _place_replicas(request: ResourceRequest, machines: Sequence[FreeCapacity]) -> list[Placement]:
    """Place service replicas one at a time, each on the tightest machine in the job's least-used zone."""
    tasks_by_zone = dict(request.tasks_by_zone)
    placeable = {machine.index: placeable_task_count(request, machine) for machine in machines}
    placed: dict[int, int] = {}
    cap = _zone_caps(request)[0] if request.spread else request.total
    for _ in range(request.count):
        occupied = [zone for zone, count in tasks_by_zone.items() if count > 0]
        best: tuple[tuple[int | float | bool, ...], FreeCapacity] | None = None
        for machine in machines:
            in_zone = tasks_by_zone.get(machine.zone, 0)
            if placeable[machine.index] <= 0 or in_zone >= cap:
                continue
            if request.one_zone and occupied and machine.zone not in occupied:
                continue
            used_capacity = placed.get(machine.index, 0) * (request.gpus or request.cpus)
            key = (in_zone, idle_capacity(request, machine) - used_capacity, *tie_break_key(request, machine))
            if best is None or key < best[0]:
                best = (key, machine)
        if best is None:
            break
        chosen = best[1]
        placeable[chosen.index] -= 1
        placed[chosen.index] = placed.get(chosen.index, 0) + 1
        tasks_by_zone[chosen.zone] = tasks_by_zone.get(chosen.zone, 0) + 1
    return [Placement(index, count) for index, count in placed.items()]
