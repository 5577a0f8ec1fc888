"""The leader's knowledge of the worker leases that followers renew on its behalf.

Invariant: a machine counts as delegated before any follower can renew its lease. If a delegation may have begun and
ended without being observed, the lease of every machine counts as possibly renewed.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import DISTANT_PAST
from hookwall.storage.entries import Precondition
from hookwall.workers.delegation_record import decode_machines

log = logging.getLogger(__name__)


class Delegation(NamedTuple):
    """The stored key of one lease delegate. `machines` is None if the key may name any machine."""

    version: int
    machines: frozenset[str] | None


def ignore_delegation(_machines: frozenset[str] | None) -> None:
    """Do nothing; the default for owners that make no decisions based on expired leases."""


class DelegatedLeases:
    """The leader's view of the leases that followers renew.

    `on_machines_delegated` is called with the machines that a key names and did not name before, or with None if the
    key may name any machine. Decisions that treated the leases of these machines as expired may have been wrong.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_machines_delegated: Callable[[frozenset[str] | None], None] = ignore_delegation,
    ) -> None:
        """Start without any known key."""
        self.clock = clock
        self.on_machines_delegated = on_machines_delegated
        self.delegations: dict[str, Delegation] = {}
        self.released_at: dict[str, float] = {}  # machine -> when the end of its delegation was observed
        self.all_released_at = DISTANT_PAST

    def apply_key(self, key: str, value: object, version: int) -> None:
        """Apply a lease delegate's key as read or watched; versions that are not newer than the known one are ignored.

        The caller orders the states of a key (`storage/key_order`), as a deleted key leaves no version here.
        """
        known = self.delegations.get(key)
        if known is not None and version <= known.version:
            return
        log.info("lease delegation observed: key=%s version=%d", key, version)
        previous = known.machines if known is not None else frozenset()
        machines = decode_machines(value)
        self._record_ended_delegations(previous, machines)
        self.delegations[key] = Delegation(version, machines)
        if machines is None:
            self.on_machines_delegated(None)
        elif added := machines - (previous or frozenset()):
            self.on_machines_delegated(added)

    def apply_deletion(self, key: str) -> None:
        """Apply the deletion of a lease delegate's key."""
        known = self.delegations.pop(key, None)
        if known is not None:
            log.info("lease delegation deleted: key=%s version=%d", key, known.version)
            self._record_ended_delegations(known.machines, frozenset())

    def _record_ended_delegations(self, previous: frozenset[str] | None, machines: frozenset[str] | None) -> None:
        """Record that the leases of machines which a key no longer names may have been renewed until now."""
        if previous is None:
            self.record_missed_changes()
        elif machines is not None:
            now = self.clock()
            self.released_at.update((name, now) for name in previous - machines)

    def record_missed_changes(self) -> None:
        """Record that keys may have appeared and disappeared unobserved: any lease may have been renewed until now."""
        self.all_released_at = self.clock()

    def is_delegated(self, machine: str) -> bool:
        """Whether any key names the machine now."""
        return any(
            delegation.machines is None or machine in delegation.machines for delegation in self.delegations.values()
        )

    def last_possible_renewal(self, machine: str) -> float:
        """Return the latest time at which a follower may have renewed the lease under a delegation that has ended."""
        return max(self.all_released_at, self.released_at.get(machine, DISTANT_PAST))

    def preconditions(self, keys: list[str]) -> list[Precondition]:
        """Return the key versions on which each write of the leader is conditional; 0 means that the key is absent."""
        return [Precondition(key, self.delegations[key].version if key in self.delegations else 0) for key in keys]
