"""Reconciles the tasks that a heartbeat reports with the allocations from job records and from decisions.

Invariant: a launch command is sent only for a stored allocation whose task no other machine may be running. A worker is
told to forget a task only after the job record no longer names it.
"""

import logging
from typing import NamedTuple

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import CANCELLED, OPEN, Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Command, Heartbeat, TaskId, TaskStatus
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import AllocatedTask, Machine, MachinePhase
from hookwall.workers.task_exits import TaskExits

log = logging.getLogger(__name__)

STOP_RETRY_S = 1.5


class ReportedTask(NamedTuple):
    """A task in a heartbeat, with the allocation of the reported attempt if there is one."""

    task_id: TaskId
    status: TaskStatus
    allocated: AllocatedTask | None


class TaskReconciliation:
    """Chooses the commands that answer a heartbeat, and releases allocations whose tasks it proves to be gone."""

    def __init__(self, fleet: FleetTransitions) -> None:
        """Reconcile the machines of `fleet`."""
        self.fleet = fleet
        self.exits = TaskExits(fleet)

    def reconcile(self, machine: Machine, heartbeat: Heartbeat, now: float) -> list[Command]:
        """Apply the reported tasks of a heartbeat and the absence of the others; return the commands to send."""
        commands: list[Command] = []
        present: set[TaskId] = set()
        unrecorded: set[TaskId] = set()
        for status in heartbeat.tasks:
            task_id = heartbeat_messages.parse_task_id(status.task_id)
            if task_id is None:
                continue
            report = ReportedTask(task_id, status, _matching_allocation(machine, task_id, status))
            try:
                is_present = self._apply_report(machine, report, commands, now)
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self.fleet.table.errors.record(task_id.job_id, JobOperation.PROCESS_REPORT)
                is_present = True
            if is_present:
                present.add(task_id)
            if report.allocated is None and status.phase != "exited":
                unrecorded.add(task_id)
        self.fleet.set_unrecorded_tasks(machine, unrecorded)
        launched: list[Allocation] = []
        for task_id, (job, allocation) in list(machine.allocations.items()):
            if task_id in present:
                continue
            try:
                if self._reconcile_absent(machine, job, allocation, heartbeat.fencing_token):
                    launched.append(allocation)
                    commands.append(heartbeat_messages.launch_command(job.job_id, allocation.task, allocation.attempt))
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self.fleet.table.errors.record(task_id.job_id, JobOperation.PROCESS_REPORT)
        for allocation in launched:
            allocation.launch_token = machine.launch_token = self.fleet.tokens.current(machine)
        return commands

    def _apply_report(self, machine: Machine, report: ReportedTask, commands: list[Command], now: float) -> bool:
        """Apply the report of one task; return False if the worker may forget the task, as nothing names it."""
        status = report.status
        if status.phase == "exited":
            return self._apply_exit(machine, report.task_id, status, report.allocated, commands)
        if report.allocated is None:
            commands.append(heartbeat_messages.stop_command(status.task_id, status.attempt, 0.0))
        else:
            self._apply_status(machine, status, report.allocated, commands, now)
        return True

    def _apply_status(
        self, machine: Machine, status: TaskStatus, allocated: AllocatedTask, commands: list[Command], now: float
    ) -> None:
        """Apply the status of a reported task that matches its allocation."""
        job, allocation = allocated
        if status.phase != allocation.reported_phase:
            self._apply_phase(machine, status, allocated, now)
        if job.phase == CANCELLED:
            commands.append(heartbeat_messages.stop_command(status.task_id, status.attempt, 0.0))
        elif (
            allocation.stop_grace_s is not None
            and now - allocation.stop_sent_at > STOP_RETRY_S
            and _stop_has_effect(allocation, status)
        ):
            allocation.stop_sent_at = now
            commands.append(heartbeat_messages.stop_command(status.task_id, status.attempt, allocation.stop_grace_s))

    def _apply_phase(self, machine: Machine, status: TaskStatus, allocated: AllocatedTask, now: float) -> None:
        """Apply a change of the reported phase of a task."""
        job, allocation = allocated
        log.debug(
            "task phase changed: task=%s attempt=%d machine=%s phase=%s",
            status.task_id, status.attempt, machine.name, status.phase,
        )  # fmt: skip
        allocation.reported_phase = status.phase
        if status.phase in ("waiting", "running") and job.spec is not None:
            self.fleet.record_image_use(machine, job.image_index, job.spec.image_gb)
        if status.phase == "running":
            allocation.running_since = now
        self.fleet.on_change()

    def _apply_exit(
        self,
        machine: Machine,
        task_id: TaskId,
        status: TaskStatus,
        allocated: AllocatedTask | None,
        commands: list[Command],
    ) -> bool:
        """Apply the reported end of a task.

        Return False if neither the job record nor an allocation names the task; the worker is then told to forget it.
        """
        if allocated is not None:
            self.exits.apply_exit(machine, allocated.job, allocated.allocation, status.cause or "")
        job = self.fleet.table.jobs.get(task_id.job_id)
        if job is not None and job.stored_starts.get(task_id.task) == (machine.name, status.attempt):
            return True
        # The worker may forget the task only after the record no longer names this start. Otherwise, a leader without
        # knowledge of the exit would launch the same attempt again. And it may do so only with a higher token than that
        # of the launch. Otherwise, a late copy of the launch would start the attempt again.
        if not self.fleet.tokens.raise_above(machine, machine.launch_token):
            return True
        commands.append(heartbeat_messages.forget_command(status.task_id, status.attempt))
        return allocated is not None

    def _reconcile_absent(self, machine: Machine, job: Job, allocation: Allocation, reported_token: int) -> bool:
        """Release an allocation whose task the heartbeat does not report; return True if it is to be launched instead.

        `reported_token` is the highest token that the worker has seen.
        """
        if not self._should_run(machine, job, allocation):
            # The heartbeat shows that no launch of this leader has started the task, and a worker with this leader's
            # fencing token drops responses of older leaders.
            self._release_absent(machine, job, allocation, reported_token, "not reported")
            return False
        if job.stored_starts.get(allocation.task) != (machine.name, allocation.attempt):
            return False
        if allocation.epoch != machine.epoch:
            self.fleet.release_allocation(job, allocation, "another epoch")
            return False
        if allocation.reported_phase and self.fleet.tokens.is_of_this_term(reported_token):
            # The task was reported before and is missing now without an exit, so it can't be on the machine.
            self._release_absent(machine, job, allocation, reported_token, "no longer reported")
            return False
        return job.may_launch(allocation)

    def _release_absent(
        self, machine: Machine, job: Job, allocation: Allocation, reported_token: int, reason: str
    ) -> None:
        """Release an allocation whose task is not on the machine, once no launch of it can be executed there any more.

        A late copy of its launch is dropped only by a worker that has seen a higher token than that of the launch.
        """
        if not self.fleet.tokens.is_of_this_term(reported_token):
            return
        if reported_token > allocation.launch_token:
            self.fleet.release_allocation(job, allocation, reason)
        elif not self.fleet.tokens.raise_above(machine, allocation.launch_token):
            job.has_unsaved_changes = True  # the next write of this leader is a higher token

    def _should_run(self, machine: Machine, job: Job, allocation: Allocation) -> bool:
        """Whether the task should run on the machine."""
        if job.phase != OPEN or allocation.stop_grace_s is not None or allocation.finished:
            return False
        return machine.phase is MachinePhase.UP and machine.name not in self.fleet.cordoned


def _matching_allocation(machine: Machine, task_id: TaskId, status: TaskStatus) -> AllocatedTask | None:
    """Return the allocation of the reported attempt; None if there is none, or it is for another attempt."""
    allocated = machine.allocations.get(task_id)
    if allocated is None or allocated.allocation.attempt != status.attempt:
        return None
    return allocated


def _stop_has_effect(allocation: Allocation, status: TaskStatus) -> bool:
    """Whether a stop command has an effect on the task.

    A task that is already writing its checkpoint only obeys a stop without a grace period.
    """
    return status.phase != "saving" or allocation.stop_grace_s == 0.0
