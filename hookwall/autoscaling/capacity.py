"""The machines that are ready or on their way, and the pools that they come from.

Invariant: a machine that is not likely to come is not counted on, so that another one is provisioned in its place.
"""

import math
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from hookwall.autoscaling.inventory import Inventory
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine, MachinePhase
from hookwall.workers.resources import FreeCapacity

OVERDUE_BOOTS = 2.5  # so many times its type's usual boot, a machine is no longer counted on
UNKNOWN_TYPE_BOOT_S = 30.0
UNKNOWN_PRICE = math.inf  # of a type that the catalog lacks
NOT_PROVISIONED = -1  # index of a machine that does not exist yet


class MachinePool(NamedTuple):
    """What machines are provisioned from: index of the type, index of the zone, and whether spot instances."""

    type: int
    zone: int
    spot: bool


class MachineCounts(NamedTuple):
    """Machines that are ready or on their way."""

    on_demand: int
    total: int


@dataclass(slots=True)
class ProvisioningRequest:
    """A request for machines that has no final response yet."""

    name: str
    pool: MachinePool
    count: int


def pool_of(machine: Machine) -> MachinePool:
    """The pool that a machine comes from."""
    return MachinePool(machine.type, machine.zone, machine.spot)


class Capacity:
    """What there is, as far as lists, heartbeats and provisioning requests tell."""

    def __init__(self, fleet: Fleet, inventory: Inventory) -> None:
        """Both are the leader's own."""
        self.fleet = fleet
        self.inventory = inventory
        self.pending_requests: list[ProvisioningRequest] = []

    def hourly_price(self, pool: MachinePool) -> float:
        """Price of a machine for an hour, as the catalog last had it."""
        machine_type = self.fleet.machine_type(pool.type)
        if machine_type is None:
            return UNKNOWN_PRICE
        return machine_type.spot_price if pool.spot else machine_type.price

    def machine_count_by_pool(self) -> Counter[MachinePool]:
        """How many machines of each pool there are, in whatever phase."""
        return Counter(pool_of(machine) for machine in self.fleet.machines.values())

    def empty_machine(self, pool: MachinePool, index: int = NOT_PROVISIONED) -> FreeCapacity:
        """The capacity of an empty machine of a pool whose type is in the catalog."""
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
        """How long a machine of this type usually boots."""
        machine_type = self.fleet.machine_type(machine.type)
        return UNKNOWN_TYPE_BOOT_S if machine_type is None else machine_type.boot_s

    def is_expected(self, machine: Machine, now: float) -> bool:
        """Whether a machine that has sent no heartbeat yet may be counted on."""
        return machine.phase is MachinePhase.BOOTING and not (
            machine.unresponsive or self.is_overdue(machine, now) or self.inventory.is_missing(machine)
        )

    def is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a booting machine should no longer be counted on."""
        if machine.phase is not MachinePhase.BOOTING:
            return False
        return now - machine.provisioned_at > OVERDUE_BOOTS * self.boot_s(machine)

    def incoming_machines(self, now: float) -> list[FreeCapacity]:
        """Machines that are on their way, empty; also those that pending requests are for."""
        incoming = [
            self.empty_machine(pool_of(machine), machine.index)
            for machine in self.fleet.machines.values()
            if self.is_expected(machine, now) and self.fleet.machine_type(machine.type) is not None
        ]
        for request in self.pending_requests:
            incoming.extend(self.empty_machine(request.pool) for _ in range(request.count))
        return incoming

    def machine_counts(self, now: float) -> MachineCounts:
        """How many machines are ready or on their way, but for cordoned ones."""
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
