"""Probes whether the key-value store responds to this node, and which node the leader key names.

An open watch reports nothing during an outage. Without probes, a peer therefore still believed the store to be healthy,
and a leader transferred its leadership to that peer in vain. Invariant: a node's view of the store's health is never
older than about a second.
"""

import asyncio

from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.roles import Role
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError

PROBE_PERIOD_S = 0.5
RECENT_RESPONSE_S = 0.8  # no probe is needed while the last response is newer than this


class StoreProbe:
    """Reads the leader key if no other request has recently shown that the store responds."""

    def __init__(self, state: LeadershipState, store: KeyValueClient) -> None:
        self._state = state
        self._store = store
        self.requested = asyncio.Event()  # set when a peer asks about the store; triggers an immediate probe

    async def run(self) -> None:
        """Probe the store whenever a probe is due or requested."""
        while True:
            try:
                async with asyncio.timeout(PROBE_PERIOD_S):
                    await self.requested.wait()
            except TimeoutError:
                if self._state.clock() - self._store.last_response_at < RECENT_RESPONSE_S:
                    continue
            self.requested.clear()
            await self._read_leader_key()

    async def _read_leader_key(self) -> None:
        try:
            stored = await self._store.read(keys.LEADER_KEY)
        except (RequestRejectedError, OutcomeUnknownError):
            return
        if stored.version or self._state.role is Role.FOLLOWER:
            self._state.observe_leader_key(stored.value, stored.version, stored.revision)
