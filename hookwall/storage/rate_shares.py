"""This node's share of the key-value store's limits, and the rates that a leader lends to a follower.

Invariant: the shares of all nodes together stay below the store's limits, as a leader does not use the rates that it
lends. Lender and borrower measure the duration of a loan on their own clocks, the borrower from the loan's arrival, so
both may use the lent rates for as long as a message takes.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.platform import StoreLimits
from hookwall.storage.rate_limit import DemandEstimate, TokenBucket

log = logging.getLogger(__name__)


class Rates(NamedTuple):
    """Requests and changes per second, or shares of the limits on them."""

    requests: float
    changes: float


class Loan(NamedTuple):
    """Rates that are lent until `expires_at` on this node's clock."""

    rates: Rates
    expires_at: float


NO_RATES = Rates(0.0, 0.0)
LEADER_SHARES = Rates(0.66, 0.76)  # followers need less, since they store only new jobs and cancellations
ALL_NODES_SHARE = 0.96  # share of the limits that a leader and its followers use together
SINGLE_NODE_SHARE = 0.95
INITIAL_SHARE = 0.25  # share of the limits before the node's role is known
NEVER_LENT_SHARE = 0.4  # share of the limits that a leader never lends
BURST_S = 0.7  # a burst is what a node's rate allows within this time
MIN_BURST = 2.0
MAX_WAIT_S = 1.0
LOAN_DURATION_S = 2.5  # how long a follower may use the rates that it was lent
DEMAND_HEADROOM = 1.3  # a loan raises a follower's rate to at most its demand times this factor


