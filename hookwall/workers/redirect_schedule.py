"""When a worker whose lease a follower renews is redirected to a leader that it has not met.

Invariant: a worker is redirected at most once a period, and never to a leader whose fencing token it brought along.
"""

REDIRECT_PERIOD_S = 20.0


class RedirectSchedule:
    """The redirects of one lease delegate."""

    def __init__(self) -> None:
        """Nobody has come yet."""
        # The token with which each worker first came: the delegate's responses bring it the leader's.
        self.first_fencing_token: dict[str, int] = {}
        self.redirected_at: dict[str, float] = {}

    def record_arrival(self, machine: str, fencing_token: int) -> None:
        """A worker came with this token; only its first one counts."""
        self.first_fencing_token.setdefault(machine, fencing_token)

    def begin_if_due(self, machine: str, leader_token: int, now: float) -> bool:
        """Whether a worker that has come before should try the leader now; if so, its next period begins."""
        if self.first_fencing_token[machine] >= leader_token:
            return False
        redirected_at = self.redirected_at.get(machine)
        if redirected_at is not None and now - redirected_at < REDIRECT_PERIOD_S:
            return False
        self.redirected_at[machine] = now
        return True

    def clear(self) -> None:
        """The delegation has ended: whoever comes again comes for the first time."""
        self.first_fencing_token.clear()
        self.redirected_at.clear()
