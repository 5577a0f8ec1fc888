"""The machines that stand ready or are on their way, and what is known of them from the cloud."""

from collections.abc import Callable
from dataclasses import dataclass

from hookwall.autoscaling.inventory import Inventory
from hookwall.scheduling.placement import FreeCapacity
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase

OVERDUE_BOOTS = 2.5  # so many times its type's usual boot, a machine is no longer counted on

Pool = tuple[int, int, bool]  # type, zone, spot


@dataclass(slots=True)
class ProvisioningRequest:
    """A rental request that has no final answer yet."""

    name: str
    pool: Pool
    count: int


class Capacity:
    """What there is, as far as lists, reports and rental requests tell."""

    def __init__(self, fleet: Fleet, lists: Inventory, clock: Callable[[], float]) -> None:
        self.fleet, self.inventory, self.clock = fleet, lists, clock
        self.pending_requests: list[ProvisioningRequest] = []

    def hourly_price(self, pool: Pool) -> float:
        """Per hour, as the cloud last said."""
        info = self.fleet.machine_type(pool[0])
        return 1e9 if info is None else (info.spot_price if pool[2] else info.price)

    def machine_count_by_pool(self) -> dict[Pool, int]:
        """How many machines of each pool there are, in whatever state."""
        have: dict[Pool, int] = {}
        for m in self.fleet.machines.values():
            pool = (m.type, m.zone, m.spot)
            have[pool] = have.get(pool, 0) + 1
        return have

    def empty_machine(self, pool: Pool, index: int) -> FreeCapacity:
        """An empty machine of a pool."""
        info = self.fleet.machine_type(pool[0])
        assert info is not None
        return FreeCapacity(
            index, pool[0], pool[1], pool[2], info.cpus, info.gpus, info.memory_gb, self.hourly_price(pool)
        )

    def is_expected(self, m: Machine, now: float) -> bool:
        """Whether a machine that has not reported yet may be counted on."""
        return m.phase is MachinePhase.BOOTING and not (
            m.unresponsive or self.is_overdue(m, now) or self.inventory.is_missing(m)
        )

    def is_overdue(self, m: Machine, now: float) -> bool:
        """Whether a booting machine should no longer be counted on."""
        info = self.fleet.machine_type(m.type)
        return m.phase is MachinePhase.BOOTING and now - m.provisioned_at > OVERDUE_BOOTS * (
            info.boot_s if info else 30.0
        )

    def incoming_machines(self, now: float) -> list[FreeCapacity]:
        """Machines that are on their way."""
        rooms: list[FreeCapacity] = []
        for m in self.fleet.machines.values():
            if self.is_expected(m, now) and self.fleet.machine_type(m.type) is not None:
                rooms.append(self.empty_machine((m.type, m.zone, m.spot), m.index))
        for h in self.pending_requests:
            rooms.extend(self.empty_machine(h.pool, -1) for _ in range(h.count))
        return rooms

    def machine_counts(self, now: float) -> tuple[int, int]:
        """(ordinary, all) machines that stand ready or are on their way."""
        solid = total = 0
        for m in self.fleet.machines.values():
            if m.name in self.fleet.cordoned:
                continue
            if (m.phase is MachinePhase.UP and not m.unresponsive) or self.is_expected(m, now):
                total += 1
                solid += not m.spot
        for h in self.pending_requests:
            total += h.count
            solid += 0 if h.pool[2] else h.count
        return solid, total
