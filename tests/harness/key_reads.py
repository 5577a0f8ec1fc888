"""Keys of each kind that can be deleted, and requests whose responses arrive when a test lets them."""

import asyncio
import json
from pathlib import Path
from typing import Any

from harness.recovery import known_versions
from hookwall.node.node import Node
from hookwall.storage import keys
from hookwall.storage.entries import KeyValueEntry, ScanResult

GOLDEN = json.loads((Path(__file__).parents[1] / "golden" / "drains_1.json").read_text(encoding="utf-8"))
DELEGATION = keys.LEASE_DELEGATE_PREFIX + "n1"
DRAIN = keys.DRAIN_PREFIX + "kernel"
STEP = keys.CORDON_PREFIX + "vm-000002"
CHUNK = keys.CHUNK_PREFIX + "run-000001/abc"
VALUES: dict[str, Any] = {
    DELEGATION: {"token": 5, "machines": ["vm-000002"]},
    DRAIN: GOLDEN["drain"],
    STEP: GOLDEN["step"],
    CHUNK: "text",
}
LOADS = ["load_for_leadership", "read_all"]
ABSENT = 0


def known_version(node: Node, key: str) -> int:
    """The version of a key in memory; 0 if the key is absent there."""
    return known_versions(node).get(key, ABSENT)


def deliver(node: Node, revision: int, *changes: KeyValueEntry | tuple[str, int]) -> None:
    """Apply changes as the watch does with a batch that is complete up to `revision`; a pair is a deletion."""
    for change in changes:
        if isinstance(change, KeyValueEntry):
            node.key_dispatcher.apply_key(*change)
        else:
            node.key_dispatcher.apply_deletion(*change)
    node.watch_progress.watched_revision = revision
    node.key_dispatcher.confirm_current(node.clock())


class PendingRead:
    """A full read that the store has executed, and whose response arrives with `finish`."""

    def __init__(self, node: Node, load: str, result: ScanResult) -> None:
        self.response: asyncio.Future[ScanResult] = asyncio.get_running_loop().create_future()

        async def scan(prefix: str) -> ScanResult:
            return await self.response

        node.key_dispatcher.store.scan = scan
        self.result = result
        self.task = asyncio.ensure_future(getattr(node.key_dispatcher, load)())

    async def begin(self) -> "PendingRead":
        """Send the request."""
        await asyncio.sleep(0)
        return self

    async def finish(self) -> None:
        """Let the response arrive."""
        self.response.set_result(self.result)
        await self.task


async def begin_read(node: Node, load: str, revision: int, *entries: KeyValueEntry) -> PendingRead:
    """Begin a full read that the store executes at `revision`."""
    return await PendingRead(node, load, ScanResult(list(entries), revision)).begin()


def entry(key: str, version: int) -> KeyValueEntry:
    """A key as it was written at revision `version`."""
    return KeyValueEntry(key, VALUES[key], version)
