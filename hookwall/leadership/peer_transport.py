"""Messages between controller nodes: length-prefixed CBOR over one connection to each peer.

Invariant: a response is matched to its request by the request ID, even if it arrives late or out of order.
"""

import asyncio
import logging
import struct
from collections.abc import Callable

import cbor2

from hookwall.config.platform import PeerSeed, parse_address
from hookwall.errors import HookwallError
from hookwall.leadership.peer_group import CALL_TIMEOUT_S, WireMessage

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 256 * 1024
FRAME_LENGTH = struct.Struct(">I")
REQUEST_ID_FIELD = "s"
NO_REQUEST_ID = -1


class MalformedFrameError(HookwallError):
    """A received frame is not a message, or is too large."""


async def read_frame(reader: asyncio.StreamReader) -> WireMessage:
    """Read the next message from a connection.

    Raise MalformedFrameError if the frame is too large or not a message, and IncompleteReadError at the end of the
    connection.
    """
    (size,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
    if size > MAX_FRAME_BYTES:
        raise MalformedFrameError(f"frame too large: {size} bytes")
    value = cbor2.loads(await reader.readexactly(size))
    if not isinstance(value, dict):
        raise MalformedFrameError("frame is not a CBOR map")
    return value


def encode_frame(message: WireMessage) -> bytes:
    """Return a message as a length-prefixed frame."""
    data = cbor2.dumps(message)
    return FRAME_LENGTH.pack(len(data)) + data


class PeerConnection:
    """The connection to one peer. Each call gets its own response or none; an unresponsive connection is replaced."""

    def __init__(self, seed: PeerSeed) -> None:
        self.name = seed.node_name
        self.host, self.port = parse_address(seed.peer_addr, "seeds.peer_addr")
        self._writer: asyncio.StreamWriter | None = None
        self._pending: dict[int, asyncio.Future[WireMessage]] = {}
        self._last_request_id = 0
        self._connecting = asyncio.Lock()

    async def call(self, message: WireMessage, timeout: float = CALL_TIMEOUT_S) -> WireMessage | None:
        """Return the peer's response, or None if there is none within `timeout` seconds."""
        self._last_request_id += 1
        request_id = self._last_request_id
        response: asyncio.Future[WireMessage] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = response
        try:
            async with asyncio.timeout(timeout):
                if self._writer is None:
                    await self._connect()
                if self._writer is None:
                    return None
                self._writer.write(encode_frame({**message, REQUEST_ID_FIELD: request_id}))
                return await response
        except (TimeoutError, OSError):
            # In a network partition a connection stays open without an error. Once the partition ends, a new connection
            # works sooner than the old one.
            if self._writer is not None:
                self._close(self._writer)
            return None
        finally:
            self._pending.pop(request_id, None)

    async def _connect(self) -> None:
        async with self._connecting:
            if self._writer is not None:
                return
            reader, writer = await asyncio.open_connection(self.host, self.port)
            self._writer = writer
            asyncio.get_running_loop().create_task(self._receive_responses(reader, writer))

    async def _receive_responses(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_frame(reader)
                response = self._pending.pop(message.get(REQUEST_ID_FIELD, NO_REQUEST_ID), None)
                if response is not None and not response.done():
                    response.set_result(message)
        except Exception as error:  # noqa: BLE001 - no input from a peer may end this process
            log.debug("peer connection ended: peer=%s error=%s", self.name, type(error).__name__)
        finally:
            self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        if self._writer is writer:
            self._writer = None
        writer.close()


async def serve_peers(listen_address: str, handle: Callable[[WireMessage], WireMessage]) -> asyncio.Server:
    """Listen on `host:port` and respond to peers' messages with `handle`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_frame(reader)
                response = handle(message)
                writer.write(encode_frame({**response, REQUEST_ID_FIELD: message.get(REQUEST_ID_FIELD, NO_REQUEST_ID)}))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Exception as error:  # noqa: BLE001 - no input from a peer may end this process
            log.info("peer connection dropped: error=%s message=%s", type(error).__name__, error)
        finally:
            writer.close()

    host, port = parse_address(listen_address, "peer_listen")
    return await asyncio.start_server(serve, host, port)
