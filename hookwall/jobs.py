"""Jobs: their records in the state service, and what users may ask.

A record is the truth about a job. It names every machine on which a task may be, so whoever leads
next can tell where nothing may be started again. Everything else about a task (what a worker last
said) is kept in memory and can be lost.
"""

import logging
from collections.abc import Callable, Iterable

from hookwall import keys, records, wire
from hookwall.dependencies import DependencyGraph, Outcome
from hookwall.records import JobRecord, MalformedRecord, MissingParts, pack_numbers, unpack_numbers
from hookwall.wire import JobSpec

log = logging.getLogger("hookwall.jobs")

OPEN, DONE, WITHDRAWN = "open", "done", "withdrawn"
REST_S = 1.0  # how long ends of single tasks may wait for company in a write
REST_MOST_S = 15.0  # and how long while the state service has no changes to spare


class Active:
    """One start of one task: from the decision until it is shown to be gone."""

    __slots__ = (
        "attempt",
        "finished",
        "machine",
        "phase",
        "running_since",
        "since",
        "stop_grace",
        "stop_sent",
        "task",
        "tenure",
    )  # fmt: skip

    def __init__(self, task: int, machine: str, tenure: int, attempt: int, now: float) -> None:
        self.task, self.machine, self.tenure, self.attempt = task, machine, tenure, attempt
        self.phase = ""  # as the worker last reported it; "" until it has
        self.since = now
        self.running_since = -1.0
        self.stop_grace: float | None = None
        self.stop_sent = -1e9
        self.finished = False


