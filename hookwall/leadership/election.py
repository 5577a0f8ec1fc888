"""How a node becomes leader: votes, the write of the leader key, and what follows if that has no answer."""

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from hookwall.leadership.peer_transport import PeerConnection
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.protocol.peer_messages import MessageKind, PeerMessage, PeerResponse
from hookwall.storage import keys
from hookwall.storage.client import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

log = logging.getLogger(__name__)

LONG_SESSION_LEASE_S = 60.0
SHORT_SESSION_LEASE_S = 8.0
VOTE_WAIT_S = 0.7  # for the answer of one peer
NUMBER_BITS = 48
DROP_AGAIN_S = 0.5
LEAD_WITHOUT_QUORUM_AFTER_S = 2.0  # so long without a leader key, a node leads without a majority


def session_lease_s(mode: LeaseMode) -> float:
    """How long the leader key outlives its leader's last renewal."""
    return LONG_SESSION_LEASE_S if mode is LeaseMode.QUORUM_LEASE else SHORT_SESSION_LEASE_S


class Election:
    """One node's attempts to lead, one at a time."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead
        self.election_id = 0  # of the campaign under way, unlike that of any other
        self.voter_preconditions: list[tuple[str, int]] = []  # the keys of those who have voted, with their stamps
        self.unresolved_version = 0  # stamp of the key that a write of this process, without an answer, may yet replace
        self.unresolved_session_leases: set[int] = (
            set()
        )  # of such writes: once they have ended, those can't happen any more

    def may_start(self) -> bool:
        """Whether nobody leads, as far as this node can tell, and it may ask for votes."""
        lead = self.lead
        if lead.clock() < lead.next_election_at or not lead.leader_key.known or not lead.store.healthy():
            return False
        if not lead.may_grant() or not lead.vote_grant.available_to(lead.node_name):
            return False
        if lead.leader_key.shows_no_other_leader(lead.node_name):
            return True
        return lead.leader_key.lease_mode is LeaseMode.QUORUM_LEASE and not lead.vote_grant.in_restart_guard()

    async def run_once(self) -> None:
        """One attempt, up to the rebuilt picture or to the pause before the next."""
        lead = self.lead
        lead.transition_to(Role.CANDIDATE, "no valid leader is known")
        won = False
        self.election_id = random.SystemRandom().getrandbits(NUMBER_BITS)
        replaced = 0  # the key that voters must not support any more, unless it turns out not to be replaced
        try:
            got = await lead.store.read(keys.LEADER_KEY)
            record, stamp = got.value if isinstance(got.value, dict) else {}, got.version
            lead.observe_leader_key(record, stamp, got.revision)
            if not self.may_start() or not lead.vote_grant.grant_vote(
                lead.node_name, stamp, election_id=self.election_id
            ):
                return
            replaced = stamp
            mode = await self._ask_for_mode(record, stamp)
            if mode is None:
                return
            await self._write_key(stamp, mode)
            replaced = 0
            await lead.rebuild_state()
            if lead.role is Role.LOADING:
                won = True
                lead.transition_to(Role.LEADER, "the picture is rebuilt")
        except PreconditionFailedError:
            log.debug("campaign: another node was faster, or a voter has restarted")
        except (RequestRejectedError, OutcomeUnknownError) as e:
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
        return record.get("incarnation") != self.lead.incarnation or stamp == self.lead.fencing_token

    async def _ask_for_mode(self, record: dict, stamp: int) -> LeaseMode | None:
        """Ask for votes: the mode in which this node may lead, or None."""
        lead = self.lead
        dead = stamp == 0 or self._proves_dead(record, stamp)
        votes, heard = await self._votes(stamp, dead)
        if votes >= lead.quorum:
            return LeaseMode.QUORUM_LEASE
        # A peer that answers could form a majority with this node or another, so it decides.
        gone_for = lead.clock() - (lead.leader_key.absent_since if stamp == 0 else lead.vote_grant.started_at)
        if (
            heard
            or not lead.leader_key.shows_no_other_leader(lead.node_name)
            or not dead
            or gone_for < LEAD_WITHOUT_QUORUM_AFTER_S
        ):
            log.debug("campaign: %d votes", votes)
            return None
        return LeaseMode.SESSION_LEASE

    async def _votes(self, replaces: int, dead: bool) -> tuple[int, bool]:
        """Ask all peers; how many votes there are, this node's included, and whether any peer answered.

        A majority is enough: a leader that stands still or is cut off answers nothing, and waiting for
        its vote, and then for its promise, took over two seconds of each take-over from it.
        """
        lead = self.lead
        message = PeerMessage(
            kind=MessageKind.VOTE,
            sender=lead.node_name,
            store_reachable=True,
            replaces_version=replaces,
            proves_leader_gone=dead,
            election=self.election_id,
        )

        async def ask(peer: PeerConnection) -> tuple[str, PeerResponse | None]:
            answer = await lead.call_peer(peer, message, timeout=VOTE_WAIT_S)
            if answer is not None:
                lead.record_peer_answer(peer, answer)
            return peer.name, answer

        self.voter_preconditions = lead.vote_fence.preconditions() if lead.vote_fence is not None else []
        votes, heard = 1, False
        for next_answer in asyncio.as_completed([lead.spawn(ask(p)) for p in lead.peers]):
            name, answer = await next_answer
            heard = heard or answer is not None
            if answer is not None and answer.granted:
                votes += 1
                self._take_fence(name, answer.fence_version)
            if votes >= lead.quorum:
                break
        return votes, heard

    def _take_fence(self, voter: str, stamp: int | None) -> None:
        """A voter names the stamp of its key; programs before format 3, and nodes that lack the service, don't."""
        if stamp is not None and stamp > 0:
            self.voter_preconditions.append((keys.VOTE_FENCE_PREFIX + voter, stamp))

    # -- the key -----------------------------------------------------------------------------------

    async def _write_key(self, stamp: int, mode: LeaseMode) -> None:
        """Replace the leader key that has this stamp."""
        lead = self.lead
        sent = lead.clock()
        hold = await lead.store.grant_session_lease(session_lease_s(mode))
        record = {"node": lead.node_name, "incarnation": lead.incarnation, "mode": mode.value}
        try:
            conditions = [(keys.LEADER_KEY, stamp), *self.voter_preconditions]
            token = await lead.store.commit(conditions, [(keys.LEADER_KEY, record)], hold=hold)
        except OutcomeUnknownError:
            self.unresolved_version = max(stamp, self.unresolved_version)
            self.unresolved_session_leases.add(hold)
            lead.spawn(self._drop_unresolved())
            raise
        lead.key_was_absent = stamp == 0
        lead.begin_term(token, mode, hold, sent)
        lead.observe_leader_key(record, token)
        lead.vote_grant.renew_lease(lead.node_name, token)
        lead.transition_to(Role.LOADING, f"mode {mode.value}")
        for p in lead.peers:
            lead.spawn(lead.peer_heartbeat.send(p))

    async def _drop_unresolved(self) -> None:
        """End the holds of writes without an answer: a write with a hold that has ended is not carried out."""
        while self.unresolved_session_leases:
            hold = next(iter(self.unresolved_session_leases))
            try:
                await self.lead.store.revoke_session_lease(hold)
                self.unresolved_session_leases.discard(hold)
            except (RequestRejectedError, OutcomeUnknownError) as e:
                log.debug("could not drop the hold: %s", e)
                await asyncio.sleep(DROP_AGAIN_S)

    def _keep_former_key(self, stamp: int) -> None:
        """This candidate has not replaced the key, so its leader may be supported again; unless it may have."""
        lead = self.lead
        if stamp == self.unresolved_version:
            return
        lead.vote_grant.clear_replacement(lead.node_name, self.election_id)
        lead.broadcast(
            PeerMessage(kind=MessageKind.RELEASE_VOTE, sender=lead.node_name, abandoned_election=self.election_id)
        )

    def _lose(self) -> None:
        """The attempt has failed; the next one comes after a pause that differs from node to node."""
        lead = self.lead
        lead.next_election_at = lead.clock() + 0.3 + 0.3 * lead.rank + random.random() * 0.4
        if lead.role is Role.CANDIDATE:
            lead.vote_grant.release(lead.node_name, lead.vote_grant.fencing_token)
            lead.transition_to(Role.FOLLOWER, "campaign failed")
        else:
            lead.step_down("could not load")
