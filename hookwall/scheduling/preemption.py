"""Preemption: selects the running tasks that are stopped for a waiting job.

PROTOCOL, "Preemption": tasks of lower rank may be stopped, and so may tasks of a team that uses more than its guarantee
if another team is to get its own guarantee.

Invariant: no team has to give back more than it uses beyond its guarantee, except that its tasks may be stopped for
jobs of higher priority. A gang preempts nothing unless enough capacity can be freed for all of its tasks.
"""

from collections.abc import Callable
from dataclasses import replace

from hookwall.config.platform import TeamQuota
from hookwall.jobs.job import OPEN, Job
from hookwall.scheduling.preemption_options import find_options, preemption_key
from hookwall.scheduling.round_state import PreemptionOption, ResourceUsage, RoundState, Victim
from hookwall.workers.fleet import Fleet
from hookwall.workers.graceful_stop import stop_grace_s
from hookwall.workers.resources import (
    CAPACITY_TOLERANCE,
    FreeCapacity,
    ResourceRequest,
    placeable_task_count,
    satisfies_constraints,
)

Borrowed = dict[int, ResourceUsage]  # usage beyond the guarantee, by team


class Preemption:
    """Selects the tasks to stop, and requests the stops from the fleet."""

    def __init__(
        self,
        team_settings: list[TeamQuota],
        fleet: Fleet,
        resource_request: Callable[[Job, int], ResourceRequest],
    ) -> None:
        """`resource_request` returns the request for a number of tasks of a job."""
        self.team_settings = team_settings
        self.fleet = fleet
        self.resource_request = resource_request
        self.lowest_allocated_rank = -1  # numerically highest (lowest-priority) rank with allocations; -1: none

    def preempt_for(
        self,
        job: Job,
        state: RoundState,
        task_count: int,
        within_guarantee: bool,
        now: float,
        cached_only: bool = False,
    ) -> int:
        """Stop preemptible tasks so that the job's tasks fit; return how many of its tasks still have no machine.

        `cached_only`: stop tasks only on machines that have the job's image.
        """
        request = self.resource_request(job, task_count)
        image = job.image_index if cached_only else None
        reserved = self._reserved_machines(job, state, image)
        missing = task_count - sum(max(1, self._placeable_after_stops(request, index)) for index in reserved)
        if missing <= 0:
            return 0
        borrowed = self._borrowed(state)
        if not self._may_stop_any(job, within_guarantee, borrowed):
            return missing
        options = self._usable_options(job, request, state, reserved, within_guarantee, borrowed, image, now)
        if request.one_zone and request.gang:
            zone = self._choose_zone(request, state, options, missing, image)
            if zone is None:
                return missing
            options = [option for option in options if state.machines[option.machine_index].zone == zone]
            missing = self._reserve_free(job, request, state, zone, missing, image)
        elif request.gang and sum(option.freed_task_count for option in options) < missing:
            return missing
        return self._stop_victims(job, state, options, missing, borrowed)

    def reserve_machine(self, job: Job, state: RoundState, machine_index: int) -> None:
        """Reserve a machine for a waiting job beyond the current round."""
        self.fleet.machines_by_index[machine_index].reserved_for = job.job_id
        state.reserved_for[machine_index] = job.job_id

    # -- preemption rules ----------------------------------------------------------------------

    def _borrowed(self, state: RoundState) -> Borrowed:
        """Return what each team uses beyond its guarantee. A guarantee of GPUs alone covers any number of CPUs."""
        borrowed: Borrowed = {}
        for index, team in enumerate(self.team_settings):
            usage = state.usage.get(index) or ResourceUsage()
            cpus = 0.0 if team.gpus and not team.cpus else max(0.0, usage.cpus - team.cpus)
            borrowed[index] = ResourceUsage(cpus, max(0.0, usage.gpus - team.gpus))
        return borrowed

    def _may_stop_any(self, job: Job, within_guarantee: bool, borrowed: Borrowed) -> bool:
        """Return whether any task may be stopped for the job.

        Usually none may, and this check is much cheaper than a scan of all machines.
        """
        if self.lowest_allocated_rank > job.rank:
            return True
        return within_guarantee and any(
            team != job.team_index and not _is_zero(usage) for team, usage in borrowed.items()
        )

    def _may_stop(self, job: Job, within_guarantee: bool, other: Job, borrowed: Borrowed) -> bool:
        """Return whether tasks of `other` may be stopped for `job`.

        They may be if `other` has a lower priority, or if its team uses more than its guarantee (PROTOCOL,
        "Preemption").
        """
        if other is job or other.phase != OPEN or other.spec is None:
            return False
        usage = borrowed.get(other.team_index)
        other_is_guaranteed = usage is None or _is_zero(usage)
        if other.rank > job.rank and (within_guarantee or not other_is_guaranteed):
            return True
        if not within_guarantee or other.team_index == job.team_index:
            return False
        return not other_is_guaranteed

    # -- preemption options --------------------------------------------------------------------

    @staticmethod
    def _reserved_machines(job: Job, state: RoundState, image: int | None) -> list[int]:
        """Return the machines reserved for the job; if an image is given, without those known to lack it."""
        return [
            index for index, job_id in state.reserved_for.items()
            if job_id == job.job_id
            and (image is None or index not in state.machines or image in state.machines[index].cached_images)
        ]  # fmt: skip

    def _placeable_after_stops(self, request: ResourceRequest, machine_index: int) -> int:
        """Return how many tasks fit on a machine once all tasks that were requested to stop there have ended."""
        machine = self.fleet.machines_by_index[machine_index]
        projected = replace(self.fleet.free_capacity(machine))
        for job, allocation in machine.allocations.values():
            if job.spec is not None and allocation.stop_grace_s is not None:
                projected.cpus += job.spec.cpus
                projected.gpus += job.spec.gpus
                projected.memory += job.spec.memory_gb
        return placeable_task_count(request, projected)

    def _usable_options(
        self,
        job: Job,
        request: ResourceRequest,
        state: RoundState,
        reserved: list[int],
        within_guarantee: bool,
        borrowed: Borrowed,
        image: int | None,
        now: float,
    ) -> list[PreemptionOption]:
        """Return the options that the job may use now, cheapest first."""
        key = preemption_key(job, request, within_guarantee)
        options = state.preemption_options.get(key)
        if options is None:
            options = state.preemption_options[key] = find_options(
                request, state, self.fleet, lambda other: self._may_stop(job, within_guarantee, other, borrowed), now
            )
        zones: set[int] = set()
        if request.one_zone:
            zones = {state.machines[index].zone for index in reserved if index in state.machines}
        usable = [option for option in options if _is_usable(option, state, zones, image)]
        usable.sort(key=lambda option: (self._total_cost_s(job, option, state), option.machine_index))
        return usable

    def _total_cost_s(self, job: Job, option: PreemptionOption, state: RoundState) -> float:
        """Return the cost of an option, including the fetch of the job's image if the machine lacks it."""
        assert job.spec is not None
        machine = state.machines[option.machine_index]
        if job.image_index in machine.cached_images:
            return option.cost_s
        return option.cost_s + self.fleet.image_fetch_s(machine.type, job.spec.image_gb)

    @staticmethod
    def _free_machines(
        request: ResourceRequest, state: RoundState, image: int | None
    ) -> list[tuple[FreeCapacity, int]]:
        """Return unreserved machines and how many tasks fit on each now; if an image is given, only those with it."""
        return [
            (machine, count) for index, machine in state.candidates(request.gpus).items()
            if index not in state.reserved_for and (image is None or image in machine.cached_images)
            and satisfies_constraints(request, machine) and (count := placeable_task_count(request, machine)) > 0
        ]  # fmt: skip

    def _choose_zone(
        self,
        request: ResourceRequest,
        state: RoundState,
        options: list[PreemptionOption],
        missing: int,
        image: int | None,
    ) -> int | None:
        """Return the zone of the cheapest option among the zones with enough obtainable capacity, or None."""
        obtainable: dict[int, int] = {}
        for option in options:
            zone = state.machines[option.machine_index].zone
            obtainable[zone] = obtainable.get(zone, 0) + option.freed_task_count
        for machine, count in self._free_machines(request, state, image):
            if machine.zone in obtainable:
                obtainable[machine.zone] += count
        zones = (state.machines[option.machine_index].zone for option in options)
        return next((zone for zone in zones if obtainable[zone] >= missing), None)

    # -- stops and reservations ----------------------------------------------------------------

    def _reserve_free(
        self, job: Job, request: ResourceRequest, state: RoundState, zone: int, missing: int, image: int | None
    ) -> int:
        """Reserve the free machines of the zone for the gang as well; return how many tasks have no machine yet.

        Without these reservations, smaller jobs of lower rank take these machines while the other machines are being
        freed, and the next round stops more tasks for the same gang.
        """
        free = self._free_machines(request, state, image)
        for machine, count in sorted(free, key=lambda f: (job.image_index not in f[0].cached_images, f[0].index)):
            if missing <= 0:
                break
            if machine.zone == zone:
                self.reserve_machine(job, state, machine.index)
                missing -= count
        return missing

    def _stop_victims(
        self, job: Job, state: RoundState, options: list[PreemptionOption], missing: int, borrowed: Borrowed
    ) -> int:
        """Stop tasks, cheapest first, until there is enough capacity; return how many tasks have no machine yet."""
        for option in options:
            if missing <= 0:
                break
            if not _charge(job, option.victims, borrowed):
                continue
            for victim, allocation in option.victims:
                assert victim.spec is not None
                grace_s = stop_grace_s(victim.spec)
                self.fleet.request_stop(victim, allocation, grace_s, f"preempted for {job.job_id}")
            self.reserve_machine(job, state, option.machine_index)
            missing -= option.freed_task_count
        return missing


