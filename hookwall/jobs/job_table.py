"""The table of all jobs that a node knows, built from their records in the key-value store.

Invariant: for each record, the newest readable version received is applied, regardless of the order in which versions
arrive; and no start is decided for a job if a newer version of its record, or a cancellation, is known. The call that
applies a record also updates its effects on other jobs (dependencies, lists of open and blocked jobs).
"""

import logging
from collections.abc import Callable

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.dependency_graph import DependencyGraph, GraphChanges, Outcome
from hookwall.jobs.job import CANCELLED, OPEN, Job
from hookwall.jobs.job_errors import JobErrors, JobOperation
from hookwall.jobs.unsettled_writes import UnsettledWrites
from hookwall.protocol import job_messages
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_table import ChunkTable
from hookwall.storage.entries import StoredValue
from hookwall.storage.errors import MalformedRecordError, MissingChunksError

log = logging.getLogger(__name__)

# Called with a job whose record was applied, or that has become ready, and the allocations that the job had before.
RecordObserver = Callable[[Job, list[Allocation]], None]
# Called with the id of a cancelled job and the version of the record that contains the cancellation.
CancellationObserver = Callable[[str, int], None]


def _ignore_record(job: Job, previous: list[Allocation]) -> None:
    """Do nothing; the default observer of records."""


def _ignore_cancellation(job_id: str, version: int) -> None:
    """Do nothing; the default observer of cancellations."""


