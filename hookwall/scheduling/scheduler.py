"""Scheduling rounds: where waiting jobs are placed, and which tasks are preempted for them.

A round has a time budget. Jobs are served in order (within a guarantee, rank, arrival). If a round runs out of time,
the next round continues with the job at which it stopped.

Invariant: a task that a round has allocated is launched only after the job writer has stored its start.
"""

import logging
import math
import time
from collections.abc import Callable, Container
from itertools import islice

from hookwall.config.platform import PlatformParameters, ServiceObjective
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.start_record_budget import StartRecordBudget, recordable_start_count
from hookwall.scheduling.broken_gangs import BrokenGangs
from hookwall.scheduling.cached_image_wait import CachedImageWait
from hookwall.scheduling.image_affinity import STARVATION_S, ImageAffinity
from hookwall.scheduling.machine_selection import MachineSelection
from hookwall.scheduling.placement import Placement
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.quotas import Quotas
from hookwall.scheduling.reservations import Reservations
from hookwall.scheduling.round_state import QueuedJob, ResourceUsage, RoundState
from hookwall.scheduling.serving_order import (
    QueueEntry,
    QueueKey,
    finish_jobs,
    pending_jobs,
    serving_order,
)
from hookwall.storage.job_records import plain_allocations_bytes
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import CAPACITY_TOLERANCE, ResourceRequest

log = logging.getLogger(__name__)

ROUND_CPU_TIME_S = 0.011  # CPU time of a round, in seconds of a full core: 30 ms on a third of a core
MAX_ROUND_S = 0.12  # heartbeats and health checks wait while a round runs
MIN_CORE_SHARE = 0.01
MAX_UNSTORED_JOBS = 60  # a round stops above this number of jobs whose starts are not stored yet
ERROR_RETRY_DELAY_S = 10.0  # until a job whose scheduling failed is considered again
RESERVE_AFTER_S = 1.0  # how long a gang waits before machines are reserved for it


