"""What a node is at present, and what makes a leader valid."""

from enum import Enum


class Role(Enum):
    """A node's part in leading."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LOADING = "loading"
    LEADER = "leader"

    def holds_leader_key(self) -> bool:
        """Whether the leader key was written for this role."""
        return self in (Role.LOADING, Role.LEADER)


class LeaseMode(Enum):
    """What makes a leader valid: see `leadership`."""

    QUORUM_LEASE = "promise"
    SESSION_LEASE = "hold"
