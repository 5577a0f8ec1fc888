"""Watches every key below the root: a full read, then the changes after the revision of that read.

Invariant: an observer receives every change after the last full read, in order; after a gap all keys are read again.
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

# Kept short because a request shows how current this node is only once its response arrives.
WATCH_TIMEOUT_S = 3.0
LEADER_PAUSE_S = 0.1  # between two requests, so that frequent changes arrive in batches and need few requests
FOLLOWER_PAUSE_S = 0.25
RETRY_S = 0.4
# The watch is stalled after this many consecutive requests without a response, and this time, while others got one.
STALLED_REQUESTS = 3
STALLED_AFTER_S = 15.0


class KeyObserver(Protocol):
    """The interface of the component that applies the watched keys."""

    async def read_all(self) -> None:
        """Read and apply every key, and complete the full read of the progress."""

    def apply_key(self, key: str, value: object, version: int) -> None:
        """Apply a key that was set."""

    def apply_deletion(self, key: str, revision: int) -> None:
        """Apply the deletion of a key."""

    def confirm_current(self, as_of: float) -> None:
        """Record that everything stored before `as_of`, on this node's clock, has been applied."""

    def is_leader(self) -> bool:
        """Whether this node leads and therefore needs changes with less delay."""

    async def on_watch_stalled(self) -> None:
        """React to a watch that delivers nothing although the store answers other requests of this node."""


@dataclass(slots=True)
class WatchProgress:
    """Which changes this node has applied.

    Attributes:
        loaded: whether all keys have been read since the last gap.
        watched_revision: the revision up to which the watch has passed all changes to the observer.
        scanned_revision: the revision of the last full read that this node made as a new leader.
        full_read_requested: whether all keys are to be read again although no change was missed.
    """

    loaded: bool = False
    watched_revision: int = 0
    scanned_revision: int = 0
    full_read_requested: bool = False

    def request_full_read(self) -> None:
        """Let the watch read all keys again before it passes further changes."""
        self.full_read_requested = True

    def needs_full_read(self) -> bool:
        """Whether the watch has to read all keys before it passes further changes."""
        return self.full_read_requested or not self.loaded

    def complete_full_read(self, revision: int) -> None:
        """Record that all keys have been read and applied as of `revision`."""
        self.watched_revision = revision
        self.loaded = True
        self.full_read_requested = False

    def known_revision(self) -> int:
        """The revision up to which this node has read the records."""
        return max(self.watched_revision, self.scanned_revision)


class Watch:
    """Passes every change of the stored keys to an observer."""

    def __init__(
        self, store: KeyValueClient, progress: WatchProgress, observer: KeyObserver, clock: Callable[[], float]
    ) -> None:
        """Create a watch of the keys of `store` that records in `progress` which changes have been applied."""
        self.store = store
        self.progress = progress
        self.observer = observer
        self.clock = clock
        self._request_sent_at = clock()
        self._unanswered_requests = 0  # consecutive requests without a response, during which others got one
        self._unanswered_since = 0.0  # when the first of them was sent

    async def run(self) -> None:
        """Pass every change to the observer until the task is cancelled."""
        while True:
            try:
                self._request_sent_at = self.clock()
                if self.progress.needs_full_read():
                    await self.observer.read_all()
                await self._apply_next_changes()
                await asyncio.sleep(LEADER_PAUSE_S if self.observer.is_leader() else FOLLOWER_PAUSE_S)
            except RevisionCompactedError:
                self.progress.loaded = False
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("key watch failed: full_read=%s error=%s", self.progress.needs_full_read(), error)
                if self._is_stalled(rejected=isinstance(error, RequestRejectedError)):
                    log.error(
                        "key watch stalled although the store answers: watched=%d", self.progress.watched_revision
                    )
                    await self.observer.on_watch_stalled()
                await asyncio.sleep(RETRY_S)

    async def _apply_next_changes(self) -> None:
        """Apply one batch of changes."""
        sent_at = self._request_sent_at = self.clock()
        changes, revision = await self.store.read_changes(self.progress.watched_revision, WATCH_TIMEOUT_S)
        for change in changes:
            if isinstance(change, KeyValueEntry):
                self.observer.apply_key(*change)
            else:
                self.observer.apply_deletion(*change)
        self.progress.watched_revision = revision
        self._unanswered_requests = 0
        self.observer.confirm_current(sent_at)

    def _is_stalled(self, rejected: bool) -> bool:
        """Count a failed request; return whether the watch stands still while the store answers other requests.

        In an outage the store answers none of them, and a leader goes on leading.
        """
        if rejected or self.store.last_response_at <= self._request_sent_at:
            self._unanswered_requests = 0
            return False
        if not self._unanswered_requests:
            self._unanswered_since = self._request_sent_at
        self._unanswered_requests += 1
        if self._unanswered_requests < STALLED_REQUESTS or self.clock() - self._unanswered_since < STALLED_AFTER_S:
            return False
        self._unanswered_requests = 0
        return True
