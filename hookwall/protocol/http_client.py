"""Requests to the platform's own services, one JSON body each way."""

import asyncio

import aiohttp
import msgspec

JSON_HEADERS = {"Content-Type": "application/json"}


class NoResponseError(Exception):
    """Nothing usable came back; the request may have been executed."""


def open_session(connections: int) -> aiohttp.ClientSession:
    """A session of persistent connections; addresses are numbers, so nothing is looked up."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=30, use_dns_cache=False)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


async def call(
    session: aiohttp.ClientSession | None, method: str, url: str, body: object, timeout: float
) -> tuple[int, bytes]:
    """Status and raw body of one request, or NoAnswer."""
    assert session is not None, "not opened yet"
    data = msgspec.json.encode(body) if body is not None else None
    try:
        async with asyncio.timeout(timeout):
            async with session.request(method, url, data=data, headers=JSON_HEADERS) as answer:
                return answer.status, await answer.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as e:
        raise NoResponseError(type(e).__name__) from None
