"""Workers' reports: what they show of a machine and its tasks, and the commands that answer them."""

import logging
from typing import TYPE_CHECKING

from hookwall.jobs.job import CANCELLED, OPEN, Allocation, Job
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.workers.machine import Machine, MachinePhase

if TYPE_CHECKING:
    from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

MAX_COMMANDS = 300
STOP_RETRY_S = 1.5
UNACKNOWLEDGED_S = 4.5  # a worker without an answer waits 4 s for it and reports, elsewhere, a second later


class HeartbeatHandler:
    """Takes in reports for the leader's picture of the fleet."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet

    def process_heartbeat(self, beat: Heartbeat) -> list[Command] | None:
        """Take in a report and decide the answer's commands. None: too old to be answered."""
        now = self.fleet.clock()
        if beat.machine in self.fleet.deleted_names:
            return None  # a late copy must not bring back a machine that is gone
        machine = self.fleet.ensure_machine(beat.machine, beat.type, beat.zone, beat.spot)
        if (beat.epoch, beat.sequence) <= (machine.epoch, machine.sequence):
            return None
        if any(start.epoch > beat.epoch for _, start in machine.allocations.values()):
            # A copy from before the tenure in which the records have started something there: a new
            # leader that had seen nothing newer took the difference for the end of those tasks.
            return None
        if machine.phase is MachinePhase.BOOTING:
            machine.first_heartbeat_at = now
            machine.free_capacity = None
            self.fleet.successor_hints.restore_images(machine)
            self.fleet.transition_to(machine, MachinePhase.UP, f"reports after {now - machine.first_known_at:.1f} s")
        self._listen(machine, beat, now)
        if beat.epoch > machine.epoch:
            machine.may_run_cancelled_tasks = False
            for job, start in list(machine.allocations.values()):
                if start.epoch < beat.epoch:
                    self.fleet.release_allocation(job, start, "a later tenure")
        machine.epoch, machine.sequence, machine.fencing_token = (
            beat.epoch,
            beat.sequence,
            max(machine.fencing_token, beat.fencing_token),
        )
        machine.last_response_at = now
        if beat.preemption_notice_s is not None and machine.preemption_at is None:
            machine.preemption_at = now + beat.preemption_notice_s
            if machine.phase in (MachinePhase.UP, MachinePhase.QUARANTINED, MachinePhase.DRAINING):
                self.fleet.transition_to(
                    machine, MachinePhase.PREEMPTION_NOTICED, f"taken in {beat.preemption_notice_s:.1f} s"
                )
        orders: list[Command] = []
        seen: set[tuple[str, int]] = set()
        unrecorded: set[tuple[str, int]] = set()
        for reported in beat.tasks:
            parts = heartbeat_messages.parse_task_id(reported.task_id)
            if parts is None:
                continue
            if self._reported(machine, parts, reported, orders, unrecorded, now):
                seen.add(parts)
        self.fleet.set_unrecorded_tasks(machine, unrecorded)
        current = beat.fencing_token == self.fleet.fencing_token
        for key, (job, start) in list(machine.allocations.items()):
            if key not in seen:
                self._absent(machine, job, start, current, orders)
        if machine.phase is MachinePhase.PREEMPTION_NOTICED:
            self._leave(machine, now)
        return orders[:MAX_COMMANDS]

    def _listen(self, machine: Machine, beat: Heartbeat, now: float) -> None:
        """Follow whether our answers reach the worker; while they don't it gets no new work.

        Its reports may arrive all the same, as may late copies of them, so that it looks alive while
        its lease runs out. What shows that an answer arrived is our token, in the tenure of the
        report before, and sooner than a worker reports that has waited for an answer in vain.
        """
        if beat.fencing_token != self.fleet.fencing_token or beat.epoch != machine.epoch:
            if machine.acknowledges:
                log.info("machine %s reports, but seems not to get our answers", machine.name)
            # The first report of all: it has had no chance yet. A worker that has just begun, as one that
            # has seen no token has, is trusted to hear the answer, and finds its first tasks in the next:
            # half a second later instead of three, of the 60 in which urgent work is to begin.
            machine.acknowledges = machine.epoch == 0 and beat.epoch == 1 and beat.fencing_token == 0
            if machine.epoch == 0:
                machine.acknowledged_at = now
        elif now - machine.last_response_at < UNACKNOWLEDGED_S:
            machine.acknowledged_at = now
            if machine.unresponsive:
                log.info("machine %s reports again", machine.name)
                machine.unresponsive = False
            if not machine.acknowledges:
                machine.acknowledges = True
                self.fleet.on_change()

    def _reported(
        self,
        machine: Machine,
        key: tuple[str, int],
        reported: heartbeat_messages.TaskStatus,
        orders: list[Command],
        unrecorded: set[tuple[str, int]],
        now: float,
    ) -> bool:
        """One task of a report. False if the worker knows nothing of the task once it has the answer."""
        entry = machine.allocations.get(key)
        if entry is not None and entry[1].attempt != reported.attempt:
            entry = None  # the records name another start of this task
        if reported.phase == "exited":
            return self._reported_exit(machine, key, reported, entry, orders)
        if entry is None:
            unrecorded.add(key)
            orders.append(heartbeat_messages.stop_command(reported.task_id, reported.attempt, 0.0))
            return True
        job, start = entry
        if reported.phase != start.reported_phase:
            log.debug("%s attempt %d on %s: %s", reported.task_id, reported.attempt, machine.name, reported.phase)
            start.reported_phase = reported.phase
            if reported.phase in ("waiting", "running") and job.spec is not None:
                self.fleet.record_image_use(machine, job.image_index, job.spec.image_gb)
            if reported.phase == "running":
                start.running_since = now
            self.fleet.on_change()
        if job.phase == CANCELLED:
            orders.append(heartbeat_messages.stop_command(reported.task_id, reported.attempt, 0.0))
        elif (
            start.stop_grace_s is not None and now - start.stop_sent_at > STOP_RETRY_S and _heeds_stop(start, reported)
        ):
            start.stop_sent_at = now
            orders.append(heartbeat_messages.stop_command(reported.task_id, reported.attempt, start.stop_grace_s))
        return True

    def _reported_exit(
        self,
        machine: Machine,
        key: tuple[str, int],
        reported: heartbeat_messages.TaskStatus,
        entry: tuple[Job, Allocation] | None,
        orders: list[Command],
    ) -> bool:
        """A task of a report that has ended; `entry` is its start, if the records name it."""
        if entry is not None:
            self._exited(machine, entry[0], entry[1], reported.cause or "", reported.checkpointed)
        job = self.fleet.table.jobs.get(key[0])
        if job is not None and job.stored_starts.get(key[1]) == (machine.name, reported.attempt):
            return True
        # Only once the record no longer names this start: a leader that forgot it would
        # otherwise launch the same attempt again.
        orders.append(heartbeat_messages.forget_command(reported.task_id, reported.attempt))
        return entry is not None

    def _absent(self, machine: Machine, job: Job, start: Allocation, current: bool, orders: list[Command]) -> None:
        """A start that the records name and the report does not."""
        wanted = job.phase == OPEN and start.stop_grace_s is None and not start.finished
        if not wanted or machine.phase is not MachinePhase.UP or machine.name in self.fleet.cordoned:
            # The report answers none of our launches and the worker drops older leaders' answers.
            if current:
                self.fleet.release_allocation(job, start, "not there")
            return
        if job.stored_starts.get(start.task) != (machine.name, start.attempt):
            return
        if start.epoch != machine.epoch:
            self.fleet.release_allocation(job, start, "another tenure")
            return
        if start.reported_phase and current:
            # It was reported before and is not now, without having exited: it can't be there.
            self.fleet.release_allocation(job, start, "vanished")
            return
        if job.may_launch(start):
            orders.append(heartbeat_messages.launch_command(job.job_id, start.task, start.attempt))

    def _exited(self, machine: Machine, job: Job, start: Allocation, cause: str, saved: bool) -> None:
        if cause == "done":
            machine.consecutive_errors = 0
            machine.free_capacity = None
            machine.jobs_with_errors.clear()
            if job.spec is not None:
                self.fleet.record_image_use(machine, job.image_index, job.spec.image_gb)
                if job.spec.gang:
                    # A gang's tasks complete together.
                    for task in range(job.task_count):
                        job.mark_task_done(task)
                    for other in job.allocations.values():
                        other.finished = True
            job.mark_task_done(start.task)
        elif cause == "error":
            self._error(machine, job)
        elif cause == "full":
            machine.rejects_tasks_until = self.fleet.clock() + 4.0
        elif cause == "no_such":
            job.retry_not_before = self.fleet.clock() + 5.0
        if cause not in ("done", "halted") and job.phase == OPEN:
            log.info("%s/%d attempt %d on %s ended: %s", job.job_id, start.task, start.attempt, machine.name, cause)
        self.fleet.release_allocation(job, start, cause)

    def _error(self, machine: Machine, job: Job) -> None:
        """A task failed: either the machine is faulty, or the job fails wherever it runs."""
        now = self.fleet.clock()
        job.failures_by_machine[machine.name] = job.failures_by_machine.get(machine.name, 0) + 1
        job.last_failure_at = now
        elsewhere = len(job.failures_by_machine)
        if elsewhere >= 3:
            # Three machines have failed it; more tries cost others their machines.
            job.retry_not_before = now + min(60.0, 2.0 ** min(elsewhere, 6))
            return
        machine.consecutive_errors += 1
        machine.free_capacity = None
        machine.jobs_with_errors.add(job.job_id)
        if machine.phase is MachinePhase.UP and (len(machine.jobs_with_errors) >= 2 or machine.consecutive_errors >= 2):
            self.fleet.transition_to(machine, MachinePhase.QUARANTINED, f"{machine.consecutive_errors} errors in a row")

    def _leave(self, machine: Machine, now: float) -> None:
        """The machine will be taken: stop what can save, in time to save."""
        for job, start in machine.allocations.values():
            spec = job.spec
            if spec is None or start.stop_grace_s is not None or spec.checkpoint_interval_s <= 0:
                continue
            self.fleet.request_stop(job, start, spec.checkpoint_cost_s + 0.5, "spot notice")


def _heeds_stop(start: Allocation, reported: heartbeat_messages.TaskStatus) -> bool:
    """Whether a stop would change anything: a task that saves already only heeds one that gives it no more time."""
    return reported.phase != "saving" or start.stop_grace_s == 0.0
