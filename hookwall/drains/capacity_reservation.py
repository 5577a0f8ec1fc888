"""Capacity elsewhere that evicted jobs would need.

Invariant: capacity is given once, and either all jobs of an eviction get theirs or nothing is reserved.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hookwall.drains.drain_plan import Occupant
from hookwall.scheduling.placement import FreeCapacity, ResourceRequest, place


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Capacity of a machine that so many tasks of a job take; a negative number is what they give back."""

    machine: FreeCapacity
    request: ResourceRequest
    task_count: int

    def apply(self) -> None:
        self._take(self.task_count)

    def undo(self) -> None:
        self._take(-self.task_count)

    def _take(self, task_count: int) -> None:
        self.machine.cpus -= task_count * self.request.cpus
        self.machine.gpus -= task_count * self.request.gpus
        self.machine.memory -= task_count * self.request.memory


def reserve_all(occupants: Sequence[Occupant], free_capacities: Sequence[FreeCapacity]) -> list[Occupant]:
    """Reserve capacity for these jobs, taking it from `free_capacities`; gives the jobs for which there is none.

    Where that is any, nothing is reserved.
    """
    machines = {machine.index: machine for machine in free_capacities}
    reservations: list[_Reservation] = []
    unplaced: list[Occupant] = []
    for occupant in occupants:
        own = _reserve(occupant, machines)
        if own is None:
            unplaced.append(occupant)
        else:
            reservations += own
    if unplaced:
        for reservation in reservations:
            reservation.undo()
    return unplaced


def _reserve(occupant: Occupant, machines: dict[int, FreeCapacity]) -> list[_Reservation] | None:
    """Reserve capacity for one job. None, and nothing reserved, if there is not enough.

    A gang may use again what it leaves on other machines.
    """
    request = occupant.request
    freed = [
        _Reservation(machines[index], request, -tasks) for index, tasks in occupant.freed_tasks if index in machines
    ]
    for reservation in freed:
        reservation.apply()
    placements = place(request, list(machines.values()))
    if sum(placement.task_count for placement in placements) < request.count:
        for reservation in freed:
            reservation.undo()
        return None
    taken = [_Reservation(machines[index], request, tasks) for index, tasks in placements]
    for reservation in taken:
        reservation.apply()
    return freed + taken
