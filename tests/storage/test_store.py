"""Pacing towards the state service."""

import asyncio

import pytest
from aiohttp import ClientSession
from conftest import Clock
from pytest import MonkeyPatch

from hookwall.config.platform import PlatformParameters, StoreLimits, UpcomingStoreLimits
from hookwall.protocol.http_client import NoResponseError
from hookwall.storage import client as st
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, RequestRejectedError, RequestTooLargeError
from hookwall.storage.rate_limit import TokenBucket


def test_a_refused_request_costs_nothing(clock: Clock):
    b = TokenBucket(10.0, 5.0, clock)
    assert b.reserve(5.0) == 0.0
    for _ in range(100):
        assert b.reserve(24.0, most=1.0) is None
    clock.tick(0.5)
    assert b.reserve(5.0, most=1.0) == 0.0


def test_all_nodes_together_stay_below_the_limits(params: PlatformParameters, clock: Clock):
    stores = [KeyValueClient("h:1", params.state, 3, clock) for _ in range(3)]
    stores[0].rate_shares.set_leading(True)
    assert sum(s.rate_shares.changes.rate for s in stores) < params.state.write_rps
    assert sum(s.rate_shares.requests.rate for s in stores) < params.state.rps


def test_a_leader_lends_what_a_follower_wants_and_has_it_back(params: PlatformParameters, clock: Clock):
    # All users came to one follower after the other nodes had crashed, and a tenth of the changes kept them 20 s.
    lead, busy, idle = stores = [KeyValueClient("h:1", params.state, 3, clock) for _ in range(3)]
    lead.rate_shares.set_leading(True)
    own = busy.rate_shares.changes.rate
    for _ in range(40):
        clock.tick(0.1)
        busy.rate_shares.demand.record(1.0, 1.0)
    busy.rate_shares.borrow_rates(lead.rate_shares.lend_rates("busy", busy.rate_shares.demand.rates_per_s()))
    idle.rate_shares.borrow_rates(lead.rate_shares.lend_rates("idle", idle.rate_shares.demand.rates_per_s()))
    assert busy.rate_shares.changes.rate > 2.5 * own and idle.rate_shares.changes.rate == own
    assert sum(s.rate_shares.changes.rate for s in stores) < params.state.write_rps
    assert sum(s.rate_shares.requests.rate for s in stores) < params.state.rps
    assert lead.rate_shares.changes.rate >= 0.4 * params.state.write_rps - 1e-6
    # Nobody says more: a follower stops first, and then the leader has its share again.
    clock.tick(2.6)
    for s in stores:
        s.rate_shares._end_expired_loans()
    assert busy.rate_shares.changes.rate == own and lead.rate_shares.changes.rate > 0.7 * params.state.write_rps
    # A new role starts from its own share.
    busy.rate_shares.borrow_rates([5.0, 5.0])
    busy.rate_shares.set_leading(False)
    assert busy.rate_shares.changes.rate == own


@pytest.mark.parametrize("nonsense", [None, 3, [1.0], ["a", "b"], [float("nan"), float("inf")], [-1.0, -1.0]])
def test_a_peers_nonsense_about_shares_changes_none(params: PlatformParameters, clock: Clock, nonsense):
    s = KeyValueClient("h:1", params.state, 3, clock)
    s.rate_shares.set_leading(True)
    before = s.rate_shares.changes.rate
    assert s.rate_shares.lend_rates("peer", nonsense) == [0.0, 0.0] and s.rate_shares.changes.rate == before
    s.rate_shares.set_leading(False)
    before = s.rate_shares.changes.rate
    s.rate_shares.borrow_rates(nonsense)
    assert s.rate_shares.changes.rate == before


