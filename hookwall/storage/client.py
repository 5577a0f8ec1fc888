"""Client of the state service: the only truth that outlives a process.

Requests are paced below this node's share of the service's limits, since a 429 costs as much as an
answer. An answer that does not come means "perhaps": callers get `Unknown` and must treat the write
as one that may still happen.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import aiohttp
import msgspec

from hookwall.config.platform import StoreLimits
from hookwall.protocol.http_client import NoResponseError, call, open_session
from hookwall.storage import keys
from hookwall.storage.job_records import usable_value_bytes
from hookwall.storage.rate_shares import RateShares

log = logging.getLogger(__name__)

PRECONDITIONS_PER_CHANGE = 4  # a transaction may have so many conditions for each change that it may make
NO_SUCH_LEASE = "no such lease"
RECENT_RESPONSE_S = 1.5


class RequestRejectedError(Exception):
    """The service answered that it did not execute the request (503, 429)."""


class RequestTooLargeError(RequestRejectedError):
    """A value or a transaction is over the service's limits; it was not executed."""


class OutcomeUnknownError(Exception):
    """No usable answer: the request may have been executed, or may be later."""


class RevisionCompactedError(Exception):
    """The service no longer has the changes asked for; read the keys again."""


@dataclass(slots=True)
class PreconditionFailedError(Exception):
    """A conditional write did not happen because these keys had changed, at `epoch` or before."""

    keys: list[str]
    revision: int = 0


@dataclass(slots=True, frozen=True)
class VersionedValue:
    """A key as read: value and stamp, or stamp 0 where it was absent at the change `position`."""

    value: object
    version: int
    revision: int


