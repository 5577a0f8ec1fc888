"""What a round of decisions works on: the jobs that wait, and what is free."""

from collections import Counter
from dataclasses import dataclass, field

from hookwall.jobs.job import Allocation, Job
from hookwall.scheduling.placement import EPSILON, FreeCapacity, ResourceRequest, satisfies_constraints

BYTES_PER_MACHINE = 40  # of a record, for each machine that it names
BYTES_PER_START = 14  # and for each start, with what it leaves in the ranges of tasks that are done
MINIMUM_STARTS = 8  # that any record can name


@dataclass(slots=True)
class QueuedJob:
    """A job that a round could not serve in full: what the cloud slice rents for."""

    job: Job
    count: int
    since: float
    last_served_at: float = -1.0  # when it last got something, or began to wait
    zone: int = -1  # where machines are being kept for it
    declining_since: float = -1.0  # since when it leaves machines without its image to others, unserved


@dataclass(slots=True, frozen=True)
class StartRecordBudget:
    """How many bytes of its record the starts of one job may take in the plain form.

    Several starts on one machine share its name, so new ones are taken to need no more names in a usual record. Those
    of a larger one count as each on a machine of its own, since that is what it might come to.
    """

    usual_bytes: float
    maximum_bytes: float


@dataclass(slots=True)
class ResourceUsage:
    """What a team's tasks may be using now, and what all its unfinished jobs want."""

    cpus: float = 0.0
    gpus: float = 0.0


@dataclass(slots=True)
class PreemptionOption:
    """Room that could be made on one machine for tasks of one size."""

    cost: float  # without a fetch
    index: int
    count: int  # how many of the tasks would fit
    victims: list[tuple[Job, Allocation]]


@dataclass(slots=True)
class RoundState:
    """One round's view of what is free."""

    machines: dict[int, FreeCapacity] = field(default_factory=dict)
    free: dict[int, FreeCapacity] = field(default_factory=dict)  # those of them with a GPU left
    waiting_images: dict[tuple[int, bool], Counter[int]] = field(default_factory=dict)
    preemption_options: dict[tuple, list[PreemptionOption]] = field(default_factory=dict)
    usage: dict[int, ResourceUsage] = field(default_factory=dict)
    held: dict[int, str] = field(default_factory=dict)
    kept: set[int] = field(default_factory=set)  # for whole-machine jobs that may come
    set_aside_for_waiting: set[int] = field(default_factory=set)  # for those that wait
    unreserved_by_constraints: dict[tuple, list[FreeCapacity]] = field(
        default_factory=dict
    )  # by what may be asked, but for those held

    def unreserved_machines(self, ask: ResourceRequest) -> list[FreeCapacity]:
        """Machines that the job's conditions admit and nobody holds.

        Each gang of a queue looked through all machines, most of which earlier ones had reserved: of
        567 machines and 100 waiting gangs that was half of all the leader did.
        """
        key = (ask.types, ask.zone, ask.spot)
        rooms = self.unreserved_by_constraints.get(key)
        if rooms is None:
            rooms = [r for r in self.machines.values() if satisfies_constraints(ask, r)]
        rooms = self.unreserved_by_constraints[key] = [r for r in rooms if r.index not in self.held]
        return rooms

    def candidates(self, gpus: float) -> dict[int, FreeCapacity]:
        """Under load few machines have a GPU left, and only those matter to a task that needs one."""
        return self.free if gpus > 0 else self.machines

    def take(self, index: int, job: Job, tasks: int) -> None:
        """Some tasks of a job are placed on a machine."""
        spec = job.spec
        assert spec is not None
        room = self.machines[index]
        room.cpus -= spec.cpus * tasks
        room.gpus -= spec.gpus * tasks
        room.memory -= spec.memory_gb * tasks
        room.cached_images = {*room.cached_images, job.image_index}
        if room.gpus <= EPSILON:
            self.free.pop(index, None)


def recordable_start_count(job: Job, room: StartRecordBudget) -> int:
    """How many more starts the job's record can name: a value has a limit, and ranges are short."""
    starts = len(job.allocations)
    used = BYTES_PER_MACHINE * len({a.machine for a in job.allocations.values()}) + BYTES_PER_START * starts
    usual = (room.usual_bytes - used) / BYTES_PER_START
    most = (room.maximum_bytes - used) / (BYTES_PER_MACHINE + BYTES_PER_START)
    return max(0, MINIMUM_STARTS - starts, int(usual), int(most))


def provisioning_order(waiting: dict[str, QueuedJob]) -> list[QueuedJob]:
    """Queued jobs in the order in which the cloud slice rents for them."""
    return sorted(waiting.values(), key=lambda w: (w.job.rank, w.job.queued_at, w.job.job_id))
