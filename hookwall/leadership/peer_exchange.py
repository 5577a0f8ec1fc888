"""What other subsystems exchange with other nodes in the messages of leadership.

Heartbeats between nodes carry more than quorum leases: cancellations, lent request rates, hints to the next leader and
what each node's program knows. Invariant: leadership transports these and gives them no meaning; each reads what it
receives as input that may be malformed.
"""

from typing import Protocol

from hookwall.protocol.peer_messages import KnownCancellations, PeerStatus


class PeerExchange(Protocol):
    """What a node adds to its messages, and who receives what peers add."""

    def local_status(self) -> PeerStatus:
        """What this node reports of itself in every message."""

    def on_peer_status(self, peer: str, status: PeerStatus, /) -> None:
        """A peer has reported of itself."""

    def rate_demand(self) -> object:
        """Requests and changes a second that this node needs of the key-value store."""

    def lend_rate(self, peer: str, demand: object, /) -> object:
        """Requests and changes a second that this leader lends a peer of its share; `demand`: None if unknown."""

    def on_rate_lent(self, lent: object, /) -> None:
        """The leader lends this follower some of its share, in requests and changes a second."""

    def records_revision(self) -> int | None:
        """The store's revision up to which this leader has read the records; None if it is not valid."""

    def known_cancellations(self, revision: int | None, /) -> KnownCancellations:
        """What a node adds to a quorum lease: cancellations that the leader, by its revision, may not know."""

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations, /) -> None:
        """A peer has granted a quorum lease that was requested at `sent_at`, and added these cancellations."""

    def on_cancellations_announced(self, cancellations: object, /) -> bool:
        """A peer announces cancellations before it confirms them to a user. Whether this node is a valid leader."""

    def successor_hints(self) -> object:
        """What the next leader would want to know."""

    def on_successor_hints(self, hints: object, /) -> None:
        """The leader has sent what the next one would want to know."""


class NoPeerExchange:
    """For a node without other subsystems: adds nothing to messages and drops what peers add."""

    def local_status(self) -> PeerStatus:
        """Report nothing, as programs that know no storage version do."""
        return PeerStatus()

    def on_peer_status(self, _peer: str, _status: PeerStatus, /) -> None:
        """Drop it."""

    def rate_demand(self) -> object:
        """Report none."""
        return None

    def lend_rate(self, _peer: str, _demand: object, /) -> object:
        """Give nothing."""
        return None

    def on_rate_lent(self, _lent: object, /) -> None:
        """Drop it."""

    def records_revision(self) -> int | None:
        """Report none."""
        return None

    def known_cancellations(self, _revision: int | None, /) -> KnownCancellations:
        """Report none, and that there may be some."""
        return KnownCancellations((), False)

    def on_known_cancellations(self, _peer: str, _sent_at: float, _known: KnownCancellations, /) -> None:
        """Drop it."""

    def on_cancellations_announced(self, _cancellations: object, /) -> bool:
        """Report that this node does not lead."""
        return False

    def successor_hints(self) -> object:
        """Give nothing."""
        return None

    def on_successor_hints(self, _hints: object, /) -> None:
        """Drop it."""
