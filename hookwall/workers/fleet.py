"""The fleet of a leader: its machines as their workers' heartbeats show them, and the commands that answer those.

The leader's picture of a machine is what the records say may be on it (`Machine.allocations`), and what its worker
last reported. An allocation is released only when it was shown to be gone:

- the worker reports the task as exited, or
- the worker is in a later epoch than the one in which the start was decided, or
- a heartbeat that is newer than the launch, with our fencing token, does not contain it, or
- the cloud has confirmed the machine's deletion with a 200, or
- no node can have answered the worker for longer than its lease, drift and a margin: neither this leader, nor one
  before it, nor a follower that renews leases for the leader (see `lease_delegate`).
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
    """The leader's picture of all machines. A new leader starts with an empty one."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = ignore_change,
        on_machines_delegated: Callable[[frozenset[str] | None], None] = ignore_delegation,
    ) -> None:
        """An empty fleet for the jobs of `table`.

        `on_change` is called when a round may find something to do; `on_machines_delegated` as `DelegatedLeases` says.
        """
        super().__init__(params, table, clock, on_change)
        self.delegated_leases = DelegatedLeases(clock, on_machines_delegated)
        self.lease_expiry = LeaseExpiry(self, self.delegated_leases)
        self.successor_hints = SuccessorHints(self.machines_by_index, self.image_names)
        self.heartbeat_handler = HeartbeatHandler(self, self.successor_hints)

    def reset(self, token: int) -> None:
        """Forget everything: a new leader believes records, lists and heartbeats only."""
        for machine in self.machines.values():
            self.set_unrecorded_tasks(machine, set())
        self.machines.clear()
        self.machines_by_index.clear()
        self.deleted_names.clear()
        self.lease_expiry.expired_machines.clear()
        self.end_validity()
        self.fencing_token = token
        for job in self.table.open_jobs.values():
            self.attach_allocations(job)

    def process_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Apply a heartbeat and return the response's commands. None: too old to be answered."""
        return self.heartbeat_handler.process_heartbeat(heartbeat)

    def expire_leases(self, now: float) -> None:
        """Release everything on machines whose worker can't have a lease any more."""
        self.lease_expiry.expire_leases(now)

    def confirm_deletion(self, machine: Machine, reason: str) -> None:
        """The cloud has confirmed that the machine is deleted."""
        self.release_all_allocations(machine, reason)
        self.transition_to(machine, MachinePhase.DELETED, reason)
        self.machines.pop(machine.name, None)
        self.deleted_names.add(machine.name)
        self.lease_expiry.expired_machines.discard(machine.name)  # whoever renewed its lease, nothing runs there
