"""Schedule for redirecting workers, whose leases a follower renews, to a leader that they have not contacted yet.

Invariant: a worker is redirected at most once per period, and never to a leader whose fencing token it already had when
it first arrived at the follower.
"""

REDIRECT_PERIOD_S = 20.0


class RedirectSchedule:
    """Tracks and limits the redirects that one lease delegate sends."""

    def __init__(self) -> None:
        """Start without any known worker."""
        # The fencing token of each worker's first heartbeat here. Later heartbeats may carry the current leader's token
        # only because the delegate's responses contain it.
        self.first_fencing_token: dict[str, int] = {}
        self.redirected_at: dict[str, float] = {}

    def record_first_token(self, machine: str, fencing_token: int) -> None:
        """Record the fencing token of a worker's first heartbeat; later calls for the worker have no effect."""
        self.first_fencing_token.setdefault(machine, fencing_token)

    def begin_redirect_if_due(self, machine: str, leader_token: int, now: float) -> bool:
        """Whether to redirect a recorded worker to the leader now; if so, the worker's next period begins."""
        if self.first_fencing_token[machine] >= leader_token:
            return False
        redirected_at = self.redirected_at.get(machine)
        if redirected_at is not None and now - redirected_at < REDIRECT_PERIOD_S:
            return False
        self.redirected_at[machine] = now
        return True

    def clear(self) -> None:
        """Forget all workers at the end of a delegation."""
        self.first_fencing_token.clear()
        self.redirected_at.clear()
