"""Rate limits for the key-value store, and the shares of these limits that nodes use and lend."""

import asyncio

import pytest
from conftest import FakeClock
from key_value_stub import LOWER_LIMITS, NODES, store_with

from hookwall.config.platform import PlatformParameters
from hookwall.storage.errors import RequestRejectedError
from hookwall.storage.rate_limit import TokenBucket


def test_a_refused_reservation_takes_no_tokens(clock: FakeClock):
    bucket = TokenBucket(10.0, 5.0, clock)
    assert bucket.reserve(5.0) == 0.0
    for _ in range(100):
        assert bucket.reserve(24.0, max_wait_s=1.0) is None
    clock.advance(0.5)
    assert bucket.reserve(5.0, max_wait_s=1.0) == 0.0


def test_the_shares_of_all_nodes_together_stay_below_the_limits(params: PlatformParameters, clock: FakeClock):
    shares = [store_with(params.state, clock).rate_shares for _ in range(NODES)]
    shares[0].set_leading(True)
    assert sum(share.changes.rate for share in shares) < params.state.write_rps
    assert sum(share.requests.rate for share in shares) < params.state.rps


def test_a_leader_lends_rates_on_demand_and_gets_them_back_on_expiry(params: PlatformParameters, clock: FakeClock):
    # Guards against slow intake on a follower. After the other nodes had crashed, all users connected to one follower,
    # and with its tenth of the changes new jobs were accepted 20 s late.
    leader, busy, idle = shares = [store_with(params.state, clock).rate_shares for _ in range(NODES)]
    leader.set_leading(True)
    own = busy.changes.rate
    for _ in range(40):
        clock.advance(0.1)
        busy.demand.record(1.0, 1.0)
    busy.borrow_rates(leader.lend_rates("busy", busy.demand.rates_per_s()))
    idle.borrow_rates(leader.lend_rates("idle", idle.demand.rates_per_s()))
    assert busy.changes.rate > 2.5 * own and idle.changes.rate == own
    assert sum(share.changes.rate for share in shares) < params.state.write_rps
    assert sum(share.requests.rate for share in shares) < params.state.rps
    assert leader.changes.rate >= 0.4 * params.state.write_rps - 1e-6
    # No peer asks for another loan: the follower stops using the lent rates first, then the leader gets its share back.
    clock.advance(2.6)
    for share in shares:
        share._end_expired_loans()
    assert busy.changes.rate == own and leader.changes.rate > 0.7 * params.state.write_rps
    # A node that changes its role starts without borrowed rates.
    busy.borrow_rates([5.0, 5.0])
    busy.set_leading(False)
    assert busy.changes.rate == own


@pytest.mark.parametrize("malformed", [None, 3, [1.0], ["a", "b"], [float("nan"), float("inf")], [-1.0, -1.0]])
def test_malformed_rates_from_a_peer_are_ignored(params: PlatformParameters, clock: FakeClock, malformed):
    share = store_with(params.state, clock).rate_shares
    share.set_leading(True)
    before = share.changes.rate
    assert share.lend_rates("peer", malformed) == [0.0, 0.0] and share.changes.rate == before
    share.set_leading(False)
    before = share.changes.rate
    share.borrow_rates(malformed)
    assert share.changes.rate == before


def test_a_batch_is_no_larger_than_the_rate_limit_allows(params: PlatformParameters, clock: FakeClock):
    store = store_with(params.state, clock)
    store.rate_shares.set_leading(True)
    changes = store.rate_shares.changes
    changes.reserve(changes.burst)
    assert changes.reserve(float(store.batch_size()), max_wait_s=1.0) is not None


@pytest.mark.parametrize("response", [(429, b""), (400, b'{"error":"value too large"}')])
def test_the_first_rejection_by_a_limit_applies_the_announced_limits(clock: FakeClock, response):
    store = store_with(LOWER_LIMITS, clock, response)
    store.rate_shares.set_leading(True)
    before = store.rate_shares.changes.rate
    with pytest.raises(RequestRejectedError):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.rate_shares.has_seen_lower_limits()
    assert store.rate_shares.changes.rate == pytest.approx(before * 12.0 / 30.0)
    shares = [store.rate_shares, *(store_with(LOWER_LIMITS, clock).rate_shares for _ in range(NODES - 1))]
    for other in shares:
        other.apply_lower_limits("a peer reports them")
    assert sum(share.changes.rate for share in shares) < 12.0
    # The limit of the current second is used up: changes wait for their turn, while leadership requests continue.
    assert store.rate_shares.changes.available() <= 0.0
    assert store.rate_shares.requests.reserve(1.0, 1.0) is not None
