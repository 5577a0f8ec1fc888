"""Pools that refuse a provisioning request are closed for a while."""

from conftest import Clock

from hookwall.autoscaling.capacity import MachinePool
from hookwall.autoscaling.pool_backoff import PoolBackoff

POOL = MachinePool(0, 0, False)


def closed_for_s(backoff: PoolBackoff, clock: Clock) -> float:
    """How long the pool stays closed after one more refusal, in whole seconds; time goes on by as much."""
    backoff.record_refusal(POOL)
    waited_s = 0.0
    while not backoff.is_open(POOL, clock()):
        clock.tick(1.0)
        waited_s += 1.0
    return waited_s


def test_a_pool_that_refuses_again_is_closed_for_longer_up_to_a_limit(clock: Clock):
    backoff = PoolBackoff(clock)
    assert [closed_for_s(backoff, clock) for _ in range(5)] == [6.0, 12.0, 24.0, 30.0, 30.0]


def test_a_pool_that_gave_all_is_as_if_it_had_never_refused(clock: Clock):
    backoff = PoolBackoff(clock)
    for _ in range(3):
        closed_for_s(backoff, clock)
    backoff.record_success(POOL)
    assert backoff.is_open(POOL, clock())
    assert closed_for_s(backoff, clock) == 6.0
