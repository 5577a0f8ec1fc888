"""Follows every key below the root: a full read, then the changes from its revision on.

Invariant: an observer is given every change after the last full read, in order; after a gap all keys are read again.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError, RevisionCompactedError

log = logging.getLogger(__name__)

WATCH_S = 3.0  # a watch that is quiet for long says nothing about how current this node is
LEADER_PAUSE_S = 0.1  # frequent changes come in batches, which cost few requests
FOLLOWER_PAUSE_S = 0.25
RETRY_S = 0.4


class Watch:
    """Which changes this node has read.

    Attributes:
        loaded: whether all keys have been read since the last gap.
        watched_revision: up to which the watch has given all changes to the observer.
        scanned_revision: of the last full read by a new leader.
    """

    def __init__(self, store: KeyValueClient, clock: Callable[[], float]) -> None:
        """Follow this store."""
        self.store = store
        self.clock = clock
        self.loaded = False
        self.watched_revision = 0
        self.scanned_revision = 0
        self.read_all: Callable[[], Awaitable[None]]
        self.take: Callable[[str, object, int], None]  # a key was set
        self.remove: Callable[[str, int], None]  # a key was deleted
        self.on_current: Callable[[float], None]  # all that was stored before this moment is known
        self.leads: Callable[[], bool] = lambda: False

    def known_revision(self) -> int:
        """Up to which revision this node has read the records."""
        return max(self.watched_revision, self.scanned_revision)

    async def run(self) -> None:
        """Give the observer every change, for ever."""
        while True:
            try:
                if not self.loaded:
                    await self.read_all()
                await self._follow()
                await asyncio.sleep(LEADER_PAUSE_S if self.leads() else FOLLOWER_PAUSE_S)
            except RevisionCompactedError:
                self.loaded = False
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("key watch failed: error=%s", error)
                await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        """Apply one batch of changes."""
        sent_at = self.clock()
        changes, revision = await self.store.read_changes(self.watched_revision, WATCH_S)
        for change in changes:
            if isinstance(change, KeyValueEntry):
                self.take(*change)
            else:
                self.remove(*change)
        self.watched_revision = revision
        self.on_current(sent_at)
