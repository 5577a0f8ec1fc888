"""This node's share of the key-value store's limits, and the rates that a leader lends to a follower.

Invariant: the shares of all nodes together stay below the store's limits, as a leader does not use what it lends. Both
count a loan's time on their own clock, the borrower from its arrival, so for the time of a message both may use it.
"""

import logging
import math
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.platform import StoreLimits
from hookwall.storage.rate_limit import DemandEstimate, TokenBucket

log = logging.getLogger(__name__)


class Rates(NamedTuple):
    """Requests and changes a second, or shares of these limits."""

    requests: float
    changes: float


class Loan(NamedTuple):
    """Rates that were lent up to a moment on this node's clock."""

    rates: Rates
    expires_at: float


NO_RATES = Rates(0.0, 0.0)
LEADER_SHARES = Rates(0.66, 0.76)  # followers store new jobs and cancellations only
ALL_NODES_SHARE = 0.96  # of the limits, by a leader and its followers together
SINGLE_NODE_SHARE = 0.95
INITIAL_SHARE = 0.25  # of the limits, before a role is known
NEVER_LENT_SHARE = 0.4  # of the limits, which a leader never lends
BURST_S = 0.7  # of a node's rate
MIN_BURST = 2.0
MAX_WAIT_S = 1.0
LOAN_S = 2.5  # how long a follower may use what it was lent
DEMAND_HEADROOM = 1.3  # a follower is lent so much more than it wants


class RateShares:
    """Paces requests and changes below this node's share, since a 429 costs as much as a response.

    Attributes:
        requests: the bucket of requests.
        changes: the bucket of changed keys.
        demand: what this node would like to send.
        limits_lowered: whether the limits to come are in force, as far as this node has seen.
    """

    def __init__(self, limits: StoreLimits, node_count: int, clock: Callable[[], float]) -> None:
        """Start with a follower's share."""
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
        """Reserve a request with so many changes; gives the seconds to wait first, or None, and nothing reserved."""
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
        """Use a leader's or a follower's share of the limits; nothing is lent or borrowed yet."""
        self.leading = leading
        self._loans_by_peer.clear()
        self._borrowed = None
        self._apply_share()

    def has_seen_lower_limits(self) -> bool:
        """Whether limits to come have been seen to be in force."""
        return self.limits_lowered and self.limits.next is not None

    def apply_lower_limits(self, reason: str) -> None:
        """The limits to come are in force: stay below them from now on."""
        if self.limits_lowered:
            return
        log.info("key-value store limits lowered: reason=%s", reason)
        self.limits_lowered = True
        self._apply_share()
        for bucket in (self.requests, self.changes):
            bucket.exhaust()  # what was sent just now has used up this second

    def lend_rates(self, peer: str, demand: object) -> list[float]:
        """Requests and changes a second that a follower may make beyond its own share, by the demand that it reports.

        The leader makes so much less. Users come to the healthy nodes, whoever leads. When two of three nodes had
        crashed, all came to one follower, and with its tenth of the changes new jobs were accepted 20 s late.
        """
        now = self.clock()
        self._loans_by_peer = {
            name: loan for name, loan in self._loans_by_peer.items() if loan.expires_at > now and name != peer
        }
        lent = self._loan_for(demand) if self.leading and self.node_count > 1 else NO_RATES
        if any(lent):
            self._loans_by_peer[peer] = Loan(lent, now + LOAN_S)
        self._apply_share()
        return list(lent)

    def borrow_rates(self, lent: object) -> None:
        """Use what the leader lends of its share, for a short while; `lent` is as a peer has sent it."""
        if isinstance(lent, list) and len(lent) == 2 and all(isinstance(n, float | int) and n >= 0 for n in lent):
            self._borrowed = Loan(Rates(float(lent[0]), float(lent[1])), self.clock() + LOAN_S)
            self._apply_share()

    def _loan_for(self, demand: object) -> Rates:
        """What can be lent to a follower with this demand, which is as the peer has sent it."""
        if not isinstance(demand, list) or len(demand) != 2:
            return NO_RATES
        loans = [
            self._loan_of_limit(wanted, limit, leader_share, lent)
            for wanted, limit, leader_share, lent in zip(
                demand, self._limits(), LEADER_SHARES, self._lent_rates(), strict=True
            )
        ]
        return Rates(*loans)

    def _loan_of_limit(self, wanted: object, limit: float, leader_share: float, lent: float) -> float:
        if not isinstance(wanted, float | int) or not math.isfinite(wanted):
            return 0.0
        available = limit * (leader_share - NEVER_LENT_SHARE) - lent
        return max(0.0, min(DEMAND_HEADROOM * wanted - self._follower_rate(limit, leader_share), available))

    def _apply_share(self) -> None:
        """Set both buckets to this node's share, with what it has lent or borrowed."""
        for bucket, rate in zip((self.requests, self.changes), self._own_rates(), strict=True):
            bucket.set_share(rate, max(MIN_BURST, rate * BURST_S))

    def _own_rates(self) -> list[float]:
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
        """A follower's own share of a limit, a second."""
        return limit * (ALL_NODES_SHARE - leader_share) / (self.node_count - 1)

    def _lent_rates(self) -> Rates:
        """What this leader has lent to all peers."""
        loans = self._loans_by_peer.values()
        return Rates(sum(loan.rates.requests for loan in loans), sum(loan.rates.changes for loan in loans))

    def _limits(self) -> Rates:
        return Rates(*self.limits.rates_per_s(self.limits_lowered))

    def _end_expired_loans(self) -> None:
        """End what was lent or borrowed for a while that is over."""
        now = self.clock()
        if self._borrowed is not None and now >= self._borrowed.expires_at:
            self._borrowed = None
            self._apply_share()
        if self._loans_by_peer and all(loan.expires_at <= now for loan in self._loans_by_peer.values()):
            self._loans_by_peer.clear()
            self._apply_share()
