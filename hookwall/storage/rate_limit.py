"""Rate limits of requests to services that reject what comes too fast.

Invariant: a reservation that is refused costs nothing, so retries never push later requests further back.
"""

import math
from collections.abc import Callable

DEMAND_WINDOW_S = 2.0  # over which time the demand for requests and changes is smoothed


class TokenBucket:
    """Paces requests: `rate` a second with a burst, first come first served.

    Attributes:
        rate: tokens a second.
        burst: tokens that it holds at most.
        tokens: what it held at `updated_at`; below zero, requests are waiting for their turn.
        updated_at: when `tokens` was computed, on the clock.
    """

    def __init__(self, rate: float, burst: float, clock: Callable[[], float]) -> None:
        """Start with a full burst."""
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.updated_at = clock()

    def reserve(self, cost: float, max_wait_s: float = math.inf) -> float | None:
        """Reserve `cost` tokens and give the seconds to wait first; None, and nothing reserved, if over `max_wait_s`.

        A refusal must cost nothing: when it did, a leader that retried a large write each quarter of
        a second sank ever deeper into debt and never wrote again.
        """
        now = self.clock()
        self.tokens = self.available()
        self.updated_at = now
        wait_s = max(0.0, (cost - self.tokens) / self.rate)
        if wait_s > max_wait_s:
            return None
        self.tokens -= cost
        return wait_s

    def refund(self, cost: float) -> None:
        """Return tokens that were reserved for a request that was not sent."""
        self.tokens += cost

    def exhaust(self) -> None:
        """Drop the tokens that are left, as the service has no room for a burst."""
        self.tokens = min(self.tokens, 0.0)

    def available(self) -> float:
        """Tokens that could be reserved at once."""
        return min(self.burst, self.tokens + (self.clock() - self.updated_at) * self.rate)

    def set_share(self, rate: float, burst: float) -> None:
        """Change the rate and the burst; what has been reserved stays reserved."""
        self.rate = rate
        self.burst = burst


class DemandEstimate:
    """Requests and changes a second that this node would make, those included that its rate limit refused."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any demand."""
        self.clock = clock
        self.updated_at = clock()
        self._rates = [0.0, 0.0]

    def record(self, requests: float, changes: float) -> None:
        """Count requests and changes that are wanted now."""
        self._rates = [
            rate + count / DEMAND_WINDOW_S for rate, count in zip(self.rates_per_s(), (requests, changes), strict=True)
        ]

    def rates_per_s(self) -> list[float]:
        """Requests and changes a second, decayed up to this moment, as peers are sent them."""
        now = self.clock()
        decay = math.exp(-max(0.0, now - self.updated_at) / DEMAND_WINDOW_S)
        self.updated_at = now
        self._rates = [rate * decay for rate in self._rates]
        return self._rates
