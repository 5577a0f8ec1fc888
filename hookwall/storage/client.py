"""Client of the key-value store: transactions with preconditions, reads, session leases and changes.

Requests are paced below this node's share of the store's limits, since a 429 costs as much as a response. A response
that does not come leaves the outcome open: callers get `OutcomeUnknownError` and must treat the write as one that may
still happen.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, TypeAlias

import aiohttp
import msgspec

from hookwall.config.platform import StoreLimits
from hookwall.protocol.errors import NoResponseError
from hookwall.protocol.http_client import SendRequest, open_session, request_json
from hookwall.storage import keys, wire_format
from hookwall.storage.entries import (
    ChangeBatch,
    KeyValueEntry,
    Precondition,
    Put,
    ScanResult,
    StoredValue,
    VersionedValue,
)
from hookwall.storage.errors import (
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
    RequestTooLargeError,
    RevisionCompactedError,
)
from hookwall.storage.job_records import usable_value_bytes
from hookwall.storage.rate_shares import RateShares

# Callers have the errors and VersionedValue from here.
__all__ = [
    "PRECONDITIONS_PER_CHANGE",
    "KeyValueClient",
    "OutcomeUnknownError",
    "PreconditionFailedError",
    "RequestRejectedError",
    "RequestTooLargeError",
    "VersionedValue",
]

log = logging.getLogger(__name__)

PRECONDITIONS_PER_CHANGE = 4  # a transaction may have so many preconditions for each change that it may make
RECENT_RESPONSE_S = 1.5
REQUEST_TIMEOUT_S = 1.5
SCAN_PAGE_TIMEOUT_S = 4.0
LEASE_TIMEOUT_S = 1.0
CHANGES_TIMEOUT_MARGIN_S = 3.0  # beyond the time for which the store waits for a change
CONNECTIONS = 64
BATCH_S = 0.5  # a batch is what the rate limit lets through in this time
SPARE_SHARE = 0.5  # of the burst
NO_RESPONSE_YET = -1e9  # a time so long ago that nothing counts as recent; peers are sent the age as a number

JsonObject: TypeAlias = dict[str, Any]  # as decoded; each field is checked where it is read


class KeyValueClient:
    """Requests to the key-value store, with what is known about its health.

    Attributes:
        limits: of the store, from the settings.
        max_transaction_changes: changes of one transaction that fit the limits of now and those announced.
        max_value_bytes: bytes of JSON of one value that fit both.
        last_response_at: when the store last answered, on this node's clock.
        failing_since: when the store stopped answering, or None while it answers.
        rate_shares: this node's share of the store's limits.
    """

    def __init__(
        self,
        address: str,
        limits: StoreLimits,
        node_count: int,
        clock: Callable[[], float],
        send_request: SendRequest = request_json,
    ) -> None:
        """Prepare requests to `host:port` for one of `node_count` nodes that share the limits."""
        self.base_url = f"http://{address}"
        self.limits = limits
        # What is written fits the limits of now and those that come without notice.
        self.max_transaction_changes = limits.lowest_txn_ops()
        self.max_value_bytes = usable_value_bytes(limits.lowest_value_kb())
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.send_request: SendRequest = send_request
        self.last_response_at = NO_RESPONSE_YET
        self.failing_since: float | None = None
        self.rate_shares = RateShares(limits, node_count, clock)

    async def open(self) -> None:
        """Open the session of persistent connections, which the caller closes."""
        self.session = open_session(CONNECTIONS)

    def max_plain_value_bytes(self) -> int:
        """Bytes a value may have while older programs, which don't know of the limits to come, read it."""
        if self.rate_shares.limits_lowered:
            return self.max_value_bytes
        return usable_value_bytes(self.limits.value_kb)

    def batch_size(self) -> int:
        """How many keys to put into one transaction: what the rate limit lets through in half a second."""
        return max(1, min(self.max_transaction_changes, int(self.rate_shares.changes.rate * BATCH_S)))

    def has_spare_changes(self) -> bool:
        """Whether changes are left over for what is not pressing."""
        changes = self.rate_shares.changes
        return changes.available() > SPARE_SHARE * changes.burst

    def has_recent_response(self) -> bool:
        """Whether the store has answered this node within the last moments."""
        return self.healthy() and self.clock() - self.last_response_at < RECENT_RESPONSE_S

    def healthy(self) -> bool:
        """Whether the last request got a response."""
        return self.failing_since is None

    async def read(self, key: str) -> VersionedValue:
        """A key as it was at some moment between the request and its response, which may come late.

        Raises:
            RequestRejectedError: the store did not execute the request.
            OutcomeUnknownError: no usable response.
        """
        status, body = await self._send("GET", f"/store/{key}")
        absent = status == HTTPStatus.NOT_FOUND
        revision = body.get(wire_format.REVISION if absent else wire_format.VERSION)
        if status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND) or not isinstance(revision, int):
            raise OutcomeUnknownError(f"status {status}")
        if absent:
            return VersionedValue(None, 0, revision)
        return VersionedValue(body.get(wire_format.VALUE), revision, revision)

    async def get(self, key: str) -> StoredValue | None:
        """Value and version of a key, or None if it is absent; raises as `read` does."""
        current = await self.read(key)
        return StoredValue(current.value, current.version) if current.version else None

    async def scan(self, prefix: str) -> ScanResult:
        """All keys below a prefix, page by page; raises as `read` does."""
        found: list[KeyValueEntry] = []
        first_revision: int | None = None
        after = ""
        while True:
            status, body = await self._send("GET", wire_format.scan_path(prefix, after), timeout=SCAN_PAGE_TIMEOUT_S)
            revision = _revision(status, body, "")
            if first_revision is None:
                first_revision = revision
            page = wire_format.parse_entries(body.get(wire_format.ENTRIES) or [])
            found.extend(page)
            if not body.get(wire_format.MORE_PAGES) or not page:
                return ScanResult(found, first_revision)
            after = page[-1].key

    async def commit(
        self,
        preconditions: Sequence[Precondition | tuple[str, int]],
        put: Sequence[Put | tuple[str, object]] = (),
        hold: int | None = None,
        timeout: float = REQUEST_TIMEOUT_S,
        delete: Sequence[str] = (),
    ) -> int:
        """Execute a transaction, or, without `put` and `delete`, only compare versions; gives the store's revision.

        Args:
            preconditions: keys and the versions that they must have.
            put: keys and values to write.
            hold: the session lease whose end deletes the written keys; None: they stay.
            timeout: seconds to wait for the response.
            delete: keys to delete.

        Raises:
            PreconditionFailedError: not executed, as some keys had other versions.
            RequestTooLargeError: not executed, as it is over the store's limits.
            RequestRejectedError: not executed.
            OutcomeUnknownError: it may have been executed, or may be later.
        """
        request = wire_format.transaction(preconditions, put, delete, hold)
        status, body = await self._send("POST", "/commit", request, timeout, changes=len(put) + len(delete))
        error = body.get(wire_format.ERROR)
        if status == HTTPStatus.CONFLICT:
            revision = body.get(wire_format.REVISION)
            changed = wire_format.parse_changed_keys(body.get(wire_format.CHANGED_KEYS, []))
            raise PreconditionFailedError(changed, revision if isinstance(revision, int) else 0)
        if status == HTTPStatus.BAD_REQUEST and error != wire_format.ERROR_NO_SUCH_LEASE:
            self.rate_shares.apply_lower_limits("400")
            raise RequestTooLargeError(str(body.get(wire_format.ERROR, "400")))
        return _revision(status, body, "commit: ")

    async def grant_session_lease(self, ttl_s: float) -> int:
        """A new session lease, whose keys are deleted when it has not been renewed for `ttl_s` seconds."""
        status, body = await self._send("POST", "/holds", {wire_format.SESSION_LEASE_TTL_MS: int(ttl_s * 1000)})
        lease = body.get(wire_format.SESSION_LEASE)
        if status != HTTPStatus.OK or not isinstance(lease, int):
            raise OutcomeUnknownError(f"session lease: status {status}")
        return lease

    async def renew_session_lease(self, lease: int) -> bool:
        """Renew a session lease; False if it has ended."""
        status, _ = await self._send("POST", f"/holds/{lease}/extend", {}, timeout=LEASE_TIMEOUT_S)
        return status == HTTPStatus.OK

    async def revoke_session_lease(self, lease: int) -> None:
        """End a session lease, which deletes its keys."""
        await self._send("DELETE", f"/holds/{lease}", timeout=LEASE_TIMEOUT_S)

    async def read_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Changes below the root since the revision `after`; the store waits up to `wait_s` seconds for one.

        Raises:
            RevisionCompactedError: the store has dropped some of them.
            RequestRejectedError: the store did not execute the request.
            OutcomeUnknownError: no usable response.
        """
        path = wire_format.changes_path(keys.ROOT, after, wait_s)
        status, body = await self._send("GET", path, timeout=wait_s + CHANGES_TIMEOUT_MARGIN_S)
        if status == HTTPStatus.GONE:
            raise RevisionCompactedError(f"changes after {after}")
        revision = _revision(status, body, "watch: ")
        return ChangeBatch(wire_format.parse_changes(body.get(wire_format.CHANGE_LOG, [])), revision)

    async def _send(
        self, method: str, path: str, body: object = None, timeout: float = REQUEST_TIMEOUT_S, changes: int = 0
    ) -> tuple[int, JsonObject]:
        """Status and decoded body of one request, once the rate limits allow it."""
        await self._wait_for_rate_limit(changes)
        try:
            status, raw = await self.send_request(self.session, method, self.base_url + path, body, timeout)
        except NoResponseError as error:
            self._record_failure(str(error))
            raise OutcomeUnknownError(str(error)) from error
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._record_failure("503")
            raise RequestRejectedError("503")
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self.rate_shares.apply_lower_limits("429")
            raise RequestRejectedError("429")
        decoded = _decode_body(raw)
        if decoded is None:
            log.info("malformed key-value store response: method=%s path=%s", method, path)
            raise OutcomeUnknownError("malformed response")
        self._record_response()
        return status, decoded

    async def _wait_for_rate_limit(self, changes: int) -> None:
        wait_s = self.rate_shares.reserve(float(changes))
        if wait_s is None:
            raise RequestRejectedError("own rate limit")
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def _record_response(self) -> None:
        self.last_response_at = self.clock()
        if self.failing_since is not None:
            log.info("key-value store answers again: failing_s=%.1f", self.last_response_at - self.failing_since)
            self.failing_since = None

    def _record_failure(self, reason: str) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock()
            log.info("key-value store fails: reason=%s", reason)


def _decode_body(raw: bytes) -> JsonObject | None:
    """The JSON object of a response, empty where there is none; None: the body is something else."""
    try:
        body = msgspec.json.decode(raw) if raw else {}
    except msgspec.DecodeError:
        return None
    return body if isinstance(body, dict) else None


def _revision(status: int, body: JsonObject, request: str) -> int:
    """The revision that a successful response names."""
    revision = body.get(wire_format.REVISION)
    if status != HTTPStatus.OK or not isinstance(revision, int):
        raise OutcomeUnknownError(f"{request}status {status} {body.get(wire_format.ERROR, '')}".rstrip())
    return revision
