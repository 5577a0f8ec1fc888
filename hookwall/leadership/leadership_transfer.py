"""When a leader gives way, and to whom: leadership transfer.

Invariant: a leader stops commanding before it announces that, and names a successor only if, as far as is known, that
can lead.
"""

import asyncio

from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.peer_group import PeerGroup
from hookwall.leadership.peer_observations import PeerObservations
from hookwall.leadership.roles import LeaseMode
from hookwall.leadership.session_lease import revoke_session_lease
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.protocol.peer_messages import MessageKind, PeerMessage, PeerResponse
from hookwall.storage.client import KeyValueClient

NO_QUORUM_STEP_DOWN_S = 3.0  # so long without a quorum, a leader gives way to those who may have one
NO_QUORUM_PAUSE_S = 1.0  # before its next election
STORE_CONTACT_S = 0.25  # so recently the store must have responded to a node that is to lead next
STORE_CONTACT_TIMEOUT_S = 0.5  # for a peer to report that
STORE_CONTACT_RETRY_S = 0.1
RECENT_REPORT_S = 1.6  # what a peer reported so long ago still counts
STORE_FAILING_S = 2.5  # so long without the store, a leader looks for a peer that has it
NO_HEARTBEAT_S = 4.0  # so long without a worker's heartbeat, it looks for a peer that workers reach
QUORUM_BACK_S = 5.0  # so long a quorum responds before a leader by session lease removes its key
TRANSFER_PAUSE_S = 4.0  # before the next election of a leader that gave way


class LeadershipTransfer:
    """One leader's reasons to stop leading."""

    def __init__(
        self, state: LeadershipState, peers: PeerGroup, observations: PeerObservations, store: KeyValueClient
    ) -> None:
        self._state = state
        self._peers = peers
        self._observations = observations
        self._store = store

    async def check_fitness(self, now: float, machines_expected: bool) -> None:
        """Give way where another node could lead better.

        `machines_expected`: whether heartbeats of workers should arrive.
        """
        state = self._state
        has_quorum = state.quorum_lease_until() - now > QUORUM_LEASE_S - NO_QUORUM_STEP_DOWN_S
        if state.lease_mode is LeaseMode.SESSION_LEASE:
            await self._return_to_quorum_lease(now, has_quorum)
        elif not has_quorum and now - state.leader_since > NO_QUORUM_STEP_DOWN_S:
            if self._store.has_recent_response():
                await self._remove_key("no majority responds", pause_s=NO_QUORUM_PAUSE_S)
        elif not await self._transferred_for_store(now):
            await self._transfer_for_workers(now, machines_expected)

    async def transfer_to(self, successor: str, reason: str) -> None:
        """Stop commanding first, then announce it, so that the successor need not wait for a quorum lease to expire."""
        state = self._state
        state.step_down(f"leadership transfer to {successor}: {reason}")
        state.next_election_at = state.clock() + TRANSFER_PAUSE_S
        self._peers.broadcast(
            PeerMessage(
                kind=MessageKind.RELEASE_VOTE,
                sender=state.node_name,
                fencing_token=state.fencing_token,
                transfer_to=successor,
            )
        )

    async def _return_to_quorum_lease(self, now: float, has_quorum: bool) -> None:
        """A leader by session lease removes its key once a majority has responded for a while."""
        state = self._state
        if not has_quorum:
            state.quorum_since = None
        elif state.quorum_since is None:
            state.quorum_since = now
        elif now - state.quorum_since > QUORUM_BACK_S:
            await self._remove_key("a majority responds again", pause_s=0.0)

    async def _transferred_for_store(self, now: float) -> bool:
        """Transfer the leadership if the store has not responded for a while but responds to a peer."""
        failing_since = self._store.failing_since
        if failing_since is None or now - failing_since <= STORE_FAILING_S:
            return False
        candidates = self._observations.with_recent_store_contact(now, RECENT_REPORT_S)
        successors = await self._with_store_contact(candidates)
        if not successors or self._store.failing_since is None:
            return False
        await self.transfer_to(min(successors), "the store responds to other nodes only")
        return True

    async def _transfer_for_workers(self, now: float, machines_expected: bool) -> None:
        """Transfer the leadership if workers reach a peer, but have not reached this node for a while."""
        state = self._state
        silent = now - state.last_worker_heartbeat_at > NO_HEARTBEAT_S and now - state.leader_since > NO_HEARTBEAT_S
        if not machines_expected or not silent:
            return
        successors = self._observations.with_recent_worker_heartbeats(now, RECENT_REPORT_S)
        if successors:
            await self.transfer_to(min(successors), "no worker reaches this node")

    async def _with_store_contact(self, names: list[str]) -> list[str]:
        """Those of the peers to whom the store responds at this moment: they are made to ask it.

        What they last reported may be a second old. A leader whose requests alone were rejected transferred its
        leadership to a peer just when the store was down for everybody, so nobody led and all leases expired in the
        outage.
        """
        peers = [peer for peer in self._peers if peer.name in names]
        message = PeerMessage(kind=MessageKind.STORE_CONTACT, sender=self._state.node_name)
        in_contact: list[str] = []
        for _ in range(2):  # the first makes them ask, the second reports what came of it
            responses = await asyncio.gather(
                *(self._peers.call(peer, message, STORE_CONTACT_TIMEOUT_S) for peer in peers)
            )
            in_contact = [
                peer.name
                for peer, response in zip(peers, responses, strict=True)
                if response is not None and _has_store_contact(response)
            ]
            if in_contact or not peers:
                break
            await asyncio.sleep(STORE_CONTACT_RETRY_S)
        return in_contact

    async def _remove_key(self, reason: str, pause_s: float) -> None:
        """Stop commanding, then remove the leader key, so that whoever can lead need not wait."""
        state = self._state
        session_lease = state.session_lease
        state.step_down(reason)
        state.next_election_at = state.clock() + pause_s
        if session_lease is not None:
            await revoke_session_lease(self._store, session_lease)


def _has_store_contact(response: PeerResponse) -> bool:
    return response.store_contact_age_s is not None and response.store_contact_age_s < STORE_CONTACT_S
