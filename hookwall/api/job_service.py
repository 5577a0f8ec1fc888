"""What users may ask of any node: submit, poll, cancel."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from hookwall.api.responses import NO_SUCH_JOB, TOO_LARGE, Answer, later
from hookwall.config.platform import Params
from hookwall.jobs.job import DONE, OPEN, WITHDRAWN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import job_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.job_messages import JobSpec
from hookwall.protocol.json_messages import BadMessage
from hookwall.scheduling.feasibility import why_impossible
from hookwall.storage import job_records, keys
from hookwall.storage.client import Conflict, Refused, Store, Unknown
from hookwall.storage.job_records import Encoded, JobRecord, MalformedRecord, MissingParts, RecordTooLarge
from hookwall.storage.read_confirmation import Confirmer

log = logging.getLogger(__name__)


async def _always(ref: str, stamp: int) -> bool:
    """Where there is nobody else to tell."""
    return True


PARTS_S = 3.0  # a user waits 5 s for an answer; what could not be stored by then is gone on with next time


class UserApi:
    """What users may ask of any node."""

    def __init__(
        self,
        params: Params,
        table: JobTable,
        store: Store,
        confirmer: Confirmer,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.wall = wall
        self.clock = table.clock
        self.params, self.table, self.store, self.confirmer = params, table, store, confirmer
        self.teams = {t.name: t for t in params.teams}
        self.catalog: Catalog | None = None
        # Whether a user may be told of a stored cancellation (cancellations.py).
        self.confirmed: Callable[[str, int], Awaitable[bool]] = _always
        # Whether every node knows the current formats (formats.py).
        self.new_formats: Callable[[], bool] = lambda: False
        # Whether all cancellations that are older than `cancel_s` are known here.
        self.current: Callable[[], bool] = lambda: True

    # -- records ----------------------------------------------------------------------------------

    async def refresh(self, key: str) -> None:
        """Read a job's record anew, and the parts that it names."""
        ref = key[len(keys.JOBS) :]
        for _ in range(3):
            got = await self.store.get(key)
            if got is None:
                return
            self.table.apply(key, *got)
            # A part that is gone by now belonged to a record that has been replaced meanwhile.
            for part in self.table.missing_parts(ref):
                found = await self.store.get(part)
                if found is not None:
                    self.table.take_part(part, *found)
            if not self.table.missing_parts(ref):
                return
        raise Unknown("parts of a record are missing")

    def _encode(self, ref: str, record: JobRecord) -> Encoded:
        """A record in the form that all nodes may read now."""
        encoded = job_records.encode(ref, record, self.store.value_limit if self.new_formats() else None)
        if not encoded.parts and job_records.size(encoded.value) > self.params.state.value_kb * 1024 - 512:
            raise RecordTooLarge(ref)
        return encoded

    async def _store(self, key: str, stamp: int, encoded: Encoded, current: object = None) -> int:
        """Write a record on the condition that it has not changed; parts that don't fit beside it go first.

        Parts of a job that has no record yet are never removed. Those that an existing record does not
        name may be, so the write is conditional on them as well.
        """
        there = self.table.parts.texts if not stamp else job_records.part_keys(key[len(keys.JOBS) :], current)
        new = {k: text for k, text in encoded.parts.items() if k not in there}
        conditions = [(key, stamp)]
        until = self.clock() + PARTS_S
        step = self.store.batch()
        while len(new) >= step:
            if self.clock() > until:
                raise Refused("many parts; the rest next time")
            first = list(new.items())[:step]
            written = await self.store.commit([(key, stamp)], first)
            for part, text in first:
                self.table.take_part(part, text, written)
                del new[part]
                if stamp:
                    conditions.append((part, written))
        written = await self.store.commit(conditions, [*new.items(), (key, encoded.value)])
        for part, text in new.items():
            self.table.take_part(part, text, written)
        self.table.apply(key, encoded.value, written)
        return written

    # -- what users are told ------------------------------------------------------------------------

    def _seen(self, job: Job) -> tuple[str, int]:
        """The newest state of the job that was seen, and its stamp.

        While a write of ours is under way somebody else's may have been seen: a cancellation told to
        its user must not be followed by "running" because of the order in which we store.
        """
        parked = job.parked
        if parked is not None and parked[1] > job.stamp and isinstance(parked[0], dict):
            phase = str(parked[0].get("phase", OPEN))
            if phase != OPEN:
                return phase, parked[1]
        return job.stored_phase, job.stamp

    async def _state(self, job: Job) -> Answer:
        """What the job's user is told. Cancelled only once all its tasks are certain to end in time."""
        phase, stamp = self._seen(job)
        if phase == WITHDRAWN and not await self.confirmed(job.ref, stamp):
            return later("the cancellation is not known to the leader yet")
        if phase == OPEN and self.table.graph.cancelled_with(job.ref):
            # Said only once its own record says so: other nodes answer from that.
            return await self.cancel(job.ref)
        if phase == OPEN and job.ref in self.table.blocked and not self.current():
            return later("a job that this one needs may have been cancelled")
        if phase == OPEN:
            phase = "running" if job.stored_on else "pending"
            return 200, job_messages.job_answer(job.ref, phase, job.stored_done, len(job.stored_on)), None
        return 200, job_messages.job_answer(job.ref, phase, job.tasks if phase == DONE else job.stored_done, 0), None

    async def _current(self, ref: str) -> Job | None:
        """The job as it is now. A cached version is confirmed first unless it is final."""
        job = self.table.jobs.get(ref)
        if job is not None and job.final() and job.stamp:
            return job
        await self.confirmer.confirm(keys.JOBS + ref, job.stamp if job is not None else 0)
        job = self.table.jobs.get(ref)
        return job if job is not None and job.stamp else None

    async def get(self, ref: str) -> Answer:
        if not job_messages.REF.match(ref):
            return 404, NO_SUCH_JOB, None
        if not self.store.healthy() and not self._cached_final(ref):
            return later("state service")
        try:
            job = await self._current(ref)
        except (Refused, Unknown, TimeoutError):
            return later("state service")
        return await self._state(job) if job is not None else (404, NO_SUCH_JOB, None)

    def _cached_final(self, ref: str) -> bool:
        job = self.table.jobs.get(ref)
        return job is not None and job.stamp > 0 and job.final()

    async def submit(self, body: bytes) -> Answer:
        """A new job, or one that was submitted before."""
        try:
            spec = job_messages.decode_job(body)
        except BadMessage as e:
            return 400, msgspec.json.encode({"error": str(e)}), None
        if self._cached_final(spec.ref):
            return await self._state(self.table.jobs[spec.ref])
        if not self.store.healthy():
            return later("state service")
        try:
            return await self._submit(spec)
        except RecordTooLarge:
            # The old format holds less; what it can't hold is taken once all nodes know the new one.
            return TOO_LARGE if self.new_formats() else later("not all nodes know large records yet")
        except (Refused, Unknown, TimeoutError, KeyError):
            return later("state service")

    async def _submit(self, spec: JobSpec) -> Answer:
        if spec.ref in self.table.jobs and self.table.jobs[spec.ref].stamp:
            job = await self._current(spec.ref)
            if job is not None:
                return await self._state(job)
        if self.catalog is None:
            return later("machine types not known yet")
        refusal = await self._refusal(spec, self.catalog)
        if refusal is not None:
            # An accepted job must not be refused later, whatever this node remembers of it.
            job = await self._current(spec.ref)
            return await self._state(job) if job is not None else refusal
        return await self._accept(spec)

    async def _refusal(self, spec: JobSpec, catalog: Catalog) -> Answer | None:
        """Why a new job can't be accepted, ever or now; None if it can."""
        why = why_impossible(spec, catalog, self.teams)
        if why is None and spec.needs:
            if spec.ref in spec.needs:
                why = "awaits: the job itself"
            elif not self.new_formats():
                return later("not all nodes know dependent jobs yet")
            else:
                unknown = await self._never_accepted(spec.needs)
                why = f"awaits: {unknown} was never accepted" if unknown is not None else None
        return None if why is None else (422, msgspec.json.encode({"error": why}), None)

    async def _never_accepted(self, refs: list[str]) -> str | None:
        """One of these jobs that was never accepted, confirmed with the state service; None if all were.

        A few comparisons at a time, and no more after the first name that is unknown: a long list of
        names that nobody has submitted costs as much as one.
        """
        unseen = [ref for ref in refs if not self._seen_accepted(ref)]
        for at in range(0, len(unseen), self.confirmer.most):
            some = unseen[at : at + self.confirmer.most]
            absent = await asyncio.gather(*(self.confirmer.confirm(keys.JOBS + ref, 0) for ref in some))
            for ref, is_absent in zip(some, absent, strict=True):
                if is_absent:
                    return ref
                if not self._seen_accepted(ref):
                    raise Unknown(f"{ref} could not be read")
        return None

    def _seen_accepted(self, ref: str) -> bool:
        """Whether a record of the job has been read: records are never deleted."""
        job = self.table.jobs.get(ref)
        return job is not None and job.stamp > 0

    def _needs_cancelled(self, spec: JobSpec) -> bool:
        """Whether a job that it needs is stored as cancelled, or certain to be."""
        for ref in spec.needs or ():
            job = self.table.jobs.get(ref)
            if self.table.graph.cancelled_with(ref) or (job is not None and job.stored_phase == WITHDRAWN):
                return True
        return False

    async def _accept(self, spec: JobSpec) -> Answer:
        """Store a new job. One that needs a cancelled job is cancelled from the start: it can never run."""
        job = Job(spec.ref)
        job.spec, job.at, job.tasks, job.done = spec, self.wall(), spec.tasks, bytearray(spec.tasks)
        if self._needs_cancelled(spec):
            job.phase = WITHDRAWN
        key = keys.JOBS + spec.ref
        try:
            await self._store(key, 0, self._encode(spec.ref, job.record()))
        except Conflict:
            await self.refresh(key)
            return await self._state(self.table.jobs[spec.ref])
        log.debug("%s accepted: %s, %d tasks, image %s", spec.ref, spec.job_class, spec.tasks, spec.image)
        if job.phase == OPEN and spec.needs:
            # What is known of its needs may be old by now, so it is told what a poll would tell.
            status, body, headers = await self._state(self.table.jobs[spec.ref])
            return 201 if status == 200 else status, body, headers
        return 201, job_messages.job_answer(spec.ref, "pending" if job.phase == OPEN else job.phase), None

    async def cancel(self, ref: str) -> Answer:
        """Cancel a job, unless it is over."""
        if not job_messages.REF.match(ref):
            return 404, NO_SUCH_JOB, None
        if self._cached_final(ref):
            return await self._ended(ref, self.table.jobs[ref].stored_phase, self.table.jobs[ref].stamp)
        if not self.store.healthy():
            return later("state service")
        key = keys.JOBS + ref
        try:
            for _ in range(4):
                got = await self.store.get(key)
                if got is None:
                    return 404, NO_SUCH_JOB, None
                value, stamp = got
                self.table.apply(key, value, stamp)
                assert isinstance(value, dict)
                if value.get("phase") in (DONE, WITHDRAWN):
                    return await self._ended(ref, str(value["phase"]), stamp)
                try:
                    new = await self._store(key, stamp, self._withdrawn(ref, value), value)
                except Conflict:
                    continue
                return await self._ended(ref, WITHDRAWN, new)
        except (Refused, Unknown, TimeoutError, RecordTooLarge):
            pass
        return later("state service")

    def _withdrawn(self, ref: str, value: dict[str, Any]) -> Encoded:
        """The record of a job that is cancelled now, from the one that is stored."""
        try:
            record = job_records.decode(ref, value, self.table.parts.get)
        except (MissingParts, MalformedRecord):
            return Encoded({**value, "phase": WITHDRAWN})  # the rest stays as it is
        record.phase = WITHDRAWN
        if not record.on:
            record.spec = record.at = record.done = None
        return self._encode(ref, record)

    async def _ended(self, ref: str, phase: str, stamp: int) -> Answer:
        """The answer to a cancellation of a job that has ended, now or before."""
        if phase == WITHDRAWN and not await self.confirmed(ref, stamp):
            return later("the cancellation is not known to the leader yet")
        return 200, job_messages.job_answer(ref, phase), None