class RateShares:
    """Paces requests and changes below this node's share, since a rejection with 429 costs as much as a response.

    Attributes:
        requests: the token bucket for requests.
        changes: the token bucket for changed keys.
        demand: the rates at which this node wants to send.
        limits_lowered: whether this node has seen that the announced limits are in force; True if none are announced.
    """

    def __init__(self, limits: StoreLimits, node_count: int, clock: Callable[[], float]) -> None:
        """Create the shares of a follower without loans."""
        self.limits = limits
        self.node_count = node_count
        self.clock = clock
        self.limits_lowered = limits.next is None
        self.requests = TokenBucket(limits.rps * INITIAL_SHARE, limits.rps * INITIAL_SHARE, clock)
        self.changes = TokenBucket(limits.write_rps * INITIAL_SHARE, limits.write_rps * INITIAL_SHARE, clock)
        self.demand = DemandEstimate(clock)
        self.leading = False
        self._loans_by_peer: dict[str, Loan] = {}
        self._borrowed: Loan | None = None
        self.set_leading(False)

    def reserve(self, changes: float) -> float | None:
        """Reserve a request that makes `changes` changes, and return the seconds to wait before it is sent.

        Return None and reserve nothing if the wait would exceed `MAX_WAIT_S`.
        """
        self.demand.record(1.0, changes)
        self._end_expired_loans()
        changes_wait_s = self.changes.reserve(changes, MAX_WAIT_S) if changes else 0.0
        if changes_wait_s is None:
            return None
        request_wait_s = self.requests.reserve(1.0, MAX_WAIT_S)
        if request_wait_s is None:
            self.changes.refund(changes)
            return None
        return max(changes_wait_s, request_wait_s)

    def set_leading(self, leading: bool) -> None:
        """Switch to a leader's or a follower's share of the limits and drop all loans."""
        self.leading = leading
        self._loans_by_peer.clear()
        self._borrowed = None
        self._apply_share()

    def has_seen_lower_limits(self) -> bool:
        """Whether this node has seen that announced limits are in force."""
        return self.limits_lowered and self.limits.next is not None

    def apply_lower_limits(self, reason: str) -> None:
        """Stay below the announced limits from now on, as they are in force."""
        if self.limits_lowered:
            return
        log.info("key-value store limits lowered: reason=%s", reason)
        self.limits_lowered = True
        self._apply_share()
        for bucket in (self.requests, self.changes):
            bucket.exhaust()  # recent requests have used up the new limit of the current second

    def lend_rates(self, peer: str, demand: object) -> list[float]:
        """Lend a follower rates beyond its own share, according to the demand that it reports.

        Return the lent requests and changes per second, by which the leader reduces its own rates. Users connect to
        any healthy node, whether or not it leads. When two of three nodes had crashed, all users connected to one
        follower, and new jobs were accepted 20 s late because the follower's share was a tenth of the changes.
        """
        now = self.clock()
        self._loans_by_peer = {
            name: loan for name, loan in self._loans_by_peer.items() if loan.expires_at > now and name != peer
        }
        lent = self._loan_for(demand) if self.leading and self.node_count > 1 else NO_RATES
        if any(lent):
            self._loans_by_peer[peer] = Loan(lent, now + LOAN_DURATION_S)
        self._apply_share()
        return list(lent)

    def borrow_rates(self, lent: object) -> None:
        """Use the rates that the leader lends for `LOAN_DURATION_S`; `lent` is unvalidated input from a peer."""
        if isinstance(lent, list) and len(lent) == 2 and all(isinstance(n, float | int) and n >= 0 for n in lent):
            self._borrowed = Loan(Rates(float(lent[0]), float(lent[1])), self.clock() + LOAN_DURATION_S)
            self._apply_share()

    def _loan_for(self, demand: object) -> Rates:
        """The rates that can be lent to a follower with this demand; `demand` is unvalidated input from the peer."""
        if not isinstance(demand, list) or len(demand) != 2:
            return NO_RATES
        loans = [
            self._lendable_rate(wanted, limit, leader_share, lent)
            for wanted, limit, leader_share, lent in zip(
                demand, self._limits(), LEADER_SHARES, self._lent_rates(), strict=True
            )
        ]
        return Rates(*loans)

    def _lendable_rate(self, wanted: object, limit: float, leader_share: float, lent: float) -> float:
        if not isinstance(wanted, float | int) or not math.isfinite(wanted):
            return 0.0
        available = limit * (leader_share - NEVER_LENT_SHARE) - lent
        return max(0.0, min(DEMAND_HEADROOM * wanted - self._follower_rate(limit, leader_share), available))

    def _apply_share(self) -> None:
        """Set both buckets to this node's share, less the rates it has lent or plus those it has borrowed."""
        for bucket, rate in zip((self.requests, self.changes), self._effective_rates(), strict=True):
            bucket.set_share(rate, max(MIN_BURST, rate * BURST_S))

    def _effective_rates(self) -> list[float]:
        limits = self._limits()
        if self.node_count <= 1:
            return [limit * SINGLE_NODE_SHARE for limit in limits]
        if self.leading:
            lent_rates = self._lent_rates()
            return [limit * share - lent for limit, share, lent in zip(limits, LEADER_SHARES, lent_rates, strict=True)]
        borrowed_rates = self._borrowed.rates if self._borrowed is not None else NO_RATES
        return [
            self._follower_rate(limit, share) + borrowed
            for limit, share, borrowed in zip(limits, LEADER_SHARES, borrowed_rates, strict=True)
        ]

    def _follower_rate(self, limit: float, leader_share: float) -> float:
        """A follower's own share of a limit, per second."""
        return limit * (ALL_NODES_SHARE - leader_share) / (self.node_count - 1)

    def _lent_rates(self) -> Rates:
        """The sum of the rates that this leader has lent to its peers."""
        loans = self._loans_by_peer.values()
        return Rates(sum(loan.rates.requests for loan in loans), sum(loan.rates.changes for loan in loans))

    def _limits(self) -> Rates:
        return Rates(*self.limits.rates_per_s(self.limits_lowered))

    def _end_expired_loans(self) -> None:
        """Drop a borrowed loan that has expired, and the lent loans once all of them have expired."""
        now = self.clock()
        if self._borrowed is not None and now >= self._borrowed.expires_at:
            self._borrowed = None
            self._apply_share()
        if self._loans_by_peer and all(loan.expires_at <= now for loan in self._loans_by_peer.values()):
            self._loans_by_peer.clear()
            self._apply_share()
