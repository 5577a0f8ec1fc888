"""Expiry of workers' leases: from when on no node can have renewed one for longer than it lasts.

Invariant: nothing on a machine is released here before its lease, the clocks' drift and a margin have passed since the
last response that this leader, one before it or a follower can have sent it.
"""

import logging

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.jobs.job import CANCELLED
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import Machine

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5
UNRESPONSIVE_HEARTBEATS = 3  # so many heartbeat periods without an acknowledgement


class LeaseExpiry:
    """Follows when each worker can last have been answered, by this leader or by a follower."""

    def __init__(self, fleet: FleetTransitions, delegated_leases: DelegatedLeases) -> None:
        """For the machines of `fleet`, whose leases followers may renew as `delegated_leases` says."""
        self.fleet = fleet
        self.delegated_leases = delegated_leases
        workers = fleet.params.workers
        self.expiry_s = workers.lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        self.unresponsive_s = workers.report_s * UNRESPONSIVE_HEARTBEATS
        # Machines whose allocations were released since no node can have renewed their leases.
        self.expired_machines: set[str] = set()

    def expire_leases(self, now: float) -> None:
        """Release everything on machines whose worker can't have a lease any more."""
        valid_since = self.fleet.valid_since
        if valid_since is None:
            return
        soon = min(self.expiry_s, self.unresponsive_s)
        for machine in list(self.fleet.machines.values()):
            # Most were answered a moment ago: whatever could be over counts from later.
            if now - machine.last_response_at <= soon and now - machine.acknowledged_at <= soon:
                continue
            if not machine.unresponsive and self._is_unresponsive(machine, valid_since, now):
                machine.unresponsive = True
                machine.acknowledges = False
                log.info("machine unresponsive: machine=%s", machine.name)
                self.fleet.on_change()
            if self._has_expired(machine, valid_since, now):
                self._expire(machine)

    def retract_expiry(self, delegated: frozenset[str] | None) -> bool:
        """Whether some expired lease is one of those that a follower turns out to renew; None: any may be."""
        wrong = self.expired_machines if delegated is None else self.expired_machines & delegated
        found = bool(wrong)
        self.expired_machines -= set(wrong)
        return found

    def _has_expired(self, machine: Machine, valid_since: float, now: float) -> bool:
        """Whether something may be on the machine whose lease no node can have renewed in time."""
        if not machine.allocations and not machine.unrecorded_tasks:
            return False
        if now - max(machine.last_response_at, valid_since) <= self.expiry_s:
            return False
        if self.delegated_leases.is_delegated(machine.name):
            return False
        return now - self.delegated_leases.last_possible_renewal(machine.name) > self.expiry_s

    def _expire(self, machine: Machine) -> None:
        """Release everything on a machine."""
        log.info("lease expired: machine=%s tasks=%d", machine.name, len(machine.allocations))
        # A machine that hangs ends its tasks only when it goes on; cancelled ones must be gone before.
        machine.may_run_cancelled_tasks = machine.may_run_cancelled_tasks or any(
            job.phase == CANCELLED for job, _ in machine.allocations.values()
        )
        self.expired_machines.add(machine.name)
        self.fleet.release_all_allocations(machine, "lease expired")

    def _is_unresponsive(self, machine: Machine, valid_since: float, now: float) -> bool:
        """Whether heartbeats that should come don't. A machine that has not come to a new leader has a lease's time."""
        if machine.first_heartbeat_at >= 0:
            return now - machine.acknowledged_at > self.unresponsive_s
        return machine.listed_running_at >= 0 and now - max(machine.listed_running_at, valid_since) > self.expiry_s
