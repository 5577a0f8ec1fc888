"""What becomes of a gang that has lost a task: its other tasks end, and then the gang is placed again as a whole.

Tasks of a gang wait for each other for a limited time only. If one machine needs longer to fetch the image, the other
tasks end before the gang was complete. A machine gives a fetch up when no task waits for the image any more, so if the
fetching task were stopped then, the next attempt would begin the same fetch anew, and so would each one after it.

Invariant: an image fetch that has lasted for as long as the tasks of a gang wait for each other is never given up
because the gang has lost another task. An attempt that loses no machine therefore ends with the image on each of its
machines, unless it runs. These machines stay reserved until the gang is placed again, which makes the next attempt run.
"""

import logging

from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.jobs.job_table import JobTable
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase

log = logging.getLogger(__name__)


class BrokenGangs:
    """Stops what is left of broken gangs, and knows for which of them machines stay reserved meanwhile."""

    def __init__(self, table: JobTable, fleet: Fleet, gang_wait_s: float) -> None:
        """`gang_wait_s`: how long a gang's task waits on its machine for the other tasks."""
        self.table = table
        self.fleet = fleet
        self.gang_wait_s = gang_wait_s
        self._regrouping: set[str] = set()  # gangs that hold reservations until they are placed again

    def holds_reservations(self, job_id: str) -> bool:
        """Whether machines stay reserved for a gang, although it does not wait for capacity at the moment."""
        return job_id in self._regrouping

    def end_regrouping(self, job_id: str) -> None:
        """Keep a gang's reservations no longer; from now on they last while it waits for capacity."""
        self._regrouping.discard(job_id)

    def stop_remaining_tasks(self, now: float) -> None:
        """Stop the tasks of broken gangs, except those whose image fetches are worth keeping."""
        self._regrouping = {job_id for job_id in self._regrouping if job_id in self.table.open_jobs}
        for job in self.table.open_jobs.values():
            if not _is_broken(job):
                continue
            try:
                self._stop_tasks(job, now)
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self.table.errors.record(job.job_id, JobOperation.SCHEDULE)

    def _stop_tasks(self, job: Job, now: float) -> None:
        """Stop the tasks of one broken gang; if fetches are kept, its machines are reserved as its tasks end."""
        remaining = list(job.allocations.values())
        kept = [allocation for allocation in remaining if self._keeps_running(allocation, now)]
        if kept and job.job_id not in self._regrouping:
            self._regrouping.add(job.job_id)
            machines = ",".join(sorted({allocation.machine for allocation in kept}))
            log.info("image fetches kept: job=%s machines=%s", job.job_id, machines)
        if self.holds_reservations(job.job_id):
            for allocation in remaining:
                allocation.reserves_machine = True
        stopped = [allocation for allocation in remaining if allocation not in kept]
        self.fleet.stop_allocations(job, stopped, 0.0, "its gang is incomplete")

    def _keeps_running(self, allocation: Allocation, now: float) -> bool:
        """Whether a task's image fetch is kept, or may turn out to be worth keeping once its machine reports."""
        machine = self.fleet.machines.get(allocation.machine)
        if machine is None or machine.name in self.fleet.cordoned:
            return False
        if machine.phase is MachinePhase.BOOTING:
            return True
        is_fetching = allocation.reported_phase == "pulling"
        return machine.phase is MachinePhase.UP and is_fetching and now - allocation.created_at >= self.gang_wait_s


def _is_broken(job: Job) -> bool:
    """Whether a gang has lost some of its tasks, so that the other ones can't go on."""
    if job.phase != OPEN or job.spec is None or not job.spec.gang or job.done_count:
        return False
    return 0 < len(job.allocations) < job.task_count
