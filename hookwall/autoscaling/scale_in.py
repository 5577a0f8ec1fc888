"""Scaling in: selects the machines to drain because they exceed the need, and the machines to delete.

Invariant: a responsive UP machine is deleted only after it has been drained and is empty, unless the cloud lists it as
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
BOOT_TIMEOUT_FACTOR = 5.0  # a machine that boots for longer than this multiple of its usual boot time is deleted
PREEMPTION_MARGIN_S = 3.0  # this long after its announced time, a preemption counts as executed
# Lease periods during which a new leader deletes no machine for being unresponsive or for booting too long.
MIN_LEADERSHIP_LEASES = 2
MIN_KNOWN_LEASES = 3  # no machine is deleted for booting too long until it has been known for this many lease periods
# Grace periods before an unresponsive machine is deleted.
SPOT_GRACE_INTERVALS = 3.2  # for a spot instance, in heartbeat intervals
ON_DEMAND_GRACE_S = 25.0  # for an on-demand machine, in addition to the lease
PARTITION_GRACE_S = 100.0  # if the network seems to be partitioned, in addition to the lease
LATE_HEARTBEAT_INTERVALS = 1.8  # a heartbeat is late after this many heartbeat intervals
MIN_LATE_MACHINES = 3  # minimum number of late machines in a zone that counts as partitioned
MACHINE_COUNT_EPSILON = 1e-6


@dataclass(slots=True)
class Excess:
    """Numbers of machines above the targets; negative if machines are missing."""

    on_demand: float
    total: float

    def remove(self, machine: Machine) -> None:
        """Subtract a machine."""
        self.on_demand -= not machine.spot
        self.total -= 1

    def add(self, machine: Machine) -> None:
        """Add a machine."""
        self.on_demand += not machine.spot
        self.total += 1


@dataclass(slots=True, frozen=True)
class WaitingWork:
    """Which kinds of work are waiting."""

    any: bool
    spot: bool  # whether any of it may run on spot instances


class ScaleIn:
    """Selects the machines to drain and to delete; `scale_out` sends the deletions to the cloud."""

    def __init__(
        self, params: PlatformParameters, fleet: Fleet, scheduler: Scheduler, capacity: Capacity, demand: Demand
    ) -> None:
        """`capacity` and `demand` are shared with scaling out."""
        self.params = params
        self.fleet = fleet
        self.scheduler = scheduler
        self.capacity = capacity
        self.demand = demand

    # -- draining --------------------------------------------------------------------------------

    def drain_excess_machines(self, now: float) -> None:
        """Drain machines that exceed the need, starting with on-demand ones that run only work for spot instances."""
        targets = self.demand.targets
        counts = self.capacity.machine_counts(now)
        excess = Excess(counts.on_demand - targets.on_demand, counts.total - targets.total_for(counts.on_demand))
        specs = [queued.job.spec for queued in self.scheduler.waiting.values() if queued.job.spec is not None]
        waiting = WaitingWork(any=bool(specs), spot=any(spec.spot for spec in specs))
        self._undrain_needed_machines(excess, waiting)
        if waiting.spot or excess.total < 1 - MACHINE_COUNT_EPSILON:
            return
        drainable = [machine for machine in self.fleet.machines.values() if self._is_drainable(machine, waiting, now)]
        drainable.sort(key=self._drain_sort_key)
        for machine in drainable:
            if excess.total < 1 - MACHINE_COUNT_EPSILON:
                return
            if not machine.spot and excess.on_demand < 1 - MACHINE_COUNT_EPSILON:
                continue
            excess.remove(machine)
            self.fleet.transition_to(machine, MachinePhase.DRAINING, "exceeds the need")

    def _undrain_needed_machines(self, excess: Excess, waiting: WaitingWork) -> None:
        """Return draining machines to service if they are needed again."""
        draining = [machine for machine in self.fleet.machines.values() if machine.phase is MachinePhase.DRAINING]
        for machine in draining:
            is_needed_on_demand = not machine.spot and (waiting.any or excess.on_demand < -MACHINE_COUNT_EPSILON)
            if waiting.spot or is_needed_on_demand or excess.total < -MACHINE_COUNT_EPSILON:
                self.fleet.transition_to(machine, MachinePhase.UP, "needed again")
                excess.add(machine)

    def _is_drainable(self, machine: Machine, waiting: WaitingWork, now: float) -> bool:
        """Whether a machine may be drained.

        An on-demand machine must have been without on-demand work for long enough; a spot instance only needs to have
        been up for as long.
        """
        if machine.phase is not MachinePhase.UP or machine.unresponsive:
            return False
        if machine.reserved_for or machine.unrecorded_tasks or machine.name in self.fleet.cordoned:
            return False
        if waiting.any and not machine.spot:
            return False
        if machine.allocations and len(self.fleet.machine_types) > 1:
            return False  # with several types, the total need says little about the need for this type
        if machine.spot:
            # Tasks on a spot instance do not prevent draining. When they did, a few tasks spread over many instances
            # kept all of these instances.
            return now - machine.first_heartbeat_at > IDLE_BEFORE_DRAIN_S
        has_on_demand_work = any(job.spec is not None and not job.spec.spot for job, _ in machine.allocations.values())
        used_at = max(machine.first_heartbeat_at, machine.last_on_demand_work_at)
        return not has_on_demand_work and now - used_at > IDLE_BEFORE_DRAIN_S

    def _drain_sort_key(self, machine: Machine) -> tuple[float, float, int, int]:
        """Sort key for draining: most expensive machine first, then by fewest GB of images, then by fewest tasks."""
        return (
            -self.capacity.hourly_price(pool_of(machine)),
            self.fleet.on_demand_image_gb(machine),
            len(machine.allocations),
            machine.index,
        )

    # -- deletion --------------------------------------------------------------------------------

    def machines_to_delete(self, now: float) -> list[Machine]:
        """Return the machines to delete now. They get no new work from now on."""
        candidates = [machine for machine in self.fleet.machines.values() if _may_need_deletion(machine)]
        if not candidates:
            return []
        partitioned_zones = self._partitioned_zones(now)
        to_delete: list[Machine] = []
        for machine in candidates:
            if machine.phase is MachinePhase.DELETING:
                to_delete.append(machine)
                continue
            if machine.name in self.fleet.in_maintenance and not machine.may_run_cancelled_tasks:
                continue  # it is out of service and empty, so its worker may send no heartbeat for a long time
            reason = self._deletion_reason(machine, now, partitioned_zones)
            if reason:
                self.fleet.transition_to(machine, MachinePhase.DELETING, reason)
                to_delete.append(machine)
        return to_delete

    def _deletion_reason(self, machine: Machine, now: float, partitioned_zones: set[int]) -> str | None:
        """Return why a machine is to be deleted, or None. Only the first three reasons apply to a booting machine."""
        if machine.provisioning_failed:
            return "provisioning failed"
        if self._is_unlisted(machine, now):
            return "missing from the machine list"
        if machine.phase is MachinePhase.BOOTING:
            return "boot timed out" if self._has_boot_timed_out(machine, now) else None
        if machine.may_run_cancelled_tasks:
            return "cancelled tasks may resume on it"
        if self._is_lost(machine, now, partitioned_zones):
            return "worker unresponsive"
        if _was_preempted(machine, now):
            return "preempted by the cloud"
        if machine.phase is MachinePhase.QUARANTINED and not machine.allocations:
            return "repeated task failures"
        if machine.phase is MachinePhase.DRAINING and not machine.allocations and not machine.unrecorded_tasks:
            return "drained"
        return None

    def _is_unlisted(self, machine: Machine, now: float) -> bool:
        """Whether a machine that has sent no heartbeat is missing from lists that must include it if it exists."""
        inventory = self.capacity.inventory
        return (
            machine.first_heartbeat_at < 0
            and inventory.is_missing(machine)
            and inventory.leading_for_s(now) > inventory.max_age_s
        )

    def _has_boot_timed_out(self, machine: Machine, now: float) -> bool:
        """Whether a booting machine has had more time than it can need."""
        return (
            now - machine.provisioned_at > BOOT_TIMEOUT_FACTOR * self.capacity.boot_s(machine)
            and self._has_led_long_enough(now)
            and now - machine.first_known_at > MIN_KNOWN_LEASES * self.params.workers.lease_s
        )

    def _is_lost(self, machine: Machine, now: float, partitioned_zones: set[int]) -> bool:
        """Whether a machine has been unresponsive for longer than its grace period."""
        if not machine.unresponsive or not self._has_led_long_enough(now):
            return False
        return now - machine.acknowledged_at > self._grace_s(machine, partitioned_zones)

    def _has_led_long_enough(self, now: float) -> bool:
        """Whether this node has led for so long that all workers should have sent it a heartbeat."""
        return self.capacity.inventory.leading_for_s(now) > MIN_LEADERSHIP_LEASES * self.params.workers.lease_s

    def _grace_s(self, machine: Machine, partitioned_zones: set[int]) -> float:
        """Return the time since its last acknowledgement after which an unresponsive machine is deleted.

        An unresponsive spot instance was most likely preempted without notice. The cloud confirms its deletion before
        its lease expires, so its tasks can be restarted elsewhere sooner; if it was only disconnected, its tasks were
        lost anyway. An on-demand machine is more likely to come back with its cached images.
        """
        workers = self.params.workers
        if machine.zone in partitioned_zones or self.fleet.delegated_leases.is_delegated(machine.name):
            return workers.lease_s + PARTITION_GRACE_S
        if machine.spot:
            return SPOT_GRACE_INTERVALS * workers.report_s
        return workers.lease_s + ON_DEMAND_GRACE_S

    def _partitioned_zones(self, now: float) -> set[int]:
        """Return the zones in which most machines are late with a heartbeat.

        This indicates a network partition and not a failure of the machines. Without this rule, a partition of half a
        minute led to the deletion and replacement of all machines of a zone. Late machines are counted, not
        unresponsive ones, because the first machines of a zone become unresponsive two seconds before most of the
        others.
        """
        late_by_zone: dict[int, list[bool]] = {}
        late_after_s = LATE_HEARTBEAT_INTERVALS * self.params.workers.report_s
        for machine in self.fleet.machines.values():
            if machine.phase in (MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.PREEMPTION_NOTICED):
                late_by_zone.setdefault(machine.zone, []).append(now - machine.acknowledged_at > late_after_s)
            elif machine.phase is MachinePhase.BOOTING and machine.unresponsive:
                late_by_zone.setdefault(machine.zone, []).append(True)
        return {zone for zone, late in late_by_zone.items() if _is_partitioned(late)}


def _may_need_deletion(machine: Machine) -> bool:
    """Whether there may be a reason to delete a machine; a cheap check that is False for nearly all machines."""
    return (
        machine.phase is not MachinePhase.UP
        or machine.unresponsive
        or machine.provisioning_failed
        or machine.may_run_cancelled_tasks
        or machine.first_heartbeat_at < 0
    )


def _was_preempted(machine: Machine, now: float) -> bool:
    """Whether the cloud has preempted a machine as announced."""
    return (
        machine.phase is MachinePhase.PREEMPTION_NOTICED
        and machine.preemption_at is not None
        and now > machine.preemption_at + PREEMPTION_MARGIN_S
        and machine.unresponsive
    )


def _is_partitioned(late: Iterable[bool]) -> bool:
    """Whether most machines of a zone, and at least MIN_LATE_MACHINES, are late."""
    flags = list(late)
    return sum(flags) >= MIN_LATE_MACHINES and 2 * sum(flags) > len(flags)
