"""Random orders of changes, full reads and watched changes, on a model of the store.

Invariant: each key in memory has a state that the store had at the complete revision or later (`storage/key_order`).
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from harness.drain_simulation import operations
from harness.fake_clock import FakeClock
from harness.key_reads import ABSENT, VALUES, PendingRead, deliver, entry, known_version
from harness.leading_node import unstarted_node

from hookwall.config.platform import PlatformParameters
from hookwall.node.node import Node
from hookwall.storage.entries import KeyValueEntry, ScanResult


class StoreHistory:
    """All revisions of a store with some keys of each kind, and requests that it has executed."""

    def __init__(self, draws: random.Random) -> None:
        self.random = draws
        self.revision = 0
        self.current: dict[str, int] = dict.fromkeys(VALUES, ABSENT)
        self.changes: list[KeyValueEntry | tuple[str, int]] = []
        self.versions: dict[str, list[tuple[int, int]]] = {key: [(0, ABSENT)] for key in VALUES}  # with the revision

    def change(self) -> None:
        """Write or delete a key."""
        key = self.random.choice(list(VALUES))
        self.revision += 1
        if self.current[key] and self.random.random() < 0.5:
            self.current[key] = ABSENT
            self.changes.append((key, self.revision))
        else:
            self.current[key] = self.revision
            self.changes.append(entry(key, self.revision))
        self.versions[key].append((self.revision, self.current[key]))

    def versions_since(self, key: str, revision: int) -> set[int]:
        """The version that a key had at a revision, and those that it has had since; 0 stands for its absence."""
        at_revision = [version for since, version in self.versions[key] if since <= revision][-1]
        return {at_revision, *(version for since, version in self.versions[key] if since > revision)}

    def full_read(self) -> ScanResult:
        """Execute a full read of two pages, with up to three changes between them."""
        first_page = self.random.sample(list(VALUES), 2)
        revision = self.revision
        found = [entry(key, self.current[key]) for key in first_page if self.current[key]]
        for _ in range(self.random.randint(0, 3)):
            self.change()
        later = [entry(key, self.current[key]) for key in VALUES if key not in first_page and self.current[key]]
        return ScanResult([*found, *later], revision)

    def changes_after(self, revision: int) -> list[KeyValueEntry | tuple[str, int]]:
        """The changes that a watch returns."""
        return [change for change in self.changes if change[-1] > revision]


def check_states(node: Node, history: StoreHistory) -> None:
    """Check that each key in memory has a state that the store had at the complete revision or later."""
    complete = node.watch_progress.known_revision()
    for key in VALUES:
        known = known_version(node, key)
        possible = history.versions_since(key, complete)
        assert known in possible, f"{key} has version {known} in memory, but since {complete} it had {possible}"


async def play_random_order(node: Node, draws: random.Random, steps: int) -> None:
    """Let full reads, the watch and changes of the store overlap at random; then let everything arrive."""
    history = StoreHistory(draws)
    pending: dict[str, PendingRead] = {}
    node.drains._require_controller()
    watched: list[tuple[int, list]] = []  # the response of the watch that is under way

    async def begin_load() -> None:
        if "load_for_leadership" not in pending:
            pending["load_for_leadership"] = await PendingRead(node, "load_for_leadership", history.full_read()).begin()

    async def begin_reading_all() -> None:
        # The watch reads all keys when it has no other request under way.
        if "read_all" not in pending and not watched:
            pending["read_all"] = await PendingRead(node, "read_all", history.full_read()).begin()

    async def finish_read() -> None:
        if pending:
            await pending.pop(draws.choice(list(pending))).finish()

    async def begin_watch() -> None:
        if not watched and "read_all" not in pending:
            watched.append((history.revision, history.changes_after(node.watch_progress.watched_revision)))

    async def finish_watch() -> None:
        if watched:
            revision, changes = watched.pop()
            deliver(node, revision, *changes)

    async def change() -> None:
        history.change()

    events: list[Callable[[], Coroutine[Any, Any, None]]] = [
        *(begin_load, begin_reading_all, begin_watch),
        *(finish_read, finish_read, finish_watch, finish_watch, change, change),
    ]
    for _ in range(steps):
        await draws.choice(events)()
        check_states(node, history)
    while pending:
        await finish_read()
    await finish_watch()
    await begin_watch()
    await finish_watch()
    check_states(node, history)
    assert {key: known_version(node, key) for key in VALUES} == history.current


@pytest.mark.parametrize("seed", range(40))
def test_no_order_of_responses_restores_an_older_state(params: PlatformParameters, clock: FakeClock, seed: int):
    """Guards against any further order of full reads, watched changes and pages that restores or drops a key."""
    asyncio.run(play_random_order(unstarted_node(params, clock, operations(grey=1)), random.Random(seed), steps=120))
