"""Patience for images: in a queue, a job leaves a free machine to an equal that has its image there, for a while.

A fetch takes as long as a third of a task's run. A job that took whatever became free fetched, while the next in
line waited for just that machine.
"""

import math
from collections import Counter
from collections.abc import Callable

from hookwall.jobs.job import Job
from hookwall.scheduling.placement import (
    EPSILON,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)
from hookwall.scheduling.round_state import QueuedJob, RoundState
from hookwall.workers.fleet import Fleet

CACHED_IMAGE_GAIN_S = 12.0  # a fetch longer than this is worth making room where the image is
DECLINE_SHARE = 0.35  # of the time of a fetch, a job leaves machines without its image to others
DECLINE_SHARE_ARRAY = 0.7
DECLINE_SHARE_GANG = 1.2  # for gangs of several tasks
STARVATION_S = 60.0  # so long without anything, a job leaves nothing to others any more


class ImageAffinity:
    """Which machines a waiting job leaves to others."""

    def __init__(
        self,
        waiting: dict[str, QueuedJob],
        fleet: Fleet,
        wall: Callable[[], float],
        last_start: dict[str, float],
    ) -> None:
        self.waiting, self.fleet, self.wall = waiting, fleet, wall
        self.latest_start_s = last_start  # when a class is expected to have begun at the latest, after its arrival

    def competing_images(self, job: Job, state: RoundState) -> set[int]:
        """Images of the other jobs of its rank and kind that wait, but for its own."""
        spec = job.spec
        assert spec is not None
        if not state.waiting_images:
            for w in self.waiting.values():
                if w.job.spec is not None:
                    state.waiting_images.setdefault((w.job.rank, w.job.spec.gang), Counter())[w.job.image_index] += 1
        return set(state.waiting_images.get((job.rank, spec.gang), ())) - {job.image_index}

    def still_yields(self, w: QueuedJob, now: float, fetch: float, share: float) -> bool:
        """Whether a job goes on leaving machines without its image to others: for a share of the fetch's time.

        Not where it would miss the last moment at which its class is expected to have begun. That is
        counted by the time of day at which it came, since a new leader has seen nothing wait yet.
        """
        assert w.job.spec is not None
        if now - w.last_served_at > STARVATION_S:
            return False
        if self.wall() - w.job.queued_at + fetch > self.latest_start_s.get(w.job.spec.job_class, math.inf):
            return False
        if w.declining_since < 0:
            w.declining_since = now
        return now - w.declining_since < share * fetch

    def declines_machine(
        self, job: Job, room: FreeCapacity, fetch: float, w: QueuedJob | None, state: RoundState, now: float
    ) -> bool:
        """Whether to leave a free machine to an equal that has its image there, for a short while.

        In a burst the first in line took whatever became free and fetched for half a minute, while
        the next one waited for just that machine: a third of all machines' time went into fetches.
        """
        if w is None or not self.competing_images(job, state) & room.cached_images:
            return False
        return self.still_yields(w, now, fetch, DECLINE_SHARE)

    def without_contested(
        self, job: Job, rooms: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """In a queue, without the machines whose image another waiting array has, for a short while.

        When everything is full, each freed GPU went to the first in line, and one in four of them then
        waited for a fetch while a later job's image lay there.
        """
        w = self.waiting.get(job.job_id)
        if w is None or job.spec is None:
            return rooms
        wanted = self.competing_images(job, state)
        fetch = max(
            (self.fleet.image_fetch_s(i, job.spec.image_gb) for i in range(len(self.fleet.machine_types))), default=0.0
        )
        if not wanted or not self.still_yields(w, now, fetch, DECLINE_SHARE_ARRAY):
            return rooms
        return [r for r in rooms if job.image_index in r.cached_images or not wanted & r.cached_images]

    def without_contested_for_gang(
        self, job: Job, ask: ResourceRequest, rooms: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """In a queue, what a gang of several takes: not the free machines whose image an equal waits for, for a while.

        Its last machine to have the image is the one that counts, and all others idle until then. In a
        queue of 50 gangs three in four of their tasks fetched for half a minute.
        """
        w = self.waiting.get(job.job_id)
        spec = job.spec
        if w is None or spec is None or job.task_count < 2:
            return rooms
        wanted = self.competing_images(job, state)
        if not wanted:
            return rooms
        left: set[int] = set()
        fetch = 0.0
        for r in rooms:
            if r.gpus + EPSILON < spec.gpus or job.image_index in r.cached_images:
                continue  # in a queue, nearly all are full: the cheapest check comes first
            if wanted & r.cached_images and satisfies_constraints(ask, r) and placeable_task_count(ask, r) > 0:
                left.add(r.index)
                fetch = max(fetch, self.fleet.image_fetch_s(r.type, spec.image_gb))
        if fetch < CACHED_IMAGE_GAIN_S or not self.still_yields(w, now, fetch, DECLINE_SHARE_GANG):
            return rooms
        return [r for r in rooms if r.index not in left]