def _is_zero(usage: ResourceUsage) -> bool:
    """Return whether a usage beyond a guarantee is zero."""
    return usage.gpus <= CAPACITY_TOLERANCE and usage.cpus <= CAPACITY_TOLERANCE


def _is_usable(option: PreemptionOption, state: RoundState, zones: set[int], image: int | None) -> bool:
    """Return whether an option is still valid and matches the zones and the image, where these are given."""
    machine = state.machines[option.machine_index]
    if option.machine_index in state.reserved_for or (image is not None and image not in machine.cached_images):
        return False
    if zones and machine.zone not in zones:
        return False
    return all(allocation.stop_grace_s is None for _, allocation in option.victims)


def _charge(job: Job, victims: list[Victim], borrowed: Borrowed) -> bool:
    """Deduct what the victims' teams give back from `borrowed`.

    Return False, and deduct nothing, if a team would give back more than it has borrowed. Victims of lower priority
    than the job are not counted.
    """
    reclaimed: Borrowed = {}
    for victim, _ in victims:
        assert victim.spec is not None
        if victim.rank <= job.rank:
            reclaimed.setdefault(victim.team_index, ResourceUsage()).add(victim.spec, 1)
    for team, usage in reclaimed.items():
        available = borrowed.get(team)
        if available is None:
            continue
        if usage.gpus > available.gpus + CAPACITY_TOLERANCE or (
            usage.gpus == 0 and usage.cpus > available.cpus + CAPACITY_TOLERANCE
        ):
            return False
    for team, usage in reclaimed.items():
        if team in borrowed:
            borrowed[team].gpus -= usage.gpus
            borrowed[team].cpus -= usage.cpus
    return True
