"""What a node is at present, and what makes a leader valid.

The values of `LeaseMode` stand in the stored leader key, so they never change.
"""

from enum import Enum


class Role(Enum):
    """A node's part in leading; `leadership_state` has the transitions."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LOADING = "loading"  # the leader key names this node, which rebuilds its state from the records
    LEADER = "leader"

    def holds_leader_key(self) -> bool:
        """Whether the leader key was written for this role."""
        return self in (Role.LOADING, Role.LEADER)


class LeaseMode(Enum):
    """What bounds a leader's validity: the quorum's leases, or its session lease alone."""

    QUORUM_LEASE = "promise"
    SESSION_LEASE = "hold"
