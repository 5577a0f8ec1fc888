"""Messages between our own nodes: length-prefixed CBOR over one connection to each peer."""

import asyncio
import logging
import struct
from collections.abc import Callable

import cbor2

from hookwall.config.platform import PeerSeed, parse_address

log = logging.getLogger(__name__)
MAX_FRAME_BYTES = 256 * 1024


async def read_frame(reader: asyncio.StreamReader) -> dict:
    (size,) = struct.unpack(">I", await reader.readexactly(4))
    if size > MAX_FRAME_BYTES:
        raise ValueError("frame too large")
    value = cbor2.loads(await reader.readexactly(size))
    if not isinstance(value, dict):
        raise ValueError("not a message")
    return value


def encode_frame(message: dict) -> bytes:
    data = cbor2.dumps(message)
    return struct.pack(">I", len(data)) + data


class PeerConnection:
    """One other node. Each call gets its own answer or none; a silent connection is replaced."""

    def __init__(self, seed: PeerSeed) -> None:
        self.name = seed.node_name
        self.host, self.port = parse_address(seed.peer_addr, "seeds.peer_addr")
        self.writer: asyncio.StreamWriter | None = None
        self.answers: dict[int, asyncio.Future] = {}
        self.serial = 0
        self.connecting: asyncio.Lock = asyncio.Lock()

    async def _connect(self) -> None:
        async with self.connecting:
            if self.writer is not None:
                return
            reader, writer = await asyncio.open_connection(self.host, self.port)
            self.writer = writer
            asyncio.get_running_loop().create_task(self._listen(reader, writer))

    async def _listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_frame(reader)
                future = self.answers.pop(message.get("s", -1), None)
                if future is not None and not future.done():
                    future.set_result(message)
        except Exception as e:  # a peer's nonsense must not end this node
            log.debug("connection to %s ended: %s", self.name, type(e).__name__)
        finally:
            self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        if self.writer is writer:
            self.writer = None
        writer.close()

    async def call(self, message: dict, timeout: float = 1.0) -> dict | None:
        """The peer's answer, or None."""
        self.serial += 1
        serial = self.serial
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.answers[serial] = future
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    await self._connect()
                if self.writer is None:
                    return None
                self.writer.write(encode_frame({**message, "s": serial}))
                return await future
        except (TimeoutError, OSError):
            # Behind a cut a connection stays open without an error; a new one will work sooner.
            if self.writer is not None:
                self._close(self.writer)
            return None
        finally:
            self.answers.pop(serial, None)


async def serve_peers(at: str, handle: Callable[[dict], dict]) -> asyncio.Server:
    """Answer peers' messages with `handle`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_frame(reader)
                answer = handle(message)
                writer.write(encode_frame({**answer, "s": message.get("s", -1)}))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Exception as e:
            log.info("dropped a peer's connection: %s: %s", type(e).__name__, e)
        finally:
            writer.close()

    host, port = parse_address(at, "peer_listen")
    return await asyncio.start_server(serve, host, port)
