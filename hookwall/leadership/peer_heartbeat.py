"""Heartbeats between nodes: a leader asks for support with them, a follower says that it is there."""

import asyncio
from typing import TYPE_CHECKING

from hookwall.leadership.peer_transport import PeerConnection
from hookwall.leadership.roles import LeaseMode
from hookwall.protocol.peer_messages import KnownCancellations, MessageKind, PeerMessage, PeerResponse

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

HEARTBEAT_INTERVAL_S = 1.0
PING_WAIT_S = 1.5  # for the answer of one peer
HINT_EVERY = 5  # pings


class PeerHeartbeat:
    """Sends them while the node runs."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead

    async def send(self, peer: PeerConnection, hint: object = None) -> None:
        """One message to a peer, and what its answer tells."""
        leading = self.lead.role.holds_leader_key()
        token = self.lead.fencing_token if leading else 0
        sent = self.lead.clock()
        about = self.lead.local_status()
        message = PeerMessage(
            kind=MessageKind.HEARTBEAT,
            sender=self.lead.node_name,
            fencing_token=token,
            store_reachable=self.lead.store.has_recent_response(),
            storage_version=about.storage_version,
            limits_lowered=about.limits_lowered,
        )
        if leading:
            message.successor_hint = hint
            at, want = self.lead.peer_rate_demand.get(peer.name, (-1e9, None))
            message.lent_rates = self.lead.lend_rate(
                peer.name, want if sent - at < 2.0 * HEARTBEAT_INTERVAL_S else None
            )
            message.revision = self.lead.records_revision()
        answer = await self.lead.call_peer(peer, message, timeout=PING_WAIT_S)
        if answer is None:
            return
        self.lead.record_peer_answer(peer, answer)
        if token and token == self.lead.fencing_token and self.lead.role.holds_leader_key():
            self._take_answer(peer, token, sent, answer)

    def _take_answer(self, peer: PeerConnection, token: int, sent: float, answer: PeerResponse) -> None:
        """Whether the peer supports this leader."""
        if answer.granted:
            # What the promise carries is applied before it counts.
            self.lead.on_known_cancellations(
                peer.name, sent, KnownCancellations(answer.cancellations, answer.cancellations_complete is True)
            )
            self.lead.report_validity_lapse()
            self.lead.quorum_acks[peer.name] = max(sent, self.lead.quorum_acks.get(peer.name, -1e9))
        elif answer.highest_token is not None and answer.highest_token > token:
            self.lead.step_down(f"{peer.name} knows a newer token")
        elif answer.voted_to_replace is True:
            # It never supports this token again, so a new one is needed, if the key was not replaced after all.
            self.lead.step_down(f"{peer.name} has voted to replace this key")
            self.lead.next_election_at = self.lead.clock()

    async def run(self) -> None:
        """Tell each peer, every second, that this node is there, or that it leads."""
        turn = 0
        while True:
            leading = self.lead.role.holds_leader_key()
            # The hint grows with the fleet, so it is told now and then, and put together once for all.
            hint = self.lead.successor_hints() if leading and turn % HINT_EVERY == 0 else None
            turn += 1
            for peer in self.lead.peers:
                self.lead.spawn(self.send(peer, hint))
            if leading:
                self.lead.report_validity_lapse()
            supported = leading and self.lead.vote_grant.renew_lease(self.lead.node_name, self.lead.fencing_token)
            if leading and not supported and self.lead.lease_mode is LeaseMode.QUORUM_LEASE:
                self.lead.step_down("own promise is with another node")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
