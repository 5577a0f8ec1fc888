"""Storing the leader's decisions: many jobs in one conditional write.

Each write is conditional on the leader key, on the keys of the nodes that keep leases, and on the stamp of
each job in it. A write that was refused, or whose answer did not come, leaves its jobs to be written again
on what the service then shows.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hookwall.jobs.job import OPEN, Job, jobs_to_write
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
from hookwall.scheduling.round_state import StartRecordBudget
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_collector import ChunkCollector
from hookwall.storage.client import (
    PRECONDITIONS_PER_CHANGE,
    KeyValueClient,
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
    RequestTooLargeError,
)
from hookwall.storage.job_records import EncodedRecord, RecordTooLargeError
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.delegation_guard import DelegationGuard

log = logging.getLogger(__name__)

WRITE_GAP_S = 0.05
IDLE_S = 0.5
AFTER_FAILURE_S = 0.2
BATCH_BYTES = 56 * 1024
ENTRY_BYTES = 200  # of a transaction, beside each record
ALONE_S = 5.0  # so long after a write that was too large, each job is written by itself
FEW_PARTS = 4  # that the state of most jobs takes
PARTS_S = 2.0  # a write of one job may take the service's changes for so long: each part is one
LEAST_PARTS = 2  # and at least so many
PART_NAME_BYTES = 60  # of a record, at most half of which names its parts
PACKED_SHARE = 0.5  # of the plain form's bytes, at most, that the packed form takes (0.3 to 0.45 measured)


@dataclass(slots=True)
class PendingWrite:
    """One job's part of a write, with what has to be known once it is answered."""

    job: Job
    encoded: EncodedRecord
    new_parts: dict[str, str]
    bytes: int
    starts: dict[int, tuple[str, int]]
    phase: str
    done: int
    fresh: bool
    dirty_at: float

    def puts(self) -> int:
        """Changes that the write takes."""
        return 1 + len(self.new_parts)


