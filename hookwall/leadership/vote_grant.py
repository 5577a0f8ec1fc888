"""The promise of support that a node gives to one leader or candidate at a time."""

from collections.abc import Callable

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S

QUORUM_LEASE_S = 5.0
VOTE_GRANT_S = 1.5


class VoteGrant:
    """What this node has promised. In memory only: see `guarded` for what a restart may do."""

    def __init__(self, me: str, clock: Callable[[], float]) -> None:
        self.node_name, self.clock = me, clock
        self.started_at = clock()
        self.holder = ""
        self.expires_at = -1e9
        self.fencing_token = 0
        # Candidates that may have replaced a leader key: that key's stamp, and the number of the campaign. Such a
        # write may be carried out late.
        self.pending_replacements: dict[str, tuple[int, int]] = {}
        # The leader key as read after this process started: (node, stamp); stamp 0: no key.
        self.observed_key: tuple[str, int] | None = None

    def in_restart_guard(self) -> bool:
        """A promise given before a restart is forgotten, so for its length none may be contradicted."""
        return self.clock() < self.started_at + QUORUM_LEASE_S * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_S

    def observe_key_absent(self, position: int) -> None:
        """There was no leader key at this change of the state service: who led by an earlier one is not supported."""
        self.fencing_token = max(self.fencing_token, position + 1)

    def available_to(self, node: str) -> bool:
        return self.holder == node or self.clock() >= self.expires_at

    def renew_lease(self, node: str, token: int) -> bool:
        """A leader asks for support for its token."""
        if token < self.fencing_token or not self.available_to(node) or self.may_be_replaced(token):
            return False
        if (
            self.in_restart_guard()
            and self.holder != node
            and (self.observed_key is None or self.observed_key[1] != token)
        ):
            return False
        self.holder, self.fencing_token = node, token
        self.expires_at = self.clock() + QUORUM_LEASE_S
        return True

    def grant_vote(self, node: str, replaces: int = 0, dead: bool = True, campaign: int = 0) -> bool:
        """A candidate asks for support before it replaces the leader key that has the stamp `replaces`.

        From here on this node never supports the leader of that key again: the vote ends after a short time, but
        the candidate's write may be carried out after any time. `dead`: a leader key that names the candidate is
        that of an earlier process, or of a leadership that it gave up.
        """
        if not self.available_to(node):
            return False
        if self.in_restart_guard() and self.holder != node:
            # A key that is gone means that no leader's hold is valid; a key that names the
            # candidate means that the leader it names was an earlier process of that node.
            key = self.observed_key
            if key is None or (key[1] != 0 and not (key[0] == node and dead)):
                return False
        self.holder = node
        self.expires_at = max(self.expires_at, self.clock() + VOTE_GRANT_S)
        if replaces:
            self.pending_replacements[node] = (replaces, campaign)
        return True

    def may_be_replaced(self, token: int) -> bool:
        """Whether a candidate that this node voted for may have replaced the key of this token."""
        return any(token <= stamp for stamp, _ in self.pending_replacements.values())

    def clear_replacement(self, node: str, campaign: int) -> None:
        """A candidate says that it has not replaced a key in this campaign and is not going to.

        It may have begun another one since: this message may come late.
        """
        if self.pending_replacements.get(node, (0, -1))[1] == campaign:
            del self.pending_replacements[node]

    def release(self, node: str, token: int) -> None:
        """The holder gives its support back. A late copy must not undo a newer promise, hence the token."""
        if self.holder == node and token >= self.fencing_token:
            self.expires_at = -1e9
