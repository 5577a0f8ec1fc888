"""One job: what its stored record says, and what the leader has decided since.

Invariant: the record of a job names every machine on which a task of it may run, so that whoever leads next knows where
nothing may be started again. Everything else about a task (what a worker last reported) is kept in memory only and may
be lost. So a decision counts for workers and users once its write has succeeded, and not before.

Phases are the stored strings themselves and no `Enum`: they are compared for each job in each scheduling round, and
come from records and go into them as they are.
"""

from collections.abc import Iterable

from hookwall.jobs.allocation import NEVER, Allocation, StoredStart
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage.entries import StoredValue
from hookwall.storage.job_records import JobRecord, StoredAllocation
from hookwall.storage.task_ranges import decode_ranges, encode_ranges

__all__ = ["CANCELLED", "DONE", "NEVER", "OPEN", "Allocation", "Job", "StoredStart", "jobs_to_write"]

OPEN = "open"
DONE = "done"
CANCELLED = "withdrawn"  # the word in stored records and in responses to users

UNASSIGNED = -1  # an index that is not known yet

BATCHING_DELAY_S = 1.0  # how long ends of single tasks may wait to be written together with others
MAX_BATCHING_DELAY_S = 15.0  # and how long while the key-value store has no changes to spare


class Job:
    """A job as its record says (`stored_*`) and as the leader has changed it since.

    `phase`, `allocations`, `done_flags` and `next_attempt` hold the leader's decisions; they equal the stored ones
    unless `has_unsaved_changes` or `write_in_flight`. Indices (`image_index`, ...) are dense ones of the fleet.
    """

    __slots__ = (
        "allocations", "allowed_type_indices", "deferred_record", "done_count", "done_flags", "failures_by_machine",
        "finished_at", "has_unsaved_changes", "has_unsaved_starts", "image_index", "job_id", "last_failure_at",
        "machine_type_fit", "needs_reload", "next_attempt", "pending_cursor", "phase", "queued_at", "rank",
        "record_unreadable", "retry_not_before", "revert_if_write_fails", "spec", "stored_done_count", "stored_phase",
        "stored_starts", "stored_value", "submitted_at", "task_count", "team_index", "unrecorded_sightings",
        "unsaved_since", "version", "write_in_flight", "zone_index",
    )  # fmt: skip

    def __init__(self, job_id: str) -> None:
        """A job of which nothing is known but its name: version 0, without a description."""
        self.job_id = job_id
        # What the record says.
        self.version = 0
        self.stored_value: object = None
        self.stored_phase = OPEN
        self.stored_starts: dict[int, StoredStart] = {}
        self.stored_done_count = 0
        self.spec: JobSpec | None = None
        self.task_count = 0
        self.submitted_at = 0.0  # time of day
        self.finished_at: float | None = None  # time of day at which its last task was found done
        # What the leader has decided, stored or not.
        self.phase = OPEN
        self.next_attempt = 1
        self.allocations: dict[int, Allocation] = {}
        self.done_flags: bytearray | None = None  # by task; None where the record has no description any more
        self.done_count = 0
        # How far that is stored.
        self.has_unsaved_changes = False
        self.has_unsaved_starts = False  # starts are launched only once they are stored
        self.unsaved_since: float | None = None  # as the writer first found it
        self.write_in_flight = False
        self.revert_if_write_fails = False
        self.deferred_record: StoredValue | None = None  # seen while a write of this node was in flight
        self.needs_reload = False  # the record is to be applied again even if its version is known
        self.record_unreadable = False  # a newer record can't be read, so what is known here may be over
        # What workers report.
        self.unrecorded_sightings: dict[int, set[str]] = {}  # task -> machines on which no start of it is known
        self.failures_by_machine: dict[str, int] = {}
        self.last_failure_at = self.retry_not_before = NEVER
        # What follows from the above, for scheduling.
        self.queued_at = 0.0  # time of day: its submission, or the end of the last job that it depends on
        self.rank = UNASSIGNED  # 0 is the highest; its own, or that of a job that depends on it
        self.image_index = self.team_index = self.zone_index = UNASSIGNED
        self.allowed_type_indices: frozenset[int] | None = None  # None: any machine type
        self.machine_type_fit: object = None  # how it fits the machine types, as last found (scheduling/fit.py)
        self.pending_cursor = 0  # no task below it is pending

    # -- what is known ---------------------------------------------------------------------------

    def is_final(self) -> bool:
        """Whether the stored phase is one that never changes again."""
        return self.stored_phase in (DONE, CANCELLED)

    def pending_tasks(self, limit: int) -> list[int]:
        """Up to `limit` tasks that are neither done nor possibly on a machine, lowest first."""
        if self.phase != OPEN or self.done_flags is None or self.record_unreadable:
            return []
        found: list[int] = []
        task = self.pending_cursor
        done_flags, allocations, sightings = self.done_flags, self.allocations, self.unrecorded_sightings
        while task < self.task_count and len(found) < limit:
            if not done_flags[task] and task not in allocations and task not in sightings:
                if not found:
                    self.pending_cursor = task
                found.append(task)
            task += 1
        if not found:
            self.pending_cursor = self.task_count
        return found

    def pending_count(self) -> int:
        """How many tasks are neither done nor possibly on a machine."""
        if self.phase != OPEN or self.done_flags is None:
            return 0
        sighted = sum(
            1 for task in self.unrecorded_sightings if task not in self.allocations and not self.done_flags[task]
        )
        allocated = sum(1 for allocation in self.allocations.values() if not allocation.finished)
        return self.task_count - self.done_count - allocated - sighted

    def may_launch(self, allocation: Allocation) -> bool:
        """Whether a start that is stored may be launched, as far as the job is concerned."""
        if self.record_unreadable:
            return False
        return not self.unrecorded_sightings.get(allocation.task, set()) - {allocation.machine}

    # -- what workers report ---------------------------------------------------------------------

    def add_unrecorded_sighting(self, task: int, machine: str) -> None:
        """A worker reports a task of which no start there is known: it must not start anywhere else."""
        if 0 <= task < self.task_count:
            self.unrecorded_sightings.setdefault(task, set()).add(machine)

    def remove_unrecorded_sighting(self, task: int, machine: str) -> None:
        """A task that was reported without a known start is not on that machine any more."""
        machines = self.unrecorded_sightings.get(task, set())
        machines.discard(machine)
        if not machines and self.unrecorded_sightings.pop(task, None) is not None:
            self.pending_cursor = min(self.pending_cursor, task)

    # -- what the leader decides -----------------------------------------------------------------

    def mark_task_done(self, task: int) -> None:
        """Count a task as done; without effect if it is."""
        if self.done_flags is not None and not self.done_flags[task]:
            self.done_flags[task] = 1
            self.done_count += 1
            self.has_unsaved_changes = True

    def remove_allocation(self, task: int) -> None:
        """The start is over or was shown to be gone; an unfinished task is pending again."""
        del self.allocations[task]
        self.pending_cursor = min(self.pending_cursor, task)
        self.has_unsaved_changes = True

    # -- its record ------------------------------------------------------------------------------

    def record(self) -> JobRecord:
        """What is to be stored of the job as it is now."""
        allocations = self._grouped_allocations()
        record = JobRecord(
            phase=self.phase, task_count=self.task_count, next_attempt=self.next_attempt, allocations=allocations
        )
        if self.phase == DONE:
            record.finished_at = self.finished_at
        if self.phase == OPEN or allocations:
            assert self.spec is not None
            assert self.done_flags is not None
            record.spec = self.spec
            record.submitted_at = self.submitted_at
            done_tasks = (task for task, done in enumerate(self.done_flags) if done)
            record.done_tasks = encode_ranges(done_tasks) if self.done_count else ""
        return record

    def _grouped_allocations(self) -> list[StoredAllocation]:
        """The allocations as a record names them: tasks that share machine, epoch and attempt in one entry."""
        tasks_of: dict[tuple[str, int, int], list[int]] = {}
        for allocation in self.allocations.values():
            start = (allocation.machine, allocation.epoch, allocation.attempt)
            tasks_of.setdefault(start, []).append(allocation.task)
        return [
            (machine, epoch, attempt, encode_ranges(tasks)) for (machine, epoch, attempt), tasks in tasks_of.items()
        ]

    def load_record(self, record: JobRecord, value: object, version: int, now: float) -> None:
        """Replace what is known by a stored record. What workers reported of the same starts is kept."""
        self.version = version
        self.stored_value = value
        self.stored_phase = record.phase
        self.phase = record.phase
        self.task_count = record.task_count
        self.next_attempt = record.next_attempt
        self.finished_at = record.finished_at
        if record.submitted_at is not None:
            self.submitted_at = record.submitted_at
        self.queued_at = self.submitted_at
        if record.spec is None or self.spec is None:
            self.spec = record.spec
        self._load_allocations(record, now)
        if record.spec is not None:
            self._load_done_tasks(decode_ranges(record.done_tasks or ""))
        else:
            self.done_flags = None
            self.done_count = self.task_count if self.phase == DONE else 0
        self.stored_done_count = self.done_count
        self.pending_cursor = 0
        self.has_unsaved_changes = False
        self.has_unsaved_starts = False
        self.needs_reload = False
        self.record_unreadable = False

    def _load_allocations(self, record: JobRecord, now: float) -> None:
        """The starts that the record names; those that are known already stay as they are."""
        known = self.allocations
        self.allocations = {}
        self.stored_starts = {}
        for machine, epoch, attempt, tasks in record.allocations:
            stored_start = StoredStart(machine, attempt)
            identity = (machine, epoch, attempt)
            for task in decode_ranges(tasks):
                allocation = known.get(task)
                if allocation is None or (allocation.machine, allocation.epoch, allocation.attempt) != identity:
                    allocation = Allocation(task, machine, epoch, attempt, now)
                self.allocations[task] = allocation
                self.stored_starts[task] = stored_start

    def _load_done_tasks(self, done_tasks: list[int]) -> None:
        """The tasks that the record says are done."""
        self.done_flags = bytearray(self.task_count)
        for task in done_tasks:
            self.done_flags[task] = 1
            if task in self.allocations:
                self.allocations[task].finished = True
        self.done_count = len(done_tasks)

    def confirm_write(
        self, version: int, starts: dict[int, StoredStart], phase: str, done_count: int, value: object = None
    ) -> None:
        """A write of this node has succeeded with this content, and gave the record this version."""
        self.version = version
        self.stored_value = value
        self.stored_starts = starts
        self.stored_phase = phase
        self.stored_done_count = done_count
        if phase != OPEN and not starts and not self.allocations:
            self.spec = None
            self.done_flags = None
            self.stored_value = None


