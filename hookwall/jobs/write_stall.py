"""Detects a leader that stores nothing because the key-value store refuses each of its transactions.

Such a leader answers users and workers, but nothing that it decides is ever carried out. A transaction is refused if a
precondition fails, which shows that this node's knowledge of a key is wrong, or if it is too large. Requests that the
store rejects during an outage don't count, as a leader goes on leading then.

Invariant: a leader whose transactions are all refused reads all keys again, and if that does not help, gives up its
leadership. Each of these steps is logged as an error.
"""

import logging
from collections.abc import Callable, Sequence
from enum import Enum

log = logging.getLogger(__name__)

FULL_READ_AFTER_S = 5.0  # longer than a lease delegate's key changes when the workers of a zone arrive one by one
RESIGN_AFTER_S = 15.0  # includes the time for a full read and for writes after it
MIN_REFUSALS = 5
LONGEST_PAUSE_S = 2.0  # after a longer pause without a refusal, a new stall begins


class StallRemedy(Enum):
    """What a leader has to do after a transaction was refused."""

    NONE = "none"
    FULL_READ = "full read"
    RESIGN = "resign"


class WriteStallMonitor:
    """Counts the transactions that were refused since the last one that was executed."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a monitor that has seen no transaction; `clock` is monotonic and returns seconds."""
        self.clock = clock
        self._refusals = 0
        self._stalled_since = 0.0
        self._last_refusal_at = 0.0
        self._full_read_requested = False

    def record_success(self) -> None:
        """Record that a transaction was executed."""
        if self._full_read_requested:
            log.error("leader stores again: refusals=%d stalled_s=%.1f", self._refusals, self._stalled_s())
        self._refusals = 0
        self._full_read_requested = False

    def record_refusal(self, changed_keys: Sequence[str]) -> StallRemedy:
        """Record that a transaction was refused, on preconditions on `changed_keys` if there are any."""
        now = self.clock()
        if not self._refusals or now - self._last_refusal_at > LONGEST_PAUSE_S:
            self._refusals = 0
            self._stalled_since = now
            self._full_read_requested = False
        self._refusals += 1
        self._last_refusal_at = now
        refusals = self._refusals
        remedy = self._next_remedy()
        if remedy is not StallRemedy.NONE:
            log.error(
                "leader stores nothing: refusals=%d stalled_s=%.1f keys=%s remedy=%r",
                refusals, self._stalled_s(), ",".join(changed_keys), remedy.value,
            )  # fmt: skip
        return remedy

    def _stalled_s(self) -> float:
        return self.clock() - self._stalled_since

    def _next_remedy(self) -> StallRemedy:
        if self._refusals < MIN_REFUSALS or self._stalled_s() < FULL_READ_AFTER_S:
            return StallRemedy.NONE
        if self._stalled_s() >= RESIGN_AFTER_S:
            self._refusals = 0  # the next leadership of this node begins anew
            return StallRemedy.RESIGN
        if self._full_read_requested:
            return StallRemedy.NONE
        self._full_read_requested = True
        return StallRemedy.FULL_READ
