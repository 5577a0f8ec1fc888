"""One job: what its record says, and what the leader has changed since.

A record names every machine on which a task may be, so whoever leads next can tell where nothing may be started
again. Everything else about a task (what a worker last said) is kept in memory and can be lost.
"""

from collections.abc import Iterable

from hookwall.protocol.job_messages import JobSpec
from hookwall.storage.job_records import JobRecord, decode_ranges, encode_ranges

OPEN, DONE, CANCELLED = "open", "done", "withdrawn"
BATCHING_DELAY_S = 1.0  # how long ends of single tasks may wait for company in a write
MAX_BATCHING_DELAY_S = 15.0  # and how long while the state service has no changes to spare


class Allocation:
    """One start of one task: from the decision until it is shown to be gone."""

    __slots__ = (
        "attempt",
        "created_at",
        "epoch",
        "finished",
        "machine",
        "reported_phase",
        "running_since",
        "stop_grace_s",
        "stop_sent_at",
        "task",
    )  # fmt: skip

    def __init__(self, task: int, machine: str, tenure: int, attempt: int, now: float) -> None:
        self.task, self.machine, self.epoch, self.attempt = task, machine, tenure, attempt
        self.reported_phase = ""  # as the worker last reported it; "" until it has
        self.created_at = now
        self.running_since = -1.0
        self.stop_grace_s: float | None = None
        self.stop_sent_at = -1e9
        self.finished = False


