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

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.leadership.election import Election, session_lease_s
from hookwall.leadership.leader_key import LeaderKey
from hookwall.leadership.leadership_transfer import LeadershipTransfer
from hookwall.leadership.peer_handler import PeerMessageHandler
from hookwall.leadership.peer_heartbeat import PeerHeartbeat
from hookwall.leadership.peer_transport import PeerConnection
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_fence import VoteFence
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, ObservedLeaderKey, VoteGrant
from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import KnownCancellations, PeerMessage, PeerResponse, PeerStatus
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, RequestRejectedError, VersionedValue

log = logging.getLogger(__name__)

RENEW_HOLD_S = {LeaseMode.QUORUM_LEASE: 5.0, LeaseMode.SESSION_LEASE: 2.0}


class Leadership:
    """The state machine of one node's part in leading."""

    def __init__(
        self,
        me: str,
        size: int,
        peers: list[PeerConnection],
        store: KeyValueClient,
        clock: Callable[[], float],
        load: Callable[[], Awaitable[None]],
        on_change: Callable[[Role], None],
    ) -> None:
        self.node_name, self.peers, self.store, self.clock = me, peers, store, clock
        self.incarnation = random.SystemRandom().getrandbits(48)
        self.quorum = size // 2 + 1
        self.vote_grant = VoteGrant(me, clock)
        self.rebuild_state, self.on_role_change = load, on_change
        self.role = Role.FOLLOWER
        self.fencing_token = 0
        self.lease_mode = LeaseMode.QUORUM_LEASE
        self.session_lease: int | None = None
        self.session_lease_until = -1e9
        self.session_lease_renewed_at = -1e9
        self.quorum_acks: dict[str, float] = {}
        self.leader_since = -1e9
        self.key_was_absent = False  # whether there was no leader key: nobody has led for a hold's time
        self.leader_key = LeaderKey(clock)
        self.leader_contact_at = clock()  # when the node that the key names last asked for this one's support
        self.peer_store_healthy_at: dict[str, float] = {}
        self.peer_contact_at: dict[str, float] = {}
        self.peer_worker_heartbeats: dict[str, tuple[float, int]] = {}
        self.worker_heartbeats_seen = 0  # reports that reached this node lately, whoever leads
        self.last_worker_heartbeat_at = -1e9
        self.rate_demand: Callable[[], object] = lambda: None  # what this node wants of the state service
        self.lend_rate: Callable[[str, object], object] = lambda peer, want: None  # what this leader lends of its share
        self.on_rate_lent: Callable[[object], None] = lambda _: None
        # Beside promises (cancellations.py): the position that a leader says it has read, what a supporter tells
        # with its promise, what that tells the leader, and cancellations told for a user's sake.
        self.records_revision: Callable[[], int | None] = lambda: None
        self.known_cancellations: Callable[[int | None], KnownCancellations] = lambda position: KnownCancellations(
            (), False
        )
        self.on_known_cancellations: Callable[[str, float, KnownCancellations], None] = lambda peer, sent, told: None
        self.on_cancellations_announced: Callable[[object], bool] = lambda jobs: False
        # What a node says of itself in every message, and what that tells.
        self.local_status: Callable[[], PeerStatus] = PeerStatus
        self.on_peer_status: Callable[[str, PeerStatus], None] = lambda node, about: None
        self.peer_rate_demand: dict[str, tuple[float, object]] = {}
        self.on_validity_lapse: Callable[[], None] = lambda: None  # its validity has ended for a while
        self.successor_hints: Callable[[], object] = lambda: None
        self.on_successor_hints: Callable[[object], None] = lambda _: None
        self.vote_fence: VoteFence | None = None  # against votes that earlier processes of this node gave
        self.election, self.leadership_transfer, self.peer_handler = (
            Election(self),
            LeadershipTransfer(self),
            PeerMessageHandler(self),
        )
        self.peer_heartbeat = PeerHeartbeat(self)
        self.rank = sorted([me, *[p.name for p in peers]]).index(me)
        self.next_election_at = 0.0
        self.probe_requested = asyncio.Event()
        self.background_tasks: set[asyncio.Task] = set()

    # -- what others ask ---------------------------------------------------------------------

    def valid(self) -> bool:
        """Whether this node may command at this moment."""
        return self.role is Role.LEADER and self.clock() < self.valid_until()

    def valid_until(self) -> float:
        """Until when this leader may command if it hears nothing more."""
        if self.lease_mode is LeaseMode.SESSION_LEASE:
            return self.session_lease_until - TIMER_SLACK_S
        return min(self.quorum_lease_until(), self.session_lease_until) - TIMER_SLACK_S

    def quorum_lease_until(self) -> float:
        """Until when a majority, this node included, is bound by its promises."""
        if self.vote_grant.holder != self.node_name:
            return -1e9
        return min(
            self.vote_grant.expires_at,
            self.quorum_reached_at(self.quorum_acks) + QUORUM_LEASE_S * (1 - MAX_CLOCK_DRIFT),
        )

    def quorum_reached_at(self, sent: dict[str, float]) -> float:
        """The latest time since which a majority was asked and has answered; this node needs no asking."""
        need = self.quorum - 1
        if need == 0:
            return 1e18
        if need == 1:  # of three nodes, as each report asks
            return max(sent.values(), default=-1e9)
        return sorted(sent.values(), reverse=True)[need - 1] if len(sent) >= need else -1e9

    def leader_name(self) -> str | None:
        """Who leads, as far as this node knows."""
        if self.valid():
            return self.node_name
        if (
            self.vote_grant.holder != self.node_name
            and self.clock() < self.vote_grant.expires_at
            and self.vote_grant.fencing_token
        ):
            return self.vote_grant.holder
        if (
            self.leader_key.version
            and self.leader_key.lease_mode is LeaseMode.SESSION_LEASE
            and self.leader_key.leader != self.node_name
        ):
            return self.leader_key.leader
        return None

    def store_outage_is_shared(self) -> bool:
        """Whether peers answer and none of them has the state service: an outage, not our own trouble.

        A node that hears nothing from peers either has to count its trouble as its own, or users with
        open connections to it would be told 503 for as long as it lasts.
        """
        now = self.clock()
        heard = any(now - t < 3.0 for t in self.peer_contact_at.values())
        return heard and not any(now - t < 3.0 for t in self.peer_store_healthy_at.values())

    def may_grant(self) -> bool:
        """Whether no vote that an earlier process of this node gave can bind any more, as far as can be told."""
        return self.vote_fence is None or self.vote_fence.may_grant()

    # -- changes of state --------------------------------------------------------------------

    def transition_to(self, role: Role, why: str) -> None:
        """The one function for every change of role."""
        if role is self.role:
            return
        log.info("%s -> %s (%s), token %d", self.role.value, role.value, why, self.fencing_token)
        self.role = role
        if role is Role.LEADER:
            self.leader_since = self.clock()
        self.on_role_change(role)

    def begin_term(self, token: int, mode: LeaseMode, hold: int, sent: float) -> None:
        """The leader key was written for this node, with a hold that was asked for at `sent`."""
        self.fencing_token, self.lease_mode = token, mode
        self.session_lease, self.session_lease_until, self.session_lease_renewed_at = (
            hold,
            sent + session_lease_s(mode) * (1 - MAX_CLOCK_DRIFT),
            sent,
        )
        self.quorum_acks.clear()
        self.leadership_transfer.quorum_since = None

    def step_down(self, why: str) -> None:
        """Stop commanding. The hold is left alone: the key's stamp fences what is in flight."""
        if self.role is Role.FOLLOWER:
            return
        self.quorum_acks.clear()
        self.vote_grant.release(self.node_name, self.vote_grant.fencing_token)
        self.next_election_at = self.clock() + 1.0
        self.transition_to(Role.FOLLOWER, why)

    def observe_leader_key(self, value: object, stamp: int, position: int | None = None) -> None:
        """The leader key as the state service had it at a position (from a read or the watch); stamp 0: none."""
        if not self.leader_key.observe(value, stamp, position):
            return
        self.vote_grant.observed_key = ObservedLeaderKey(self.leader_key.leader, stamp)
        if stamp and self.leader_key.leader != self.node_name:
            self.vote_grant.fencing_token = max(self.vote_grant.fencing_token, stamp)
        if self.role.holds_leader_key() and stamp != self.fencing_token:
            self.step_down("the leader key has changed")

    def observe_fenced_leader_key(self, got: VersionedValue) -> None:
        """The leader key as it is now that no write can happen that relies on a vote of an earlier process.

        Such a write may have replaced a key before, and its own key may be gone again.
        """
        self.observe_leader_key(got.value, got.version, got.revision)
        if not got.version:
            self.vote_grant.observe_key_absent(got.revision)

    def report_validity_lapse(self) -> None:
        """Before validity is extended: if it has ended, another node may have been valid meanwhile."""
        if self.role is Role.LEADER and not self.valid():
            self.on_validity_lapse()

    # -- messages ----------------------------------------------------------------------------

    def handle_peer_message(self, raw: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer."""
        return self.peer_handler.handle(raw)

    def record_peer_answer(self, peer: PeerConnection, answer: PeerResponse) -> None:
        """What any answer of a peer tells."""
        self.peer_contact_at[peer.name] = self.clock()
        self.on_peer_status(peer.name, answer.sender_status())
        if answer.store_reachable:
            self.peer_store_healthy_at[peer.name] = self.clock()
        else:
            self.peer_store_healthy_at.pop(peer.name, None)
        self.peer_rate_demand[peer.name] = (self.clock(), answer.wanted_rates)
        if answer.heartbeat_count is not None:
            self.peer_worker_heartbeats[peer.name] = (self.clock(), answer.heartbeat_count)

    async def call_peer(self, peer: PeerConnection, message: PeerMessage, timeout: float = 1.0) -> PeerResponse | None:
        """A peer's answer, or None."""
        raw = await peer.call(peer_messages.encode_message(message), timeout=timeout)
        return None if raw is None else peer_messages.decode_response(raw)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all peers, whatever they answer."""
        for peer in self.peers:
            self.spawn(self.call_peer(peer, message))

    async def probe_store(self) -> None:
        """Keep knowing whether the state service answers this node, and whom the key names.

        An open watch says nothing in an outage, and a peer that believed the service to be well made
        a leader resign to it for nothing.
        """
        while True:
            try:
                async with asyncio.timeout(0.5):
                    await self.probe_requested.wait()
            except TimeoutError:
                if self.clock() - self.store.last_response_at < 0.8:
                    continue
            self.probe_requested.clear()
            try:
                got = await self.store.read(keys.LEADER_KEY)
            except (RequestRejectedError, OutcomeUnknownError):
                continue
            if got.version or self.role is Role.FOLLOWER:
                self.observe_leader_key(got.value, got.version, got.revision)

    # -- becoming and staying leader ---------------------------------------------------------

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Let something go on beside what this node does now."""
        task = asyncio.get_running_loop().create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    def call_all_peers(self, message: PeerMessage, timeout: float) -> list[asyncio.Task[PeerResponse | None]]:
        """Send a message to all peers; their answers as they come, None for none."""
        return [self.spawn(self.call_peer(peer, message, timeout)) for peer in self.peers]

    async def _renew_hold(self, now: float) -> None:
        """Renew the hold in time for the mode."""
        every = RENEW_HOLD_S[self.lease_mode]
        if now - self.session_lease_renewed_at < every or self.session_lease is None:
            return
        self.session_lease_renewed_at = now
        try:
            if await self.store.renew_session_lease(self.session_lease):
                self.report_validity_lapse()
                self.session_lease_until = now + session_lease_s(self.lease_mode) * (1 - MAX_CLOCK_DRIFT)
            else:
                self.step_down("the hold has ended")
        except (RequestRejectedError, OutcomeUnknownError):
            self.session_lease_renewed_at = now - every + 1.0

    async def run(self, machines_expected: Callable[[], bool]) -> None:
        """Campaign when nobody leads; renew the hold and look after the own fitness while leading."""
        await asyncio.sleep(0.2 * self.rank)
        while True:
            await asyncio.sleep(0.2)
            if self.role is Role.FOLLOWER and self.election.may_start():
                await self.election.run_once()
            if self.role is Role.LEADER:
                await self._renew_hold(self.clock())
            if self.role is Role.LEADER:
                await self.leadership_transfer.check_fitness(self.clock(), machines_expected())
