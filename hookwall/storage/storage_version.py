"""Which storage versions may be written while a rolling upgrade replaces the nodes' programs.

Storage versions are numbered, and a program that supports a version supports all earlier ones. Each node's program
stores a marker with the newest version that it supports, under a key that programs of version 1 ignore. A node never
returns to an older program once it has run a newer one. So once all nodes are marked with a version, no program without
support for that version can write or read any more, whether or not all nodes are up at that moment. Transactions of
older programs that are executed late still fail on their preconditions, which are versions of keys.

A node whose requests the key-value store rejects can't store its marker. Nodes therefore state their version in their
messages too, and a node that receives such a message stores the marker for the sender. This is safe because a node that
has stated a version never runs a program without support for that version again.

Invariant: once all nodes support a storage version, it stays supported, whatever this node reads later.
"""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

RETRY_S = 0.5
MARKER_FIELD = "format"  # the field of the stored value that holds the version


class StorageVersion(IntEnum):
    """The versions of the stored data, each with the data that it added."""

    PLAIN = 1  # no markers, plain records only
    DEPENDENCIES = 2  # dependent jobs, packed records, packed keys of lease delegates
    NUMBERED_MACHINES = 3  # lease delegates' keys that name machines by their numbers; keys that fence votes
    DRAINS = 4  # keys that keep new work off machines (`hookwall.drains`)


CURRENT_VERSION = StorageVersion.DRAINS


@dataclass(slots=True, frozen=True)
class Marker:
    """The newest storage version that a node's program supports, and the version of the marker's key; 0: not stored."""

    storage_version: int = 0
    version: int = 0


NO_MARKER = Marker()


class StorageVersionGate:
    """Tracks which storage versions the programs of all nodes support.

    Attributes:
        current_version: the newest storage version that this program supports.
        nodes: all nodes, including this node.
        markers: the stored marker of each node.
        reported_versions: the newest version that each node's program has reported.
    """

    def __init__(
        self, node_name: str, peers: Iterable[str], store: KeyValueClient, current: int = CURRENT_VERSION
    ) -> None:
        """Create a gate that knows no markers yet; `peers` are the other nodes."""
        self.store = store
        self.current_version = int(current)
        self.nodes = frozenset((node_name, *peers))
        self.markers: dict[str, Marker] = {}
        self.reported_versions = {node_name: self.current_version}
        self._marker_missing = asyncio.Event()

    def supported_by_all(self, wanted: int) -> bool:
        """Whether every node that may read or write supports the storage version `wanted`."""
        return all(node in self.markers and self.markers[node].storage_version >= wanted for node in self.nodes)

    def allows_dependencies(self) -> bool:
        """Whether dependent jobs and packed records may be written."""
        return self.supported_by_all(StorageVersion.DEPENDENCIES)

    def allows_numbered_machines(self) -> bool:
        """Whether lease delegates' keys may name machines by their numbers."""
        return self.supported_by_all(StorageVersion.NUMBERED_MACHINES)

    def allows_drains(self) -> bool:
        """Whether drains may be carried out: programs without support for drains place work on draining machines."""
        return self.supported_by_all(StorageVersion.DRAINS)

    def apply_marker(self, key: str, value: object, version: int) -> None:
        """Apply a stored marker; an older state of the marker is ignored."""
        node = key[len(keys.STORAGE_VERSION_PREFIX) :]
        stated = value.get(MARKER_FIELD) if isinstance(value, dict) else None
        before = self.markers.get(node, NO_MARKER)
        if node not in self.nodes or not isinstance(stated, int) or version <= before.version:
            return
        was_complete = self.supported_by_all(self.current_version)
        # A version that a program has once stated stays supported, whatever a later value says.
        self.markers[node] = Marker(max(stated, before.storage_version), version)
        if not was_complete and self.supported_by_all(self.current_version):
            log.info("storage version supported by all nodes: version=%d", self.current_version)

    def record_reported_version(self, node: str, reported_version: object) -> None:
        """Record the storage version that a node reports in a message; programs of version 1 report none."""
        if (
            isinstance(reported_version, int)
            and node in self.nodes
            and reported_version > self.reported_versions.get(node, 0)
        ):
            self.reported_versions[node] = reported_version
            self._marker_missing.set()

    async def run(self) -> None:
        """Store each marker that is missing or lower than the reported version, until the task is cancelled."""
        while True:
            for node, reported in sorted(self.reported_versions.items()):
                if reported > self.markers.get(node, NO_MARKER).storage_version:
                    await self._store_marker(node, reported)
            complete = self.supported_by_all(self.current_version)
            try:
                async with asyncio.timeout(None if complete else RETRY_S):
                    await self._marker_missing.wait()
            except TimeoutError:
                pass  # markers of other nodes may still be missing
            self._marker_missing.clear()

    async def _store_marker(self, node: str, reported_version: int) -> None:
        """Store a marker, on the precondition that no other node has written the marker in the meantime."""
        key = keys.STORAGE_VERSION_PREFIX + node
        value = {MARKER_FIELD: reported_version}
        stored_version = self.markers.get(node, NO_MARKER).version
        try:
            version = await self.store.commit([Precondition(key, stored_version)], [Put(key, value)])
        except PreconditionFailedError:
            await self._reload_marker(key)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("marker not stored: node=%s error=%s", node, error)
        else:
            self.apply_marker(key, value, version)

    async def _reload_marker(self, key: str) -> None:
        """Read and apply a marker that another node has stored."""
        try:
            stored = await self.store.get(key)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("marker not read: key=%s error=%s", key, error)
            return
        if stored is not None:
            self.apply_marker(key, *stored)
