"""The state of one job: its stored record, and the leader's decisions since that record was stored.

Invariant: the record of a job names every machine on which one of its tasks may run, so that the next leader knows
which tasks may still be running, and where, and does not start them again. Therefore a decision takes effect for
workers and users only once its write has succeeded. All other information about a task (the worker's last report) is
kept in memory only and may be lost.

Phases are the stored strings themselves and not an `Enum`, because they are compared for each job in each scheduling
round, and are read from records and written to them unchanged.
"""

from collections.abc import Iterable

from hookwall.config.clock_bounds import DISTANT_PAST
from hookwall.jobs.allocation import Allocation, StoredStart
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage.entries import StoredValue
from hookwall.storage.job_records import JobRecord, StoredAllocation
from hookwall.storage.task_ranges import decode_ranges, encode_ranges

__all__ = ["CANCELLED", "DONE", "OPEN", "Allocation", "Job", "StoredStart", "jobs_to_write"]

OPEN = "open"
DONE = "done"
CANCELLED = "withdrawn"  # the value in stored records and in responses to users

UNASSIGNED = -1  # an index that is not known yet

BATCHING_DELAY_S = 1.0  # delay before a task's end is written, so that several ends share a transaction
MAX_BATCHING_DELAY_S = 15.0  # this delay while the rate limit of the key-value store leaves no spare changes


class Job:
    """The stored state of a job (`stored_*`), and its state after the leader's decisions.

    `phase`, `allocations`, `done_flags` and `next_attempt` include the leader's decisions. They equal the stored values
    unless `has_unsaved_changes` or `write_in_flight` is set. Indices (`image_index`, ...) are dense indices of the
    fleet.
    """

    __slots__ = (
        "allocations", "allowed_type_indices", "deferred_record", "done_count", "done_flags", "failures_by_machine",
        "finished_at", "has_unsaved_changes", "has_unsaved_starts", "image_index", "job_id", "last_failure_at",
        "machine_type_fit", "needs_reload", "next_attempt", "pending_cursor", "phase", "queued_at", "rank",
        "record_unreadable", "retry_not_before", "spec", "stored_done_count", "stored_phase", "stored_starts",
        "stored_value", "submitted_at", "task_count", "team_index", "unrecorded_reports", "unsaved_since", "version",
        "write_in_flight", "zone_index",
    )  # fmt: skip

    def __init__(self, job_id: str) -> None:
        """Create a job of which only the id is known. It has version 0 and no description."""
        self.job_id = job_id
        # State from the record.
        self.version = 0
        self.stored_value: object = None
        self.stored_phase = OPEN
        self.stored_starts: dict[int, StoredStart] = {}
        self.stored_done_count = 0
        self.spec: JobSpec | None = None
        self.task_count = 0
        self.submitted_at = 0.0  # time of day
        self.finished_at: float | None = None  # time of day at which its last task was found to be done
        # The leader's decisions, stored or not.
        self.phase = OPEN
        self.next_attempt = 1
        self.allocations: dict[int, Allocation] = {}
        self.done_flags: bytearray | None = None  # by task; None if the record no longer has a description
        self.done_count = 0
        # Progress of storing the decisions.
        self.has_unsaved_changes = False
        self.has_unsaved_starts = False  # a start is launched only once it is stored
        self.unsaved_since: float | None = None  # when the writer first found the unsaved changes
        self.write_in_flight = False
        self.deferred_record: StoredValue | None = None  # received while a write of this node was in flight
        self.needs_reload = False  # the record must be applied again even if its version is already known
        self.record_unreadable = False  # a newer record can't be read, so the state known here may be outdated
        # Reports of workers.
        self.unrecorded_reports: dict[int, set[str]] = {}  # task -> machines that report it without a known start
        self.failures_by_machine: dict[str, int] = {}
        self.last_failure_at = self.retry_not_before = DISTANT_PAST
        # Derived state, used for scheduling.
        self.queued_at = 0.0  # time of day of its submission, or of the end of the last job that it depends on
        self.rank = UNASSIGNED  # the highest of its own rank and those of its dependents; 0 is the highest
        self.image_index = self.team_index = self.zone_index = UNASSIGNED
        self.allowed_type_indices: frozenset[int] | None = None  # None: any machine type
        self.machine_type_fit: object = None  # the last computed fit with the machine types (scheduling/fit.py)
        self.pending_cursor = 0  # no task with a lower index is pending

    # -- queries ---------------------------------------------------------------------------------

    def is_final(self) -> bool:
        """Whether the stored phase is final, so that it never changes again."""
        return self.stored_phase in (DONE, CANCELLED)

    def pending_tasks(self, limit: int) -> list[int]:
        """Up to `limit` tasks that are not done and can't be running on any machine, in ascending order."""
        if self.phase != OPEN or self.done_flags is None or self.record_unreadable:
            return []
        found: list[int] = []
        task = self.pending_cursor
        done_flags, allocations, unrecorded = self.done_flags, self.allocations, self.unrecorded_reports
        while task < self.task_count and len(found) < limit:
            if not done_flags[task] and task not in allocations and task not in unrecorded:
                if not found:
                    self.pending_cursor = task
                found.append(task)
            task += 1
        if not found:
            self.pending_cursor = self.task_count
        return found

    def pending_count(self) -> int:
        """The number of tasks that are not done and can't be running on any machine."""
        if self.phase != OPEN or self.done_flags is None:
            return 0
        sighted = sum(
            1 for task in self.unrecorded_reports if task not in self.allocations and not self.done_flags[task]
        )
        allocated = sum(1 for allocation in self.allocations.values() if not allocation.finished)
        return self.task_count - self.done_count - allocated - sighted

    def may_launch(self, allocation: Allocation) -> bool:
        """Whether the state of the job allows launching a stored start.

        The start must not be launched if a newer record can't be read, or if another machine reports the task although
        no start of the task on that machine is known.
        """
        if self.record_unreadable:
            return False
        return not self.unrecorded_reports.get(allocation.task, set()) - {allocation.machine}

    # -- reports of workers ----------------------------------------------------------------------

    def add_unrecorded_report(self, task: int, machine: str) -> None:
        """Record that a worker reports a task although no start of the task on its machine is known.

        The task must not be started on any other machine.
        """
        if 0 <= task < self.task_count:
            self.unrecorded_reports.setdefault(task, set()).add(machine)

    def remove_unrecorded_report(self, task: int, machine: str) -> None:
        """Record that a task reported without a known start is no longer on that machine."""
        machines = self.unrecorded_reports.get(task, set())
        machines.discard(machine)
        if not machines and self.unrecorded_reports.pop(task, None) is not None:
            self.pending_cursor = min(self.pending_cursor, task)

    # -- decisions of the leader -----------------------------------------------------------------

    def mark_task_done(self, task: int) -> None:
        """Mark a task as done. This has no effect if it is done already."""
        if self.done_flags is not None and not self.done_flags[task]:
            self.done_flags[task] = 1
            self.done_count += 1
            self.has_unsaved_changes = True

    def remove_allocation(self, task: int) -> None:
        """Remove an allocation that has ended or is proven to be gone. An unfinished task becomes pending again."""
        del self.allocations[task]
        self.pending_cursor = min(self.pending_cursor, task)
        self.has_unsaved_changes = True

    # -- the record ------------------------------------------------------------------------------

    def record(self) -> JobRecord:
        """The record to store for the job's present state."""
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
        """The allocations in the form of a record: one entry for all tasks with the same machine, epoch and attempt."""
        tasks_of: dict[tuple[str, int, int], list[int]] = {}
        for allocation in self.allocations.values():
            start = (allocation.machine, allocation.epoch, allocation.attempt)
            tasks_of.setdefault(start, []).append(allocation.task)
        return [
            (machine, epoch, attempt, encode_ranges(tasks)) for (machine, epoch, attempt), tasks in tasks_of.items()
        ]

    def load_record(self, record: JobRecord, value: object, version: int) -> None:
        """Replace the state of the job by a stored record. Workers' reports about unchanged starts are kept."""
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
        self._load_allocations(record)
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

    def _load_allocations(self, record: JobRecord) -> None:
        """Set the allocations to the starts that the record names. Those that are already known are kept unchanged."""
        known = self.allocations
        self.allocations = {}
        self.stored_starts = {}
        for machine, epoch, attempt, tasks in record.allocations:
            stored_start = StoredStart(machine, attempt)
            identity = (machine, epoch, attempt)
            for task in decode_ranges(tasks):
                allocation = known.get(task)
                if allocation is None or (allocation.machine, allocation.epoch, allocation.attempt) != identity:
                    allocation = Allocation(task, machine, epoch, attempt, DISTANT_PAST)
                self.allocations[task] = allocation
                self.stored_starts[task] = stored_start

    def _load_done_tasks(self, done_tasks: list[int]) -> None:
        """Mark exactly those tasks as done that are done according to the record."""
        self.done_flags = bytearray(self.task_count)
        for task in done_tasks:
            self.done_flags[task] = 1
            if task in self.allocations:
                self.allocations[task].finished = True
        self.done_count = len(done_tasks)

    def confirm_write(
        self, version: int, starts: dict[int, StoredStart], phase: str, done_count: int, value: object = None
    ) -> None:
        """Record that a write of this node succeeded: the content that it stored, and the record's new version.

        A job that has ended and has no allocations drops its description and other state that is no longer needed.
        """
        self.version = version
        self.stored_value = value
        self.stored_starts = starts
        self.stored_phase = phase
        self.stored_done_count = done_count
        if phase != OPEN and not starts and not self.allocations:
            self.spec = None
            self.done_flags = None
            self.stored_value = None


