"""How fast this node may use the state service: its share of the service's limits, and what nodes lend each other."""

import logging
import math
from collections.abc import Callable

from hookwall.config.platform import StoreLimits
from hookwall.storage.rate_limit import DemandEstimate, TokenBucket

log = logging.getLogger(__name__)

MOST_WAIT_S = 1.0
FIRST_SHARE = 0.25  # of the limits, before a role is known
LEADS = (0.66, 0.76)  # a leader's share of requests and of changes; followers store new jobs and cancellations only
KEEPS = 0.4  # of the limits, a leader never lends
LENT_S = 2.5  # how long a follower may use what it was lent


class RateShares:
    """Paces requests and changes below this node's share, since a 429 costs as much as an answer."""

    def __init__(self, limits: StoreLimits, nodes: int, clock: Callable[[], float]) -> None:
        self.limits, self.node_count, self.clock = limits, nodes, clock
        self.limits_lowered = (
            limits.next is None
        )  # whether the limits to come are in force, as far as this node has seen
        self.requests = TokenBucket(limits.rps * FIRST_SHARE, limits.rps * FIRST_SHARE, clock)
        self.changes = TokenBucket(limits.write_rps * FIRST_SHARE, limits.write_rps * FIRST_SHARE, clock)
        self.demand = DemandEstimate(clock)
        self.leading = False
        self.lent: dict[str, tuple[tuple[float, float], float]] = {}
        self.borrowed, self.borrowed_until = (0.0, 0.0), -1e9
        self.set_leading(False)

    def reserve(self, changes: float) -> float | None:
        """Take a request with so many changes, and say how long to wait first; None, and nothing taken: too long."""
        self.demand.record(1.0, changes)
        self._end_expired_loans()
        wait = self.changes.reserve(changes, MOST_WAIT_S) if changes else 0.0
        if wait is None:
            return None
        more = self.requests.reserve(1.0, MOST_WAIT_S)
        if more is None:
            self.changes.tokens += changes  # not sent after all
            return None
        return max(wait, more)

    def set_leading(self, leading: bool) -> None:
        """Take a leader's or a follower's share of the service's limits; nothing is lent or borrowed yet."""
        self.leading = leading
        self.lent.clear()
        self.borrowed, self.borrowed_until = (0.0, 0.0), -1e9
        self._set()

    def _set(self) -> None:
        """Set the pace to this node's share, with what it has lent or borrowed."""
        for i, (bucket, limit) in enumerate(self._buckets()):
            if self.node_count <= 1:
                rate = limit * 0.95
            elif self.leading:
                rate = limit * LEADS[i] - self._lent_out(i)
            else:
                rate = self._follower(i, limit) + self.borrowed[i]
            bucket.set_share(rate, max(2.0, rate * 0.7))

    def _follower(self, i: int, limit: float) -> float:
        """A follower's own share of a limit."""
        return limit * (0.96 - LEADS[i]) / (self.node_count - 1)

    def _lent_out(self, i: int) -> float:
        """What this leader has lent of a limit."""
        return sum(lent[i] for lent, _ in self.lent.values())

    def _buckets(self) -> tuple[tuple[TokenBucket, float], tuple[TokenBucket, float]]:
        rates = self.limits.rates_per_s(self.limits_lowered)
        return (self.requests, rates[0]), (self.changes, rates[1])

    def has_seen_lower_limits(self) -> bool:
        """Whether limits to come have been seen to be in force."""
        return self.limits_lowered and self.limits.next is not None

    def apply_lower_limits(self, why: str) -> None:
        """The limits to come are in force: keep to their pace from now on."""
        if self.limits_lowered:
            return
        log.info("state service: lower limits are in force (%s)", why)
        self.limits_lowered = True
        self._set()
        for bucket, _ in self._buckets():
            bucket.tokens = min(bucket.tokens, 0.0)  # what was sent just now has used up this second

    def lend_rates(self, peer: str, want: object) -> list[float]:
        """What a follower may make beyond its own share, by what it said it wants. The leader makes so much less.

        Users come to the healthy nodes, whoever leads. When two of three nodes had crashed, all came to
        one follower, and with its tenth of the changes new jobs were accepted 20 s late.
        """
        now = self.clock()
        self.lent = {p: (lent, until) for p, (lent, until) in self.lent.items() if until > now and p != peer}
        out = [0.0, 0.0]
        if self.leading and self.node_count > 1 and isinstance(want, list) and len(want) == 2:
            for i, (_, limit) in enumerate(self._buckets()):
                if isinstance(want[i], float | int) and math.isfinite(want[i]):
                    left = limit * (LEADS[i] - KEEPS) - self._lent_out(i)
                    out[i] = max(0.0, min(1.3 * want[i] - self._follower(i, limit), left))
        if any(out):
            self.lent[peer] = ((out[0], out[1]), now + LENT_S)
        self._set()
        return out

    def borrow_rates(self, lent: object) -> None:
        """The leader lends some of its share, for a short while."""
        if isinstance(lent, list) and len(lent) == 2 and all(isinstance(n, float | int) and n >= 0 for n in lent):
            self.borrowed = (float(lent[0]), float(lent[1]))
            self.borrowed_until = self.clock() + LENT_S
            self._set()

    def _end_expired_loans(self) -> None:
        """End what was lent or borrowed for a while that is over."""
        now = self.clock()
        if any(self.borrowed) and now >= self.borrowed_until:
            self.borrowed = (0.0, 0.0)
            self._set()
        if self.lent and all(until <= now for _, until in self.lent.values()):
            self.lent.clear()
            self._set()
