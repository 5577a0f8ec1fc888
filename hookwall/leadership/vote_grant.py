"""The promise of support that a node gives to one leader or candidate at a time."""

from collections.abc import Callable

from hookwall.config.clock_bounds import DRIFT, SLACK_S

PROMISE_S = 5.0
VOTE_S = 1.5


class Promise:
    """What this node has promised. In memory only: see `guarded` for what a restart may do."""

    def __init__(self, me: str, clock: Callable[[], float]) -> None:
        self.me, self.clock = me, clock
        self.started = clock()
        self.holder = ""
        self.until = -1e9
        self.token = 0
        # Candidates that may have replaced a leader key: that key's stamp, and the number of the campaign. Such a
        # write may be carried out late.
        self.replacing: dict[str, tuple[int, int]] = {}
        # The leader key as read after this process started: (node, stamp); stamp 0: no key.
        self.seen_key: tuple[str, int] | None = None

    def guarded(self) -> bool:
        """A promise given before a restart is forgotten, so for its length none may be contradicted."""
        return self.clock() < self.started + PROMISE_S * (1 + DRIFT) + SLACK_S

    def no_key(self, position: int) -> None:
        """There was no leader key at this change of the state service: who led by an earlier one is not supported."""
        self.token = max(self.token, position + 1)

    def free_for(self, node: str) -> bool:
        return self.holder == node or self.clock() >= self.until

    def renew(self, node: str, token: int) -> bool:
        """A leader asks for support for its token."""
        if token < self.token or not self.free_for(node) or self.replaced(token):
            return False
        if self.guarded() and self.holder != node and (self.seen_key is None or self.seen_key[1] != token):
            return False
        self.holder, self.token = node, token
        self.until = self.clock() + PROMISE_S
        return True

    def vote(self, node: str, replaces: int = 0, dead: bool = True, campaign: int = 0) -> bool:
        """A candidate asks for support before it replaces the leader key that has the stamp `replaces`.

        From here on this node never supports the leader of that key again: the vote ends after a short time, but
        the candidate's write may be carried out after any time. `dead`: a leader key that names the candidate is
        that of an earlier process, or of a leadership that it gave up.
        """
        if not self.free_for(node):
            return False
        if self.guarded() and self.holder != node:
            # A key that is gone means that no leader's hold is valid; a key that names the
            # candidate means that the leader it names was an earlier process of that node.
            key = self.seen_key
            if key is None or (key[1] != 0 and not (key[0] == node and dead)):
                return False
        self.holder = node
        self.until = max(self.until, self.clock() + VOTE_S)
        if replaces:
            self.replacing[node] = (replaces, campaign)
        return True

    def replaced(self, token: int) -> bool:
        """Whether a candidate that this node voted for may have replaced the key of this token."""
        return any(token <= stamp for stamp, _ in self.replacing.values())

    def not_replaced(self, node: str, campaign: int) -> None:
        """A candidate says that it has not replaced a key in this campaign and is not going to.

        It may have begun another one since: this message may come late.
        """
        if self.replacing.get(node, (0, -1))[1] == campaign:
            del self.replacing[node]

    def release(self, node: str, token: int) -> None:
        """The holder gives its support back. A late copy must not undo a newer promise, hence the token."""
        if self.holder == node and token >= self.token:
            self.until = -1e9
