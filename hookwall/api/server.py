"""The HTTP door: users, workers and health checks. Routes by hand since there are five paths.

A leader answers hundreds of reports a second on a fraction of a core. aiohttp's server spends 0.2 ms on each
request, most of it on request and response objects; so requests are read by aiohttp's parser (C code) in a
protocol of our own, which takes 0.06 ms. An answer that is known at once needs no task either.
"""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from hookwall.api.job_service import JobService
from hookwall.api.responses import RETRY_LATER, HttpResponse
from hookwall.protocol import json_messages

log = logging.getLogger(__name__)

MAX_USER_REQUESTS = 200
# A machine that loses its power, or is deleted, says no more on its connection. Such connections stayed for an
# hour, and a day's machines and users came to two thirds of the sockets there are.
IDLE_HEARTBEATS = 12  # a connection is idle after as long as so many reports take
BODY_S = 5.0  # then whoever sends a request has given it up
# Of the sockets that the platform gives: a fleet that comes at once waits in a quarter of them, and some are our own.
# With 4,096 places, what workers had left behind at a node that stood still came to 1,531 of 1,633 sockets.
WAITING = 0.25
OWN = 100  # to the state service, the cloud and peers
UNANSWERED_S = 4.0  # a worker waits so long for an answer, and asks nothing else meanwhile
MOST_QUEUED = 8  # requests on one connection that came before the first was answered
CHUNK = 64 * 1024

Reply = HttpResponse | Awaitable[HttpResponse]
HeartbeatCallback = Callable[[bytes], tuple[int, bytes] | Awaitable[tuple[int, bytes]]]

NOTHING: dict[str, str] = {}
TOO_LARGE: HttpResponse = (413, b'{"error":"too large"}', None)
NO_BODY: HttpResponse = (408, b'{"error":"the body did not come"}', RETRY_LATER)
MALFORMED: HttpResponse = (400, b'{"error":"malformed"}', None)
SURPRISE: HttpResponse = (503, b'{"error":"internal"}', RETRY_LATER)
HEADS = {
    s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\nContent-Type: application/json\r\nContent-Length: ".encode()
    for s in HTTPStatus
}


