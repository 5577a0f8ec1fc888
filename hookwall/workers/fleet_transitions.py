"""All changes of machine phases and of the allocations on machines.

Invariant: an allocation is registered both with its job and with its machine, or with neither. It is released only
after its task is proven to be gone (see `fleet`).
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
    """Do nothing; the default for owners that run no scheduling rounds."""


def _ignore_stop(_job: Job) -> None:
    """Do nothing; the default until a drain is requested."""


def _ignore_release(_job: Job, _allocation: Allocation) -> None:
    """Do nothing; the default until a drain is requested."""


class FleetTransitions(FleetState):
    """The state of the fleet and its transitions. Transitions that affect scheduling rounds call `on_change`."""

    def __init__(
        self,
        params: PlatformParameters,
        table: JobTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = ignore_change,
    ) -> None:
        """Create an empty fleet for the jobs of `table`."""
        super().__init__(params, clock)
        self.table = table
        self.on_change = on_change
        # Set by the drain controller, which exists only after a drain was requested. It charges disruptions to budgets.
        self.on_stop_requested: Callable[[Job], None] = _ignore_stop
        self.on_allocation_released: Callable[[Job, Allocation], None] = _ignore_release

    def transition_to(self, machine: Machine, phase: MachinePhase, reason: str) -> None:
        """Change the phase of a machine. No other function does so."""
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
        """Set a job's name indices and add its allocations to their machines."""
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
            # An allocation that was released and is now read again may have been launched with any earlier token.
            allocation.launch_token = max(allocation.launch_token, machine.launch_token)
            self._attach(job, allocation, machine)

    def replace_allocations(self, job: Job, previous: Iterable[Allocation]) -> None:
        """Replace a job's allocations on the machines after another node's write has replaced the job's record."""
        for allocation in previous:
            machine = self.machines.get(allocation.machine)
            key = TaskId(job.job_id, allocation.task)
            if machine is not None and machine.allocations.pop(key, None) is not None:
                machine.free_capacity = None
        self.attach_allocations(job)
        self.on_change()

    def allocate(self, job: Job, task: int, machine: Machine, attempt: int, now: float) -> Allocation:
        """Allocate a machine to a task; no launch command is sent before this decision is stored."""
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
        """Release an allocation that is proven to be gone; its task becomes pending again unless it is done."""
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
        """Release all allocations and unrecorded tasks of a machine; all of them are proven to be gone."""
        for job, allocation in list(machine.allocations.values()):
            self.release_allocation(job, allocation, reason)
        self.set_unrecorded_tasks(machine, set())

    def set_unrecorded_tasks(self, machine: Machine, tasks: set[TaskId]) -> None:
        """Replace the set of tasks that a worker reports without a matching allocation known to this leader.

        Whatever the cause, these tasks are on the machine, so they are not started on another machine until they are
        proven to be gone.
        """
        for job_id, task in machine.unrecorded_tasks - tasks:
            if job_id in self.table.jobs:
                self.table.jobs[job_id].remove_unrecorded_report(task, machine.name)
        for job_id, task in tasks:
            if job_id in self.table.jobs:
                self.table.jobs[job_id].add_unrecorded_report(task, machine.name)
        machine.unrecorded_tasks = tasks

    def request_stop(self, job: Job, allocation: Allocation, grace_s: float, reason: str) -> None:
        """Request a graceful stop of a task, or of all tasks if the job is a gang.

        Heartbeat responses carry the stop commands.
        """
        if allocation.stop_grace_s is None:
            stopped = job.allocations.values() if job.spec is not None and job.spec.gang else (allocation,)
            self.stop_allocations(job, stopped, grace_s, reason)

    def stop_allocations(self, job: Job, allocations: Iterable[Allocation], grace_s: float, reason: str) -> None:
        """Request a stop of just these tasks of a job; tasks that are to be stopped already are left alone."""
        stopped = [allocation for allocation in allocations if allocation.stop_grace_s is None]
        if not stopped:
            return
        self.on_stop_requested(job)
        for allocation in stopped:
            allocation.stop_grace_s = grace_s
            log.debug(
                "stop requested: job=%s task=%d machine=%s reason=%s",
                job.job_id, allocation.task, allocation.machine, reason,
            )  # fmt: skip