class KeyValueClient:
    """Requests to the state service, with what is known about its health."""

    def __init__(self, address: str, limits: StoreLimits, nodes: int, clock: Callable[[], float]) -> None:
        self.base_url = f"http://{address}"
        self.limits = limits
        # What is written fits the limits of now and those that come without notice.
        self.max_transaction_changes, self.max_value_bytes = (
            limits.lowest_txn_ops(),
            usable_value_bytes(limits.lowest_value_kb()),
        )
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.send_request = call  # tests put a stand-in here
        self.last_response_at = -1e9
        self.failing_since: float | None = None
        self.rate_shares = RateShares(limits, nodes, clock)

    async def open(self) -> None:
        self.session = open_session(64)

    def max_plain_value_bytes(self) -> int:
        """How large a value may be while older programs, which don't know of the limits to come, read it."""
        return self.max_value_bytes if self.rate_shares.limits_lowered else usable_value_bytes(self.limits.value_kb)

    def batch_size(self) -> int:
        """How many keys to put into one write: what the pace lets through in half a second."""
        return max(1, min(self.max_transaction_changes, int(self.rate_shares.changes.rate * 0.5)))

    def has_spare_changes(self) -> bool:
        """Whether changes are left over for what is not pressing."""
        return self.rate_shares.changes.available() > 0.5 * self.rate_shares.changes.burst

    def has_recent_response(self) -> bool:
        """Whether the service has answered this node within the last moments."""
        return self.healthy() and self.clock() - self.last_response_at < RECENT_RESPONSE_S

    def healthy(self) -> bool:
        """Whether the last thing heard from the service was an answer."""
        return self.failing_since is None

    def _good(self) -> None:
        self.last_response_at = self.clock()
        if self.failing_since is not None:
            log.info("state service answers again after %.1f s", self.last_response_at - self.failing_since)
            self.failing_since = None

    def _bad(self, what: str) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock()
            log.info("state service fails: %s", what)

    async def _send(
        self, method: str, path: str, body: object = None, timeout: float = 1.5, cost: float = 0.0
    ) -> tuple[int, dict]:
        wait = self.rate_shares.reserve(cost)
        if wait is None:
            raise RequestRejectedError("own budget is used up")
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            status, raw = await self.send_request(self.session, method, self.base_url + path, body, timeout)
        except NoResponseError as e:
            self._bad(str(e))
            raise OutcomeUnknownError(str(e)) from None
        if status == 503:
            self._bad("503")
            raise RequestRejectedError("503")
        if status == 429:
            self.rate_shares.apply_lower_limits("429")
            raise RequestRejectedError("429")
        try:
            value = msgspec.json.decode(raw) if raw else {}
        except msgspec.DecodeError:
            value = None
        if not isinstance(value, dict):
            log.info("state service sent a malformed answer to %s %s", method, path)
            raise OutcomeUnknownError("malformed answer")
        self._good()
        return status, value

    async def read(self, key: str) -> VersionedValue:
        """A key as it was at some moment between the request and its answer, which may come late."""
        status, body = await self._send("GET", f"/store/{key}")
        position = body.get("epoch") if status == 404 else body.get("stamp")
        if status not in (200, 404) or not isinstance(position, int):
            raise OutcomeUnknownError(f"status {status}")
        return (
            VersionedValue(None, 0, position)
            if status == 404
            else VersionedValue(body.get("value"), position, position)
        )

    async def get(self, key: str) -> tuple[object, int] | None:
        """Value and stamp of a key, or None if it is absent."""
        got = await self.read(key)
        return (got.value, got.version) if got.version else None

    async def scan(self, prefix: str) -> tuple[list[tuple[str, object, int]], int]:
        """All keys below a prefix. Watching from the returned epoch misses nothing after it."""
        found: list[tuple[str, object, int]] = []
        first: int | None = None
        after = ""
        while True:
            path = f"/store?under={prefix}&most=1000" + (f"&after={after}" if after else "")
            status, body = await self._send("GET", path, timeout=4.0)
            if status != 200 or not isinstance(body.get("epoch"), int):
                raise OutcomeUnknownError(f"status {status}")
            if first is None:
                first = body["epoch"]
            page = [
                (e["k"], e.get("value"), e["stamp"])
                for e in body.get("entries") or []
                if isinstance(e, dict) and isinstance(e.get("k"), str) and isinstance(e.get("stamp"), int)
            ]
            found.extend(page)
            if not body.get("more") or not page:
                return found, first
            after = page[-1][0]

    async def commit(
        self,
        when: Sequence[tuple[str, int]],
        put: Sequence[tuple[str, object]] = (),
        hold: int | None = None,
        timeout: float = 1.5,
        delete: Sequence[str] = (),
    ) -> int:
        """A conditional write (or, without `put` and `delete`, a comparison); returns the epoch."""
        body: dict[str, object] = {"when": [{"k": k, "stamp": s} for k, s in when]}
        if put or delete:
            extra = {} if hold is None else {"hold": hold}
            body["apply"] = [{"set": k, "value": v, **extra} for k, v in put] + [{"delete": k} for k in delete]
        status, got = await self._send("POST", "/commit", body, timeout, cost=float(len(put) + len(delete)))
        if status == 409:
            epoch = got.get("epoch")
            failed = [k for k in got.get("failed", []) if isinstance(k, str)]
            raise PreconditionFailedError(failed, epoch if isinstance(epoch, int) else 0)
        if status == 400 and got.get("error") != NO_SUCH_LEASE:
            self.rate_shares.apply_lower_limits("400")
            raise RequestTooLargeError(str(got.get("error", "400")))
        if status != 200 or not isinstance(got.get("epoch"), int):
            raise OutcomeUnknownError(f"commit: status {status} {got.get('error', '')}")
        return got["epoch"]

    async def grant_session_lease(self, ttl_s: float) -> int:
        status, got = await self._send("POST", "/holds", {"ttlMs": int(ttl_s * 1000)})
        if status != 200 or not isinstance(got.get("hold"), int):
            raise OutcomeUnknownError(f"hold: status {status}")
        return got["hold"]

    async def renew_session_lease(self, hold: int) -> bool:
        """Renew a hold; False if it has ended."""
        status, _ = await self._send("POST", f"/holds/{hold}/extend", {}, timeout=1.0)
        return status == 200

    async def revoke_session_lease(self, hold: int) -> None:
        await self._send("DELETE", f"/holds/{hold}", timeout=1.0)

    async def read_changes(self, after: int, block_s: float) -> tuple[list[dict], int]:
        """Changes below the root since `after`; waits up to `block_s` for one."""
        path = f"/changes?under={keys.ROOT}&after={after}&blockMs={int(block_s * 1000)}"
        status, got = await self._send("GET", path, timeout=block_s + 3.0)
        if status == 410:
            raise RevisionCompactedError
        if status != 200 or not isinstance(got.get("epoch"), int):
            raise OutcomeUnknownError(f"watch: status {status}")
        return [e for e in got.get("log", []) if isinstance(e, dict)], got["epoch"]
