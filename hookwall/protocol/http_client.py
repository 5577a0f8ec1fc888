"""HTTP client for the platform's own services, with one JSON body in each request and each response."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
import msgspec

from hookwall.protocol.errors import NoResponseError

__all__ = ["JSON_HEADERS", "HttpResult", "NoResponseError", "SendRequest", "open_session", "request_json"]

JSON_HEADERS = {"Content-Type": "application/json"}
KEEPALIVE_S = 30


class HttpResult(NamedTuple):
    """Status and raw body of a response."""

    status: int
    body: bytes


# Arguments: session, method, URL, body to send as JSON or None, and timeout in seconds. The value is `request_json`
# or a replacement for that function.
SendRequest = Callable[[aiohttp.ClientSession | None, str, str, object, float], Awaitable[tuple[int, bytes]]]


def open_session(connections: int) -> aiohttp.ClientSession:
    """Open a session of persistent connections. Addresses are numeric, so there are no DNS lookups."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


async def request_json(
    session: aiohttp.ClientSession | None, method: str, url: str, body: object, timeout: float
) -> HttpResult:
    """Send one request, and return the status and raw body of the response.

    Raises:
        NoResponseError: no response arrived within `timeout` seconds; the request may have been executed.
    """
    assert session is not None, "session is not opened yet"
    data = msgspec.json.encode(body) if body is not None else None
    try:
        async with asyncio.timeout(timeout):
            async with session.request(method, url, data=data, headers=JSON_HEADERS) as response:
                return HttpResult(response.status, await response.read())
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise NoResponseError(type(error).__name__) from error
