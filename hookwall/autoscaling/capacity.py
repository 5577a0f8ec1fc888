"""The machines that are ready or expected to become ready, and the pools that they are provisioned from.

Invariant: a machine that is unlikely to become ready is not counted, so that a replacement is provisioned.
"""

import math
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from hookwall.autoscaling.inventory import Inventory
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase
from hookwall.workers.resources import FreeCapacity

# A machine that has been booting for longer than this multiple of its type's usual boot time is not counted.
OVERDUE_BOOT_FACTOR = 2.5
DEFAULT_BOOT_S = 30.0  # for machine types that are missing from the catalog
UNKNOWN_PRICE = math.inf  # for machine types that are missing from the catalog
NOT_PROVISIONED_INDEX = -1  # index of a machine that does not exist yet


class MachinePool(NamedTuple):
    """The machines of one type in one zone, either spot or on-demand; `type` and `zone` are indices."""

    type: int
    zone: int
    spot: bool


class MachineCounts(NamedTuple):
    """Numbers of machines that are ready or expected to become ready."""

    on_demand: int
    total: int


@dataclass(slots=True)
class ProvisioningRequest:
    """A request to the cloud for machines that has no final response yet."""

    name: str
    pool: MachinePool
    count: int


def pool_of(machine: Machine) -> MachinePool:
    """Return the pool from which a machine was provisioned."""
    return MachinePool(machine.type, machine.zone, machine.spot)


class Capacity:
    """The machines that exist or are expected, according to the lists, heartbeats and provisioning requests."""

    def __init__(self, fleet: Fleet, inventory: Inventory) -> None:
        """`fleet` and `inventory` are those of the leader."""
        self.fleet = fleet
        self.inventory = inventory
        self.pending_requests: list[ProvisioningRequest] = []

    def hourly_price(self, pool: MachinePool) -> float:
        """Return the hourly price of a machine of the pool according to the newest catalog."""
        machine_type = self.fleet.machine_type(pool.type)
        if machine_type is None:
            return UNKNOWN_PRICE
        return machine_type.spot_price if pool.spot else machine_type.price

    def machine_count_by_pool(self) -> Counter[MachinePool]:
        """Return the number of machines of each pool, in any phase."""
        return Counter(pool_of(machine) for machine in self.fleet.machines.values())

    def empty_machine(self, pool: MachinePool, index: int = NOT_PROVISIONED_INDEX) -> FreeCapacity:
        """Return the capacity of an empty machine of the pool, whose type must be in the catalog."""
        machine_type = self.fleet.machine_type(pool.type)
        assert machine_type is not None
        return FreeCapacity(
            index,
            pool.type,
            pool.zone,
            pool.spot,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            self.hourly_price(pool),
        )

    def boot_s(self, machine: Machine) -> float:
        """Return the usual boot time of the machine's type."""
        machine_type = self.fleet.machine_type(machine.type)
        return DEFAULT_BOOT_S if machine_type is None else machine_type.boot_s

    def is_expected(self, machine: Machine, now: float) -> bool:
        """Whether a machine that has sent no heartbeat yet is expected to become ready."""
        return machine.phase is MachinePhase.BOOTING and not (
            machine.unresponsive or self.is_overdue(machine, now) or self.inventory.is_missing(machine)
        )

    def is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been booting for so long that it should no longer be counted."""
        if machine.phase is not MachinePhase.BOOTING:
            return False
        return now - machine.provisioned_at > OVERDUE_BOOT_FACTOR * self.boot_s(machine)

    def incoming_machines(self, now: float) -> list[FreeCapacity]:
        """Return the expected machines, all of them empty, including those of pending provisioning requests."""
        incoming = [
            self.empty_machine(pool_of(machine), machine.index)
            for machine in self.fleet.machines.values()
            if self.is_expected(machine, now) and self.fleet.machine_type(machine.type) is not None
        ]
        for request in self.pending_requests:
            incoming.extend(self.empty_machine(request.pool) for _ in range(request.count))
        return incoming

    def machine_counts(self, now: float) -> MachineCounts:
        """Count the machines that are ready or expected to become ready, without the cordoned ones."""
        on_demand = 0
        total = 0
        for machine in self.fleet.machines.values():
            if machine.name in self.fleet.cordoned:
                continue
            is_ready = machine.phase is MachinePhase.UP and not machine.unresponsive
            if is_ready or self.is_expected(machine, now):
                total += 1
                on_demand += not machine.spot
        for request in self.pending_requests:
            total += request.count
            on_demand += 0 if request.pool.spot else request.count
        return MachineCounts(on_demand, total)
