"""Client of the key-value store: transactions with preconditions, reads, session leases and changes.

Requests are paced below this node's share of the store's limits, since a request that the store rejects with 429 costs
as much as one that it answers. If no response arrives, the outcome is unknown: callers get `OutcomeUnknownError` and
must treat the write as one that may still be executed.
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

# The errors and VersionedValue are re-exported for callers.
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

# The number of preconditions that a transaction may have for each change that the store's limit allows.
PRECONDITIONS_PER_CHANGE = 4
RECENT_RESPONSE_S = 1.5  # a response counts as recent for this long
REQUEST_TIMEOUT_S = 1.5
SCAN_PAGE_TIMEOUT_S = 4.0
LEASE_TIMEOUT_S = 1.0
CHANGES_TIMEOUT_MARGIN_S = 3.0  # added to the time for which the store may wait for a change
CONNECTIONS = 64
BATCH_WINDOW_S = 0.5  # a batch holds the changes that the rate limit allows within this time
SPARE_CHANGES_SHARE = 0.5  # share of the burst that must be available before changes count as spare
# A time so long ago that no response counts as recent. It is finite because peers are sent the age as a number.
NO_RESPONSE_YET = -1e9

JsonObject: TypeAlias = dict[str, Any]  # decoded but not validated; each field is checked where it is read


class KeyValueClient:
    """Sends requests to the key-value store and tracks whether the store answers.

    Attributes:
        limits: the limits of the store, from the settings.
        max_transaction_changes: the number of changes in one transaction that both the current and the announced limits
            allow.
        max_value_bytes: the bytes of JSON in one value that both the current and the announced limits allow.
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
        """Create a client of the store at `host:port`, for one of `node_count` nodes that share the limits."""
        self.base_url = f"http://{address}"
        self.limits = limits
        # Every write fits the current limits as well as the announced limits, which come into force without notice.
        self.max_transaction_changes = limits.lowest_txn_ops()
        self.max_value_bytes = usable_value_bytes(limits.lowest_value_kb())
        self.clock = clock
        self.session: aiohttp.ClientSession | None = None
        self.send_request: SendRequest = send_request
        self.last_response_at = NO_RESPONSE_YET
        self.failing_since: float | None = None
        self.rate_shares = RateShares(limits, node_count, clock)

    async def open(self) -> None:
        """Open the HTTP session with persistent connections; the caller closes the session."""
        self.session = open_session(CONNECTIONS)

    def max_plain_value_bytes(self) -> int:
        """The size limit in bytes of a value that older programs, which do not know the announced limits, may read."""
        if self.rate_shares.limits_lowered:
            return self.max_value_bytes
        return usable_value_bytes(self.limits.value_kb)

    def batch_size(self) -> int:
        """The number of keys to put into one transaction: at most what the rate limit allows in half a second."""
        return max(1, min(self.max_transaction_changes, int(self.rate_shares.changes.rate * BATCH_WINDOW_S)))

    def has_spare_changes(self) -> bool:
        """Whether the rate limit leaves changes for writes that are not urgent."""
        changes = self.rate_shares.changes
        return changes.available() > SPARE_CHANGES_SHARE * changes.burst

    def has_recent_response(self) -> bool:
        """Whether the store answers and last answered this node less than `RECENT_RESPONSE_S` ago."""
        return self.healthy() and self.clock() - self.last_response_at < RECENT_RESPONSE_S

    def healthy(self) -> bool:
        """Whether the last request got a response."""
        return self.failing_since is None

    async def read(self, key: str) -> VersionedValue:
        """Read a key as it was at some moment between the request and the response; the response may arrive late.

        Raises:
            RequestRejectedError: the store did not execute the request.
            OutcomeUnknownError: the store gave no usable response.
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
        """Return the value and version of a key, or None if the key is absent; raise the same errors as `read`."""
        current = await self.read(key)
        return StoredValue(current.value, current.version) if current.version else None

    async def scan(self, prefix: str) -> ScanResult:
        """Read all keys below a prefix, page by page; raise the same errors as `read`."""
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
        session_lease: int | None = None,
        timeout: float = REQUEST_TIMEOUT_S,
        delete: Sequence[str] = (),
    ) -> int:
        """Execute a transaction and return the store's revision. Without `put` and `delete` it only compares versions.

        Args:
            preconditions: the keys to compare and the versions that they must have.
            put: keys and values to write.
            session_lease: the session lease whose end deletes the written keys; None: the keys stay.
            timeout: seconds to wait for the response.
            delete: keys to delete.

        Raises:
            PreconditionFailedError: the transaction was not executed, as some keys had other versions.
            RequestTooLargeError: the transaction was not executed, as it exceeds the store's limits.
            RequestRejectedError: the transaction was not executed.
            OutcomeUnknownError: the transaction may have been executed, or may still be executed.
        """
        request = wire_format.transaction(preconditions, put, delete, session_lease)
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
        """Create a session lease, whose keys are deleted when it has not been renewed for `ttl_s` seconds."""
        status, body = await self._send("POST", "/holds", {wire_format.SESSION_LEASE_TTL_MS: int(ttl_s * 1000)})
        lease = body.get(wire_format.SESSION_LEASE)
        if status != HTTPStatus.OK or not isinstance(lease, int):
            raise OutcomeUnknownError(f"session lease: status {status}")
        return lease

    async def renew_session_lease(self, lease: int) -> bool:
        """Renew a session lease; return False if the lease has ended."""
        status, _ = await self._send("POST", f"/holds/{lease}/extend", {}, timeout=LEASE_TIMEOUT_S)
        return status == HTTPStatus.OK

    async def revoke_session_lease(self, lease: int) -> None:
        """End a session lease, which deletes its keys."""
        await self._send("DELETE", f"/holds/{lease}", timeout=LEASE_TIMEOUT_S)

    async def read_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Read the changes below the root since the revision `after`; the store waits up to `wait_s` seconds for one.

        Raises:
            RevisionCompactedError: the store has dropped some of these changes.
            RequestRejectedError: the store did not execute the request.
            OutcomeUnknownError: the store gave no usable response.
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
        """Send one request as soon as the rate limits allow it, and return the status and the decoded body."""
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
    """Decode the JSON object of a response. Return an empty object if there is no body, None for any other body."""
    try:
        body = msgspec.json.decode(raw) if raw else {}
    except msgspec.DecodeError:
        return None
    return body if isinstance(body, dict) else None


def _revision(status: int, body: JsonObject, request: str) -> int:
    """Return the revision that a successful response names; raise OutcomeUnknownError for any other response."""
    revision = body.get(wire_format.REVISION)
    if status != HTTPStatus.OK or not isinstance(revision, int):
        raise OutcomeUnknownError(f"{request}status {status} {body.get(wire_format.ERROR, '')}".rstrip())
    return revision
