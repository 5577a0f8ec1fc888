"""What the leader knows of the leases that followers renew for it.

Invariant: a machine counts as delegated from before its lease can be renewed by a follower, and a renewal that may
have gone unseen counts for every machine.
"""

from collections.abc import Callable
from typing import NamedTuple

from hookwall.storage.entries import Precondition
from hookwall.workers.delegation_record import decode_machines
from hookwall.workers.machine import NEVER


class Delegation(NamedTuple):
    """One lease delegate's key. `machines` is None where any machine may be meant."""

    version: int
    machines: frozenset[str] | None


def ignore_delegation(_machines: frozenset[str] | None) -> None:
    """For whoever makes no decisions that rest on expired leases."""


class DelegatedLeases:
    """The leader's view of the leases that followers renew.

    `on_machines_delegated` is called with machines that a key is seen to name and that it did not name before: what
    was decided while their leases seemed to have expired rests on a belief that may have been wrong. None: any.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_machines_delegated: Callable[[frozenset[str] | None], None] = ignore_delegation,
    ) -> None:
        """No key is known yet."""
        self.clock = clock
        self.on_machines_delegated = on_machines_delegated
        self.delegations: dict[str, Delegation] = {}
        self.released_at: dict[str, float] = {}  # machine -> when its delegation was seen to have ended
        self.all_released_at = NEVER

    def apply_key(self, key: str, value: object, version: int) -> None:
        """A lease delegate's key as read or watched; version 0: it is deleted. Older versions are ignored."""
        known = self.delegations.get(key)
        if version and known is not None and version <= known.version:
            return
        before = known.machines if known is not None else frozenset()
        machines = decode_machines(value) if version else frozenset()
        self._release(before, machines)
        if version:
            self.delegations[key] = Delegation(version, machines)
        else:
            self.delegations.pop(key, None)
        if machines is None:
            self.on_machines_delegated(None)
        elif added := machines - (before or frozenset()):
            self.on_machines_delegated(added)

    def _release(self, before: frozenset[str] | None, machines: frozenset[str] | None) -> None:
        """Leases of machines that a key no longer names may have been renewed until now."""
        if before is None:
            self.record_missed_changes()
        elif machines is not None:
            now = self.clock()
            self.released_at.update((name, now) for name in before - machines)

    def record_missed_changes(self) -> None:
        """A key may have come and gone unseen: any lease may have been renewed until now."""
        self.all_released_at = self.clock()

    def is_delegated(self, machine: str) -> bool:
        """Whether some key names the machine now."""
        return any(
            delegation.machines is None or machine in delegation.machines for delegation in self.delegations.values()
        )

    def last_possible_renewal(self, machine: str) -> float:
        """Until when a follower may have renewed the machine's lease, as far as its delegation has ended."""
        return max(self.all_released_at, self.released_at.get(machine, NEVER))

    def preconditions(self, keys: list[str]) -> list[Precondition]:
        """The versions of the keys on which each write of the leader is conditional; 0: no such key."""
        return [Precondition(key, self.delegations[key].version if key in self.delegations else 0) for key in keys]
