"""Who may command: the state machine of one node's part in leading, and what bounds a leader's validity.

The leader is named by a key attached to a session lease in the key-value store. The version of that key is the fencing
token, so tokens only rise, and each write of the leader depends on it. Invariant: at most one node is valid at any
time. Without the key nobody is valid: a leader counts its session lease from *sending* the last renewal that succeeded,
less drift.

The key says in which of two modes its leader is valid:

- By quorum lease: while a majority of nodes has granted its lease, counted from sending the request, and the long
  session lease can't have ended. A node that granted one grants none to another node for QUORUM_LEASE_S, so such a
  leader may be replaced, key or no key, once a majority is available; and an outage of the store, which nobody can use
  for a failover, does not end its leadership.
- By session lease: while its short session lease can't have ended, whatever peers respond. This is for nodes that do
  not reach each other (a packet filter between them leaves all else working). Nobody replaces such a leader before its
  key is gone.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.leadership.instants import FOREVER, NEVER
from hookwall.leadership.leader_key import LeaderKey, LeaderRecord
from hookwall.leadership.random_ids import random_id
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_fence import VoteFence
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, ObservedLeaderKey, VoteGrant
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import VersionedValue

log = logging.getLogger(__name__)

STEP_DOWN_PAUSE_S = 1.0  # before the next election of a node that stepped down


class Term(NamedTuple):
    """A leadership that begins: what the write of the leader key has given."""

    record: LeaderRecord
    fencing_token: int
    session_lease: int
    session_lease_requested_at: float
    session_lease_until: float
    key_was_absent: bool


class LeadershipState:
    """Role, fencing token and leases of one node, its validity as a leader, and the transitions between roles."""

    def __init__(
        self,
        node_name: str,
        node_count: int,
        store: KeyValueClient,
        clock: Callable[[], float],
        on_role_change: Callable[[Role], None],
        on_validity_lapse: Callable[[], None],
        fence_votes: bool,
    ) -> None:
        self.node_name = node_name
        self.clock = clock
        self.incarnation = random_id()
        self.quorum = node_count // 2 + 1
        self._on_role_change = on_role_change
        self._on_validity_lapse = on_validity_lapse

        self.role = Role.FOLLOWER
        self.leader_since = NEVER
        self.next_election_at = 0.0
        self.leader_contact_at = clock()  # when the leader that the key names last requested a quorum lease here
        self.leader_key = LeaderKey(clock)
        self.vote_grant = VoteGrant(node_name, clock)
        self.vote_fence = VoteFence(node_name, store, self.observe_fenced_leader_key) if fence_votes else None

        self.fencing_token = 0
        self.lease_mode = LeaseMode.QUORUM_LEASE
        self.key_was_absent = False  # when this term began: nobody had led for a session lease's time
        self.session_lease: int | None = None
        self.session_lease_until = NEVER
        self.session_lease_renewed_at = NEVER
        self.quorum_acks: dict[str, float] = {}  # by peer, when the last request was sent that it granted
        self.quorum_since: float | None = None  # by session lease: since when a majority has granted its lease again

        self.worker_heartbeats_seen = 0  # that reached this node lately, whoever leads
        self.last_worker_heartbeat_at = NEVER

    # -- validity ----------------------------------------------------------------------------

    def valid(self) -> bool:
        """Whether this node may command at this moment."""
        return self.role is Role.LEADER and self.clock() < self.valid_until()

    def valid_until(self) -> float:
        """Until when this leader may command if no lease of it is renewed."""
        if self.lease_mode is LeaseMode.SESSION_LEASE:
            return self.session_lease_until - TIMER_SLACK_S
        return min(self.quorum_lease_until(), self.session_lease_until) - TIMER_SLACK_S

    def quorum_lease_until(self) -> float:
        """Until when a majority, this node included, is bound by the quorum leases that it granted."""
        if self.vote_grant.holder != self.node_name:
            return NEVER
        peers_until = self.quorum_reached_at(self.quorum_acks) + QUORUM_LEASE_S * (1 - MAX_CLOCK_DRIFT)
        return min(self.vote_grant.expires_at, peers_until)

    def quorum_reached_at(self, sent_at: dict[str, float]) -> float:
        """The latest time since which a majority was sent a request and has responded.

        `sent_at` has, by peer, when the last request was sent that it responded to; this node needs none.
        """
        needed = self.quorum - 1
        if needed == 0:
            return FOREVER
        if needed == 1:  # of three nodes; this is on the path of each worker heartbeat
            return max(sent_at.values(), default=NEVER)
        return sorted(sent_at.values(), reverse=True)[needed - 1] if len(sent_at) >= needed else NEVER

    def leader_name(self) -> str | None:
        """Which node leads, as far as this one knows; None if it knows of none."""
        if self.valid():
            return self.node_name
        grant = self.vote_grant
        if grant.holder != self.node_name and self.clock() < grant.expires_at and grant.fencing_token:
            return grant.holder
        key = self.leader_key
        if key.version and key.lease_mode is LeaseMode.SESSION_LEASE and key.leader != self.node_name:
            return key.leader
        return None

    def may_grant(self) -> bool:
        """Whether no vote that an earlier process of this node gave can bind any more, as far as can be known."""
        return self.vote_fence is None or self.vote_fence.may_grant()

    def report_validity_lapse(self) -> None:
        """Before validity is extended: if it has ended, another node may have been valid meanwhile."""
        if self.role is Role.LEADER and not self.valid():
            self._on_validity_lapse()

    # -- transitions -------------------------------------------------------------------------

    def start_election(self) -> None:
        """FOLLOWER → CANDIDATE."""
        self._transition_to(Role.CANDIDATE, "no valid leader is known")

    def begin_term(self, term: Term) -> None:
        """CANDIDATE → LOADING: the leader key was written for this node."""
        self.key_was_absent = term.key_was_absent
        self.fencing_token = term.fencing_token
        self.lease_mode = term.record.lease_mode
        self.session_lease = term.session_lease
        self.session_lease_until = term.session_lease_until
        self.session_lease_renewed_at = term.session_lease_requested_at
        self.quorum_acks.clear()
        self.quorum_since = None
        self.observe_leader_key(term.record.encode(), term.fencing_token)
        self.vote_grant.renew_lease(self.node_name, term.fencing_token)
        self._transition_to(Role.LOADING, f"elected, lease mode {self.lease_mode.value}")

    def complete_loading(self) -> None:
        """LOADING → LEADER: the state is rebuilt from the records."""
        self.leader_since = self.clock()
        self._transition_to(Role.LEADER, "the state is rebuilt")

    def lose_election(self, pause_s: float) -> None:
        """CANDIDATE → FOLLOWER, or from LOADING, by stepping down, if the state could not be rebuilt."""
        self.next_election_at = self.clock() + pause_s
        if self.role is Role.CANDIDATE:
            self._release_own_grant()
            self._transition_to(Role.FOLLOWER, "the election failed")
        else:
            self.step_down("the state could not be rebuilt")

    def step_down(self, reason: str) -> None:
        """Any role → FOLLOWER: stop commanding.

        The session lease is left alone: the version of the key fences the writes that are in flight.
        """
        if self.role is Role.FOLLOWER:
            return
        self.quorum_acks.clear()
        self._release_own_grant()
        self.next_election_at = self.clock() + STEP_DOWN_PAUSE_S
        self._transition_to(Role.FOLLOWER, reason)

    def _release_own_grant(self) -> None:
        self.vote_grant.release(self.node_name, self.vote_grant.fencing_token)

    def _transition_to(self, role: Role, reason: str) -> None:
        """The one place where the role changes."""
        if role is self.role:
            return
        log.info(
            "leadership role changed: from=%s to=%s reason=%r fencing_token=%d",
            self.role.value, role.value, reason, self.fencing_token,
        )  # fmt: skip
        self.role = role
        self._on_role_change(role)

    # -- the leader key ----------------------------------------------------------------------

    def observe_leader_key(self, value: object, version: int, revision: int | None = None) -> None:
        """The leader key as the store had it at a revision (from a read or the watch); version 0: none.

        A leader whose key was replaced or is gone steps down.
        """
        if not self.leader_key.observe(value, version, revision):
            return
        self.vote_grant.observed_key = ObservedLeaderKey(self.leader_key.leader, version)
        if version and self.leader_key.leader != self.node_name:
            self.vote_grant.fencing_token = max(self.vote_grant.fencing_token, version)
        if self.role.holds_leader_key() and version != self.fencing_token:
            self.step_down("the leader key has changed")

    def observe_fenced_leader_key(self, stored: VersionedValue) -> None:
        """The leader key as it is now that no write can happen that relies on a vote of an earlier process.

        Such a write may have replaced a key before, and its own key may be gone again.
        """
        self.observe_leader_key(stored.value, stored.version, stored.revision)
        if not stored.version:
            self.vote_grant.observe_key_absent(stored.revision)