class JobWriter:
    """Writes jobs that have changed, most pressing first, while this node leads."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        lead: Leadership,
        kept: DelegatedLeases,
        keep_keys: list[str],
        clock: Callable[[], float],
    ) -> None:
        self.table, self.store, self.leadership, self.clock = table, store, lead, clock
        self.delegation_guard = DelegationGuard(table, store, kept, keep_keys, clock)
        self.chunk_collector = ChunkCollector(table, store, lead, clock)
        self.write_requested = asyncio.Event()
        self.alone_until = -1e9
        self.packing_enabled: Callable[[], bool] = lambda: False
        self.reload_record: Callable[[str], Awaitable[None]] = _no_refresh
        self.on_decisions_stored: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Write for as long as the process runs."""
        while True:
            await asyncio.sleep(WRITE_GAP_S)
            jobs: list[Job] = []
            if self.leadership.valid():
                jobs = jobs_to_write(self.table.open_jobs.values(), self.clock(), self.store.has_spare_changes())
            if jobs:
                await self._write(jobs)
                continue
            if self.leadership.valid() and self.table.chunks.unreadable_records:
                await self._read_incomplete()
            if self.leadership.valid() and self.table.chunks.jobs_to_collect:
                await self.chunk_collector.collect()
            await self._wait()

    async def _wait(self) -> None:
        """Until something has changed, or for a while."""
        self.write_requested.clear()
        try:
            async with asyncio.timeout(IDLE_S):
                await self.write_requested.wait()
        except TimeoutError:
            pass

    def start_record_budget(self) -> StartRecordBudget:
        """How many bytes the starts of one job may take in the plain form: more are not made at once."""
        plain = job_records.plain_allocations_bytes(self.store.limits.value_kb)
        if not self.packing_enabled():
            return StartRecordBudget(plain, plain)
        few = (
            max(1, min(FEW_PARTS, self.store.max_transaction_changes // 2)) * self.store.max_value_bytes / PACKED_SHARE
        )
        most = self.max_state_chunks() * self.store.max_value_bytes / PACKED_SHARE
        return StartRecordBudget(min(plain, few), most)

    def max_state_chunks(self) -> int:
        """In how many parts the state of one job may be stored.

        Each takes a change, a place among the record's names, and one among the conditions of the transaction
        that writes the record, beside the leader's, the keepers' and the record's own.
        """
        by_pace = int(PARTS_S * self.store.rate_shares.changes.rate)
        by_names = self.store.max_value_bytes // PART_NAME_BYTES
        by_conditions = (
            self.store.max_transaction_changes * PRECONDITIONS_PER_CHANGE
            - len(self.delegation_guard.delegation_keys)
            - 2
        )
        return max(LEAST_PARTS, min(by_pace, by_names, by_conditions))

    # -- one write ---------------------------------------------------------------------------------

    def _prepare(self, job: Job) -> PendingWrite | None:
        """What is to be written of a job; None if no form of it fits."""
        limit = self.store.max_value_bytes if self.packing_enabled() else None
        try:
            encoded = job_records.encode_record(job.job_id, job.record(), limit)
        except RecordTooLargeError:
            log.error("record of %s does not fit the state service", job.job_id)
            return None
        there = job_records.chunk_keys(job.job_id, job.stored_value)
        new = {key: text for key, text in encoded.chunks.items() if key not in there}
        length = (
            job_records.json_bytes(encoded.value) + ENTRY_BYTES + sum(len(text) + ENTRY_BYTES for text in new.values())
        )
        starts = {a.task: (a.machine, a.attempt) for a in job.allocations.values()}
        return PendingWrite(
            job, encoded, new, length, starts, job.phase, job.done_count, job.has_unsaved_starts, job.unsaved_since
        )

    def _batch(self, jobs: list[Job]) -> list[PendingWrite]:
        """As many jobs as one transaction takes, at least one."""
        most = 1 if self.clock() < self.alone_until else self.store.batch_size()
        batch: list[PendingWrite] = []
        puts, length = 0, ENTRY_BYTES
        for job in jobs[:most]:
            write = self._prepare(job)
            if write is None:
                job.unsaved_since = self.clock()
                continue
            if batch and (puts + write.puts() > most or length + write.bytes > BATCH_BYTES):
                break
            puts, length = puts + write.puts(), length + write.bytes
            batch.append(write)
            job.has_unsaved_changes, job.has_unsaved_starts, job.unsaved_since, job.write_in_flight = (
                False,
                False,
                -1.0,
                True,
            )
        return batch

    async def _write(self, jobs: list[Job]) -> None:
        token = self.leadership.fencing_token
        batch = self._batch(jobs)
        stamp = 0
        conflict: PreconditionFailedError | None = None
        try:
            if batch:
                stamp = await self._commit(token, batch)
        except PreconditionFailedError as error:
            conflict = error
        except RequestTooLargeError as error:
            log.info("a write of %d jobs is too large: %s", len(batch), error)
            self.alone_until = self.clock() + ALONE_S
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("write of %d jobs: %s", len(batch), error)
        same = self.leadership.fencing_token == token and self.leadership.role is Role.LEADER
        for write in batch:
            self._answered(write, stamp, same)
        if not same:
            return
        if conflict is not None:
            await self._follow_conflict(conflict)
        elif stamp:
            self.on_decisions_stored()
        else:
            await asyncio.sleep(AFTER_FAILURE_S)

    async def _commit(self, token: int, batch: list[PendingWrite]) -> int:
        """Write the records with their new parts, or after them where one transaction does not take all."""
        fence = [(keys.LEADER_KEY, token), *self.delegation_guard.preconditions()]
        conditions = [*fence, *((keys.JOB_PREFIX + w.job.job_id, w.job.version) for w in batch)]
        parts = {key: text for w in batch for key, text in w.new_parts.items()}
        while not self._fit_one_transaction(parts, batch):
            # One job whose parts are many. They may be removed as long as no record names them, hence the conditions.
            first = _first_parts(parts, self.store.batch_size())
            written = await self.store.commit(conditions, first)
            for key, text in first:
                self.table.apply_chunk(key, text, written)
                conditions.append((key, written))
                del parts[key]
        put: list[tuple[str, object]] = [
            *parts.items(),
            *((keys.JOB_PREFIX + w.job.job_id, w.encoded.value) for w in batch),
        ]
        written = await self.store.commit(conditions, put)
        for key, text in parts.items():
            self.table.apply_chunk(key, text, written)
        return written

    def _fit_one_transaction(self, parts: dict[str, str], batch: list[PendingWrite]) -> bool:
        """Whether the parts that are not written yet can go with the records."""
        if not parts:
            return True
        length = sum(job_records.json_bytes(w.encoded.value) + ENTRY_BYTES for w in batch)
        length += sum(len(text) + ENTRY_BYTES for text in parts.values())
        return len(parts) + len(batch) <= max(self.store.batch_size(), len(batch)) and length <= BATCH_BYTES

    def _answered(self, write: PendingWrite, stamp: int, same: bool) -> None:
        """Take note of what became of one job's write."""
        job = write.job
        job.write_in_flight = False
        revert, job.revert_if_write_fails = job.revert_if_write_fails, False
        if same:
            self._take_note(write, stamp, revert)
        if job.deferred_record is not None:
            value, at = job.deferred_record
            job.deferred_record = None
            self.table.apply_record(keys.JOB_PREFIX + job.job_id, value, at)

    def _take_note(self, write: PendingWrite, stamp: int, revert: bool) -> None:
        """The write has happened, or its job has to be written again."""
        job = write.job
        if stamp:
            job.confirm_write(stamp, write.starts, write.phase, write.done, write.encoded.value)
            self.table.chunks.mark_readable(job.job_id)
            if job.is_final() and write.phase != OPEN:
                log.info("%s is %s", job.job_id, write.phase)
            self.table.update_indices(job)
        else:
            job.has_unsaved_changes = True
            job.has_unsaved_starts, job.unsaved_since = job.has_unsaved_starts or write.fresh, write.dirty_at
            if revert:
                self.table.revert_job(job)

    # -- what had changed meanwhile ----------------------------------------------------------------

    async def _follow_conflict(self, conflict: PreconditionFailedError) -> None:
        """Read again what a write found changed."""
        if keys.LEADER_KEY in conflict.keys:
            self.leadership.step_down("a write was refused: the leader key has changed")
            return
        keepers = [key for key in conflict.keys if key in self.delegation_guard.delegation_keys]
        if keepers:
            await self.delegation_guard.handle_changed_keys(keepers, conflict.revision)
        for key in conflict.keys:
            if not key.startswith(keys.JOB_PREFIX):
                continue
            try:
                await self.reload_record(key)
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("refresh of %s: %s", key, error)

    async def _read_incomplete(self) -> None:
        """Read a record again whose parts have not been seen: until then nothing of the job is started."""
        ref = self.table.chunks.next_unreadable_job()
        try:
            await self.reload_record(keys.JOB_PREFIX + ref)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("refresh of %s: %s", ref, error)


def _first_parts(parts: dict[str, str], most: int) -> list[tuple[str, str]]:
    """As many parts as one transaction takes, at least one."""
    first: list[tuple[str, str]] = []
    length = ENTRY_BYTES
    for key, text in parts.items():
        length += len(text) + ENTRY_BYTES
        if first and (len(first) >= most or length > BATCH_BYTES):
            break
        first.append((key, text))
    return first


async def _no_refresh(key: str) -> None:
    """Where nothing can be read."""
