"""Machines and their workers.

This package owns the leader's view of the fleet (`Fleet`: state, transitions, heartbeats, lease expiry), the responses
to workers' heartbeats on every node (`HeartbeatRouter`), and the renewal of leases by followers (`LeaseDelegate`; the
leader's side is `DelegatedLeases` and `DelegationGuard`).

The states of a machine are `MachinePhase`; `FleetTransitions.transition_to` makes every change. An allocation on a
machine is released only after its task is proven to be gone; `fleet` lists the accepted proofs.

Dependencies: the job table (`jobs`), whether this node leads (`leadership`), whether its knowledge of cancellations is
recent enough (`jobs.cancellations`), and the key-value store (`storage`), which holds the lease delegates' keys.
"""
