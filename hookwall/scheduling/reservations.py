"""Reserves machines for waiting gangs, and sets machines aside for whole-machine gangs that wait or are expected.

Without these rules no machine would ever become empty, because small tasks take each GPU that is freed.

Invariant: a machine is reserved for one job at a time, and a machine that was reserved without use for
`STALE_RESERVATION_S` is available to starving jobs.
"""

import math
from typing import NamedTuple

from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.image_affinity import ImageAffinity
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.round_state import QueuedJob, RoundState
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import FreeCapacity, ResourceRequest, placeable_task_count

# Machines set aside for expected whole-machine jobs, as a multiple of the square root of their mean demand.
SET_ASIDE_DEVIATIONS = 0.8
MIN_MEAN_DEMAND = 0.5  # in machines; below this, none is set aside unless a whole-machine job waits
SMOOTHING_S = 90.0  # time constant of the mean demand
MAX_MEASURED_GAP_S = 30.0  # a longer interval between two measurements counts as this
STALE_RESERVATION_S = 60.0  # starving jobs may use a machine that was reserved without use for this long
MAX_RESERVATION_GAP_S = 5.0  # a machine that no round found reserved for longer counts as newly reserved


class ReservationTimes(NamedTuple):
    """Since when a machine has been reserved, and when a round last found it reserved."""

    since: float
    last_seen_at: float


class Reservations:
    """Measures the demand for whole machines, and reserves machines for gangs."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        waiting: dict[str, QueuedJob],
        image_affinity: ImageAffinity,
        preemption: Preemption,
    ) -> None:
        """`waiting` is the scheduler's own queue, by job id."""
        self.table = table
        self.fleet = fleet
        self.waiting = waiting
        self.image_affinity = image_affinity
        self.preemption = preemption
        self.mean_whole_machine_tasks = 0.0
        self.whole_machine_rank = -1  # numerically highest rank of whole-machine jobs; -1: there was none yet
        self.last_whole_machine_rank = -1
        self.measured_at = -math.inf
        self.reservation_times: dict[int, ReservationTimes] = {}  # by machine

    def has_stale_reservation(self, machine_index: int, now: float) -> bool:
        """Return whether a machine has been reserved for long without use, so that starving jobs may use it."""
        times = self.reservation_times.get(machine_index)
        return times is not None and now - times.since > STALE_RESERVATION_S

    def track_reservations(self, state: RoundState, now: float) -> None:
        """Record since when each machine has been reserved.

        A round that runs out of time does not see all reservations, so short gaps are ignored.
        """
        for index in state.reserved_for:
            previous = self.reservation_times.get(index)
            self.reservation_times[index] = ReservationTimes(now if previous is None else previous.since, now)
        self.reservation_times = {
            index: times
            for index, times in self.reservation_times.items()
            if now - times.last_seen_at < MAX_RESERVATION_GAP_S
        }

    def measure_whole_machine_demand(self, now: float) -> None:
        """Update how many machines the whole-machine jobs need, their rank, and the lowest rank with allocations."""
        needed = 0
        self.whole_machine_rank = -1
        self.preemption.lowest_allocated_rank = -1
        for job in self.table.open_jobs.values():
            if job.allocations:
                self.preemption.lowest_allocated_rank = max(self.preemption.lowest_allocated_rank, job.rank)
            if job.phase == OPEN and task_fit(job, self.fleet).needs_whole_machine:
                needed += job.task_count - job.done_count
                self.whole_machine_rank = max(self.whole_machine_rank, job.rank)
        elapsed_s = min(MAX_MEASURED_GAP_S, max(0.0, now - self.measured_at))
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        self.measured_at = now
        self.mean_whole_machine_tasks += weight * (needed - self.mean_whole_machine_tasks)
        if self.whole_machine_rank < 0:
            self.whole_machine_rank = self.last_whole_machine_rank
        self.last_whole_machine_rank = self.whole_machine_rank

    def set_aside_whole_machines(self, state: RoundState) -> None:
        """Set some machines aside for jobs that need a whole machine and cannot preempt other tasks.

        Small tasks of the same rank fit anywhere and refill each GPU that is freed, so under load no on-demand
        machine ever becomes empty. One machine is set aside for each waiting task. The number of further machines is
        the amount by which the demand of such jobs is likely to vary.
        """
        waiting_count = sum(
            queued.count
            for queued in self.waiting.values()
            if queued.job.rank == self.whole_machine_rank
            and queued.job.phase == OPEN
            and task_fit(queued.job, self.fleet).needs_whole_machine
        )
        if self.mean_whole_machine_tasks < MIN_MEAN_DEMAND and not waiting_count:
            return
        expected_count = math.ceil(SET_ASIDE_DEVIATIONS * math.sqrt(self.mean_whole_machine_tasks))
        spare = [
            machine
            for machine in state.machines.values()
            if not machine.spot and machine.index not in state.reserved_for and not self.has_whole_machine_task(machine)
        ]
        spare.sort(key=_emptiest_first)
        state.set_aside_for_waiting = {machine.index for machine in spare[:waiting_count]}
        expected = spare[waiting_count : waiting_count + expected_count]
        state.set_aside_for_expected = {machine.index for machine in expected}

    def has_whole_machine_task(self, machine: FreeCapacity) -> bool:
        """Return whether the machine has a task that needs a whole machine; cached until the machine changes."""
        if machine.has_whole_machine_task is None:
            machine.has_whole_machine_task = any(
                task_fit(job, self.fleet).needs_whole_machine
                for job, _ in self.fleet.machines_by_index[machine.index].allocations.values()
            )
        return machine.has_whole_machine_task

    def reserve_for_gang(self, job: Job, request: ResourceRequest, state: RoundState, now: float) -> None:
        """Reserve for this round the machines that a waiting gang will get first, so that later jobs don't use them.

        Without these reservations, small tasks of later jobs take each GPU that is freed, and a gang that needs whole
        machines never starts.
        """
        missing = request.count - sum(job_id == job.job_id for job_id in state.reserved_for.values())
        machines = self.image_affinity.exclude_contested_for_gang(
            job, request, state.unreserved_machines(request), state, now
        )
        if request.one_zone and machines:
            machines = self._in_chosen_zone(job, machines, missing)
        for machine in sorted(machines, key=_emptiest_first):
            if missing <= 0:
                return
            state.reserved_for[machine.index] = job.job_id
            missing -= max(1, placeable_task_count(request, machine))

    def _in_chosen_zone(self, job: Job, machines: list[FreeCapacity], missing: int) -> list[FreeCapacity]:
        """Return the machines of the zone chosen earlier for the gang, or else of the zone with the most idle GPUs.

        A chosen zone is kept while it has enough machines: when the choice followed each freed GPU, no zone ever had
        enough free capacity.
        """
        by_zone: dict[int, list[FreeCapacity]] = {}
        for machine in machines:
            by_zone.setdefault(machine.zone, []).append(machine)
        queued = self.waiting.get(job.job_id)
        if queued is not None and len(by_zone.get(queued.reserved_zone, ())) >= missing:
            return by_zone[queued.reserved_zone]

        def idle_gpus(zone_machines: list[FreeCapacity]) -> float:
            return sum(sorted((machine.gpus for machine in zone_machines), reverse=True)[:missing])

        chosen = max(by_zone.values(), key=idle_gpus)
        if queued is not None:
            queued.reserved_zone = chosen[0].zone
        return chosen


def _emptiest_first(machine: FreeCapacity) -> tuple[float, float, int]:
    return (-machine.gpus, -machine.cpus, machine.index)
