"""Stores the leader's decisions, with many jobs in one transaction.

Invariant: each write is conditional on the leader key, on the keys of the lease delegates, and on the version of each
job in it. After a write that was rejected or whose outcome is unknown, its jobs are written again, based on the state
that the store then shows.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from hookwall.jobs.chunked_commit import ChunkGuard, commit_with_chunks
from hookwall.jobs.conflict_resolution import ConflictResolver, DelegationPreconditions
from hookwall.jobs.job import OPEN, Job, jobs_to_write
from hookwall.jobs.job_errors import JobOperation
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.leadership_view import LeadershipView
from hookwall.jobs.start_record_budget import StartRecordBudget
from hookwall.jobs.write_batch import ENTRY_OVERHEAD_BYTES, MAX_TRANSACTION_BYTES, PendingWrite, next_chunks
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
SINGLE_JOB_WRITES_S = 5.0  # how long each job is written in its own transaction after a transaction was too large
USUAL_STATE_CHUNKS = 4  # enough for the state of most jobs
CHUNK_WRITES_S = 2.0  # how long one job's write may use up the store's rate of changes; each chunk is one change
MIN_STATE_CHUNKS = 2  # allowed even if the limits permit fewer
RECORD_BYTES_PER_CHUNK_NAME = 60  # so that the names of chunks take at most half of a record
PACKED_SIZE_RATIO = 0.5  # upper bound of the ratio of packed to plain size; packed records typically have 0.3 to 0.45


class WriteOutcome(NamedTuple):
    """The outcome of one transaction: the version of its records, or 0 and whether the store has refused it."""

    version: int = 0
    conflict: PreconditionFailedError | None = None
    too_large: bool = False
    may_be_executed: bool = False  # whether it may have been executed, or may still be, although that is not known


def _packing_disabled() -> bool:
    """Disable packed records, for use where records are written in the plain form only."""
    return False


def _no_action() -> None:
    """Do nothing; the default callback."""


def _ignore_revision(_revision: int) -> None:
    """Do nothing; the default for owners that send no commands."""


class JobWriter:
    """Writes jobs that have changed, in order of priority, while this node leads."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        leadership: LeadershipView,
        delegation_guard: DelegationPreconditions,
        reload_record: Callable[[str], Awaitable[None]],
        clock: Callable[[], float],
        packing_enabled: Callable[[], bool] = _packing_disabled,
        on_decisions_stored: Callable[[], None] = _no_action,
        request_full_read: Callable[[], None] = _no_action,
        on_committed: Callable[[int], None] = _ignore_revision,
    ) -> None:
        """Write the jobs of `table` to `store`.

        `reload_record` reads the record of a key again; `packing_enabled` returns whether all nodes can read packed
        records; `on_decisions_stored` is called after each successful write; `request_full_read` lets the watch read
        all keys again; `on_committed` is called with the revision of each successful write of the present term.
        """
        self.table = table
        self.store = store
        self.leadership = leadership
        self.delegation_guard = delegation_guard
        self.clock = clock
        self.packing_enabled = packing_enabled
        self.on_decisions_stored = on_decisions_stored
        self.on_committed = on_committed
        self.conflicts = ConflictResolver(leadership, delegation_guard, reload_record, request_full_read, clock)
        self.chunk_collector = ChunkCollector(table, store, leadership, clock)
        self.write_requested = asyncio.Event()
        self._single_job_writes_until: float | None = None

    async def run(self) -> None:
        """Write changed jobs until the process ends."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            jobs: list[Job] = []
            if self.leadership.valid():
                jobs = self._next_jobs()
            if jobs:
                await self._write(jobs)
                continue
            if self.leadership.valid() and self.table.chunks.unreadable_records:
                await self._reload_unreadable()
            if self.leadership.valid() and self.table.chunks.jobs_to_collect:
                await self.chunk_collector.collect()
            await self._wait()

    def _next_jobs(self) -> list[Job]:
        """The jobs to store next. A new write of an unsettled job keeps the earlier one from being executed late."""
        changed = jobs_to_write(self.table.open_jobs.values(), self.clock(), self.store.has_spare_changes())
        return list(dict.fromkeys([*self.table.unsettled_jobs(), *changed]))

    async def _wait(self) -> None:
        """Wait until a write is requested, or until the idle interval has passed."""
        self.write_requested.clear()
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self.write_requested.wait()
        except TimeoutError:
            pass

    # -- limits ------------------------------------------------------------------------------------

    def start_record_budget(self) -> StartRecordBudget:
        """The bytes that the starts of one job may take in the plain form; no further tasks are started beyond that."""
        plain_bytes = job_records.plain_allocations_bytes(self.store.limits.value_kb)
        if not self.packing_enabled():
            return StartRecordBudget(plain_bytes, plain_bytes)
        usual_chunks = max(1, min(USUAL_STATE_CHUNKS, self.store.max_transaction_changes // 2))
        usual_bytes = usual_chunks * self.store.max_value_bytes / PACKED_SIZE_RATIO
        max_bytes = self.max_state_chunks() * self.store.max_value_bytes / PACKED_SIZE_RATIO
        return StartRecordBudget(min(plain_bytes, usual_bytes), max_bytes)

    def max_state_chunks(self) -> int:
        """The number of chunks in which the state of one job may be stored.

        Each chunk takes one change, one name in the record, and one precondition of the transaction that writes the
        record. That transaction also has preconditions on the leader key, the lease delegates' keys and the record.
        """
        by_rate = int(CHUNK_WRITES_S * self.store.rate_shares.changes.rate)
        by_names = self.store.max_value_bytes // RECORD_BYTES_PER_CHUNK_NAME
        max_preconditions = self.store.max_transaction_changes * PRECONDITIONS_PER_CHANGE
        by_preconditions = max_preconditions - len(self.delegation_guard.delegation_keys) - 2
        return max(MIN_STATE_CHUNKS, min(by_rate, by_names, by_preconditions))

    # -- one write ---------------------------------------------------------------------------------

    def _prepare(self, job: Job) -> PendingWrite | None:
        """Prepare the write of a job. Return None if its record can't be encoded, or does not fit in any form."""
        try:
            return PendingWrite.prepare(job, self.store.max_value_bytes if self.packing_enabled() else None)
        except RecordTooLargeError:
            log.error("job record does not fit the store: job=%s", job.job_id)
        except Exception:  # noqa: BLE001 - recorded with its traceback
            self.table.errors.record(job.job_id, JobOperation.ENCODE_RECORD)
        return None

    def _begin_batch(self, jobs: list[Job]) -> list[PendingWrite]:
        """Begin the writes of the first jobs, up to the limits of one transaction.

        The batch includes at least one job even if that exceeds the limits. Jobs whose records do not fit the store are
        skipped.
        """
        single_job_writes = self._single_job_writes_until is not None and self.clock() < self._single_job_writes_until
        max_changes = 1 if single_job_writes else self.store.batch_size()
        batch: list[PendingWrite] = []
        changes = 0
        transaction_bytes = ENTRY_OVERHEAD_BYTES
        for job in jobs[:max_changes]:
            write = self._prepare(job)
            if write is None:
                job.unsaved_since = self.clock()
                self.table.unsettled_writes.give_up(job)
                continue
            changes += write.change_count()
            transaction_bytes += write.total_bytes()
            if batch and (changes > max_changes or transaction_bytes > MAX_TRANSACTION_BYTES):
                break
            batch.append(write)
        for write in batch:
            write.begin()
        return batch

    async def _write(self, jobs: list[Job]) -> None:
        """Write the first of these jobs in one transaction, and process its outcome."""
        fencing_token = self.leadership.fencing_token
        batch = self._begin_batch(jobs)
        outcome = WriteOutcome(may_be_executed=True)
        try:
            if batch:
                outcome = await self._try_commit(fencing_token, batch)
        finally:  # also after an unexpected error, or these jobs would count as being written for good
            still_leader = self.leadership.fencing_token == fencing_token and self.leadership.role is Role.LEADER
            if still_leader and outcome.version:
                self.on_committed(outcome.version)
            for write in batch:
                self._finish(write, outcome, still_leader)
        if still_leader:
            await self._follow_up(outcome)

    async def _try_commit(self, fencing_token: int, batch: list[PendingWrite]) -> WriteOutcome:
        """Write the records of a batch, and return the outcome."""
        try:
            return WriteOutcome(await self._commit(fencing_token, batch))
        except PreconditionFailedError as error:
            return WriteOutcome(conflict=error)
        except RequestTooLargeError as error:
            log.info("transaction too large: jobs=%d error=%s", len(batch), error)
            self._single_job_writes_until = self.clock() + SINGLE_JOB_WRITES_S
            return WriteOutcome(too_large=True)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("transaction not confirmed: jobs=%d error=%s", len(batch), error)
            return WriteOutcome(may_be_executed=isinstance(error, OutcomeUnknownError))

    async def _follow_up(self, outcome: WriteOutcome) -> None:
        """Act on the outcome of a transaction of the present leadership."""
        if outcome.conflict is not None:
            await self.conflicts.resolve(outcome.conflict)
        elif outcome.version:
            self.conflicts.record_success()
            self.on_decisions_stored()
        else:
            if outcome.too_large:
                await self.conflicts.handle_refusal([])
            await asyncio.sleep(RETRY_DELAY_S)

    async def _commit(self, fencing_token: int, batch: list[PendingWrite]) -> int:
        """Write the records of a batch with their new chunks; return the version of the records."""
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

    def _finish(self, write: PendingWrite, outcome: WriteOutcome, still_leader: bool) -> None:
        """Process the end of one job's write, and apply a record that was received while it was in flight."""
        job = write.job
        job.write_in_flight = False
        if still_leader:
            if outcome.version:
                self._confirm(write, outcome.version)
            else:
                self._restore(write)
            self.table.finish_write(job, outcome.may_be_executed)
        if job.deferred_record is not None:
            deferred = job.deferred_record
            job.deferred_record = None
            self.table.apply_record(write.key, deferred.value, deferred.version)

    def _confirm(self, write: PendingWrite, version: int) -> None:
        """Update the job after its write has succeeded."""
        job = write.job
        job.confirm_write(version, write.starts, write.phase, write.done_count, write.encoded.value)
        self.table.chunks.mark_readable(job.job_id)
        if job.is_final() and write.phase != OPEN:
            log.info("job final: job=%s phase=%s", job.job_id, write.phase)
        self.table.update_indices(job)

    def _restore(self, write: PendingWrite) -> None:
        """Mark a job whose write failed, or may have failed, as unsaved again."""
        job = write.job
        job.has_unsaved_changes = True
        job.has_unsaved_starts = job.has_unsaved_starts or write.had_unsaved_starts
        job.unsaved_since = write.unsaved_since

    async def _reload_unreadable(self) -> None:
        """Reload one record whose chunks are missing. None of its job's tasks is started until they are available."""
        await self.conflicts.try_reload(keys.JOB_PREFIX + self.table.chunks.next_unreadable_job())
