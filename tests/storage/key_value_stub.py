"""Clients of a key-value store stub that returns scripted responses."""

from collections.abc import Callable

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage.client import KeyValueClient

NODES = 3
LOWER_LIMITS = StoreLimits(
    rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12,
    next=UpcomingStoreLimits(write_rps=12.0, value_kb=2.0, txn_ops=4),
)  # fmt: skip


def store_with(limits: StoreLimits, clock: Callable[[], float], *responses: tuple[int, bytes]) -> KeyValueClient:
    """Return a client that receives these responses in order."""
    remaining = list(responses)

    async def send_request(session: object, method: str, url: str, body: object, timeout: float) -> tuple[int, bytes]:
        return remaining.pop(0)

    return KeyValueClient("h:1", limits, NODES, clock, send_request)
