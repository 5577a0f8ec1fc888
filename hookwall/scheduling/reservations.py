"""Machines that are reserved or set aside: for gangs that wait, and for whole-machine gangs that are likely to come.

Small tasks take each GPU that is freed, so without this no machine ever becomes empty.

Invariant: a machine is reserved for one job at a time, and one that was reserved in vain for `RESERVED_IN_VAIN_S` is
open to jobs that starve.
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

SET_ASIDE_Z = 0.8  # how many machines are set aside for whole-machine jobs, in roots of their mean demand
LEAST_MEAN_DEMAND = 0.5  # machines; below this, none is set aside for jobs that may come
SMOOTHING_S = 90.0  # time constant of the mean demand
MAX_MEASURED_GAP_S = 30.0  # a longer time between two measurements counts as this
RESERVED_IN_VAIN_S = 60.0  # capacity that has been reserved in vain for so long may go to others
FORGET_S = 5.0  # a machine that was not reserved for so long begins anew


class ReservationTimes(NamedTuple):
    """Since when a machine is reserved, and when a round last found it so."""

    since: float
    last_seen_at: float


class Reservations:
    """Follows the demand for whole machines, and reserves machines for gangs."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        waiting: dict[str, QueuedJob],
        image_affinity: ImageAffinity,
        preemption: Preemption,
    ) -> None:
        """`waiting` is the scheduler's own queue, by job."""
        self.table = table
        self.fleet = fleet
        self.waiting = waiting
        self.image_affinity = image_affinity
        self.preemption = preemption
        self.mean_whole_machine_tasks = 0.0
        self.whole_machine_rank = -1  # the numerically highest rank of jobs that need whole machines; -1: none came yet
        self.last_whole_machine_rank = -1
        self.measured_at = -math.inf
        self.reservation_times: dict[int, ReservationTimes] = {}  # by machine

    def reserved_in_vain(self, machine_index: int, now: float) -> bool:
        """Whether a machine has been reserved for long and got nothing: whoever it waits for, others starve."""
        times = self.reservation_times.get(machine_index)
        return times is not None and now - times.since > RESERVED_IN_VAIN_S

    def track_reservations(self, state: RoundState, now: float) -> None:
        """Follow since when each machine is reserved. A round that runs out of time does not see all."""
        for index in state.reserved_for:
            known = self.reservation_times.get(index)
            self.reservation_times[index] = ReservationTimes(now if known is None else known.since, now)
        self.reservation_times = {
            index: times for index, times in self.reservation_times.items() if now - times.last_seen_at < FORGET_S
        }

    def measure_whole_machine_demand(self, now: float) -> None:
        """Follow how many machines the jobs need that take one whole, and the ranks of what is there."""
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
        """Set some machines aside for jobs that need one whole and that may preempt nobody.

        Small tasks of the same rank fit anywhere and refill each GPU that is freed, so under load no on-demand
        machine ever becomes empty. As many are set aside as such jobs' demand is likely to vary.
        """
        waiting_count = sum(
            queued.count
            for queued in self.waiting.values()
            if queued.job.rank == self.whole_machine_rank
            and queued.job.phase == OPEN
            and task_fit(queued.job, self.fleet).needs_whole_machine
        )
        if self.mean_whole_machine_tasks < LEAST_MEAN_DEMAND and not waiting_count:
            return
        expected_count = math.ceil(SET_ASIDE_Z * math.sqrt(self.mean_whole_machine_tasks))
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
        """Whether a task is there that needs a machine whole; found once for as long as nothing there changes."""
        if machine.has_whole_machine_task is None:
            machine.has_whole_machine_task = any(
                task_fit(job, self.fleet).needs_whole_machine
                for job, _ in self.fleet.machines_by_index[machine.index].allocations.values()
            )
        return machine.has_whole_machine_task

    def reserve_for_gang(self, job: Job, request: ResourceRequest, state: RoundState, now: float) -> None:
        """Keep later jobs off the machines that a waiting gang will get first, for this round.

        Without this, small tasks of later jobs take each GPU that is freed, and a gang that needs
        whole machines never starts.
        """
        missing = request.count - sum(job_id == job.job_id for job_id in state.reserved_for.values())
        machines = self.image_affinity.without_contested_for_gang(
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
        """The machines of the zone that was chosen for a gang before, or else of the one with most idle GPUs.

        Once chosen, a zone stays: when it followed each freed GPU, no zone ever had enough.
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
