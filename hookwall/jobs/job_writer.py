"""Storing the leader's decisions: many jobs in one transaction.

Invariant: each write is conditional on the leader key, on the keys of the lease delegates, and on the version of each
job in it. A write that was rejected, or whose outcome is unknown, leaves its jobs to be written again on what the store
then shows.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from hookwall.jobs.chunked_commit import ChunkGuard, commit_with_chunks
from hookwall.jobs.job import OPEN, Job, jobs_to_write
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.leadership_view import LeadershipView
from hookwall.jobs.start_record_budget import StartRecordBudget
from hookwall.jobs.write_batch import ENTRY_BYTES, MAX_TRANSACTION_BYTES, PendingWrite, next_chunks
from hookwall.leadership.roles import Role
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_collector import ChunkCollector
from hookwall.storage.client import PRECONDITIONS_PER_CHANGE, KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import (
    OutcomeUnknownError,
    PreconditionFailedError,
    RecordTooLargeError,
    RequestRejectedError,
    RequestTooLargeError,
)

log = logging.getLogger(__name__)

WRITE_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.2
SINGLE_WRITES_S = 5.0  # so long after a transaction that was too large, each job is written by itself
USUAL_STATE_CHUNKS = 4  # that the state of most jobs takes
CHUNK_WRITES_S = 2.0  # a write of one job may take the store's changes for so long: each chunk is one
MIN_STATE_CHUNKS = 2  # and at least so many
CHUNK_NAME_BYTES = 60  # of a record, at most half of which names its chunks
PACKED_SHARE = 0.5  # of the plain form's bytes, at most, that the packed form takes (0.3 to 0.45 measured)


class DelegationPreconditions(Protocol):
    """What the writer asks of the keys of the lease delegates, under which decisions are made."""

    delegation_keys: list[str]

    def preconditions(self) -> Sequence[tuple[str, int]]:
        """The keys with the versions that are known here."""

    async def handle_changed_keys(self, failed: list[str], revision: int) -> None:
        """A write found these keys changed, at `revision` or before."""


def _never() -> bool:
    """Where records are written in the plain form only."""
    return False


def _ignore() -> None:
    """Where nothing follows from stored decisions."""


class JobWriter:
    """Writes jobs that have changed, most pressing first, while this node leads."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        leadership: LeadershipView,
        delegation_guard: DelegationPreconditions,
        reload_record: Callable[[str], Awaitable[None]],
        clock: Callable[[], float],
        packing_enabled: Callable[[], bool] = _never,
        on_decisions_stored: Callable[[], None] = _ignore,
    ) -> None:
        """Write the jobs of `table` to `store`.

        `reload_record` reads the record of a key anew; `packing_enabled` tells whether all nodes read packed records;
        `on_decisions_stored` is called after each write that succeeded.
        """
        self.table = table
        self.store = store
        self.leadership = leadership
        self.delegation_guard = delegation_guard
        self.reload_record = reload_record
        self.clock = clock
        self.packing_enabled = packing_enabled
        self.on_decisions_stored = on_decisions_stored
        self.chunk_collector = ChunkCollector(table, store, leadership, clock)
        self.write_requested = asyncio.Event()
        self._single_writes_until: float | None = None

    async def run(self) -> None:
        """Write for as long as the process runs."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            jobs: list[Job] = []
            if self.leadership.valid():
                jobs = jobs_to_write(self.table.open_jobs.values(), self.clock(), self.store.has_spare_changes())
            if jobs:
                await self._write(jobs)
                continue
            if self.leadership.valid() and self.table.chunks.unreadable_records:
                await self._reload_unreadable()
            if self.leadership.valid() and self.table.chunks.jobs_to_collect:
                await self.chunk_collector.collect()
            await self._wait()

    async def _wait(self) -> None:
        """Wait until something has changed, or for a while."""
        self.write_requested.clear()
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self.write_requested.wait()
        except TimeoutError:
            pass

    # -- limits ------------------------------------------------------------------------------------

    def start_record_budget(self) -> StartRecordBudget:
        """How many bytes the starts of one job may take in the plain form: more are not made at once."""
        plain_bytes = job_records.plain_allocations_bytes(self.store.limits.value_kb)
        if not self.packing_enabled():
            return StartRecordBudget(plain_bytes, plain_bytes)
        usual_chunks = max(1, min(USUAL_STATE_CHUNKS, self.store.max_transaction_changes // 2))
        usual_bytes = usual_chunks * self.store.max_value_bytes / PACKED_SHARE
        max_bytes = self.max_state_chunks() * self.store.max_value_bytes / PACKED_SHARE
        return StartRecordBudget(min(plain_bytes, usual_bytes), max_bytes)

    def max_state_chunks(self) -> int:
        """In how many chunks the state of one job may be stored.

        Each takes a change, a place among the record's names, and one among the preconditions of the transaction that
        writes the record, beside the leader's, the lease delegates' and the record's own.
        """
        by_rate = int(CHUNK_WRITES_S * self.store.rate_shares.changes.rate)
        by_names = self.store.max_value_bytes // CHUNK_NAME_BYTES
        max_preconditions = self.store.max_transaction_changes * PRECONDITIONS_PER_CHANGE
        by_preconditions = max_preconditions - len(self.delegation_guard.delegation_keys) - 2
        return max(MIN_STATE_CHUNKS, min(by_rate, by_names, by_preconditions))

    # -- one write ---------------------------------------------------------------------------------

    def _prepare(self, job: Job) -> PendingWrite | None:
        """What is to be written of a job; None if no form of it fits."""
        try:
            return PendingWrite.prepare(job, self.store.max_value_bytes if self.packing_enabled() else None)
        except RecordTooLargeError:
            log.error("job record does not fit the store: job=%s", job.job_id)
            return None

    def _begin_batch(self, jobs: list[Job]) -> list[PendingWrite]:
        """Begin writes of as many jobs as one transaction takes, at least one."""
        single = self._single_writes_until is not None and self.clock() < self._single_writes_until
        max_changes = 1 if single else self.store.batch_size()
        batch: list[PendingWrite] = []
        changes = 0
        transaction_bytes = ENTRY_BYTES
        for job in jobs[:max_changes]:
            write = self._prepare(job)
            if write is None:
                job.unsaved_since = self.clock()
                continue
            changes += write.change_count()
            transaction_bytes += write.total_bytes()
            if batch and (changes > max_changes or transaction_bytes > MAX_TRANSACTION_BYTES):
                break
            batch.append(write)
            write.begin()
        return batch

    async def _write(self, jobs: list[Job]) -> None:
        """Write the first of these jobs, and follow the outcome."""
        fencing_token = self.leadership.fencing_token
        batch = self._begin_batch(jobs)
        version = 0
        conflict: PreconditionFailedError | None = None
        try:
            if batch:
                version = await self._commit(fencing_token, batch)
        except PreconditionFailedError as error:
            conflict = error
        except RequestTooLargeError as error:
            log.info("transaction too large: jobs=%d error=%s", len(batch), error)
            self._single_writes_until = self.clock() + SINGLE_WRITES_S
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("transaction not confirmed: jobs=%d error=%s", len(batch), error)
        still_leader = self.leadership.fencing_token == fencing_token and self.leadership.role is Role.LEADER
        for write in batch:
            self._finish(write, version, still_leader)
        if not still_leader:
            return
        if conflict is not None:
            await self._resolve_conflict(conflict)
        elif version:
            self.on_decisions_stored()
        else:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _commit(self, fencing_token: int, batch: list[PendingWrite]) -> int:
        """Write the records of a batch with their new chunks; gives the records' version."""
        preconditions: list[Precondition] = [
            Precondition(keys.LEADER_KEY, fencing_token),
            *(Precondition(*known) for known in self.delegation_guard.preconditions()),
            *(Precondition(write.key, write.job.version) for write in batch),
        ]
        return await commit_with_chunks(
            self.store,
            self.table,
            preconditions,
            chunks={key: text for write in batch for key, text in write.new_chunks.items()},
            records=[Put(write.key, write.encoded.value) for write in batch],
            next_batch=lambda remaining: next_chunks(remaining, batch, self.store.batch_size()),
            guard=ChunkGuard.ALL,
        )

    def _finish(self, write: PendingWrite, version: int, still_leader: bool) -> None:
        """End one job's write: it has succeeded with this version, or `version` is 0."""
        job = write.job
        job.write_in_flight = False
        revert = job.revert_if_write_fails
        job.revert_if_write_fails = False
        if still_leader and version:
            self._confirm(write, version)
        elif still_leader:
            self._restore(write, revert)
        if job.deferred_record is not None:
            deferred = job.deferred_record
            job.deferred_record = None
            self.table.apply_record(write.key, deferred.value, deferred.version)

    def _confirm(self, write: PendingWrite, version: int) -> None:
        """A job's write has succeeded."""
        job = write.job
        job.confirm_write(version, write.starts, write.phase, write.done_count, write.encoded.value)
        self.table.chunks.mark_readable(job.job_id)
        if job.is_final() and write.phase != OPEN:
            log.info("job final: job=%s phase=%s", job.job_id, write.phase)
        self.table.update_indices(job)

    def _restore(self, write: PendingWrite, revert: bool) -> None:
        """A job's write has failed, or may have: it is to be written again, or reverted."""
        job = write.job
        job.has_unsaved_changes = True
        job.has_unsaved_starts = job.has_unsaved_starts or write.had_unsaved_starts
        job.unsaved_since = write.unsaved_since
        if revert:
            self.table.revert_job(job)

    # -- what had changed meanwhile ----------------------------------------------------------------

    async def _resolve_conflict(self, conflict: PreconditionFailedError) -> None:
        """Read again what a write found changed."""
        if keys.LEADER_KEY in conflict.keys:
            self.leadership.step_down("a write was refused: the leader key has changed")
            return
        delegation_keys = [key for key in conflict.keys if key in self.delegation_guard.delegation_keys]
        if delegation_keys:
            await self.delegation_guard.handle_changed_keys(delegation_keys, conflict.revision)
        for key in conflict.keys:
            if key.startswith(keys.JOB_PREFIX):
                await self._try_reload(key)

    async def _reload_unreadable(self) -> None:
        """Read a record again whose chunks are missing: until they are here nothing of the job is started."""
        await self._try_reload(keys.JOB_PREFIX + self.table.chunks.next_unreadable_job())

    async def _try_reload(self, key: str) -> None:
        """Read a record anew; if it can't be read it stays as it is known."""
        try:
            await self.reload_record(key)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("job record not reloaded: job=%s error=%s", key[len(keys.JOB_PREFIX) :], error)
