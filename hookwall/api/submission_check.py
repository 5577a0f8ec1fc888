"""Checks whether a new job can be accepted.

Invariant: a job is accepted only if the key-value store shows that each job that it depends on was accepted before. So
the dependencies of accepted jobs have no cycles.
"""

import asyncio
from collections.abc import Iterable

from hookwall.api.responses import HttpResponse, error_response, retry_later
from hookwall.config.platform import TeamQuota
from hookwall.jobs.job import CANCELLED
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.job_messages import JobSpec
from hookwall.scheduling.feasibility import infeasibility_reason
from hookwall.storage import keys
from hookwall.storage.errors import OutcomeUnknownError
from hookwall.storage.read_confirmation import ReadConfirmation


class SubmissionCheck:
    """Checks a new job against machine types, quotas and the jobs that it depends on."""

    def __init__(self, table: JobTable, read_confirmation: ReadConfirmation, teams: Iterable[TeamQuota]) -> None:
        """Create a check against the jobs of `table` and the quotas of `teams`."""
        self.table = table
        self.read_confirmation = read_confirmation
        self.teams = {team.name: team for team in teams}

    async def refusal(self, spec: JobSpec, catalog: Catalog, dependencies_enabled: bool) -> HttpResponse | None:
        """Return the response that refuses a new job permanently or temporarily, or None if the job can be accepted.

        `dependencies_enabled` is whether all nodes support jobs with dependencies. Raises RequestRejectedError,
        OutcomeUnknownError or TimeoutError if the store does not confirm which dependencies were accepted.
        """
        reason = infeasibility_reason(spec, catalog, self.teams)
        if reason is None and spec.dependencies:
            if spec.job_id in spec.dependencies:
                reason = "awaits: the job itself"
            elif not dependencies_enabled:
                return retry_later("not all nodes know dependent jobs yet")
            else:
                unknown = await self._find_never_accepted(spec.dependencies)
                reason = f"awaits: {unknown} was never accepted" if unknown is not None else None
        return None if reason is None else error_response(422, reason)

    def has_cancelled_dependency(self, spec: JobSpec) -> bool:
        """Whether a job that the new job depends on is stored as cancelled, or is certain to be cancelled."""
        for job_id in spec.dependencies or ():
            job = self.table.jobs.get(job_id)
            stored_as_cancelled = job is not None and job.stored_phase == CANCELLED
            if stored_as_cancelled or self.table.dependencies.has_cancelled_dependency(job_id):
                return True
        return False

    async def _find_never_accepted(self, job_ids: list[str]) -> str | None:
        """Return one of these jobs that was never accepted, as confirmed with the store; None if all were accepted.

        One batch of jobs is confirmed at a time, and no batch after the first that contains a job that was never
        accepted. So a long list of names that nobody has submitted costs as much as one name.
        """
        unread = [job_id for job_id in job_ids if not self._record_was_read(job_id)]
        size = self.read_confirmation.max_batch_size
        for first in range(0, len(unread), size):
            batch = unread[first : first + size]
            absent = await asyncio.gather(
                *(self.read_confirmation.confirm(keys.JOB_PREFIX + job_id, 0) for job_id in batch)
            )
            for job_id, is_absent in zip(batch, absent, strict=True):
                if is_absent:
                    return job_id
                if not self._record_was_read(job_id):
                    raise OutcomeUnknownError(f"{job_id}: job record could not be read")
        return None

    def _record_was_read(self, job_id: str) -> bool:
        """Whether a record of the job has been read. Records are never deleted, so such a job was accepted."""
        job = self.table.jobs.get(job_id)
        return job is not None and job.version > 0
