"""One node's messages to another, with delays, partitions and frozen receivers."""

import asyncio
from typing import TYPE_CHECKING

import cbor2

from harness.worker import WIRE_S

if TYPE_CHECKING:
    from harness.simulation import Simulation


class PeerLink:
    """One node's messages to another."""

    def __init__(self, simulation: "Simulation", sender: str, name: str) -> None:
        self.simulation = simulation
        self.sender = sender
        self.name = name
        self.delay_s = WIRE_S

    async def call(self, message: dict, timeout: float = 1.0) -> dict | None:
        """The receiver's answer; None where none comes within `timeout` seconds."""
        if frozenset((self.sender, self.name)) in self.simulation.partitions:
            await asyncio.sleep(timeout)
            return None
        sent = cbor2.dumps(message)
        await asyncio.sleep(self.delay_s)
        try:
            async with asyncio.timeout(timeout):
                await self.simulation.wait_while_frozen(self.name)
        except TimeoutError:
            # What was sent is read once the process goes on, and nobody waits for the answer.
            self.simulation.go(self._read_later(sent))
            return None
        node = self.simulation.nodes.get(self.name)
        if node is None:
            return None
        answer = cbor2.dumps(node.leadership.handle_peer_message(cbor2.loads(sent)))
        await asyncio.sleep(self.delay_s)
        return cbor2.loads(answer)

    async def _read_later(self, sent: bytes) -> None:
        await self.simulation.wait_while_frozen(self.name)
        node = self.simulation.nodes.get(self.name)
        if node is not None:
            node.leadership.handle_peer_message(cbor2.loads(sent))
