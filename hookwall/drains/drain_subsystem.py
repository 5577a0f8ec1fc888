"""The part of a node that belongs to drains. The controller is made, and its modules imported, when there is a need:

a process that restarts has to listen soon, and most of the time nothing is drained.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from hookwall.scheduling.placement import ResourceRequest
from hookwall.storage import keys

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

LOOK_S = 1.0
PREFIXES = (keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX)


class DrainSubsystem:
    """Hands keys to the controller, which it makes for the first of them, or at once where there are budgets."""

    def __init__(self, enabled: bool, needed_now: bool, make: Callable[[], "DrainController"]) -> None:
        self.enabled, self._make = enabled, make
        self.controller: DrainController | None = make() if enabled and needed_now else None

    def owns_key(self, key: str) -> bool:
        """Whether a key is for this slice."""
        return self.enabled and key.startswith(PREFIXES)

    def _needed(self) -> "DrainController":
        if self.controller is None:
            self.controller = self._make()
        return self.controller

    def apply_key(self, key: str, value: object, stamp: int) -> None:
        """A key as watched or read again."""
        self._needed().table.take(key, value, stamp)

    def apply_deletion(self, key: str, stamp: int) -> None:
        """A key was deleted."""
        if self.controller is not None:
            self.controller.table.remove(key, stamp)

    def apply_snapshot(self, found: Sequence[tuple[str, object, int]]) -> None:
        """A full read of the keys."""
        if self._there(found):
            self._needed().table.read_all(found)

    def load_for_leadership(self, found: Sequence[tuple[str, object, int]]) -> None:
        """A full read by a new leader."""
        if self._there(found):
            self._needed().load(found)

    def _there(self, found: Sequence[tuple[str, object, int]]) -> bool:
        """Whether there is anything to tell the controller."""
        return self.controller is not None or any(self.owns_key(key) for key, _, _ in found)

    def relocations(self) -> list[ResourceRequest]:
        """What machines have to be rented for before jobs can be stopped."""
        return [] if self.controller is None else self.controller.relocations()

    async def run(self, valid: Callable[[], bool]) -> None:
        """Let the controller look at drains while this node leads."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self.controller is not None and valid():
                await self.controller.look()
