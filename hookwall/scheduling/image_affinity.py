"""Image affinity: a queued job leaves a free machine for a while to an equal job whose image is cached there.

Two jobs are equal here if they have the same rank and if both of them or neither of them are gangs. An image fetch
takes as long as a third of a task's run. Without this rule, a job takes the first machine that becomes free and fetches
its image there, while the next job in the queue waits for exactly that machine.

Invariant: no job declines machines for longer than a fixed multiple of the time of the image fetch that it avoids, nor
so long that it would miss the latest start of its job class.
"""

import math
from collections import Counter
from collections.abc import Callable

from hookwall.jobs.job import Job
from hookwall.scheduling.round_state import AffinityGroup, QueuedJob, RoundState
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import (
    CAPACITY_TOLERANCE,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

# If an image fetch takes longer than this, tasks may be preempted to free a machine that has the image, and the job
# waits for that machine for at most this time.
CACHED_IMAGE_WAIT_S = 12.0
DECLINE_FETCH_RATIO = 0.35  # how long a job declines machines without its image, as a multiple of the fetch time
ARRAY_DECLINE_FETCH_RATIO = 0.7  # for job arrays
GANG_DECLINE_FETCH_RATIO = 1.2  # for gangs of several tasks
STARVATION_S = 60.0  # a job that was not served for this long declines no more machines


class ImageAffinity:
    """Decides which free machines a waiting job declines in favour of other jobs."""

    def __init__(
        self,
        waiting: dict[str, QueuedJob],
        fleet: Fleet,
        time_of_day: Callable[[], float],
        latest_start_s: dict[str, float],
    ) -> None:
        """`latest_start_s`: how many seconds after its arrival a job must have started, by job class."""
        self.waiting = waiting
        self.fleet = fleet
        self.time_of_day = time_of_day
        self.latest_start_s = latest_start_s

    def competing_images(self, job: Job, state: RoundState) -> set[int]:
        """Return the images of waiting jobs of the same rank and kind (gang or not), except the job's own image."""
        spec = job.spec
        assert spec is not None
        if not state.waiting_images:
            for queued in self.waiting.values():
                if queued.job.spec is not None:
                    group = AffinityGroup(queued.job.rank, queued.job.spec.gang)
                    state.waiting_images.setdefault(group, Counter())[queued.job.image_index] += 1
        return set(state.waiting_images.get(AffinityGroup(job.rank, spec.gang), ())) - {job.image_index}

    def may_keep_declining(self, queued: QueuedJob, now: float, fetch_s: float, fetch_ratio: float) -> bool:
        """Return whether a job may keep declining machines without its image, for `fetch_ratio` times the fetch time.

        A starving job may not, and neither may a job that would miss the latest start of its class. The latest start is
        measured from the time of day at which the job arrived, because a new leader has not itself observed how long a
        job has waited.
        """
        assert queued.job.spec is not None
        if now - queued.last_served_at > STARVATION_S:
            return False
        latest_start_s = self.latest_start_s.get(queued.job.spec.job_class, math.inf)
        if self.time_of_day() - queued.job.queued_at + fetch_s > latest_start_s:
            return False
        if queued.declining_since < 0:
            queued.declining_since = now
        return now - queued.declining_since < fetch_ratio * fetch_s

    def declines_machine(
        self, job: Job, machine: FreeCapacity, fetch_s: float, queued: QueuedJob | None, state: RoundState, now: float
    ) -> bool:
        """Return whether to leave a free machine for a short while to an equal job whose image is cached there.

        Without this rule, in a burst the first job in the queue takes any machine that becomes free and fetches its
        image for half a minute, while the next job waits for exactly that machine. A third of all machine time was
        then spent on image fetches.
        """
        if queued is None or not self.competing_images(job, state) & machine.cached_images:
            return False
        return self.may_keep_declining(queued, now, fetch_s, DECLINE_FETCH_RATIO)

    def exclude_contested(
        self, job: Job, machines: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """Return `machines` without those that the job leaves for a short while to other waiting arrays.

        A queued job leaves the machines that have the image of another waiting array and lack its own image. A job that
        is not queued leaves no machines.

        Without this rule, on a full cluster each freed GPU goes to the first job in the queue. One in four of these
        GPUs then waited for an image fetch although the image of a later job was cached on the machine.
        """
        queued = self.waiting.get(job.job_id)
        spec = job.spec
        if queued is None or spec is None:
            return machines
        competing = self.competing_images(job, state)
        types = range(len(self.fleet.machine_types))
        fetch_s = max((self.fleet.image_fetch_s(type_, spec.image_gb) for type_ in types), default=0.0)
        if not competing or not self.may_keep_declining(queued, now, fetch_s, ARRAY_DECLINE_FETCH_RATIO):
            return machines
        return [m for m in machines if job.image_index in m.cached_images or not competing & m.cached_images]

    def exclude_contested_for_gang(
        self, job: Job, request: ResourceRequest, machines: list[FreeCapacity], state: RoundState, now: float
    ) -> list[FreeCapacity]:
        """Return `machines` without those that the gang leaves for a while to equal waiting jobs.

        A queued gang of several tasks leaves the machines on which a task of it would fit now, but which have the image
        of an equal waiting job and lack its own image. Such a gang starts once the last of its machines has the image,
        and all the others are idle until then. Without this rule, in a queue of 50 gangs, three in four of their tasks
        fetched an image for half a minute.
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
            if machine.gpus + CAPACITY_TOLERANCE < spec.gpus or job.image_index in machine.cached_images:
                continue  # while jobs are queued, nearly all machines are full, so the cheapest check comes first
            if not competing & machine.cached_images:
                continue
            if satisfies_constraints(request, machine) and placeable_task_count(request, machine) > 0:
                contested.add(machine.index)
                fetch_s = max(fetch_s, self.fleet.image_fetch_s(machine.type, spec.image_gb))
        if fetch_s < CACHED_IMAGE_WAIT_S or not self.may_keep_declining(queued, now, fetch_s, GANG_DECLINE_FETCH_RATIO):
            return machines
        return [machine for machine in machines if machine.index not in contested]
