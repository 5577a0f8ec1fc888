"""The keepers' keys as conditions of the leader's writes, and what follows if a write finds them changed."""

import asyncio
import logging
from collections.abc import Callable

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, RequestRejectedError
from hookwall.workers.delegated_leases import DelegatedLeases

log = logging.getLogger(__name__)

WATCH_WAIT_S = 0.5  # for the watch to tell of what a write found changed
WATCH_POLL_S = 0.02


class DelegationGuard:
    """Decisions are stored only under the keepers' keys under which they were made."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        kept: DelegatedLeases,
        keep_keys: list[str],
        clock: Callable[[], float],
    ) -> None:
        self.table, self.store, self.delegated_leases, self.clock = table, store, kept, clock
        self.delegation_keys = keep_keys
        self.watched_revision: Callable[[], int] = lambda: 0  # the epoch up to which the watch has told of all changes

    def preconditions(self) -> list[tuple[str, int]]:
        """The keys with the stamps that are known here."""
        return self.delegated_leases.preconditions(self.delegation_keys)

    async def handle_changed_keys(self, failed: list[str], epoch: int) -> None:
        """A follower keeps leases that this leader did not know of: what it believed to be over may not be.

        The watch tells of each value that a key has had, so it is waited for. A read shows the last one only, and
        machines that another value named meanwhile were kept as well.
        """
        log.info("keepers have changed; decisions that are not stored are void")
        if await self._watched(epoch):
            self.table.revert_unsaved()
            return
        await self._read(failed)
        self.void_decisions()

    def void_decisions(self) -> None:
        """Keepers' keys may have come and gone unseen: what was decided on leases that seemed to be over is void."""
        self.delegated_leases.record_missed_changes()
        self.table.revert_unsaved()

    async def _watched(self, epoch: int) -> bool:
        """Wait for the watch to tell of all changes up to an epoch; False if it takes too long."""
        until = self.clock() + WATCH_WAIT_S
        while self.watched_revision() < epoch and self.clock() < until:
            await asyncio.sleep(WATCH_POLL_S)
        return self.watched_revision() >= epoch > 0

    async def _read(self, changed: list[str]) -> None:
        """Read keepers' keys of which the watch has not told."""
        for key in changed:
            try:
                got = await self.store.get(key)
            except (RequestRejectedError, OutcomeUnknownError):
                continue
            if got is not None:
                self.delegated_leases.apply_key(key, *got)
            elif key in self.delegated_leases.delegations:
                self.delegated_leases.apply_key(key, None, 0)
