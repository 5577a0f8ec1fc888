"""A TCP proxy on loopback that passes, holds or resets the connections between two controllers."""

import asyncio
from contextlib import suppress


class Proxy:
    """Forwards connections from its own port to `target`."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.mode = "pass"
        self._opened = asyncio.Event()
        self._opened.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode: str) -> None:
        """Pass, hold (deliver later, in order) or reset from now on."""
        self.mode = mode
        if mode == "hold":
            self._opened.clear()
        else:
            self._opened.set()
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps)
        self._tasks.difference_update(pumps)
        self._writers -= {writer, far_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(65536):
                await self._opened.wait()
                writer.write(data)
                await writer.drain()
        await self._opened.wait()
        with suppress(OSError, RuntimeError):
            writer.close()

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
