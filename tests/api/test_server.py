"""The HTTP server over real sockets on loopback: a request that can't be answered is refused at once."""

import asyncio
import re

import aiohttp
import pytest
from aiohttp import ClientSession
from conftest import CATALOG, FakeClock, ScriptedStore, description

from hookwall.api.job_service import JobService
from hookwall.api.server import MAX_USER_REQUESTS, HttpServer, listen
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.storage.read_confirmation import ReadConfirmation


def run_with_server(params, store: ScriptedStore, clock: FakeClock, script):
    async def main():
        table = JobTable(clock)
        reader = JobRecordReader(table, store)
        read_confirmation = ReadConfirmation(store, reader.reload)
        service = JobService(params, table, store, reader, read_confirmation)
        service.catalog = CATALOG

        async def heartbeat(body):
            return 421, b"{}"

        http_server = HttpServer(service, heartbeat, lambda: True, params.machine_limits.sockets, clock=clock)
        server = await listen(http_server, "127.0.0.1", 0)
        confirmation_task = asyncio.create_task(read_confirmation.run())
        base = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            async with aiohttp.ClientSession() as session:
                return await script(session, base, http_server)
        finally:
            confirmation_task.cancel()
            server.close()

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/up", None, 200),
        ("POST", "/v1/jobs", b"{", 400),
        ("POST", "/v1/jobs", b"x" * 70_000, 413),
        ("POST", "/agent/beat", b"x" * 70_000, 413),
        ("GET", "/v1/jobs/run-000009", None, 404),
        ("GET", "/v1/jobs/../../etc", None, 404),
        ("POST", "/v1/jobs/run-000009/cancel", None, 404),
        ("POST", "/v1/jobs/run-000009/other", None, 404),
        ("DELETE", "/v1/jobs/run-000009", None, 405),
        ("GET", "/elsewhere", None, 404),
    ],
)
def test_each_route_answers_with_its_status(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock, method, path, body, status
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        async with session.request(method, base + path, data=body) as response:
            return response.status

    assert run_with_server(params, store, clock, script) == status


def test_a_body_without_a_content_length_is_refused_above_the_size_limit(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    async def oversized_body():
        for _ in range(40):
            yield b"x" * 4096

    async def script(session: ClientSession, base, http_server: HttpServer):
        async with session.post(base + "/v1/jobs", data=oversized_body()) as response:
            return response.status

    assert run_with_server(params, store, clock, script) == 413


def test_a_job_is_submitted_polled_and_cancelled_over_http(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        seen = []
        for method, path, body in (
            ("POST", "/v1/jobs", description(1)),
            ("POST", "/v1/jobs", description(1)),
            ("GET", "/v1/jobs/run-000001", None),
            ("POST", "/v1/jobs/run-000001/cancel", None),
            ("GET", "/v1/jobs/run-000001", None),
        ):
            async with session.request(method, base + path, json=body) as response:
                seen.append((response.status, (await response.json())["phase"]))
        return seen

    assert run_with_server(params, store, clock, script) == [
        (201, "pending"), (200, "pending"), (200, "pending"), (200, "withdrawn"), (200, "withdrawn"),
    ]  # fmt: skip


def test_overload_is_refused_with_429_and_retry_after(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        http_server.user_requests_in_flight = MAX_USER_REQUESTS
        async with session.get(base + "/v1/jobs/run-000001") as response:
            return response.status, response.headers.get("Retry-After")

    assert run_with_server(params, store, clock, script) == (429, "1")


def test_an_unexpected_error_in_a_handler_does_not_end_the_node(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        async def broken(ref):
            raise RuntimeError("surprise")

        http_server.job_service.get = broken
        async with session.get(base + "/v1/jobs/run-000001") as response:
            first = response.status
        async with session.get(base + "/up") as response:
            return first, response.status

    assert run_with_server(params, store, clock, script) == (503, 200)


def test_an_idle_connection_is_closed(params: PlatformParameters, store: ScriptedStore, clock: FakeClock):
    # Deleted machines send nothing more. Their connections used to stay open, and the number of sockets is limited.
    async def script(session: ClientSession, base, http_server: HttpServer):
        host, port = base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        first = await reader.readuntil(b"{}")
        clock.advance(http_server.idle_timeout_s - 1.0)
        closed_early = http_server.close_idle_connections()
        closing = asyncio.create_task(http_server.run())
        clock.advance(2.0)
        async with asyncio.timeout(3.0):
            rest = await reader.read()
        closing.cancel()
        writer.close()
        return first.split()[1], closed_early, rest

    assert run_with_server(params, store, clock, script) == (b"200", 0, b"")


def test_above_the_connection_limit_the_longest_idle_connections_are_closed(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    # Workers abandon connections. The node must still have sockets for its own connections and for new ones.
    async def script(session: ClientSession, base, http_server: HttpServer):
        host, port = base.removeprefix("http://").split(":")
        http_server.max_connections = 2
        opened = []
        for _ in range(4):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readuntil(b"{}")
            opened.append((reader, writer))
            clock.advance(3.0)
        closed = http_server.close_idle_connections()
        async with asyncio.timeout(3.0):
            ends = [await opened[i][0].read() for i in range(closed)]
        remaining = [len(http_server.last_used_at), http_server.close_idle_connections()]
        for _, writer in opened:
            writer.close()
        return closed, ends, remaining

    # The two most recently used connections stay open. The limit leaves room for the backlog and for the node's own
    # connections.
    assert run_with_server(params, store, clock, script) == (2, [b"", b""], [2, 0])
    http_server = HttpServer(None, None, None, 1563)
    assert http_server.max_connections + http_server.backlog + 72 + 4 < 1563 and http_server.max_connections > 860


def test_a_request_with_an_incomplete_body_is_not_counted_as_in_flight(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    # After a network partition the rest of a request never arrives. If such requests counted as in flight, 200 of them
    # would lock out all users. So a request counts only once it has been received completely.
    async def script(session: ClientSession, base, http_server: HttpServer):
        http_server.body_timeout_s = 0.2
        host, port = base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{")
        await asyncio.sleep(0.05)
        in_flight = http_server.user_requests_in_flight
        async with asyncio.timeout(3.0):
            status = (await reader.readline()).split()[1]
        writer.close()
        return in_flight, status, http_server.user_requests_in_flight

    assert run_with_server(params, store, clock, script) == (0, b"408", 0)


def test_requests_on_one_connection_are_answered_in_order(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    # Clients should not send a second request before the first is answered. A client that does must not get the
    # response to one request in place of the other.
    async def script(session: ClientSession, base, http_server: HttpServer):
        host, port = base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        slow = b"GET /v1/jobs/run-000009 HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(slow + b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        async with asyncio.timeout(3.0):
            answers = await reader.read()
        writer.close()
        return re.findall(rb"HTTP/1.1 (\d+) ", answers)

    assert run_with_server(params, store, clock, script) == [b"404", b"200"]


@pytest.mark.parametrize(
    "raw", [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nbad header\r\n\r\n", b"\x00" * 100 + b"\r\n\r\n"]
)
def test_malformed_http_is_refused_and_other_connections_still_work(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock, raw
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        host, port = base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        async with asyncio.timeout(3.0):
            response = await reader.read()
        writer.close()
        async with session.get(base + "/up") as up:
            return response.split()[1], up.status

    assert run_with_server(params, store, clock, script) == (b"400", 200)


def test_a_heartbeat_with_an_immediate_response_needs_no_task(
    params: PlatformParameters, store: ScriptedStore, clock: FakeClock
):
    async def script(session: ClientSession, base, http_server: HttpServer):
        task_counts: list[object] = []
        loop = asyncio.get_running_loop()
        http_server.handle_heartbeat = lambda body: task_counts.append(len(asyncio.all_tasks(loop))) or (200, b"{}")
        before = len(asyncio.all_tasks(loop))
        async with session.post(base + "/agent/beat", data=b"{}") as response:
            return response.status, task_counts[0] - before

    assert run_with_server(params, store, clock, script) == (200, 0)
