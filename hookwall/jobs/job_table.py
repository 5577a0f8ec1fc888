"""All jobs that a node knows, from their records in the state service."""

import logging
from collections.abc import Callable

from hookwall.jobs.dependency_graph import DependencyGraph, Outcome
from hookwall.jobs.job import CANCELLED, OPEN, Allocation, Job
from hookwall.protocol import job_messages
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_table import ChunkTable
from hookwall.storage.job_records import MalformedRecordError, MissingChunksError

log = logging.getLogger(__name__)


class JobTable:
    """All jobs known to this node."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}  # those that still matter to the leader and wait for no other job
        self.blocked_jobs: dict[str, Job] = {}  # those that wait for others
        self.dependencies = DependencyGraph()
        self.chunks = ChunkTable()
        self.on_record_applied: Callable[[Job, list[Allocation]], None] = lambda job, before: None
        self.peer_cancellations: dict[
            str, int
        ] = {}  # cancellations that a peer has told and the records here don't show yet
        self.on_cancelled: Callable[[str, int], None] = lambda ref, stamp: None

    # -- records ----------------------------------------------------------------------------------

    def apply_record(self, key: str, value: object, stamp: int) -> None:
        """A record as read or watched; older than what is known: ignored."""
        ref = key[len(keys.JOB_PREFIX) :]
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref)
        if stamp < job.version or (stamp == job.version and not job.needs_reload):
            return
        if job.write_in_flight:
            job.deferred_record = (value, stamp)
            if _phase(value) == CANCELLED:
                self.apply_cancellation(ref, stamp)
            return
        before = list(job.allocations.values())
        try:
            job.load_record(job_records.decode_record(ref, value, self.chunks.get), value, stamp, self.clock())
        except MissingChunksError:
            job.record_unreadable = True
            self.chunks.await_chunks(ref, value, stamp)
            if _phase(value) == CANCELLED:
                self.apply_cancellation(ref, stamp)
            return
        except (ValueError, IndexError, MalformedRecordError) as error:
            job.record_unreadable = True
            log.error("record of %s is malformed: %s", ref, error)
            return
        self.chunks.mark_readable(ref)
        if job.stored_phase == CANCELLED:
            self.on_cancelled(ref, stamp)
        if self.peer_cancellations.get(ref, 0) > stamp and not job.is_final():
            job.phase = CANCELLED
        else:
            self.peer_cancellations.pop(ref, None)
        self.update_indices(job)
        self.on_record_applied(job, before)

    def apply_chunk(self, key: str, text: object, stamp: int) -> None:
        """A part of a record as read, watched or written."""
        ref = self.chunks.add(key, text, stamp)
        waiting = self.chunks.unreadable_records.get(ref)
        if waiting is not None:
            self.apply_record(keys.JOB_PREFIX + ref, *waiting)

    def missing_chunks(self, ref: str) -> list[str]:
        """The parts without which the newest record that was seen can't be read."""
        waiting = self.chunks.unreadable_records.get(ref)
        if waiting is None:
            return []
        return [key for key in job_records.chunk_keys(ref, waiting[0]) if self.chunks.get(key) is None]

    def apply_cancellation(self, ref: str, stamp: int) -> None:
        """Somebody knows that this job's cancellation was stored: no start of it from now on, and its tasks stop.

        The record follows when the state service shows it; whatever is written on the older one fails.
        """
        job = self.jobs.get(ref)
        if job is not None and (job.version >= stamp or job.is_final()):
            return
        self.peer_cancellations[ref] = max(stamp, self.peer_cancellations.get(ref, 0))
        if job is not None:
            job.phase = CANCELLED
        self.on_cancelled(ref, stamp)

    def is_cancelled(self, ref: str) -> bool:
        """Whether the job is known to be cancelled."""
        job = self.jobs.get(ref)
        return ref in self.peer_cancellations or (job is not None and job.phase == CANCELLED)

    def invalidate_decisions(self) -> None:
        """What an earlier leadership decided and did not store is to be replaced by the records.

        The stamps stay: a poll that was being confirmed while a new leader loaded found stamp 0 and
        was answered 404 for an accepted job.
        """
        for job in self.jobs.values():
            if job.spec is not None or not job.is_final():
                (
                    job.needs_reload,
                    job.deferred_record,
                    job.write_in_flight,
                    job.has_unsaved_changes,
                    job.has_unsaved_starts,
                ) = True, None, False, False, False
                job.revert_if_write_fails = False
                for start in job.allocations.values():
                    start.stop_grace_s = None

    def revert_unsaved(self) -> None:
        """Go back to what is stored, for all jobs with decisions that are not.

        A write under way may have happened or not; what it decided is void if it has not.
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
        """A job's record was taken or stored: keep the lists of jobs, and follow what others need of it."""
        self._follow(job)
        self._place(job)
        self._follow_changes()

    def _place(self, job: Job) -> None:
        """Keep the lists of jobs that are not over."""
        over = job.spec is None or (job.phase != OPEN and not job.allocations and job.is_final())
        waits = job.phase == OPEN and not job.allocations and self.dependencies.is_blocked(job.job_id)
        _list_if(self.open_jobs, job, not over and not waits)
        _list_if(self.blocked_jobs, job, not over and waits)

    def _follow(self, job: Job) -> None:
        """Tell the graph about a job that needs others or is needed."""
        needs = job.spec.dependencies if job.spec is not None else None
        if needs and not self.dependencies.dependencies_of(job.job_id):
            self.dependencies.add_job(job.job_id, needs)
            for ref in needs:
                other = self.jobs.get(ref)
                if other is not None:
                    self._describe(other)
        if job.job_id in self.dependencies:
            self._describe(job)
            job.queued_at = max(job.submitted_at, self.dependencies.ready_at(job.job_id))
            if self.dependencies.has_cancelled_dependency(job.job_id):
                self._cancel_with_needed(job)

    def _describe(self, job: Job) -> None:
        """What the graph has to know of a job."""
        spec = job.spec
        if spec is not None:
            due_at = None if spec.due_s is None else job.submitted_at + spec.due_s
            self.dependencies.set_requirements(
                job.job_id, job_messages.RANKS.index(spec.rank), spec.estimated_duration_s, due_at
            )
        if job.is_final():
            self.dependencies.record_outcome(job.job_id, Outcome(job.stored_phase), job.finished_at)

    def _cancel_with_needed(self, job: Job) -> None:
        """A job that it needs was cancelled, so this one can never start; whoever leads stores that."""
        if job.version and not job.is_final() and job.phase == OPEN:
            job.phase = CANCELLED
            job.has_unsaved_changes = True

    def _follow_changes(self) -> None:
        """Carry out what follows for other jobs."""
        changes = self.dependencies.drain_changes()
        for ref in changes.cancelled:
            job = self.jobs.get(ref)
            if job is not None:
                self._cancel_with_needed(job)
                self._place(job)
        for ref in changes.ready:
            job = self.jobs.get(ref)
            if job is not None and job.spec is not None:
                job.queued_at = max(job.submitted_at, self.dependencies.ready_at(ref))
                self._place(job)
                self.on_record_applied(job, list(job.allocations.values()))
        for ref in changes.urgency_changed:
            job = self.jobs.get(ref)
            if job is not None and job.spec is not None and job.rank >= 0:
                job.rank = self.effective_rank(job)

    def effective_rank(self, job: Job) -> int:
        """The rank that a job is treated as having: its own, or that of a job that needs it."""
        assert job.spec is not None
        return self.dependencies.effective_rank(job.job_id, job_messages.RANKS.index(job.spec.rank))


def _list_if(jobs: dict[str, Job], job: Job, belongs: bool) -> None:
    """Have a job in a list or not."""
    if belongs:
        jobs[job.job_id] = job
    else:
        jobs.pop(job.job_id, None)


def _phase(value: object) -> object:
    """The phase that a stored value of any form says."""
    return value.get("phase") if isinstance(value, dict) else None
