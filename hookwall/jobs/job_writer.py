"""Storing the leader's decisions: many jobs in one conditional write.

Each write is conditional on the leader key, on the keys of the nodes that keep leases, and on the stamp of
each job in it. A write that was refused, or whose answer did not come, leaves its jobs to be written again
on what the service then shows.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hookwall.jobs.job import OPEN, Job, write_order
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
from hookwall.scheduling.round_state import StartRoom
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_collector import PartCollector
from hookwall.storage.client import CONDITIONS_PER_CHANGE, Conflict, Refused, Store, TooLarge, Unknown
from hookwall.storage.job_records import Encoded, RecordTooLarge
from hookwall.workers.delegated_leases import Kept
from hookwall.workers.delegation_guard import KeeperConditions

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
    encoded: Encoded
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
        store: Store,
        lead: Leadership,
        kept: Kept,
        keep_keys: list[str],
        clock: Callable[[], float],
    ) -> None:
        self.table, self.store, self.lead, self.clock = table, store, lead, clock
        self.keepers = KeeperConditions(table, store, kept, keep_keys, clock)
        self.collector = PartCollector(table, store, lead, clock)
        self.wake = asyncio.Event()
        self.alone_until = -1e9
        self.new_formats: Callable[[], bool] = lambda: False
        self.refresh: Callable[[str], Awaitable[None]] = _no_refresh
        self.on_stored: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Write for as long as the process runs."""
        while True:
            await asyncio.sleep(WRITE_GAP_S)
            jobs: list[Job] = []
            if self.lead.valid():
                jobs = write_order(self.table.open.values(), self.clock(), self.store.spare())
            if jobs:
                await self._write(jobs)
                continue
            if self.lead.valid() and self.table.parts.incomplete:
                await self._read_incomplete()
            if self.lead.valid() and self.table.parts.stale:
                await self.collector.collect()
            await self._wait()

    async def _wait(self) -> None:
        """Until something has changed, or for a while."""
        self.wake.clear()
        try:
            async with asyncio.timeout(IDLE_S):
                await self.wake.wait()
        except TimeoutError:
            pass

    def start_room(self) -> StartRoom:
        """How many bytes the starts of one job may take in the plain form: more are not made at once."""
        plain = job_records.plain_starts_bytes(self.store.limits.value_kb)
        if not self.new_formats():
            return StartRoom(plain, plain)
        few = max(1, min(FEW_PARTS, self.store.txn_ops // 2)) * self.store.value_limit / PACKED_SHARE
        most = self.state_parts() * self.store.value_limit / PACKED_SHARE
        return StartRoom(min(plain, few), most)

    def state_parts(self) -> int:
        """In how many parts the state of one job may be stored.

        Each takes a change, a place among the record's names, and one among the conditions of the transaction
        that writes the record, beside the leader's, the keepers' and the record's own.
        """
        by_pace = int(PARTS_S * self.store.pace.changes.rate)
        by_names = self.store.value_limit // PART_NAME_BYTES
        by_conditions = self.store.txn_ops * CONDITIONS_PER_CHANGE - len(self.keepers.keep_keys) - 2
        return max(LEAST_PARTS, min(by_pace, by_names, by_conditions))

    # -- one write ---------------------------------------------------------------------------------

    def _prepare(self, job: Job) -> PendingWrite | None:
        """What is to be written of a job; None if no form of it fits."""
        limit = self.store.value_limit if self.new_formats() else None
        try:
            encoded = job_records.encode(job.ref, job.record(), limit)
        except RecordTooLarge:
            log.error("record of %s does not fit the state service", job.ref)
            return None
        there = job_records.part_keys(job.ref, job.raw)
        new = {key: text for key, text in encoded.parts.items() if key not in there}
        length = job_records.size(encoded.value) + ENTRY_BYTES + sum(len(text) + ENTRY_BYTES for text in new.values())
        starts = {a.task: (a.machine, a.attempt) for a in job.active.values()}
        return PendingWrite(job, encoded, new, length, starts, job.phase, job.n_done, job.fresh, job.dirty_at)

    def _batch(self, jobs: list[Job]) -> list[PendingWrite]:
        """As many jobs as one transaction takes, at least one."""
        most = 1 if self.clock() < self.alone_until else self.store.batch()
        batch: list[PendingWrite] = []
        puts, length = 0, ENTRY_BYTES
        for job in jobs[:most]:
            write = self._prepare(job)
            if write is None:
                job.dirty_at = self.clock()
                continue
            if batch and (puts + write.puts() > most or length + write.bytes > BATCH_BYTES):
                break
            puts, length = puts + write.puts(), length + write.bytes
            batch.append(write)
            job.dirty, job.fresh, job.dirty_at, job.writing = False, False, -1.0, True
        return batch

    async def _write(self, jobs: list[Job]) -> None:
        token = self.lead.token
        batch = self._batch(jobs)
        stamp = 0
        conflict: Conflict | None = None
        try:
            if batch:
                stamp = await self._commit(token, batch)
        except Conflict as error:
            conflict = error
        except TooLarge as error:
            log.info("a write of %d jobs is too large: %s", len(batch), error)
            self.alone_until = self.clock() + ALONE_S
        except (Refused, Unknown) as error:
            log.debug("write of %d jobs: %s", len(batch), error)
        same = self.lead.token == token and self.lead.role is Role.LEADER
        for write in batch:
            self._answered(write, stamp, same)
        if not same:
            return
        if conflict is not None:
            await self._follow_conflict(conflict)
        elif stamp:
            self.on_stored()
        else:
            await asyncio.sleep(AFTER_FAILURE_S)

    async def _commit(self, token: int, batch: list[PendingWrite]) -> int:
        """Write the records with their new parts, or after them where one transaction does not take all."""
        fence = [(keys.LEADER, token), *self.keepers.now()]
        conditions = [*fence, *((keys.JOBS + w.job.ref, w.job.stamp) for w in batch)]
        parts = {key: text for w in batch for key, text in w.new_parts.items()}
        while not self._fit_one_transaction(parts, batch):
            # One job whose parts are many. They may be removed as long as no record names them, hence the conditions.
            first = _first_parts(parts, self.store.batch())
            written = await self.store.commit(conditions, first)
            for key, text in first:
                self.table.take_part(key, text, written)
                conditions.append((key, written))
                del parts[key]
        put: list[tuple[str, object]] = [*parts.items(), *((keys.JOBS + w.job.ref, w.encoded.value) for w in batch)]
        written = await self.store.commit(conditions, put)
        for key, text in parts.items():
            self.table.take_part(key, text, written)
        return written

    def _fit_one_transaction(self, parts: dict[str, str], batch: list[PendingWrite]) -> bool:
        """Whether the parts that are not written yet can go with the records."""
        if not parts:
            return True
        length = sum(job_records.size(w.encoded.value) + ENTRY_BYTES for w in batch)
        length += sum(len(text) + ENTRY_BYTES for text in parts.values())
        return len(parts) + len(batch) <= max(self.store.batch(), len(batch)) and length <= BATCH_BYTES

    def _answered(self, write: PendingWrite, stamp: int, same: bool) -> None:
        """Take note of what became of one job's write."""
        job = write.job
        job.writing = False
        revert, job.revert_after_write = job.revert_after_write, False
        if same:
            self._take_note(write, stamp, revert)
        if job.parked is not None:
            value, at = job.parked
            job.parked = None
            self.table.apply(keys.JOBS + job.ref, value, at)

    def _take_note(self, write: PendingWrite, stamp: int, revert: bool) -> None:
        """The write has happened, or its job has to be written again."""
        job = write.job
        if stamp:
            job.stored(stamp, write.starts, write.phase, write.done, write.encoded.value)
            self.table.parts.complete(job.ref)
            if job.final() and write.phase != OPEN:
                log.info("%s is %s", job.ref, write.phase)
            self.table.note(job)
        else:
            job.dirty = True
            job.fresh, job.dirty_at = job.fresh or write.fresh, write.dirty_at
            if revert:
                self.table.revert_job(job)

    # -- what had changed meanwhile ----------------------------------------------------------------

    async def _follow_conflict(self, conflict: Conflict) -> None:
        """Read again what a write found changed."""
        if keys.LEADER in conflict.failed:
            self.lead.step_down("a write was refused: the leader key has changed")
            return
        keepers = [key for key in conflict.failed if key in self.keepers.keep_keys]
        if keepers:
            await self.keepers.changed(keepers, conflict.epoch)
        for key in conflict.failed:
            if not key.startswith(keys.JOBS):
                continue
            try:
                await self.refresh(key)
            except (Refused, Unknown) as error:
                log.debug("refresh of %s: %s", key, error)

    async def _read_incomplete(self) -> None:
        """Read a record again whose parts have not been seen: until then nothing of the job is started."""
        ref = self.table.parts.next_incomplete()
        try:
            await self.refresh(keys.JOBS + ref)
        except (Refused, Unknown) as error:
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
