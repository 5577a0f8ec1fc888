"""The roles of a node, and the lease modes that make a leader valid.

The values of `LeaseMode` are stored in the leader key, so they must never change.
"""

from enum import Enum


class Role(Enum):
    """A node's role in the leadership state machine; `leadership_state` defines the transitions."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LOADING = "loading"  # the leader key names this node, which is rebuilding its state from the records
    LEADER = "leader"

    def holds_leader_key(self) -> bool:
        """Whether a node in this role has written the leader key to become the leader."""
        return self in (Role.LOADING, Role.LEADER)


class LeaseMode(Enum):
    """What bounds a leader's validity: the leases granted by a quorum, or its session lease alone."""

    QUORUM_LEASE = "promise"
    SESSION_LEASE = "hold"
