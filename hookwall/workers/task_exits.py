"""The effects of task exits on jobs and machines.

Invariant: an exit releases its allocation exactly once. A machine is quarantined only for errors that its jobs don't
also have on other machines.
"""

import logging

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import OPEN, Job
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import Machine, MachinePhase

log = logging.getLogger(__name__)

FULL_MACHINE_BACKOFF_S = 4.0  # no new tasks for this time on a machine whose worker had no room for a task
UNKNOWN_IMAGE_BACKOFF_S = 5.0  # a job whose image a worker did not know is not started again for this time
FAILED_MACHINES_FOR_JOB_FAULT = 3  # a job that failed on this many machines is at fault itself
MAX_BACKOFF_S = 60.0
MAX_BACKOFF_EXPONENT = 6
ERRORS_FOR_QUARANTINE = 2


class TaskExits:
    """Applies the task exits that workers report."""

    def __init__(self, fleet: FleetTransitions) -> None:
        """Apply exits to the machines of `fleet`."""
        self.fleet = fleet

    def apply_exit(self, machine: Machine, job: Job, allocation: Allocation, cause: str) -> None:
        """Apply the end of a task; `cause` is an exit cause of the worker protocol."""
        if cause == "done":
            self._apply_success(machine, job, allocation)
        elif cause == "error":
            self._apply_error(machine, job)
        elif cause == "full":
            machine.rejects_tasks_until = self.fleet.clock() + FULL_MACHINE_BACKOFF_S
        elif cause == "no_such":
            job.retry_not_before = self.fleet.clock() + UNKNOWN_IMAGE_BACKOFF_S
        if cause not in ("done", "halted") and job.phase == OPEN:
            log.info(
                "task ended: job=%s task=%d attempt=%d machine=%s cause=%s",
                job.job_id, allocation.task, allocation.attempt, machine.name, cause,
            )  # fmt: skip
        if cause == "alone" or (cause == "halted" and allocation.reserves_machine):
            _reserve_for_next_attempt(machine, job)
        self.fleet.release_allocation(job, allocation, cause)

    def _apply_success(self, machine: Machine, job: Job, allocation: Allocation) -> None:
        """Apply the success of a task; it completes all tasks of a gang."""
        machine.consecutive_errors = 0
        machine.free_capacity = None
        machine.jobs_with_errors.clear()
        if job.spec is not None:
            self.fleet.record_image_use(machine, job.image_index, job.spec.image_gb)
            if job.spec.gang:
                for task in range(job.task_count):
                    job.mark_task_done(task)
                for other in job.allocations.values():
                    other.finished = True
        job.mark_task_done(allocation.task)

    def _apply_error(self, machine: Machine, job: Job) -> None:
        """Apply an error exit: either the machine is faulty, or the job fails on every machine."""
        now = self.fleet.clock()
        job.failures_by_machine[machine.name] = job.failures_by_machine.get(machine.name, 0) + 1
        job.last_failure_at = now
        failed_machine_count = len(job.failures_by_machine)
        if failed_machine_count >= FAILED_MACHINES_FOR_JOB_FAULT:
            # The job itself is at fault. Immediate retries would only take machines away from other jobs.
            job.retry_not_before = now + min(MAX_BACKOFF_S, 2.0 ** min(failed_machine_count, MAX_BACKOFF_EXPONENT))
            return
        machine.consecutive_errors += 1
        machine.free_capacity = None
        machine.jobs_with_errors.add(job.job_id)
        errors = max(len(machine.jobs_with_errors), machine.consecutive_errors)
        if machine.phase is MachinePhase.UP and errors >= ERRORS_FOR_QUARANTINE:
            reason = f"{machine.consecutive_errors} consecutive errors"
            self.fleet.transition_to(machine, MachinePhase.QUARANTINED, reason)


def _reserve_for_next_attempt(machine: Machine, job: Job) -> None:
    """Reserve a machine that has the image for the gang's next attempt, unless it is reserved for another job."""
    if machine.phase is MachinePhase.UP and not machine.reserved_for:
        machine.reserved_for = job.job_id
