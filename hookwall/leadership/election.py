"""How a node becomes leader: it collects votes, writes the leader key, and handles a write whose outcome is unknown.

Invariant: a candidate replaces the leader key only if the key still has the version that was read before the votes were
requested, and only if no voter has restarted since.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from hookwall.leadership.leader_key import LeaderRecord
from hookwall.leadership.leadership_state import LeadershipState, Term
from hookwall.leadership.peer_group import Peer, PeerGroup
from hookwall.leadership.peer_heartbeat import PeerHeartbeat
from hookwall.leadership.peer_observations import PeerObservations
from hookwall.leadership.random_ids import random_id
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.session_lease import revoke_session_lease, session_lease_end, session_lease_s
from hookwall.protocol.peer_messages import MessageKind, PeerMessage, PeerResponse
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put, VersionedValue
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

VOTE_TIMEOUT_S = 0.7  # for each peer's response
REVOCATION_RETRY_S = 0.5
LEAD_WITHOUT_QUORUM_AFTER_S = 2.0  # time without a leader key after which a node may lead without a majority
ELECTION_BACKOFF_S = 0.3  # between a lost election and the next one
ELECTION_BACKOFF_PER_RANK_S = 0.3
ELECTION_BACKOFF_JITTER_S = 0.4


class VoteCount(NamedTuple):
    """The result of requesting the votes of all peers."""

    votes: int  # includes this node's own vote
    peer_responded: bool


class PeerVote(NamedTuple):
    """A peer's response to a vote request; None if the peer did not respond."""

    voter: str
    response: PeerResponse | None


