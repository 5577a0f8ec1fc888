"""Confirmation of cached answers with the state service."""

import asyncio
from collections.abc import Awaitable, Callable

from hookwall.storage.client import (
    PRECONDITIONS_PER_CHANGE,
    KeyValueClient,
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
)


class ReadConfirmation:
    """Proves that cached versions are still current, many in one comparison.

    An answer from a cache could be older than what another node has told the same user, so nothing
    but a final state leaves a node unconfirmed.
    """

    def __init__(self, store: KeyValueClient, refresh: Callable[[str], Awaitable[None]]) -> None:
        self.store = store
        self.refresh = refresh
        self.max_batch_size = max(1, store.limits.lowest_txn_ops() * PRECONDITIONS_PER_CHANGE - 1)
        self.pending: dict[str, tuple[int, list[asyncio.Future]]] = {}
        self.wake = asyncio.Event()

    async def confirm(self, key: str, stamp: int) -> bool:
        """True: the key still has this stamp. False: it was read again. Raises if neither is known."""
        entry = self.pending.get(key)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        if entry is not None and entry[0] == stamp:
            entry[1].append(future)
        elif entry is not None:
            # Another version of the same key is being asked about; a read settles both.
            await self.refresh(key)
            return False
        else:
            self.pending[key] = (stamp, [future])
            self.wake.set()
        async with asyncio.timeout(1.5):
            return await future

    async def run(self) -> None:
        while True:
            await self.wake.wait()
            await asyncio.sleep(0.03)
            self.wake.clear()
            while self.pending:
                batch = {k: self.pending.pop(k) for k in list(self.pending)[: self.max_batch_size]}
                await self._ask(batch)

    async def _ask(self, batch: dict[str, tuple[int, list[asyncio.Future]]]) -> None:
        try:
            while batch:
                try:
                    await self.store.commit([(k, s) for k, (s, _) in batch.items()], timeout=1.0)
                except PreconditionFailedError as c:
                    changed = [k for k in c.keys if k in batch]
                    if not changed:
                        raise OutcomeUnknownError("conflict without keys") from None
                    # The list might name only some of the keys, so the rest are asked about again.
                    for k in changed:
                        _, futures = batch.pop(k)
                        try:
                            await self.refresh(k)
                        except (RequestRejectedError, OutcomeUnknownError) as e:
                            _settle(futures, e)
                        else:
                            _settle(futures, False)
                else:
                    for _, futures in batch.values():
                        _settle(futures, True)
                    return
        except (RequestRejectedError, OutcomeUnknownError) as e:
            for _, futures in batch.values():
                _settle(futures, e)


def _settle(futures: list[asyncio.Future], result: object) -> None:
    for f in futures:
        if not f.done():
            if isinstance(result, Exception):
                f.set_exception(result)
            else:
                f.set_result(result)