def test_a_batch_is_no_larger_than_its_pace(params: PlatformParameters, clock: Clock):
    s = KeyValueClient("h:1", params.state, 3, clock)
    s.rate_shares.set_leading(True)
    s.rate_shares.changes.reserve(s.rate_shares.changes.burst)
    assert s.rate_shares.changes.reserve(float(s.batch_size()), most=1.0) is not None


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((200, b"[]"), OutcomeUnknownError),
        ((200, b"{oops"), OutcomeUnknownError),
        ((200, b"{}"), OutcomeUnknownError),
        ((200, b'{"epoch":"x"}'), OutcomeUnknownError),
        ((500, b"{}"), OutcomeUnknownError),
        ((503, b""), RequestRejectedError),
        ((429, b"{}"), RequestRejectedError),
        (None, OutcomeUnknownError),
    ],
)
def test_a_bad_answer_of_the_state_service_is_one_of_two_errors(
    params: PlatformParameters, clock: Clock, monkeypatch: MonkeyPatch, answer, error
):
    async def call(session: ClientSession, method, url, body, timeout):
        if answer is None:
            raise NoResponseError("TimeoutError")
        return answer

    monkeypatch.setattr(st, "call", call)
    s = KeyValueClient("h:1", params.state, 3, clock)
    s.session = object()
    with pytest.raises(error):
        asyncio.run(s.commit([("a", 0)], [("a", {})]))
    with pytest.raises(error):
        asyncio.run(s.scan("a"))


def test_malformed_entries_of_a_page_are_passed_over(
    params: PlatformParameters, clock: Clock, monkeypatch: MonkeyPatch
):
    async def call(session: ClientSession, method, url, body, timeout):
        return 200, b'{"epoch":4,"entries":[3,{"k":"a","stamp":2,"value":1},{"k":5},{}],"more":false}'

    monkeypatch.setattr(st, "call", call)
    s = KeyValueClient("h:1", params.state, 3, clock)
    s.session = object()
    assert asyncio.run(s.scan("a")) == ([("a", 1, 2)], 4)


LOWER = StoreLimits(
    rps=100.0,
    write_rps=30.0,
    value_kb=16.0,
    txn_ops=12,
    next=UpcomingStoreLimits(write_rps=12.0, value_kb=2.0, txn_ops=4),
)


def answering(store: KeyValueClient, *answers: tuple[int, bytes]) -> KeyValueClient:
    """The service gives these answers."""
    left = list(answers)

    async def call(session: ClientSession, method, url, body, timeout):
        return left.pop(0)

    store.send_request = call
    return store


def test_what_is_written_fits_the_limits_of_now_and_those_to_come(clock: Clock):
    store = KeyValueClient("h:1", LOWER, 3, clock)
    store.rate_shares.set_leading(True)
    assert store.max_transaction_changes == 4 and store.batch_size() <= 4 and store.max_value_bytes < 2048
    assert KeyValueClient("h:1", StoreLimits(100.0, 30.0, 16.0, 12), 3, clock).max_transaction_changes == 12


@pytest.mark.parametrize("answer", [(429, b""), (400, b'{"error":"value too large"}')])
def test_the_first_refusal_by_a_limit_sets_the_pace_of_the_limits_to_come(clock: Clock, answer):
    store = answering(KeyValueClient("h:1", LOWER, 3, clock), answer)
    store.rate_shares.set_leading(True)
    before = store.rate_shares.changes.rate
    with pytest.raises(RequestRejectedError):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.rate_shares.has_seen_lower_limits() and store.rate_shares.changes.rate == pytest.approx(
        before * 12.0 / 30.0
    )
    stores = [store, *(KeyValueClient("h:1", LOWER, 3, clock) for _ in range(2))]
    for other in stores:
        other.rate_shares.apply_lower_limits("a peer says so")
    assert sum(s.rate_shares.changes.rate for s in stores) < 12.0
    # The second that is used up is waited for; requests of leadership go on, a change waits its turn.
    assert store.rate_shares.changes.available() <= 0.0 and store.rate_shares.requests.reserve(1.0, 1.0) is not None


def test_a_lease_that_has_ended_is_told_apart_from_a_size_that_is_refused(clock: Clock):
    store = answering(
        KeyValueClient("h:1", LOWER, 3, clock), (400, b'{"error":"no such lease"}'), (400, b'{"error":"size"}')
    )
    with pytest.raises(OutcomeUnknownError):
        asyncio.run(store.commit([], [("k", 1)], hold=7))
    assert not store.rate_shares.limits_lowered
    with pytest.raises(RequestTooLargeError):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.rate_shares.limits_lowered
