"""Fences the votes of a node's earlier processes, which the node's new process has forgotten.

Once a node has voted for a candidate, it never again grants a quorum lease to the leader whose key the candidate may
replace, because the candidate's write may be executed late. A process that has just started does not know of the votes
of earlier processes. Therefore each node has a fence key that each of its processes writes once, before it grants
anything, and a candidate's write of the leader key has the fence keys of its voters as preconditions. Invariant: once a
voter's new process has written its fence key, no write that relies on a forgotten vote is executed. If such a write was
executed before, the leader key shows its effect; the leader key is read after the fence key is written.

A node whose requests the store rejects can't write its fence key. Meanwhile it grants votes and leases without the
fence, as programs older than format 3 always do. Otherwise no node could lead if nodes restart during an outage.
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
    """This node's fence key. `on_leader_key` is called with the leader key as read after the fence key was written."""

    def __init__(self, node_name: str, store: KeyValueClient, on_leader_key: Callable[[VersionedValue], None]) -> None:
        self.key = keys.VOTE_FENCE_PREFIX + node_name
        self._store = store
        self._on_leader_key = on_leader_key
        self.incarnation = random_id()
        self.version = 0  # version of the fence key that this process wrote; 0: the fence is not established yet

    def may_grant(self) -> bool:
        """Whether this node may vote or grant quorum leases, as far as forgotten votes are concerned."""
        return self.version > 0 or not self._store.healthy()

    def preconditions(self) -> list[Precondition]:
        """Return the preconditions of a write of the leader key that counts this node's own vote."""
        return [Precondition(self.key, self.version)] if self.version else []

    async def establish(self) -> None:
        """Establish the fence once, then wait until the process ends."""
        while not self.version:
            try:
                version = await self.write_fence_key()
                self._on_leader_key(await self._store.read(keys.LEADER_KEY))
                self.version = version
            except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("vote fence not written: error=%s", type(error).__name__)
                await asyncio.sleep(RETRY_S)
        await asyncio.Event().wait()

    async def write_fence_key(self) -> int:
        """Write the fence key if it is unchanged since it was read: at most one of two concurrent writes is executed.

        Return the version of the key. Raise the errors of the store's client if a request fails.
        """
        stored = await self._store.read(self.key)
        value = {"process": self.incarnation}
        if stored.version and stored.value == value:
            return stored.version  # written by an earlier request that got no response
        return await self._store.commit([Precondition(self.key, stored.version)], [Put(self.key, value)])
