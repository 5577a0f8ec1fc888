"""What disrupts jobs, as the leader sees it happen: entered in the ledger whatever the cause."""

from collections.abc import Callable, Iterable

from hookwall.drains.ledger import Ledger
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.workers.fleet import Fleet

RUNS = ("running", "saving")
ALL_TASKS = 1 << 60  # more than any job has
CHARGED_S = 30.0  # how long a stop that could not be stored is tried again without being counted again


def running_tasks(job: Job) -> int:
    """How many tasks of a job run, or may run since its worker has not been heard yet."""
    return sum(not start.finished and start.reported_phase in (*RUNS, "") for start in job.allocations.values())


def recovered_tasks(table: JobTable, ref: str) -> int | None:
    """How many tasks of a job run and are meant to go on; None once it is over.

    A job all of whose unfinished tasks run has recovered whatever it ran before.
    """
    job = table.jobs.get(ref)
    if job is None or job.phase != OPEN or job.spec is None:
        return None
    runs = sum(
        not start.finished and start.reported_phase == "running" and start.stop_grace_s is None
        for start in job.allocations.values()
    )
    return ALL_TASKS if runs >= job.task_count - job.done_count else runs


class DisruptionWatch:
    """Enters disruptions in the ledger."""

    def __init__(
        self,
        ledger: Ledger,
        jobs: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.ledger, self.jobs, self.fleet, self.clock, self.wall = ledger, jobs, fleet, clock, wall
        # Jobs that a drain has entered and whose stop may not have been stored yet, and until when that counts.
        self.charged: dict[str, float] = {}
        self.moving: dict[str, int] = {}  # jobs that drains have stopped, until as many of their tasks run as before

    def told_to_stop(self, job: Job) -> None:
        """A job's tasks are about to be told to stop, for whatever reason."""
        if job.phase == OPEN and job.spec is not None:
            self.ledger.spend(job.job_id, job.spec.team, running_tasks(job), self.wall())

    def lost(self, job: Job, start: Allocation) -> None:
        """A start is gone without being done. It has left the job's starts already."""
        if (
            job.phase != OPEN
            or job.spec is None
            or job.done_flags is None
            or start.finished
            or job.done_flags[start.task]
        ):
            return
        began = self.fleet.valid_since
        adopted = start.reported_phase == "" and (began is None or start.created_at <= began)
        if start.reported_phase in RUNS or adopted:
            self.ledger.spend(job.job_id, job.spec.team, running_tasks(job) + 1, self.wall())

    def charge(self, job: Job) -> None:
        """A drain is about to stop a job: entered before that is stored."""
        self.told_to_stop(job)
        self.moving[job.job_id] = max(self.moving.get(job.job_id, 0), running_tasks(job))
        self.charged[job.job_id] = self.clock() + CHARGED_S

    def carried_out(self, refs: Iterable[str]) -> None:
        """The stops were stored and told."""
        for ref in refs:
            self.charged.pop(ref, None)

    def load(self) -> None:
        """A new leadership: whatever has not recovered is on the move, whoever stopped it."""
        self.ledger.begin_term(self.wall())
        self.charged.clear()
        self.moving.clear()
        self.moving.update((entry.ref, entry.ran) for entry in self.ledger.entries() if not entry.restored)

    def follow(self) -> None:
        """Note which jobs have recovered."""
        self.ledger.follow(self.recovered, self.wall())
        for ref, ran in list(self.moving.items()):
            runs = self.recovered(ref)
            if runs is None or runs >= ran:
                del self.moving[ref]

    def recovered(self, ref: str) -> int | None:
        """How many tasks of a job run again. One that is about to be stopped has not recovered from that."""
        if self.charged.get(ref, -1e9) > self.clock():
            return 0
        return recovered_tasks(self.jobs, ref)
