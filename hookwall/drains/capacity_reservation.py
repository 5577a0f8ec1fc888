"""Reservation of the capacity that evicted jobs need on other machines.

Invariant: capacity is reserved only once, and either all jobs of an eviction get capacity or nothing is reserved.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hookwall.drains.drain_plan import Occupant
from hookwall.scheduling.placement import FreeCapacity, ResourceRequest, place


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Capacity that `task_count` tasks of a job take on a machine; a negative count returns capacity."""

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
    """Reserve capacity for all of these jobs out of `free_capacities`, and return the jobs that can't be placed.

    If any job can't be placed, nothing is reserved.
    """
    machines = {machine.index: machine for machine in free_capacities}
    reservations: list[_Reservation] = []
    unplaced: list[Occupant] = []
    for occupant in occupants:
        job_reservations = _reserve(occupant, machines)
        if job_reservations is None:
            unplaced.append(occupant)
        else:
            reservations += job_reservations
    if unplaced:
        for reservation in reservations:
            reservation.undo()
    return unplaced


def _reserve(occupant: Occupant, machines: dict[int, FreeCapacity]) -> list[_Reservation] | None:
    """Reserve capacity for one job. If there is not enough, reserve nothing and return None.

    A gang may reuse the capacity that its own tasks free on other machines.
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
