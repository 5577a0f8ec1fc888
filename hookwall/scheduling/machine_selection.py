"""Selects the machines on which a job may be placed in a round, and places the job on some of them.

Invariant: a machine that is reserved for another job is available only to a starving job, and only once the reservation
is stale.
"""

from hookwall.jobs.job import Job
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.image_affinity import STARVATION_S, ImageAffinity
from hookwall.scheduling.placement import Placement, place
from hookwall.scheduling.reservations import Reservations
from hookwall.scheduling.round_state import RoundState
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import FreeCapacity, ResourceRequest

# A job with this many failures on a machine avoids that machine until `STARVATION_S` after the job's last failure.
MAX_FAILURES_PER_MACHINE = 2


class MachineSelection:
    """Filters a round's machines for one job at a time, and places the job on them."""

    def __init__(self, fleet: Fleet, reservations: Reservations, image_affinity: ImageAffinity) -> None:
        """All three objects are the scheduler's own."""
        self.fleet = fleet
        self.reservations = reservations
        self.image_affinity = image_affinity

    def available_machines(
        self, job: Job, request: ResourceRequest, state: RoundState, is_starving: bool, now: float
    ) -> list[FreeCapacity]:
        """Return the machines on which the job may be placed now.

        `is_starving`: whether the job was not served for a long time.
        """
        # A job avoids a machine on which it failed for a limited time only: that machine may be the only one available,
        # and its fault may be gone.
        avoids_failures = job.failures_by_machine and now - job.last_failure_at < STARVATION_S
        machines = [
            machine for index, machine in state.candidates(request.gpus).items()
            if (
                state.reserved_for.get(index, job.job_id) == job.job_id
                or (is_starving and self.reservations.has_stale_reservation(index, now))
            )
            and not (avoids_failures and self._failures_on(job, index) >= MAX_FAILURES_PER_MACHINE)
        ]  # fmt: skip
        if request.gang:
            return self.image_affinity.exclude_contested_for_gang(job, request, machines, state, now)
        return self.image_affinity.exclude_contested(job, machines, state, now)

    def _failures_on(self, job: Job, machine_index: int) -> int:
        return job.failures_by_machine.get(self.fleet.machines_by_index[machine_index].name, 0)

    def place_job(
        self,
        job: Job,
        request: ResourceRequest,
        state: RoundState,
        machines: list[FreeCapacity],
        is_starving: bool,
        within_guarantee: bool,
    ) -> list[Placement]:
        """Place the job with HAS on the given machines; use machines that are set aside only if no others suffice."""
        if (
            (state.set_aside_for_expected or state.set_aside_for_waiting)
            and not is_starving
            and job.rank <= self.reservations.whole_machine_rank
            and not task_fit(job, self.fleet).needs_whole_machine
        ):
            if request.spot:
                # Without this exclusion, older arrays refill each GPU of the machines that a gang waits for. These
                # arrays can use spot instances and the other machines, whereas gangs have no alternative.
                machines = [machine for machine in machines if machine.index not in state.set_aside_for_waiting]
            placements = place(request, [m for m in machines if m.index not in state.set_aside_for_expected])
            if not within_guarantee or sum(count for _, count in placements) >= request.count:
                return placements
        return place(request, machines)
