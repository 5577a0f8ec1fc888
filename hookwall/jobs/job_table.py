"""All jobs that a node knows, from their records in the state service."""

import logging
from collections.abc import Callable

from hookwall.jobs.dependency_graph import DependencyGraph, Outcome
from hookwall.jobs.job import OPEN, WITHDRAWN, Active, Job
from hookwall.protocol import job_messages
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_table import PartTable
from hookwall.storage.job_records import MalformedRecord, MissingParts

log = logging.getLogger(__name__)


class JobTable:
    """All jobs known to this node."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}  # those that still matter to the leader and wait for no other job
        self.blocked: dict[str, Job] = {}  # those that wait for others
        self.graph = DependencyGraph()
        self.parts = PartTable()
        self.on_taken: Callable[[Job, list[Active]], None] = lambda job, before: None
        self.heard: dict[str, int] = {}  # cancellations that a peer has told and the records here don't show yet
        self.on_withdrawn: Callable[[str, int], None] = lambda ref, stamp: None

    # -- records ----------------------------------------------------------------------------------

    def apply(self, key: str, value: object, stamp: int) -> None:
        """A record as read or watched; older than what is known: ignored."""
        ref = key[len(keys.JOBS) :]
        job = self.jobs.get(ref)
        if job is None:
            job = self.jobs[ref] = Job(ref)
        if stamp < job.stamp or (stamp == job.stamp and not job.void):
            return
        if job.writing:
            job.parked = (value, stamp)
            if _phase(value) == WITHDRAWN:
                self.withdraw(ref, stamp)
            return
        before = list(job.active.values())
        try:
            job.take(job_records.decode(ref, value, self.parts.get), value, stamp, self.clock())
        except MissingParts:
            job.unreadable = True
            self.parts.await_parts(ref, value, stamp)
            if _phase(value) == WITHDRAWN:
                self.withdraw(ref, stamp)
            return
        except (ValueError, IndexError, MalformedRecord) as error:
            job.unreadable = True
            log.error("record of %s is malformed: %s", ref, error)
            return
        self.parts.complete(ref)
        if job.stored_phase == WITHDRAWN:
            self.on_withdrawn(ref, stamp)
        if self.heard.get(ref, 0) > stamp and not job.final():
            job.phase = WITHDRAWN
        else:
            self.heard.pop(ref, None)
        self.note(job)
        self.on_taken(job, before)

    def take_part(self, key: str, text: object, stamp: int) -> None:
        """A part of a record as read, watched or written."""
        ref = self.parts.add(key, text, stamp)
        waiting = self.parts.incomplete.get(ref)
        if waiting is not None:
            self.apply(keys.JOBS + ref, *waiting)

    def missing_parts(self, ref: str) -> list[str]:
        """The parts without which the newest record that was seen can't be read."""
        waiting = self.parts.incomplete.get(ref)
        if waiting is None:
            return []
        return [key for key in job_records.part_keys(ref, waiting[0]) if self.parts.get(key) is None]

    def withdraw(self, ref: str, stamp: int) -> None:
        """Somebody knows that this job's cancellation was stored: no start of it from now on, and its tasks stop.

        The record follows when the state service shows it; whatever is written on the older one fails.
        """
        job = self.jobs.get(ref)
        if job is not None and (job.stamp >= stamp or job.final()):
            return
        self.heard[ref] = max(stamp, self.heard.get(ref, 0))
        if job is not None:
            job.phase = WITHDRAWN
        self.on_withdrawn(ref, stamp)

    def withdrawn(self, ref: str) -> bool:
        """Whether the job is known to be cancelled."""
        job = self.jobs.get(ref)
        return ref in self.heard or (job is not None and job.phase == WITHDRAWN)

    def void_decisions(self) -> None:
        """What an earlier leadership decided and did not store is to be replaced by the records.

        The stamps stay: a poll that was being confirmed while a new leader loaded found stamp 0 and
        was answered 404 for an accepted job.
        """
        for job in self.jobs.values():
            if job.spec is not None or not job.final():
                job.void, job.parked, job.writing, job.dirty, job.fresh = True, None, False, False, False
                job.revert_after_write = False
                for start in job.active.values():
                    start.stop_grace = None

    def revert(self) -> None:
        """Go back to what is stored, for all jobs with decisions that are not.

        A write under way may have happened or not; what it decided is void if it has not.
        """
        for job in list(self.open.values()):
            if job.writing:
                job.revert_after_write = True
            elif job.dirty:
                self.revert_job(job)

    def revert_job(self, job: Job) -> None:
        """Go back to what is stored of one job."""
        if job.raw is not None:
            job.void = True
            self.apply(keys.JOBS + job.ref, job.raw, job.stamp)

    # -- what follows from records ------------------------------------------------------------------

    def note(self, job: Job) -> None:
        """A job's record was taken or stored: keep the lists of jobs, and follow what others need of it."""
        self._follow(job)
        self._place(job)
        self._follow_changes()

    def _place(self, job: Job) -> None:
        """Keep the lists of jobs that are not over."""
        over = job.spec is None or (job.phase != OPEN and not job.active and job.final())
        waits = job.phase == OPEN and not job.active and self.graph.blocked(job.ref)
        _list_if(self.open, job, not over and not waits)
        _list_if(self.blocked, job, not over and waits)

    def _follow(self, job: Job) -> None:
        """Tell the graph about a job that needs others or is needed."""
        needs = job.spec.needs if job.spec is not None else None
        if needs and not self.graph.needs(job.ref):
            self.graph.add(job.ref, needs)
            for ref in needs:
                other = self.jobs.get(ref)
                if other is not None:
                    self._describe(other)
        if job.ref in self.graph:
            self._describe(job)
            job.arrival = max(job.at, self.graph.ready_at(job.ref))
            if self.graph.cancelled_with(job.ref):
                self._cancel_with_needed(job)

    def _describe(self, job: Job) -> None:
        """What the graph has to know of a job."""
        spec = job.spec
        if spec is not None:
            due_at = None if spec.due_s is None else job.at + spec.due_s
            self.graph.describe(job.ref, job_messages.RANKS.index(spec.rank), spec.estimate_s, due_at)
        if job.final():
            self.graph.settle(job.ref, Outcome(job.stored_phase), job.ended)

    def _cancel_with_needed(self, job: Job) -> None:
        """A job that it needs was cancelled, so this one can never start; whoever leads stores that."""
        if job.stamp and not job.final() and job.phase == OPEN:
            job.phase = WITHDRAWN
            job.dirty = True

    def _follow_changes(self) -> None:
        """Carry out what follows for other jobs."""
        changes = self.graph.take_changes()
        for ref in changes.cancelled:
            job = self.jobs.get(ref)
            if job is not None:
                self._cancel_with_needed(job)
                self._place(job)
        for ref in changes.ready:
            job = self.jobs.get(ref)
            if job is not None and job.spec is not None:
                job.arrival = max(job.at, self.graph.ready_at(ref))
                self._place(job)
                self.on_taken(job, list(job.active.values()))
        for ref in changes.more_urgent:
            job = self.jobs.get(ref)
            if job is not None and job.spec is not None and job.rank >= 0:
                job.rank = self.rank(job)

    def rank(self, job: Job) -> int:
        """The rank that a job is treated as having: its own, or that of a job that needs it."""
        assert job.spec is not None
        return self.graph.rank(job.ref, job_messages.RANKS.index(job.spec.rank))


def _list_if(jobs: dict[str, Job], job: Job, belongs: bool) -> None:
    """Have a job in a list or not."""
    if belongs:
        jobs[job.ref] = job
    else:
        jobs.pop(job.ref, None)


def _phase(value: object) -> object:
    """The phase that a stored value of any form says."""
    return value.get("phase") if isinstance(value, dict) else None
