"""Heartbeats between nodes: a leader asks for support with them, a follower says that it is there."""

import asyncio
from typing import TYPE_CHECKING

from hookwall.leadership.peer_transport import Peer
from hookwall.leadership.roles import Mode
from hookwall.protocol.peer_messages import Kind, PeerAnswer, PeerMessage, ToldCancellations

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

PING_S = 1.0
PING_WAIT_S = 1.5  # for the answer of one peer
HINT_EVERY = 5  # pings


class Heartbeat:
    """Sends them while the node runs."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead

    async def ping(self, peer: Peer, hint: object = None) -> None:
        """One message to a peer, and what its answer tells."""
        leading = self.lead.role.leads()
        token = self.lead.token if leading else 0
        sent = self.lead.clock()
        about = self.lead.about()
        message = PeerMessage(
            kind=Kind.PING, node=self.lead.me, token=token, state_ok=self.lead.store.fresh(), format=about.format,
            lowered=about.lowered,
        )  # fmt: skip
        if leading:
            message.hint = hint
            at, want = self.lead.peer_want.get(peer.name, (-1e9, None))
            message.lent = self.lead.lend(peer.name, want if sent - at < 2.0 * PING_S else None)
            message.position = self.lead.say()
        answer = await self.lead.ask(peer, message, timeout=PING_WAIT_S)
        if answer is None:
            return
        self.lead.note_answer(peer, answer)
        if token and token == self.lead.token and self.lead.role.leads():
            self._take_answer(peer, token, sent, answer)

    def _take_answer(self, peer: Peer, token: int, sent: float, answer: PeerAnswer) -> None:
        """Whether the peer supports this leader."""
        if answer.ok:
            # What the promise carries is applied before it counts.
            self.lead.on_reply(peer.name, sent, ToldCancellations(answer.cancelled, answer.complete is True))
            self.lead.note_lapse()
            self.lead.acks[peer.name] = max(sent, self.lead.acks.get(peer.name, -1e9))
        elif answer.top is not None and answer.top > token:
            self.lead.step_down(f"{peer.name} knows a newer token")
        elif answer.replaced is True:
            # It never supports this token again, so a new one is needed, if the key was not replaced after all.
            self.lead.step_down(f"{peer.name} has voted to replace this key")
            self.lead.next_try = self.lead.clock()

    async def run(self) -> None:
        """Tell each peer, every second, that this node is there, or that it leads."""
        turn = 0
        while True:
            leading = self.lead.role.leads()
            # The hint grows with the fleet, so it is told now and then, and put together once for all.
            hint = self.lead.hint() if leading and turn % HINT_EVERY == 0 else None
            turn += 1
            for peer in self.lead.peers:
                self.lead.later(self.ping(peer, hint))
            if leading:
                self.lead.note_lapse()
            supported = leading and self.lead.promise.renew(self.lead.me, self.lead.token)
            if leading and not supported and self.lead.mode is Mode.PROMISE:
                self.lead.step_down("own promise is with another node")
            await asyncio.sleep(PING_S)
