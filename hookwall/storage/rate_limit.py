"""Client-side rate limits for services that reject requests above a limit.

Invariant: a refused reservation takes no tokens, so retries never delay later requests further.
"""

import math
from collections.abc import Callable

DEMAND_WINDOW_S = 2.0  # time over which the demand for requests and changes is smoothed


class TokenBucket:
    """Paces requests at `rate` per second with a burst, in the order of their reservations.

    Attributes:
        rate: tokens added per second.
        burst: the largest number of tokens in the bucket.
        tokens: the number of tokens at `updated_at`; it is negative while requests wait for their turn.
        updated_at: when `tokens` was computed, on `clock`.
    """

    def __init__(self, rate: float, burst: float, clock: Callable[[], float]) -> None:
        """Create a full bucket."""
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.updated_at = clock()

    def reserve(self, cost: float, max_wait_s: float = math.inf) -> float | None:
        """Reserve `cost` tokens and return the seconds to wait before the request is sent.

        Return None and reserve nothing if the wait would exceed `max_wait_s`. A refusal must take no tokens: when it
        did, the deficit of a leader that retried a large write every quarter of a second kept growing, and the leader
        never wrote again.
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
        """Discard the remaining tokens, as the service can't accept a burst now."""
        self.tokens = min(self.tokens, 0.0)

    def available(self) -> float:
        """The number of tokens that can be reserved without a wait; negative while requests wait."""
        return min(self.burst, self.tokens + (self.clock() - self.updated_at) * self.rate)

    def set_share(self, rate: float, burst: float) -> None:
        """Change the rate and the burst; existing reservations are kept."""
        self.rate = rate
        self.burst = burst


class DemandEstimate:
    """Estimates the requests and changes per second that this node wants to send, including those that were refused."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an estimate that starts without any demand."""
        self.clock = clock
        self.updated_at = clock()
        self._rates = [0.0, 0.0]

    def record(self, requests: float, changes: float) -> None:
        """Count requests and changes that this node wants to send now."""
        self._rates = [
            rate + count / DEMAND_WINDOW_S for rate, count in zip(self.rates_per_s(), (requests, changes), strict=True)
        ]

    def rates_per_s(self) -> list[float]:
        """Return the requests and changes per second, decayed up to now, in the form that is sent to peers."""
        now = self.clock()
        decay = math.exp(-max(0.0, now - self.updated_at) / DEMAND_WINDOW_S)
        self.updated_at = now
        self._rates = [rate * decay for rate in self._rates]
        return self._rates