class Job:
    """A job as the record says (`stored_*`) and as the leader has changed it since."""

    __slots__ = (
        "active",
        "arrival",
        "at",
        "cursor",
        "dirty",
        "dirty_at",
        "done",
        "ended",
        "errors",
        "failed_at",
        "fresh",
        "image",
        "n_done",
        "next_attempt",
        "not_before",
        "parked",
        "phase",
        "rank",
        "raw",
        "ref",
        "revert_after_write",
        "spec",
        "stamp",
        "stored_done",
        "stored_on",
        "stored_phase",
        "tasks",
        "team",
        "types",
        "unreadable",
        "unrecorded",
        "void",
        "writing",
        "zone",
    )  # fmt: skip

    def __init__(self, ref: str) -> None:
        self.ref = ref
        self.spec: JobSpec | None = None
        self.stamp = 0
        self.at = 0.0  # time of day of its submission
        self.arrival = 0.0  # since when it can be served: its submission, or the end of the last job that it needs
        self.ended: float | None = None  # time of day at which its last task was found done
        self.phase = OPEN
        self.next_attempt = 1
        self.tasks = 0
        self.done: bytearray | None = None
        self.n_done = 0
        self.active: dict[int, Active] = {}
        self.stored_on: dict[int, tuple[str, int]] = {}
        self.stored_phase = OPEN
        self.stored_done = 0
        self.dirty = False
        self.dirty_at = -1.0  # since when, as the writer saw it
        self.fresh = False  # whether starts wait to be stored: they are launched only then
        self.writing = False
        self.revert_after_write = False  # if the write under way turns out not to have happened
        self.parked: tuple[object, int] | None = None  # a change seen while a write is under way
        self.cursor = 0
        self.errors: dict[str, int] = {}
        self.failed_at = -1e9  # when a task of it last failed
        self.not_before = -1e9
        self.image = self.team = self.rank = -1
        self.types: frozenset[int] | None = None
        self.zone = -1
        self.raw: object = None  # the record as stored
        self.unrecorded: dict[int, set[str]] = {}  # task -> machines that report it although no start there is known
        self.unreadable = False  # a newer record was seen that can't be read, so what is known here may be over
        self.void = False  # the record has to be taken again even if its stamp is known

    def final(self) -> bool:
        """Whether the stored phase is one that never changes again."""
        return self.stored_phase in (DONE, WITHDRAWN)

    def pending(self, most: int) -> list[int]:
        """Up to `most` tasks that are neither done nor possibly on a machine, lowest first."""
        if self.phase != OPEN or self.done is None or self.unreadable:
            return []
        out: list[int] = []
        n, done, active, unrecorded = self.cursor, self.done, self.active, self.unrecorded
        while n < self.tasks and len(out) < most:
            if not done[n] and n not in active and n not in unrecorded:
                if not out:
                    self.cursor = n
                out.append(n)
            n += 1
        if not out:
            self.cursor = self.tasks
        return out

    def n_pending(self) -> int:
        if self.phase != OPEN:
            return 0
        elsewhere = sum(1 for task in self.unrecorded if task not in self.active)
        return self.tasks - self.n_done - sum(1 for a in self.active.values() if not a.finished) - elsewhere

    def seen_on(self, task: int, machine: str) -> None:
        """A worker reports a task of which no start there is known: it must not start anywhere else."""
        if 0 <= task < self.tasks:
            self.unrecorded.setdefault(task, set()).add(machine)

    def not_seen_on(self, task: int, machine: str) -> None:
        """Such a task is not on that machine any more."""
        machines = self.unrecorded.get(task, set())
        machines.discard(machine)
        if not machines and self.unrecorded.pop(task, None) is not None:
            self.cursor = min(self.cursor, task)

    def may_launch(self, a: Active) -> bool:
        """Whether a start that is stored may be launched, as far as the job is concerned."""
        return not self.unreadable and not self.unrecorded.get(a.task, set()) - {a.machine}

    def mark_done(self, task: int) -> None:
        if self.done is not None and not self.done[task]:
            self.done[task] = 1
            self.n_done += 1
            self.dirty = True

    def remove(self, task: int) -> None:
        """The start is over or was shown to be gone; an unfinished task is pending again."""
        del self.active[task]
        self.cursor = min(self.cursor, task)
        self.dirty = True

    def record(self) -> JobRecord:
        """What is written to the state service."""
        grouped: dict[tuple[str, int, int], list[int]] = {}
        for a in self.active.values():
            grouped.setdefault((a.machine, a.tenure, a.attempt), []).append(a.task)
        on = [(m, t, n, pack_numbers(tasks)) for (m, t, n), tasks in grouped.items()]
        record = JobRecord(phase=self.phase, tasks=self.tasks, next_attempt=self.next_attempt, on=on)
        if self.phase == DONE:
            record.ended = self.ended
        if self.phase == OPEN or on:
            assert self.spec is not None and self.done is not None
            record.spec, record.at = self.spec, self.at
            record.done = pack_numbers(i for i, d in enumerate(self.done) if d) if self.n_done else ""
        return record

    def take(self, record: JobRecord, raw: object, stamp: int, now: float) -> None:
        """Replace what is known by a stored record. What workers said of the same starts is kept."""
        old = self.active
        self.stamp, self.raw = stamp, raw
        self.phase = self.stored_phase = record.phase
        self.tasks, self.next_attempt, self.ended = record.tasks, record.next_attempt, record.ended
        if record.at is not None:
            self.at = record.at
        self.arrival = self.at
        if record.spec is None or self.spec is None:
            self.spec = record.spec
        self.active = {}
        self.stored_on = {}
        for machine, tenure, attempt, tasks in record.on:
            for task in unpack_numbers(tasks):
                a = old.get(task)
                if a is None or (a.machine, a.tenure, a.attempt) != (machine, tenure, attempt):
                    a = Active(task, machine, tenure, attempt, now)
                self.active[task] = a
                self.stored_on[task] = (machine, attempt)
        if record.spec is not None:
            self._take_done(unpack_numbers(record.done or ""))
        else:
            self.done = None
            self.n_done = self.tasks if self.phase == DONE else 0
        self.stored_done = self.n_done
        self.cursor = 0
        self.dirty = self.void = self.fresh = self.unreadable = False

    def _take_done(self, done: list[int]) -> None:
        """The tasks that the record says are done."""
        self.done = bytearray(self.tasks)
        for task in done:
            self.done[task] = 1
            if task in self.active:
                self.active[task].finished = True
        self.n_done = len(done)

    def stored(self, stamp: int, on: dict[int, tuple[str, int]], phase: str, done: int, raw: object = None) -> None:
        """A write of ours succeeded with this content."""
        self.raw = raw
        self.stamp, self.stored_on, self.stored_phase, self.stored_done = stamp, on, phase, done
        if phase != OPEN and not on and not self.active:
            self.spec, self.done, self.raw = None, None, None


