"""Makes the leader's writes conditional on the lease delegates' keys, and voids decisions if those keys have changed.

Invariant: a decision is stored only if these keys still have the versions that were known when it was made.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError
from hookwall.storage.key_order import KeyOrder, read_ordered
from hookwall.workers.delegated_leases import DelegatedLeases

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 0.5  # limit on waiting for the watch to deliver key changes that made a write fail
WATCH_POLL_S = 0.02


def _no_watched_revision() -> int:
    return 0


class DelegationGuard:
    """Voids decisions of the leader that treated a lease as expired although a follower may have renewed it."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        delegated_leases: DelegatedLeases,
        delegation_keys: list[str],
        clock: Callable[[], float],
        key_order: KeyOrder,
        watched_revision: Callable[[], int] = _no_watched_revision,
    ) -> None:
        """`watched_revision` returns the revision up to which the watch has delivered all changes."""
        self.table = table
        self.store = store
        self.delegated_leases = delegated_leases
        self.delegation_keys = delegation_keys
        self.clock = clock
        self.key_order = key_order
        self.watched_revision = watched_revision

    def preconditions(self) -> list[tuple[str, int]]:
        """Return the keys with the versions that this node knows."""
        return [*self.delegated_leases.preconditions(self.delegation_keys)]

    async def handle_changed_keys(self, changed: list[str], revision: int) -> None:
        """Void unsaved decisions after a write failed because lease delegates' keys had changed.

        A follower renews leases without this leader's knowledge, so leases that seemed to have expired may be valid.
        The watch delivers every value that a key has had, so this method waits for it. A read returns only the latest
        value, but leases of machines that an intermediate value named were renewed as well.
        """
        log.info(
            "lease delegations changed; unsaved decisions are void: keys=%s known_versions=%s revision=%d watched=%d",
            ",".join(changed),
            ",".join(str(version) for _, version in self.delegated_leases.preconditions(changed)),
            revision,
            self.watched_revision(),
        )
        if await self._wait_for_watch(revision):
            self.table.revert_unsaved()
            return
        await self._read_keys(changed)
        self.void_decisions()

    def void_decisions(self) -> None:
        """Void all unsaved decisions, because delegates' keys may have appeared and disappeared unobserved."""
        self.delegated_leases.record_missed_changes()
        self.table.revert_unsaved()

    async def _wait_for_watch(self, revision: int) -> bool:
        """Wait for the watch to deliver all changes up to `revision`.

        Return False if the watch does not reach it in time, or if the revision is unknown (0).
        """
        deadline = self.clock() + WATCH_TIMEOUT_S
        while self.watched_revision() < revision and self.clock() < deadline:  # noqa: ASYNC110 - the watch has no event
            await asyncio.sleep(WATCH_POLL_S)
        return self.watched_revision() >= revision > 0

    async def _read_keys(self, changed: list[str]) -> None:
        """Read the keys that the watch has not delivered in time. It may deliver them while the reads are under way."""
        for key in changed:
            try:
                stored = await read_ordered(self.store, self.key_order, key)
            except (RequestRejectedError, OutcomeUnknownError):
                continue
            if stored is None:
                continue
            if stored.version:
                self.delegated_leases.apply_key(key, stored.value, stored.version)
            else:
                self.delegated_leases.apply_deletion(key)
