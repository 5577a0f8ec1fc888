"""The data that other subsystems exchange in leadership's messages between nodes.

Heartbeats between nodes carry more than quorum leases: cancellations, lent request rates, hints for the next leader and
what each node's program supports. Invariant: leadership transports this data without interpreting it; each subsystem
treats the data that it receives as input that may be malformed.
"""

from typing import Protocol

from hookwall.protocol.peer_messages import KnownCancellations, PeerStatus


class PeerExchange(Protocol):
    """Supplies the data that a node adds to its messages, and receives the data that peers add."""

    def local_status(self) -> PeerStatus:
        """Returns what this node reports about itself in every message."""

    def on_peer_status(self, peer: str, status: PeerStatus, /) -> None:
        """Handles what a peer reports about itself."""

    def rate_demand(self) -> object:
        """Returns the requests and changes per second that this node needs from the key-value store."""

    def lend_rate(self, peer: str, demand: object, /) -> object:
        """Returns the requests and changes per second that this leader lends a peer from its share.

        `demand`: what the peer needs; None if unknown.
        """

    def on_rate_lent(self, lent: object, /) -> None:
        """Handles the part of the leader's share that it lends this follower, in requests and changes per second."""

    def records_revision(self) -> int | None:
        """Returns the store's revision up to which this leader has read the records; None if it is not valid."""

    def known_cancellations(self, revision: int | None, /) -> KnownCancellations:
        """Returns what a node adds to a quorum lease: cancellations that the leader, by its revision, may not know."""

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations, /) -> None:
        """Handles the cancellations that a peer added when it granted a quorum lease requested at `sent_at`."""

    def on_cancellations_announced(self, cancellations: object, /) -> bool:
        """Handles cancellations that a peer announces before it confirms them to a user.

        Returns whether this node is a valid leader.
        """

    def successor_hints(self) -> object:
        """Returns the hints for the next leader that this leader sends to its peers."""

    def on_successor_hints(self, hints: object, /) -> None:
        """Handles the hints for the next leader that the leader has sent."""


class NoPeerExchange:
    """The exchange of a node without other subsystems: adds nothing to messages and ignores what peers add."""

    def local_status(self) -> PeerStatus:
        """Returns an empty status, as programs that know no storage version do."""
        return PeerStatus()

    def on_peer_status(self, _peer: str, _status: PeerStatus, /) -> None:
        """Ignores the status."""

    def rate_demand(self) -> object:
        """Returns None: no demand."""
        return None

    def lend_rate(self, _peer: str, _demand: object, /) -> object:
        """Returns None: nothing is lent."""
        return None

    def on_rate_lent(self, _lent: object, /) -> None:
        """Ignores the lent rates."""

    def records_revision(self) -> int | None:
        """Returns None: no revision."""
        return None

    def known_cancellations(self, _revision: int | None, /) -> KnownCancellations:
        """Returns no cancellations, and that the list may be incomplete."""
        return KnownCancellations((), False)

    def on_known_cancellations(self, _peer: str, _sent_at: float, _known: KnownCancellations, /) -> None:
        """Ignores the cancellations."""

    def on_cancellations_announced(self, _cancellations: object, /) -> bool:
        """Returns False: this node does not lead."""
        return False

    def successor_hints(self) -> object:
        """Returns None: no hints."""
        return None

    def on_successor_hints(self, _hints: object, /) -> None:
        """Ignores the hints."""
