"""Expiry of workers' leases: a lease has expired once no node can have renewed it for longer than its duration.

Invariant: allocations are released here only after the lease duration, the clock drift and a margin have passed since
the last response that this leader, an earlier leader or a follower can have sent to the machine.
"""

import logging

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.jobs.job import CANCELLED
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import Machine

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5
UNRESPONSIVE_HEARTBEAT_PERIODS = 3  # periods without an acknowledgement until a machine counts as unresponsive


class LeaseExpiry:
    """Determines when each worker can last have been answered, by a leader or by a follower."""

    def __init__(self, fleet: FleetTransitions, delegated_leases: DelegatedLeases) -> None:
        """Watch the machines of `fleet`; `delegated_leases` tells which leases followers may renew."""
        self.fleet = fleet
        self.delegated_leases = delegated_leases
        workers = fleet.params.workers
        self.expiry_s = workers.lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        self.unresponsive_s = workers.report_s * UNRESPONSIVE_HEARTBEAT_PERIODS
        # Machines whose allocations were released because no node can have renewed their leases.
        self.expired_machines: set[str] = set()

    def expire_leases(self, now: float) -> None:
        """Release all allocations on machines whose workers' leases must have expired."""
        valid_since = self.fleet.valid_since
        if valid_since is None:
            return
        min_timeout_s = min(self.expiry_s, self.unresponsive_s)
        for machine in list(self.fleet.machines.values()):
            # Fast path: most machines were answered recently, so none of their timeouts can have passed.
            if now - machine.last_response_at <= min_timeout_s and now - machine.acknowledged_at <= min_timeout_s:
                continue
            if not machine.unresponsive and self._is_unresponsive(machine, valid_since, now):
                machine.unresponsive = True
                machine.receives_responses = False
                log.info("machine unresponsive: machine=%s", machine.name)
                self.fleet.on_change()
            if self._has_expired(machine, valid_since, now):
                self._expire(machine)

    def retract_expired_machines(self, delegated: frozenset[str] | None) -> bool:
        """Stop counting the delegated machines as expired; return whether any of them was treated as expired.

        `delegated` is None if any machine may be delegated.
        """
        wrongly_expired = self.expired_machines if delegated is None else self.expired_machines & delegated
        any_wrongly_expired = bool(wrongly_expired)
        self.expired_machines -= set(wrongly_expired)
        return any_wrongly_expired

    def _has_expired(self, machine: Machine, valid_since: float, now: float) -> bool:
        """Whether tasks may be on the machine and no node can have renewed its lease in time."""
        if not machine.allocations and not machine.unrecorded_tasks:
            return False
        if now - max(machine.last_response_at, valid_since) <= self.expiry_s:
            return False
        if self.delegated_leases.is_delegated(machine.name):
            return False
        return now - self.delegated_leases.last_possible_renewal(machine.name) > self.expiry_s

    def _expire(self, machine: Machine) -> None:
        """Release all allocations on a machine whose lease has expired."""
        log.info("lease expired: machine=%s tasks=%d", machine.name, len(machine.allocations))
        # A hanging machine ends its tasks only after it resumes, but cancelled tasks must be gone earlier.
        machine.may_run_cancelled_tasks = machine.may_run_cancelled_tasks or any(
            job.phase == CANCELLED for job, _ in machine.allocations.values()
        )
        self.expired_machines.add(machine.name)
        self.fleet.release_all_allocations(machine, "lease expired")

    def _is_unresponsive(self, machine: Machine, valid_since: float, now: float) -> bool:
        """Whether the expected heartbeats or acknowledgements of the machine are missing.

        A machine that has sent no heartbeat to this leader yet has as much time for its first one as a lease takes to
        expire.
        """
        if machine.first_heartbeat_at >= 0:
            return now - machine.acknowledged_at > self.unresponsive_s
        return machine.listed_running_at >= 0 and now - max(machine.listed_running_at, valid_since) > self.expiry_s
