"""Heartbeats between nodes: a leader requests quorum leases with them, a follower shows that it is alive.

Invariant: a quorum lease counts from when its request was sent, and it counts only after the data that the response
carries has been applied.
"""

import asyncio

from hookwall.leadership.instants import DISTANT_PAST
from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.peer_exchange import PeerExchange
from hookwall.leadership.peer_group import Peer, PeerGroup
from hookwall.leadership.peer_observations import PeerObservations
from hookwall.leadership.roles import LeaseMode
from hookwall.protocol.peer_messages import KnownCancellations, MessageKind, PeerMessage, PeerResponse
from hookwall.storage.client import KeyValueClient

HEARTBEAT_INTERVAL_S = 1.0
RESPONSE_TIMEOUT_S = 1.5
RECENT_DEMAND_S = 2.0 * HEARTBEAT_INTERVAL_S  # a peer's demand that is older than this counts as unknown
HEARTBEATS_PER_HINT = 5


class PeerHeartbeat:
    """Sends heartbeats to all peers while the node runs."""

    def __init__(
        self,
        state: LeadershipState,
        peers: PeerGroup,
        observations: PeerObservations,
        store: KeyValueClient,
        exchange: PeerExchange,
    ) -> None:
        self._state = state
        self._peers = peers
        self._observations = observations
        self._store = store
        self._exchange = exchange

    async def run(self) -> None:
        """Send a heartbeat to each peer every second, and renew the quorum lease that a leader grants itself."""
        state = self._state
        heartbeat_number = 0
        while True:
            leading = state.role.holds_leader_key()
            # The size of the hint grows with the fleet, so only some heartbeats carry it, and it is built once for all
            # peers.
            hint = self._exchange.successor_hints() if leading and heartbeat_number % HEARTBEATS_PER_HINT == 0 else None
            heartbeat_number += 1
            self.send_to_all(hint)
            if leading:
                self._renew_own_lease()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send_to_all(self, hint: object = None) -> None:
        """Send one heartbeat to each peer, in the background."""
        for peer in self._peers:
            self._peers.spawn(self.send(peer, hint))

    async def send(self, peer: Peer, hint: object = None) -> None:
        """Send one heartbeat to a peer and apply its response."""
        state = self._state
        fencing_token = state.fencing_token if state.role.holds_leader_key() else 0
        sent_at = state.clock()
        message = self._message(peer, fencing_token, sent_at, hint)
        response = await self._peers.call(peer, message, timeout_s=RESPONSE_TIMEOUT_S)
        if response is None:
            return
        self._observations.record_response(peer.name, response)
        if fencing_token and fencing_token == state.fencing_token and state.role.holds_leader_key():
            self._apply_lease_response(peer, fencing_token, sent_at, response)

    def _message(self, peer: Peer, fencing_token: int, sent_at: float, hint: object) -> PeerMessage:
        """Return the heartbeat for a peer; a leader's heartbeat includes the data of other subsystems."""
        status = self._exchange.local_status()
        message = PeerMessage(
            kind=MessageKind.HEARTBEAT,
            sender=self._state.node_name,
            fencing_token=fencing_token,
            store_reachable=self._store.has_recent_response(),
            storage_version=status.storage_version,
            limits_lowered=status.limits_lowered,
        )
        if self._state.role.holds_leader_key():
            message.successor_hint = hint
            message.lent_rates = self._exchange.lend_rate(peer.name, self._recent_demand(peer, sent_at))
            message.revision = self._exchange.records_revision()
        return message

    def _recent_demand(self, peer: Peer, now: float) -> object:
        """Return the rates that a peer last reported to need from the store; None if the report is too old."""
        last = self._observations.rate_demand.get(peer.name)
        return last.demand if last is not None and now - last.received_at < RECENT_DEMAND_S else None

    def _apply_lease_response(self, peer: Peer, fencing_token: int, sent_at: float, response: PeerResponse) -> None:
        """Apply a peer's response to the request for its quorum lease."""
        state = self._state
        if response.granted:
            # The cancellations in the response are applied before the lease counts.
            known = KnownCancellations(response.cancellations, response.cancellations_complete is True)
            self._exchange.on_known_cancellations(peer.name, sent_at, known)
            state.report_validity_lapse()
            state.quorum_acks[peer.name] = max(sent_at, state.quorum_acks.get(peer.name, DISTANT_PAST))
        elif response.highest_token is not None and response.highest_token > fencing_token:
            state.step_down(f"{peer.name} knows a newer fencing token")
        elif response.voted_to_replace is True:
            # The peer will not grant a lease for this fencing token again. If the key has not been replaced after all,
            # this node needs a new fencing token.
            state.step_down(f"{peer.name} has voted to replace this leader key")
            state.next_election_at = state.clock()

    def _renew_own_lease(self) -> None:
        """Renew the quorum lease that a leader grants itself; step down if another node holds this node's grant."""
        state = self._state
        state.report_validity_lapse()
        granted = state.vote_grant.renew_lease(state.node_name, state.fencing_token)
        if not granted and state.lease_mode is LeaseMode.QUORUM_LEASE:
            state.step_down("this node's quorum lease is granted to another node")
