"""The keepers' keys as conditions of the leader's writes, and what follows if a write finds them changed."""

import asyncio
import logging
from collections.abc import Callable

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import Refused, Store, Unknown
from hookwall.workers.delegated_leases import Kept

log = logging.getLogger(__name__)

WATCH_WAIT_S = 0.5  # for the watch to tell of what a write found changed
WATCH_STEP_S = 0.02


class KeeperConditions:
    """Decisions are stored only under the keepers' keys under which they were made."""

    def __init__(
        self, table: JobTable, store: Store, kept: Kept, keep_keys: list[str], clock: Callable[[], float]
    ) -> None:
        self.table, self.store, self.kept, self.clock = table, store, kept, clock
        self.keep_keys = keep_keys
        self.watched: Callable[[], int] = lambda: 0  # the epoch up to which the watch has told of all changes

    def now(self) -> list[tuple[str, int]]:
        """The keys with the stamps that are known here."""
        return self.kept.conditions(self.keep_keys)

    async def changed(self, failed: list[str], epoch: int) -> None:
        """A follower keeps leases that this leader did not know of: what it believed to be over may not be.

        The watch tells of each value that a key has had, so it is waited for. A read shows the last one only, and
        machines that another value named meanwhile were kept as well.
        """
        log.info("keepers have changed; decisions that are not stored are void")
        if await self._watched(epoch):
            self.table.revert()
            return
        await self._read(failed)
        self.any_lease_may_be_kept()

    def any_lease_may_be_kept(self) -> None:
        """Keepers' keys may have come and gone unseen: what was decided on leases that seemed to be over is void."""
        self.kept.missed()
        self.table.revert()

    async def _watched(self, epoch: int) -> bool:
        """Wait for the watch to tell of all changes up to an epoch; False if it takes too long."""
        until = self.clock() + WATCH_WAIT_S
        while self.watched() < epoch and self.clock() < until:
            await asyncio.sleep(WATCH_STEP_S)
        return self.watched() >= epoch > 0

    async def _read(self, changed: list[str]) -> None:
        """Read keepers' keys of which the watch has not told."""
        for key in changed:
            try:
                got = await self.store.get(key)
            except (Refused, Unknown):
                continue
            if got is not None:
                self.kept.take(key, *got)
            elif key in self.kept.keys:
                self.kept.take(key, None, 0)
