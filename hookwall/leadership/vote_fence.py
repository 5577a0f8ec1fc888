"""What fences the votes that earlier processes of a node gave and that a new process has forgotten.

A voter never again supports the leader whose key its candidate may replace, since the candidate's write may be carried
out late. A process that has just begun does not know of such votes. So each node has a key that each of its processes
writes once, before it supports anybody, and a candidate's write of the leader key is conditional on the keys of those
who voted for it: once a voter's new process has written its key, no write that relies on a forgotten vote happens.
What such writes did before shows in the leader key, which is read after that.

A node that the state service refuses can't write its key. It votes and supports without the fence meanwhile, as
programs before format 3 always do: otherwise nobody could lead when nodes restart in an outage.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from hookwall.storage import keys
from hookwall.storage.client import (
    KeyValueClient,
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
    VersionedValue,
)

log = logging.getLogger(__name__)

RETRY_S = 0.3
PROCESS_BITS = 48


class VoteFence:
    """The key of this node's votes. `on_leader_key` is told of the leader key as it is once the fence holds."""

    def __init__(self, me: str, store: KeyValueClient, on_leader_key: Callable[[VersionedValue], None]) -> None:
        self.key = keys.VOTE_FENCE_PREFIX + me
        self.store, self.on_leader_key = store, on_leader_key
        self.incarnation = random.SystemRandom().getrandbits(PROCESS_BITS)
        self.version = 0  # of the key as this process has written it; 0: the fence does not hold yet

    def may_grant(self) -> bool:
        """Whether this node may vote for or support anybody, as far as forgotten votes are concerned."""
        return self.version > 0 or not self.store.healthy()

    def preconditions(self) -> list[tuple[str, int]]:
        """What a write of the leader key is conditional on that counts this node's own vote."""
        return [(self.key, self.version)] if self.version else []

    async def establish(self) -> None:
        """Put up the fence, once."""
        while not self.version:
            try:
                stamp = await self._write()
                self.on_leader_key(await self.store.read(keys.LEADER_KEY))
                self.version = stamp
            except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("voter's key: %s", type(error).__name__)
                await asyncio.sleep(RETRY_S)
        await asyncio.Event().wait()

    async def _write(self) -> int:
        """Write the key on the condition that it is as it was read: of two such writes, one at most happens."""
        got = await self.store.read(self.key)
        value = {"process": self.incarnation}
        if got.version and got.value == value:
            return got.version  # written before, without an answer
        return await self.store.commit([(self.key, got.version)], [(self.key, value)])
