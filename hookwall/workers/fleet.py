"""The leader's view of the fleet: the state of machines as heartbeats report it, and the commands sent in response.

The leader's view of a machine consists of the tasks that may run on it according to the job records
(`Machine.allocations`) and of the last report of its worker. An allocation is released only after its task is proven to
be gone by one of the following:

- the worker reports the task as exited, or
- the worker is in a later epoch than the one in which the start was decided, or
- a heartbeat that is newer than the launch does not report the task, and carries a token of the leader that is higher
  than that of the launch, or
- the cloud has confirmed the deletion of the machine with status 200, or
- no node can have answered the worker for longer than its lease, clock drift and a margin. This covers the current
  leader, earlier leaders, and followers that renew leases on behalf of the leader (see `lease_delegate`).
"""

from collections.abc import Callable

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.workers.delegated_leases import DelegatedLeases, ignore_delegation
from hookwall.workers.fleet_transitions import FleetTransitions, ignore_change
from hookwall.workers.heartbeat_handler import HeartbeatHandler
from hookwall.workers.lease_expiry import LeaseExpiry
from hookwall.workers.machine import Machine, MachinePhase
from hookwall.workers.successor_hints import SuccessorHints


class Fleet(FleetTransitions):
    """The leader's view of all machines. A new leader starts with an empty fleet."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = ignore_change,
        on_machines_delegated: Callable[[frozenset[str] | None], None] = ignore_delegation,
    ) -> None:
        """Create an empty fleet for the jobs of `table`.

        `on_change` is called after changes that may give a scheduling round work to do. `on_machines_delegated` is
        passed to `DelegatedLeases`.
        """
        super().__init__(params, table, clock, on_change)
        self.delegated_leases = DelegatedLeases(clock, on_machines_delegated)
        self.lease_expiry = LeaseExpiry(self, self.delegated_leases)
        self.successor_hints = SuccessorHints(self.machines_by_index, self.image_names)
        self.heartbeat_handler = HeartbeatHandler(self, self.successor_hints)

    def reset(self, token: int) -> None:
        """Discard what is known of the machines.

        A new leader relies only on job records, the cloud's machine lists and heartbeats.
        """
        for machine in self.machines.values():
            self.set_unrecorded_tasks(machine, set())
        self.machines.clear()
        self.machines_by_index.clear()
        self.deleted_names.clear()
        self.lease_expiry.expired_machines.clear()
        self.end_validity()
        self.tokens.begin_term(token)
        for job in self.table.open_jobs.values():
            self.attach_allocations(job)

    def response_token(self, machine: str) -> int:
        """Return the token of the response to a heartbeat of this machine that was just processed."""
        return self.tokens.current(self.machines[machine])

    def process_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Apply a heartbeat and return the commands of the response, or None if the heartbeat is outdated."""
        return self.heartbeat_handler.process_heartbeat(heartbeat)

    def expire_leases(self, now: float) -> None:
        """Release all allocations on machines whose workers' leases must have expired."""
        self.lease_expiry.expire_leases(now)

    def confirm_deletion(self, machine: Machine, reason: str) -> None:
        """Remove a machine after the cloud has confirmed its deletion."""
        self.release_all_allocations(machine, reason)
        self.transition_to(machine, MachinePhase.DELETED, reason)
        self.machines.pop(machine.name, None)
        self.deleted_names.add(machine.name)
        # Even if a follower has renewed its lease, nothing runs on a deleted machine.
        self.lease_expiry.expired_machines.discard(machine.name)