def jobs_to_write(jobs: Iterable[Job], now: float, spare: bool) -> list[Job]:
    """The jobs to store next, most pressing first; `spare` is whether the store has changes to spare.

    An end that its user waits for, then starts, which are launched only once stored; by rank, then by how long they
    have waited. That a task of a larger job is over can wait: its worker goes on reporting it until it is stored, and
    the capacity that it leaves is used meanwhile. When each such end was written at once, and older jobs always first,
    a hundred running arrays used up the store's changes and starts of later ones waited for up to 50 s.
    """
    pressing: list[tuple[tuple[bool, int, float, float], Job]] = []
    batched: list[tuple[tuple[float, float], Job]] = []
    max_delay_s = BATCHING_DELAY_S if spare else MAX_BATCHING_DELAY_S
    for job in jobs:
        if not job.has_unsaved_changes or job.write_in_flight or job.record_unreadable:
            continue
        if job.unsaved_since is None:
            job.unsaved_since = now
        if job.has_unsaved_starts or job.phase != OPEN:
            pressing.append(((job.phase == OPEN, job.rank, job.unsaved_since, job.queued_at), job))
        elif now - job.unsaved_since > max_delay_s:
            batched.append(((job.unsaved_since, job.queued_at), job))
    pressing.sort(key=lambda entry: entry[0])
    batched.sort(key=lambda entry: entry[0])
    return [job for _, job in pressing] + [job for _, job in batched]
