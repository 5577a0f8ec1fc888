"""The state machine of one node's leadership, and the rules that bound a leader's validity.

The leader is named by a key in the key-value store that is attached to a session lease. The version of that key is the
fencing token, so tokens only increase, and each write of the leader is conditional on it. Invariant: at most one node
is valid at any time. No node is valid without the key: a leader counts its session lease from *sending* the last
renewal that succeeded, less the clock drift.

The key states in which of two modes its leader is valid:

- Quorum lease: the leader is valid while a majority of nodes has granted it quorum leases, counted from sending the
  requests, and its long session lease can't have ended. A node that granted a quorum lease grants none to another node
  for QUORUM_LEASE_S. Such a leader may therefore be replaced once a majority is available, whether or not its key still
  exists. An outage of the store does not end its leadership, as no other node could take over during the outage.
- Session lease: the leader is valid while its short session lease can't have ended, regardless of peers' responses.
  This mode is for nodes that do not reach each other, for example because a packet filter blocks only the traffic
  between them. No node replaces such a leader before its key is gone.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.leadership.instants import DISTANT_FUTURE, DISTANT_PAST
from hookwall.leadership.leader_key import LeaderKey, LeaderRecord
from hookwall.leadership.random_ids import random_id
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_fence import VoteFence
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, ObservedLeaderKey, VoteGrant
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import VersionedValue

log = logging.getLogger(__name__)

STEP_DOWN_BACKOFF_S = 1.0  # until a node that stepped down starts its next election


class Term(NamedTuple):
    """A new term of leadership, as it results from the write of the leader key."""

    record: LeaderRecord
    fencing_token: int
    session_lease: int
    session_lease_requested_at: float
    session_lease_until: float
    key_was_absent: bool


class LeadershipState:
    """One node's role, fencing token and leases, its validity as a leader, and the transitions between roles."""

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
        self.leader_since = DISTANT_PAST
        self.next_election_at = 0.0
        self.leader_contact_at = clock()  # when a leader last obtained a quorum lease from this node
        self.leader_key = LeaderKey(clock)
        self.vote_grant = VoteGrant(node_name, clock)
        self.vote_fence = VoteFence(node_name, store, self.observe_fenced_leader_key) if fence_votes else None

        self.fencing_token = 0
        self.lease_mode = LeaseMode.QUORUM_LEASE
        # Whether the leader key was absent when this term began: no node had then led for the time of a session lease.
        self.key_was_absent = False
        self.session_lease: int | None = None
        self.session_lease_until = DISTANT_PAST
        self.session_lease_renewed_at = DISTANT_PAST
        self.quorum_acks: dict[str, float] = {}  # by peer: when the last request that it granted was sent
        self.quorum_since: float | None = None  # in session lease mode: since when a majority grants leases again

        self.worker_heartbeat_count = 0  # worker heartbeats that have reached this node, whichever node leads
        self.last_worker_heartbeat_at = DISTANT_PAST

    # -- validity ----------------------------------------------------------------------------

    def valid(self) -> bool:
        """Whether this node may act as leader at this moment."""
        return self.role is Role.LEADER and self.clock() < self.valid_until()

    def valid_until(self) -> float:
        """Return until when this leader stays valid if none of its leases is renewed."""
        if self.lease_mode is LeaseMode.SESSION_LEASE:
            return self.session_lease_until - TIMER_SLACK_S
        return min(self.quorum_lease_until(), self.session_lease_until) - TIMER_SLACK_S

    def quorum_lease_until(self) -> float:
        """Return until when a majority, including this node, is bound by the quorum leases that it granted."""
        if self.vote_grant.holder != self.node_name:
            return DISTANT_PAST
        peers_until = self.quorum_reached_at(self.quorum_acks) + QUORUM_LEASE_S * (1 - MAX_CLOCK_DRIFT)
        return min(self.vote_grant.expires_at, peers_until)

    def quorum_reached_at(self, sent_at: dict[str, float]) -> float:
        """Return the latest time since which a majority has been sent a request and has responded to it.

        `sent_at` gives for each peer when the last request that it responded to was sent. This node counts towards the
        majority without an entry.
        """
        needed = self.quorum - 1
        if needed == 0:
            return DISTANT_FUTURE
        if needed == 1:  # three nodes; avoids sorting, since this runs for each worker heartbeat
            return max(sent_at.values(), default=DISTANT_PAST)
        return sorted(sent_at.values(), reverse=True)[needed - 1] if len(sent_at) >= needed else DISTANT_PAST

    def leader_name(self) -> str | None:
        """Return the node that leads, as far as this node knows; None if it knows of none."""
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
        """Whether no vote of an earlier process of this node can still be binding, as far as this node can know."""
        return self.vote_fence is None or self.vote_fence.may_grant()

    def report_validity_lapse(self) -> None:
        """Report that the leader's validity has ended, if it has; must be called before validity is extended.

        Another node may have been valid in the meantime.
        """
        if self.role is Role.LEADER and not self.valid():
            self._on_validity_lapse()

    # -- transitions -------------------------------------------------------------------------

    def start_election(self) -> None:
        """FOLLOWER → CANDIDATE."""
        self._transition_to(Role.CANDIDATE, "no valid leader is known")

    def begin_term(self, term: Term) -> None:
        """CANDIDATE → LOADING: this node has written the leader key."""
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
        """LOADING → LEADER: the state has been rebuilt from the records."""
        self.leader_since = self.clock()
        self._transition_to(Role.LEADER, "the state is rebuilt")

    def lose_election(self, backoff_s: float) -> None:
        """CANDIDATE → FOLLOWER, or LOADING → FOLLOWER by stepping down if the state could not be rebuilt."""
        self.next_election_at = self.clock() + backoff_s
        if self.role is Role.CANDIDATE:
            self._release_own_grant()
            self._transition_to(Role.FOLLOWER, "the election failed")
        else:
            self.step_down("the state could not be rebuilt")

    def step_down(self, reason: str) -> None:
        """Any role → FOLLOWER: stop acting as leader.

        The session lease is not revoked: the version of the key fences the writes that are in flight.
        """
        if self.role is Role.FOLLOWER:
            return
        self.quorum_acks.clear()
        self._release_own_grant()
        self.next_election_at = self.clock() + STEP_DOWN_BACKOFF_S
        self._transition_to(Role.FOLLOWER, reason)

    def _release_own_grant(self) -> None:
        self.vote_grant.release(self.node_name, self.vote_grant.fencing_token)

    def _transition_to(self, role: Role, reason: str) -> None:
        """Change the role; no other method does."""
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
        """Record the leader key as the store had it at a revision (from a read or the watch); version 0: absent.

        A leader steps down if its key was replaced or is gone.
        """
        if not self.leader_key.observe(value, version, revision):
            return
        self.vote_grant.observed_key = ObservedLeaderKey(self.leader_key.leader, version)
        if version and self.leader_key.leader != self.node_name:
            self.vote_grant.fencing_token = max(self.vote_grant.fencing_token, version)
        if self.role.holds_leader_key() and version != self.fencing_token:
            self.step_down("the leader key has changed")

    def observe_fenced_leader_key(self, stored: VersionedValue) -> None:
        """Record the leader key as read once the vote fence blocks all writes that rely on votes of earlier processes.

        Before that, such a write may have replaced the leader key, and the key that it wrote may be gone again.
        """
        self.observe_leader_key(stored.value, stored.version, stored.revision)
        if not stored.version:
            self.vote_grant.observe_key_absent(stored.revision)
