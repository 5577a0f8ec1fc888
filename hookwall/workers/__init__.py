"""Machines and their workers.

Owns the leader's picture of the fleet (`Fleet`: state, transitions, heartbeats, lease expiry), the responses to
workers' heartbeats on every node (`HeartbeatRouter`), and the renewal of leases by followers (`LeaseDelegate`; the
leader's side is `DelegatedLeases` and `DelegationGuard`).

State machine: `MachinePhase`; `FleetTransitions.transition_to` makes every change. An allocation on a machine is
released only when it was shown to be gone, as `fleet` lists.

Asks of others: the job table (`jobs`), whether this node leads (`leadership`), whether its knowledge of cancellations
is recent (`jobs.cancellations`), and the key-value store (`storage`) for the delegates' keys.
"""
