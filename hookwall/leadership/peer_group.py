"""A node's connections to its peers, and the background tasks that send messages to them.

Invariant: each message gets one response or none; a peer that doesn't respond does not delay the responses of others.
"""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, Protocol, TypeVar

from hookwall.protocol import peer_messages
from hookwall.protocol.peer_messages import PeerMessage, PeerResponse

CALL_TIMEOUT_S = 1.0

WireMessage = dict[str, Any]  # a message between nodes, as encoded in CBOR

Result = TypeVar("Result")


class Peer(Protocol):
    """A connection to one other node."""

    name: str

    async def call(self, message: WireMessage, timeout: float = CALL_TIMEOUT_S) -> WireMessage | None:
        """Return the peer's response, or None if there is none within `timeout` seconds."""


class PeerGroup:
    """All peers of a node."""

    def __init__(self, peers: list[Peer]) -> None:
        self.peers = peers
        self.background_tasks: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the peers."""
        return iter(self.peers)

    def spawn(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a background task; the group holds a reference to the task until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def call(self, peer: Peer, message: PeerMessage, timeout_s: float = CALL_TIMEOUT_S) -> PeerResponse | None:
        """Return a peer's response, or None if there is none within `timeout_s` seconds."""
        response = await peer.call(peer_messages.encode_message(message), timeout=timeout_s)
        return None if response is None else peer_messages.decode_response(response)

    def call_all(self, message: PeerMessage, timeout_s: float) -> list[asyncio.Task[PeerResponse | None]]:
        """Send a message to all peers; return one task for each, whose result is the response or None."""
        return [self.spawn(self.call(peer, message, timeout_s)) for peer in self.peers]

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all peers and ignore their responses."""
        for peer in self.peers:
            self.spawn(self.call(peer, message))
