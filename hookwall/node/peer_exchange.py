"""What this node's subsystems exchange with other nodes in the messages of leadership.

Invariant: each value goes to or comes from exactly one subsystem, and nothing here keeps state of its own.
"""

from collections.abc import Callable

from hookwall.jobs.cancellations import CancellationLedger
from hookwall.protocol.peer_messages import KnownCancellations, PeerStatus
from hookwall.storage.rate_shares import RateShares
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.workers.successor_hints import SuccessorHints


class NodePeerExchange:
    """Connects leadership's messages with the subsystems that use them (`leadership.peer_exchange.PeerExchange`).

    The ledger of cancellations is made after leadership, which it needs, so it is looked up at each message.
    """

    def __init__(
        self,
        storage_version: Callable[[], StorageVersionGate],
        rate_shares: RateShares,
        hints: SuccessorHints,
        cancellations: Callable[[], CancellationLedger],
    ) -> None:
        self._storage_version = storage_version
        self._rate_shares = rate_shares
        self._hints = hints
        self._cancellations = cancellations

    def local_status(self) -> PeerStatus:
        """The newest storage version that this program knows, and whether lower store limits were seen in force."""
        return PeerStatus(self._storage_version().current_version, self._rate_shares.has_seen_lower_limits())

    def on_peer_status(self, peer: str, status: PeerStatus) -> None:
        """Record what a peer reports of itself; older programs report nothing."""
        self._storage_version().record_reported_version(peer, status.storage_version)
        if status.limits_lowered:
            self._rate_shares.apply_lower_limits(f"{peer} says so")

    def rate_demand(self) -> object:
        """Requests and changes a second that this node needs of the key-value store."""
        return self._rate_shares.demand.rates_per_s()

    def lend_rate(self, peer: str, demand: object) -> object:
        """Requests and changes a second that this leader lends a peer of its share."""
        return self._rate_shares.lend_rates(peer, demand)

    def on_rate_lent(self, lent: object) -> None:
        """The leader lends this follower some of its share."""
        self._rate_shares.borrow_rates(lent)

    def records_revision(self) -> int | None:
        """The revision up to which this leader has read the records; None if it is not valid."""
        return self._cancellations().records_revision()

    def known_cancellations(self, revision: int | None) -> KnownCancellations:
        """Cancellations that the leader, by its revision, may not know."""
        return self._cancellations().known_cancellations(revision)

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations) -> None:
        """A peer has granted a quorum lease, and added these cancellations."""
        self._cancellations().on_known_cancellations(peer, sent_at, known)

    def on_cancellations_announced(self, cancellations: object) -> bool:
        """A peer announces cancellations before it confirms them to a user. Whether this node is a valid leader."""
        return self._cancellations().on_cancellations_announced(cancellations)

    def successor_hints(self) -> object:
        """What the next leader would want to know of cached images and arrival rates."""
        return self._hints.next_message()

    def on_successor_hints(self, hints: object) -> None:
        """The leader has sent what the next one would want to know."""
        self._hints.apply_message(hints)
