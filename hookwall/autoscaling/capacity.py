"""The machines that stand ready or are on their way, and what is known of them from the cloud."""

from collections.abc import Callable
from dataclasses import dataclass

from hookwall.autoscaling.inventory import MachineList
from hookwall.scheduling.placement import Room
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, Phase

OVERDUE_BOOTS = 2.5  # so many times its type's usual boot, a machine is no longer counted on

Pool = tuple[int, int, bool]  # type, zone, spot


@dataclass(slots=True)
class Hire:
    """A rental request that has no final answer yet."""

    name: str
    pool: Pool
    count: int


class Supply:
    """What there is, as far as lists, reports and rental requests tell."""

    def __init__(self, fleet: Fleet, lists: MachineList, clock: Callable[[], float]) -> None:
        self.fleet, self.lists, self.clock = fleet, lists, clock
        self.hires: list[Hire] = []

    def price(self, pool: Pool) -> float:
        """Per hour, as the cloud last said."""
        info = self.fleet.info(pool[0])
        return 1e9 if info is None else (info.spot_price if pool[2] else info.price)

    def by_pool(self) -> dict[Pool, int]:
        """How many machines of each pool there are, in whatever state."""
        have: dict[Pool, int] = {}
        for m in self.fleet.machines.values():
            pool = (m.type, m.zone, m.spot)
            have[pool] = have.get(pool, 0) + 1
        return have

    def full_room(self, pool: Pool, index: int) -> Room:
        """An empty machine of a pool."""
        info = self.fleet.info(pool[0])
        assert info is not None
        return Room(index, pool[0], pool[1], pool[2], info.cpus, info.gpus, info.memory, self.price(pool))

    def expected(self, m: Machine, now: float) -> bool:
        """Whether a machine that has not reported yet may be counted on."""
        return m.phase is Phase.BOOTING and not (m.silent or self.overdue(m, now) or self.lists.unlisted(m))

    def overdue(self, m: Machine, now: float) -> bool:
        """Whether a booting machine should no longer be counted on."""
        info = self.fleet.info(m.type)
        return m.phase is Phase.BOOTING and now - m.rented_at > OVERDUE_BOOTS * (info.boot_s if info else 30.0)

    def coming(self, now: float) -> list[Room]:
        """Machines that are on their way."""
        rooms: list[Room] = []
        for m in self.fleet.machines.values():
            if self.expected(m, now) and self.fleet.info(m.type) is not None:
                rooms.append(self.full_room((m.type, m.zone, m.spot), m.index))
        for h in self.hires:
            rooms.extend(self.full_room(h.pool, -1) for _ in range(h.count))
        return rooms

    def standing(self, now: float) -> tuple[int, int]:
        """(ordinary, all) machines that stand ready or are on their way."""
        solid = total = 0
        for m in self.fleet.machines.values():
            if m.name in self.fleet.cordoned:
                continue
            if (m.phase is Phase.UP and not m.silent) or self.expected(m, now):
                total += 1
                solid += not m.spot
        for h in self.hires:
            total += h.count
            solid += 0 if h.pool[2] else h.count
        return solid, total