class Job:
    """A job as the record says (`stored_*`) and as the leader has changed it since."""

    __slots__ = (
        "allocations",
        "allowed_type_indices",
        "deferred_record",
        "done_count",
        "done_flags",
        "failures_by_machine",
        "finished_at",
        "has_unsaved_changes",
        "has_unsaved_starts",
        "image_index",
        "job_id",
        "last_failure_at",
        "machine_type_fit",
        "needs_reload",
        "next_attempt",
        "pending_cursor",
        "phase",
        "queued_at",
        "rank",
        "record_unreadable",
        "retry_not_before",
        "revert_if_write_fails",
        "spec",
        "stored_done_count",
        "stored_phase",
        "stored_starts",
        "stored_value",
        "submitted_at",
        "task_count",
        "team_index",
        "unrecorded_sightings",
        "unsaved_since",
        "version",
        "write_in_flight",
        "zone_index",
    )  # fmt: skip

    def __init__(self, ref: str) -> None:
        self.job_id = ref
        self.spec: JobSpec | None = None
        self.version = 0
        self.submitted_at = 0.0  # time of day of its submission
        self.queued_at = 0.0  # since when it can be served: its submission, or the end of the last job that it needs
        self.finished_at: float | None = None  # time of day at which its last task was found done
        self.phase = OPEN
        self.next_attempt = 1
        self.task_count = 0
        self.done_flags: bytearray | None = None
        self.done_count = 0
        self.allocations: dict[int, Allocation] = {}
        self.stored_starts: dict[int, tuple[str, int]] = {}
        self.stored_phase = OPEN
        self.stored_done_count = 0
        self.has_unsaved_changes = False
        self.unsaved_since = -1.0  # since when, as the writer saw it
        self.has_unsaved_starts = False  # whether starts wait to be stored: they are launched only then
        self.write_in_flight = False
        self.revert_if_write_fails = False  # if the write under way turns out not to have happened
        self.deferred_record: tuple[object, int] | None = None  # a change seen while a write is under way
        self.pending_cursor = 0
        self.failures_by_machine: dict[str, int] = {}
        self.last_failure_at = -1e9  # when a task of it last failed
        self.retry_not_before = -1e9
        self.image_index = self.team_index = self.rank = -1
        self.machine_type_fit: object = None  # how it fits the machine types, as last found (fit.py)
        self.allowed_type_indices: frozenset[int] | None = None
        self.zone_index = -1
        self.stored_value: object = None  # the record as stored
        self.unrecorded_sightings: dict[
            int, set[str]
        ] = {}  # task -> machines that report it although no start there is known
        self.record_unreadable = False  # a newer record was seen that can't be read, so what is known here may be over
        self.needs_reload = False  # the record has to be taken again even if its stamp is known

    def is_final(self) -> bool:
        """Whether the stored phase is one that never changes again."""
        return self.stored_phase in (DONE, CANCELLED)

    def pending_tasks(self, most: int) -> list[int]:
        """Up to `most` tasks that are neither done nor possibly on a machine, lowest first."""
        if self.phase != OPEN or self.done_flags is None or self.record_unreadable:
            return []
        out: list[int] = []
        n, done, active, unrecorded = self.pending_cursor, self.done_flags, self.allocations, self.unrecorded_sightings
        while n < self.task_count and len(out) < most:
            if not done[n] and n not in active and n not in unrecorded:
                if not out:
                    self.pending_cursor = n
                out.append(n)
            n += 1
        if not out:
            self.pending_cursor = self.task_count
        return out

    def pending_count(self) -> int:
        if self.phase != OPEN or self.done_flags is None:
            return 0
        elsewhere = sum(
            1 for task in self.unrecorded_sightings if task not in self.allocations and not self.done_flags[task]
        )
        return (
            self.task_count - self.done_count - sum(1 for a in self.allocations.values() if not a.finished) - elsewhere
        )

    def add_unrecorded_sighting(self, task: int, machine: str) -> None:
        """A worker reports a task of which no start there is known: it must not start anywhere else."""
        if 0 <= task < self.task_count:
            self.unrecorded_sightings.setdefault(task, set()).add(machine)

    def remove_unrecorded_sighting(self, task: int, machine: str) -> None:
        """Such a task is not on that machine any more."""
        machines = self.unrecorded_sightings.get(task, set())
        machines.discard(machine)
        if not machines and self.unrecorded_sightings.pop(task, None) is not None:
            self.pending_cursor = min(self.pending_cursor, task)

    def may_launch(self, a: Allocation) -> bool:
        """Whether a start that is stored may be launched, as far as the job is concerned."""
        return not self.record_unreadable and not self.unrecorded_sightings.get(a.task, set()) - {a.machine}

    def mark_task_done(self, task: int) -> None:
        if self.done_flags is not None and not self.done_flags[task]:
            self.done_flags[task] = 1
            self.done_count += 1
            self.has_unsaved_changes = True

    def remove_allocation(self, task: int) -> None:
        """The start is over or was shown to be gone; an unfinished task is pending again."""
        del self.allocations[task]
        self.pending_cursor = min(self.pending_cursor, task)
        self.has_unsaved_changes = True

    def record(self) -> JobRecord:
        """What is written to the state service."""
        grouped: dict[tuple[str, int, int], list[int]] = {}
        for a in self.allocations.values():
            grouped.setdefault((a.machine, a.epoch, a.attempt), []).append(a.task)
        on = [(m, t, n, encode_ranges(tasks)) for (m, t, n), tasks in grouped.items()]
        record = JobRecord(phase=self.phase, task_count=self.task_count, next_attempt=self.next_attempt, allocations=on)
        if self.phase == DONE:
            record.finished_at = self.finished_at
        if self.phase == OPEN or on:
            assert self.spec is not None and self.done_flags is not None
            record.spec, record.submitted_at = self.spec, self.submitted_at
            record.done_tasks = encode_ranges(i for i, d in enumerate(self.done_flags) if d) if self.done_count else ""
        return record

    def load_record(self, record: JobRecord, raw: object, stamp: int, now: float) -> None:
        """Replace what is known by a stored record. What workers said of the same starts is kept."""
        old = self.allocations
        self.version, self.stored_value = stamp, raw
        self.phase = self.stored_phase = record.phase
        self.task_count, self.next_attempt, self.finished_at = (
            record.task_count,
            record.next_attempt,
            record.finished_at,
        )
        if record.submitted_at is not None:
            self.submitted_at = record.submitted_at
        self.queued_at = self.submitted_at
        if record.spec is None or self.spec is None:
            self.spec = record.spec
        self.allocations = {}
        self.stored_starts = {}
        for machine, tenure, attempt, tasks in record.allocations:
            for task in decode_ranges(tasks):
                a = old.get(task)
                if a is None or (a.machine, a.epoch, a.attempt) != (machine, tenure, attempt):
                    a = Allocation(task, machine, tenure, attempt, now)
                self.allocations[task] = a
                self.stored_starts[task] = (machine, attempt)
        if record.spec is not None:
            self._take_done(decode_ranges(record.done_tasks or ""))
        else:
            self.done_flags = None
            self.done_count = self.task_count if self.phase == DONE else 0
        self.stored_done_count = self.done_count
        self.pending_cursor = 0
        self.has_unsaved_changes = self.needs_reload = self.has_unsaved_starts = self.record_unreadable = False

    def _take_done(self, done: list[int]) -> None:
        """The tasks that the record says are done."""
        self.done_flags = bytearray(self.task_count)
        for task in done:
            self.done_flags[task] = 1
            if task in self.allocations:
                self.allocations[task].finished = True
        self.done_count = len(done)

    def confirm_write(
        self, stamp: int, on: dict[int, tuple[str, int]], phase: str, done: int, raw: object = None
    ) -> None:
        """A write of ours succeeded with this content."""
        self.stored_value = raw
        self.version, self.stored_starts, self.stored_phase, self.stored_done_count = stamp, on, phase, done
        if phase != OPEN and not on and not self.allocations:
            self.spec, self.done_flags, self.stored_value = None, None, None


def jobs_to_write(jobs: Iterable[Job], now: float, spare: bool) -> list[Job]:
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
        if not job.has_unsaved_changes or job.write_in_flight or job.record_unreadable:
            continue
        if job.unsaved_since < 0:
            job.unsaved_since = now
        if job.has_unsaved_starts or job.phase != OPEN:
            first.append(job)
        elif now - job.unsaved_since > (BATCHING_DELAY_S if spare else MAX_BATCHING_DELAY_S):
            rest.append(job)
    first.sort(key=lambda j: (j.phase == OPEN, j.rank, j.unsaved_since, j.queued_at))
    rest.sort(key=lambda j: (j.unsaved_since, j.queued_at))
    return first + rest
