"""What a node has of drains before there is any drain.

Invariant: the controller is made, and its modules imported, when there is a need: a process that restarts has to listen
soon, and most of the time nothing is drained.
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
    """Hands keys to the controller, which it makes for the first of them, or at once where there are budgets."""

    def __init__(self, enabled: bool, needed_now: bool, make_controller: Callable[[], "DrainController"]) -> None:
        """Make the controller at once where it is `needed_now`; a subsystem that is not enabled never makes it."""
        self.enabled = enabled
        self._make_controller = make_controller
        self.controller: DrainController | None = make_controller() if enabled and needed_now else None

    def owns_key(self, key: str) -> bool:
        """Whether a key belongs to this subsystem; none does while drains are switched off."""
        return self.enabled and is_drain_key(key)

    def _require_controller(self) -> "DrainController":
        if self.controller is None:
            self.controller = self._make_controller()
        return self.controller

    def apply_key(self, key: str, value: object, version: int) -> None:
        """A key has this value since `version`."""
        self._require_controller().table.apply_key(key, value, version)

    def apply_deletion(self, key: str, revision: int) -> None:
        """A key was deleted at `revision`."""
        if self.controller is not None:
            self.controller.table.apply_deletion(key, revision)

    def apply_snapshot(self, entries: Sequence[KeyValueEntry]) -> None:
        """A full read of the keys."""
        if self._concerns_drains(entries):
            self._require_controller().table.apply_snapshot(entries)

    def load_for_leadership(self, entries: Sequence[KeyValueEntry]) -> None:
        """A full read by a new leader."""
        if self._concerns_drains(entries):
            self._require_controller().load_for_leadership(entries)

    def _concerns_drains(self, entries: Sequence[KeyValueEntry]) -> bool:
        """Whether there is a controller that a full read concerns, or a key that needs one."""
        return self.controller is not None or any(self.owns_key(key) for key, _, _ in entries)

    def relocation_requests(self) -> list[ResourceRequest]:
        """What machines have to be provisioned for before jobs can be evicted."""
        return [] if self.controller is None else self.controller.relocation_requests()

    async def run(self, valid: Callable[[], bool]) -> None:
        """Run a cycle of the controller every `CYCLE_INTERVAL_S` while this node leads."""
        while True:
            await asyncio.sleep(CYCLE_INTERVAL_S)
            if self.controller is not None and valid():
                await self.controller.run_cycle()
