"""When a worker's lease can't last any more, as nobody can have answered it."""

import logging
from typing import TYPE_CHECKING

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.jobs.job import CANCELLED
from hookwall.workers.machine import Machine

if TYPE_CHECKING:
    from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5


class LeaseExpiry:
    """Follows how long ago each worker can last have been answered, by this leader or by a follower."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.expiry_s = fleet.params.workers.lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
        self.expired_machines: set[str] = (
            set()
        )  # machines whose starts were dropped since no node can have answered them

    def expire_leases(self, now: float) -> None:
        """Machines whose worker can't have a lease any more have no tasks."""
        if self.fleet.valid_since is None:
            return
        soon = min(self.expiry_s, self.fleet.params.workers.report_s * 3)
        for machine in list(self.fleet.machines.values()):
            # Most were answered a moment ago: whatever could be over counts from later.
            if now - machine.last_response_at <= soon and now - machine.acknowledged_at <= soon:
                continue
            if not machine.unresponsive and self._quiet(machine, now):
                machine.unresponsive, machine.acknowledges = True, False
                log.info("machine %s is silent", machine.name)
                self.fleet.on_change()
            idle = not machine.allocations and not machine.unrecorded_tasks
            if (
                idle
                or now - max(machine.last_response_at, self.fleet.valid_since) <= self.expiry_s
                or self.fleet.delegated_leases.is_delegated(machine.name)
            ):
                continue
            if now - self.fleet.delegated_leases.last_possible_renewal(machine.name) > self.expiry_s:
                log.info("machine %s: lease is over, %d tasks gone", machine.name, len(machine.allocations))
                # A machine that hangs ends its tasks only when it goes on; cancelled ones must be gone before.
                machine.may_run_cancelled_tasks = machine.may_run_cancelled_tasks or any(
                    job.phase == CANCELLED for job, _ in machine.allocations.values()
                )
                self.expired_machines.add(machine.name)
                self.fleet.release_all_allocations(machine, "the lease is over")

    def retract_expiry(self, kept: frozenset[str] | None) -> bool:
        """Whether a lease that seemed to be over is one of those that a follower turns out to keep; None: any."""
        wrong = self.expired_machines if kept is None else self.expired_machines & kept
        found = bool(wrong)
        self.expired_machines -= set(wrong)
        return found

    def _quiet(self, machine: Machine, now: float) -> bool:
        """Whether a machine that should be heard is not. One that has not come to a new leader has a lease's time."""
        assert self.fleet.valid_since is not None
        if machine.first_heartbeat_at >= 0:
            return now - machine.acknowledged_at > self.fleet.params.workers.report_s * 3
        return (
            machine.listed_running_at >= 0
            and now - max(machine.listed_running_at, self.fleet.valid_since) > self.expiry_s
        )
