"""How a node answers its peers: support for a leader or candidate, and what goes with it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hookwall.leadership.roles import Role
from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import MessageKind, PeerMessage, PeerResponse

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

RECENT_BEAT_S = 3.0  # reports that came longer ago don't show that workers reach this node


class PeerMessageHandler:
    """One answer for each kind of message."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead

    def handle(self, raw: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer."""
        message = peer_messages.decode_message(raw)
        if message is None or message.sender == self.lead.node_name:
            return peer_messages.encode_message(PeerResponse())
        if message.store_reachable:
            self.lead.peer_store_healthy_at[message.sender] = self.lead.clock()
        elif message.store_reachable is not None:
            self.lead.peer_store_healthy_at.pop(message.sender, None)
        self.lead.on_peer_status(message.sender, message.sender_status())
        answers: dict[str, Callable[[PeerMessage], PeerResponse]] = {
            MessageKind.HEARTBEAT: self._on_ping,
            MessageKind.VOTE: self._on_vote,
            MessageKind.RELEASE_VOTE: self._on_release,
            MessageKind.STORE_CONTACT: self._on_fit,
            MessageKind.CANCELLATIONS: self._on_cancelled,
        }
        take = answers.get(message.kind)
        answer = PeerResponse() if take is None else take(message)
        answer.store_reachable, answer.highest_token = (
            self.lead.store.has_recent_response(),
            self.lead.vote_grant.fencing_token,
        )
        answer.heartbeat_count = (
            self.lead.worker_heartbeats_seen
            if self.lead.clock() - self.lead.last_worker_heartbeat_at < RECENT_BEAT_S
            else 0
        )
        answer.wanted_rates = self.lead.rate_demand()
        about = self.lead.local_status()
        answer.storage_version, answer.limits_lowered = about.storage_version, about.limits_lowered
        return peer_messages.encode_message(answer)

    def _on_ping(self, message: PeerMessage) -> PeerResponse:
        """A leader asks for support; a follower says that it is there."""
        token = message.fencing_token or 0
        if token <= 0:
            return PeerResponse()
        if not self.lead.may_grant() or not self.lead.vote_grant.renew_lease(message.sender, token):
            return PeerResponse(voted_to_replace=self.lead.vote_grant.may_be_replaced(token))
        self.lead.leader_contact_at = self.lead.clock()
        if message.successor_hint is not None:
            self.lead.on_successor_hints(message.successor_hint)
        if self.lead.role is Role.FOLLOWER:
            self.lead.on_rate_lent(message.lent_rates)
        told = self.lead.known_cancellations(message.revision)
        if token > self.lead.fencing_token and self.lead.role.holds_leader_key():
            self.lead.step_down("a peer leads with a newer token")
        return PeerResponse(granted=True, cancellations=told.cancellations, cancellations_complete=told.complete)

    def _on_vote(self, message: PeerMessage) -> PeerResponse:
        """A candidate asks for support."""
        if self.lead.role.holds_leader_key() or not self.lead.may_grant():
            return PeerResponse()
        dead = message.proves_leader_gone is not False
        voted = self.lead.vote_grant.grant_vote(
            message.sender, message.replaces_version or 0, dead, message.election or 0
        )
        return PeerResponse(
            granted=voted, fence_version=self.lead.vote_fence.version if self.lead.vote_fence is not None else 0
        )

    def _on_release(self, message: PeerMessage) -> PeerResponse:
        """A leader gives support back, and may name who is to lead next."""
        if message.fencing_token is not None:
            self.lead.vote_grant.release(message.sender, message.fencing_token)
        if message.abandoned_election is not None:
            self.lead.vote_grant.clear_replacement(message.sender, message.abandoned_election)
        if message.transfer_to == self.lead.node_name:
            self.lead.next_election_at = 0.0
        return PeerResponse(granted=True)

    def _on_fit(self, message: PeerMessage) -> PeerResponse:
        """A leader asks whether the state service answers this node; it is asked at once."""
        self.lead.probe_requested.set()
        return PeerResponse(
            store_contact_age_s=self.lead.clock() - self.lead.store.last_response_at
            if self.lead.store.healthy()
            else None
        )

    def _on_cancelled(self, message: PeerMessage) -> PeerResponse:
        """A node tells of cancellations for its user's sake."""
        return PeerResponse(
            granted=True,
            cancellations_applied=True,
            is_leader=self.lead.on_cancellations_announced(message.cancellations),
        )
