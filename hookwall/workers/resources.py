"""What a machine has free and what a job requests, and whether the one holds the other: the terms of bin packing.

Invariant: nothing here knows of jobs, the fleet or time; all that a round compares is CPUs, GPUs and GB of memory.
"""

from dataclasses import dataclass, field

EPSILON = 1e-6  # of free capacity, which is summed up and has rounding errors
ROUNDING = 1e-9  # of figures that are compared as configured
UNKNOWN_ZONE = -1  # the zone of a machine that only records name


@dataclass(slots=True)
class FreeCapacity:
    """The free resources of one machine: CPUs, GPUs, and memory in GB. `cached_images` are the images it has."""

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
    on_demand_image_gb: float = 0.0  # GB of cached images that jobs use which can't run on spot instances
    has_whole_machine_task: bool | None = None  # None: not determined yet

    def allocate(self, request: "ResourceRequest", task_count: int) -> None:
        """Subtract what so many tasks of a request use; this may be a copy or an estimate, so nothing is checked."""
        self.cpus -= task_count * request.cpus
        self.gpus -= task_count * request.gpus
        self.memory -= task_count * request.memory


@dataclass(slots=True)
class ResourceRequest:
    """What one job asks for now: `count` tasks of its `total`, each with these CPUs, GPUs and GB of memory.

    `tasks_by_zone` counts its tasks that may already be on machines; those whose zone is not known: UNKNOWN_ZONE.
    """

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


def placeable_task_count(request: ResourceRequest, machine: FreeCapacity) -> int:
    """How many of the requested tasks fit into the machine's free capacity."""
    count = request.count
    if request.gpus > 0:
        count = min(count, int((machine.gpus + EPSILON) / request.gpus))
    if request.cpus > 0:
        count = min(count, int((machine.cpus + EPSILON) / request.cpus))
    if request.memory > 0:
        count = min(count, int((machine.memory + EPSILON) / request.memory))
    return max(count, 0)


def satisfies_constraints(request: ResourceRequest, machine: FreeCapacity) -> bool:
    """Whether the job's constraints on type, zone and spot instances admit the machine."""
    return (
        (request.types is None or machine.type in request.types)
        and (request.zone < 0 or machine.zone == request.zone)
        and (request.spot or not machine.spot)
    )
