"""What a round of decisions works on: the jobs that wait, and the free capacity, reservations and usage of the moment.

Invariant: within a round, `machines` holds what is free after all that the round has decided so far, and
`machines_with_gpus` exactly those of them that have a GPU left.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.resources import EPSILON, FreeCapacity, ResourceRequest, satisfies_constraints

Victim = tuple[Job, Allocation]  # as the fleet holds them, machine by machine


@dataclass(slots=True)
class QueuedJob:
    """A job that a round could not serve in full; machines are provisioned for the `count` tasks that wait."""

    job: Job
    count: int
    waiting_since: float
    last_served_at: float = -1.0  # when it last got something, or began to wait
    reserved_zone: int = -1  # where machines are reserved for it
    declining_since: float = -1.0  # since when it declines machines without its image, and got nothing; -1: it does not


@dataclass(slots=True)
class ResourceUsage:
    """CPUs and GPUs that a team's tasks may be using now, or that all its unfinished jobs request."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, task_count: int) -> None:
        """Count so many tasks of a job."""
        self.cpus += spec.cpus * task_count
        self.gpus += spec.gpus * task_count


@dataclass(slots=True)
class PreemptionOption:
    """Capacity that could be freed on one machine for tasks of one size."""

    cost_s: float  # without a fetch of the image
    machine_index: int
    freed_task_count: int  # how many of the tasks would fit
    victims: list[Victim]


class PreemptionKey(NamedTuple):
    """All that decides which options there are for a job; equal for jobs that request alike."""

    rank: int
    within_guarantee: bool
    team_index: int
    gang: bool
    task_count: int
    cpus: float
    gpus: float
    memory: float
    types: frozenset[int] | None
    zone: int
    spot: bool


class ConstraintKey(NamedTuple):
    """The constraints of a request."""

    types: frozenset[int] | None
    zone: int
    spot: bool


class RankAndKind(NamedTuple):
    """Jobs that are alike to image affinity."""

    rank: int
    gang: bool


@dataclass(slots=True)
class RoundState:
    """One round's view of the cluster. Machines, teams and images are indices."""

    machines: dict[int, FreeCapacity] = field(default_factory=dict)  # those that are schedulable
    machines_with_gpus: dict[int, FreeCapacity] = field(default_factory=dict)  # those of them with a GPU left
    usage: dict[int, ResourceUsage] = field(default_factory=dict)  # by team
    reserved_for: dict[int, str] = field(default_factory=dict)  # machine -> the one job that may use it
    set_aside_for_expected: set[int] = field(default_factory=set)  # for whole-machine jobs that may come
    set_aside_for_waiting: set[int] = field(default_factory=set)  # for those that wait
    waiting_images: dict[RankAndKind, Counter[int]] = field(default_factory=dict)
    preemption_options: dict[PreemptionKey, list[PreemptionOption]] = field(default_factory=dict)
    unreserved_by_constraints: dict[ConstraintKey, list[FreeCapacity]] = field(default_factory=dict)

    def unreserved_machines(self, request: ResourceRequest) -> list[FreeCapacity]:
        """Machines that the job's constraints admit and that are reserved for nobody.

        Each gang of a queue looked through all machines, most of which earlier ones had reserved: of
        567 machines and 100 waiting gangs that was half of all the leader did.
        """
        key = ConstraintKey(request.types, request.zone, request.spot)
        admitted = self.unreserved_by_constraints.get(key)
        if admitted is None:
            admitted = [machine for machine in self.machines.values() if satisfies_constraints(request, machine)]
        unreserved = [machine for machine in admitted if machine.index not in self.reserved_for]
        self.unreserved_by_constraints[key] = unreserved
        return unreserved

    def candidates(self, gpus: float) -> dict[int, FreeCapacity]:
        """Under load few machines have a GPU left, and only those matter to a task that needs one."""
        return self.machines_with_gpus if gpus > 0 else self.machines

    def allocate(self, machine_index: int, job: Job, task_count: int) -> None:
        """Subtract tasks of a job that are placed on a machine; its image is about to be cached there."""
        spec = job.spec
        assert spec is not None
        machine = self.machines[machine_index]
        machine.cpus -= spec.cpus * task_count
        machine.gpus -= spec.gpus * task_count
        machine.memory -= spec.memory_gb * task_count
        machine.cached_images = {*machine.cached_images, job.image_index}
        if machine.gpus <= EPSILON:
            self.machines_with_gpus.pop(machine_index, None)

    def count_usage(self, jobs: Iterable[Job]) -> None:
        """Count what each team's tasks may be using, also those that only workers report."""
        for job in jobs:
            if job.spec is None or not (job.allocations or job.unrecorded_sightings):
                continue
            task_count = len(job.allocations) + len(job.unrecorded_sightings)
            usage = self.usage.get(job.team_index)
            if usage is None:
                usage = self.usage[job.team_index] = ResourceUsage()
            usage.add(job.spec, task_count)


def provisioning_order(waiting: dict[str, QueuedJob]) -> list[QueuedJob]:
    """Queued jobs in the order in which machines are provisioned for them."""
    return sorted(waiting.values(), key=lambda queued: (queued.job.rank, queued.job.queued_at, queued.job.job_id))
