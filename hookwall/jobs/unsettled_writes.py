"""Jobs whose decisions became void while a write of their records was under way.

Until the outcome of such a write is known, it is not known either which of the job's tasks its record admits. Decisions
that are made meanwhile, for this job or for another one that takes what this job seemed to release, rest on a state
that may never have been stored. A write without a response may be executed at any later time, unless a newer version of
the record prevents it.

Invariant: a job is settled again only when its record is known in a newer version than the one on which the write was
conditional, or when the store has stated that it has not executed the write.
"""

import logging
from collections.abc import Mapping

from hookwall.jobs.job import Job

log = logging.getLogger(__name__)


class UnsettledWrites:
    """The jobs whose records may still change by a write that contains void decisions."""

    def __init__(self) -> None:
        """Start without such jobs."""
        self._replaced_versions: dict[str, int] = {}  # by job: the version of its record that the write replaces

    def add(self, job: Job) -> None:
        """Add a job whose write is under way while its decisions become void."""
        log.info("write outcome awaited: job=%s replaces=%d", job.job_id, job.version)
        self._replaced_versions[job.job_id] = job.version

    def concerns(self, job: Job) -> bool:
        """Whether a write of the job, begun before its decisions became void, was not settled when last seen."""
        return job.job_id in self._replaced_versions

    def settle(self, job: Job) -> None:
        """Record that no write with void decisions can change the job's record any more."""
        self._replaced_versions.pop(job.job_id, None)

    def clear(self) -> None:
        """Forget all jobs, because all records are about to be read again."""
        self._replaced_versions.clear()

    def remaining(self, jobs: Mapping[str, Job]) -> list[Job]:
        """Return the jobs that are not settled yet; those whose records have a newer version are settled."""
        for job_id, version in list(self._replaced_versions.items()):
            job = jobs[job_id]
            if job.version > version or job.record_unreadable:
                del self._replaced_versions[job_id]
        return [jobs[job_id] for job_id in self._replaced_versions]
