"""Removes chunks that no record names any more (`job_records`).

Invariant: a chunk is removed only in a transaction on the record that does not name it, so no record loses one.
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

COLLECT_EVERY_S = 5.0


class StoredJob(Protocol):
    """What the collector asks of a job: its record as stored, and whether a write of it is under way."""

    @property
    def version(self) -> int:
        """The version of its record; 0: none is stored."""

    @property
    def write_in_flight(self) -> bool:
        """Whether a new record is being written."""

    @property
    def stored_value(self) -> object:
        """Its record as stored."""


class StoredJobs(Protocol):
    """What the collector asks of the table of jobs."""

    @property
    def jobs(self) -> Mapping[str, StoredJob]:
        """All jobs that are known, by their id."""

    @property
    def chunks(self) -> ChunkTable:
        """The chunks of their records."""


class FencingTokenHolder(Protocol):
    """What the collector asks of the leadership."""

    @property
    def fencing_token(self) -> int:
        """The version of the leader key as this leader has written it."""


class ChunkCollector:
    """Removes the unreferenced chunks of one job at a time, while changes are to spare."""

    def __init__(
        self, table: StoredJobs, store: KeyValueClient, leadership: FencingTokenHolder, clock: Callable[[], float]
    ) -> None:
        """Collect the chunks of these jobs, fenced by this leadership."""
        self.table = table
        self.store = store
        self.leadership = leadership
        self.clock = clock
        self._collected_at: float | None = None

    async def collect(self) -> None:
        """Remove chunks of one job that its record does not name, unless the record changes meanwhile.

        A job without a record may be about to get one, so its chunks stay.
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
        """Remove chunks, if the job's record still has this version."""
        chunks = self.table.chunks
        # Where the outcome is unknown they may be gone, so they are written anew if they are needed.
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
        return self._collected_at is None or self.clock() - self._collected_at >= COLLECT_EVERY_S
