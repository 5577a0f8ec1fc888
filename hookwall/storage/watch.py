"""Follows every key below our root in the state service: a full read, then a watch from there."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, RequestRejectedError, RevisionCompactedError

log = logging.getLogger(__name__)

WATCH_S = 3.0  # a watch that is quiet for long says nothing about how current this node is
LEADER_PAUSE_S, FOLLOWER_PAUSE_S = 0.1, 0.25  # frequent changes come in batches, which cost few requests
AFTER_TROUBLE_S = 0.4


class Watch:
    """Which changes this node has read."""

    def __init__(self, store: KeyValueClient, clock: Callable[[], float]) -> None:
        self.store, self.clock = store, clock
        self.loaded = False  # whether all keys have been read since the last gap
        self.watched_revision = 0  # up to which the watch has told of all changes
        self.scanned_revision = 0  # the same of the last full read by a new leader
        self.read_all: Callable[[], Awaitable[None]]
        self.take: Callable[[str, Any, int], None]  # a key was set
        self.remove: Callable[[str, int], None]  # a key was deleted
        self.on_current: Callable[[float], None]  # all that was stored before this moment is known
        self.leads: Callable[[], bool] = lambda: False

    def known_revision(self) -> int:
        """Up to which change this node has read the records."""
        return max(self.watched_revision, self.scanned_revision)

    async def run(self) -> None:
        """Learn of every change."""
        while True:
            try:
                if not self.loaded:
                    await self.read_all()
                await self._next()
                await asyncio.sleep(LEADER_PAUSE_S if self.leads() else FOLLOWER_PAUSE_S)
            except RevisionCompactedError:
                self.loaded = False
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("watch: %s", error)
                await asyncio.sleep(AFTER_TROUBLE_S)

    async def _next(self) -> None:
        """One batch of changes."""
        sent = self.clock()
        events, epoch = await self.store.read_changes(self.watched_revision, WATCH_S)
        for event in events:
            stamp = event.get("stamp")
            if not isinstance(stamp, int):
                continue
            if isinstance(event.get("set"), str):
                self.take(event["set"], event.get("value"), stamp)
            elif isinstance(event.get("delete"), str):
                self.remove(event["delete"], stamp)
        self.watched_revision = epoch
        self.on_current(sent)
