"""What this node's subsystems exchange with other nodes in leadership messages.

Invariant: each value goes to or comes from exactly one subsystem, and this module keeps no state of its own.
"""

from collections.abc import Callable

from hookwall.jobs.cancellations import CancellationLedger
from hookwall.protocol.peer_messages import KnownCancellations, PeerStatus
from hookwall.storage.rate_shares import RateShares
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.workers.successor_hints import SuccessorHints


class NodePeerExchange:
    """Connects leadership messages with the subsystems that use them (`leadership.peer_exchange.PeerExchange`).

    The cancellation ledger is constructed after leadership, on which it depends, so it is looked up for each message.
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
        """The newest storage version that this program supports, and whether this node has seen lower store limits."""
        return PeerStatus(self._storage_version().current_version, self._rate_shares.has_seen_lower_limits())

    def on_peer_status(self, peer: str, status: PeerStatus) -> None:
        """Record the status that a peer reports; older programs report nothing."""
        self._storage_version().record_reported_version(peer, status.storage_version)
        if status.limits_lowered:
            self._rate_shares.apply_lower_limits(f"{peer} reported lower limits")

    def rate_demand(self) -> object:
        """The demand of this node on the key-value store, in requests and changes per second."""
        return self._rate_shares.demand.rates_per_s()

    def lend_rate(self, peer: str, demand: object) -> object:
        """The part of its share that this leader lends to a peer, in requests and changes per second."""
        return self._rate_shares.lend_rates(peer, demand)

    def on_rate_lent(self, lent: object) -> None:
        """Use the rates that the leader lends to this follower from the leader's share."""
        self._rate_shares.borrow_rates(lent)

    def records_revision(self) -> int | None:
        """The revision up to which this leader has read the records; None if this node is not a valid leader."""
        return self._cancellations().records_revision()

    def known_cancellations(self, revision: int | None) -> KnownCancellations:
        """Cancellations that a leader that has read the records up to `revision` may not know."""
        return self._cancellations().known_cancellations(revision)

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations) -> None:
        """Apply the cancellations that a peer has attached to its grant of a quorum lease requested at `sent_at`."""
        self._cancellations().on_known_cancellations(peer, sent_at, known)

    def on_cancellations_announced(self, cancellations: object) -> bool:
        """Apply cancellations that a peer announces before it confirms them to a user.

        Return True if this node is a valid leader.
        """
        return self._cancellations().on_cancellations_announced(cancellations)

    def successor_hints(self) -> object:
        """Hints about cached images and arrival rates for the next leader."""
        return self._hints.next_message()

    def on_successor_hints(self, hints: object) -> None:
        """Store the hints that the current leader has sent for the next leader."""
        self._hints.apply_message(hints)