class Scheduler:
    """Makes the leader's decisions about tasks. It changes jobs and the fleet in memory; the job writer stores them."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        fleet: Fleet,
        clock: Callable[[], float],
        time_of_day: Callable[[], float] = time.time,
        unstored_job_count: Callable[[], int] = lambda: 0,
        start_record_budget: Callable[[], StartRecordBudget] | None = None,
    ) -> None:
        """The last two parameters query the job writer.

        `unstored_job_count`: returns how many jobs have starts that are not stored yet.
        `start_record_budget`: returns how much of its record the starts of one job may take; by default, the budget of
        a record in the plain form.
        """
        self.table = table
        self.fleet = fleet
        self.clock = clock
        self.time_of_day = time_of_day
        self.unstored_job_count = unstored_job_count
        plain_bytes = plain_allocations_bytes(params.state.value_kb)
        default_budget = StartRecordBudget(plain_bytes, plain_bytes)
        self.start_record_budget = start_record_budget or (lambda: default_budget)
        # The budget grows as the core share shrinks: with a fixed budget, halving the share also halved a round's work.
        self.budget_s = min(MAX_ROUND_S, ROUND_CPU_TIME_S / max(MIN_CORE_SHARE, params.machine_limits.core_share))
        self.resume_key: QueueKey | None = None
        self.waiting: dict[str, QueuedJob] = {}
        # Jobs that a drain has stopped (drains/). Capacity was found for them, which they yield to no other job.
        self.relocated_jobs: Container[str] = ()
        self.broken_gangs = BrokenGangs(table, fleet, params.workers.gang_wait_s)
        self.latest_start_s = _latest_starts_s(params.objectives)
        team_settings = list(params.teams)
        self.quotas = Quotas(team_settings, table)
        self.image_affinity = ImageAffinity(self.waiting, fleet, time_of_day, self.latest_start_s)
        self.preemption = Preemption(team_settings, fleet, self.resource_request)
        self.reservations = Reservations(table, fleet, self.waiting, self.image_affinity, self.preemption)
        self.machine_selection = MachineSelection(fleet, self.reservations, self.image_affinity)
        self.cached_image_wait = CachedImageWait(self.waiting, fleet, self.image_affinity, self.preemption)

    # -- views of the cluster --------------------------------------------------------------------

    def round_state(self, now: float) -> RoundState:
        """Return the free capacity of each schedulable machine, and what each team may be using."""
        state = RoundState()
        for machine in self.fleet.machines.values():
            if machine.reserved_for and not self._still_waits(machine.reserved_for):
                machine.reserved_for = ""
            if not self.fleet.is_schedulable(machine, now):
                continue
            free = self.fleet.free_capacity(machine)
            state.machines[machine.index] = free
            if free.gpus > CAPACITY_TOLERANCE:
                state.machines_with_gpus[machine.index] = free
            if machine.reserved_for:
                state.reserved_for[machine.index] = machine.reserved_for
        state.count_usage(self.table.open_jobs.values())
        return state

    def _still_waits(self, job_id: str) -> bool:
        job = self.table.open_jobs.get(job_id)
        if job is None or job.phase != OPEN:
            return False
        return job_id in self.waiting or self.broken_gangs.holds_reservations(job_id)

    def resource_request(self, job: Job, count: int) -> ResourceRequest:
        """Return the request for `count` tasks of a job, in addition to those that may already be on machines."""
        spec = job.spec
        assert spec is not None
        tasks_by_zone: dict[int, int] = {}
        if spec.one_zone or spec.spread or spec.service:
            machines = [allocation.machine for allocation in job.allocations.values()]
            machines.extend(name for names in job.unrecorded_reports.values() for name in names)
            for machine in machines:
                zone = self.fleet.zone_of(machine)
                tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
        return ResourceRequest(
            count, job.task_count, spec.gang, spec.cpus, spec.gpus, spec.memory_gb, job.image_index,
            job.allowed_type_indices, job.zone_index, spec.one_zone, spec.spread, spec.spot, spec.service,
            tasks_by_zone,
        )  # fmt: skip

    # -- rounds --------------------------------------------------------------------------------

    def run_round(self) -> bool:
        """Run one scheduling round. Return True if the round did not serve the whole queue.

        Nothing is decided while it is not known what the records admit (`jobs/unsettled_writes`).
        """
        if self.table.unsettled_jobs():
            return False
        now = self.clock()
        finish_jobs(self.table, self.time_of_day)
        self.broken_gangs.stop_remaining_tasks(now)
        self.reservations.measure_whole_machine_demand(now)
        pending = pending_jobs(self.table, self.waiting, now)
        if not pending:
            self.resume_key = None
            return False
        queue = serving_order(pending, self.quotas.jobs_within_guarantee())
        start = 0
        if self.resume_key is not None:
            start = next((position for position, entry in enumerate(queue) if entry.key >= self.resume_key), 0)
        state = self.round_state(now)
        self.reservations.set_aside_whole_machines(state)
        self.resume_key = self._serve_queue(queue[start:], state, now)
        self.reservations.track_reservations(state, now)
        return self.resume_key is not None or start > 0

    def _serve_queue(self, queue: list[QueueEntry], state: RoundState, now: float) -> QueueKey | None:
        """Serve jobs in order while the budgets allow; return the key of the job to continue with, or None."""
        unstored = self.unstored_job_count()
        for position, (key, job) in enumerate(queue):
            if position > 0 and self.clock() - now > self.budget_s:
                log.debug("round out of time: served=%d queued=%d", position, len(queue))
                return key
            if unstored > MAX_UNSTORED_JOBS:
                return key
            was_unstored = job.has_unsaved_starts
            try:
                self._serve_job(job, state, not key.beyond_guarantee, now)
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self._abandon(job, now)
                return queue[position + 1].key if position + 1 < len(queue) else None
            unstored += job.has_unsaved_starts and not was_unstored
        return None

    def _abandon(self, job: Job, now: float) -> None:
        """Void what was decided for a job before an error; the round's view of the cluster may be wrong from then on.

        So the round must end, and the next one goes on with the jobs after this one.
        """
        self.table.errors.record(job.job_id, JobOperation.SCHEDULE)
        job.retry_not_before = now + ERROR_RETRY_DELAY_S
        self.waiting.pop(job.job_id, None)
        self.table.revert_decisions(job)

    # -- single jobs ---------------------------------------------------------------------------

    def _serve_job(self, job: Job, state: RoundState, within_guarantee: bool, now: float) -> None:
        """Place as many tasks of a job as possible; preempt tasks or reserve machines for the others."""
        spec = job.spec
        assert spec is not None
        self.broken_gangs.end_regrouping(job.job_id)
        if spec.gang:
            count = job.task_count
        else:
            count = min(job.pending_count(), recordable_start_count(job, self.start_record_budget()))
        admitted = self.quotas.admitted_task_count(job, state)
        if admitted < (count if spec.gang else 1):
            self.waiting.pop(job.job_id, None)  # free capacity would not help: the team is at its limit
            return
        count = min(count, admitted)
        request = self.resource_request(job, count)
        is_starving = self._is_starving(job, now)
        machines = self.machine_selection.available_machines(job, request, state, is_starving, now)
        placements = self.machine_selection.place_job(job, request, state, machines, is_starving, within_guarantee)
        if placements and self.cached_image_wait.should_wait(job, placements, state, within_guarantee, now):
            return
        placed = sum(task_count for _, task_count in placements)
        if placed:
            self._allocate(job, state, placements, now)
        if placed < count:
            self._queue_remainder(job, request, state, count - placed, placed > 0, within_guarantee, now)
        else:
            self.waiting.pop(job.job_id, None)

    def _allocate(self, job: Job, state: RoundState, placements: list[Placement], now: float) -> None:
        """Allocate the placed number of tasks to each machine, all with the same attempt number."""
        spec = job.spec
        assert spec is not None
        placed = sum(task_count for _, task_count in placements)
        tasks = iter(job.pending_tasks(placed))
        attempt = job.next_attempt
        job.next_attempt += 1
        for machine_index, task_count in placements:
            machine = self.fleet.machines_by_index[machine_index]
            for task in islice(tasks, task_count):
                self.fleet.allocate(job, task, machine, attempt, now)
            state.allocate(machine_index, job, task_count)
            self.reservations.reservation_times.pop(machine_index, None)
            if machine.reserved_for == job.job_id:
                machine.reserved_for = ""
                state.reserved_for.pop(machine_index, None)
        state.usage.setdefault(job.team_index, ResourceUsage()).add(spec, placed)
        if log.isEnabledFor(logging.DEBUG):
            machine_counts = ",".join(
                f"{self.fleet.machines_by_index[index].name}*{count}" for index, count in placements
            )
            log.debug(
                "tasks placed: job=%s attempt=%d tasks=%d machines=%s", job.job_id, attempt, placed, machine_counts
            )

    def _queue_remainder(
        self,
        job: Job,
        request: ResourceRequest,
        state: RoundState,
        remaining: int,
        served: bool,
        within_guarantee: bool,
        now: float,
    ) -> None:
        """Queue the remaining tasks of a job, preempt tasks for them where allowed, and reserve machines for a gang."""
        queued = self.waiting.get(job.job_id)
        if queued is None:
            last_served_at = -math.inf if job.job_id in self.relocated_jobs else now
            queued = self.waiting[job.job_id] = QueuedJob(job, remaining, now, last_served_at=last_served_at)
        elif served:
            queued.last_served_at = now
            # A job that is still being served may keep declining machines without its image. When the time limit
            # ran from the first declined machine, each job of a long queue took any machine, and three in four
            # tasks fetched their image.
            queued.declining_since = -1.0
        queued.count = remaining
        missing = self.preemption.preempt_for(job, state, remaining, within_guarantee, now)
        if request.gang and missing > 0 and now - queued.waiting_since > RESERVE_AFTER_S:
            self.reservations.reserve_for_gang(job, request, state, now)

    def _is_starving(self, job: Job, now: float) -> bool:
        """Return whether a job was not served for so long that it no longer has to yield machines to gangs.

        A job that a drain has stopped always counts as starving.
        """
        queued = self.waiting.get(job.job_id)
        return job.job_id in self.relocated_jobs or (queued is not None and now - queued.last_served_at > STARVATION_S)


def _latest_starts_s(objectives: list[ServiceObjective]) -> dict[str, float]:
    """Return how many seconds after its arrival a job must have started, by job class."""
    latest: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.job_class and objective.within_s:
            latest[objective.job_class] = max(objective.within_s, latest.get(objective.job_class, 0.0))
    return latest
