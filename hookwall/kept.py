"""What the leader knows of the leases that followers keep."""

import logging
from collections.abc import Callable

from hookwall import records

log = logging.getLogger("hookwall.kept")


class Kept:
    """The leader's view of what followers keep."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.keys: dict[str, tuple[int, frozenset[str]]] = {}
        self.released: dict[str, float] = {}  # machine -> when its keeping was seen to be over
        self.all_released = -1e9

    def take(self, key: str, value: object, stamp: int) -> None:
        """A keeper's key as read or watched; stamp 0: it is gone."""
        old = self.keys.get(key)
        if stamp and old is not None and stamp <= old[0]:
            return
        now = self.clock()
        names = _machines(value) if stamp else frozenset()
        for name in (old[1] if old is not None else frozenset()) - names:
            self.released[name] = now
        if stamp:
            self.keys[key] = (stamp, names)
        else:
            self.keys.pop(key, None)

    def missed(self) -> None:
        """A key came and went unseen: anyone may have been kept until now."""
        self.all_released = self.clock()

    def kept(self, machine: str) -> bool:
        return any(machine in names for _, names in self.keys.values())

    def heard(self, machine: str) -> float:
        """Until when a keeper may have answered this machine, as far as it is over."""
        return max(self.all_released, self.released.get(machine, -1e9))

    def conditions(self, keys: list[str]) -> list[tuple[str, int]]:
        """What each write of the leader is conditional on."""
        return [(k, self.keys[k][0] if k in self.keys else 0) for k in keys]


def _machines(value: object) -> frozenset[str]:
    """The machines that a keeper's key names."""
    if not isinstance(value, dict):
        return frozenset()
    names = value.get("machines")
    if isinstance(value.get("packed"), str):
        try:
            names = records.decompress(value["packed"], list[str])
        except records.MalformedRecord as error:
            log.error("a keeper's key is malformed: %s", error)
    return frozenset(str(n) for n in names) if isinstance(names, list) else frozenset()
