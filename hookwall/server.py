"""The HTTP door: users, workers and health checks. Routes by hand since there are five paths."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from hookwall import wire
from hookwall.jobs import LATER, Answer, UserApi

log = logging.getLogger("hookwall.server")

MOST_AT_ONCE = 200
# A machine that loses its power, or is deleted, says no more on its connection. Left to the library such a
# connection stays for an hour, and a day's machines and users came to two thirds of the sockets there are.
IDLE_S = 30.0  # workers report, and users ask, every few seconds
BODY_S = 5.0  # then whoever sends a request has given it up
# Of the sockets that the platform gives: a fleet that comes at once waits in a quarter of them, and some are our own.
# With 4,096 places, what workers had left behind at a node that stood still came to 1,531 of 1,633 sockets.
WAITING = 0.25
OWN = 100  # to the state service, the cloud and peers
LEAST_IDLE_S = 4.0  # longer than a worker waits between two reports, or for an answer

BeatHandler = Callable[[bytes], Awaitable[tuple[int, bytes]]]


class Door:
    """Answers requests; never holds one back."""

    def __init__(
        self,
        api: UserApi,
        beat: BeatHandler,
        up: Callable[[], bool],
        sockets: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.api, self.beat, self.up, self.clock = api, beat, up, clock
        self.at_once = 0
        self.body_s = BODY_S
        self.backlog = max(16, int(sockets * WAITING))
        self.most = max(16, sockets - self.backlog - OWN)  # connections
        self.asked: dict[web.RequestHandler, float] = {}  # when each connection was last used
        self.server: web.Server | None = None

    async def handle(self, request: web.BaseRequest) -> web.Response:
        path, method = request.path, request.method
        self.asked[request.protocol] = self.clock()
        try:
            if path == "/agent/beat" and method == "POST":
                body = await self._body(request)
                if not isinstance(body, bytes):
                    return body
                return _reply(*await self.beat(body))
            if path == "/up":
                return _reply(200 if self.up() else 503, b"{}")
            if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
                return await self._user(request, path, method)
        except (ConnectionError, TimeoutError):
            raise
        except Exception:  # one request's surprise must not end the node
            log.exception("request %s %s failed", method, path)
            return _reply(503, b'{"error":"internal"}', LATER)
        return _reply(404, b'{"error":"no such path"}')

    async def _user(self, request: web.BaseRequest, path: str, method: str) -> web.Response:
        if self.at_once >= MOST_AT_ONCE:
            return _reply(429, b'{"error":"overloaded"}', LATER)
        self.at_once += 1
        try:
            if path == "/v1/jobs":
                if method != "POST":
                    return _reply(405, b'{"error":"method"}')
                body = await self._body(request)
                if not isinstance(body, bytes):
                    return body
                return _reply(*await self.api.submit(body))
            ref, _, action = path[len("/v1/jobs/") :].partition("/")
            run: Callable[[str], Awaitable[Answer]]
            if action == "" and method == "GET":
                run = self.api.get
            elif action == "cancel" and method == "POST":
                run = self.api.cancel
            else:
                return _reply(404 if action not in ("", "cancel") else 405, b'{"error":"no such path"}')
            return _reply(*await run(ref))
        finally:
            self.at_once -= 1

    def shed(self) -> int:
        """At the limit of sockets, close the connections that were idle longest, so that accepting goes on."""
        if self.server is None:
            return 0
        now = self.clock()
        there = self.server.connections
        self.asked = {c: self.asked.get(c, now) for c in there}
        over = len(there) - self.most
        if over <= 0:
            return 0
        idle = sorted((c for c in there if now - self.asked[c] > LEAST_IDLE_S), key=lambda c: self.asked[c])[:over]
        for c in idle:
            c.force_close()
        log.info("closed %d idle connections of %d", len(idle), len(there))
        return len(idle)

    async def run(self) -> None:
        """Keep connections below the limit while the node runs."""
        while True:
            await asyncio.sleep(1.0)
            self.shed()

    async def _body(self, request: web.BaseRequest) -> bytes | web.Response:
        """The body, or the refusal of one that is over the limit or does not come; a large one is not read first."""
        too_large = _reply(413, b'{"error":"too large"}', close=True)
        if request.content_length is not None and request.content_length > wire.MAX_BODY:
            return too_large
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self.body_s):
                while part := await request.content.readany():
                    size += len(part)
                    if size > wire.MAX_BODY:
                        return too_large
                    parts.append(part)
        except TimeoutError:
            return _reply(408, b'{"error":"the body did not come"}', LATER, close=True)
        return b"".join(parts)


def _reply(status: int, body: bytes, headers: dict[str, str] | None = None, close: bool = False) -> web.Response:
    answer = web.Response(status=status, body=body, content_type="application/json", headers=headers)
    if close:
        answer.force_close()
    return answer


async def listen(door: Door, host: str, port: int, idle_s: float = IDLE_S) -> asyncio.Server:
    """Start answering; connections on which nothing is asked for long are closed."""
    door.server = web.Server(door.handle, access_log=None, keepalive_timeout=idle_s)
    return await asyncio.get_running_loop().create_server(door.server, host, port, backlog=door.backlog)
