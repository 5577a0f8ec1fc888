"""Answers to users: status, body, and headers beyond the usual ones."""

HttpResponse = tuple[int, bytes, dict[str, str] | None]

RETRY_LATER = {"Retry-After": "1"}
DESCRIPTION_TOO_LARGE: HttpResponse = (413, b'{"error":"description too large"}', None)
NO_SUCH_JOB_BODY = b'{"error":"no such job"}'


def retry_later(why: str) -> HttpResponse:
    """Can't be answered now: said at once, with when to come back."""
    return 503, b'{"error":"' + why.encode() + b'"}', RETRY_LATER
