"""What a node is at present, and what makes a leader valid."""

from enum import Enum


class Role(Enum):
    """A node's part in leading."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LOADING = "loading"
    LEADER = "leader"

    def leads(self) -> bool:
        """Whether the leader key was written for this role."""
        return self in (Role.LOADING, Role.LEADER)


class Mode(Enum):
    """What makes a leader valid: see `leadership`."""

    PROMISE = "promise"
    HOLD = "hold"