class HttpServer:
    """Answers requests; never holds one back."""

    def __init__(
        self,
        api: JobService,
        beat: HeartbeatCallback,
        up: Callable[[], bool],
        sockets: int,
        report_s: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.api, self.beat, self.up, self.clock = api, beat, up, clock
        self.at_once = 0
        self.body_s = BODY_S
        self.idle_s = IDLE_HEARTBEATS * report_s
        self.least_idle_s = max(UNANSWERED_S, 1.5 * report_s)  # such a connection is not between two reports
        self.backlog = max(16, int(sockets * WAITING))
        self.most = max(16, sockets - self.backlog - OWN)  # connections
        self.connections: dict[Connection, float] = {}  # when each was last used, the longest idle first

    # -- what is asked ---------------------------------------------------------------------------

    def ask(self, method: str, path: str, body: bytes) -> Reply:
        """The answer to a request, or what it is to be waited for."""
        if path == "/agent/beat" and method == "POST":
            got = self.beat(body)
            return (*got, None) if isinstance(got, tuple) else self._beat_later(got)
        if path == "/up":
            return (200 if self.up() else 503), b"{}", None
        if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
            return self._user(method, path, body)
        return 404, b'{"error":"no such path"}', None

    async def _beat_later(self, work: Awaitable[tuple[int, bytes]]) -> HttpResponse:
        return (*await work, None)

    def _user(self, method: str, path: str, body: bytes) -> Reply:
        if self.at_once >= MAX_USER_REQUESTS:
            return 429, b'{"error":"overloaded"}', RETRY_LATER
        if path == "/v1/jobs":
            return self._counted(self.api.submit(body)) if method == "POST" else (405, b'{"error":"method"}', None)
        ref, _, action = path[len("/v1/jobs/") :].partition("/")
        if action == "" and method == "GET":
            return self._counted(self.api.get(ref))
        if action == "cancel" and method == "POST":
            return self._counted(self.api.cancel(ref))
        return (404 if action not in ("", "cancel") else 405), b'{"error":"no such path"}', None

    def _counted(self, work: Awaitable[HttpResponse]) -> Awaitable[HttpResponse]:
        """Count a user's request from now on, not only once its turn comes."""
        self.at_once += 1
        return self._count_down(work)

    async def _count_down(self, work: Awaitable[HttpResponse]) -> HttpResponse:
        try:
            return await work
        finally:
            self.at_once -= 1

    # -- connections -----------------------------------------------------------------------------

    def used(self, connection: "Connection") -> None:
        """Something was asked on a connection: it is the least idle now."""
        self.connections.pop(connection, None)
        self.connections[connection] = self.clock()

    def shed(self) -> int:
        """Close connections on which nothing is asked any more, and, at the limit, those that were idle longest."""
        now, over = self.clock(), len(self.connections) - self.most
        closed: list[Connection] = []
        for connection, at in self.connections.items():
            if now - at <= (self.least_idle_s if len(closed) < over else self.idle_s):
                break
            closed.append(connection)
        for connection in closed:
            connection.end()
        if over > 0:
            log.info("closed %d idle connections of %d", len(closed), over + self.most)
        return len(closed)

    async def run(self) -> None:
        """Keep connections below the limit while the node runs."""
        while True:
            await asyncio.sleep(1.0)
            self.shed()


class Connection(BaseProtocol):
    """One connection: requests are answered one after the other."""

    __slots__ = ("body_timer", "busy", "door", "parser", "queue")

    def __init__(self, door: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.door = door
        self.parser = HttpRequestParser(self, loop, CHUNK, auto_decompress=False)
        self.queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self.busy: asyncio.Task | None = None
        self.body_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.door.used(self)

    def connection_lost(self, error: BaseException | None) -> None:
        super().connection_lost(error)
        self.door.connections.pop(self, None)
        self._await_body(False)
        self.queue.clear()

    def end(self) -> None:
        """Close without another word."""
        self.door.connections.pop(self, None)
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.door.used(self)
        try:
            messages, _, _ = self.parser.feed_data(data)
        except HttpProcessingError as e:
            log.info("malformed request: %s", type(e).__name__)
            self._answer(MALFORMED, close=True)
            return
        self.queue.extend(messages)
        if len(self.queue) > MOST_QUEUED:
            self.end()
            return
        self._next()

    def _next(self) -> None:
        """Answer what has come whole, in its order."""
        while self.queue and self.busy is None and self.transport is not None:
            message, payload = self.queue[0]
            if _too_large(message, payload):
                # A large one is not read first.
                self._answer(TOO_LARGE, close=True)
                return
            if not payload.is_eof():
                self._await_body(True)
                return
            self._await_body(False)
            self.queue.popleft()
            self._ask(message, payload.read_nowait())

    def _await_body(self, waits: bool) -> None:
        """Start or stop the time that the rest of a body has to come."""
        if waits and self.body_timer is None:
            self.body_timer = self._loop.call_later(self.door.body_s, self._answer, NO_BODY, True)
        elif not waits and self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _ask(self, message: RawRequestMessage, body: bytes) -> None:
        try:
            got = self.door.ask(message.method, message.path, body)
        except Exception:  # one request's surprise must not end the node
            log.exception("request %s %s failed", message.method, message.path)
            got = SURPRISE
        if isinstance(got, tuple):
            self._answer(got, message.should_close)
        else:
            self.busy = self._loop.create_task(self._answer_later(got, message))

    async def _answer_later(self, work: Awaitable[HttpResponse], message: RawRequestMessage) -> None:
        try:
            answer = await work
        except Exception:
            log.exception("request %s %s failed", message.method, message.path)
            answer = SURPRISE
        self.busy = None
        self._answer(answer, message.should_close)
        self._next()

    def _answer(self, answer: HttpResponse, close: bool) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        status, body, headers = answer
        more = "".join([f"\r\n{k}: {v}" for k, v in (headers or NOTHING).items()])
        if close:
            more += "\r\nConnection: close"
        transport.write(b"%b%d%b\r\n\r\n%b" % (HEADS[status], len(body), more.encode(), body))
        if close:
            self.end()


def _too_large(message: RawRequestMessage, payload: StreamReader) -> bool:
    """Whether a body is over the limit, by what it says or by what has come."""
    if payload.total_bytes > json_messages.MAX_BODY_BYTES:
        return True
    length = message.headers.get("Content-Length", "0")
    return length.isdigit() and int(length) > json_messages.MAX_BODY_BYTES


async def listen(door: HttpServer, host: str, port: int) -> asyncio.Server:
    """Start answering."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Connection(door, loop), host, port, backlog=door.backlog)
