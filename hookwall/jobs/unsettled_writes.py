"""Jobs whose decisions became void while a write of their records was under way.

Until the outcome of such a write is known, it is not known either which of the job's tasks its record admits. Decisions
that are made meanwhile, for this job or for another one that takes what this job seemed to release, rest on a state
that may never have been stored. A write without a response may be executed at any later time, unless a newer version of
the record prevents it.

Invariant: a job is settled again only when its record is known in a newer version than the one on which the write was
conditional, or when the store has stated that it has not executed the write and none before it is outstanding.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass

from hookwall.jobs.job import Job

log = logging.getLogger(__name__)


@dataclass(slots=True)
class UnsettledWrite:
    """A write that contains void decisions."""

    replaced_version: int  # the version of the record on which it is conditional
    may_be_executed_late: bool = False  # whether it, or an earlier one of the same kind, has ended without a response


class UnsettledWrites:
    """The jobs whose records may still change by a write that contains void decisions."""

    def __init__(self) -> None:
        """Start without such jobs."""
        self._writes: dict[str, UnsettledWrite] = {}  # by job

    def add(self, job: Job) -> None:
        """Add a job whose write is under way while its decisions become void."""
        if job.job_id not in self._writes:
            log.info("write outcome awaited: job=%s replaces=%d", job.job_id, job.version)
            self._writes[job.job_id] = UnsettledWrite(job.version)

    def concerns(self, job: Job) -> bool:
        """Whether decisions about the job became void during a write of it that is not settled."""
        return job.job_id in self._writes

    def finish(self, job: Job, may_be_executed: bool) -> None:
        """Record the end of a write of an unsettled job; `may_be_executed`: whether it has ended without a response."""
        write = self._writes[job.job_id]
        write.may_be_executed_late = write.may_be_executed_late or may_be_executed
        if job.version > write.replaced_version or not write.may_be_executed_late:
            del self._writes[job.job_id]

    def give_up(self, job: Job) -> None:
        """Settle a job whose record can't be written, so that it does not keep other jobs from running."""
        self._writes.pop(job.job_id, None)

    def clear(self) -> None:
        """Forget all jobs, because all records are about to be read again."""
        self._writes.clear()

    def remaining(self, jobs: Mapping[str, Job]) -> list[Job]:
        """Return the jobs that are not settled yet; those whose records have a newer version are settled."""
        for job_id, write in list(self._writes.items()):
            job = jobs[job_id]
            if job.version > write.replaced_version or job.record_unreadable:
                del self._writes[job_id]
        return [jobs[job_id] for job_id in self._writes]
