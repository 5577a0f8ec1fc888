"""The lease delegates' keys as preconditions of the leader's writes, and what follows if they have changed.

Invariant: a decision is stored only under the versions of these keys that were known when it was made.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError
from hookwall.workers.delegated_leases import DelegatedLeases

log = logging.getLogger(__name__)

WATCH_WAIT_S = 0.5  # for the watch to deliver what a write found changed
WATCH_POLL_S = 0.02


def _nothing_watched() -> int:
    return 0


class DelegationGuard:
    """Voids decisions of the leader that rest on leases which a follower turns out to renew."""

    def __init__(
        self,
        table: JobTable,
        store: KeyValueClient,
        delegated_leases: DelegatedLeases,
        delegation_keys: list[str],
        clock: Callable[[], float],
        watched_revision: Callable[[], int] = _nothing_watched,
    ) -> None:
        """`watched_revision` is the revision up to which the watch has delivered all changes."""
        self.table = table
        self.store = store
        self.delegated_leases = delegated_leases
        self.delegation_keys = delegation_keys
        self.clock = clock
        self.watched_revision = watched_revision

    def preconditions(self) -> list[tuple[str, int]]:
        """The keys with the versions that are known here."""
        return [*self.delegated_leases.preconditions(self.delegation_keys)]

    async def handle_changed_keys(self, changed: list[str], revision: int) -> None:
        """A follower renews leases that this leader did not know of: what seemed to have expired may not have.

        The watch delivers each value that a key has had, so it is waited for. A read shows the last one only, and
        machines that another value named meanwhile had their leases renewed as well.
        """
        log.info("lease delegations changed; unsaved decisions are void: keys=%s", ",".join(changed))
        if await self._watch_reaches(revision):
            self.table.revert_unsaved()
            return
        await self._read(changed)
        self.void_decisions()

    def void_decisions(self) -> None:
        """Keys may have come and gone unseen: what was decided on leases that seemed to have expired is void."""
        self.delegated_leases.record_missed_changes()
        self.table.revert_unsaved()

    async def _watch_reaches(self, revision: int) -> bool:
        """Wait for the watch to deliver all changes up to a revision; False if it takes too long."""
        deadline = self.clock() + WATCH_WAIT_S
        while self.watched_revision() < revision and self.clock() < deadline:  # noqa: ASYNC110 - the watch has no event
            await asyncio.sleep(WATCH_POLL_S)
        return self.watched_revision() >= revision > 0

    async def _read(self, changed: list[str]) -> None:
        """Read keys that the watch has not delivered."""
        for key in changed:
            try:
                found = await self.store.get(key)
            except (RequestRejectedError, OutcomeUnknownError):
                continue
            if found is not None:
                self.delegated_leases.apply_key(key, *found)
            elif key in self.delegated_leases.delegations:
                self.delegated_leases.apply_key(key, None, 0)
