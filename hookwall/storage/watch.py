"""Follows every key below the root: a full read, then the changes from its revision on.

Invariant: an observer is given every change after the last full read, in order; after a gap all keys are read again.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError, RevisionCompactedError

log = logging.getLogger(__name__)

WATCH_S = 3.0  # a watch that is quiet for long says nothing about how current this node is
LEADER_PAUSE_S = 0.1  # frequent changes come in batches, which cost few requests
FOLLOWER_PAUSE_S = 0.25
RETRY_S = 0.4


class KeyObserver(Protocol):
    """What the watch asks of whoever applies the keys."""

    async def read_all(self) -> None:
        """Read and apply every key; sets `watched_revision` and `loaded` of the progress."""

    def apply_key(self, key: str, value: object, version: int) -> None:
        """A key was set."""

    def apply_deletion(self, key: str, revision: int) -> None:
        """A key was deleted."""

    def confirm_current(self, as_of: float) -> None:
        """All that was stored before this moment, on this node's clock, has been applied."""

    def is_leader(self) -> bool:
        """Whether this node leads, and so needs changes sooner."""


@dataclass(slots=True)
class WatchProgress:
    """Which changes this node has applied.

    Attributes:
        loaded: whether all keys have been read since the last gap.
        watched_revision: up to which the watch has given all changes to the observer.
        scanned_revision: of the last full read by a new leader.
    """

    loaded: bool = False
    watched_revision: int = 0
    scanned_revision: int = 0

    def known_revision(self) -> int:
        """Up to which revision this node has read the records."""
        return max(self.watched_revision, self.scanned_revision)


class Watch:
    """Gives an observer every change of the stored keys."""

    def __init__(
        self, store: KeyValueClient, progress: WatchProgress, observer: KeyObserver, clock: Callable[[], float]
    ) -> None:
        """Follow this store, and note in `progress` how far."""
        self.store = store
        self.progress = progress
        self.observer = observer
        self.clock = clock

    async def run(self) -> None:
        """Give the observer every change, for ever."""
        while True:
            try:
                if not self.progress.loaded:
                    await self.observer.read_all()
                await self._follow()
                await asyncio.sleep(LEADER_PAUSE_S if self.observer.is_leader() else FOLLOWER_PAUSE_S)
            except RevisionCompactedError:
                self.progress.loaded = False
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("key watch failed: error=%s", error)
                await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        """Apply one batch of changes."""
        sent_at = self.clock()
        changes, revision = await self.store.read_changes(self.progress.watched_revision, WATCH_S)
        for change in changes:
            if isinstance(change, KeyValueEntry):
                self.observer.apply_key(*change)
            else:
                self.observer.apply_deletion(*change)
        self.progress.watched_revision = revision
        self.observer.confirm_current(sent_at)
