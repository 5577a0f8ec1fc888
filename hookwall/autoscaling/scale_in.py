"""Scaling in: which machines are drained since they are beyond need, and which are deleted.

Invariant: an UP machine that responds is deleted only after it was drained and is empty, unless the cloud lists it as
failed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hookwall.autoscaling.capacity import Capacity, pool_of
from hookwall.autoscaling.demand import Demand
from hookwall.config.platform import PlatformParameters
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase

IDLE_BEFORE_DRAIN_S = 25.0
NEVER_UP_BOOTS = 5.0  # a machine that boots for so many times its usual boot is given up
PREEMPTION_MARGIN_S = 3.0  # after the moment at which the cloud takes a machine
LEADING_LEASES = 2  # a new leader gives up no unresponsive machine before it has led for so many leases
KNOWN_LEASES = 3  # nor one that boots before it has been known for so many
SPOT_PATIENCE_REPORTS = 3.2  # intervals of heartbeats that an unresponsive spot instance is given
ON_DEMAND_PATIENCE_S = 25.0  # beyond the lease
CUT_OFF_PATIENCE_S = 100.0  # beyond the lease, where the network is in trouble
LATE_REPORTS = 1.8  # intervals of heartbeats after which one is late
LEAST_LATE_MACHINES = 3  # in a zone that counts as cut off
MACHINE_ROUNDING = 1e-6


@dataclass(slots=True)
class Excess:
    """Machines beyond the targets; negative where they are short."""

    on_demand: float
    total: float

    def remove(self, machine: Machine) -> None:
        """One machine less."""
        self.on_demand -= not machine.spot
        self.total -= 1

    def add(self, machine: Machine) -> None:
        """One machine more."""
        self.on_demand += not machine.spot
        self.total += 1


@dataclass(slots=True, frozen=True)
class WaitingWork:
    """What kind of work waits."""

    any: bool
    spot: bool  # any that may run on spot instances


class ScaleIn:
    """Decides what to drain and delete; `scale_out` carries deletions out."""

    def __init__(
        self, params: PlatformParameters, fleet: Fleet, scheduler: Scheduler, capacity: Capacity, demand: Demand
    ) -> None:
        """`capacity` and `demand` are what scaling out goes by as well."""
        self.params = params
        self.fleet = fleet
        self.scheduler = scheduler
        self.capacity = capacity
        self.demand = demand

    # -- beyond need -----------------------------------------------------------------------------

    def drain_excess_machines(self, now: float) -> None:
        """Drain what is beyond need: on-demand machines that hold only work for spot instances first."""
        targets = self.demand.targets
        counts = self.capacity.machine_counts(now)
        excess = Excess(counts.on_demand - targets.on_demand, counts.total - targets.total_with(counts.on_demand))
        specs = [queued.job.spec for queued in self.scheduler.waiting.values() if queued.job.spec is not None]
        waiting = WaitingWork(any=bool(specs), spot=any(spec.spot for spec in specs))
        self._resume_draining(excess, waiting)
        if waiting.spot or excess.total < 1 - MACHINE_ROUNDING:
            return
        idle = [machine for machine in self.fleet.machines.values() if self._is_drainable(machine, waiting, now)]
        idle.sort(key=self._dearest_first)
        for machine in idle:
            if excess.total < 1 - MACHINE_ROUNDING:
                return
            if not machine.spot and excess.on_demand < 1 - MACHINE_ROUNDING:
                continue
            excess.remove(machine)
            self.fleet.transition_to(machine, MachinePhase.DRAINING, "beyond need")

    def _resume_draining(self, excess: Excess, waiting: WaitingWork) -> None:
        """Use draining machines again that turn out to be needed."""
        draining = [machine for machine in self.fleet.machines.values() if machine.phase is MachinePhase.DRAINING]
        for machine in draining:
            is_needed_on_demand = not machine.spot and (waiting.any or excess.on_demand < -MACHINE_ROUNDING)
            if waiting.spot or is_needed_on_demand or excess.total < -MACHINE_ROUNDING:
                self.fleet.transition_to(machine, MachinePhase.UP, "needed again")
                excess.add(machine)

    def _is_drainable(self, machine: Machine, waiting: WaitingWork, now: float) -> bool:
        """Whether a machine has been of little use for long enough."""
        if machine.phase is not MachinePhase.UP or machine.unresponsive:
            return False
        if machine.reserved_for or machine.unrecorded_tasks or machine.name in self.fleet.cordoned:
            return False
        if waiting.any and not machine.spot:
            return False
        if machine.allocations and len(self.fleet.machine_types) > 1:
            return False  # with several types, need in all says little about the need of this one
        if machine.spot:
            # Also with tasks on it: spread thinly over many machines they held all of them.
            return now - machine.first_heartbeat_at > IDLE_BEFORE_DRAIN_S
        has_on_demand_work = any(job.spec is not None and not job.spec.spot for job, _ in machine.allocations.values())
        used_at = max(machine.first_heartbeat_at, machine.last_on_demand_work_at)
        return not has_on_demand_work and now - used_at > IDLE_BEFORE_DRAIN_S

    def _dearest_first(self, machine: Machine) -> tuple[float, float, int, int]:
        """Order of draining: the dearest first, then those with fewest GB of images, then with fewest tasks."""
        return (
            -self.capacity.hourly_price(pool_of(machine)),
            self.fleet.on_demand_image_gb(machine),
            len(machine.allocations),
            machine.index,
        )

    # -- of no use ---------------------------------------------------------------------------------

    def machines_to_delete(self, now: float) -> list[Machine]:
        """Machines to delete now. They get no more work from this moment on."""
        suspects = [machine for machine in self.fleet.machines.values() if _is_suspect(machine)]
        if not suspects:
            return []
        cut_off_zones = self._cut_off_zones(now)
        to_delete: list[Machine] = []
        for machine in suspects:
            if machine.phase is MachinePhase.DELETING:
                to_delete.append(machine)
                continue
            if machine.name in self.fleet.in_maintenance and not machine.may_run_cancelled_tasks:
                continue  # out of service and empty: its worker may send nothing for long
            reason = self._deletion_reason(machine, now, cut_off_zones)
            if reason:
                self.fleet.transition_to(machine, MachinePhase.DELETING, reason)
                to_delete.append(machine)
        return to_delete

    def _deletion_reason(self, machine: Machine, now: float, cut_off_zones: set[int]) -> str | None:
        """Why a machine is of no use any more, or None. A machine that boots is only given the first three reasons."""
        if machine.provisioning_failed:
            return "provisioning failed"
        if self._is_unlisted(machine, now):
            return "it is not listed any more"
        if machine.phase is MachinePhase.BOOTING:
            return "it never came up" if self._never_came_up(machine, now) else None
        if machine.may_run_cancelled_tasks:
            return "cancelled tasks may go on there"
        if self._is_lost(machine, now, cut_off_zones):
            return "its worker is unresponsive"
        if _was_preempted(machine, now):
            return "preempted by the cloud"
        if machine.phase is MachinePhase.QUARANTINED and not machine.allocations:
            return "it fails its tasks"
        if machine.phase is MachinePhase.DRAINING and not machine.allocations and not machine.unrecorded_tasks:
            return "drained"
        return None

    def _is_unlisted(self, machine: Machine, now: float) -> bool:
        """Whether a machine without a heartbeat is missing from lists that must name it."""
        inventory = self.capacity.inventory
        return (
            machine.first_heartbeat_at < 0
            and inventory.is_missing(machine)
            and inventory.leading_for_s(now) > inventory.max_age_s
        )

    def _never_came_up(self, machine: Machine, now: float) -> bool:
        """Whether a booting machine has had all the time that it can need."""
        return (
            now - machine.provisioned_at > NEVER_UP_BOOTS * self.capacity.boot_s(machine)
            and self._has_led_for_leases(now)
            and now - machine.first_known_at > KNOWN_LEASES * self.params.workers.lease_s
        )

    def _is_lost(self, machine: Machine, now: float, cut_off_zones: set[int]) -> bool:
        """Whether a machine has been unresponsive for longer than it is given."""
        if not machine.unresponsive or not self._has_led_for_leases(now):
            return False
        return now - machine.acknowledged_at > self._patience_s(machine, cut_off_zones)

    def _has_led_for_leases(self, now: float) -> bool:
        """Whether this node has led for so long that all workers should have come to it."""
        return self.capacity.inventory.leading_for_s(now) > LEADING_LEASES * self.params.workers.lease_s

    def _patience_s(self, machine: Machine, cut_off_zones: set[int]) -> float:
        """How long an unresponsive machine is given before it is deleted.

        A spot instance was most likely preempted without notice. Its deletion is confirmed sooner than
        its lease is over, so its tasks go on elsewhere sooner; and if it was only cut off, they were lost
        anyway. An on-demand machine is more likely to come back with its images.
        """
        workers = self.params.workers
        if machine.zone in cut_off_zones or self.fleet.delegated_leases.is_delegated(machine.name):
            return workers.lease_s + CUT_OFF_PATIENCE_S
        if machine.spot:
            return SPOT_PATIENCE_REPORTS * workers.report_s
        return workers.lease_s + ON_DEMAND_PATIENCE_S

    def _cut_off_zones(self, now: float) -> set[int]:
        """Zones most of whose machines are late with a heartbeat: the network's trouble, not the machines'.

        After a cut of half a minute each of them had been deleted and was provisioned again. Being late is
        enough here: the first to count as unresponsive are so two seconds before most of their zone.
        """
        late_by_zone: dict[int, list[bool]] = {}
        late_after_s = LATE_REPORTS * self.params.workers.report_s
        for machine in self.fleet.machines.values():
            if machine.phase in (MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.PREEMPTION_NOTICED):
                late_by_zone.setdefault(machine.zone, []).append(now - machine.acknowledged_at > late_after_s)
            elif machine.phase is MachinePhase.BOOTING and machine.unresponsive:
                late_by_zone.setdefault(machine.zone, []).append(True)
        return {zone for zone, late in late_by_zone.items() if _is_cut_off(late)}


def _is_suspect(machine: Machine) -> bool:
    """Whether there may be a reason to delete a machine; nearly all are up and well."""
    return (
        machine.phase is not MachinePhase.UP
        or machine.unresponsive
        or machine.provisioning_failed
        or machine.may_run_cancelled_tasks
        or machine.first_heartbeat_at < 0
    )


def _was_preempted(machine: Machine, now: float) -> bool:
    """Whether the cloud has taken a machine, as it had announced."""
    return (
        machine.phase is MachinePhase.PREEMPTION_NOTICED
        and machine.preemption_at is not None
        and now > machine.preemption_at + PREEMPTION_MARGIN_S
        and machine.unresponsive
    )


def _is_cut_off(late: Iterable[bool]) -> bool:
    """Whether most machines of a zone are late."""
    flags = list(late)
    return sum(flags) >= LEAST_LATE_MACHINES and 2 * sum(flags) > len(flags)
