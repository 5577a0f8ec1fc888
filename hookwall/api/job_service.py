"""The operations on jobs that every node serves to users: submit, poll and cancel.

Invariant: no response shows an older state of a job than a response that another node has already given. Only final
states are served from memory. Any other state is first confirmed with the key-value store, and the request is refused
at once if the store can't confirm it.
"""

import logging
import time
from collections.abc import Awaitable, Callable

from hookwall.api.record_writer import JobRecordWriter
from hookwall.api.responses import (
    DESCRIPTION_TOO_LARGE,
    NO_SUCH_JOB,
    STORE_UNAVAILABLE,
    HttpResponse,
    error_response,
    retry_later,
)
from hookwall.api.submission_check import SubmissionCheck
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED, DONE, OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.protocol import job_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.errors import MalformedMessageError
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import (
    OutcomeUnknownError,
    PreconditionFailedError,
    RecordTooLargeError,
    RequestRejectedError,
)
from hookwall.storage.read_confirmation import ReadConfirmation

log = logging.getLogger(__name__)

MAX_CANCEL_ATTEMPTS = 4  # an attempt fails if the record is changed between its read and its write


async def _confirm_without_peers(_job_id: str, _version: int) -> bool:
    """Confirm every cancellation, for use where there is no other node to inform."""
    return True


def _packing_disabled() -> bool:
    """Disable packed records and dependencies, for use where records are written in the plain form only."""
    return False


def _cancellations_always_current() -> bool:
    """Report the known cancellations as current, for use where the known records are always current."""
    return True


