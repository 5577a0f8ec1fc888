"""Which formats may be written while a rolling upgrade replaces the nodes' programs.

Formats are numbered, and a program that knows one knows all before it. Each node's program stores a marker with the
newest format that it knows, under a key that programs of format 1 ignore. A node never goes back to an older program
once it has run a newer one, so when all nodes are marked with a format no program that lacks it can write or read any
more, whether all nodes are up at that moment or not. Transactions of older programs that are carried out late still
fail on the stamps that they are conditional on.

A node that the state service refuses can't store its marker. Nodes say their format in their messages too,
and whoever hears that stores the marker for the other: what a program says of itself stays true.
"""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

RETRY_S = 0.5


class StorageVersion(IntEnum):
    """What programs may write, each with what it added."""

    PLAIN = 1  # no markers, plain records only
    DEPENDENCIES = 2  # dependent jobs, packed records, packed keepers' keys
    NUMBERED_MACHINES = 3  # keepers' keys that name machines by their numbers; keys that fence votes (voter.py)

    DRAINS = 4  # drains: keys that keep new work off machines (drains/)


CURRENT_VERSION = StorageVersion.DRAINS


@dataclass(slots=True, frozen=True)
class Marker:
    """The newest format that a node's program knows, as stored; stamp 0: nothing is stored."""

    storage_version: int = 0
    version: int = 0


class StorageVersionGate:
    """What this node knows about the programs of all nodes."""

    def __init__(self, me: str, nodes: Iterable[str], store: KeyValueClient, current: int = CURRENT_VERSION) -> None:
        self.store, self.current_version = store, int(current)
        self.nodes = frozenset((me, *nodes))
        self.markers: dict[str, Marker] = {}
        self.reported_versions = {me: self.current_version}  # the newest format that each node's program said it knows
        self._wake = asyncio.Event()

    def supported_by_all(self, wanted: int) -> bool:
        """Whether every node that may read or write knows a format."""
        return all(node in self.markers and self.markers[node].storage_version >= wanted for node in self.nodes)

    def allows_dependencies(self) -> bool:
        """Whether dependent jobs and packed records may be written."""
        return self.supported_by_all(StorageVersion.DEPENDENCIES)

    def allows_numbered_machines(self) -> bool:
        """Whether keepers' keys may name machines by their numbers."""
        return self.supported_by_all(StorageVersion.NUMBERED_MACHINES)

    def allows_drains(self) -> bool:
        """Whether drains may be carried out: programs that don't know them place work on machines that are drained."""
        return self.supported_by_all(StorageVersion.DRAINS)

    def apply_marker(self, key: str, value: object, stamp: int) -> None:
        """A marker as stored. An older state of it changes nothing."""
        node = key[len(keys.STORAGE_VERSION_PREFIX) :]
        known = value.get("format") if isinstance(value, dict) else None
        before = self.markers.get(node, Marker())
        if node not in self.nodes or not isinstance(known, int) or stamp <= before.version:
            return
        complete = self.supported_by_all(self.current_version)
        # What a program has once said to know stays known, whatever a later value says.
        self.markers[node] = Marker(max(known, before.storage_version), stamp)
        if not complete and self.supported_by_all(self.current_version):
            log.info("all nodes know format %d", self.current_version)

    def record_reported_version(self, node: str, known: object) -> None:
        """A node has said which format it knows; programs of format 1 say nothing."""
        if isinstance(known, int) and node in self.nodes and known > self.reported_versions.get(node, 0):
            self.reported_versions[node] = known
            self._wake.set()

    async def run(self) -> None:
        """Store the markers that are missing or too low, as far as this node can vouch for more."""
        while True:
            for node, known in sorted(self.reported_versions.items()):
                if known > self.markers.get(node, Marker()).storage_version:
                    await self._store_marker(node, known)
            complete = self.supported_by_all(self.current_version)
            try:
                async with asyncio.timeout(None if complete else RETRY_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _store_marker(self, node: str, known: int) -> None:
        """Store a marker on the condition that nobody else has meanwhile."""
        key, value = keys.STORAGE_VERSION_PREFIX + node, {"format": known}
        stamp = self.markers.get(node, Marker()).version
        try:
            self.apply_marker(key, value, await self.store.commit([(key, stamp)], [(key, value)]))
        except PreconditionFailedError:
            await self._read(key)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("marker of %s: %s", node, error)

    async def _read(self, key: str) -> None:
        """Somebody else has stored the marker."""
        try:
            got = await self.store.get(key)
        except (RequestRejectedError, OutcomeUnknownError):
            return
        if got is not None:
            self.apply_marker(key, *got)
