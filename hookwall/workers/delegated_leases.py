"""What the leader knows of the leases that followers keep."""

import logging
from collections.abc import Callable

from hookwall.storage import job_records
from hookwall.workers import name_codec

log = logging.getLogger(__name__)


class DelegatedLeases:
    """The leader's view of what followers keep.

    `on_named` is called with machines that a key is seen to name and that no key named before: what was decided
    while their leases seemed to be over rests on a belief that may have been wrong.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.delegations: dict[str, tuple[int, frozenset[str] | None]] = {}  # stamp and names; None: any machine
        self.released_at: dict[str, float] = {}  # machine -> when its keeping was seen to be over
        self.all_released_at = -1e9
        self.on_machines_delegated: Callable[[frozenset[str] | None], None] = lambda machines: None

    def apply_key(self, key: str, value: object, stamp: int) -> None:
        """A keeper's key as read or watched; stamp 0: it is gone."""
        old = self.delegations.get(key)
        if stamp and old is not None and stamp <= old[0]:
            return
        before = old[1] if old is not None else frozenset()
        names = decode_machines(value) if stamp else frozenset()
        self._release(before, names)
        if stamp:
            self.delegations[key] = (stamp, names)
        else:
            self.delegations.pop(key, None)
        if names is None:
            self.on_machines_delegated(None)
        elif named := names - (before or frozenset()):
            self.on_machines_delegated(named)

    def _release(self, before: frozenset[str] | None, names: frozenset[str] | None) -> None:
        """Machines that a key named and does not name any more have been kept until now."""
        if before is None:
            self.record_missed_changes()
        elif names is not None:
            now = self.clock()
            self.released_at.update((name, now) for name in before - names)

    def record_missed_changes(self) -> None:
        """A key may have come and gone unseen: anyone may have been kept until now."""
        self.all_released_at = self.clock()

    def is_delegated(self, machine: str) -> bool:
        """Whether some key names the machine now."""
        return any(names is None or machine in names for _, names in self.delegations.values())

    def last_possible_renewal(self, machine: str) -> float:
        """Until when a keeper may have answered this machine, as far as it is over."""
        return max(self.all_released_at, self.released_at.get(machine, -1e9))

    def preconditions(self, keys: list[str]) -> list[tuple[str, int]]:
        """What each write of the leader is conditional on."""
        return [(k, self.delegations[k][0] if k in self.delegations else 0) for k in keys]


def decode_machines(value: object) -> frozenset[str] | None:
    """The machines that a keeper's key names; None, which stands for any, where that can't be read."""
    if not isinstance(value, dict):
        log.error("a keeper's key is not an object")
        return None
    names = value.get("machines")
    try:
        if isinstance(value.get("packed"), str):
            names = job_records.decompress(value["packed"], list[str])
        elif "numbered" in value:
            names = name_codec.decode(value["numbered"])
    except job_records.MalformedRecordError as error:
        log.error("a keeper's key is malformed: %s", error)
        return None
    if not isinstance(names, list):
        log.error("a keeper's key names no machines")
        return None
    return frozenset(str(n) for n in names)
