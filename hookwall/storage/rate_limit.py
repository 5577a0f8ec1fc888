"""Pacing of requests to services that refuse what comes too fast."""

import math
from collections.abc import Callable

WANT_S = 2.0  # over which time the wish for requests and changes is smoothed


class TokenBucket:
    """Paces requests: `rate` a second with a burst, first come first served."""

    def __init__(self, rate: float, burst: float, clock: Callable[[], float]) -> None:
        self.rate, self.burst, self.clock = rate, burst, clock
        self.tokens, self.updated_at = burst, clock()

    def reserve(self, cost: float, most: float = math.inf) -> float | None:
        """Take `cost` and say how long to wait first; None, and nothing taken, if that is over `most`.

        A refusal must cost nothing: when it did, a leader that retried a large write each quarter of
        a second sank ever deeper into debt and never wrote again.
        """
        now = self.clock()
        self.tokens, self.updated_at = self.available(), now
        wait = max(0.0, (cost - self.tokens) / self.rate)
        if wait > most:
            return None
        self.tokens -= cost
        return wait

    def available(self) -> float:
        """What could be taken at once."""
        return min(self.burst, self.tokens + (self.clock() - self.updated_at) * self.rate)

    def set_share(self, rate: float, burst: float) -> None:
        """Change the pace; what has been taken stays taken."""
        self.rate, self.burst = rate, burst


class DemandEstimate:
    """How many requests and changes a second this node would make, those included that were refused for pace."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.at = clock()
        self.rates = [0.0, 0.0]

    def record(self, requests: float, changes: float) -> None:
        self.rates = [r + n / WANT_S for r, n in zip(self.rates_per_s(), (requests, changes), strict=True)]

    def rates_per_s(self) -> list[float]:
        """Decayed up to this moment."""
        now = self.clock()
        decay = math.exp(-max(0.0, now - self.at) / WANT_S)
        self.at, self.rates = now, [r * decay for r in self.rates]
        return self.rates
