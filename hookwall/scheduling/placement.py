"""Placement as a pure function: heterogeneity-aware scheduling (HAS) after the Frenzy paper.

Each job takes the first shape of its ranked list that free GPUs can serve. Then best fit: the
fitting machine with fewest idle GPUs takes all that remains; where none holds the whole remainder,
the machine with most idle GPUs gives what it has and the loop repeats. See docs/design.md for what
was added (CPUs, memory, zones, kinds) and why.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

EPSILON = 1e-6
UNKNOWN_ZONE = -1  # the zone of a machine that only records name


@dataclass(slots=True)
class FreeCapacity:
    """What is free on one machine. `warm` holds the images that it has."""

    index: int
    type: int
    zone: int
    spot: bool
    cpus: float
    gpus: float
    memory: float
    price: float = 0.0
    penalty: float = 0.0
    cached_images: frozenset[int] | set[int] = frozenset()
    on_demand_image_gb: float = 0.0  # GB of images there that jobs of whole machines use
    has_whole_machine_task: bool | None = None  # whether such a job has a task there; None: not asked yet


@dataclass(slots=True)
class ResourceRequest:
    """What one job wants now. `in_zone` counts its tasks that may already be somewhere; where is not known: NOWHERE."""

    count: int
    total: int
    gang: bool
    cpus: float
    gpus: float
    memory: float
    image: int = -1
    types: frozenset[int] | None = None
    zone: int = -1
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    service: bool = False
    tasks_by_zone: dict[int, int] = field(default_factory=dict)


def placeable_task_count(ask: ResourceRequest, room: FreeCapacity) -> int:
    """How many of the job's tasks fit into the room."""
    n = ask.count
    if ask.gpus > 0:
        n = min(n, int((room.gpus + EPSILON) / ask.gpus))
    if ask.cpus > 0:
        n = min(n, int((room.cpus + EPSILON) / ask.cpus))
    if ask.memory > 0:
        n = min(n, int((room.memory + EPSILON) / ask.memory))
    return max(n, 0)


def satisfies_constraints(ask: ResourceRequest, room: FreeCapacity) -> bool:
    """Whether the job's own conditions admit the machine."""
    return (
        (ask.types is None or room.type in ask.types)
        and (ask.zone < 0 or room.zone == ask.zone)
        and (ask.spot or not room.spot)
    )


def idle_capacity(ask: ResourceRequest, room: FreeCapacity) -> float:
    """Idle GPUs; tasks without GPUs count CPUs instead."""
    return room.gpus if ask.gpus > 0 else room.cpus


def tie_break_key(ask: ResourceRequest, room: FreeCapacity) -> tuple[object, ...]:
    """Among equally idle machines: image there, kind that others can't use, steadier, cheaper.

    Then the one with fewest other images that take long to fetch: those wait for the jobs that need them.
    """
    wasted = ask.spot and not room.spot
    return (ask.image not in room.cached_images, wasted, room.penalty, room.price, room.on_demand_image_gb, room.index)


def _caps(ask: ResourceRequest) -> tuple[int, dict[int, int]]:
    """For `spread`: how many more tasks a zone without any may hold, and how many each zone used so far may.

    A task on a machine whose zone is not known yet counts in every zone. It counted as a zone of its own,
    so after a change of leader more than half of a job could come to one zone.
    """
    top = (ask.total + 1) // 2 - ask.tasks_by_zone.get(UNKNOWN_ZONE, 0)
    return top, {z: top - n for z, n in ask.tasks_by_zone.items()}


def _fit(ask: ResourceRequest, rooms: Sequence[FreeCapacity], whole: bool) -> list[tuple[int, int]]:
    """HAS over one set of machines. `whole`: all tasks or none."""
    if not ask.spread:
        holders = _holders(ask, rooms)
        if holders:
            return [(_least_idle(ask, holders).index, ask.count)]
    pool = [(room, n) for room in rooms if (n := placeable_task_count(ask, room)) > 0]
    if not pool or (whole and sum(n for _, n in pool) < ask.count):
        return []
    if ask.spread:
        return _fit_spread(ask, pool, whole)
    left = ask.count
    # Sorted once: how much a machine can give does not change while others give.
    pool.sort(key=lambda p: _most(ask, *p))
    result: list[tuple[int, int]] = []
    for at, (room, n) in enumerate(pool):
        if n >= left:
            return [*result, (_tightest(ask, pool[at:], left).index, left)]
        result.append((room.index, n))
        left -= n
    return [] if whole and left > 0 else result


def _holders(ask: ResourceRequest, rooms: Sequence[FreeCapacity]) -> list[FreeCapacity]:
    """The machines that hold all tasks: most jobs find one, and counting what each machine holds took far longer."""
    gpus, cpus, memory = (ask.count * need - EPSILON for need in (ask.gpus, ask.cpus, ask.memory))
    return [r for r in rooms if r.gpus >= gpus and r.cpus >= cpus and r.memory >= memory]


def _least_idle(ask: ResourceRequest, holders: Sequence[FreeCapacity]) -> FreeCapacity:
    """Best fit: of the machines that hold all that is left, the one with fewest idle GPUs."""
    least = min(r.gpus for r in holders) if ask.gpus > 0 else min(r.cpus for r in holders)
    return min((r for r in holders if idle_capacity(ask, r) == least), key=lambda r: tie_break_key(ask, r))


