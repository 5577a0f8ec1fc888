"""Pacing towards the state service."""

import asyncio

import pytest
from aiohttp import ClientSession
from conftest import Clock
from pytest import MonkeyPatch

from hookwall.config.platform import NextState, Params, State
from hookwall.protocol.http_client import NoAnswer
from hookwall.storage import client as st
from hookwall.storage.client import Refused, Store, TooLarge, Unknown
from hookwall.storage.rate_limit import Bucket


def test_a_refused_request_costs_nothing(clock: Clock):
    b = Bucket(10.0, 5.0, clock)
    assert b.delay(5.0) == 0.0
    for _ in range(100):
        assert b.delay(24.0, most=1.0) is None
    clock.tick(0.5)
    assert b.delay(5.0, most=1.0) == 0.0


def test_all_nodes_together_stay_below_the_limits(params: Params, clock: Clock):
    stores = [Store("h:1", params.state, 3, clock) for _ in range(3)]
    stores[0].pace.lead(True)
    assert sum(s.pace.changes.rate for s in stores) < params.state.write_rps
    assert sum(s.pace.requests.rate for s in stores) < params.state.rps


def test_a_leader_lends_what_a_follower_wants_and_has_it_back(params: Params, clock: Clock):
    # All users came to one follower after the other nodes had crashed, and a tenth of the changes kept them 20 s.
    lead, busy, idle = stores = [Store("h:1", params.state, 3, clock) for _ in range(3)]
    lead.pace.lead(True)
    own = busy.pace.changes.rate
    for _ in range(40):
        clock.tick(0.1)
        busy.pace.want.add(1.0, 1.0)
    busy.pace.borrow(lead.pace.lend("busy", busy.pace.want.now()))
    idle.pace.borrow(lead.pace.lend("idle", idle.pace.want.now()))
    assert busy.pace.changes.rate > 2.5 * own and idle.pace.changes.rate == own
    assert sum(s.pace.changes.rate for s in stores) < params.state.write_rps
    assert sum(s.pace.requests.rate for s in stores) < params.state.rps
    assert lead.pace.changes.rate >= 0.4 * params.state.write_rps - 1e-6
    # Nobody says more: a follower stops first, and then the leader has its share again.
    clock.tick(2.6)
    for s in stores:
        s.pace._take_back()
    assert busy.pace.changes.rate == own and lead.pace.changes.rate > 0.7 * params.state.write_rps
    # A new role starts from its own share.
    busy.pace.borrow([5.0, 5.0])
    busy.pace.lead(False)
    assert busy.pace.changes.rate == own


@pytest.mark.parametrize("nonsense", [None, 3, [1.0], ["a", "b"], [float("nan"), float("inf")], [-1.0, -1.0]])
def test_a_peers_nonsense_about_shares_changes_none(params: Params, clock: Clock, nonsense):
    s = Store("h:1", params.state, 3, clock)
    s.pace.lead(True)
    before = s.pace.changes.rate
    assert s.pace.lend("peer", nonsense) == [0.0, 0.0] and s.pace.changes.rate == before
    s.pace.lead(False)
    before = s.pace.changes.rate
    s.pace.borrow(nonsense)
    assert s.pace.changes.rate == before


def test_a_batch_is_no_larger_than_its_pace(params: Params, clock: Clock):
    s = Store("h:1", params.state, 3, clock)
    s.pace.lead(True)
    s.pace.changes.delay(s.pace.changes.burst)
    assert s.pace.changes.delay(float(s.batch()), most=1.0) is not None


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((200, b"[]"), Unknown),
        ((200, b"{oops"), Unknown),
        ((200, b"{}"), Unknown),
        ((200, b'{"epoch":"x"}'), Unknown),
        ((500, b"{}"), Unknown),
        ((503, b""), Refused),
        ((429, b"{}"), Refused),
        (None, Unknown),
    ],
)
def test_a_bad_answer_of_the_state_service_is_one_of_two_errors(
    params: Params, clock: Clock, monkeypatch: MonkeyPatch, answer, error
):
    async def call(session: ClientSession, method, url, body, timeout):
        if answer is None:
            raise NoAnswer("TimeoutError")
        return answer

    monkeypatch.setattr(st, "call", call)
    s = Store("h:1", params.state, 3, clock)
    s.session = object()
    with pytest.raises(error):
        asyncio.run(s.commit([("a", 0)], [("a", {})]))
    with pytest.raises(error):
        asyncio.run(s.scan("a"))


def test_malformed_entries_of_a_page_are_passed_over(params: Params, clock: Clock, monkeypatch: MonkeyPatch):
    async def call(session: ClientSession, method, url, body, timeout):
        return 200, b'{"epoch":4,"entries":[3,{"k":"a","stamp":2,"value":1},{"k":5},{}],"more":false}'

    monkeypatch.setattr(st, "call", call)
    s = Store("h:1", params.state, 3, clock)
    s.session = object()
    assert asyncio.run(s.scan("a")) == ([("a", 1, 2)], 4)


LOWER = State(
    rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=NextState(write_rps=12.0, value_kb=2.0, txn_ops=4)
)


def answering(store: Store, *answers: tuple[int, bytes]) -> Store:
    """The service gives these answers."""
    left = list(answers)

    async def call(session: ClientSession, method, url, body, timeout):
        return left.pop(0)

    store.call = call
    return store


def test_what_is_written_fits_the_limits_of_now_and_those_to_come(clock: Clock):
    store = Store("h:1", LOWER, 3, clock)
    store.pace.lead(True)
    assert store.txn_ops == 4 and store.batch() <= 4 and store.value_limit < 2048
    assert Store("h:1", State(100.0, 30.0, 16.0, 12), 3, clock).txn_ops == 12


@pytest.mark.parametrize("answer", [(429, b""), (400, b'{"error":"value too large"}')])
def test_the_first_refusal_by_a_limit_sets_the_pace_of_the_limits_to_come(clock: Clock, answer):
    store = answering(Store("h:1", LOWER, 3, clock), answer)
    store.pace.lead(True)
    before = store.pace.changes.rate
    with pytest.raises(Refused):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.pace.lowered_seen() and store.pace.changes.rate == pytest.approx(before * 12.0 / 30.0)
    stores = [store, *(Store("h:1", LOWER, 3, clock) for _ in range(2))]
    for other in stores:
        other.pace.lower("a peer says so")
    assert sum(s.pace.changes.rate for s in stores) < 12.0
    # The second that is used up is waited for; requests of leadership go on, a change waits its turn.
    assert store.pace.changes.level_now() <= 0.0 and store.pace.requests.delay(1.0, 1.0) is not None


def test_a_lease_that_has_ended_is_told_apart_from_a_size_that_is_refused(clock: Clock):
    store = answering(Store("h:1", LOWER, 3, clock), (400, b'{"error":"no such lease"}'), (400, b'{"error":"size"}'))
    with pytest.raises(Unknown):
        asyncio.run(store.commit([], [("k", 1)], hold=7))
    assert not store.pace.lowered
    with pytest.raises(TooLarge):
        asyncio.run(store.commit([], [("k", 1)]))
    assert store.pace.lowered
