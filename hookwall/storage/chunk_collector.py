"""Removes chunks that no record names any more (`job_records`).

Invariant: a chunk is removed only on the precondition that the job's record still has the version that does not name
the chunk. So no record loses a chunk that it names.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from hookwall.storage import keys
from hookwall.storage.chunk_table import ChunkTable
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

COLLECTION_INTERVAL_S = 5.0


class StoredJob(Protocol):
    """The part of a job that the collector uses: its stored record, and whether a write of the record is in flight."""

    @property
    def version(self) -> int:
        """The version of the job's record; 0 if no record is stored."""

    @property
    def write_in_flight(self) -> bool:
        """Whether a new record is being written."""

    @property
    def stored_value(self) -> object:
        """The job's record as stored."""


class StoredJobs(Protocol):
    """The part of the job table that the collector uses."""

    @property
    def jobs(self) -> Mapping[str, StoredJob]:
        """All known jobs by their ids."""

    @property
    def chunks(self) -> ChunkTable:
        """The chunks of the jobs' records."""


class FencingTokenHolder(Protocol):
    """The part of leadership that the collector uses."""

    @property
    def fencing_token(self) -> int:
        """The version of the leader key that this leader has written."""


class ChunkCollector:
    """Removes the unreferenced chunks of one job at a time, while the rate limit leaves spare changes."""

    def __init__(
        self, table: StoredJobs, store: KeyValueClient, leadership: FencingTokenHolder, clock: Callable[[], float]
    ) -> None:
        """Create a collector for the chunks of the jobs in `table`, fenced by the token of `leadership`."""
        self.table = table
        self.store = store
        self.leadership = leadership
        self.clock = clock
        self._collected_at: float | None = None

    async def collect(self) -> None:
        """Remove chunks of one job that the job's record does not name, unless the record changes concurrently.

        A job without a record may be about to get one, so the chunks of such a job stay.
        """
        if not self.store.has_spare_changes() or not self._is_due():
            return
        self._collected_at = self.clock()
        chunks = self.table.chunks
        job_id = chunks.jobs_to_collect.pop()
        job = self.table.jobs.get(job_id)
        if job is None or not job.version or job.write_in_flight:
            return
        unreferenced = chunks.unreferenced_chunks(job_id, job.stored_value)[: self.store.batch_size()]
        if unreferenced:
            await self._remove(job_id, job.version, unreferenced)

    async def _remove(self, job_id: str, version: int, unreferenced: list[str]) -> None:
        """Remove chunks if the job's record still has this version."""
        chunks = self.table.chunks
        # If the outcome is unknown, the chunks count as removed at their newest known version, so that they are written
        # again if a record needs them.
        removed_at = max(chunks.versions.get(key, 0) for key in unreferenced)
        preconditions = [
            Precondition(keys.LEADER_KEY, self.leadership.fencing_token),
            Precondition(keys.JOB_PREFIX + job_id, version),
        ]
        try:
            removed_at = await self.store.commit(preconditions, delete=unreferenced)
        except (PreconditionFailedError, RequestRejectedError) as error:
            log.debug("chunks not collected: job=%s reason=%s", job_id, type(error).__name__)
            chunks.jobs_to_collect.add(job_id)
            return
        except OutcomeUnknownError as error:
            log.debug("outcome of chunk collection unknown: job=%s error=%s", job_id, error)
        for key in unreferenced:
            chunks.remove(key, removed_at)
        chunks.jobs_to_collect.add(job_id)

    def _is_due(self) -> bool:
        return self._collected_at is None or self.clock() - self._collected_at >= COLLECTION_INTERVAL_S
