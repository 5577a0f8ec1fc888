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
from enum import Enum
from typing import Any

from hookwall import keys
from hookwall.clocks import DRIFT, SLACK_S
from hookwall.peers import Peer
from hookwall.promise import PROMISE_S, Promise
from hookwall.store import Conflict, Refused, Store, Unknown

log = logging.getLogger("hookwall.leadership")

PING_S = 1.0
HINT_EVERY = 5  # pings
LONG_HOLD_S = 60.0
SHORT_HOLD_S = 8.0
LONELY_S = 3.0  # so long without a majority, a leader gives way to those who may have one
FIT_S = 0.25  # so recently the state service must have answered a node that is to take over
DROP_AGAIN_S = 0.5
ALONE_S = 2.0  # so long without a leader key, a node leads without a majority


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LOADING = "loading"
    LEADER = "leader"

    def leads(self) -> bool:
        """Whether the leader key was written for this role."""
        return self in (Role.LOADING, Role.LEADER)


class Mode(Enum):
    PROMISE = "promise"
    HOLD = "hold"


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
        self.key_node = ""
        self.key_stamp = 0
        self.key_mode = Mode.PROMISE
        self.key_known = False
        self.key_position = 0  # the change up to which this node knows the leader key
        self.unresolved = 0  # stamp of the key that a write of this process, without an answer, may yet replace
        self.unresolved_holds: set[int] = set()  # of such writes: once they have ended, those can't happen any more
        self.key_gone_at = clock()
        self.leader_heard = clock()  # when the node that the key names last asked for this one's support
        self.with_majority_since: float | None = None
        self.peer_state_ok: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        self.peer_beats: dict[str, tuple[float, int]] = {}
        self.beats_seen = 0  # reports that reached this node lately, whoever leads
        self.last_beat = -1e9
        self.want: Callable[[], object] = lambda: None  # what this node wants of the state service
        self.lend: Callable[[str, object], object] = lambda peer, want: None  # what this leader lends of its share
        self.on_lent: Callable[[object], None] = lambda _: None
        # Beside promises (cancellations.py): what a leader says, what a supporter answers, what that tells.
        self.say: Callable[[], dict] = dict
        self.reply: Callable[[dict], dict] = lambda ping: {}
        self.on_reply: Callable[[str, float, dict], None] = lambda peer, sent, answer: None
        self.on_told: Callable[[dict], dict] = lambda message: {}
        # What a node says of itself in every message, and what that tells.
        self.about: Callable[[], dict] = dict
        self.on_about: Callable[[str, dict], None] = lambda node, message: None
        self.peer_want: dict[str, tuple[float, object]] = {}
        self.on_lapse: Callable[[], None] = lambda: None  # its validity has ended for a while
        self.hint: Callable[[], object] = lambda: None
        self.on_hint: Callable[[object], None] = lambda _: None
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
        if self.key_stamp and self.key_mode is Mode.HOLD and self.key_node != self.me:
            return self.key_node
        return None

    def all_as_badly_off(self) -> bool:
        """Whether peers answer and none of them has the state service: an outage, not our own trouble.

        A node that hears nothing from peers either has to count its trouble as its own, or users with
        open connections to it would be told 503 for as long as it lasts.
        """
        now = self.clock()
        heard = any(now - t < 3.0 for t in self.peer_heard.values())
        return heard and not any(now - t < 3.0 for t in self.peer_state_ok.values())

    # -- changes of state --------------------------------------------------------------------

    def _become(self, role: Role, why: str) -> None:
        """The one function for every change of role."""
        if role is self.role:
            return
        log.info("%s -> %s (%s), token %d", self.role.value, role.value, why, self.token)
        self.role = role
        if role is Role.LEADER:
            self.since = self.clock()
        self.on_change(role)

    def step_down(self, why: str) -> None:
        """Stop commanding. The hold is left alone: the key's stamp fences what is in flight."""
        if self.role is Role.FOLLOWER:
            return
        self.acks.clear()
        self.promise.release(self.me, self.promise.token)
        self.next_try = self.clock() + 1.0
        self._become(Role.FOLLOWER, why)

    def saw_key(self, value: object, stamp: int, position: int | None = None) -> None:
        """The leader key as the state service had it at a position (from a read or the watch); stamp 0: none.

        The answer to a read may come after that of a later one. So an absence counts from its position, as a value
        does from its stamp.
        """
        position = stamp or position
        if position is not None:
            if position < self.key_position:
                return
            self.key_position = position
        v = value if isinstance(value, dict) else {}
        node = str(v.get("node", ""))
        if not stamp and (self.key_stamp or not self.key_known):
            self.key_gone_at = self.clock()
        self.key_node, self.key_stamp, self.key_known = node, stamp, True
        self.key_mode = Mode.HOLD if v.get("mode") == Mode.HOLD.value else Mode.PROMISE
        self.promise.seen_key = (node, stamp)
        if stamp and node != self.me:
            self.promise.token = max(self.promise.token, stamp)
        if self.role.leads() and stamp != self.token:
            self.step_down("the leader key has changed")

    def _note_lapse(self) -> None:
        """Before validity is extended: if it has ended, another node may have been valid meanwhile."""
        if self.role is Role.LEADER and not self.valid():
            self.on_lapse()

    # -- messages ----------------------------------------------------------------------------

    def handle(self, m: dict) -> dict:
        """Answer a peer."""
        kind, node = m.get("t"), m.get("n")
        if not isinstance(node, str) or node == self.me:
            return {"ok": False}
        if m.get("sok"):
            self.peer_state_ok[node] = self.clock()
        elif "sok" in m:
            self.peer_state_ok.pop(node, None)
        self.on_about(node, m)
        answers = {
            "ping": self._on_ping, "vote": self._on_vote, "release": self._on_release, "fit": self._on_fit,
            "cancelled": self._on_cancelled,
        }  # fmt: skip
        answer = answers[kind](node, m) if isinstance(kind, str) and kind in answers else {"ok": False}
        beats = self.beats_seen if self.clock() - self.last_beat < 3.0 else 0
        return {
            "sok": self.store.fresh(), "top": self.promise.token, "beats": beats, "want": self.want(), **self.about(),
            **answer,
        }  # fmt: skip

    def _on_ping(self, node: str, m: dict) -> dict:
        """A leader asks for support; a follower says that it is there."""
        token = m.get("tok")
        if not isinstance(token, int) or token <= 0:
            return {"ok": False}
        if not self.promise.renew(node, token):
            return {"ok": False, "replaced": self.promise.replaced(token)}
        self.leader_heard = self.clock()
        if m.get("hint") is not None:
            self.on_hint(m["hint"])
        if self.role is Role.FOLLOWER:
            self.on_lent(m.get("lent"))
        more = self.reply(m)
        if token > self.token and self.role.leads():
            self.step_down("a peer leads with a newer token")
        return {"ok": True, **more}

    def _on_vote(self, node: str, m: dict) -> dict:
        """A candidate asks for support."""
        replaces = m.get("replaces")
        stamp = replaces if isinstance(replaces, int) else 0
        return {"ok": not self.role.leads() and self.promise.vote(node, stamp, m.get("dead") is not False)}

    def _on_release(self, node: str, m: dict) -> dict:
        """A leader gives support back, and may name who is to lead next."""
        token = m.get("tok")
        if isinstance(token, int):
            self.promise.release(node, token)
        unwritten = m.get("unwritten")
        if isinstance(unwritten, int):
            self.promise.not_replaced(node, unwritten)
        if m.get("resign") == self.me:
            self.next_try = 0.0
        return {"ok": True}

    def _on_fit(self, node: str, m: dict) -> dict:
        """A leader asks whether the state service answers this node; it is asked at once."""
        self.probe_now.set()
        return {"ok": False, "age": self.clock() - self.store.last_ok if self.store.healthy() else None}

    def _on_cancelled(self, node: str, m: dict) -> dict:
        """A node tells of cancellations for its user's sake."""
        return {"ok": True, **self.on_told(m)}

    def _note(self, peer: Peer, answer: dict) -> None:
        self.peer_heard[peer.name] = self.clock()
        self.on_about(peer.name, answer)
        if answer.get("sok"):
            self.peer_state_ok[peer.name] = self.clock()
        else:
            self.peer_state_ok.pop(peer.name, None)
        self.peer_want[peer.name] = (self.clock(), answer.get("want"))
        if isinstance(answer.get("beats"), int):
            self.peer_beats[peer.name] = (self.clock(), answer["beats"])

    async def _ping(self, peer: Peer, hint: object = None) -> None:
        leading = self.role.leads()
        token = self.token if leading else 0
        sent = self.clock()
        message = {"t": "ping", "n": self.me, "tok": token, "sok": self.store.fresh(), **self.about()}
        if leading and hint is not None:
            message["hint"] = hint
        if leading:
            at, want = self.peer_want.get(peer.name, (-1e9, None))
            message["lent"] = self.lend(peer.name, want if sent - at < 2.0 * PING_S else None)
            message.update(self.say())
        answer = await peer.call(message, timeout=1.5)
        if answer is None:
            return
        self._note(peer, answer)
        if token and token == self.token and self.role.leads():
            if answer.get("ok"):
                # What the promise carries is applied before it counts.
                self.on_reply(peer.name, sent, answer)
                self._note_lapse()
                self.acks[peer.name] = max(sent, self.acks.get(peer.name, -1e9))
            elif isinstance(answer.get("top"), int) and answer["top"] > token:
                self.step_down(f"{peer.name} knows a newer token")
            elif answer.get("replaced") is True:
                # It never supports this token again, so a new one is needed, if the key was not replaced after all.
                self.step_down(f"{peer.name} has voted to replace this key")
                self.next_try = self.clock()

    async def ping_loop(self) -> None:
        turn = 0
        while True:
            leading = self.role.leads()
            # The hint grows with the fleet, so it is told now and then, and put together once for all.
            hint = self.hint() if leading and turn % HINT_EVERY == 0 else None
            turn += 1
            for peer in self.peers:
                self._later(self._ping(peer, hint))
            if leading:
                self._note_lapse()
            if leading and not self.promise.renew(self.me, self.token) and self.mode is Mode.PROMISE:
                self.step_down("own promise is with another node")
            await asyncio.sleep(PING_S)

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

    def _unfenced(self) -> bool:
        """Whether the key, as last read, shows that no other node can be valid.

        It is gone, or it names an earlier process of this node, or a leadership that it gave up.
        """
        return self.key_known and (self.key_stamp == 0 or self.key_node == self.me)

    def _may_campaign(self) -> bool:
        now = self.clock()
        if now < self.next_try or not self.key_known or not self.store.healthy():
            return False
        if not self.promise.free_for(self.me):
            return False
        if self._unfenced():
            return True
        return self.key_mode is Mode.PROMISE and not self.promise.guarded()

    def _later(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Let something go on beside what this node does now."""
        task = asyncio.get_running_loop().create_task(work)
        self.beside.add(task)
        task.add_done_callback(self.beside.discard)
        return task

    def call_all(self, message: dict, timeout: float) -> list[asyncio.Task]:
        """Send a message to all peers; their answers as they come, None for none."""
        return [self._later(p.call(message, timeout=timeout)) for p in self.peers]

    def _proves_dead(self, record: dict, stamp: int) -> bool:
        """Whether a key that names this node proves that nobody leads by the key before.

        It does if it is that of an earlier process, or of a leadership that this one gave up. It may also be from
        a write of this process that was carried out late, when the former leader had its promises again.
        """
        return record.get("incarnation") != self.incarnation or stamp == self.token

    async def _votes(self, replaces: int, dead: bool) -> tuple[int, bool]:
        """Ask all peers; how many votes there are, this node's included, and whether any peer answered.

        A majority is enough: a leader that stands still or is cut off answers nothing, and waiting for
        its vote, and then for its promise, took over two seconds of each take-over from it.
        """

        message = {"t": "vote", "n": self.me, "sok": True, "replaces": replaces, "dead": dead}

        async def ask(peer: Peer) -> dict | None:
            answer = await peer.call(message, timeout=0.7)
            if answer is not None:
                self._note(peer, answer)
            return answer

        votes, heard = 1, False
        for next_answer in asyncio.as_completed([self._later(ask(p)) for p in self.peers]):
            answer = await next_answer
            heard = heard or answer is not None
            votes += answer is not None and bool(answer.get("ok"))
            if votes >= self.majority:
                break
        return votes, heard

    async def _campaign(self) -> None:
        self._become(Role.CANDIDATE, "no valid leader is known")
        won = False
        replaced = 0  # the key that voters must not support any more, unless it turns out not to be replaced
        try:
            got = await self.store.read(keys.LEADER)
            record, stamp = got.value if isinstance(got.value, dict) else {}, got.stamp
            self.saw_key(record, stamp, got.position)
            if not self._may_campaign() or not self.promise.vote(self.me, stamp):
                return
            replaced = stamp
            mode = await self._ask_for_mode(record, stamp)
            if mode is None:
                return
            await self._write_key(stamp, mode)
            replaced = 0
            await self.load()
            if self.role is Role.LOADING:
                won = True
                self._become(Role.LEADER, "the picture is rebuilt")
        except Conflict:
            log.debug("campaign: another node was faster")
        except (Refused, Unknown) as e:
            log.debug("campaign: %s", e)
        finally:
            if replaced:
                self._keep_former_key(replaced)
            if not won:
                self._lose()

    async def _ask_for_mode(self, record: dict, stamp: int) -> Mode | None:
        """Ask for votes: the mode in which this node may lead, or None."""
        dead = stamp == 0 or self._proves_dead(record, stamp)
        votes, heard = await self._votes(stamp, dead)
        if votes >= self.majority:
            return Mode.PROMISE
        # A peer that answers could form a majority with this node or another, so it decides.
        gone_for = self.clock() - (self.key_gone_at if stamp == 0 else self.promise.started)
        if heard or not self._unfenced() or not dead or gone_for < ALONE_S:
            log.debug("campaign: %d votes", votes)
            return None
        return Mode.HOLD

    async def _write_key(self, stamp: int, mode: Mode) -> None:
        """Replace the leader key that has this stamp."""
        ttl = LONG_HOLD_S if mode is Mode.PROMISE else SHORT_HOLD_S
        sent = self.clock()
        hold = await self.store.hold(ttl)
        record = {"node": self.me, "incarnation": self.incarnation, "mode": mode.value}
        try:
            token = await self.store.commit([(keys.LEADER, stamp)], [(keys.LEADER, record)], hold=hold)
        except Unknown:
            self.unresolved = max(stamp, self.unresolved)
            self.unresolved_holds.add(hold)
            self._later(self._drop_unresolved())
            raise
        self.first = stamp == 0
        self.mode = mode
        self.hold, self.hold_until, self.extended_at = hold, sent + ttl * (1 - DRIFT), sent
        self.token = token
        self.acks.clear()
        self.with_majority_since = None
        self.saw_key(record, token)
        self.promise.renew(self.me, token)
        self._become(Role.LOADING, f"mode {mode.value}")
        for p in self.peers:
            self._later(self._ping(p))

    async def _drop_unresolved(self) -> None:
        """End the holds of writes without an answer: a write with a hold that has ended is not carried out."""
        while self.unresolved_holds:
            hold = next(iter(self.unresolved_holds))
            try:
                await self.store.drop(hold)
                self.unresolved_holds.discard(hold)
            except (Refused, Unknown) as e:
                log.debug("could not drop the hold: %s", e)
                await asyncio.sleep(DROP_AGAIN_S)

    def _keep_former_key(self, stamp: int) -> None:
        """This candidate has not replaced the key, so its leader may be supported again; unless it may have."""
        if stamp == self.unresolved:
            return
        self.promise.not_replaced(self.me, stamp)
        message = {"t": "release", "n": self.me, "unwritten": stamp}
        for p in self.peers:
            self._later(p.call(message))

    def _lose(self) -> None:
        """A campaign has failed; the next one comes after a pause that differs from node to node."""
        self.next_try = self.clock() + 0.3 + 0.3 * self.rank + random.random() * 0.4
        if self.role is Role.CANDIDATE:
            self.promise.release(self.me, self.promise.token)
            self._become(Role.FOLLOWER, "campaign failed")
        else:
            self.step_down("could not load")

    async def resign(self, to: str, why: str) -> None:
        """Stop commanding first, then say so, so that the successor need not wait for a promise."""
        self.step_down(f"resigns: {why}")
        self.next_try = self.clock() + 4.0
        message = {"t": "release", "n": self.me, "tok": self.token, "resign": to}
        for p in self.peers:
            self._later(p.call(message))

    async def _fit(self, names: list[str]) -> list[str]:
        """Those of the peers whom the state service answers at this moment: they are made to ask it.

        What they last said may be a second old. A leader that was refused alone resigned to a peer just
        when the service was down for everybody, so nobody led and all leases ended in the outage.
        """
        peers = [p for p in self.peers if p.name in names]
        fit: list[str] = []
        message = {"t": "fit", "n": self.me}
        for _ in range(2):  # the first makes them ask, the second tells what came of it
            answers = await asyncio.gather(*(p.call(message, timeout=0.5) for p in peers))
            ages = {p.name: a.get("age") for p, a in zip(peers, answers, strict=True) if a is not None}
            fit = [n for n, age in ages.items() if isinstance(age, float | int) and age < FIT_S]
            if fit or not peers:
                break
            await asyncio.sleep(0.1)
        return fit

    async def _give_up_key(self, why: str, pause: float) -> None:
        """Stop commanding, then remove the key, so that whoever can lead need not wait."""
        hold = self.hold
        self.step_down(why)
        self.next_try = self.clock() + pause
        if hold is not None:
            try:
                await self.store.drop(hold)
            except (Refused, Unknown) as e:
                log.debug("could not drop the hold: %s", e)

    async def _renew_hold(self, now: float) -> None:
        """Renew the hold in time for the mode."""
        every, ttl = (5.0, LONG_HOLD_S) if self.mode is Mode.PROMISE else (2.0, SHORT_HOLD_S)
        if now - self.extended_at < every or self.hold is None:
            return
        self.extended_at = now
        try:
            if await self.store.extend(self.hold):
                self._note_lapse()
                self.hold_until = now + ttl * (1 - DRIFT)
            else:
                self.step_down("the hold has ended")
        except (Refused, Unknown):
            self.extended_at = now - every + 1.0

    async def run(self, machines_expected: Callable[[], bool]) -> None:
        """Campaign when nobody leads; renew the hold and look after the own fitness while leading."""
        await asyncio.sleep(0.2 * self.rank)
        while True:
            await asyncio.sleep(0.2)
            if self.role is Role.FOLLOWER and self._may_campaign():
                await self._campaign()
            if self.role is Role.LEADER:
                await self._renew_hold(self.clock())
            if self.role is Role.LEADER:
                await self._look_after(self.clock(), machines_expected())

    async def _look_after(self, now: float, machines_expected: bool) -> None:
        """Give way where another node could lead better."""
        majority = self.promised_until() - now > PROMISE_S - LONELY_S
        if self.mode is Mode.PROMISE and not majority and now - self.since > LONELY_S:
            if self.store.fresh():
                await self._give_up_key("no majority answers", pause=1.0)
            return
        if self.mode is Mode.HOLD:
            if not majority:
                self.with_majority_since = None
            elif self.with_majority_since is None:
                self.with_majority_since = now
            elif now - self.with_majority_since > 5.0:
                await self._give_up_key("a majority answers again", pause=0.0)
            return
        bad = self.store.bad_since
        if bad is not None and now - bad > 2.5:
            fit = await self._fit([n for n, t in self.peer_state_ok.items() if now - t < 1.6])
            if fit and self.store.bad_since is not None:
                await self.resign(min(fit), "only this node lacks the state service")
                return
        if machines_expected and now - self.last_beat > 4.0 and now - self.since > 4.0:
            fit = [n for n, (t, k) in self.peer_beats.items() if now - t < 1.6 and k > 0]
            if fit:
                await self.resign(min(fit), "no worker reaches this node")
