"""A node's entry point to drains, which creates the controller lazily.

Invariant: the controller is created, and its modules are imported, only when they are needed. A process that restarts
has to listen soon, and there are no drains most of the time.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from hookwall.drains.drain_keys import is_drain_key
from hookwall.scheduling.placement import ResourceRequest
from hookwall.storage.entries import KeyValueEntry

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

CYCLE_INTERVAL_S = 1.0


class DrainSubsystem:
    """Passes keys to the controller, which is created for the first key, or immediately if budgets are configured."""

    def __init__(self, enabled: bool, create_now: bool, create_controller: Callable[[], "DrainController"]) -> None:
        """Create the controller immediately if `create_now`. A subsystem that is not enabled never creates it."""
        self.enabled = enabled
        self._create_controller = create_controller
        self.controller: DrainController | None = create_controller() if enabled and create_now else None

    def owns_key(self, key: str) -> bool:
        """Whether a key belongs to this subsystem; no key does if drains are disabled."""
        return self.enabled and is_drain_key(key)

    def _require_controller(self) -> "DrainController":
        if self.controller is None:
            self.controller = self._create_controller()
        return self.controller

    def apply_key(self, key: str, value: object, version: int) -> None:
        """Apply the value that a key has had since `version`."""
        self._require_controller().table.apply_key(key, value, version)

    def apply_deletion(self, key: str, revision: int) -> None:
        """Apply the deletion of a key at `revision`."""
        if self.controller is not None:
            self.controller.table.apply_deletion(key, revision)

    def known_keys(self) -> list[str]:
        """The keys of drains and steps in memory."""
        return [] if self.controller is None else self.controller.table.known_keys()

    def begin_leadership(self, entries: Sequence[KeyValueEntry]) -> None:
        """Begin a leadership with the keys that the new leader has read; its drains and steps are already applied."""
        if self.controller is not None or any(self.owns_key(key) for key, _, _ in entries):
            self._require_controller().begin_leadership(entries)

    def relocation_requests(self) -> list[ResourceRequest]:
        """Resource requests of jobs that can't be evicted before machines are provisioned for them."""
        return [] if self.controller is None else self.controller.relocation_requests()

    async def run(self, valid: Callable[[], bool]) -> None:
        """Run a cycle of the controller every `CYCLE_INTERVAL_S` while this node leads."""
        while True:
            await asyncio.sleep(CYCLE_INTERVAL_S)
            if self.controller is not None and valid():
                await self.controller.run_cycle()
