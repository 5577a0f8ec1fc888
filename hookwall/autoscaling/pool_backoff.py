"""Which pools of machines are closed for a while since the cloud had too few of them.

Invariant: a pool that refuses again and again is asked ever more seldom, but never given up.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.autoscaling.capacity import MachinePool

FIRST_BACKOFF_S = 6.0
MAX_BACKOFF_S = 30.0


class Backoff(NamedTuple):
    """Until when a pool is closed, and for how long it was closed."""

    until: float
    duration_s: float


class PoolBackoff:
    """Follows refusals, for one leadership at a time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` is monotonic, in seconds."""
        self.clock = clock
        self.refused_pools: dict[MachinePool, Backoff] = {}

    def reset(self) -> None:
        """A new leadership: every pool is open."""
        self.refused_pools.clear()

    def is_open(self, pool: MachinePool, now: float) -> bool:
        """Whether the pool may be asked for machines."""
        backoff = self.refused_pools.get(pool)
        return backoff is None or now >= backoff.until

    def record_refusal(self, pool: MachinePool) -> None:
        """The cloud gave fewer machines than were asked for: close the pool, longer each time."""
        previous = self.refused_pools.get(pool)
        duration_s = FIRST_BACKOFF_S if previous is None else min(MAX_BACKOFF_S, 2 * previous.duration_s)
        self.refused_pools[pool] = Backoff(self.clock() + duration_s, duration_s)

    def record_success(self, pool: MachinePool) -> None:
        """The cloud gave all that was asked for: the pool is as if it had never refused."""
        self.refused_pools.pop(pool, None)
