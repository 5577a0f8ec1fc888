"""Requests to the platform's own services, one JSON body each way."""

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


# Session, method, URL, body to send as JSON or None, and seconds to wait; `call`, or a stand-in for it.
SendRequest = Callable[[aiohttp.ClientSession | None, str, str, object, float], Awaitable[tuple[int, bytes]]]


def open_session(connections: int) -> aiohttp.ClientSession:
    """A session of persistent connections; addresses are numbers, so nothing is looked up."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


async def request_json(
    session: aiohttp.ClientSession | None, method: str, url: str, body: object, timeout: float
) -> HttpResult:
    """Status and raw body of one request.

    Raises:
        NoResponseError: none came within `timeout` seconds; the request may have been executed.
    """
    assert session is not None, "not opened yet"
    data = msgspec.json.encode(body) if body is not None else None
    try:
        async with asyncio.timeout(timeout):
            async with session.request(method, url, data=data, headers=JSON_HEADERS) as response:
                return HttpResult(response.status, await response.read())
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise NoResponseError(type(error).__name__) from error