def write_order(jobs: Iterable[Job], now: float, spare: bool) -> list[Job]:
    """The jobs to store next, most pressing first.

    An end that its user waits for, then starts, which are launched only once stored; by rank, then by
    how long they have waited. That a task of a larger job is over can wait: its worker goes on
    reporting it until it is stored, and the room that it leaves is used meanwhile. When each such end
    was written at once, and older jobs always first, a hundred running arrays used up the service's
    changes and starts of later ones waited for up to 50 s.
    """
    first: list[Job] = []
    rest: list[Job] = []
    for job in jobs:
        if not job.dirty or job.writing or job.unreadable:
            continue
        if job.dirty_at < 0:
            job.dirty_at = now
        if job.fresh or job.phase != OPEN:
            first.append(job)
        elif now - job.dirty_at > (REST_S if spare else REST_MOST_S):
            rest.append(job)
    first.sort(key=lambda j: (j.phase == OPEN, j.rank, j.dirty_at, j.arrival))
    rest.sort(key=lambda j: (j.dirty_at, j.arrival))
    return first + rest


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
            job.take(records.decode(ref, value, self.parts.get), value, stamp, self.clock())
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
        return [key for key in records.part_keys(ref, waiting[0]) if self.parts.get(key) is None]

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
            self.graph.describe(job.ref, wire.RANKS.index(spec.rank), spec.estimate_s, due_at)
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
        return self.graph.rank(job.ref, wire.RANKS.index(job.spec.rank))


class PartTable:
    """Parts of records that do not fit one value, as stored, and the records that wait for some."""

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.stamps: dict[str, int] = {}
        self.by_job: dict[str, set[str]] = {}
        self.incomplete: dict[str, tuple[object, int]] = {}  # job -> its newest record that can't be read yet
        self.stale: set[str] = set()  # jobs that may have parts that their record does not name any more

    def get(self, key: str) -> str | None:
        return self.texts.get(key)

    def add(self, key: str, text: object, stamp: int) -> str:
        """A part as read, watched or written; returns the job that it belongs to."""
        ref = key[len(keys.PARTS) :].partition("/")[0]
        if isinstance(text, str):
            self.texts[key] = text
            self.stamps[key] = max(stamp, self.stamps.get(key, 0))
            self.by_job.setdefault(ref, set()).add(key)
            self.stale.add(ref)
        return ref

    def remove(self, key: str, stamp: int) -> None:
        """A part was removed by the change `stamp`; it may have been written again since."""
        if stamp < self.stamps.get(key, 0):
            return
        self.stamps.pop(key, None)
        ref = key[len(keys.PARTS) :].partition("/")[0]
        self.texts.pop(key, None)
        of_job = self.by_job.get(ref, set())
        of_job.discard(key)
        if not of_job:
            self.by_job.pop(ref, None)

    def await_parts(self, ref: str, value: object, stamp: int) -> None:
        """A record names parts that have not been seen."""
        if stamp > self.incomplete.get(ref, (None, -1))[1]:
            self.incomplete[ref] = (value, stamp)

    def complete(self, ref: str) -> None:
        """A job's newest record could be read."""
        self.incomplete.pop(ref, None)
        if ref in self.by_job:
            self.stale.add(ref)

    def unused(self, ref: str, value: object) -> list[str]:
        """The parts of a job that its record does not name."""
        return sorted(self.by_job.get(ref, set()) - set(records.part_keys(ref, value)))


def _list_if(jobs: dict[str, Job], job: Job, belongs: bool) -> None:
    """Have a job in a list or not."""
    if belongs:
        jobs[job.ref] = job
    else:
        jobs.pop(job.ref, None)


def _phase(value: object) -> object:
    """The phase that a stored value of any form says."""
    return value.get("phase") if isinstance(value, dict) else None
