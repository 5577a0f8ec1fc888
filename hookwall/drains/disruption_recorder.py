"""Recording of the disruptions that the leader observes.

Invariant: every disruption is recorded in the ledger, whatever its cause. An eviction by a drain is recorded before it
is carried out, and only once even if its write is retried.
"""

from collections.abc import Callable, Iterable

from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.jobs.job import OPEN, Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.workers.fleet import Fleet

RUNNING = "running"
RUNNING_PHASES = (RUNNING, "saving")
NOT_REPORTED = ""  # the reported phase of an allocation until its worker sends this leader a heartbeat
ALL_TASKS = 1 << 60  # stands for all tasks of a job; larger than any task count
# For this long an unconfirmed eviction keeps its job unrecovered, so that a retried write is not counted again.
CHARGE_VALID_S = 30.0


def running_task_count(job: Job) -> int:
    """How many tasks of a job run, or may be running because their workers have sent no heartbeat yet."""
    return sum(
        not allocation.finished and allocation.reported_phase in (*RUNNING_PHASES, NOT_REPORTED)
        for allocation in job.allocations.values()
    )


def recovered_task_count(table: JobTable, job_id: str) -> int | None:
    """How many tasks of a job run and are not being stopped; None once the job has ended.

    A job has recovered if all of its unfinished tasks run, however many tasks ran before. `ALL_TASKS` is returned then.
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
    """Records disruptions in the ledger, and tracks which jobs are being relocated."""

    def __init__(
        self,
        ledger: DisruptionLedger,
        jobs: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
    ) -> None:
        """Create a recorder that writes to `ledger`; `clock`, which is monotonic, and `time_of_day` return seconds."""
        self.ledger = ledger
        self.jobs = jobs
        self.fleet = fleet
        self.clock = clock
        self.time_of_day = time_of_day
        # By job whose eviction is recorded and may not have been stored yet: until when it keeps the job unrecovered.
        self.charged_until: dict[str, float] = {}
        # By job that is being relocated: how many tasks it ran before. Removed once as many run again.
        self.relocating: dict[str, int] = {}

    def record_stop_request(self, job: Job) -> None:
        """Record that tasks of a job are about to be stopped, for any reason."""
        if job.phase == OPEN and job.spec is not None:
            self.ledger.record_disruption(job.job_id, job.spec.team, running_task_count(job), self.time_of_day())

    def record_lost_allocation(self, job: Job, allocation: Allocation) -> None:
        """Record an allocation that ended before its task was done. It is no longer among the job's allocations."""
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
        """Record that a drain is about to evict a job. This is called before the eviction is stored."""
        self.record_stop_request(job)
        self.relocating[job.job_id] = max(self.relocating.get(job.job_id, 0), running_task_count(job))
        self.charged_until[job.job_id] = self.clock() + CHARGE_VALID_S

    def confirm_evictions(self, job_ids: Iterable[str]) -> None:
        """Record that the evictions of these jobs were stored and that the stop commands were issued."""
        for job_id in job_ids:
            self.charged_until.pop(job_id, None)

    def begin_leadership(self) -> None:
        """Begin a leadership: all jobs that have not recovered count as being relocated, whatever stopped them."""
        self.ledger.begin_leadership(self.time_of_day())
        self.charged_until.clear()
        self.relocating.clear()
        for entry in self.ledger.entries():
            if not entry.recovered:
                self.relocating[entry.job_id] = entry.running_before

    def update_recovery(self) -> None:
        """Mark the jobs that have recovered, and stop tracking relocated jobs that run as before."""
        self.ledger.update_recovery(self.recovered_task_count, self.time_of_day())
        for job_id, running_before in list(self.relocating.items()):
            running = self.recovered_task_count(job_id)
            if running is None or running >= running_before:
                del self.relocating[job_id]

    def recovered_task_count(self, job_id: str) -> int | None:
        """How many tasks of a job run again. A job whose eviction is not confirmed counts as not recovered."""
        charged_until = self.charged_until.get(job_id)
        if charged_until is not None and charged_until > self.clock():
            return 0
        return recovered_task_count(self.jobs, job_id)
