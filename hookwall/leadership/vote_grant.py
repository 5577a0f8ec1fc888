"""The grant that a node gives to one leader or candidate at a time: a vote, or a quorum lease.

A vote binds this node for a short time, while its candidate replaces the leader key; a quorum lease binds it for
longer, to the leader that the key names. Invariants: while a grant to one node binds, none is given to another; the
fencing tokens of granted quorum leases only rise; and a leader whose key a candidate may have replaced with this node's
vote gets no quorum lease from it again.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.leadership.instants import NEVER

QUORUM_LEASE_S = 5.0
VOTE_GRANT_S = 1.5


class ObservedLeaderKey(NamedTuple):
    """Whom the leader key names, and its version; version 0: there is no key."""

    leader: str
    version: int


class PendingReplacement(NamedTuple):
    """A write of the leader key that this node voted for and that may be carried out late."""

    version: int  # of the key that it replaces
    election_id: int


class VoteGrant:
    """What this node has granted. In memory only: `in_restart_guard` says what a restart may do."""

    def __init__(self, node_name: str, clock: Callable[[], float]) -> None:
        self.node_name = node_name
        self._clock = clock
        self.started_at = clock()
        self.holder = ""
        self.expires_at = NEVER
        self.fencing_token = 0  # the highest for which a quorum lease was granted, or that was observed
        self.pending_replacements: dict[str, PendingReplacement] = {}  # by candidate
        self.observed_key: ObservedLeaderKey | None = None  # as read after this process started

    def in_restart_guard(self) -> bool:
        """Whether a grant that an earlier process gave, and that is forgotten, may still bind this node."""
        return self._clock() < self.started_at + QUORUM_LEASE_S * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_S

    def observe_key_absent(self, revision: int) -> None:
        """There was no leader key at this revision: who led with an earlier one gets no quorum lease any more."""
        self.fencing_token = max(self.fencing_token, revision + 1)

    def available_to(self, node: str) -> bool:
        """Whether no grant to another node binds."""
        return self.holder == node or self._clock() >= self.expires_at

    def renew_lease(self, leader: str, fencing_token: int) -> bool:
        """Grant a quorum lease to a leader, or renew it; False if that is refused."""
        if fencing_token < self.fencing_token or not self.available_to(leader) or self.may_be_replaced(fencing_token):
            return False
        guarded = self.in_restart_guard() and self.holder != leader
        if guarded and not self._key_has_version(fencing_token):
            return False
        self.holder = leader
        self.fencing_token = fencing_token
        self.expires_at = self._clock() + QUORUM_LEASE_S
        return True

    def grant_vote(
        self, candidate: str, replaces_version: int = 0, proves_leader_gone: bool = True, election_id: int = 0
    ) -> bool:
        """Vote for a candidate before it replaces the leader key that has this version; False if that is refused.

        From here on the leader of that key never gets a quorum lease from this node again: the vote expires after a
        short time, but the candidate's write may be carried out after any time. `proves_leader_gone`: a leader key
        that names the candidate is that of an earlier process, or of a leadership that it gave up.
        """
        if not self.available_to(candidate):
            return False
        guarded = self.in_restart_guard() and self.holder != candidate
        if guarded and not self._key_permits_vote(candidate, proves_leader_gone):
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

        A key that is gone means that no leader's session lease is valid; a key that names the candidate means that the
        leader it names was an earlier process of that node.
        """
        key = self.observed_key
        if key is None:
            return False
        return key.version == 0 or (key.leader == candidate and proves_leader_gone)

    def may_be_replaced(self, fencing_token: int) -> bool:
        """Whether a candidate that this node voted for may have replaced the key of this fencing token."""
        return any(fencing_token <= pending.version for pending in self.pending_replacements.values())

    def clear_replacement(self, candidate: str, election_id: int) -> None:
        """A candidate has not replaced a key in this election and is not going to.

        It may have begun another one since: its message may come late.
        """
        pending = self.pending_replacements.get(candidate)
        if pending is not None and pending.election_id == election_id:
            del self.pending_replacements[candidate]

    def release(self, holder: str, fencing_token: int) -> None:
        """The holder gives its grant back. A late copy must not undo a newer grant, hence the fencing token."""
        if self.holder == holder and fencing_token >= self.fencing_token:
            self.expires_at = NEVER