class JobService:
    """Submission, status and cancellation of jobs."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        store: KeyValueClient,
        reader: JobRecordReader,
        read_confirmation: ReadConfirmation,
        time_of_day: Callable[[], float] = time.time,
        *,
        confirm_cancellation: Callable[[str, int], Awaitable[bool]] = _confirm_without_peers,
        packing_enabled: Callable[[], bool] = _packing_disabled,
        cancellations_current: Callable[[], bool] = _cancellations_always_current,
    ) -> None:
        """Create a service for the jobs of `table`, whose records are in `store`.

        `confirm_cancellation` returns whether a stored cancellation (job id, version) may be confirmed to its user.
        `packing_enabled` returns whether all nodes can read packed records and support dependencies.
        `cancellations_current` returns whether this node knows all cancellations that are older than `cancel_s`.
        """
        self.table = table
        self.store = store
        self.reader = reader
        self.read_confirmation = read_confirmation
        self.time_of_day = time_of_day
        self.confirm_cancellation = confirm_cancellation
        self.packing_enabled = packing_enabled
        self.cancellations_current = cancellations_current
        self.catalog: Catalog | None = None
        self.check = SubmissionCheck(table, read_confirmation, params.teams)
        self.record_writer = JobRecordWriter(table, store, params.state, table.clock)

    # -- requests -----------------------------------------------------------------------------------

    async def get(self, job_id: str) -> HttpResponse:
        """Return the status of a job."""
        if not job_messages.JOB_ID_PATTERN.match(job_id):
            return NO_SUCH_JOB
        if not self.store.healthy() and not self._is_known_final(job_id):
            return retry_later(STORE_UNAVAILABLE)
        try:
            job = await self._current_job(job_id)
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError):
            return retry_later(STORE_UNAVAILABLE)
        return await self.job_response(job) if job is not None else NO_SUCH_JOB

    async def submit(self, body: bytes) -> HttpResponse:
        """Accept a new job, or return the status of a job that was submitted before."""
        try:
            spec = job_messages.decode_job(body)
        except MalformedMessageError as error:
            return error_response(400, str(error))
        if self._is_known_final(spec.job_id):
            return await self.job_response(self.table.jobs[spec.job_id])
        if not self.store.healthy():
            return retry_later(STORE_UNAVAILABLE)
        try:
            return await self._submit(spec)
        except RecordTooLargeError:
            # The plain form holds less than the packed form. A job that does not fit the plain form is accepted once
            # all nodes know the packed form.
            return (
                DESCRIPTION_TOO_LARGE if self.packing_enabled() else retry_later("not all nodes know large records yet")
            )
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError, KeyError):
            return retry_later(STORE_UNAVAILABLE)

    async def cancel(self, job_id: str) -> HttpResponse:
        """Cancel a job unless it has ended."""
        if not job_messages.JOB_ID_PATTERN.match(job_id):
            return NO_SUCH_JOB
        if self._is_known_final(job_id):
            job = self.table.jobs[job_id]
            return await self._final_response(job_id, job.stored_phase, job.version)
        if not self.store.healthy():
            return retry_later(STORE_UNAVAILABLE)
        try:
            for _ in range(MAX_CANCEL_ATTEMPTS):
                response = await self._try_cancel(job_id)
                if response is not None:
                    return response
        except (RequestRejectedError, OutcomeUnknownError, TimeoutError, RecordTooLargeError):
            pass
        return retry_later(STORE_UNAVAILABLE)

    # -- status -------------------------------------------------------------------------------------

    async def job_response(self, job: Job) -> HttpResponse:
        """Return the status of a job.

        A job is reported as cancelled only once all its tasks are certain to end in time.
        """
        phase, version = self._newest_phase(job)
        if phase == CANCELLED and not await self.confirm_cancellation(job.job_id, version):
            return retry_later("the cancellation is not known to the leader yet")
        if phase == OPEN and self.table.dependencies.has_cancelled_dependency(job.job_id):
            # Reported as cancelled only once its own record says so, since other nodes answer from that record.
            return await self.cancel(job.job_id)
        if phase == OPEN and job.job_id in self.table.blocked_jobs and not self.cancellations_current():
            return retry_later("a job that this one needs may have been cancelled")
        running = 0
        done = job.task_count if phase == DONE else job.stored_done_count
        if phase == OPEN:
            running = len(job.stored_starts)
            phase = "running" if running else "pending"
        return HttpResponse(200, job_messages.encode_job_status(job.job_id, phase, done, running))

    def _newest_phase(self, job: Job) -> tuple[str, int]:
        """Return the newest phase of the job that this node has seen, and the version of the record that holds it.

        While a write of this node is in flight, a record that another node wrote may have been received but not applied
        yet. If that record holds a cancellation that was confirmed to its user, the status must not be "running" just
        because this node has not applied the record.
        """
        deferred = job.deferred_record
        if deferred is not None and deferred.version > job.version and isinstance(deferred.value, dict):
            phase = str(deferred.value.get("phase", OPEN))
            if phase != OPEN:
                return phase, deferred.version
        return job.stored_phase, job.version

    async def _current_job(self, job_id: str) -> Job | None:
        """Return the job in its current state, or None. A cached version is confirmed first unless it is final."""
        job = self.table.jobs.get(job_id)
        if job is not None and job.is_final() and job.version:
            return job
        await self.read_confirmation.confirm(keys.JOB_PREFIX + job_id, job.version if job is not None else 0)
        job = self.table.jobs.get(job_id)
        return job if job is not None and job.version else None

    def _is_known_final(self, job_id: str) -> bool:
        """Whether this node knows the job in a final state, which never changes again."""
        job = self.table.jobs.get(job_id)
        return job is not None and job.version > 0 and job.is_final()

    async def _final_response(self, job_id: str, phase: str, version: int) -> HttpResponse:
        """Return the response to the cancellation of a job that has ended, now or earlier."""
        if phase == CANCELLED and not await self.confirm_cancellation(job_id, version):
            return retry_later("the cancellation is not known to the leader yet")
        return HttpResponse(200, job_messages.encode_job_status(job_id, phase))

    # -- changes ------------------------------------------------------------------------------------

    async def _submit(self, spec: JobSpec) -> HttpResponse:
        """Accept a job unless it was accepted before or can't be accepted."""
        if spec.job_id in self.table.jobs and self.table.jobs[spec.job_id].version:
            job = await self._current_job(spec.job_id)
            if job is not None:
                return await self.job_response(job)
        if self.catalog is None:
            return retry_later("machine types not known yet")
        refusal = await self.check.refusal(spec, self.catalog, self.packing_enabled())
        if refusal is not None:
            # A job that was accepted before must not be refused, whatever this node has cached about it.
            job = await self._current_job(spec.job_id)
            return await self.job_response(job) if job is not None else refusal
        return await self._accept(spec)

    async def _accept(self, spec: JobSpec) -> HttpResponse:
        """Store a new job. A job that depends on a cancelled job can never run, so it is stored as cancelled."""
        job = Job(spec.job_id)
        job.spec = spec
        job.submitted_at = self.time_of_day()
        job.task_count = spec.task_count
        job.done_flags = bytearray(spec.task_count)
        if self.check.has_cancelled_dependency(spec):
            job.phase = CANCELLED
        key = keys.JOB_PREFIX + spec.job_id
        encoded = self.record_writer.encode(spec.job_id, job.record(), self.packing_enabled())
        try:
            await self.record_writer.write(key, 0, encoded)
        except PreconditionFailedError:
            await self.reader.reload(key)
            return await self.job_response(self.table.jobs[spec.job_id])
        log.debug(
            "job accepted: job=%s class=%s tasks=%d image=%s", spec.job_id, spec.job_class, spec.task_count, spec.image
        )
        if job.phase == OPEN and spec.dependencies:
            # What this node knows about the dependencies may be outdated, so the response is what a poll would get.
            response = await self.job_response(self.table.jobs[spec.job_id])
            return response._replace(status=201) if response.status == 200 else response
        phase = "pending" if job.phase == OPEN else job.phase
        return HttpResponse(201, job_messages.encode_job_status(spec.job_id, phase))

    async def _try_cancel(self, job_id: str) -> HttpResponse | None:
        """Read a record and cancel its job; return None if the record was changed in between."""
        key = keys.JOB_PREFIX + job_id
        found = await self.store.get(key)
        if found is None:
            return NO_SUCH_JOB
        value, version = found
        self.table.apply_record(key, value, version)
        assert isinstance(value, dict)
        if value.get("phase") in (DONE, CANCELLED):
            return await self._final_response(job_id, str(value["phase"]), version)
        encoded = self.record_writer.encode_cancelled(job_id, value, self.packing_enabled())
        try:
            new_version = await self.record_writer.write(key, version, encoded, value)
        except PreconditionFailedError:
            return None
        return await self._final_response(job_id, CANCELLED, new_version)
