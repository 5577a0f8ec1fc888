"""What users may ask of any node: submit, poll, cancel."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from hookwall.api.responses import DESCRIPTION_TOO_LARGE, NO_SUCH_JOB_BODY, HttpResponse, retry_later
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED, DONE, OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import job_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.job_messages import JobSpec
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.scheduling.feasibility import infeasibility_reason
from hookwall.storage import job_records, keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.storage.job_records import (
    EncodedRecord,
    JobRecord,
    MalformedRecordError,
    MissingChunksError,
    RecordTooLargeError,
)
from hookwall.storage.read_confirmation import ReadConfirmation

log = logging.getLogger(__name__)


async def _always(ref: str, stamp: int) -> bool:
    """Where there is nobody else to tell."""
    return True


PARTS_S = 3.0  # a user waits 5 s for an answer; what could not be stored by then is gone on with next time


class JobService:
    """What users may ask of any node."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        store: KeyValueClient,
        confirmer: ReadConfirmation,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.time_of_day = wall
        self.clock = table.clock
        self.params, self.table, self.store, self.read_confirmation = params, table, store, confirmer
        self.teams = {t.name: t for t in params.teams}
        self.catalog: Catalog | None = None
        # Whether a user may be told of a stored cancellation (cancellations.py).
        self.confirm_cancellation: Callable[[str, int], Awaitable[bool]] = _always
        # Whether every node knows the current formats (formats.py).
        self.packing_enabled: Callable[[], bool] = lambda: False
        # Whether all cancellations that are older than `cancel_s` are known here.
        self.cancellations_current: Callable[[], bool] = lambda: True

    # -- records ----------------------------------------------------------------------------------

    async def reload_record(self, key: str) -> None:
        """Read a job's record anew, and the parts that it names."""
        ref = key[len(keys.JOB_PREFIX) :]
        for _ in range(3):
            got = await self.store.get(key)
            if got is None:
                return
            self.table.apply_record(key, *got)
            # A part that is gone by now belonged to a record that has been replaced meanwhile.
            for part in self.table.missing_chunks(ref):
                found = await self.store.get(part)
                if found is not None:
                    self.table.apply_chunk(part, *found)
            if not self.table.missing_chunks(ref):
                return
        raise OutcomeUnknownError("parts of a record are missing")

    def _encode(self, ref: str, record: JobRecord) -> EncodedRecord:
        """A record in the form that all nodes may read now."""
        encoded = job_records.encode_record(ref, record, self.store.max_value_bytes if self.packing_enabled() else None)
        if not encoded.chunks and job_records.json_bytes(encoded.value) > self.params.state.value_kb * 1024 - 512:
            raise RecordTooLargeError(ref)
        return encoded

    async def _store(self, key: str, stamp: int, encoded: EncodedRecord, current: object = None) -> int:
        """Write a record on the condition that it has not changed; parts that don't fit beside it go first.

        Parts of a job that has no record yet are never removed. Those that an existing record does not
        name may be, so the write is conditional on them as well.
        """
        there = self.table.chunks.texts if not stamp else job_records.chunk_keys(key[len(keys.JOB_PREFIX) :], current)
        new = {k: text for k, text in encoded.chunks.items() if k not in there}
        conditions = [(key, stamp)]
        until = self.clock() + PARTS_S
        step = self.store.batch_size()
        while len(new) >= step:
            if self.clock() > until:
                raise RequestRejectedError("many parts; the rest next time")
            first = list(new.items())[:step]
            written = await self.store.commit([(key, stamp)], first)
            for part, text in first:
                self.table.apply_chunk(part, text, written)
                del new[part]
                if stamp:
                    conditions.append((part, written))
        written = await self.store.commit(conditions, [*new.items(), (key, encoded.value)])
        for part, text in new.items():
            self.table.apply_chunk(part, text, written)
        self.table.apply_record(key, encoded.value, written)
        return written

    # -- what users are told ------------------------------------------------------------------------

    def _seen(self, job: Job) -> tuple[str, int]:
        """The newest state of the job that was seen, and its stamp.

        While a write of ours is under way somebody else's may have been seen: a cancellation told to
        its user must not be followed by "running" because of the order in which we store.
        """
        parked = job.deferred_record
        if parked is not None and parked[1] > job.version and isinstance(parked[0], dict):
            phase = str(parked[0].get("phase", OPEN))
            if phase != OPEN:
                return phase, parked[1]
        return job.stored_phase, job.version

    async def job_response(self, job: Job) -> HttpResponse:
        """What the job's user is told. Cancelled only once all its tasks are certain to end in time."""
        phase, stamp = self._seen(job)
        if phase == CANCELLED and not await self.confirm_cancellation(job.job_id, stamp):
            return retry_later("the cancellation is not known to the leader yet")
        if phase == OPEN and self.table.dependencies.has_cancelled_dependency(job.job_id):
            # Said only once its own record says so: other nodes answer from that.
            return await self.cancel(job.job_id)
        if phase == OPEN and job.job_id in self.table.blocked_jobs and not self.cancellations_current():
            return retry_later("a job that this one needs may have been cancelled")
        if phase == OPEN:
            phase = "running" if job.stored_starts else "pending"
            return (
                200,
                job_messages.encode_job_status(job.job_id, phase, job.stored_done_count, len(job.stored_starts)),
                None,
            )
        return (
            200,
            job_messages.encode_job_status(
                job.job_id, phase, job.task_count if phase == DONE else job.stored_done_count, 0
            ),
            None,
        )

    async def _current(self, ref: str) -> Job | None:
        """The job as it is now. A cached version is confirmed first unless it is final."""
        job = self.table.jobs.get(ref)
        if job is not None and job.is_final() and job.version:
            return job
        await self.read_confirmation.confirm(keys.JOB_PREFIX + ref, job.version if job is not None else 0)
        job = self.table.jobs.get(ref)
        return job if job is not None and job.version else None

    async def get(self, ref: str) -> HttpResponse:
        if not job_messages.JOB_REF_PATTERN.match(ref):
            return 404, NO_SUCH_JOB_BODY, None
        if not self.store.healthy() and not self._cached_final(ref):
            return retry_later("state service")
        try:
            job = await self._current(ref)
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError):
            return retry_later("state service")
        return await self.job_response(job) if job is not None else (404, NO_SUCH_JOB_BODY, None)

    def _cached_final(self, ref: str) -> bool:
        job = self.table.jobs.get(ref)
        return job is not None and job.version > 0 and job.is_final()

    async def submit(self, body: bytes) -> HttpResponse:
        """A new job, or one that was submitted before."""
        try:
            spec = job_messages.decode_job(body)
        except MalformedMessageError as e:
            return 400, msgspec.json.encode({"error": str(e)}), None
        if self._cached_final(spec.job_id):
            return await self.job_response(self.table.jobs[spec.job_id])
        if not self.store.healthy():
            return retry_later("state service")
        try:
            return await self._submit(spec)
        except RecordTooLargeError:
            # The old format holds less; what it can't hold is taken once all nodes know the new one.
            return (
                DESCRIPTION_TOO_LARGE if self.packing_enabled() else retry_later("not all nodes know large records yet")
            )
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError, KeyError):
            return retry_later("state service")

    async def _submit(self, spec: JobSpec) -> HttpResponse:
        if spec.job_id in self.table.jobs and self.table.jobs[spec.job_id].version:
            job = await self._current(spec.job_id)
            if job is not None:
                return await self.job_response(job)
        if self.catalog is None:
            return retry_later("machine types not known yet")
        refusal = await self._refusal(spec, self.catalog)
        if refusal is not None:
            # An accepted job must not be refused later, whatever this node remembers of it.
            job = await self._current(spec.job_id)
            return await self.job_response(job) if job is not None else refusal
        return await self._accept(spec)

    async def _refusal(self, spec: JobSpec, catalog: Catalog) -> HttpResponse | None:
        """Why a new job can't be accepted, ever or now; None if it can."""
        why = infeasibility_reason(spec, catalog, self.teams)
        if why is None and spec.dependencies:
            if spec.job_id in spec.dependencies:
                why = "awaits: the job itself"
            elif not self.packing_enabled():
                return retry_later("not all nodes know dependent jobs yet")
            else:
                unknown = await self._never_accepted(spec.dependencies)
                why = f"awaits: {unknown} was never accepted" if unknown is not None else None
        return None if why is None else (422, msgspec.json.encode({"error": why}), None)

    async def _never_accepted(self, refs: list[str]) -> str | None:
        """One of these jobs that was never accepted, confirmed with the state service; None if all were.

        A few comparisons at a time, and no more after the first name that is unknown: a long list of
        names that nobody has submitted costs as much as one.
        """
        unseen = [ref for ref in refs if not self._seen_accepted(ref)]
        for at in range(0, len(unseen), self.read_confirmation.max_batch_size):
            some = unseen[at : at + self.read_confirmation.max_batch_size]
            absent = await asyncio.gather(*(self.read_confirmation.confirm(keys.JOB_PREFIX + ref, 0) for ref in some))
            for ref, is_absent in zip(some, absent, strict=True):
                if is_absent:
                    return ref
                if not self._seen_accepted(ref):
                    raise OutcomeUnknownError(f"{ref} could not be read")
        return None

    def _seen_accepted(self, ref: str) -> bool:
        """Whether a record of the job has been read: records are never deleted."""
        job = self.table.jobs.get(ref)
        return job is not None and job.version > 0

    def _needs_cancelled(self, spec: JobSpec) -> bool:
        """Whether a job that it needs is stored as cancelled, or certain to be."""
        for ref in spec.dependencies or ():
            job = self.table.jobs.get(ref)
            if self.table.dependencies.has_cancelled_dependency(ref) or (
                job is not None and job.stored_phase == CANCELLED
            ):
                return True
        return False

    async def _accept(self, spec: JobSpec) -> HttpResponse:
        """Store a new job. One that needs a cancelled job is cancelled from the start: it can never run."""
        job = Job(spec.job_id)
        job.spec, job.submitted_at, job.task_count, job.done_flags = (
            spec,
            self.time_of_day(),
            spec.task_count,
            bytearray(spec.task_count),
        )
        if self._needs_cancelled(spec):
            job.phase = CANCELLED
        key = keys.JOB_PREFIX + spec.job_id
        try:
            await self._store(key, 0, self._encode(spec.job_id, job.record()))
        except PreconditionFailedError:
            await self.reload_record(key)
            return await self.job_response(self.table.jobs[spec.job_id])
        log.debug("%s accepted: %s, %d tasks, image %s", spec.job_id, spec.job_class, spec.task_count, spec.image)
        if job.phase == OPEN and spec.dependencies:
            # What is known of its needs may be old by now, so it is told what a poll would tell.
            status, body, headers = await self.job_response(self.table.jobs[spec.job_id])
            return 201 if status == 200 else status, body, headers
        return 201, job_messages.encode_job_status(spec.job_id, "pending" if job.phase == OPEN else job.phase), None

    async def cancel(self, ref: str) -> HttpResponse:
        """Cancel a job, unless it is over."""
        if not job_messages.JOB_REF_PATTERN.match(ref):
            return 404, NO_SUCH_JOB_BODY, None
        if self._cached_final(ref):
            return await self._ended(ref, self.table.jobs[ref].stored_phase, self.table.jobs[ref].version)
        if not self.store.healthy():
            return retry_later("state service")
        key = keys.JOB_PREFIX + ref
        try:
            for _ in range(4):
                got = await self.store.get(key)
                if got is None:
                    return 404, NO_SUCH_JOB_BODY, None
                value, stamp = got
                self.table.apply_record(key, value, stamp)
                assert isinstance(value, dict)
                if value.get("phase") in (DONE, CANCELLED):
                    return await self._ended(ref, str(value["phase"]), stamp)
                try:
                    new = await self._store(key, stamp, self._withdrawn(ref, value), value)
                except PreconditionFailedError:
                    continue
                return await self._ended(ref, CANCELLED, new)
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError, RecordTooLargeError):
            pass
        return retry_later("state service")

    def _withdrawn(self, ref: str, value: dict[str, Any]) -> EncodedRecord:
        """The record of a job that is cancelled now, from the one that is stored."""
        try:
            record = job_records.decode_record(ref, value, self.table.chunks.get)
        except (MissingChunksError, MalformedRecordError):
            return EncodedRecord({**value, "phase": CANCELLED})  # the rest stays as it is
        record.phase = CANCELLED
        if not record.allocations:
            record.spec = record.submitted_at = record.done_tasks = None
        return self._encode(ref, record)

    async def _ended(self, ref: str, phase: str, stamp: int) -> HttpResponse:
        """The answer to a cancellation of a job that has ended, now or before."""
        if phase == CANCELLED and not await self.confirm_cancellation(ref, stamp):
            return retry_later("the cancellation is not known to the leader yet")
        return 200, job_messages.encode_job_status(ref, phase), None
