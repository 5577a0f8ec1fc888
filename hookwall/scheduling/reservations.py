"""Machines that are kept free: for gangs that wait, and for gangs of whole machines that are likely to come.

Small tasks take each GPU that is freed, so without this no machine ever becomes empty.
"""

import math

from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.image_affinity import ImageAffinity
from hookwall.scheduling.placement import FreeCapacity, ResourceRequest, placeable_task_count
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.round_state import QueuedJob, RoundState
from hookwall.workers.fleet import Fleet

KEEP_Z = 0.8  # how many machines are kept for whole-machine jobs, in roots of their mean need
SMOOTH_S = 90.0
IDLES_S = 60.0  # room that has been reserved in vain for so long may go to others
FORGET_S = 5.0  # a machine that was not reserved for so long begins anew


class Reservations:
    """Follows the need for whole machines, and reserves them."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        waiting: dict[str, QueuedJob],
        affinity: ImageAffinity,
        preemption: Preemption,
    ) -> None:
        self.table, self.fleet, self.waiting = table, fleet, waiting
        self.image_affinity, self.preemption = affinity, preemption
        self.mean_whole_machine_tasks = 0.0
        self.whole_machine_rank = self.last_whole_machine_rank = -1
        self.measured_at = -1e9
        self.reservation_times: dict[int, tuple[float, float]] = {}  # machine -> reserved since, and seen so last

    def reserved_in_vain(self, index: int, now: float) -> bool:
        """Whether a machine has been reserved for long and got nothing: whoever it waits for, others starve."""
        since, _ = self.reservation_times.get(index, (now, now))
        return now - since > IDLES_S

    def follow(self, state: RoundState, now: float) -> None:
        """Since when each machine is kept from others. A round that runs out of time does not see all."""
        for index in state.held:
            since, _ = self.reservation_times.get(index, (now, now))
            self.reservation_times[index] = (since, now)
        self.reservation_times = {i: r for i, r in self.reservation_times.items() if now - r[1] < FORGET_S}

    def measure(self, now: float) -> None:
        """Follow how many machines the jobs need that take one whole."""
        need = 0
        self.whole_machine_rank = self.preemption.lowest_allocated_rank = -1
        for job in self.table.open_jobs.values():
            if job.allocations:
                self.preemption.lowest_allocated_rank = max(self.preemption.lowest_allocated_rank, job.rank)
            if job.phase == OPEN and task_fit(job, self.fleet).needs_whole_machine:
                need += job.task_count - job.done_count
                self.whole_machine_rank = max(self.whole_machine_rank, job.rank)
        f = 1.0 - math.exp(-min(30.0, max(0.0, now - self.measured_at)) / SMOOTH_S)
        self.measured_at = now
        self.mean_whole_machine_tasks += f * (need - self.mean_whole_machine_tasks)
        if self.whole_machine_rank < 0:
            self.whole_machine_rank = self.last_whole_machine_rank
        self.last_whole_machine_rank = self.whole_machine_rank

    def keep(self, state: RoundState) -> None:
        """Keep some machines for jobs that need one whole and that may stop nobody.

        Small tasks of the same rank fit anywhere and refill each GPU that is freed, so under load no
        ordinary machine ever becomes empty. As many are kept as such jobs' need is likely to vary.
        """
        waits = sum(
            w.count
            for w in self.waiting.values()
            if w.job.rank == self.whole_machine_rank
            and w.job.phase == OPEN
            and task_fit(w.job, self.fleet).needs_whole_machine
        )
        if self.mean_whole_machine_tasks < 0.5 and not waits:
            return
        left = math.ceil(KEEP_Z * math.sqrt(self.mean_whole_machine_tasks))
        spare = [
            r for r in state.machines.values()
            if not r.spot and r.index not in state.held and not self.has_whole_machine_task(r)
        ]  # fmt: skip
        spare.sort(key=lambda r: (-r.gpus, -r.cpus, r.index))
        state.set_aside_for_waiting = {r.index for r in spare[:waits]}
        state.kept = {r.index for r in spare[waits : waits + left]}

    def has_whole_machine_task(self, room: FreeCapacity) -> bool:
        """Whether a task is there that needs a machine whole; asked once for as long as nothing there changes."""
        if room.has_whole_machine_task is None:
            room.has_whole_machine_task = any(
                task_fit(j, self.fleet).needs_whole_machine
                for j, _ in self.fleet.machines_by_index[room.index].allocations.values()
            )
        return room.has_whole_machine_task

    def reserve(self, job: Job, ask: ResourceRequest, state: RoundState, now: float) -> None:
        """Keep later jobs off the machines that a waiting gang will get first.

        Without this, small tasks of later jobs take each GPU that is freed, and a gang that needs
        whole machines never starts.
        """
        left = ask.count - sum(ref == job.job_id for ref in state.held.values())
        fit = state.unreserved_machines(ask)
        fit = self.image_affinity.without_contested_for_gang(job, ask, fit, state, now)
        if ask.one_zone and fit:
            by_zone: dict[int, list[FreeCapacity]] = {}
            for r in fit:
                by_zone.setdefault(r.zone, []).append(r)
            w = self.waiting.get(job.job_id)
            if w is not None and len(by_zone.get(w.zone, ())) >= left:
                # Once chosen, a zone stays: when it followed each freed GPU, no zone ever had enough.
                fit = by_zone[w.zone]
            else:
                fit = max(by_zone.values(), key=lambda rs: sum(sorted((r.gpus for r in rs), reverse=True)[:left]))
                if w is not None:
                    w.zone = fit[0].zone
        for r in sorted(fit, key=lambda r: (-r.gpus, -r.cpus, r.index)):
            if left <= 0:
                return
            state.held[r.index] = job.job_id
            left -= max(1, placeable_task_count(ask, r))
