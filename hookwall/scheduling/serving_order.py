"""Which jobs a round serves, and in which order: jobs within a guarantee first, then by rank, then by arrival.

Invariant: the order is total, so that the next round can continue where a round that ran out of time stopped.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hookwall.jobs.job import DONE, OPEN, Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.job_messages import JobSpec
from hookwall.scheduling.round_state import QueuedJob


class QueueKey(NamedTuple):
    """The sort key of jobs in the serving order; jobs with lower keys are served first."""

    beyond_guarantee: bool
    rank: int
    queued_at: float
    job_id: str


class QueueEntry(NamedTuple):
    """A job with pending tasks and its key in the serving order."""

    key: QueueKey
    job: Job


def serving_order(jobs: Iterable[Job], guaranteed: set[str]) -> list[QueueEntry]:
    """Return the jobs in serving order; `guaranteed` are the jobs within their team's guarantee."""
    queue = [
        QueueEntry(QueueKey(job.job_id not in guaranteed, job.rank, job.queued_at, job.job_id), job) for job in jobs
    ]
    queue.sort(key=lambda entry: entry.key)
    return queue


def pending_jobs(table: JobTable, waiting: dict[str, QueuedJob], now: float) -> list[Job]:
    """Return the jobs that have tasks to place; remove finished jobs and jobs without such tasks from `waiting`."""
    pending: list[Job] = []
    for job in table.open_jobs.values():
        if job.phase != OPEN or job.spec is None or now < job.retry_not_before:
            continue
        try:
            is_pending = _has_tasks_to_place(job, job.spec)
        except Exception:  # noqa: BLE001 - recorded with its traceback
            table.errors.record(job.job_id, JobOperation.SCHEDULE)
            is_pending = False
        if is_pending:
            pending.append(job)
        else:
            waiting.pop(job.job_id, None)
    for job_id in [job_id for job_id in waiting if job_id not in table.open_jobs]:
        del waiting[job_id]
    return pending


def _has_tasks_to_place(job: Job, spec: JobSpec) -> bool:
    """Whether tasks of a job may be placed now; a gang is placed only when none of its tasks may be on a machine."""
    if spec.gang and (job.allocations or job.unrecorded_reports):
        return False
    return bool(job.pending_tasks(1))


def finish_jobs(table: JobTable, time_of_day: Callable[[], float]) -> None:
    """Finish the jobs whose tasks are all done."""
    for job in table.open_jobs.values():
        if job.phase == OPEN and job.spec is not None and job.task_count and job.done_count >= job.task_count:
            job.phase = DONE
            job.finished_at = time_of_day()
            job.has_unsaved_changes = True
