"""Responses to HTTP requests, and those that are the same for every user."""

from typing import NamedTuple

import msgspec


class HttpResponse(NamedTuple):
    """Status, JSON body, and headers beyond the usual ones."""

    status: int
    body: bytes
    headers: dict[str, str] | None = None


RETRY_LATER = {"Retry-After": "1"}  # headers; the value is in seconds
DESCRIPTION_TOO_LARGE = HttpResponse(413, b'{"error":"description too large"}')
NO_SUCH_JOB_BODY = b'{"error":"no such job"}'
NO_SUCH_JOB = HttpResponse(404, NO_SUCH_JOB_BODY)
STORE_UNAVAILABLE = "state service"  # as users read it


def retry_later(why: str) -> HttpResponse:
    """Can't be answered now: the refusal, with when to come back."""
    return HttpResponse(503, b'{"error":"' + why.encode() + b'"}', RETRY_LATER)


def error_response(status: int, why: str) -> HttpResponse:
    """A request that is wrong in itself, with the reason."""
    return HttpResponse(status, msgspec.json.encode({"error": why}))
