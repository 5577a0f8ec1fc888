"""Machines that are kept free: for gangs that wait, and for gangs of whole machines that are likely to come.

Small tasks take each GPU that is freed, so without this no machine ever becomes empty.
"""

import math

from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.fit import fit_of
from hookwall.scheduling.image_affinity import ImageAffinity
from hookwall.scheduling.placement import Ask, Room, units
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
        self.affinity, self.preemption = affinity, preemption
        self.mean_whole = 0.0
        self.whole_rank = self.last_whole_rank = -1
        self.kept_at = -1e9
        self.reserved: dict[int, tuple[float, float]] = {}  # machine -> reserved since, and seen so last

    def idles(self, index: int, now: float) -> bool:
        """Whether a machine has been reserved for long and got nothing: whoever it waits for, others starve."""
        since, _ = self.reserved.get(index, (now, now))
        return now - since > IDLES_S

    def follow(self, state: RoundState, now: float) -> None:
        """Since when each machine is kept from others. A round that runs out of time does not see all."""
        for index in state.held:
            since, _ = self.reserved.get(index, (now, now))
            self.reserved[index] = (since, now)
        self.reserved = {i: r for i, r in self.reserved.items() if now - r[1] < FORGET_S}

    def measure(self, now: float) -> None:
        """Follow how many machines the jobs need that take one whole."""
        need = 0
        self.whole_rank = self.preemption.lowest_rank = -1
        for job in self.table.open.values():
            if job.active:
                self.preemption.lowest_rank = max(self.preemption.lowest_rank, job.rank)
            if job.phase == OPEN and fit_of(job, self.fleet).whole:
                need += job.tasks - job.n_done
                self.whole_rank = max(self.whole_rank, job.rank)
        f = 1.0 - math.exp(-min(30.0, max(0.0, now - self.kept_at)) / SMOOTH_S)
        self.kept_at = now
        self.mean_whole += f * (need - self.mean_whole)
        if self.whole_rank < 0:
            self.whole_rank = self.last_whole_rank
        self.last_whole_rank = self.whole_rank

    def keep(self, state: RoundState) -> None:
        """Keep some machines for jobs that need one whole and that may stop nobody.

        Small tasks of the same rank fit anywhere and refill each GPU that is freed, so under load no
        ordinary machine ever becomes empty. As many are kept as such jobs' need is likely to vary.
        """
        waits = sum(
            w.count for w in self.waiting.values()
            if w.job.rank == self.whole_rank and w.job.phase == OPEN and fit_of(w.job, self.fleet).whole
        )  # fmt: skip
        if self.mean_whole < 0.5 and not waits:
            return
        left = math.ceil(KEEP_Z * math.sqrt(self.mean_whole))
        spare = [
            r for r in state.rooms.values()
            if not r.spot and r.index not in state.held and not self.has_whole(r)
        ]  # fmt: skip
        spare.sort(key=lambda r: (-r.gpus, -r.cpus, r.index))
        state.awaited = {r.index for r in spare[:waits]}
        state.kept = {r.index for r in spare[waits : waits + left]}

    def has_whole(self, room: Room) -> bool:
        """Whether a task is there that needs a machine whole; asked once for as long as nothing there changes."""
        if room.whole is None:
            room.whole = any(fit_of(j, self.fleet).whole for j, _ in self.fleet.by_index[room.index].entries.values())
        return room.whole

    def reserve(self, job: Job, ask: Ask, state: RoundState, now: float) -> None:
        """Keep later jobs off the machines that a waiting gang will get first.

        Without this, small tasks of later jobs take each GPU that is freed, and a gang that needs
        whole machines never starts.
        """
        left = ask.count - sum(ref == job.ref for ref in state.held.values())
        fit = state.unheld(ask)
        fit = self.affinity.spared(job, ask, fit, state, now)
        if ask.one_zone and fit:
            by_zone: dict[int, list[Room]] = {}
            for r in fit:
                by_zone.setdefault(r.zone, []).append(r)
            w = self.waiting.get(job.ref)
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
            state.held[r.index] = job.ref
            left -= max(1, units(ask, r))
