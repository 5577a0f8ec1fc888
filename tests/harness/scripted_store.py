"""A key-value store client for tests of single parts: in memory, with failures chosen by hand."""

import asyncio
from collections.abc import Sequence
from typing import Any

from hookwall.config.platform import StoreLimits
from hookwall.storage.client import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError, VersionedValue
from hookwall.storage.job_records import usable_value_bytes


class FakeState:
    """The store's client with its keys in memory; `mode` chooses how requests fail, `requests` lists them."""

    def __init__(self, limits: StoreLimits) -> None:
        self.limits = limits
        self.max_transaction_changes = limits.lowest_txn_ops()
        self.max_value_bytes = usable_value_bytes(limits.lowest_value_kb())
        self.keys: dict[str, tuple[object, int]] = {}
        self.epoch = 0
        self.mode = "ok"  # ok | down | lost (not executed, no answer) | ghost (executed, no answer)
        self.requests: list[str] = []

    def batch_size(self) -> int:
        """Changes in one transaction."""
        return self.max_transaction_changes

    def max_plain_value_bytes(self) -> int:
        """The longest value under the limits in force now."""
        return usable_value_bytes(self.limits.value_kb)

    def healthy(self) -> bool:
        """Whether the store is up."""
        return self.mode != "down"

    def has_recent_response(self) -> bool:
        """Whether its last request was answered."""
        return self.mode == "ok"

    async def revoke_session_lease(self, lease: int) -> None:
        """End the session lease, and the leader key with it."""
        self._begin_request("drop")
        self.keys.pop("hookwall/leader", None)

    def _begin_request(self, request: str) -> None:
        self.requests.append(request)
        if self.mode == "down":
            raise RequestRejectedError("503")
        if self.mode == "lost":
            raise OutcomeUnknownError("timeout")

    async def get(self, key: str) -> tuple[Any, int] | None:
        """Value and version of a key; None where it is absent."""
        self._begin_request(f"get {key}")
        return self.keys.get(key)

    async def read(self, key: str) -> VersionedValue:
        """Value and version of a key, and the store's revision; version 0 where it is absent."""
        stored = await self.get(key)
        return VersionedValue(None, 0, self.epoch) if stored is None else VersionedValue(*stored, stored[1])

    async def scan(self, prefix: str) -> tuple[list[tuple[str, Any, int]], int]:
        """Keys with a prefix, with values and versions, and the store's revision."""
        self._begin_request("scan")
        entries = [
            (key, value, version) for key, (value, version) in sorted(self.keys.items()) if key.startswith(prefix)
        ]
        return entries, self.epoch

    async def commit(
        self,
        when: Sequence[tuple[str, int]],
        put: Sequence[tuple[str, Any]] = (),
        hold: int | None = None,
        timeout: float = 1.5,
        delete: Sequence[str] = (),
    ) -> int:
        """Write and delete keys if all of `when` have these versions: the revision after it.

        Raises PreconditionFailedError where they have others, and in mode `ghost`, after the write,
        OutcomeUnknownError.
        """
        self._begin_request("commit" if put or delete else "compare")
        await asyncio.sleep(0)
        failed = [key for key, version in when if self.keys.get(key, (None, 0))[1] != version]
        if failed:
            raise PreconditionFailedError(failed)
        if put or delete:
            self.epoch += 1
            for key, value in put:
                self.keys[key] = (value, self.epoch)
            for key in delete:
                self.keys.pop(key, None)
        if self.mode == "ghost":
            raise OutcomeUnknownError("timeout")
        return self.epoch

    async def grant_session_lease(self, ttl: float) -> int:
        """The id of a new session lease."""
        self._begin_request("hold")
        return 7

    async def renew_session_lease(self, lease: int) -> bool:
        """Whether the session lease still exists."""
        self._begin_request("extend")
        return True
