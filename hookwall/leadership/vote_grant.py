"""The grant that a node gives to one leader or candidate at a time: a vote or a quorum lease.

A vote binds this node for a short time, while its candidate replaces the leader key; a quorum lease binds it for
longer, to the leader that the key names. Invariants: while a grant to one node is binding, no other node gets a grant;
the fencing tokens of granted quorum leases only increase; and a leader whose key may have been replaced by a candidate
with this node's vote gets no quorum lease from this node again.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.leadership.instants import DISTANT_PAST

QUORUM_LEASE_S = 5.0
VOTE_GRANT_S = 1.5


class ObservedLeaderKey(NamedTuple):
    """The node that the leader key names, and the key's version; version 0 means that the key is absent."""

    leader: str
    version: int


class PendingReplacement(NamedTuple):
    """A write of the leader key that this node voted for and that may be executed late."""

    version: int  # version of the key that the write replaces
    election_id: int


class VoteGrant:
    """What this node has granted. Kept in memory only; `in_restart_grace_period` covers grants lost in a restart."""

    def __init__(self, node_name: str, clock: Callable[[], float]) -> None:
        self.node_name = node_name
        self._clock = clock
        self.started_at = clock()
        self.holder = ""
        self.expires_at = DISTANT_PAST
        self.fencing_token = 0  # highest token that was observed or for which a quorum lease was granted
        self.pending_replacements: dict[str, PendingReplacement] = {}  # by candidate
        self.observed_key: ObservedLeaderKey | None = None  # as read since this process started

    def in_restart_grace_period(self) -> bool:
        """Whether a grant that an earlier process gave, and this process has forgotten, may still bind this node."""
        return self._clock() < self.started_at + QUORUM_LEASE_S * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_S

    def observe_key_absent(self, revision: int) -> None:
        """Record the absence of the leader key at this revision: leaders with older keys get no quorum lease again."""
        self.fencing_token = max(self.fencing_token, revision + 1)

    def available_to(self, node: str) -> bool:
        """Whether no grant to another node is binding."""
        return self.holder == node or self._clock() >= self.expires_at

    def renew_lease(self, leader: str, fencing_token: int) -> bool:
        """Grant a quorum lease to a leader, or renew it; return False if the lease is refused."""
        if (
            fencing_token < self.fencing_token
            or not self.available_to(leader)
            or self.may_have_been_replaced(fencing_token)
        ):
            return False
        in_grace_period = self.in_restart_grace_period() and self.holder != leader
        if in_grace_period and not self._key_has_version(fencing_token):
            return False
        self.holder = leader
        self.fencing_token = fencing_token
        self.expires_at = self._clock() + QUORUM_LEASE_S
        return True

    def grant_vote(
        self, candidate: str, replaces_version: int = 0, proves_leader_gone: bool = True, election_id: int = 0
    ) -> bool:
        """Vote for a candidate that is about to replace the leader key with this version; return False if refused.

        From then on, the leader of that key gets no quorum lease from this node again, unless the candidate abandons
        the election (`clear_replacement`): the vote expires after a short time, but the candidate's write may be
        executed at any later time. `proves_leader_gone`: whether a leader key that names the candidate was written by
        an earlier process of the candidate or belongs to a leadership that the candidate gave up.
        """
        if not self.available_to(candidate):
            return False
        in_grace_period = self.in_restart_grace_period() and self.holder != candidate
        if in_grace_period and not self._key_permits_vote(candidate, proves_leader_gone):
            return False
        self.holder = candidate
        self.expires_at = max(self.expires_at, self._clock() + VOTE_GRANT_S)
        if replaces_version:
            self.pending_replacements[candidate] = PendingReplacement(replaces_version, election_id)
        return True

    def _key_has_version(self, fencing_token: int) -> bool:
        return self.observed_key is not None and self.observed_key.version == fencing_token

    def _key_permits_vote(self, candidate: str, proves_leader_gone: bool) -> bool:
        """Whether the leader key shows that no leader relies on a grant of an earlier process.

        An absent key means that no leader's session lease is valid. A key that names the candidate means that the
        leader was an earlier process of the candidate's node.
        """
        key = self.observed_key
        if key is None:
            return False
        return key.version == 0 or (key.leader == candidate and proves_leader_gone)

    def may_have_been_replaced(self, fencing_token: int) -> bool:
        """Whether a candidate that this node voted for may have replaced the key with this fencing token."""
        return any(fencing_token <= pending.version for pending in self.pending_replacements.values())

    def clear_replacement(self, candidate: str, election_id: int) -> None:
        """Record that a candidate has not replaced the key in this election and is not going to.

        A replacement of a later election stays recorded, since the candidate's message may arrive late.
        """
        pending = self.pending_replacements.get(candidate)
        if pending is not None and pending.election_id == election_id:
            del self.pending_replacements[candidate]

    def release(self, holder: str, fencing_token: int) -> None:
        """Release the holder's grant. The fencing token prevents a late message from releasing a newer grant."""
        if self.holder == holder and fencing_token >= self.fencing_token:
            self.expires_at = DISTANT_PAST
