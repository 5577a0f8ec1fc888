"""Fences the votes that earlier processes of a node gave and that a new process has forgotten.

A voter never again grants a quorum lease to the leader whose key its candidate may replace, since the candidate's write
may be carried out late. A process that has just begun does not know of such votes. So each node has a key that each of
its processes writes once, before it grants anything, and a candidate's write of the leader key has the keys of those
who voted for it as preconditions. Invariant: once a voter's new process has written its key, no write that relies on a
forgotten vote happens. What such writes did before shows in the leader key, which is read after that.

A node whose requests the store rejects can't write its key. It grants without the fence meanwhile, as programs before
format 3 always do: otherwise nobody could lead when nodes restart in an outage.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.leadership.random_ids import random_id
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put, VersionedValue
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

RETRY_S = 0.3


class VoteFence:
    """The key of this node's votes. `on_leader_key` gets the leader key as it is once the fence holds."""

    def __init__(self, node_name: str, store: KeyValueClient, on_leader_key: Callable[[VersionedValue], None]) -> None:
        self.key = keys.VOTE_FENCE_PREFIX + node_name
        self._store = store
        self._on_leader_key = on_leader_key
        self.incarnation = random_id()
        self.version = 0  # of the key as this process has written it; 0: the fence does not hold yet

    def may_grant(self) -> bool:
        """Whether this node may vote or grant quorum leases, as far as forgotten votes are concerned."""
        return self.version > 0 or not self._store.healthy()

    def preconditions(self) -> list[Precondition]:
        """What a write of the leader key depends on if it counts this node's own vote."""
        return [Precondition(self.key, self.version)] if self.version else []

    async def establish(self) -> None:
        """Put up the fence, once; then wait for the end of the process."""
        while not self.version:
            try:
                version = await self.write_key()
                self._on_leader_key(await self._store.read(keys.LEADER_KEY))
                self.version = version
            except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("vote fence not written: error=%s", type(error).__name__)
                await asyncio.sleep(RETRY_S)
        await asyncio.Event().wait()

    async def write_key(self) -> int:
        """Write the key if it is still as it was read, so that of two such writes one at most happens.

        Returns its version. Raises what the store's client raises.
        """
        stored = await self._store.read(self.key)
        value = {"process": self.incarnation}
        if stored.version and stored.value == value:
            return stored.version  # written before, without a response
        return await self._store.commit([Precondition(self.key, stored.version)], [Put(self.key, value)])
