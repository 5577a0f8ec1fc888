"""Pools are closed temporarily after they refused a provisioning request."""

from conftest import FakeClock

from hookwall.autoscaling.capacity import MachinePool
from hookwall.autoscaling.pool_backoff import PoolBackoff

POOL = MachinePool(0, 0, False)


def refuse_and_wait_s(backoff: PoolBackoff, clock: FakeClock) -> float:
    """Record a refusal, advance the clock until the pool is open again, and return how many whole seconds passed."""
    backoff.record_refusal(POOL)
    waited_s = 0.0
    while not backoff.is_open(POOL, clock()):
        clock.advance(1.0)
        waited_s += 1.0
    return waited_s


def test_repeated_refusals_close_a_pool_for_longer_up_to_a_limit(clock: FakeClock):
    backoff = PoolBackoff(clock)
    assert [refuse_and_wait_s(backoff, clock) for _ in range(5)] == [6.0, 12.0, 24.0, 30.0, 30.0]


def test_a_fully_provisioned_request_resets_the_backoff_of_its_pool(clock: FakeClock):
    backoff = PoolBackoff(clock)
    for _ in range(3):
        refuse_and_wait_s(backoff, clock)
    backoff.record_success(POOL)
    assert backoff.is_open(POOL, clock())
    assert refuse_and_wait_s(backoff, clock) == 6.0
