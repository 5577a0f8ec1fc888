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
        """Return what this node reports about itself in every message."""

    def on_peer_status(self, peer: str, status: PeerStatus, /) -> None:
        """Handle what a peer reports about itself."""

    def rate_demand(self) -> object:
        """Return the requests and changes per second that this node needs from the key-value store."""

    def lend_rate(self, peer: str, demand: object, /) -> object:
        """Return the requests and changes per second that this leader lends a peer from its share.

        `demand`: what the peer needs; None if unknown.
        """

    def on_rate_lent(self, lent: object, /) -> None:
        """Handle the part of the leader's share that it lends this follower, in requests and changes per second."""

    def records_revision(self) -> int | None:
        """Return the store's revision up to which this leader has read the records; None if it is not valid."""

    def known_cancellations(self, revision: int | None, /) -> KnownCancellations:
        """Return the cancellations to add to a granted quorum lease: those that the leader may not know.

        `revision`: the revision of the store up to which the leader has read the records; None if unknown.
        """

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations, /) -> None:
        """Handle the cancellations that a peer added when it granted a quorum lease requested at `sent_at`."""

    def on_cancellations_announced(self, cancellations: object, /) -> bool:
        """Handle cancellations that a peer announces before it confirms them to a user.

        Return whether this node is a valid leader.
        """

    def successor_hints(self) -> object:
        """Return the hints for the next leader that this leader sends to its peers."""

    def on_successor_hints(self, hints: object, /) -> None:
        """Handle the hints for the next leader that the leader has sent."""


class NoPeerExchange:
    """The exchange of a node without other subsystems: adds nothing to messages and ignores what peers add."""

    def local_status(self) -> PeerStatus:
        """Return an empty status, as programs that know no storage version do."""
        return PeerStatus()

    def on_peer_status(self, _peer: str, _status: PeerStatus, /) -> None:
        """Ignore the status."""

    def rate_demand(self) -> object:
        """Return None: no demand."""
        return None

    def lend_rate(self, _peer: str, _demand: object, /) -> object:
        """Return None: nothing is lent."""
        return None

    def on_rate_lent(self, _lent: object, /) -> None:
        """Ignore the lent rates."""

    def records_revision(self) -> int | None:
        """Return None: no revision."""
        return None

    def known_cancellations(self, _revision: int | None, /) -> KnownCancellations:
        """Return no cancellations, and that the list may be incomplete."""
        return KnownCancellations((), False)

    def on_known_cancellations(self, _peer: str, _sent_at: float, _known: KnownCancellations, /) -> None:
        """Ignore the cancellations."""

    def on_cancellations_announced(self, _cancellations: object, /) -> bool:
        """Return False: this node does not lead."""
        return False

    def successor_hints(self) -> object:
        """Return None: no hints."""
        return None

    def on_successor_hints(self, _hints: object, /) -> None:
        """Ignore the hints."""
