"""How a node becomes leader: votes, the write of the leader key, and what follows if that has no answer."""

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from hookwall.leadership.peer_transport import Peer
from hookwall.leadership.roles import Mode, Role
from hookwall.protocol.peer_messages import Kind, PeerAnswer, PeerMessage
from hookwall.storage import keys
from hookwall.storage.client import Conflict, Refused, Unknown

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

log = logging.getLogger(__name__)

LONG_HOLD_S = 60.0
SHORT_HOLD_S = 8.0
VOTE_WAIT_S = 0.7  # for the answer of one peer
NUMBER_BITS = 48
DROP_AGAIN_S = 0.5
ALONE_S = 2.0  # so long without a leader key, a node leads without a majority


def hold_s(mode: Mode) -> float:
    """How long the leader key outlives its leader's last renewal."""
    return LONG_HOLD_S if mode is Mode.PROMISE else SHORT_HOLD_S


class Campaign:
    """One node's attempts to lead, one at a time."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead
        self.number = 0  # of the campaign under way, unlike that of any other
        self.fences: list[tuple[str, int]] = []  # the keys of those who have voted, with their stamps
        self.unresolved = 0  # stamp of the key that a write of this process, without an answer, may yet replace
        self.unresolved_holds: set[int] = set()  # of such writes: once they have ended, those can't happen any more

    def may_begin(self) -> bool:
        """Whether nobody leads, as far as this node can tell, and it may ask for votes."""
        lead = self.lead
        if lead.clock() < lead.next_try or not lead.key.known or not lead.store.healthy():
            return False
        if not lead.may_support() or not lead.promise.free_for(lead.me):
            return False
        if lead.key.unfenced(lead.me):
            return True
        return lead.key.mode is Mode.PROMISE and not lead.promise.guarded()

    async def run(self) -> None:
        """One attempt, up to the rebuilt picture or to the pause before the next."""
        lead = self.lead
        lead.become(Role.CANDIDATE, "no valid leader is known")
        won = False
        self.number = random.SystemRandom().getrandbits(NUMBER_BITS)
        replaced = 0  # the key that voters must not support any more, unless it turns out not to be replaced
        try:
            got = await lead.store.read(keys.LEADER)
            record, stamp = got.value if isinstance(got.value, dict) else {}, got.stamp
            lead.saw_key(record, stamp, got.position)
            if not self.may_begin() or not lead.promise.vote(lead.me, stamp, campaign=self.number):
                return
            replaced = stamp
            mode = await self._ask_for_mode(record, stamp)
            if mode is None:
                return
            await self._write_key(stamp, mode)
            replaced = 0
            await lead.load()
            if lead.role is Role.LOADING:
                won = True
                lead.become(Role.LEADER, "the picture is rebuilt")
        except Conflict:
            log.debug("campaign: another node was faster, or a voter has restarted")
        except (Refused, Unknown) as e:
            log.debug("campaign: %s", e)
        finally:
            if replaced:
                self._keep_former_key(replaced)
            if not won:
                self._lose()

    # -- votes -------------------------------------------------------------------------------------

    def _proves_dead(self, record: dict, stamp: int) -> bool:
        """Whether a key that names this node proves that nobody leads by the key before.

        It does if it is that of an earlier process, or of a leadership that this one gave up. It may also be from
        a write of this process that was carried out late, when the former leader had its promises again.
        """
        return record.get("incarnation") != self.lead.incarnation or stamp == self.lead.token

    async def _ask_for_mode(self, record: dict, stamp: int) -> Mode | None:
        """Ask for votes: the mode in which this node may lead, or None."""
        lead = self.lead
        dead = stamp == 0 or self._proves_dead(record, stamp)
        votes, heard = await self._votes(stamp, dead)
        if votes >= lead.majority:
            return Mode.PROMISE
        # A peer that answers could form a majority with this node or another, so it decides.
        gone_for = lead.clock() - (lead.key.gone_at if stamp == 0 else lead.promise.started)
        if heard or not lead.key.unfenced(lead.me) or not dead or gone_for < ALONE_S:
            log.debug("campaign: %d votes", votes)
            return None
        return Mode.HOLD

    async def _votes(self, replaces: int, dead: bool) -> tuple[int, bool]:
        """Ask all peers; how many votes there are, this node's included, and whether any peer answered.

        A majority is enough: a leader that stands still or is cut off answers nothing, and waiting for
        its vote, and then for its promise, took over two seconds of each take-over from it.
        """
        lead = self.lead
        message = PeerMessage(
            kind=Kind.VOTE, node=lead.me, state_ok=True, replaces=replaces, dead=dead, campaign=self.number
        )  # fmt: skip

        async def ask(peer: Peer) -> tuple[str, PeerAnswer | None]:
            answer = await lead.ask(peer, message, timeout=VOTE_WAIT_S)
            if answer is not None:
                lead.note_answer(peer, answer)
            return peer.name, answer

        self.fences = lead.fence.conditions() if lead.fence is not None else []
        votes, heard = 1, False
        for next_answer in asyncio.as_completed([lead.later(ask(p)) for p in lead.peers]):
            name, answer = await next_answer
            heard = heard or answer is not None
            if answer is not None and answer.ok:
                votes += 1
                self._take_fence(name, answer.fence)
            if votes >= lead.majority:
                break
        return votes, heard

    def _take_fence(self, voter: str, stamp: int | None) -> None:
        """A voter names the stamp of its key; programs before format 3, and nodes that lack the service, don't."""
        if stamp is not None and stamp > 0:
            self.fences.append((keys.VOTER + voter, stamp))

    # -- the key -----------------------------------------------------------------------------------

    async def _write_key(self, stamp: int, mode: Mode) -> None:
        """Replace the leader key that has this stamp."""
        lead = self.lead
        sent = lead.clock()
        hold = await lead.store.hold(hold_s(mode))
        record = {"node": lead.me, "incarnation": lead.incarnation, "mode": mode.value}
        try:
            conditions = [(keys.LEADER, stamp), *self.fences]
            token = await lead.store.commit(conditions, [(keys.LEADER, record)], hold=hold)
        except Unknown:
            self.unresolved = max(stamp, self.unresolved)
            self.unresolved_holds.add(hold)
            lead.later(self._drop_unresolved())
            raise
        lead.first = stamp == 0
        lead.begin_term(token, mode, hold, sent)
        lead.saw_key(record, token)
        lead.promise.renew(lead.me, token)
        lead.become(Role.LOADING, f"mode {mode.value}")
        for p in lead.peers:
            lead.later(lead.heartbeat.ping(p))

    async def _drop_unresolved(self) -> None:
        """End the holds of writes without an answer: a write with a hold that has ended is not carried out."""
        while self.unresolved_holds:
            hold = next(iter(self.unresolved_holds))
            try:
                await self.lead.store.drop(hold)
                self.unresolved_holds.discard(hold)
            except (Refused, Unknown) as e:
                log.debug("could not drop the hold: %s", e)
                await asyncio.sleep(DROP_AGAIN_S)

    def _keep_former_key(self, stamp: int) -> None:
        """This candidate has not replaced the key, so its leader may be supported again; unless it may have."""
        lead = self.lead
        if stamp == self.unresolved:
            return
        lead.promise.not_replaced(lead.me, self.number)
        lead.tell_all(PeerMessage(kind=Kind.RELEASE, node=lead.me, unwritten=self.number))

    def _lose(self) -> None:
        """The attempt has failed; the next one comes after a pause that differs from node to node."""
        lead = self.lead
        lead.next_try = lead.clock() + 0.3 + 0.3 * lead.rank + random.random() * 0.4
        if lead.role is Role.CANDIDATE:
            lead.promise.release(lead.me, lead.promise.token)
            lead.become(Role.FOLLOWER, "campaign failed")
        else:
            lead.step_down("could not load")
