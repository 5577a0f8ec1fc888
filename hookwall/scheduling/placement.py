"""Placement as a pure function: heterogeneity-aware scheduling (HAS) after the Frenzy paper.

Each job takes the first shape of its ranked list that free GPUs can serve. Then best fit: the
fitting machine with fewest idle GPUs takes all that remains; where none holds the whole remainder,
the machine with most idle GPUs gives what it has and the loop repeats. See docs/design.md for what
was added (CPUs, memory, zones, spot instances) and why.

Invariant: a placement exceeds no machine's free capacity and breaks no constraint of the request, a
gang is placed whole or not at all, and nothing that is passed in is changed.
"""

from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import NamedTuple

from hookwall.workers.resources import (
    EPSILON,
    UNKNOWN_ZONE,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

# Other packages find the terms of a placement beside it.
__all__ = [
    "EPSILON",
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
    """So many tasks of one job on one machine."""

    machine_index: int
    task_count: int


# A machine and how many tasks it can hold. A plain tuple: one is made for each machine, for each job.
_Candidate = tuple[FreeCapacity, int]
# Lower comes first: whether the image is missing, the kind wasted, then penalty, price, GB of images, index.
_TieBreakKey = tuple[bool, bool, float, float, float, int]


def idle_capacity(request: ResourceRequest, machine: FreeCapacity) -> float:
    """Idle GPUs; for tasks without GPUs, idle CPUs instead."""
    return machine.gpus if request.gpus > 0 else machine.cpus


def tie_break_key(request: ResourceRequest, machine: FreeCapacity) -> _TieBreakKey:
    """Order among equally idle machines: image cached, kind that others can't use, steadier, cheaper.

    Then the one with fewest other images that take long to fetch: those wait for the jobs that need them.
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
    """Where the job's tasks go now; empty if nowhere.

    The ranked shapes are: machines that have the image and are spot instances if the job may use
    them; machines that have the image; any. A gang takes a shape only if it serves all tasks; an array
    takes the first shape that serves all, and else as many as fit anywhere.
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
    """The shapes before the last one, which is all admitted machines; each is a smaller set than the next."""
    if request.spot:
        spot = [machine for machine in cached if machine.spot]
        if spot and len(spot) < len(cached):
            yield spot
    if cached and len(cached) < len(admitted):
        yield cached


def _place_in_portions(
    request: ResourceRequest, admitted: list[FreeCapacity], cached: list[FreeCapacity]
) -> list[Placement]:
    """An array that no shape serves whole goes in portions, best shapes first.

    Each task on a machine without the image waits for a fetch.
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
    """One zone at a time where the job must stay in one; the fullest result, then the tightest."""
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
    """Order of the zones' results: most tasks, fewest machines, least idle capacity, fewest fetches."""
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
    """HAS over one set of machines."""
    if not request.spread:
        holders = _machines_for_all(request, machines)
        if holders:
            return [Placement(_least_idle(request, holders).index, request.count)]
    candidates = [(machine, n) for machine in machines if (n := placeable_task_count(request, machine)) > 0]
    if not candidates or (all_or_none and sum(n for _, n in candidates) < request.count):
        return []
    if request.spread:
        return _place_spread(request, candidates, all_or_none)
    remaining = request.count
    # Sorted once: how much a machine can give does not change while others give.
    candidates.sort(key=lambda candidate: _greedy_key(request, *candidate))
    placements: list[Placement] = []
    for at, (machine, count) in enumerate(candidates):
        if count >= remaining:
            tightest = _tightest(request, candidates[at:], remaining)
            return [*placements, Placement(tightest.index, remaining)]
        placements.append(Placement(machine.index, count))
        remaining -= count
    return [] if all_or_none and remaining > 0 else placements


def _machines_for_all(request: ResourceRequest, machines: Sequence[FreeCapacity]) -> list[FreeCapacity]:
    """The machines that hold all tasks: most jobs find one, and counting what each machine holds took far longer."""
    gpus = request.count * request.gpus - EPSILON
    cpus = request.count * request.cpus - EPSILON
    memory = request.count * request.memory - EPSILON
    return [m for m in machines if m.gpus >= gpus and m.cpus >= cpus and m.memory >= memory]


def _least_idle(request: ResourceRequest, holders: Sequence[FreeCapacity]) -> FreeCapacity:
    """Best fit: of the machines that hold all remaining tasks, the one with fewest idle GPUs."""
    least = min(m.gpus for m in holders) if request.gpus > 0 else min(m.cpus for m in holders)
    return min(
        (machine for machine in holders if idle_capacity(request, machine) == least),
        key=lambda machine: tie_break_key(request, machine),
    )


def _tightest(request: ResourceRequest, candidates: Sequence[_Candidate], remaining: int) -> FreeCapacity:
    """Best fit where it is known how many tasks each machine holds."""
    return _least_idle(request, [machine for machine, count in candidates if count >= remaining])


def _greedy_key(request: ResourceRequest, machine: FreeCapacity, count: int) -> tuple[int | float | bool, ...]:
    """Order of the greedy split: the machine that can give most first."""
    return (-count, -idle_capacity(request, machine), *tie_break_key(request, machine))


def _place_spread(request: ResourceRequest, candidates: list[_Candidate], all_or_none: bool) -> list[Placement]:
    """HAS where each zone is capped, so that what a machine can give changes as its zone fills."""
    remaining = request.count
    cap, left_by_zone = _zone_caps(request)
    placements: list[Placement] = []
    while remaining > 0:
        able = [(m, capped) for m, n in candidates if (capped := min(n, left_by_zone.get(m.zone, cap))) > 0]
        if not able:
            break
        if max(count for _, count in able) >= remaining:
            machine, count = _tightest(request, able, remaining), remaining
        else:
            machine, count = min(able, key=lambda candidate: _greedy_key(request, *candidate))
        candidates = [(m, n) for m, n in candidates if m is not machine]
        placements.append(Placement(machine.index, count))
        remaining -= count
        left_by_zone[machine.zone] = left_by_zone.get(machine.zone, cap) - count
    return [] if all_or_none and remaining > 0 else placements


def _zone_caps(request: ResourceRequest) -> tuple[int, dict[int, int]]:
    """For `spread`: how many more tasks a zone without any may hold, and how many each zone used so far may.

    A task on a machine whose zone is not known yet counts in every zone. It counted as a zone of its own,
    so after a change of leader more than half of a job could come to one zone.
    """
    cap = (request.total + 1) // 2 - request.tasks_by_zone.get(UNKNOWN_ZONE, 0)
    return cap, {zone: cap - count for zone, count in request.tasks_by_zone.items()}


def _place_replicas(request: ResourceRequest, machines: Sequence[FreeCapacity]) -> list[Placement]:
    """Service replicas: one at a time, to the tightest machine in their least-used zone."""
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
            taken = placed.get(machine.index, 0) * (request.gpus or request.cpus)
            key = (in_zone, idle_capacity(request, machine) - taken, *tie_break_key(request, machine))
            if best is None or key < best[0]:
                best = (key, machine)
        if best is None:
            break
        chosen = best[1]
        placeable[chosen.index] -= 1
        placed[chosen.index] = placed.get(chosen.index, 0) + 1
        tasks_by_zone[chosen.zone] = tasks_by_zone.get(chosen.zone, 0) + 1
    return [Placement(index, count) for index, count in placed.items()]
