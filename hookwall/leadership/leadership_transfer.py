"""Leadership transfer: when a leader steps down in favour of other nodes, and which successor it names.

Invariant: a leader stops acting as leader before it announces that it steps down, and it names only a successor that,
as far as it knows, can lead.
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

NO_QUORUM_STEP_DOWN_S = 3.0  # a leader without a quorum for this time steps down, as another node may have a quorum
NO_QUORUM_BACKOFF_S = 1.0  # until the next election of a leader that had no quorum
RECENT_STORE_CONTACT_S = 0.25  # maximum age of the store's last response to a possible successor
STORE_CONTACT_TIMEOUT_S = 0.5  # time for a peer to report the age of the store's last response
STORE_CONTACT_RETRY_S = 0.1
RECENT_REPORT_S = 1.6  # older reports of peers don't count
STORE_FAILURE_TRANSFER_S = 2.5  # a leader without the store for this time looks for a peer that can reach it
NO_WORKER_HEARTBEAT_S = 4.0  # a leader without worker heartbeats for this time looks for a peer that workers reach
QUORUM_STABLE_S = 5.0  # a leader by session lease removes its key once a quorum has responded for this time
TRANSFER_BACKOFF_S = 4.0  # until the next election of a leader that transferred its leadership or resigned


class LeadershipTransfer:
    """Decides when one leader stops leading, and transfers its leadership."""

    def __init__(
        self, state: LeadershipState, peers: PeerGroup, observations: PeerObservations, store: KeyValueClient
    ) -> None:
        self._state = state
        self._peers = peers
        self._observations = observations
        self._store = store

    async def check_fitness(self, now: float, heartbeats_expected: bool) -> None:
        """Step down or transfer the leadership if another node could lead better.

        `heartbeats_expected`: whether worker heartbeats should arrive.
        """
        state = self._state
        has_quorum = state.quorum_lease_until() - now > QUORUM_LEASE_S - NO_QUORUM_STEP_DOWN_S
        if state.lease_mode is LeaseMode.SESSION_LEASE:
            await self._return_to_quorum_lease(now, has_quorum)
        elif not has_quorum and now - state.leader_since > NO_QUORUM_STEP_DOWN_S:
            if self._store.has_recent_response():
                await self._remove_leader_key("no majority responds", backoff_s=NO_QUORUM_BACKOFF_S)
        elif not await self._transfer_for_store(now):
            await self._transfer_for_workers(now, heartbeats_expected)

    async def transfer_to(self, successor: str, reason: str) -> None:
        """Step down, then announce it, so that the successor need not wait for a quorum lease to expire."""
        state = self._state
        state.step_down(f"leadership transfer to {successor}: {reason}")
        state.next_election_at = state.clock() + TRANSFER_BACKOFF_S
        self._release_quorum_leases(successor)

    async def resign(self, reason: str) -> None:
        """Step down, and let any other node be elected before this node is a candidate again."""
        await self._remove_leader_key(reason, backoff_s=TRANSFER_BACKOFF_S)
        self._release_quorum_leases()

    def _release_quorum_leases(self, successor: str | None = None) -> None:
        """Announce that this node, which has stepped down, needs its quorum leases no longer."""
        state = self._state
        self._peers.broadcast(
            PeerMessage(
                kind=MessageKind.RELEASE_VOTE,
                sender=state.node_name,
                fencing_token=state.fencing_token,
                transfer_to=successor,
            )
        )

    async def _return_to_quorum_lease(self, now: float, has_quorum: bool) -> None:
        """Remove the key of a leader by session lease once a majority has responded for QUORUM_STABLE_S.

        The nodes can then elect a leader by quorum lease.
        """
        state = self._state
        if not has_quorum:
            state.quorum_since = None
        elif state.quorum_since is None:
            state.quorum_since = now
        elif now - state.quorum_since > QUORUM_STABLE_S:
            await self._remove_leader_key("a majority responds again", backoff_s=0.0)

    async def _transfer_for_store(self, now: float) -> bool:
        """Transfer the leadership if the store has not responded for a while but responds to a peer.

        Return whether the leadership was transferred.
        """
        failing_since = self._store.failing_since
        if failing_since is None or now - failing_since <= STORE_FAILURE_TRANSFER_S:
            return False
        candidates = self._observations.peers_with_recent_store_contact(now, RECENT_REPORT_S)
        successors = await self._peers_with_store_contact(candidates)
        if not successors or self._store.failing_since is None:
            return False
        await self.transfer_to(min(successors), "the store responds to other nodes only")
        return True

    async def _transfer_for_workers(self, now: float, heartbeats_expected: bool) -> None:
        """Transfer the leadership if workers reach a peer but have not reached this node for a while."""
        state = self._state
        silent = (
            now - state.last_worker_heartbeat_at > NO_WORKER_HEARTBEAT_S
            and now - state.leader_since > NO_WORKER_HEARTBEAT_S
        )
        if not heartbeats_expected or not silent:
            return
        successors = self._observations.peers_with_recent_worker_heartbeats(now, RECENT_REPORT_S)
        if successors:
            await self.transfer_to(min(successors), "no worker reaches this node")

    async def _peers_with_store_contact(self, names: list[str]) -> list[str]:
        """Return those of the named peers to which the store responds at this moment; make them probe it.

        The peers' last reports may be a second old. A leader that relied on them, and was the only node whose requests
        were rejected, transferred its leadership to a peer just when the store went down for all nodes. No node led
        then, and all leases expired during the outage.
        """
        peers = [peer for peer in self._peers if peer.name in names]
        message = PeerMessage(kind=MessageKind.STORE_CONTACT, sender=self._state.node_name)
        in_contact: list[str] = []
        for _ in range(2):  # the first request triggers a probe, the second one reports its result
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

    async def _remove_leader_key(self, reason: str, backoff_s: float) -> None:
        """Step down, then remove the leader key, so that a node that can lead need not wait for it to expire."""
        state = self._state
        session_lease = state.session_lease
        state.step_down(reason)
        state.next_election_at = state.clock() + backoff_s
        if session_lease is not None:
            await revoke_session_lease(self._store, session_lease)


def _has_store_contact(response: PeerResponse) -> bool:
    return response.store_contact_age_s is not None and response.store_contact_age_s < RECENT_STORE_CONTACT_S