class Election:
    """Runs the elections in which this node is the candidate, one at a time."""

    def __init__(
        self,
        state: LeadershipState,
        peers: PeerGroup,
        observations: PeerObservations,
        store: KeyValueClient,
        heartbeat: PeerHeartbeat,
        rebuild_state: Callable[[], Awaitable[None]],
        rank: int,
    ) -> None:
        self._state = state
        self._peers = peers
        self._observations = observations
        self._store = store
        self._heartbeat = heartbeat
        self._rebuild_state = rebuild_state
        self._rank = rank
        self._election_id = 0  # random ID of the current election, which no other election has
        # Version of the leader key that the current election is to replace; 0: none. The leader that this key names
        # gets no more quorum leases from the voters.
        self._replaced_version = 0
        self._voter_preconditions: list[Precondition] = []  # on the fence keys of the nodes that have voted
        # Version of the leader key that an earlier write of this process may still replace, because the outcome of the
        # write is unknown; 0: none.
        self._unresolved_version = 0
        # The session leases of such writes. A write can't be executed any more once its session lease has ended.
        self._unresolved_leases: set[int] = set()

    def may_start(self) -> bool:
        """Return whether this node may request votes and, as far as it can know, no node leads."""
        state = self._state
        if state.clock() < state.next_election_at or not state.leader_key.known or not self._store.healthy():
            return False
        if not state.may_grant() or not state.vote_grant.available_to(state.node_name):
            return False
        if state.leader_key.shows_no_other_leader(state.node_name):
            return True
        return state.leader_key.lease_mode is LeaseMode.QUORUM_LEASE and not state.vote_grant.in_restart_grace_period()

    async def run_once(self) -> None:
        """Run one election until this node leads, or until the election is lost and the backoff is set."""
        self._state.start_election()
        self._election_id = random_id()
        self._replaced_version = 0
        won = False
        try:
            won = await self._try_to_become_leader()
        except PreconditionFailedError:
            log.debug("election lost: another node was faster, or a voter has restarted")
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("election lost: error=%s", error)
        finally:
            if self._replaced_version:
                self._announce_abandoned_election()
            if not won:
                backoff_s = (
                    ELECTION_BACKOFF_S
                    + ELECTION_BACKOFF_PER_RANK_S * self._rank
                    + random.random() * ELECTION_BACKOFF_JITTER_S
                )
                self._state.lose_election(backoff_s)

    async def _try_to_become_leader(self) -> bool:
        """Read the leader key, request votes, replace the key and rebuild the state.

        Return whether this node leads.
        """
        state = self._state
        stored = await self._store.read(keys.LEADER_KEY)
        state.observe_leader_key(stored.value, stored.version, stored.revision)
        if not self.may_start():
            return False
        if not state.vote_grant.grant_vote(state.node_name, stored.version, election_id=self._election_id):
            return False
        self._replaced_version = stored.version
        mode = await self._select_lease_mode(stored)
        if mode is None:
            return False
        await self._write_leader_key(stored.version, mode)
        self._replaced_version = 0
        await self._rebuild_state()
        if state.role is not Role.LOADING:
            return False
        state.complete_loading()
        return True

    # -- votes -------------------------------------------------------------------------------------

    def _proves_leader_gone(self, stored: VersionedValue) -> bool:
        """Return whether a key that names this node proves that no leader relies on the previous key any more.

        The key proves this if an earlier process of this node wrote it, or if it belongs to a leadership that this
        process gave up. Otherwise the key may come from a write of this process that was executed late, after the
        former leader had regained its quorum leases.
        """
        incarnation = LeaderRecord.decode(stored.value).incarnation
        return incarnation != self._state.incarnation or stored.version == self._state.fencing_token

    async def _select_lease_mode(self, stored: VersionedValue) -> LeaseMode | None:
        """Request votes; return the mode in which this node may lead, or None if it may not lead."""
        state = self._state
        leader_gone = stored.version == 0 or self._proves_leader_gone(stored)
        count = await self._request_votes(stored.version, leader_gone)
        if count.votes >= state.quorum:
            return LeaseMode.QUORUM_LEASE
        # Without a majority this node leads only if no peer responds: a peer that responds could form a majority with
        # this node or with another one.
        no_other_leader = leader_gone and state.leader_key.shows_no_other_leader(state.node_name)
        absent_since = state.leader_key.absent_since if stored.version == 0 else state.vote_grant.started_at
        absent_s = state.clock() - absent_since
        if count.peer_responded or not no_other_leader or absent_s < LEAD_WITHOUT_QUORUM_AFTER_S:
            log.debug("election lost: votes=%d quorum=%d", count.votes, state.quorum)
            return None
        return LeaseMode.SESSION_LEASE

    async def _request_votes(self, replaces_version: int, proves_leader_gone: bool) -> VoteCount:
        """Request the votes of all peers, and stop waiting once a majority has voted for this node.

        Waiting for more votes would delay the failover: a former leader that is stalled or partitioned does not
        respond, and waiting for its vote, and then for its quorum lease, took over two seconds of each failover.
        """
        state = self._state
        message = PeerMessage(
            kind=MessageKind.VOTE,
            sender=state.node_name,
            store_reachable=True,
            replaces_version=replaces_version,
            proves_leader_gone=proves_leader_gone,
            election=self._election_id,
        )
        self._voter_preconditions = state.vote_fence.preconditions() if state.vote_fence is not None else []
        votes = 1
        peer_responded = False
        requests = [self._peers.spawn(self._request_vote(peer, message)) for peer in self._peers]
        for next_response in asyncio.as_completed(requests):
            voter, response = await next_response
            peer_responded = peer_responded or response is not None
            if response is not None and response.granted:
                votes += 1
                self._add_voter_precondition(voter, response.fence_version)
            if votes >= state.quorum:
                break
        return VoteCount(votes, peer_responded)

    async def _request_vote(self, peer: Peer, message: PeerMessage) -> PeerVote:
        """Request one peer's vote and record what its response reports."""
        response = await self._peers.call(peer, message, timeout_s=VOTE_TIMEOUT_S)
        if response is not None:
            self._observations.record_response(peer.name, response)
        return PeerVote(peer.name, response)

    def _add_voter_precondition(self, voter: str, version: int | None) -> None:
        """Make the write of the leader key conditional on the voter's fence key.

        Nodes that run a program older than format 3, or that can't reach the store, report no version of a fence key.
        """
        if version is not None and version > 0:
            self._voter_preconditions.append(Precondition(keys.VOTE_FENCE_PREFIX + voter, version))

    # -- the leader key ----------------------------------------------------------------------------

    async def _write_leader_key(self, replaced_version: int, mode: LeaseMode) -> None:
        """Replace the leader key that has this version, and begin the term."""
        state = self._state
        requested_at = state.clock()
        session_lease = await self._store.grant_session_lease(session_lease_s(mode))
        record = LeaderRecord(state.node_name, state.incarnation, mode)
        preconditions = [Precondition(keys.LEADER_KEY, replaced_version), *self._voter_preconditions]
        try:
            fencing_token = await self._store.commit(
                preconditions, [Put(keys.LEADER_KEY, record.encode())], session_lease=session_lease
            )
        except OutcomeUnknownError:
            self._unresolved_version = max(replaced_version, self._unresolved_version)
            self._unresolved_leases.add(session_lease)
            self._peers.spawn(self._revoke_unresolved_leases())
            raise
        state.begin_term(
            Term(
                record=record,
                fencing_token=fencing_token,
                session_lease=session_lease,
                session_lease_requested_at=requested_at,
                session_lease_until=session_lease_end(requested_at, mode),
                key_was_absent=replaced_version == 0,
            )
        )
        self._heartbeat.send_to_all()

    async def _revoke_unresolved_leases(self) -> None:
        """Revoke the session leases of writes with unknown outcomes, so that they can't be executed any more."""
        while self._unresolved_leases:
            lease = next(iter(self._unresolved_leases))
            if await revoke_session_lease(self._store, lease):
                self._unresolved_leases.discard(lease)
            else:
                await asyncio.sleep(REVOCATION_RETRY_S)

    def _announce_abandoned_election(self) -> None:
        """Announce that this candidate has not replaced the key, so that the key's leader may get quorum leases again.

        Do nothing if a write whose outcome is unknown may still replace that key.
        """
        if self._replaced_version == self._unresolved_version:
            return
        state = self._state
        state.vote_grant.clear_replacement(state.node_name, self._election_id)
        self._peers.broadcast(
            PeerMessage(kind=MessageKind.RELEASE_VOTE, sender=state.node_name, abandoned_election=self._election_id)
        )
