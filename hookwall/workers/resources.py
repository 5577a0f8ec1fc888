"""The terms of bin packing: free resources of a machine, resource requests of a job, and whether a request fits.

Invariant: this module does not depend on jobs, the fleet or time. A scheduling round compares only CPUs, GPUs and GB of
memory.
"""

from dataclasses import dataclass, field

CAPACITY_TOLERANCE = 1e-6  # tolerance for free capacity, in which rounding errors accumulate
ROUNDING_TOLERANCE = 1e-9  # for values that are compared as configured, and shares of counts that are rounded
SMALLEST_AMOUNT = 1e-9  # a task that takes less of a resource is counted as if it took this much of it
UNKNOWN_ZONE = -1  # the zone of a machine that only job records name


def countable_amount(amount: float) -> float:
    """Return the amount of a resource by which free capacity is divided to count tasks; 0 if none is needed.

    Users may submit amounts so close to 0 that the quotient is infinite, which is no number of tasks.
    """
    return max(amount, SMALLEST_AMOUNT) if amount > 0 else 0.0


@dataclass(slots=True)
class FreeCapacity:
    """The free CPUs, GPUs and GB of memory of one machine. `cached_images` contains image indices."""

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
    on_demand_image_gb: float = 0.0  # GB of cached images of jobs that can't run on spot instances
    has_whole_machine_task: bool | None = None  # None: not determined yet

    def allocate(self, request: "ResourceRequest", task_count: int) -> None:
        """Subtract the resources of `task_count` tasks.

        There is no check that the tasks fit, because this object may be a copy or an estimate.
        """
        self.cpus -= task_count * request.cpus
        self.gpus -= task_count * request.gpus
        self.memory -= task_count * request.memory


@dataclass(slots=True)
class ResourceRequest:
    """The current request of one job: `count` of its `total` tasks, each with these CPUs, GPUs and GB of memory.

    `tasks_by_zone` counts the tasks of the job that may already be on machines; tasks in an unknown zone are counted
    under UNKNOWN_ZONE.
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

    def __post_init__(self) -> None:
        """Make the amounts countable."""
        self.cpus = countable_amount(self.cpus)
        self.gpus = countable_amount(self.gpus)
        self.memory = countable_amount(self.memory)


def placeable_task_count(request: ResourceRequest, machine: FreeCapacity) -> int:
    """Return how many of the requested tasks fit into the machine's free capacity."""
    count = request.count
    if request.gpus > 0:
        count = min(count, int((machine.gpus + CAPACITY_TOLERANCE) / request.gpus))
    if request.cpus > 0:
        count = min(count, int((machine.cpus + CAPACITY_TOLERANCE) / request.cpus))
    if request.memory > 0:
        count = min(count, int((machine.memory + CAPACITY_TOLERANCE) / request.memory))
    return max(count, 0)


def satisfies_constraints(request: ResourceRequest, machine: FreeCapacity) -> bool:
    """Whether the machine satisfies the job's constraints on type, zone and spot instances."""
    return (
        (request.types is None or machine.type in request.types)
        and (request.zone < 0 or machine.zone == request.zone)
        and (request.spot or not machine.spot)
    )
