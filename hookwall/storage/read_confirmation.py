"""Confirmation with the key-value store that cached versions are current.

Invariant: unless a cached state is final, a node responds from it only after the store has confirmed the cached
version. Without the confirmation, the response could be older than one that another node has sent to the same user.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hookwall.storage.client import PRECONDITIONS_PER_CHANGE, KeyValueClient
from hookwall.storage.entries import Precondition
from hookwall.storage.errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
)

CONFIRM_TIMEOUT_S = 1.5
COMPARE_TIMEOUT_S = 1.0
BATCHING_DELAY_S = 0.03  # time in which further keys are collected for one comparison


@dataclass(slots=True)
class PendingConfirmation:
    """A version of a key that is to be confirmed, and the waiters for the outcome."""

    version: int
    waiters: list[asyncio.Future[bool]] = field(default_factory=list)

    def resolve(self, current: bool) -> None:
        """Tell all waiters whether the version is current."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(current)

    def fail(self, error: KeyValueStoreError) -> None:
        """Pass the error to all waiters, as it is unknown whether the version is current."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(error)


class ReadConfirmation:
    """Confirms that cached versions are still current, with many versions in one comparison.

    Attributes:
        refresh: reads a key again if its cached version is not current.
        max_batch_size: the largest number of versions in one comparison.
    """

    def __init__(self, store: KeyValueClient, refresh: Callable[[str], Awaitable[None]]) -> None:
        """Confirm versions with `store`; `refresh` reads a changed key again."""
        self.store = store
        self.refresh = refresh
        self.max_batch_size = max(1, store.limits.lowest_txn_ops() * PRECONDITIONS_PER_CHANGE - 1)
        self.pending: dict[str, PendingConfirmation] = {}
        self._requested = asyncio.Event()

    async def confirm(self, key: str, version: int) -> bool:
        """Return True if the key still has this version; otherwise return False after reading the key again.

        Raises:
            RequestRejectedError, OutcomeUnknownError, TimeoutError: it is unknown whether the version is current.
        """
        pending = self.pending.get(key)
        if pending is not None and pending.version != version:
            # Another version of the same key is being confirmed; a read settles both versions.
            await self.refresh(key)
            return False
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if pending is not None:
            pending.waiters.append(waiter)
        else:
            self.pending[key] = PendingConfirmation(version, [waiter])
            self._requested.set()
        async with asyncio.timeout(CONFIRM_TIMEOUT_S):
            return await waiter

    async def run(self) -> None:
        """Confirm pending versions, batch by batch, until the task is cancelled."""
        while True:
            await self._requested.wait()
            await asyncio.sleep(BATCHING_DELAY_S)
            self._requested.clear()
            while self.pending:
                batch = {key: self.pending.pop(key) for key in list(self.pending)[: self.max_batch_size]}
                await self._confirm_batch(batch)

    async def _confirm_batch(self, batch: dict[str, PendingConfirmation]) -> None:
        """Compare the versions of a batch with the store, repeatedly until all are settled."""
        try:
            while batch:
                await self._compare(batch)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            for pending in batch.values():
                pending.fail(error)

    async def _compare(self, batch: dict[str, PendingConfirmation]) -> None:
        """Compare once, and remove the keys that the comparison settles from the batch."""
        preconditions = [Precondition(key, pending.version) for key, pending in batch.items()]
        try:
            await self.store.commit(preconditions, timeout=COMPARE_TIMEOUT_S)
        except PreconditionFailedError as error:
            changed = [key for key in error.keys if key in batch]
            if not changed:
                raise OutcomeUnknownError("a precondition failed, but the store named no compared key") from error
            # The store may name only some of the changed keys, so the other keys are compared again.
            await self._refresh_changed(batch, changed)
            return
        for pending in batch.values():
            pending.resolve(True)
        batch.clear()

    async def _refresh_changed(self, batch: dict[str, PendingConfirmation], changed: list[str]) -> None:
        """Read changed keys again, and remove them from the batch."""
        for key in changed:
            pending = batch.pop(key)
            try:
                await self.refresh(key)
            except (RequestRejectedError, OutcomeUnknownError) as error:
                pending.fail(error)
            else:
                pending.resolve(False)
