"""The type of HTTP responses, and the responses that are the same for every user."""

from typing import NamedTuple

import msgspec


class HttpResponse(NamedTuple):
    """Status, JSON body, and headers in addition to those that every response has."""

    status: int
    body: bytes
    headers: dict[str, str] | None = None


RETRY_LATER = {"Retry-After": "1"}  # headers; Retry-After is in seconds
DESCRIPTION_TOO_LARGE = HttpResponse(413, b'{"error":"description too large"}')
NO_SUCH_JOB_BODY = b'{"error":"no such job"}'
NO_SUCH_JOB = HttpResponse(404, NO_SUCH_JOB_BODY)
STORE_UNAVAILABLE = "state service"  # the key-value store, as named to users


def retry_later(reason: str) -> HttpResponse:
    """Return a 503 response with a Retry-After header, for a request that can't be answered now."""
    return HttpResponse(503, b'{"error":"' + reason.encode() + b'"}', RETRY_LATER)


def error_response(status: int, reason: str) -> HttpResponse:
    """Return the response to an invalid request, with the reason."""
    return HttpResponse(status, msgspec.json.encode({"error": reason}))
