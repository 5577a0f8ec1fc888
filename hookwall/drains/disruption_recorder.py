"""What disrupts jobs, as the leader sees it happen.

Invariant: every disruption is entered in the ledger, whatever the cause; that of a drain before it is carried out, and
once only however often the write is tried.
"""

from collections.abc import Callable, Iterable

from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.workers.fleet import Fleet

RUNNING = "running"
RUNNING_PHASES = (RUNNING, "saving")
NOT_REPORTED = ""  # the phase of an allocation whose worker has sent no heartbeat to this leader yet
ALL_TASKS = 1 << 60  # more than any job has
CHARGE_VALID_S = 30.0  # how long an eviction that could not be stored is tried again without being counted again


def running_task_count(job: Job) -> int:
    """How many tasks of a job run, or may run since their workers have sent no heartbeat yet."""
    return sum(
        not allocation.finished and allocation.reported_phase in (*RUNNING_PHASES, NOT_REPORTED)
        for allocation in job.allocations.values()
    )


def recovered_task_count(table: JobTable, job_id: str) -> int | None:
    """How many tasks of a job run and are meant to go on; None once it is over.

    A job all of whose unfinished tasks run has recovered whatever it ran before.
    """
    job = table.jobs.get(job_id)
    if job is None or job.phase != OPEN or job.spec is None:
        return None
    running = sum(
        not allocation.finished and allocation.reported_phase == RUNNING and allocation.stop_grace_s is None
        for allocation in job.allocations.values()
    )
    return ALL_TASKS if running >= job.task_count - job.done_count else running


class DisruptionRecorder:
    """Enters disruptions in the ledger, and knows which jobs are being relocated."""

    def __init__(
        self,
        ledger: DisruptionLedger,
        jobs: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
    ) -> None:
        """Record in `ledger`; `clock` is monotonic; it and `time_of_day` are in seconds."""
        self.ledger = ledger
        self.jobs = jobs
        self.fleet = fleet
        self.clock = clock
        self.time_of_day = time_of_day
        # Jobs whose eviction is entered and may not have been stored yet, and until when that counts.
        self.charged_until: dict[str, float] = {}
        # Jobs that drains have evicted, until as many of their tasks run as before.
        self.relocating: dict[str, int] = {}

    def record_stop_request(self, job: Job) -> None:
        """A job's tasks are about to be stopped, for whatever reason."""
        if job.phase == OPEN and job.spec is not None:
            self.ledger.record_disruption(job.job_id, job.spec.team, running_task_count(job), self.time_of_day())

    def record_lost_allocation(self, job: Job, allocation: Allocation) -> None:
        """An allocation ended without its task being done. It is no longer among the job's allocations."""
        if (
            job.phase != OPEN
            or job.spec is None
            or job.done_flags is None
            or allocation.finished
            or job.done_flags[allocation.task]
        ):
            return
        leading_since = self.fleet.valid_since
        may_have_run = allocation.reported_phase == NOT_REPORTED and (
            leading_since is None or allocation.created_at <= leading_since
        )
        if allocation.reported_phase in RUNNING_PHASES or may_have_run:
            running = running_task_count(job) + 1
            self.ledger.record_disruption(job.job_id, job.spec.team, running, self.time_of_day())

    def charge_eviction(self, job: Job) -> None:
        """A drain is about to evict a job: entered before that is stored."""
        self.record_stop_request(job)
        self.relocating[job.job_id] = max(self.relocating.get(job.job_id, 0), running_task_count(job))
        self.charged_until[job.job_id] = self.clock() + CHARGE_VALID_S

    def confirm_evictions(self, job_ids: Iterable[str]) -> None:
        """The evictions were stored and the commands issued."""
        for job_id in job_ids:
            self.charged_until.pop(job_id, None)

    def begin_leadership(self) -> None:
        """A new leadership: whatever has not recovered is being relocated, whoever stopped it."""
        self.ledger.begin_leadership(self.time_of_day())
        self.charged_until.clear()
        self.relocating.clear()
        for entry in self.ledger.entries():
            if not entry.recovered:
                self.relocating[entry.job_id] = entry.running_before

    def update_recovery(self) -> None:
        """Mark the jobs that have recovered."""
        self.ledger.update_recovery(self.recovered_task_count, self.time_of_day())
        for job_id, running_before in list(self.relocating.items()):
            running = self.recovered_task_count(job_id)
            if running is None or running >= running_before:
                del self.relocating[job_id]

    def recovered_task_count(self, job_id: str) -> int | None:
        """How many tasks of a job run again. One that is about to be stopped has not recovered from that."""
        charged_until = self.charged_until.get(job_id)
        if charged_until is not None and charged_until > self.clock():
            return 0
        return recovered_task_count(self.jobs, job_id)
