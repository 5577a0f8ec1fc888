"""Patience for images: in a queue, a job leaves a free machine to an equal that has its image there, for a while.

A fetch takes as long as a third of a task's run. A job that took whatever became free fetched, while the next in
line waited for just that machine.

Invariant: no job declines machines for longer than a share of the fetch that it avoids, nor beyond the latest start
that its class is to have.
"""

import math
from collections import Counter
from collections.abc import Callable

from hookwall.jobs.job import Job
from hookwall.scheduling.round_state import QueuedJob, RankAndKind, RoundState
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import (
    EPSILON,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

CACHED_IMAGE_GAIN_S = 12.0  # a fetch longer than this is worth freeing a machine that has the image
DECLINE_SHARE = 0.35  # of the time of a fetch, a job declines machines without its image
DECLINE_SHARE_ARRAY = 0.7
DECLINE_SHARE_GANG = 1.2  # for gangs of several tasks
STARVATION_S = 60.0  # so long without anything, a job declines nothing any more


class ImageAffinity:
    """Which free machines a waiting job declines in favour of others."""

    def __init__(
        self,
        waiting: dict[str, QueuedJob],
        fleet: Fleet,
        time_of_day: Callable[[], float],
        latest_start_s: dict[str, float],
    ) -> None:
        """`latest_start_s`: by class of jobs, how long after its arrival a job is to have started at the latest."""
        self.waiting = waiting
        self.fleet = fleet
        self.time_of_day = time_of_day
        self.latest_start_s = latest_start_s

    def competing_images(self, job: Job, state: RoundState) -> set[int]:
        """Images of the other waiting jobs of its rank and kind, but for its own."""
        spec = job.spec
        assert spec is not None
        if not state.waiting_images:
            for queued in self.waiting.values():
                if queued.job.spec is not None:
                    alike = RankAndKind(queued.job.rank, queued.job.spec.gang)
                    state.waiting_images.setdefault(alike, Counter())[queued.job.image_index] += 1
        return set(state.waiting_images.get(RankAndKind(job.rank, spec.gang), ())) - {job.image_index}

    def still_yields(self, queued: QueuedJob, now: float, fetch_s: float, share: float) -> bool:
        """Whether a job goes on declining machines without its image: for a share of the fetch's time.

        Not where it would miss the latest start that its class is to have. That is counted by the
        time of day at which it came, since a new leader has seen nothing wait yet.
        """
        assert queued.job.spec is not None
        if now - queued.last_served_at > STARVATION_S:
            return False
        latest_start_s = self.latest_start_s.get(queued.job.spec.job_class, math.inf)
        if self.time_of_day() - queued.job.queued_at + fetch_s > latest_start_s:
            return False
        if queued.declining_since < 0:
            queued.declining_since = now
        return now - queued.declining_since < share * fetch_s

    def declines_machine(
        self, job: Job, machine: FreeCapacity, fetch_s: float, queued: QueuedJob | None, state: RoundState, now: float
    ) -> bool:
        """Whether to leave a free machine to an equal that has its image there, for a short while.

        In a burst the first in line took whatever became free and fetched for half a minute, while
        the next one waited for just that machine: a third of all machines' time went into fetches.
        """
        if queued is None or not self.competing_images(job, state) & machine.cached_images:
            return False
        return self.still_yields(queued, now, fetch_s, DECLINE_SHARE)

    def without_contested(
        self, job: Job, machines: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """In a queue, without the machines whose image another waiting array has, for a short while.

        When everything is full, each freed GPU went to the first in line, and one in four of them then
        waited for a fetch while a later job's image lay there.
        """
        queued = self.waiting.get(job.job_id)
        spec = job.spec
        if queued is None or spec is None:
            return machines
        competing = self.competing_images(job, state)
        types = range(len(self.fleet.machine_types))
        fetch_s = max((self.fleet.image_fetch_s(type_, spec.image_gb) for type_ in types), default=0.0)
        if not competing or not self.still_yields(queued, now, fetch_s, DECLINE_SHARE_ARRAY):
            return machines
        return [m for m in machines if job.image_index in m.cached_images or not competing & m.cached_images]

    def without_contested_for_gang(
        self, job: Job, request: ResourceRequest, machines: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """For a gang of several in a queue, without the free machines whose image an equal waits for, for a while.

        Its last machine to have the image is the one that counts, and all others idle until then. In a
        queue of 50 gangs three in four of their tasks fetched for half a minute.
        """
        queued = self.waiting.get(job.job_id)
        spec = job.spec
        if queued is None or spec is None or job.task_count < 2:
            return machines
        competing = self.competing_images(job, state)
        if not competing:
            return machines
        contested: set[int] = set()
        fetch_s = 0.0
        for machine in machines:
            if machine.gpus + EPSILON < spec.gpus or job.image_index in machine.cached_images:
                continue  # in a queue, nearly all are full: the cheapest check comes first
            if not competing & machine.cached_images:
                continue
            if satisfies_constraints(request, machine) and placeable_task_count(request, machine) > 0:
                contested.add(machine.index)
                fetch_s = max(fetch_s, self.fleet.image_fetch_s(machine.type, spec.image_gb))
        if fetch_s < CACHED_IMAGE_GAIN_S or not self.still_yields(queued, now, fetch_s, DECLINE_SHARE_GANG):
            return machines
        return [machine for machine in machines if machine.index not in contested]
