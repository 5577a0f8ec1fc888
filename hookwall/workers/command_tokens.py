"""The tokens that a leader's responses to heartbeats carry; a worker drops responses with a lower one than it has seen.

A worker knows an attempt of a task until it is told to forget it, and a launch of an attempt that it knows has no
effect. A copy of a response that arrives later would launch the attempt again. So the leader raises the token of a
machine before an attempt that it has launched there can become unknown: a copy then carries a lower token.

The token need not be the version of the leader key, the term's fencing token. Each revision at which a write of this
leader has succeeded is a token of its own: the leader key was unchanged at that revision, so the key of any later
leader has a higher version.

Invariant: a leader's tokens are lower than those of all later leaders, and tokens sent to one machine never fall.
"""

from hookwall.workers.machine import Machine


class CommandTokens:
    """The tokens that this leader may send, and which of them each machine gets."""

    def __init__(self) -> None:
        """Start without a term."""
        self.term = 0  # the term's fencing token
        self.newest = 0  # the highest token that this leader may send

    def begin_term(self, fencing_token: int) -> None:
        """Begin a new term, whose fencing token is the version of the leader key."""
        self.term = self.newest = fencing_token

    def record_commit(self, revision: int) -> None:
        """Record that a write of this term, conditional on the leader key, was executed at this revision."""
        self.newest = max(self.newest, revision)

    def is_of_this_term(self, token: int) -> bool:
        """Whether a token that a worker has seen comes from this leader."""
        return self.term <= token <= self.newest

    def current(self, machine: Machine) -> int:
        """Return the token of the next response to a machine."""
        return max(self.term, machine.response_token)

    def adopt(self, machine: Machine, reported: int) -> None:
        """Take note of a token that the machine's worker has seen, so that it drops no response of this leader."""
        if self.is_of_this_term(reported):
            machine.response_token = max(machine.response_token, reported)

    def raise_above(self, machine: Machine, launch_token: int) -> bool:
        """Raise the machine's token above one with which a launch was sent; return False if there is no such token."""
        if self.newest <= launch_token:
            return False
        machine.response_token = max(machine.response_token, self.newest)
        return True
