"""Pacing towards the state service."""

import asyncio

import pytest

from hookwall import store as st
from hookwall.client import NoAnswer
from hookwall.store import Bucket, Refused, Store, Unknown


def test_a_refused_request_costs_nothing(clock):
    b = Bucket(10.0, 5.0, clock)
    assert b.delay(5.0) == 0.0
    for _ in range(100):
        assert b.delay(24.0, most=1.0) is None
    clock.tick(0.5)
    assert b.delay(5.0, most=1.0) == 0.0


def test_all_nodes_together_stay_below_the_limits(params, clock):
    stores = [Store("h:1", params.state, 3, clock) for _ in range(3)]
    stores[0].lead(True)
    assert sum(s.writes.rate for s in stores) < params.state.write_rps
    assert sum(s.requests.rate for s in stores) < params.state.rps


def test_a_leader_lends_what_a_follower_wants_and_has_it_back(params, clock):
    # All users came to one follower after the other nodes had crashed, and a tenth of the changes kept them 20 s.
    lead, busy, idle = stores = [Store("h:1", params.state, 3, clock) for _ in range(3)]
    lead.lead(True)
    own = busy.writes.rate
    for _ in range(40):
        clock.tick(0.1)
        busy.want.add(1.0, 1.0)
    busy.borrow(lead.lend("busy", busy.want.now()))
    idle.borrow(lead.lend("idle", idle.want.now()))
    assert busy.writes.rate > 2.5 * own and idle.writes.rate == own
    assert sum(s.writes.rate for s in stores) < params.state.write_rps
    assert sum(s.requests.rate for s in stores) < params.state.rps
    assert lead.writes.rate >= 0.4 * params.state.write_rps - 1e-6
    # Nobody says more: a follower stops first, and then the leader has its share again.
    clock.tick(2.6)
    for s in stores:
        s._take_back()
    assert busy.writes.rate == own and lead.writes.rate > 0.7 * params.state.write_rps
    # A new role starts from its own share.
    busy.borrow([5.0, 5.0])
    busy.lead(False)
    assert busy.writes.rate == own


@pytest.mark.parametrize("nonsense", [None, 3, [1.0], ["a", "b"], [float("nan"), float("inf")], [-1.0, -1.0]])
def test_a_peers_nonsense_about_shares_changes_none(params, clock, nonsense):
    s = Store("h:1", params.state, 3, clock)
    s.lead(True)
    before = s.writes.rate
    assert s.lend("peer", nonsense) == [0.0, 0.0] and s.writes.rate == before
    s.lead(False)
    before = s.writes.rate
    s.borrow(nonsense)
    assert s.writes.rate == before


def test_a_batch_is_no_larger_than_its_pace(params, clock):
    s = Store("h:1", params.state, 3, clock)
    s.lead(True)
    s.writes.delay(s.writes.burst)
    assert s.writes.delay(float(s.batch()), most=1.0) is not None


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
def test_a_bad_answer_of_the_state_service_is_one_of_two_errors(params, clock, monkeypatch, answer, error):
    async def call(session, method, url, body, timeout):
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


def test_malformed_entries_of_a_page_are_passed_over(params, clock, monkeypatch):
    async def call(session, method, url, body, timeout):
        return 200, b'{"epoch":4,"entries":[3,{"k":"a","stamp":2,"value":1},{"k":5},{}],"more":false}'

    monkeypatch.setattr(st, "call", call)
    s = Store("h:1", params.state, 3, clock)
    s.session = object()
    assert asyncio.run(s.scan("a")) == ([("a", 1, 2)], 4)
