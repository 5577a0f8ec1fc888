"""Pacing towards the state service."""

from hookwall.store import Bucket, Store


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


def test_a_batch_is_no_larger_than_its_pace(params, clock):
    s = Store("h:1", params.state, 3, clock)
    s.lead(True)
    s.writes.delay(s.writes.burst)
    assert s.writes.delay(float(s.batch()), most=1.0) is not None
