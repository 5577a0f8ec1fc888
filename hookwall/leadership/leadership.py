"""One node's leadership: the state machine (`leadership_state`) with the loops and messages that drive it.

Invariant: every change of role, fencing token or lease is made by a method of `LeadershipState`; the parts combined
here only decide when such a method is called.
"""

import asyncio
from collections.abc import Awaitable, Callable

from hookwall.leadership.election import Election
from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.leadership_transfer import LeadershipTransfer
from hookwall.leadership.peer_exchange import NoPeerExchange, PeerExchange
from hookwall.leadership.peer_group import Peer, PeerGroup, WireMessage
from hookwall.leadership.peer_handler import PeerMessageHandler
from hookwall.leadership.peer_heartbeat import PeerHeartbeat
from hookwall.leadership.peer_observations import PeerObservations, RateDemand
from hookwall.leadership.roles import Role
from hookwall.leadership.session_lease import SessionLeaseRenewal
from hookwall.leadership.store_probe import StoreProbe
from hookwall.protocol.peer_messages import PeerMessage, PeerResponse
from hookwall.storage.client import KeyValueClient

CHECK_INTERVAL_S = 0.2  # between two checks for due elections, renewals and transfers
START_DELAY_PER_RANK_S = 0.2


def _ignore_lapse() -> None:
    """Do nothing; the default for nodes on which nothing depends on uninterrupted validity."""


class Leadership(LeadershipState):
    """The leadership state machine of one node, and the parts that drive it.

    `rebuild_state` is awaited by a new leader before it acts as leader; `on_role_change` is called with each new role;
    `on_validity_lapse` is called if validity has ended, before it is extended again. `fence_votes`: whether this node
    has a vote fence; if it has one, the fence's loop (`vote_fence.establish`) must run.
    """

    def __init__(
        self,
        node_name: str,
        node_count: int,
        peers: list[Peer],
        store: KeyValueClient,
        clock: Callable[[], float],
        rebuild_state: Callable[[], Awaitable[None]],
        on_role_change: Callable[[Role], None],
        *,
        on_validity_lapse: Callable[[], None] = _ignore_lapse,
        exchange: PeerExchange | None = None,
        fence_votes: bool = False,
    ) -> None:
        super().__init__(node_name, node_count, store, clock, on_role_change, on_validity_lapse, fence_votes)
        self.exchange: PeerExchange = exchange if exchange is not None else NoPeerExchange()
        self.peers = peers
        self.peer_group = PeerGroup(peers)
        self.rank = sorted([node_name, *[peer.name for peer in peers]]).index(node_name)
        self.peer_observations = PeerObservations(clock, self.exchange)
        self.store_probe = StoreProbe(self, store)
        self.session_lease_renewal = SessionLeaseRenewal(self, store)
        self.peer_heartbeat = PeerHeartbeat(self, self.peer_group, self.peer_observations, store, self.exchange)
        self.peer_handler = PeerMessageHandler(
            self, self.peer_observations, store, self.exchange, self.store_probe.requested
        )
        self.election = Election(
            self, self.peer_group, self.peer_observations, store, self.peer_heartbeat, rebuild_state, self.rank
        )
        self.leadership_transfer = LeadershipTransfer(self, self.peer_group, self.peer_observations, store)

    def handle_peer_message(self, encoded: WireMessage) -> WireMessage:
        """Return the response to a peer's message, both in wire format."""
        return self.peer_handler.handle(encoded)

    async def resign(self, reason: str) -> None:
        """Stop leading, for the given reason, and leave the leadership to another node if there is one."""
        await self.leadership_transfer.resign(reason)

    def call_all_peers(self, message: PeerMessage, timeout_s: float) -> list[asyncio.Task[PeerResponse | None]]:
        """Send a message to all peers; return one task for each, whose result is the response or None."""
        return self.peer_group.call_all(message, timeout_s)

    def record_peer_response(self, peer: Peer, response: PeerResponse) -> None:
        """Record what every response of a peer reports."""
        self.peer_observations.record_response(peer.name, response)

    @property
    def peer_rate_demand(self) -> dict[str, RateDemand]:
        """The rates that each peer last reported to need from the key-value store."""
        return self.peer_observations.rate_demand

    async def run(self, heartbeats_expected: Callable[[], bool]) -> None:
        """Run elections while no node leads; as leader, renew the session lease and check this node's fitness."""
        await asyncio.sleep(START_DELAY_PER_RANK_S * self.rank)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.role is Role.FOLLOWER and self.election.may_start():
                await self.election.run_once()
            if self.role is Role.LEADER:
                await self.session_lease_renewal.renew_if_due(self.clock())
            if self.role is Role.LEADER:
                await self.leadership_transfer.check_fitness(self.clock(), heartbeats_expected())
