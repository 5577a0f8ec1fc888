"""The HTTP server for users, workers and health checks. It has its own routing since there are only five paths.

Invariant: a request is answered or refused at once, whatever other requests wait for. Responses on one connection are
sent in the order of its requests.

A leader answers hundreds of heartbeats a second on a fraction of a core. aiohttp's server spends 0.2 ms on each
request, most of it on request and response objects. So connections use a protocol class of this package
(connection.py) that calls only aiohttp's parser, which is C code, and takes 0.06 ms for each request. A response that
is available at once needs no task either.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from hookwall.api.connection import Connection
from hookwall.api.job_service import JobService
from hookwall.api.responses import RETRY_LATER, HttpResponse

log = logging.getLogger(__name__)

MAX_USER_REQUESTS = 200  # in flight
# A connection is idle after this many heartbeat intervals without data. A machine that loses power or is deleted sends
# nothing more on its connection. When such connections stayed open for an hour, those of a day's machines and users
# took two thirds of all sockets.
IDLE_TIMEOUT_HEARTBEATS = 12
BODY_TIMEOUT_S = 5.0  # after this time the client has given up the request
# Share of the sockets that the platform allows, for connections that wait in the listen backlog when a whole fleet
# connects at once.
# With a backlog of 4,096, the connections that workers had abandoned at a stalled node took 1,531 of 1,633 sockets.
BACKLOG_SHARE = 0.25
RESERVED_SOCKETS = 100  # for connections to the key-value store, the cloud and peers
MIN_SOCKETS = 16  # lower bound of the connection limit and of the backlog
WORKER_TIMEOUT_S = 4.0  # how long a worker waits for a response, without sending another request meanwhile
IDLE_CHECK_INTERVAL_S = 1.0

PendingResponse = HttpResponse | Awaitable[HttpResponse]
HeartbeatCallback = Callable[[bytes], tuple[int, bytes] | Awaitable[tuple[int, bytes]]]

NO_SUCH_PATH = HttpResponse(404, b'{"error":"no such path"}')
METHOD_NOT_ALLOWED = HttpResponse(405, b'{"error":"method"}')
JOB_METHOD_NOT_ALLOWED = HttpResponse(405, b'{"error":"no such path"}')
OVERLOADED = HttpResponse(429, b'{"error":"overloaded"}', RETRY_LATER)


class HttpServer:
    """Routes requests and limits connections; never holds a response back."""

    def __init__(
        self,
        job_service: JobService,
        handle_heartbeat: HeartbeatCallback,
        is_healthy: Callable[[], bool],
        sockets: int,
        report_s: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a server for a process with at most `sockets` sockets.

        Workers send a heartbeat every `report_s` seconds.
        """
        self.job_service = job_service
        self.handle_heartbeat = handle_heartbeat
        self.is_healthy = is_healthy
        self.clock = clock
        self.user_requests_in_flight = 0
        self.body_timeout_s = BODY_TIMEOUT_S
        self.idle_timeout_s = IDLE_TIMEOUT_HEARTBEATS * report_s
        # A connection that has been idle for longer than this does not belong to a worker between two heartbeats.
        self.min_idle_s = max(WORKER_TIMEOUT_S, 1.5 * report_s)
        self.backlog = max(MIN_SOCKETS, int(sockets * BACKLOG_SHARE))
        self.max_connections = max(MIN_SOCKETS, sockets - self.backlog - RESERVED_SOCKETS)
        self.last_used_at: dict[Connection, float] = {}  # in order, the longest idle connection first

    # -- requests --------------------------------------------------------------------------------

    def route(self, method: str, path: str, body: bytes) -> PendingResponse:
        """Return the response to a request, or an awaitable that gives the response."""
        if path == "/agent/beat" and method == "POST":
            reply = self.handle_heartbeat(body)
            return HttpResponse(*reply) if isinstance(reply, tuple) else self._heartbeat_response(reply)
        if path == "/up":
            return HttpResponse(200 if self.is_healthy() else 503, b"{}")
        if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
            return self._route_user(method, path, body)
        return NO_SUCH_PATH

    async def _heartbeat_response(self, pending: Awaitable[tuple[int, bytes]]) -> HttpResponse:
        return HttpResponse(*await pending)

    def _route_user(self, method: str, path: str, body: bytes) -> PendingResponse:
        if self.user_requests_in_flight >= MAX_USER_REQUESTS:
            return OVERLOADED
        if path == "/v1/jobs":
            return self._count_in_flight(self.job_service.submit(body)) if method == "POST" else METHOD_NOT_ALLOWED
        job_id, _, action = path[len("/v1/jobs/") :].partition("/")
        if action == "" and method == "GET":
            return self._count_in_flight(self.job_service.get(job_id))
        if action == "cancel" and method == "POST":
            return self._count_in_flight(self.job_service.cancel(job_id))
        return NO_SUCH_PATH if action not in ("", "cancel") else JOB_METHOD_NOT_ALLOWED

    def _count_in_flight(self, pending: Awaitable[HttpResponse]) -> Awaitable[HttpResponse]:
        """Count a user's request as in flight immediately, instead of when its coroutine first runs."""
        self.user_requests_in_flight += 1
        return self._count_until_done(pending)

    async def _count_until_done(self, pending: Awaitable[HttpResponse]) -> HttpResponse:
        try:
            return await pending
        finally:
            self.user_requests_in_flight -= 1

    # -- connections -----------------------------------------------------------------------------

    def mark_used(self, connection: Connection) -> None:
        """Record that data was received on a connection, which makes it the most recently used one."""
        self.last_used_at.pop(connection, None)
        self.last_used_at[connection] = self.clock()

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection. This has no effect if the connection was removed before."""
        self.last_used_at.pop(connection, None)

    def close_idle_connections(self) -> int:
        """Close idle connections and, above the limit, the longest idle ones; return how many."""
        now = self.clock()
        excess = len(self.last_used_at) - self.max_connections
        idle: list[Connection] = []
        for connection, used_at in self.last_used_at.items():
            if now - used_at <= (self.min_idle_s if len(idle) < excess else self.idle_timeout_s):
                break
            idle.append(connection)
        for connection in idle:
            connection.close()
        if excess > 0:
            log.info("idle connections closed: closed=%d open=%d", len(idle), excess + self.max_connections)
        return len(idle)

    async def run(self) -> None:
        """Keep connections below the limit while the node runs."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self.close_idle_connections()


async def listen(http_server: HttpServer, host: str, port: int) -> asyncio.Server:
    """Accept connections at an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Connection(http_server, loop), host, port, backlog=http_server.backlog)
