"""Who may command: one leader, and what fences it.

The leader is named by a key attached to a hold in the state service. The stamp of that key is the
token, so tokens only rise, and each write of the leader is conditional on it. Without the key nobody
is valid: a leader counts its hold from *sending* the last renewal that succeeded, less drift.

The key says in which of two modes its leader is valid:

- `promise`: while a majority of nodes has promised support, counted from sending the request, and the
  long hold can't have ended. A node that promised supports no other for PROMISE_S, so such a leader
  may be replaced, key or no key, once a majority is free; and an outage of the state service, which
  nobody can use to take over, does not end its leadership.
- `hold`: while its short hold can't have ended, whatever peers say. This is for nodes that do not
  reach each other (a packet filter between them leaves all else working). Nobody replaces such a
  leader before its key is gone.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from hookwall.config.clock_bounds import DRIFT, SLACK_S
from hookwall.leadership.election import Campaign, hold_s
from hookwall.leadership.leader_key import LeaderKey
from hookwall.leadership.leadership_transfer import Handover
from hookwall.leadership.peer_handler import PeerAnswers
from hookwall.leadership.peer_heartbeat import Heartbeat
from hookwall.leadership.peer_transport import Peer
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.vote_fence import VoterFence
from hookwall.leadership.vote_grant import PROMISE_S, Promise
from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import About, PeerAnswer, PeerMessage, ToldCancellations
from hookwall.storage import keys
from hookwall.storage.client import KeyState, Refused, Store, Unknown

log = logging.getLogger(__name__)

RENEW_HOLD_S = {Mode.PROMISE: 5.0, Mode.HOLD: 2.0}


class Leadership:
    """The state machine of one node's part in leading."""

    def __init__(
        self,
        me: str,
        size: int,
        peers: list[Peer],
        store: Store,
        clock: Callable[[], float],
        load: Callable[[], Awaitable[None]],
        on_change: Callable[[Role], None],
    ) -> None:
        self.me, self.peers, self.store, self.clock = me, peers, store, clock
        self.incarnation = random.SystemRandom().getrandbits(48)
        self.majority = size // 2 + 1
        self.promise = Promise(me, clock)
        self.load, self.on_change = load, on_change
        self.role = Role.FOLLOWER
        self.token = 0
        self.mode = Mode.PROMISE
        self.hold: int | None = None
        self.hold_until = -1e9
        self.extended_at = -1e9
        self.acks: dict[str, float] = {}
        self.since = -1e9
        self.first = False  # whether there was no leader key: nobody has led for a hold's time
        self.key = LeaderKey(clock)
        self.leader_heard = clock()  # when the node that the key names last asked for this one's support
        self.peer_state_ok: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        self.peer_beats: dict[str, tuple[float, int]] = {}
        self.beats_seen = 0  # reports that reached this node lately, whoever leads
        self.last_beat = -1e9
        self.want: Callable[[], object] = lambda: None  # what this node wants of the state service
        self.lend: Callable[[str, object], object] = lambda peer, want: None  # what this leader lends of its share
        self.on_lent: Callable[[object], None] = lambda _: None
        # Beside promises (cancellations.py): the position that a leader says it has read, what a supporter tells
        # with its promise, what that tells the leader, and cancellations told for a user's sake.
        self.say: Callable[[], int | None] = lambda: None
        self.reply: Callable[[int | None], ToldCancellations] = lambda position: ToldCancellations((), False)
        self.on_reply: Callable[[str, float, ToldCancellations], None] = lambda peer, sent, told: None
        self.on_told: Callable[[object], bool] = lambda jobs: False
        # What a node says of itself in every message, and what that tells.
        self.about: Callable[[], About] = About
        self.on_about: Callable[[str, About], None] = lambda node, about: None
        self.peer_want: dict[str, tuple[float, object]] = {}
        self.on_lapse: Callable[[], None] = lambda: None  # its validity has ended for a while
        self.hint: Callable[[], object] = lambda: None
        self.on_hint: Callable[[object], None] = lambda _: None
        self.fence: VoterFence | None = None  # against votes that earlier processes of this node gave
        self.campaign, self.handover, self.answers = Campaign(self), Handover(self), PeerAnswers(self)
        self.heartbeat = Heartbeat(self)
        self.rank = sorted([me, *[p.name for p in peers]]).index(me)
        self.next_try = 0.0
        self.probe_now = asyncio.Event()
        self.beside: set[asyncio.Task] = set()

    # -- what others ask ---------------------------------------------------------------------

    def valid(self) -> bool:
        """Whether this node may command at this moment."""
        return self.role is Role.LEADER and self.clock() < self.valid_until()

    def valid_until(self) -> float:
        """Until when this leader may command if it hears nothing more."""
        if self.mode is Mode.HOLD:
            return self.hold_until - SLACK_S
        return min(self.promised_until(), self.hold_until) - SLACK_S

    def promised_until(self) -> float:
        """Until when a majority, this node included, is bound by its promises."""
        if self.promise.holder != self.me:
            return -1e9
        return min(self.promise.until, self.majority_at(self.acks) + PROMISE_S * (1 - DRIFT))

    def majority_at(self, sent: dict[str, float]) -> float:
        """The latest time since which a majority was asked and has answered; this node needs no asking."""
        need = self.majority - 1
        if need == 0:
            return 1e18
        if need == 1:  # of three nodes, as each report asks
            return max(sent.values(), default=-1e9)
        return sorted(sent.values(), reverse=True)[need - 1] if len(sent) >= need else -1e9

    def leader_name(self) -> str | None:
        """Who leads, as far as this node knows."""
        if self.valid():
            return self.me
        if self.promise.holder != self.me and self.clock() < self.promise.until and self.promise.token:
            return self.promise.holder
        if self.key.stamp and self.key.mode is Mode.HOLD and self.key.node != self.me:
            return self.key.node
        return None

    def all_as_badly_off(self) -> bool:
        """Whether peers answer and none of them has the state service: an outage, not our own trouble.

        A node that hears nothing from peers either has to count its trouble as its own, or users with
        open connections to it would be told 503 for as long as it lasts.
        """
        now = self.clock()
        heard = any(now - t < 3.0 for t in self.peer_heard.values())
        return heard and not any(now - t < 3.0 for t in self.peer_state_ok.values())

    def may_support(self) -> bool:
        """Whether no vote that an earlier process of this node gave can bind any more, as far as can be told."""
        return self.fence is None or self.fence.may_support()

    # -- changes of state --------------------------------------------------------------------

    def become(self, role: Role, why: str) -> None:
        """The one function for every change of role."""
        if role is self.role:
            return
        log.info("%s -> %s (%s), token %d", self.role.value, role.value, why, self.token)
        self.role = role
        if role is Role.LEADER:
            self.since = self.clock()
        self.on_change(role)

    def begin_term(self, token: int, mode: Mode, hold: int, sent: float) -> None:
        """The leader key was written for this node, with a hold that was asked for at `sent`."""
        self.token, self.mode = token, mode
        self.hold, self.hold_until, self.extended_at = hold, sent + hold_s(mode) * (1 - DRIFT), sent
        self.acks.clear()
        self.handover.with_majority_since = None

    def step_down(self, why: str) -> None:
        """Stop commanding. The hold is left alone: the key's stamp fences what is in flight."""
        if self.role is Role.FOLLOWER:
            return
        self.acks.clear()
        self.promise.release(self.me, self.promise.token)
        self.next_try = self.clock() + 1.0
        self.become(Role.FOLLOWER, why)

    def saw_key(self, value: object, stamp: int, position: int | None = None) -> None:
        """The leader key as the state service had it at a position (from a read or the watch); stamp 0: none."""
        if not self.key.saw(value, stamp, position):
            return
        self.promise.seen_key = (self.key.node, stamp)
        if stamp and self.key.node != self.me:
            self.promise.token = max(self.promise.token, stamp)
        if self.role.leads() and stamp != self.token:
            self.step_down("the leader key has changed")

    def saw_key_behind_fence(self, got: KeyState) -> None:
        """The leader key as it is now that no write can happen that relies on a vote of an earlier process.

        Such a write may have replaced a key before, and its own key may be gone again.
        """
        self.saw_key(got.value, got.stamp, got.position)
        if not got.stamp:
            self.promise.no_key(got.position)

    def note_lapse(self) -> None:
        """Before validity is extended: if it has ended, another node may have been valid meanwhile."""
        if self.role is Role.LEADER and not self.valid():
            self.on_lapse()

    # -- messages ----------------------------------------------------------------------------

    def handle(self, raw: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer."""
        return self.answers.handle(raw)

    def note_answer(self, peer: Peer, answer: PeerAnswer) -> None:
        """What any answer of a peer tells."""
        self.peer_heard[peer.name] = self.clock()
        self.on_about(peer.name, answer.about())
        if answer.state_ok:
            self.peer_state_ok[peer.name] = self.clock()
        else:
            self.peer_state_ok.pop(peer.name, None)
        self.peer_want[peer.name] = (self.clock(), answer.want)
        if answer.beats is not None:
            self.peer_beats[peer.name] = (self.clock(), answer.beats)

    async def ask(self, peer: Peer, message: PeerMessage, timeout: float = 1.0) -> PeerAnswer | None:
        """A peer's answer, or None."""
        raw = await peer.call(peer_messages.encode(message), timeout=timeout)
        return None if raw is None else peer_messages.decode_answer(raw)

    def tell_all(self, message: PeerMessage) -> None:
        """Send a message to all peers, whatever they answer."""
        for peer in self.peers:
            self.later(self.ask(peer, message))

    async def probe_loop(self) -> None:
        """Keep knowing whether the state service answers this node, and whom the key names.

        An open watch says nothing in an outage, and a peer that believed the service to be well made
        a leader resign to it for nothing.
        """
        while True:
            try:
                async with asyncio.timeout(0.5):
                    await self.probe_now.wait()
            except TimeoutError:
                if self.clock() - self.store.last_ok < 0.8:
                    continue
            self.probe_now.clear()
            try:
                got = await self.store.read(keys.LEADER)
            except (Refused, Unknown):
                continue
            if got.stamp or self.role is Role.FOLLOWER:
                self.saw_key(got.value, got.stamp, got.position)

    # -- becoming and staying leader ---------------------------------------------------------

    def later(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Let something go on beside what this node does now."""
        task = asyncio.get_running_loop().create_task(work)
        self.beside.add(task)
        task.add_done_callback(self.beside.discard)
        return task

    def ask_all(self, message: PeerMessage, timeout: float) -> list[asyncio.Task[PeerAnswer | None]]:
        """Send a message to all peers; their answers as they come, None for none."""
        return [self.later(self.ask(peer, message, timeout)) for peer in self.peers]

    async def _renew_hold(self, now: float) -> None:
        """Renew the hold in time for the mode."""
        every = RENEW_HOLD_S[self.mode]
        if now - self.extended_at < every or self.hold is None:
            return
        self.extended_at = now
        try:
            if await self.store.extend(self.hold):
                self.note_lapse()
                self.hold_until = now + hold_s(self.mode) * (1 - DRIFT)
            else:
                self.step_down("the hold has ended")
        except (Refused, Unknown):
            self.extended_at = now - every + 1.0

    async def run(self, machines_expected: Callable[[], bool]) -> None:
        """Campaign when nobody leads; renew the hold and look after the own fitness while leading."""
        await asyncio.sleep(0.2 * self.rank)
        while True:
            await asyncio.sleep(0.2)
            if self.role is Role.FOLLOWER and self.campaign.may_begin():
                await self.campaign.run()
            if self.role is Role.LEADER:
                await self._renew_hold(self.clock())
            if self.role is Role.LEADER:
                await self.handover.look_after(self.clock(), machines_expected())
