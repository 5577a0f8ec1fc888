"""A fake key-value store client in memory, for unit tests, with scripted failures."""

import asyncio
from collections.abc import Sequence
from typing import Any

from hookwall.config.platform import StoreLimits
from hookwall.storage.client import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError, VersionedValue
from hookwall.storage.job_records import usable_value_bytes


class ScriptedStore:
    """The fake client: `mode` selects how requests fail, `requests` lists all requests in order."""

    def __init__(self, limits: StoreLimits) -> None:
        self.limits = limits
        self.max_transaction_changes = limits.lowest_txn_ops()
        self.max_value_bytes = usable_value_bytes(limits.lowest_value_kb())
        self.keys: dict[str, tuple[object, int]] = {}
        self.revision = 0
        self.mode = "ok"  # ok | down | request_lost (not executed, no response) | response_lost (executed, no response)
        self.requests: list[str] = []

    def batch_size(self) -> int:
        """Return the most changes that fit into one transaction."""
        return self.max_transaction_changes

    def max_plain_value_bytes(self) -> int:
        """Return the length in bytes of the longest value under the limits that are in force now."""
        return usable_value_bytes(self.limits.value_kb)

    def healthy(self) -> bool:
        """Whether the store is up."""
        return self.mode != "down"

    def has_recent_response(self) -> bool:
        """Whether the last request received a response."""
        return self.mode == "ok"

    async def revoke_session_lease(self, lease: int) -> None:
        """End the session lease and delete the leader key, which is attached to it."""
        self._begin_request("drop")
        self.keys.pop("hookwall/leader", None)

    def _begin_request(self, request: str) -> None:
        self.requests.append(request)
        if self.mode == "down":
            raise RequestRejectedError("503")
        if self.mode == "request_lost":
            raise OutcomeUnknownError("timeout")

    async def get(self, key: str) -> tuple[Any, int] | None:
        """Return value and version of a key; None if it is absent."""
        self._begin_request(f"get {key}")
        return self.keys.get(key)

    async def read(self, key: str) -> VersionedValue:
        """Return value and version of a key, and the store's revision; the version is 0 if the key is absent."""
        stored = await self.get(key)
        return VersionedValue(None, 0, self.revision) if stored is None else VersionedValue(*stored, stored[1])

    async def scan(self, prefix: str) -> tuple[list[tuple[str, Any, int]], int]:
        """Return the keys with a prefix, with their values and versions, and the store's revision."""
        self._begin_request("scan")
        entries = [
            (key, value, version) for key, (value, version) in sorted(self.keys.items()) if key.startswith(prefix)
        ]
        return entries, self.revision

    async def commit(
        self,
        when: Sequence[tuple[str, int]],
        put: Sequence[tuple[str, Any]] = (),
        session_lease: int | None = None,
        timeout: float = 1.5,
        delete: Sequence[str] = (),
    ) -> int:
        """Write and delete keys if all keys of `when` have the versions given there; return the new revision.

        Raise PreconditionFailedError if one has another version. In mode `response_lost`, raise OutcomeUnknownError
        after the write.
        """
        self._begin_request("commit" if put or delete else "compare")
        await asyncio.sleep(0)
        failed = [key for key, version in when if self.keys.get(key, (None, 0))[1] != version]
        if failed:
            raise PreconditionFailedError(failed)
        if put or delete:
            self.revision += 1
            for key, value in put:
                self.keys[key] = (value, self.revision)
            for key in delete:
                self.keys.pop(key, None)
        if self.mode == "response_lost":
            raise OutcomeUnknownError("timeout")
        return self.revision

    async def grant_session_lease(self, ttl: float) -> int:
        """Grant a session lease; return its id."""
        self._begin_request("hold")
        return 7

    async def renew_session_lease(self, lease: int) -> bool:
        """Renew a session lease; return whether it still exists."""
        self._begin_request("extend")
        return True
