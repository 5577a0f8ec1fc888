"""What the end of a task says of its job and its machine.

Invariant: an exit releases its allocation exactly once. A machine is quarantined only for errors that its jobs don't
have on other machines as well.
"""

import logging

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import OPEN, Job
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import Machine, MachinePhase

log = logging.getLogger(__name__)

FULL_MACHINE_PAUSE_S = 4.0  # no new tasks on a machine whose worker had no room for one
UNKNOWN_IMAGE_PAUSE_S = 5.0  # no new start of a job of which the worker does not know the image
MACHINES_THAT_CLEAR_A_MACHINE = 3  # a job that failed on so many is at fault itself
MAX_BACKOFF_S = 60.0
MAX_BACKOFF_EXPONENT = 6
ERRORS_FOR_QUARANTINE = 2


class TaskExits:
    """Applies exits that workers report."""

    def __init__(self, fleet: FleetTransitions) -> None:
        """For the machines of `fleet`."""
        self.fleet = fleet

    def apply_exit(self, machine: Machine, job: Job, allocation: Allocation, cause: str) -> None:
        """A task has ended for `cause`, a word of the platform."""
        if cause == "done":
            self._apply_success(machine, job, allocation)
        elif cause == "error":
            self._apply_error(machine, job)
        elif cause == "full":
            machine.rejects_tasks_until = self.fleet.clock() + FULL_MACHINE_PAUSE_S
        elif cause == "no_such":
            job.retry_not_before = self.fleet.clock() + UNKNOWN_IMAGE_PAUSE_S
        if cause not in ("done", "halted") and job.phase == OPEN:
            log.info(
                "task ended: job=%s task=%d attempt=%d machine=%s cause=%s",
                job.job_id, allocation.task, allocation.attempt, machine.name, cause,
            )  # fmt: skip
        self.fleet.release_allocation(job, allocation, cause)

    def _apply_success(self, machine: Machine, job: Job, allocation: Allocation) -> None:
        """A task is done; the tasks of a gang complete together."""
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
        """A task failed: either the machine is faulty, or the job fails wherever it runs."""
        now = self.fleet.clock()
        job.failures_by_machine[machine.name] = job.failures_by_machine.get(machine.name, 0) + 1
        job.last_failure_at = now
        machines = len(job.failures_by_machine)
        if machines >= MACHINES_THAT_CLEAR_A_MACHINE:
            # More tries would only cost other jobs their machines.
            job.retry_not_before = now + min(MAX_BACKOFF_S, 2.0 ** min(machines, MAX_BACKOFF_EXPONENT))
            return
        machine.consecutive_errors += 1
        machine.free_capacity = None
        machine.jobs_with_errors.add(job.job_id)
        errors = max(len(machine.jobs_with_errors), machine.consecutive_errors)
        if machine.phase is MachinePhase.UP and errors >= ERRORS_FOR_QUARANTINE:
            reason = f"{machine.consecutive_errors} consecutive errors"
            self.fleet.transition_to(machine, MachinePhase.QUARANTINED, reason)
