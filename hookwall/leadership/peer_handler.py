"""How a node responds to its peers: votes, quorum leases and the data that accompanies them.

Invariant: every message gets a response, even a malformed one. Nothing is granted before the vote fence permits it.
"""

import asyncio
from collections.abc import Callable

from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.peer_exchange import PeerExchange
from hookwall.leadership.peer_group import WireMessage
from hookwall.leadership.peer_observations import PeerObservations
from hookwall.leadership.roles import Role
from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import MessageKind, PeerMessage, PeerResponse
from hookwall.storage.client import KeyValueClient

RECENT_WORKER_HEARTBEAT_S = 3.0  # older worker heartbeats don't show that workers reach this node


class PeerMessageHandler:
    """Responds to messages from peers, with one method for each kind of message."""

    def __init__(
        self,
        state: LeadershipState,
        observations: PeerObservations,
        store: KeyValueClient,
        exchange: PeerExchange,
        probe_requested: asyncio.Event,
    ) -> None:
        self._state = state
        self._observations = observations
        self._store = store
        self._exchange = exchange
        self._probe_requested = probe_requested
        self._handlers: dict[str, Callable[[PeerMessage], PeerResponse]] = {
            MessageKind.HEARTBEAT: self._on_heartbeat,
            MessageKind.VOTE: self._on_vote,
            MessageKind.RELEASE_VOTE: self._on_release,
            MessageKind.STORE_CONTACT: self._on_store_contact,
            MessageKind.CANCELLATIONS: self._on_cancellations,
        }

    def handle(self, encoded: WireMessage) -> WireMessage:
        """Return the response to a peer's message, both in wire format."""
        message = peer_messages.decode_message(encoded)
        if message is None or message.sender == self._state.node_name:
            return peer_messages.encode_message(PeerResponse())
        if message.store_reachable is not None:
            self._observations.record_store_health(message.sender, message.store_reachable)
        self._exchange.on_peer_status(message.sender, message.sender_status())
        handler = self._handlers.get(message.kind)
        response = PeerResponse() if handler is None else handler(message)
        self._add_local_status(response)
        return peer_messages.encode_message(response)

    def _add_local_status(self, response: PeerResponse) -> None:
        """Add what every response reports about this node."""
        state = self._state
        workers_reach_this_node = state.clock() - state.last_worker_heartbeat_at < RECENT_WORKER_HEARTBEAT_S
        response.store_reachable = self._store.has_recent_response()
        response.highest_token = state.vote_grant.fencing_token
        response.heartbeat_count = state.worker_heartbeat_count if workers_reach_this_node else 0
        response.wanted_rates = self._exchange.rate_demand()
        status = self._exchange.local_status()
        response.storage_version = status.storage_version
        response.limits_lowered = status.limits_lowered

    def _on_heartbeat(self, message: PeerMessage) -> PeerResponse:
        """Respond to a leader's request for a quorum lease, or to a follower's heartbeat (fencing token 0)."""
        state = self._state
        fencing_token = message.fencing_token or 0
        if fencing_token <= 0:
            return PeerResponse()
        if not state.may_grant() or not state.vote_grant.renew_lease(message.sender, fencing_token):
            return PeerResponse(voted_to_replace=state.vote_grant.may_have_been_replaced(fencing_token))
        state.leader_contact_at = state.clock()
        if message.successor_hint is not None:
            self._exchange.on_successor_hints(message.successor_hint)
        if state.role is Role.FOLLOWER:
            self._exchange.on_rate_lent(message.lent_rates)
        known = self._exchange.known_cancellations(message.revision)
        if fencing_token > state.fencing_token and state.role.holds_leader_key():
            state.step_down("a peer leads with a newer fencing token")
        return PeerResponse(granted=True, cancellations=known.cancellations, cancellations_complete=known.complete)

    def _on_vote(self, message: PeerMessage) -> PeerResponse:
        """Respond to a candidate's vote request."""
        state = self._state
        if state.role.holds_leader_key() or not state.may_grant():
            return PeerResponse()
        granted = state.vote_grant.grant_vote(
            message.sender,
            message.replaces_version or 0,
            message.proves_leader_gone is not False,
            message.election or 0,
        )
        fence_version = state.vote_fence.version if state.vote_fence is not None else 0
        return PeerResponse(granted=granted, fence_version=fence_version)

    def _on_release(self, message: PeerMessage) -> PeerResponse:
        """Release the grant of a leader or candidate; a leader may name its successor."""
        state = self._state
        if message.fencing_token is not None:
            state.vote_grant.release(message.sender, message.fencing_token)
        if message.abandoned_election is not None:
            state.vote_grant.clear_replacement(message.sender, message.abandoned_election)
        if message.transfer_to == state.node_name:
            state.next_election_at = 0.0
        return PeerResponse(granted=True)

    def _on_store_contact(self, _message: PeerMessage) -> PeerResponse:
        """Report to a leader when the key-value store last responded to this node, and trigger an immediate probe."""
        self._probe_requested.set()
        if not self._store.healthy():
            return PeerResponse(store_contact_age_s=None)
        return PeerResponse(store_contact_age_s=self._state.clock() - self._store.last_response_at)

    def _on_cancellations(self, message: PeerMessage) -> PeerResponse:
        """Apply cancellations that a node announces before it confirms them to a user."""
        is_leader = self._exchange.on_cancellations_announced(message.cancellations)
        return PeerResponse(granted=True, cancellations_applied=True, is_leader=is_leader)
