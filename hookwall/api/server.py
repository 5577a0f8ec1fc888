"""The HTTP server: users, workers and health checks. Routes by hand since there are five paths.

Invariant: a request is answered or refused at once, whatever others wait for; responses on one connection come in the
order of its requests.

A leader answers hundreds of heartbeats a second on a fraction of a core. aiohttp's server spends 0.2 ms on each
request, most of it on request and response objects; so requests are read by aiohttp's parser (C code) in a protocol of
our own, which takes 0.06 ms (connection.py). A response that is known at once needs no task either.
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
# A machine that loses its power, or is deleted, sends nothing more on its connection. Such connections stayed for an
# hour, and a day's machines and users came to two thirds of the sockets there are.
IDLE_HEARTBEATS = 12  # a connection is idle after as long as so many heartbeats take
BODY_TIMEOUT_S = 5.0  # then whoever sends a request has given it up
# Of the sockets that the platform gives: a fleet that comes at once waits in a quarter of them, and some are our own.
# With 4,096 places, what workers had left behind at a node that stood still came to 1,531 of 1,633 sockets.
BACKLOG_SHARE = 0.25
OWN_SOCKETS = 100  # to the key-value store, the cloud and peers
MIN_SOCKETS = 16  # for connections, and for those that wait
WORKER_TIMEOUT_S = 4.0  # a worker waits so long for a response, and asks nothing else meanwhile
IDLE_CHECK_INTERVAL_S = 1.0

PendingResponse = HttpResponse | Awaitable[HttpResponse]
HeartbeatCallback = Callable[[bytes], tuple[int, bytes] | Awaitable[tuple[int, bytes]]]

NO_SUCH_PATH = HttpResponse(404, b'{"error":"no such path"}')
METHOD_NOT_ALLOWED = HttpResponse(405, b'{"error":"method"}')
JOB_METHOD_NOT_ALLOWED = HttpResponse(405, b'{"error":"no such path"}')
OVERLOADED = HttpResponse(429, b'{"error":"overloaded"}', RETRY_LATER)


class HttpServer:
    """Routes requests and limits connections; holds no response back."""

    def __init__(
        self,
        job_service: JobService,
        handle_heartbeat: HeartbeatCallback,
        is_healthy: Callable[[], bool],
        sockets: int,
        report_s: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Serve with at most `sockets` open sockets of the process; workers send a heartbeat each `report_s`."""
        self.job_service = job_service
        self.handle_heartbeat = handle_heartbeat
        self.is_healthy = is_healthy
        self.clock = clock
        self.user_requests_in_flight = 0
        self.body_timeout_s = BODY_TIMEOUT_S
        self.idle_timeout_s = IDLE_HEARTBEATS * report_s
        self.min_idle_s = max(WORKER_TIMEOUT_S, 1.5 * report_s)  # such a connection is not between two heartbeats
        self.backlog = max(MIN_SOCKETS, int(sockets * BACKLOG_SHARE))
        self.max_connections = max(MIN_SOCKETS, sockets - self.backlog - OWN_SOCKETS)
        self.last_used_at: dict[Connection, float] = {}  # the longest idle first

    # -- requests --------------------------------------------------------------------------------

    def route(self, method: str, path: str, body: bytes) -> PendingResponse:
        """The response to a request, or what it is to be waited for."""
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
        """Count a user's request from now on, not only once its turn comes."""
        self.user_requests_in_flight += 1
        return self._count_until_done(pending)

    async def _count_until_done(self, pending: Awaitable[HttpResponse]) -> HttpResponse:
        try:
            return await pending
        finally:
            self.user_requests_in_flight -= 1

    # -- connections -----------------------------------------------------------------------------

    def mark_used(self, connection: Connection) -> None:
        """Something was received on a connection: it is the least idle now."""
        self.last_used_at.pop(connection, None)
        self.last_used_at[connection] = self.clock()

    def forget(self, connection: Connection) -> None:
        """A connection is closed; without effect if that is known."""
        self.last_used_at.pop(connection, None)

    def close_idle_connections(self) -> int:
        """Close connections that are idle, and, at the limit, those that were idle longest; gives how many."""
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