def _tightest(ask: ResourceRequest, pool: Sequence[tuple[FreeCapacity, int]], left: int) -> FreeCapacity:
    """The same where it is known how many tasks each machine holds."""
    return _least_idle(ask, [r for r, n in pool if n >= left])


def _most(ask: ResourceRequest, room: FreeCapacity, n: int) -> tuple[object, ...]:
    """Greedy: the machine that can give most first."""
    return (-n, -idle_capacity(ask, room), *tie_break_key(ask, room))


def _fit_spread(ask: ResourceRequest, pool: list[tuple[FreeCapacity, int]], whole: bool) -> list[tuple[int, int]]:
    """The same where a zone is capped, so that what a machine can give changes as its zone fills."""
    left = ask.count
    top, room_left = _caps(ask)
    result: list[tuple[int, int]] = []
    while left > 0:
        able = [(r, k) for r, n in pool if (k := min(n, room_left.get(r.zone, top))) > 0]
        if not able:
            break
        if max(k for _, k in able) >= left:
            room, take = _tightest(ask, able, left), left
        else:
            room, take = min(able, key=lambda p: _most(ask, *p))
        pool = [(r, n) for r, n in pool if r is not room]
        result.append((room.index, take))
        left -= take
        room_left[room.zone] = room_left.get(room.zone, top) - take
    return [] if whole and left > 0 else result


def _zones(ask: ResourceRequest, rooms: Sequence[FreeCapacity], whole: bool) -> list[tuple[int, int]]:
    """One zone at a time where the job must stay in one; the fullest answer, then the tightest."""
    if not ask.one_zone:
        return _fit(ask, rooms, whole)
    held = [z for z, n in ask.tasks_by_zone.items() if n > 0]
    if len(held) > 1:
        return []
    best: tuple[tuple[object, ...], list[tuple[int, int]]] | None = None
    for zone in sorted({r.zone for r in rooms}):
        if held and zone != held[0]:
            continue
        here = [r for r in rooms if r.zone == zone]
        got = _fit(ask, here, whole)
        if not got:
            continue
        by_index = {r.index: r for r in here}
        used = [by_index[i] for i, _ in got]
        key = (
            -sum(n for _, n in got),
            len(got),
            sum(idle_capacity(ask, r) for r in used),
            sum(ask.image not in r.cached_images for r in used),
            zone,
        )
        if best is None or key < best[0]:
            best = (key, got)
    return best[1] if best else []


def _singly(ask: ResourceRequest, rooms: Sequence[FreeCapacity]) -> list[tuple[int, int]]:
    """Service replicas: one at a time, to the tightest machine in their least-used zone."""
    used = dict(ask.tasks_by_zone)
    free = {r.index: placeable_task_count(ask, r) for r in rooms}
    taken: dict[int, int] = {}
    top = _caps(ask)[0] if ask.spread else ask.total
    for _ in range(ask.count):
        held = [z for z, n in used.items() if n > 0]
        best: tuple[tuple[object, ...], FreeCapacity] | None = None
        for r in rooms:
            n = used.get(r.zone, 0)
            if free[r.index] <= 0 or n >= top or (ask.one_zone and held and r.zone not in held):
                continue
            left = idle_capacity(ask, r) - taken.get(r.index, 0) * (ask.gpus or ask.cpus)
            key = (n, left, *tie_break_key(ask, r))
            if best is None or key < best[0]:
                best = (key, r)
        if best is None:
            break
        r = best[1]
        free[r.index] -= 1
        taken[r.index] = taken.get(r.index, 0) + 1
        used[r.zone] = used.get(r.zone, 0) + 1
    return list(taken.items())


def place(ask: ResourceRequest, rooms: Sequence[FreeCapacity]) -> list[tuple[int, int]]:
    """Where the job's tasks go now: pairs of machine and number of tasks.

    The ranked shapes are: machines that have the image and are of the cheap kind if the job may use
    it; machines that have the image; any. A gang takes a shape only if it serves all tasks; an array
    takes the first shape that serves all, and else as many as fit anywhere.
    """
    fit = [r for r in rooms if satisfies_constraints(ask, r)]
    if not fit or ask.count <= 0:
        return []
    if ask.service:
        return _singly(ask, fit)
    warm = [r for r in fit if ask.image in r.cached_images]
    if ask.spot:
        cheap = [r for r in warm if r.spot]
        if cheap and len(cheap) < len(warm):
            got = _zones(ask, cheap, whole=True)
            if got:
                return got
    if warm and len(warm) < len(fit):
        got = _zones(ask, warm, whole=True)
        if got:
            return got
    if ask.gang or ask.one_zone or ask.spread or not warm:
        return _zones(ask, fit, whole=ask.gang)
    # No shape serves the whole array, so its tasks go in portions, best shapes first: each task
    # on a machine without the image waits for a fetch.
    result: dict[int, int] = {}
    left = ask.count
    cold = [r for r in fit if ask.image not in r.cached_images]
    for shape in ([r for r in warm if r.spot], [r for r in warm if not r.spot], cold):
        if left > 0 and shape:
            for index, n in _fit(replace(ask, count=left), shape, whole=False):
                result[index] = result.get(index, 0) + n
                left -= n
    return list(result.items())
