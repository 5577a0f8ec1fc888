"""The state of a scheduling round: waiting jobs, and the current free capacity, reservations and usage.

Invariant: within a round, `machines` holds the capacity that is free after all decisions of the round so far, and
`machines_with_gpus` holds exactly those of these machines that have a GPU left.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.resources import CAPACITY_TOLERANCE, FreeCapacity, ResourceRequest, satisfies_constraints

Victim = tuple[Job, Allocation]  # the pairs that the fleet keeps for each machine


@dataclass(slots=True)
class QueuedJob:
    """A job that a round could not serve in full; machines are provisioned for its `count` waiting tasks."""

    job: Job
    count: int
    waiting_since: float
    last_served_at: float = -1.0  # when tasks of it were last placed, or when it began to wait
    reserved_zone: int = -1  # the zone in which machines are reserved for it; -1: none
    # Since when it has declined machines without its image and was not served; -1: it declines none.
    declining_since: float = -1.0


@dataclass(slots=True)
class ResourceUsage:
    """CPUs and GPUs that a team's tasks may be using now, or that all its unfinished jobs request."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, task_count: int) -> None:
        """Add the resources of `task_count` tasks of a job."""
        self.cpus += spec.cpus * task_count
        self.gpus += spec.gpus * task_count


@dataclass(slots=True)
class PreemptionOption:
    """Capacity that could be freed on one machine for tasks of one size."""

    cost_s: float  # without the fetch of the job's image
    machine_index: int
    freed_task_count: int  # how many tasks of this size would fit
    victims: list[Victim]


class PreemptionKey(NamedTuple):
    """All values that determine the options for a job; equal for jobs with equal requests."""

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


class AffinityGroup(NamedTuple):
    """The key of jobs that image affinity treats as equal."""

    rank: int
    gang: bool


@dataclass(slots=True)
class RoundState:
    """One round's view of the cluster. Machines, teams and images are given by index."""

    machines: dict[int, FreeCapacity] = field(default_factory=dict)  # schedulable machines
    machines_with_gpus: dict[int, FreeCapacity] = field(default_factory=dict)  # schedulable machines with a GPU left
    usage: dict[int, ResourceUsage] = field(default_factory=dict)  # by team
    reserved_for: dict[int, str] = field(default_factory=dict)  # machine -> id of the job that it is reserved for
    set_aside_for_expected: set[int] = field(default_factory=set)  # machines for whole-machine jobs that are expected
    set_aside_for_waiting: set[int] = field(default_factory=set)  # machines for whole-machine jobs that wait
    waiting_images: dict[AffinityGroup, Counter[int]] = field(default_factory=dict)
    preemption_options: dict[PreemptionKey, list[PreemptionOption]] = field(default_factory=dict)
    unreserved_by_constraints: dict[ConstraintKey, list[FreeCapacity]] = field(default_factory=dict)

    def unreserved_machines(self, request: ResourceRequest) -> list[FreeCapacity]:
        """Return the machines that the request's constraints admit and that are not reserved for any job.

        The list is cached per set of constraints. When each queued gang scanned all machines, most of which were
        reserved for earlier gangs, this was half of the leader's work with 567 machines and 100 waiting gangs.
        """
        key = ConstraintKey(request.types, request.zone, request.spot)
        admitted = self.unreserved_by_constraints.get(key)
        if admitted is None:
            admitted = [machine for machine in self.machines.values() if satisfies_constraints(request, machine)]
        unreserved = [machine for machine in admitted if machine.index not in self.reserved_for]
        self.unreserved_by_constraints[key] = unreserved
        return unreserved

    def candidates(self, gpus: float) -> dict[int, FreeCapacity]:
        """Return the machines that may have capacity for a task with this many GPUs.

        Under load few machines have a GPU left, and only those matter to a task that needs one.
        """
        return self.machines_with_gpus if gpus > 0 else self.machines

    def allocate(self, machine_index: int, job: Job, task_count: int) -> None:
        """Subtract tasks of a job that are placed on a machine; the job's image counts as cached there from now on."""
        spec = job.spec
        assert spec is not None
        machine = self.machines[machine_index]
        machine.cpus -= spec.cpus * task_count
        machine.gpus -= spec.gpus * task_count
        machine.memory -= spec.memory_gb * task_count
        machine.cached_images = {*machine.cached_images, job.image_index}
        if machine.gpus <= CAPACITY_TOLERANCE:
            self.machines_with_gpus.pop(machine_index, None)

    def count_usage(self, jobs: Iterable[Job]) -> None:
        """Add up what each team's tasks may be using, including tasks that only workers report."""
        for job in jobs:
            if job.spec is None or not (job.allocations or job.unrecorded_reports):
                continue
            task_count = len(job.allocations) + len(job.unrecorded_reports)
            usage = self.usage.get(job.team_index)
            if usage is None:
                usage = self.usage[job.team_index] = ResourceUsage()
            usage.add(job.spec, task_count)


def provisioning_order(waiting: dict[str, QueuedJob]) -> list[QueuedJob]:
    """Return the queued jobs in the order in which machines are provisioned for them."""
    return sorted(waiting.values(), key=lambda queued: (queued.job.rank, queued.job.queued_at, queued.job.job_id))
