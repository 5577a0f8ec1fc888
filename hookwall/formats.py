"""Which formats may be written while a rolling upgrade replaces the nodes' programs.

Each node's new program stores a marker for its node under a key that older programs ignore. A node never goes
back to an older program once it has run a newer one, so when all nodes are marked no older program can write
or read any more, whether all nodes are up at that moment or not. Transactions of older programs that are
carried out late still fail on the stamps that they are conditional on.

A node that the state service refuses can't store its marker. Nodes say their format in their messages too,
and whoever hears that stores the marker for the other: what a program says of itself stays true.
"""

import asyncio
import logging
from collections.abc import Iterable

from hookwall import keys
from hookwall.store import Conflict, Refused, Store, Unknown

log = logging.getLogger("hookwall.formats")

CURRENT = 2  # 1: no markers, plain records only. 2: dependent jobs, packed records, packed keepers' keys
RETRY_S = 0.5


class FormatGate:
    """What this node knows about the programs of all nodes."""

    def __init__(self, me: str, nodes: Iterable[str], store: Store) -> None:
        self.store = store
        self.nodes = frozenset((me, *nodes))
        self.marked: set[str] = set()
        self.vouched = {me}  # run the current format, whether marked or not
        self._wake = asyncio.Event()

    def ready(self) -> bool:
        """Whether every node that may read or write knows the current format."""
        return len(self.marked) == len(self.nodes)

    def saw(self, key: str, value: object) -> None:
        """A marker as stored."""
        node = key[len(keys.FORMAT) :]
        known = value.get("format") if isinstance(value, dict) else None
        if node not in self.nodes or node in self.marked or not isinstance(known, int) or known < CURRENT:
            return
        self.marked.add(node)
        if self.ready():
            log.info("all nodes know format %d", CURRENT)

    def heard(self, node: str, known: object) -> None:
        """A node has said which format it knows; older programs say nothing."""
        if isinstance(known, int) and known >= CURRENT and node in self.nodes and node not in self.vouched:
            self.vouched.add(node)
            self._wake.set()

    async def run(self) -> None:
        """Store the markers that are missing and that this node can vouch for, until all are stored."""
        while not self.ready():
            for node in sorted(self.vouched - self.marked):
                await self._mark(node)
            try:
                async with asyncio.timeout(RETRY_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
        await asyncio.Event().wait()

    async def _mark(self, node: str) -> None:
        key, value = keys.FORMAT + node, {"format": CURRENT}
        try:
            await self.store.commit([(key, 0)], [(key, value)])
            self.saw(key, value)
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
            self.saw(key, got[0])
