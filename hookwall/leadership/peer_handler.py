"""How a node answers its peers: support for a leader or candidate, and what goes with it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hookwall.leadership.roles import Role
from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import Kind, PeerAnswer, PeerMessage

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

RECENT_BEAT_S = 3.0  # reports that came longer ago don't show that workers reach this node


class PeerAnswers:
    """One answer for each kind of message."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead

    def handle(self, raw: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer."""
        message = peer_messages.decode_message(raw)
        if message is None or message.node == self.lead.me:
            return peer_messages.encode(PeerAnswer())
        if message.state_ok:
            self.lead.peer_state_ok[message.node] = self.lead.clock()
        elif message.state_ok is not None:
            self.lead.peer_state_ok.pop(message.node, None)
        self.lead.on_about(message.node, message.about())
        answers: dict[str, Callable[[PeerMessage], PeerAnswer]] = {
            Kind.PING: self._on_ping, Kind.VOTE: self._on_vote, Kind.RELEASE: self._on_release, Kind.FIT: self._on_fit,
            Kind.CANCELLED: self._on_cancelled,
        }  # fmt: skip
        take = answers.get(message.kind)
        answer = PeerAnswer() if take is None else take(message)
        answer.state_ok, answer.top = self.lead.store.fresh(), self.lead.promise.token
        answer.beats = self.lead.beats_seen if self.lead.clock() - self.lead.last_beat < RECENT_BEAT_S else 0
        answer.want = self.lead.want()
        about = self.lead.about()
        answer.format, answer.lowered = about.format, about.lowered
        return peer_messages.encode(answer)

    def _on_ping(self, message: PeerMessage) -> PeerAnswer:
        """A leader asks for support; a follower says that it is there."""
        token = message.token or 0
        if token <= 0:
            return PeerAnswer()
        if not self.lead.may_support() or not self.lead.promise.renew(message.node, token):
            return PeerAnswer(replaced=self.lead.promise.replaced(token))
        self.lead.leader_heard = self.lead.clock()
        if message.hint is not None:
            self.lead.on_hint(message.hint)
        if self.lead.role is Role.FOLLOWER:
            self.lead.on_lent(message.lent)
        told = self.lead.reply(message.position)
        if token > self.lead.token and self.lead.role.leads():
            self.lead.step_down("a peer leads with a newer token")
        return PeerAnswer(ok=True, cancelled=told.jobs, complete=told.complete)

    def _on_vote(self, message: PeerMessage) -> PeerAnswer:
        """A candidate asks for support."""
        if self.lead.role.leads() or not self.lead.may_support():
            return PeerAnswer()
        dead = message.dead is not False
        voted = self.lead.promise.vote(message.node, message.replaces or 0, dead, message.campaign or 0)
        return PeerAnswer(ok=voted, fence=self.lead.fence.stamp if self.lead.fence is not None else 0)

    def _on_release(self, message: PeerMessage) -> PeerAnswer:
        """A leader gives support back, and may name who is to lead next."""
        if message.token is not None:
            self.lead.promise.release(message.node, message.token)
        if message.unwritten is not None:
            self.lead.promise.not_replaced(message.node, message.unwritten)
        if message.resign == self.lead.me:
            self.lead.next_try = 0.0
        return PeerAnswer(ok=True)

    def _on_fit(self, message: PeerMessage) -> PeerAnswer:
        """A leader asks whether the state service answers this node; it is asked at once."""
        self.lead.probe_now.set()
        return PeerAnswer(age=self.lead.clock() - self.lead.store.last_ok if self.lead.store.healthy() else None)

    def _on_cancelled(self, message: PeerMessage) -> PeerAnswer:
        """A node tells of cancellations for its user's sake."""
        return PeerAnswer(ok=True, knows=True, leads=self.lead.on_told(message.jobs))
