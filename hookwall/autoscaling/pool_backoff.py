"""Backoff for machine pools in which the cloud had too few machines for a request.

Invariant: a pool that refuses repeatedly is tried less and less often, but it is never excluded permanently.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.autoscaling.capacity import MachinePool

FIRST_BACKOFF_S = 6.0
MAX_BACKOFF_S = 30.0


class Backoff(NamedTuple):
    """The time until which a pool is closed, and the duration of this backoff."""

    until: float
    duration_s: float


class PoolBackoff:
    """Tracks refused provisioning requests by pool, for one leadership at a time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` is monotonic and returns seconds."""
        self.clock = clock
        self.backoff_by_pool: dict[MachinePool, Backoff] = {}

    def reset(self) -> None:
        """Start a new leadership, in which every pool is open."""
        self.backoff_by_pool.clear()

    def is_open(self, pool: MachinePool, now: float) -> bool:
        """Whether machines may be requested from the pool."""
        backoff = self.backoff_by_pool.get(pool)
        return backoff is None or now >= backoff.until

    def record_refusal(self, pool: MachinePool) -> None:
        """Close the pool, each time for longer, because the cloud provisioned fewer machines than requested."""
        previous = self.backoff_by_pool.get(pool)
        duration_s = FIRST_BACKOFF_S if previous is None else min(MAX_BACKOFF_S, 2 * previous.duration_s)
        self.backoff_by_pool[pool] = Backoff(self.clock() + duration_s, duration_s)

    def record_success(self, pool: MachinePool) -> None:
        """Forget earlier refusals of the pool because the cloud provisioned all requested machines."""
        self.backoff_by_pool.pop(pool, None)
