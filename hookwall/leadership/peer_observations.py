"""What a node's peers have reported about themselves, and when.

Invariant: each report is stored with the time at which it was received; its reader decides how old it may be.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.leadership.peer_exchange import PeerExchange
from hookwall.protocol.peer_messages import PeerResponse

RECENT_CONTACT_S = 3.0


class WorkerHeartbeatCount(NamedTuple):
    """The number of worker heartbeats that a peer reports; 0 if none reached it recently."""

    received_at: float
    heartbeats: int


class RateDemand(NamedTuple):
    """The requests and changes per second that a peer needs from the key-value store."""

    received_at: float
    demand: object


class PeerObservations:
    """The last reports of each peer, by the peer's name."""

    def __init__(self, clock: Callable[[], float], exchange: PeerExchange) -> None:
        self._clock = clock
        self._exchange = exchange
        self.contact_at: dict[str, float] = {}
        self.store_healthy_at: dict[str, float] = {}  # only peers that last reported that the store responds
        self.worker_heartbeats: dict[str, WorkerHeartbeatCount] = {}
        self.rate_demand: dict[str, RateDemand] = {}

    def record_response(self, peer: str, response: PeerResponse) -> None:
        """Record what every response of a peer reports."""
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

    def peers_with_recent_store_contact(self, now: float, within_s: float) -> list[str]:
        """Return the peers that reported within the last `within_s` seconds that the store responds to them."""
        return [peer for peer, at in self.store_healthy_at.items() if now - at < within_s]

    def peers_with_recent_worker_heartbeats(self, now: float, within_s: float) -> list[str]:
        """Return the peers that reported within the last `within_s` seconds that workers reach them."""
        reports = self.worker_heartbeats.items()
        return [peer for peer, report in reports if now - report.received_at < within_s and report.heartbeats > 0]

    def store_outage_is_shared(self) -> bool:
        """Whether peers respond and the store responds to none of them: an outage, not a fault of this node alone.

        A node without contact to its peers must treat the failure as its own. Otherwise, users with open connections
        to this node would get 503 for as long as the failure lasts.
        """
        now = self._clock()
        in_contact = any(now - at < RECENT_CONTACT_S for at in self.contact_at.values())
        return in_contact and not self.peers_with_recent_store_contact(now, RECENT_CONTACT_S)
