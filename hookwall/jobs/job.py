"""One job: what its record says, and what the leader has changed since.

A record names every machine on which a task may be, so whoever leads next can tell where nothing may be started
again. Everything else about a task (what a worker last said) is kept in memory and can be lost.
"""

from collections.abc import Iterable

from hookwall.protocol.job_messages import JobSpec
from hookwall.storage.job_records import JobRecord, pack_numbers, unpack_numbers

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
        "fit",
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
        self.fit: object = None  # how it fits the machine types, as last found (fit.py)
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
        if self.phase != OPEN or self.done is None:
            return 0
        elsewhere = sum(1 for task in self.unrecorded if task not in self.active and not self.done[task])
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
