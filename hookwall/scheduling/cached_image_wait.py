"""Decides whether a gang of one task waits for a machine that has its image although another machine is free.

Invariant: the job waits only if preemption is faster than an image fetch, or if an equal job (of the same rank and
kind) waits for the image that is cached on the free machine. Without such an equal job it waits for at most
`CACHED_IMAGE_WAIT_S`.
"""

from hookwall.jobs.job import Job
from hookwall.scheduling.image_affinity import CACHED_IMAGE_WAIT_S, ImageAffinity
from hookwall.scheduling.placement import Placement
from hookwall.scheduling.preemption import Preemption
from hookwall.scheduling.round_state import QueuedJob, RoundState
from hookwall.workers.fleet import Fleet


class CachedImageWait:
    """Decides for one job at a time whether it declines the placement that was found."""

    def __init__(
        self, waiting: dict[str, QueuedJob], fleet: Fleet, image_affinity: ImageAffinity, preemption: Preemption
    ) -> None:
        """`waiting` is the scheduler's own queue, by job id; a job that is to wait is added to it."""
        self.waiting = waiting
        self.fleet = fleet
        self.image_affinity = image_affinity
        self.preemption = preemption

    def should_wait(
        self, job: Job, placements: list[Placement], state: RoundState, within_guarantee: bool, now: float
    ) -> bool:
        """Return whether to wait for a machine that has the image, because preemption is faster than a fetch.

        Also return True while the job leaves the free machine to an equal job whose image is cached there.
        """
        spec = job.spec
        assert spec is not None
        if not spec.gang or job.task_count > 1:
            return False
        machine = state.machines[placements[0].machine_index]
        fetch_s = self.fleet.image_fetch_s(machine.type, spec.image_gb)
        if job.image_index in machine.cached_images or fetch_s < CACHED_IMAGE_WAIT_S:
            return False
        queued = self.waiting.get(job.job_id)
        if self.image_affinity.declines_machine(job, machine, fetch_s, queued, state, now):
            return True
        if queued is not None and now - queued.waiting_since > CACHED_IMAGE_WAIT_S:
            return False
        if not self._has_cached_reservation(job, state):
            missing = self.preemption.preempt_for(job, state, 1, within_guarantee, now, cached_only=True)
            if missing > 0:
                return False
        if queued is None:
            self.waiting[job.job_id] = QueuedJob(job, 1, now, last_served_at=now)
        return True

    @staticmethod
    def _has_cached_reservation(job: Job, state: RoundState) -> bool:
        """Return whether a machine that has the job's image is reserved for the job.

        Reserved machines without the image are not worth waiting for.
        """
        return any(
            job_id == job.job_id and index in state.machines and job.image_index in state.machines[index].cached_images
            for index, job_id in state.reserved_for.items()
        )
