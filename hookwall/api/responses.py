"""Answers to users: status, body, and headers beyond the usual ones."""

Answer = tuple[int, bytes, dict[str, str] | None]

LATER = {"Retry-After": "1"}
TOO_LARGE: Answer = (413, b'{"error":"description too large"}', None)
NO_SUCH_JOB = b'{"error":"no such job"}'


def later(why: str) -> Answer:
    """Can't be answered now: said at once, with when to come back."""
    return 503, b'{"error":"' + why.encode() + b'"}', LATER
