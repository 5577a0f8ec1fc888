"""Every change of a machine's phase and of the allocations on it.

Invariant: an allocation is in its job and on its machine, or in neither, and it is released only when it was shown to
be gone (see `fleet`).
"""

import logging
from collections.abc import Callable, Iterable

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import Job
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.heartbeat_messages import TaskId
from hookwall.workers.fleet_state import FleetState
from hookwall.workers.machine import AllocatedTask, Machine, MachinePhase

log = logging.getLogger(__name__)


def ignore_change() -> None:
    """For whoever runs no rounds."""


def _ignore_stop(_job: Job) -> None:
    """While no drain is known."""


def _ignore_release(_job: Job, _allocation: Allocation) -> None:
    """While no drain is known."""


class FleetTransitions(FleetState):
    """The state of the fleet with the transitions on it; each that matters to a round calls `on_change`."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = ignore_change,
    ) -> None:
        """An empty fleet for the jobs of `table`."""
        super().__init__(params, clock)
        self.table = table
        self.on_change = on_change
        # Set by the drains, which exist only once a drain was requested: they charge the disruption to a budget.
        self.on_stop_requested: Callable[[Job], None] = _ignore_stop
        self.on_allocation_released: Callable[[Job, Allocation], None] = _ignore_release

    def transition_to(self, machine: Machine, phase: MachinePhase, reason: str) -> None:
        """The one function for every change of a machine's phase."""
        if machine.phase is phase:
            return
        log.info(
            "machine phase changed: machine=%s from=%s to=%s reason=%s",
            machine.name, machine.phase.value, phase.value, reason,
        )  # fmt: skip
        machine.phase = phase
        self.on_change()

    # -- allocations ---------------------------------------------------------------------------

    def attach_allocations(self, job: Job) -> None:
        """Fill in a job's indices, and add its allocations to their machines."""
        spec = job.spec
        if spec is None:
            return
        job.machine_type_fit = None
        job.image_index = self.image_names.index_of(spec.image)
        if not spec.spot and job.image_index not in self.on_demand_images:
            self.on_demand_images.add(job.image_index)
            self.invalidate_free_capacity()
        job.team_index = self.team_names.index_of(spec.team)
        job.rank = self.table.effective_rank(job)
        job.allowed_type_indices = (
            None if spec.types is None else frozenset(self.type_names.index_of(name) for name in spec.types)
        )
        job.zone_index = -1 if spec.zone is None else self.zone_names.index_of(spec.zone)
        for allocation in job.allocations.values():
            machine = self.ensure_machine(allocation.machine, "", "", False)
            self._attach(job, allocation, machine)

    def replace_allocations(self, job: Job, before: Iterable[Allocation]) -> None:
        """A job's record was replaced by another node's write: its allocations are those of the new record."""
        for allocation in before:
            machine = self.machines.get(allocation.machine)
            key = TaskId(job.job_id, allocation.task)
            if machine is not None and machine.allocations.pop(key, None) is not None:
                machine.free_capacity = None
        self.attach_allocations(job)
        self.on_change()

    def allocate(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> Allocation:
        """Decide to start a task on a machine; no launch is sent before the decision is stored."""
        allocation = Allocation(task, machine.name, machine.epoch, attempt, now)
        job.allocations[task] = allocation
        job.has_unsaved_changes = True
        job.has_unsaved_starts = True
        self._attach(job, allocation, machine)
        return allocation

    def _attach(self, job: Job, allocation: Allocation, machine: Machine) -> None:
        machine.allocations[TaskId(job.job_id, allocation.task)] = AllocatedTask(job, allocation)
        machine.free_capacity = None

    def release_allocation(self, job: Job, allocation: Allocation, reason: str) -> None:
        """An allocation is shown to be gone: its task is pending again unless it is done."""
        machine = self.machines.get(allocation.machine)
        if machine is not None:
            if job.spec is not None and not job.spec.spot:
                machine.last_on_demand_work_at = self.clock()
            machine.allocations.pop(TaskId(job.job_id, allocation.task), None)
            machine.free_capacity = None
        if job.allocations.get(allocation.task) is allocation:
            job.remove_allocation(allocation.task)
            self.on_allocation_released(job, allocation)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "allocation released: job=%s task=%d attempt=%d machine=%s reason=%s",
                job.job_id, allocation.task, allocation.attempt, allocation.machine, reason,
            )  # fmt: skip
        self.on_change()

    def release_all_allocations(self, machine: Machine, reason: str) -> None:
        """Everything on a machine is shown to be gone."""
        for job, allocation in list(machine.allocations.values()):
            self.release_allocation(job, allocation, reason)
        self.set_unrecorded_tasks(machine, set())

    def set_unrecorded_tasks(self, machine: Machine, tasks: set[TaskId]) -> None:
        """Replace the tasks that a worker reports and that no allocation known here explains.

        However that came about, they are there: they are not started anywhere else until they are shown gone.
        """
        for job_id, task in machine.unrecorded_tasks - tasks:
            if job_id in self.table.jobs:
                self.table.jobs[job_id].remove_unrecorded_sighting(task, machine.name)
        for job_id, task in tasks:
            if job_id in self.table.jobs:
                self.table.jobs[job_id].add_unrecorded_sighting(task, machine.name)
        machine.unrecorded_tasks = tasks

    def request_stop(self, job: Job, allocation: Allocation, grace_s: float, reason: str) -> None:
        """Have a task stopped in order, or all tasks of a gang. Commands follow in heartbeat responses."""
        if allocation.stop_grace_s is not None:
            return
        self.on_stop_requested(job)
        stopped = job.allocations.values() if job.spec is not None and job.spec.gang else (allocation,)
        for each in stopped:
            if each.stop_grace_s is None:
                each.stop_grace_s = grace_s
        log.debug(
            "stop requested: job=%s task=%d machine=%s reason=%s",
            job.job_id, allocation.task, allocation.machine, reason,
        )  # fmt: skip
