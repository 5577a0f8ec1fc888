"""Whether the key-value store responds to this node, and whom the leader key names.

An open watch says nothing in an outage, and a peer that believed the store to be well made a leader transfer its
leadership to it for nothing. Invariant: what is known of the store is never older than about a second.
"""

import asyncio

from hookwall.leadership.leadership_state import LeadershipState
from hookwall.leadership.roles import Role
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError, RequestRejectedError

PROBE_PERIOD_S = 0.5
RESPONSE_AGE_S = 0.8  # a response that is no older makes a probe unnecessary


class StoreProbe:
    """Reads the leader key where nothing else has shown lately that the store responds."""

    def __init__(self, state: LeadershipState, store: KeyValueClient) -> None:
        self._state = state
        self._store = store
        self.requested = asyncio.Event()  # a peer asks, so the store is asked at once

    async def run(self) -> None:
        """Probe the store whenever that is due or requested."""
        while True:
            try:
                async with asyncio.timeout(PROBE_PERIOD_S):
                    await self.requested.wait()
            except TimeoutError:
                if self._state.clock() - self._store.last_response_at < RESPONSE_AGE_S:
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
