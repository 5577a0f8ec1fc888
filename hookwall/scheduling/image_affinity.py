"""Patience for images: in a queue, a job leaves a free machine to an equal that has its image there, for a while.

A fetch takes as long as a third of a task's run. A job that took whatever became free fetched, while the next in
line waited for just that machine.
"""

import math
from collections import Counter
from collections.abc import Callable

from hookwall.jobs.job import Job
from hookwall.scheduling.placement import EPS, Ask, Room, allowed, units
from hookwall.scheduling.round_state import QueuedJob, RoundState
from hookwall.workers.fleet import Fleet

WARM_GAIN_S = 12.0  # a fetch longer than this is worth making room where the image is
DECLINE = 0.35  # of the time of a fetch, a job leaves machines without its image to others
DECLINE_ARRAY = 0.7
DECLINE_GANG = 1.2  # for gangs of several tasks
STARVES_S = 60.0  # so long without anything, a job leaves nothing to others any more


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
        self.last_start = last_start  # when a class is expected to have begun at the latest, after its arrival

    def rival_images(self, job: Job, state: RoundState) -> set[int]:
        """Images of the other jobs of its rank and kind that wait, but for its own."""
        spec = job.spec
        assert spec is not None
        if not state.rivals:
            for w in self.waiting.values():
                if w.job.spec is not None:
                    state.rivals.setdefault((w.job.rank, w.job.spec.gang), Counter())[w.job.image] += 1
        return set(state.rivals.get((job.rank, spec.gang), ())) - {job.image}

    def leaves(self, w: QueuedJob, now: float, fetch: float, share: float) -> bool:
        """Whether a job goes on leaving machines without its image to others: for a share of the fetch's time.

        Not where it would miss the last moment at which its class is expected to have begun. That is
        counted by the time of day at which it came, since a new leader has seen nothing wait yet.
        """
        assert w.job.spec is not None
        if now - w.served > STARVES_S:
            return False
        if self.wall() - w.job.arrival + fetch > self.last_start.get(w.job.spec.job_class, math.inf):
            return False
        if w.declined < 0:
            w.declined = now
        return now - w.declined < share * fetch

    def declines(self, job: Job, room: Room, fetch: float, w: QueuedJob | None, state: RoundState, now: float) -> bool:
        """Whether to leave a free machine to an equal that has its image there, for a short while.

        In a burst the first in line took whatever became free and fetched for half a minute, while
        the next one waited for just that machine: a third of all machines' time went into fetches.
        """
        if w is None or not self.rival_images(job, state) & room.warm:
            return False
        return self.leaves(w, now, fetch, DECLINE)

    def uncontested(self, job: Job, rooms: list[Room], state: RoundState, now: float) -> list[Room]:
        """In a queue, without the machines whose image another waiting array has, for a short while.

        When everything is full, each freed GPU went to the first in line, and one in four of them then
        waited for a fetch while a later job's image lay there.
        """
        w = self.waiting.get(job.ref)
        if w is None or job.spec is None:
            return rooms
        wanted = self.rival_images(job, state)
        fetch = max((self.fleet.fetch_s(i, job.spec.image_gb) for i in range(len(self.fleet.type_info))), default=0.0)
        if not wanted or not self.leaves(w, now, fetch, DECLINE_ARRAY):
            return rooms
        return [r for r in rooms if job.image in r.warm or not wanted & r.warm]

    def spared(self, job: Job, ask: Ask, rooms: list[Room], state: RoundState, now: float) -> list[Room]:
        """In a queue, what a gang of several takes: not the free machines whose image an equal waits for, for a while.

        Its last machine to have the image is the one that counts, and all others idle until then. In a
        queue of 50 gangs three in four of their tasks fetched for half a minute.
        """
        w = self.waiting.get(job.ref)
        spec = job.spec
        if w is None or spec is None or job.tasks < 2:
            return rooms
        wanted = self.rival_images(job, state)
        if not wanted:
            return rooms
        left: set[int] = set()
        fetch = 0.0
        for r in rooms:
            if r.gpus + EPS < spec.gpus or job.image in r.warm:
                continue  # in a queue, nearly all are full: the cheapest check comes first
            if wanted & r.warm and allowed(ask, r) and units(ask, r) > 0:
                left.add(r.index)
                fetch = max(fetch, self.fleet.fetch_s(r.type, spec.image_gb))
        if fetch < WARM_GAIN_S or not self.leaves(w, now, fetch, DECLINE_GANG):
            return rooms
        return [r for r in rooms if r.index not in left]