def jobs_to_write(jobs: Iterable[Job], now: float, has_spare_changes: bool) -> list[Job]:
    """The jobs to store next, in order of priority, given whether the store's rate limit leaves spare changes.

    Ends of whole jobs come first, because their users wait for them. Starts come next, because they are launched only
    once they are stored. Both are ordered by rank, then by how long they have waited. The end of a single task of a
    larger job is written later: its worker keeps reporting it until it is stored, and the freed capacity is used in the
    meantime. Writing each such end at once, and older jobs always first, let a hundred running arrays use up the
    store's rate of changes and delayed the starts of later arrays by up to 50 s.
    """
    immediate: list[tuple[tuple[bool, int, float, float], Job]] = []
    batched: list[tuple[tuple[float, float], Job]] = []
    max_delay_s = BATCHING_DELAY_S if has_spare_changes else MAX_BATCHING_DELAY_S
    for job in jobs:
        if not job.has_unsaved_changes or job.write_in_flight or job.record_unreadable:
            continue
        if job.unsaved_since is None:
            job.unsaved_since = now
        if job.has_unsaved_starts or job.phase != OPEN:
            immediate.append(((job.phase == OPEN, job.rank, job.unsaved_since, job.queued_at), job))
        elif now - job.unsaved_since > max_delay_s:
            batched.append(((job.unsaved_since, job.queued_at), job))
    immediate.sort(key=lambda entry: entry[0])
    batched.sort(key=lambda entry: entry[0])
    return [job for _, job in immediate] + [job for _, job in batched]