class JobTable:
    """All jobs known to this node, by id."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_record_applied: RecordObserver = _ignore_record,
        on_cancelled: CancellationObserver = _ignore_cancellation,
    ) -> None:
        """Create an empty table. The observers are called synchronously by the call that applies a record."""
        self.clock = clock
        self.on_record_applied = on_record_applied
        self.on_cancelled = on_cancelled
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}  # jobs that the leader still has to handle and that wait for no other job
        self.blocked_jobs: dict[str, Job] = {}  # jobs that wait for other jobs
        self.dependencies = DependencyGraph()
        self.chunks = ChunkTable()
        self.unsettled_writes = UnsettledWrites()
        self.errors = JobErrors()
        # Versions of cancellations that are known from a peer or from a record version that is not applied yet.
        self.peer_cancellations: dict[str, int] = {}

    # -- records ----------------------------------------------------------------------------------

    def apply_record(self, key: str, value: object, version: int) -> None:
        """Apply a record that was read, watched or written. A record older than the known version is ignored.

        If the record is malformed or its chunks are missing, its job is marked unreadable and none of its tasks is
        started.
        """
        job_id = key[len(keys.JOB_PREFIX) :]
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = Job(job_id)
        if version < job.version or (version == job.version and not job.needs_reload):
            return
        if job.write_in_flight:
            if job.deferred_record is None or version > job.deferred_record.version:
                job.deferred_record = StoredValue(value, version)
            self._apply_cancellation_from_value(job_id, value, version)
            return
        try:
            self._apply_newer_record(job, value, version)
        except Exception:  # noqa: BLE001 - recorded with its traceback
            job.record_unreadable = True
            self.errors.record(job_id, JobOperation.APPLY_RECORD)

    def _apply_newer_record(self, job: Job, value: object, version: int) -> None:
        """Load a job from a newer record, and update what depends on it."""
        job_id = job.job_id
        previous = list(job.allocations.values())
        if not self._load_record(job, value, version):
            return
        self.chunks.mark_readable(job_id)
        if job.stored_phase == CANCELLED:
            self.on_cancelled(job_id, version)
        if self.peer_cancellations.get(job_id, 0) > version and not job.is_final():
            job.phase = CANCELLED
        else:
            self.peer_cancellations.pop(job_id, None)
        self.update_indices(job)
        self.on_record_applied(job, previous)

    def _load_record(self, job: Job, value: object, version: int) -> bool:
        """Load a job from its stored value. Return False if the value can't be read."""
        try:
            record = job_records.decode_record(job.job_id, value, self.chunks.get)
            job.load_record(record, value, version)
        except MissingChunksError:
            job.record_unreadable = True
            self.chunks.keep_unreadable_record(job.job_id, value, version)
            self._apply_cancellation_from_value(job.job_id, value, version)
            return False
        except (ValueError, IndexError, MalformedRecordError) as error:
            job.record_unreadable = True
            log.error("job record malformed: job=%s version=%d error=%s", job.job_id, version, error)
            return False
        return True

    def _apply_cancellation_from_value(self, job_id: str, value: object, version: int) -> None:
        """Apply a cancellation immediately, even though the record that contains it can't be applied yet."""
        phase = value.get("phase") if isinstance(value, dict) else None
        if phase == CANCELLED:
            self.apply_cancellation(job_id, version)

    def apply_chunk(self, key: str, text: object, version: int) -> None:
        """Apply a chunk that was read, watched or written, then retry its job's record if that is unreadable."""
        job_id = self.chunks.add(key, text, version)
        unreadable = self.chunks.unreadable_records.get(job_id)
        if unreadable is not None:
            self.apply_record(keys.JOB_PREFIX + job_id, *unreadable)

    def missing_chunks(self, job_id: str) -> list[str]:
        """The keys of the missing chunks that prevent the newest received record of a job from being read."""
        unreadable = self.chunks.unreadable_records.get(job_id)
        if unreadable is None:
            return []
        return [key for key in job_records.chunk_keys(job_id, unreadable.value) if self.chunks.get(key) is None]

    def apply_cancellation(self, job_id: str, version: int) -> None:
        """Apply a cancellation that is known to be stored: the job gets no more starts, and its tasks are stopped.

        The record itself is applied once it is received from the store. Until then, a write that is conditional on the
        older version fails.
        """
        job = self.jobs.get(job_id)
        if job is not None and (job.version >= version or job.is_final()):
            return
        self.peer_cancellations[job_id] = max(version, self.peer_cancellations.get(job_id, 0))
        if job is not None:
            job.phase = CANCELLED
        self.on_cancelled(job_id, version)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled, from its record or from a peer."""
        job = self.jobs.get(job_id)
        return job_id in self.peer_cancellations or (job is not None and job.phase == CANCELLED)

    # -- unsaved decisions ---------------------------------------------------------------------------

    def invalidate_decisions(self) -> None:
        """Mark the unsaved decisions of an earlier leadership to be replaced by the next read of all records.

        The known versions are kept. If they were reset to 0, a status poll that is being confirmed while a new leader
        loads would find version 0, and would be answered with 404 for an accepted job.
        """
        self.unsettled_writes.clear()
        for job in self.jobs.values():
            if job.spec is None and job.is_final():
                continue
            job.needs_reload = True
            job.deferred_record = None
            job.write_in_flight = False
            job.has_unsaved_changes = False
            job.has_unsaved_starts = False
            for allocation in job.allocations.values():
                allocation.stop_grace_s = None

    def revert_unsaved(self) -> None:
        """Revert all jobs with unsaved decisions to their stored state.

        What a job's record admits is not known while a write of it is under way. Such a job is reverted by
        `finish_write`, whatever the outcome of that write.
        """
        for job in list(self.open_jobs.values()):
            self.revert_decisions(job)

    def revert_decisions(self, job: Job) -> None:
        """Revert the unsaved decisions about one job, now or once a write that is under way has ended."""
        if job.write_in_flight:
            self.unsettled_writes.add(job)
        elif job.has_unsaved_changes:
            self.revert_job(job)

    def finish_write(self, job: Job, may_be_executed: bool) -> None:
        """Revert a job to its stored state after a write, if decisions became void while the write was under way.

        `may_be_executed`: whether the write has ended without a response, so that it may be executed late.
        """
        if self.unsettled_writes.concerns(job):
            self.revert_job(job)
            self.unsettled_writes.finish(job, may_be_executed)

    def unsettled_jobs(self) -> list[Job]:
        """The jobs whose stored state is not known; until there are none, no decision may be made for any job."""
        return self.unsettled_writes.remaining(self.jobs)

    def revert_job(self, job: Job) -> None:
        """Revert one job to its stored state."""
        if job.stored_value is not None:
            job.needs_reload = True
            self.apply_record(keys.JOB_PREFIX + job.job_id, job.stored_value, job.version)

    # -- effects of records -------------------------------------------------------------------------

    def update_indices(self, job: Job) -> None:
        """Update lists and dependencies after a job's record was applied or written."""
        self._update_graph(job)
        self._update_lists(job)
        self._apply_graph_changes(self.dependencies.drain_changes())

    def _update_lists(self, job: Job) -> None:
        """List a job as open or blocked, or as neither once it has ended and has no allocations."""
        ended = job.spec is None or (job.phase != OPEN and not job.allocations and job.is_final())
        blocked = job.phase == OPEN and not job.allocations and self.dependencies.is_blocked(job.job_id)
        _set_listed(self.open_jobs, job, not ended and not blocked)
        _set_listed(self.blocked_jobs, job, not ended and blocked)

    def _update_graph(self, job: Job) -> None:
        """Add a job with dependencies to the graph, and update a job that the graph contains."""
        dependencies = job.spec.dependencies if job.spec is not None else None
        if dependencies and not self.dependencies.dependencies_of(job.job_id):
            self.dependencies.add_job(job.job_id, dependencies)
            for job_id in dependencies:
                dependency = self.jobs.get(job_id)
                if dependency is not None:
                    self._update_graph_node(dependency)
        if job.job_id in self.dependencies:
            self._update_graph_node(job)
            job.queued_at = max(job.submitted_at, self.dependencies.ready_at(job.job_id))
            if self.dependencies.has_cancelled_dependency(job.job_id):
                self._cancel_with_dependency(job)

    def _update_graph_node(self, job: Job) -> None:
        """Pass a job's requirements to the graph, and its outcome once that is stored."""
        spec = job.spec
        if spec is not None:
            deadline = None if spec.due_s is None else job.submitted_at + spec.due_s
            rank = job_messages.RANKS.index(spec.rank)
            self.dependencies.set_requirements(job.job_id, rank, spec.estimated_duration_s, deadline)
        if job.is_final():
            self.dependencies.record_outcome(job.job_id, Outcome(job.stored_phase), job.finished_at)

    def _cancel_with_dependency(self, job: Job) -> None:
        """Cancel a job that can never start because it depends on a cancelled job. The leader stores the change."""
        if job.version and not job.is_final() and job.phase == OPEN:
            job.phase = CANCELLED
            job.has_unsaved_changes = True

    def _apply_graph_changes(self, changes: GraphChanges) -> None:
        """Apply changes of the graph to the jobs that they affect."""
        for job_id in changes.cancelled:
            job = self.jobs.get(job_id)
            if job is not None:
                self._cancel_with_dependency(job)
                self._update_lists(job)
        for job_id in changes.ready:
            job = self.jobs.get(job_id)
            if job is not None and job.spec is not None:
                job.queued_at = max(job.submitted_at, self.dependencies.ready_at(job_id))
                self._update_lists(job)
                self.on_record_applied(job, list(job.allocations.values()))
        for job_id in changes.urgency_changed:
            job = self.jobs.get(job_id)
            if job is not None and job.spec is not None and job.rank >= 0:
                job.rank = self.effective_rank(job)

    def effective_rank(self, job: Job) -> int:
        """The rank used for scheduling the job: the highest of its own rank and those of its dependents."""
        assert job.spec is not None
        return self.dependencies.effective_rank(job.job_id, job_messages.RANKS.index(job.spec.rank))


def _set_listed(jobs: dict[str, Job], job: Job, listed: bool) -> None:
    """Add a job to a list, or remove it from the list."""
    if listed:
        jobs[job.job_id] = job
    else:
        jobs.pop(job.job_id, None)
