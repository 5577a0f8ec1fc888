"""What a node's peers have reported of themselves, and when.

Invariant: everything here carries the time at which it was received; whoever uses it decides how old it may be.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.leadership.peer_exchange import PeerExchange
from hookwall.protocol.peer_messages import PeerResponse

RECENT_CONTACT_S = 3.0


class WorkerHeartbeatCount(NamedTuple):
    """How many worker heartbeats reached a peer lately."""

    received_at: float
    heartbeats: int


class RateDemand(NamedTuple):
    """Requests and changes a second that a peer needs of the key-value store."""

    received_at: float
    demand: object


class PeerObservations:
    """The last reports of each peer, by its name."""

    def __init__(self, clock: Callable[[], float], exchange: PeerExchange) -> None:
        self._clock = clock
        self._exchange = exchange
        self.contact_at: dict[str, float] = {}
        self.store_healthy_at: dict[str, float] = {}  # only peers whose last report was that the store responds
        self.worker_heartbeats: dict[str, WorkerHeartbeatCount] = {}
        self.rate_demand: dict[str, RateDemand] = {}

    def record_response(self, peer: str, response: PeerResponse) -> None:
        """Record what any response of a peer reports."""
        now = self._clock()
        self.contact_at[peer] = now
        self._exchange.on_peer_status(peer, response.sender_status())
        self.record_store_health(peer, response.store_reachable)
        self.rate_demand[peer] = RateDemand(now, response.wanted_rates)
        if response.heartbeat_count is not None:
            self.worker_heartbeats[peer] = WorkerHeartbeatCount(now, response.heartbeat_count)

    def record_store_health(self, peer: str, healthy: bool) -> None:
        """Record whether the key-value store responds to a peer."""
        if healthy:
            self.store_healthy_at[peer] = self._clock()
        else:
            self.store_healthy_at.pop(peer, None)

    def with_recent_store_contact(self, now: float, within_s: float) -> list[str]:
        """The peers to whom the store responded, as they reported within so many seconds."""
        return [peer for peer, at in self.store_healthy_at.items() if now - at < within_s]

    def with_recent_worker_heartbeats(self, now: float, within_s: float) -> list[str]:
        """The peers that workers reach, as they reported within so many seconds."""
        reports = self.worker_heartbeats.items()
        return [peer for peer, report in reports if now - report.received_at < within_s and report.heartbeats > 0]

    def store_outage_is_shared(self) -> bool:
        """Whether peers respond and the store responds to none of them: an outage, not this node's own trouble.

        A node without contact to its peers has to count its trouble as its own, or users with open connections to it
        would get 503 for as long as it lasts.
        """
        now = self._clock()
        in_contact = any(now - at < RECENT_CONTACT_S for at in self.contact_at.values())
        return in_contact and not self.with_recent_store_contact(now, RECENT_CONTACT_S)
