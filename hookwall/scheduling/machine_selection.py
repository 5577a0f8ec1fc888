"""Which machines a job may choose from in a round, and which of them it gets.

Invariant: a machine that is reserved for another job is open only to a job that starves, and only once it was reserved
in vain for long.
"""

from hookwall.jobs.job import Job
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.image_affinity import STARVATION_S, ImageAffinity
from hookwall.scheduling.placement import Placement, place
from hookwall.scheduling.reservations import Reservations
from hookwall.scheduling.round_state import RoundState
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import FreeCapacity, ResourceRequest

MAX_FAILURES = 2  # after so many on one machine, a job avoids it for a while


class MachineSelection:
    """Filters a round's machines for one job at a time, and places the job on them."""

    def __init__(self, fleet: Fleet, reservations: Reservations, image_affinity: ImageAffinity) -> None:
        """All three are the scheduler's own."""
        self.fleet = fleet
        self.reservations = reservations
        self.image_affinity = image_affinity

    def available_machines(
        self, job: Job, request: ResourceRequest, state: RoundState, starves: bool, now: float
    ) -> list[FreeCapacity]:
        """The machines from which the job may choose now. `starves`: it has had nothing for long."""
        # Not for ever: the machine may be the only one, and what was wrong with it may be over.
        avoids_failures = job.failures_by_machine and now - job.last_failure_at < STARVATION_S
        machines = [
            machine for index, machine in state.candidates(request.gpus).items()
            if (
                state.reserved_for.get(index, job.job_id) == job.job_id
                or (starves and self.reservations.reserved_in_vain(index, now))
            )
            and not (avoids_failures and self._failures_on(job, index) >= MAX_FAILURES)
        ]  # fmt: skip
        if request.gang:
            return self.image_affinity.without_contested_for_gang(job, request, machines, state, now)
        return self.image_affinity.without_contested(job, machines, state, now)

    def _failures_on(self, job: Job, machine_index: int) -> int:
        return job.failures_by_machine.get(self.fleet.machines_by_index[machine_index].name, 0)

    def place_job(
        self,
        job: Job,
        request: ResourceRequest,
        state: RoundState,
        machines: list[FreeCapacity],
        starves: bool,
        within_guarantee: bool,
    ) -> list[Placement]:
        """HAS over the machines that the job may have; those that are set aside only if nothing else will do."""
        if (
            (state.set_aside_for_expected or state.set_aside_for_waiting)
            and not starves
            and job.rank <= self.reservations.whole_machine_rank
            and not task_fit(job, self.fleet).needs_whole_machine
        ):
            if request.spot:
                # Older arrays refilled each GPU of the machines that a gang waited for; they have the
                # spot instances and the rest, and gangs have nothing else.
                machines = [machine for machine in machines if machine.index not in state.set_aside_for_waiting]
            placements = place(request, [m for m in machines if m.index not in state.set_aside_for_expected])
            if not within_guarantee or sum(count for _, count in placements) >= request.count:
                return placements
        return place(request, machines)
