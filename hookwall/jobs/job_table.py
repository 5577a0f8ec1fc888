"""All jobs that a node knows, from their records in the key-value store.

Invariant: of each record the newest readable version that was seen is applied, whatever order versions come in; and no
start is decided for a job of which a newer version, or a cancellation, is known. What the records mean for other jobs
(dependencies, lists of open and blocked jobs) is brought up to date in the same call.
"""

import logging
from collections.abc import Callable

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.dependency_graph import DependencyGraph, GraphChanges, Outcome
from hookwall.jobs.job import CANCELLED, OPEN, Job
from hookwall.protocol import job_messages
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_table import ChunkTable
from hookwall.storage.entries import StoredValue
from hookwall.storage.errors import MalformedRecordError, MissingChunksError

log = logging.getLogger(__name__)

# Called with a job whose record was applied, or that is ready now, and the allocations that it had before.
RecordObserver = Callable[[Job, list[Allocation]], None]
# Called with the id of a job and the version of its record that shows the cancellation.
CancellationObserver = Callable[[str, int], None]


def _ignore_record(job: Job, previous: list[Allocation]) -> None:
    """Where nothing follows from a record."""


def _ignore_cancellation(job_id: str, version: int) -> None:
    """Where nothing follows from a cancellation."""


class JobTable:
    """All jobs known to this node, by id."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_record_applied: RecordObserver = _ignore_record,
        on_cancelled: CancellationObserver = _ignore_cancellation,
    ) -> None:
        """An empty table. The observers are called within the call that applies the record."""
        self.clock = clock
        self.on_record_applied = on_record_applied
        self.on_cancelled = on_cancelled
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}  # those that still matter to the leader and wait for no other job
        self.blocked_jobs: dict[str, Job] = {}  # those that wait for others
        self.dependencies = DependencyGraph()
        self.chunks = ChunkTable()
        # Versions of cancellations that a peer or another record version has shown and the records don't show yet.
        self.peer_cancellations: dict[str, int] = {}

    # -- records ----------------------------------------------------------------------------------

    def apply_record(self, key: str, value: object, version: int) -> None:
        """Apply a record as read, watched or written; one that is older than what is known is ignored.

        A record whose chunks are missing, or that is malformed, makes its job unreadable: nothing of it is started.
        """
        job_id = key[len(keys.JOB_PREFIX) :]
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = Job(job_id)
        if version < job.version or (version == job.version and not job.needs_reload):
            return
        if job.write_in_flight:
            job.deferred_record = StoredValue(value, version)
            self._apply_unread_cancellation(job_id, value, version)
            return
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
        """Load a job from its stored value; False if that can't be read."""
        try:
            record = job_records.decode_record(job.job_id, value, self.chunks.get)
            job.load_record(record, value, version, self.clock())
        except MissingChunksError:
            job.record_unreadable = True
            self.chunks.await_chunks(job.job_id, value, version)
            self._apply_unread_cancellation(job.job_id, value, version)
            return False
        except (ValueError, IndexError, MalformedRecordError) as error:
            job.record_unreadable = True
            log.error("job record malformed: job=%s version=%d error=%s", job.job_id, version, error)
            return False
        return True

    def _apply_unread_cancellation(self, job_id: str, value: object, version: int) -> None:
        """A cancellation counts at once, also where its record can't be applied yet."""
        phase = value.get("phase") if isinstance(value, dict) else None
        if phase == CANCELLED:
            self.apply_cancellation(job_id, version)

    def apply_chunk(self, key: str, text: object, version: int) -> None:
        """Apply a chunk of a record as read, watched or written, and the record if it can be read now."""
        job_id = self.chunks.add(key, text, version)
        unreadable = self.chunks.unreadable_records.get(job_id)
        if unreadable is not None:
            self.apply_record(keys.JOB_PREFIX + job_id, *unreadable)

    def missing_chunks(self, job_id: str) -> list[str]:
        """The keys of the chunks without which the newest record that was seen can't be read."""
        unreadable = self.chunks.unreadable_records.get(job_id)
        if unreadable is None:
            return []
        return [key for key in job_records.chunk_keys(job_id, unreadable.value) if self.chunks.get(key) is None]

    def apply_cancellation(self, job_id: str, version: int) -> None:
        """Apply a cancellation that is known to be stored: no start from now on, and the job's tasks stop.

        The record follows when the store shows it; whatever is written on the older version fails.
        """
        job = self.jobs.get(job_id)
        if job is not None and (job.version >= version or job.is_final()):
            return
        self.peer_cancellations[job_id] = max(version, self.peer_cancellations.get(job_id, 0))
        if job is not None:
            job.phase = CANCELLED
        self.on_cancelled(job_id, version)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job is known to be cancelled, by its record or by a peer."""
        job = self.jobs.get(job_id)
        return job_id in self.peer_cancellations or (job is not None and job.phase == CANCELLED)

    # -- decisions that are not stored ---------------------------------------------------------------

    def invalidate_decisions(self) -> None:
        """Have the next read of all records replace what an earlier leadership decided and did not store.

        The versions stay: a poll that was being confirmed while a new leader loaded found version 0 and was answered
        404 for an accepted job.
        """
        for job in self.jobs.values():
            if job.spec is None and job.is_final():
                continue
            job.needs_reload = True
            job.deferred_record = None
            job.write_in_flight = False
            job.has_unsaved_changes = False
            job.has_unsaved_starts = False
            job.revert_if_write_fails = False
            for allocation in job.allocations.values():
                allocation.stop_grace_s = None

    def revert_unsaved(self) -> None:
        """Go back to what is stored, for all jobs with decisions that are not.

        A write in flight may have succeeded or not; what it decided is void if it has not.
        """
        for job in list(self.open_jobs.values()):
            if job.write_in_flight:
                job.revert_if_write_fails = True
            elif job.has_unsaved_changes:
                self.revert_job(job)

    def revert_job(self, job: Job) -> None:
        """Go back to what is stored of one job."""
        if job.stored_value is not None:
            job.needs_reload = True
            self.apply_record(keys.JOB_PREFIX + job.job_id, job.stored_value, job.version)

    # -- what follows from records ------------------------------------------------------------------

    def update_indices(self, job: Job) -> None:
        """Bring lists and dependencies up to date after a job's record was applied or written."""
        self._update_graph(job)
        self._update_lists(job)
        self._apply_graph_changes(self.dependencies.drain_changes())

    def _update_lists(self, job: Job) -> None:
        """List a job as open or blocked unless it is over."""
        over = job.spec is None or (job.phase != OPEN and not job.allocations and job.is_final())
        blocked = job.phase == OPEN and not job.allocations and self.dependencies.is_blocked(job.job_id)
        _list_if(self.open_jobs, job, not over and not blocked)
        _list_if(self.blocked_jobs, job, not over and blocked)

    def _update_graph(self, job: Job) -> None:
        """Have the graph know a job that depends on others or that others depend on."""
        dependencies = job.spec.dependencies if job.spec is not None else None
        if dependencies and not self.dependencies.dependencies_of(job.job_id):
            self.dependencies.add_job(job.job_id, dependencies)
            for job_id in dependencies:
                dependency = self.jobs.get(job_id)
                if dependency is not None:
                    self._describe_to_graph(dependency)
        if job.job_id in self.dependencies:
            self._describe_to_graph(job)
            job.queued_at = max(job.submitted_at, self.dependencies.ready_at(job.job_id))
            if self.dependencies.has_cancelled_dependency(job.job_id):
                self._cancel_with_dependency(job)

    def _describe_to_graph(self, job: Job) -> None:
        """Pass on what the graph has to know of a job: its requirements, and its end once that is stored."""
        spec = job.spec
        if spec is not None:
            deadline = None if spec.due_s is None else job.submitted_at + spec.due_s
            rank = job_messages.RANKS.index(spec.rank)
            self.dependencies.set_requirements(job.job_id, rank, spec.estimated_duration_s, deadline)
        if job.is_final():
            self.dependencies.record_outcome(job.job_id, Outcome(job.stored_phase), job.finished_at)

    def _cancel_with_dependency(self, job: Job) -> None:
        """Cancel a job that depends on a cancelled one and so can never start; whoever leads stores that."""
        if job.version and not job.is_final() and job.phase == OPEN:
            job.phase = CANCELLED
            job.has_unsaved_changes = True

    def _apply_graph_changes(self, changes: GraphChanges) -> None:
        """Carry out what follows for other jobs."""
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
        """The rank that a job is treated as having: its own, or a higher one of a job that depends on it."""
        assert job.spec is not None
        return self.dependencies.effective_rank(job.job_id, job_messages.RANKS.index(job.spec.rank))


def _list_if(jobs: dict[str, Job], job: Job, belongs: bool) -> None:
    """Have a job in a list or not."""
    if belongs:
        jobs[job.job_id] = job
    else:
        jobs.pop(job.job_id, None)
