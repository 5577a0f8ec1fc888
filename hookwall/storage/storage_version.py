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
from hookwall.storage.client import Conflict, Refused, Store, Unknown

log = logging.getLogger(__name__)

RETRY_S = 0.5


class Format(IntEnum):
    """What programs may write, each with what it added."""

    PLAIN = 1  # no markers, plain records only
    PIPELINES = 2  # dependent jobs, packed records, packed keepers' keys
    NUMBERED = 3  # keepers' keys that name machines by their numbers; keys that fence votes (voter.py)

    DRAINS = 4  # drains: keys that keep new work off machines (drains/)


CURRENT = Format.DRAINS


@dataclass(slots=True, frozen=True)
class Marker:
    """The newest format that a node's program knows, as stored; stamp 0: nothing is stored."""

    known: int = 0
    stamp: int = 0


class FormatGate:
    """What this node knows about the programs of all nodes."""

    def __init__(self, me: str, nodes: Iterable[str], store: Store, current: int = CURRENT) -> None:
        self.store, self.current = store, int(current)
        self.nodes = frozenset((me, *nodes))
        self.markers: dict[str, Marker] = {}
        self.heard_of = {me: self.current}  # the newest format that each node's program said it knows
        self._wake = asyncio.Event()

    def all_know(self, wanted: int) -> bool:
        """Whether every node that may read or write knows a format."""
        return all(node in self.markers and self.markers[node].known >= wanted for node in self.nodes)

    def pipelines(self) -> bool:
        """Whether dependent jobs and packed records may be written."""
        return self.all_know(Format.PIPELINES)

    def numbered(self) -> bool:
        """Whether keepers' keys may name machines by their numbers."""
        return self.all_know(Format.NUMBERED)

    def drains(self) -> bool:
        """Whether drains may be carried out: programs that don't know them place work on machines that are drained."""
        return self.all_know(Format.DRAINS)

    def saw(self, key: str, value: object, stamp: int) -> None:
        """A marker as stored. An older state of it changes nothing."""
        node = key[len(keys.FORMAT) :]
        known = value.get("format") if isinstance(value, dict) else None
        before = self.markers.get(node, Marker())
        if node not in self.nodes or not isinstance(known, int) or stamp <= before.stamp:
            return
        complete = self.all_know(self.current)
        # What a program has once said to know stays known, whatever a later value says.
        self.markers[node] = Marker(max(known, before.known), stamp)
        if not complete and self.all_know(self.current):
            log.info("all nodes know format %d", self.current)

    def heard(self, node: str, known: object) -> None:
        """A node has said which format it knows; programs of format 1 say nothing."""
        if isinstance(known, int) and node in self.nodes and known > self.heard_of.get(node, 0):
            self.heard_of[node] = known
            self._wake.set()

    async def run(self) -> None:
        """Store the markers that are missing or too low, as far as this node can vouch for more."""
        while True:
            for node, known in sorted(self.heard_of.items()):
                if known > self.markers.get(node, Marker()).known:
                    await self._mark(node, known)
            complete = self.all_know(self.current)
            try:
                async with asyncio.timeout(None if complete else RETRY_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _mark(self, node: str, known: int) -> None:
        """Store a marker on the condition that nobody else has meanwhile."""
        key, value = keys.FORMAT + node, {"format": known}
        stamp = self.markers.get(node, Marker()).stamp
        try:
            self.saw(key, value, await self.store.commit([(key, stamp)], [(key, value)]))
        except Conflict:
            await self._read(key)
        except (Refused, Unknown) as error:
            log.debug("marker of %s: %s", node, error)

    async def _read(self, key: str) -> None:
        """Somebody else has stored the marker."""
        try:
            got = await self.store.get(key)
        except (Refused, Unknown):
            return
        if got is not None:
            self.saw(key, *got)
