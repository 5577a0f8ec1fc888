"""The link from one node to a peer, with delays, partitions and frozen receivers."""

import asyncio
from typing import TYPE_CHECKING

import cbor2

from harness.worker import NETWORK_DELAY_S

if TYPE_CHECKING:
    from harness.simulation import Simulation


class PeerLink:
    """The link from node `sender` to the peer `name`."""

    def __init__(self, simulation: "Simulation", sender: str, name: str) -> None:
        self.simulation = simulation
        self.sender = sender
        self.name = name
        self.delay_s = NETWORK_DELAY_S

    async def call(self, message: dict, timeout: float = 1.0) -> dict | None:
        """Send a message; return the response, or None if there is none within `timeout` seconds."""
        if frozenset((self.sender, self.name)) in self.simulation.partitions:
            await asyncio.sleep(timeout)
            return None
        encoded = cbor2.dumps(message)
        await asyncio.sleep(self.delay_s)
        try:
            async with asyncio.timeout(timeout):
                await self.simulation.wait_while_frozen(self.name)
        except TimeoutError:
            # The receiver reads the message after its process is thawed; the sender no longer waits for a response.
            self.simulation.run_in_background(self._deliver_after_thaw(encoded))
            return None
        node = self.simulation.nodes.get(self.name)
        if node is None:
            return None
        response = cbor2.dumps(node.leadership.handle_peer_message(cbor2.loads(encoded)))
        await asyncio.sleep(self.delay_s)
        return cbor2.loads(response)

    async def _deliver_after_thaw(self, encoded: bytes) -> None:
        await self.simulation.wait_while_frozen(self.name)
        node = self.simulation.nodes.get(self.name)
        if node is not None:
            node.leadership.handle_peer_message(cbor2.loads(encoded))
