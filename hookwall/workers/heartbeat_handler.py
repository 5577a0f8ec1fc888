"""Applies workers' heartbeats to the leader's view of the fleet and builds the commands of the responses.

Invariant: a heartbeat is applied only if it is newer than everything known about the machine. A delayed or duplicated
heartbeat changes nothing and gets no commands.
"""

import logging

from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.graceful_stop import stop_grace_s
from hookwall.workers.machine import Machine, MachinePhase
from hookwall.workers.successor_hints import SuccessorHints
from hookwall.workers.task_reconciliation import TaskReconciliation

log = logging.getLogger(__name__)

MAX_COMMANDS = 300
# A worker waits 4 s for a response, and sends its heartbeat to another node a second later.
ACKNOWLEDGEMENT_TIMEOUT_S = 4.5
PREEMPTIBLE_PHASES = (MachinePhase.UP, MachinePhase.QUARANTINED, MachinePhase.DRAINING)


class HeartbeatHandler:
    """Applies heartbeats to the leader's view of the fleet."""

    def __init__(self, fleet: FleetTransitions, hints: SuccessorHints) -> None:
        """`hints` provides the images that a machine had cached under the previous leader."""
        self.fleet = fleet
        self.hints = hints
        self.tasks = TaskReconciliation(fleet)

    def process_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Apply a heartbeat and return the commands of the response, or None if the heartbeat is outdated."""
        now = self.fleet.clock()
        if heartbeat.machine in self.fleet.deleted_names:
            return None  # a delayed heartbeat must not bring back a deleted machine
        machine = self.fleet.ensure_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
        if _is_outdated(machine, heartbeat):
            return None
        if machine.phase is MachinePhase.BOOTING:
            self._handle_first_heartbeat(machine, now)
        self._track_acknowledgement(machine, heartbeat, now)
        if heartbeat.epoch > machine.epoch:
            self._begin_epoch(machine, heartbeat.epoch)
        machine.sequence = heartbeat.sequence
        self.fleet.tokens.adopt(machine, heartbeat.fencing_token)
        machine.last_response_at = now
        self._apply_preemption_notice(machine, heartbeat, now)
        commands = self.tasks.reconcile(machine, heartbeat, now)
        if machine.phase is MachinePhase.PREEMPTION_NOTICED:
            self._stop_before_preemption(machine)
        return commands[:MAX_COMMANDS]

    def _handle_first_heartbeat(self, machine: Machine, now: float) -> None:
        """Handle the first heartbeat that this leader receives from a machine."""
        machine.first_heartbeat_at = now
        machine.free_capacity = None
        self.hints.restore_images(machine)
        elapsed_s = now - machine.first_known_at
        self.fleet.transition_to(machine, MachinePhase.UP, f"first heartbeat after {elapsed_s:.1f} s")

    def _begin_epoch(self, machine: Machine, epoch: int) -> None:
        """Release the allocations of earlier epochs: a worker that begins an epoch has ended all earlier tasks."""
        machine.may_run_cancelled_tasks = False
        for job, allocation in list(machine.allocations.values()):
            if allocation.epoch < epoch:
                self.fleet.release_allocation(job, allocation, "later epoch")
        machine.epoch = epoch

    def _track_acknowledgement(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Track whether responses reach the worker; a worker that they don't reach gets no new work.

        Heartbeats, or delayed copies of them, may arrive even though responses are lost, so a worker may look alive
        while its lease runs out. A heartbeat proves that a response arrived if it carries this leader's fencing token,
        belongs to the same epoch as the previous heartbeat, and arrives sooner than it could if the worker had waited
        for a response until the time-out.
        """
        if not self.fleet.tokens.is_of_this_term(heartbeat.fencing_token) or heartbeat.epoch != machine.epoch:
            if machine.receives_responses:
                log.info("heartbeat shows no response received: machine=%s", machine.name)
            # A worker can't have received a response before its first heartbeat. A worker that has just started has no
            # fencing token yet (0). It is assumed to receive this response, so that the next one can launch its first
            # tasks: half a second later instead of three seconds later. Urgent work is to begin within 60 s.
            machine.receives_responses = machine.epoch == 0 and heartbeat.epoch == 1 and heartbeat.fencing_token == 0
            if machine.epoch == 0:
                machine.acknowledged_at = now
        elif now - machine.last_response_at < ACKNOWLEDGEMENT_TIMEOUT_S:
            machine.acknowledged_at = now
            if machine.unresponsive:
                log.info("machine responsive again: machine=%s", machine.name)
                machine.unresponsive = False
            if not machine.receives_responses:
                machine.receives_responses = True
                self.fleet.on_change()

    def _apply_preemption_notice(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Record the first preemption notice: the cloud preempts the machine `preemption_notice_s` seconds later."""
        notice_s = heartbeat.preemption_notice_s
        if notice_s is None or machine.preemption_at is not None:
            return
        machine.preemption_at = now + notice_s
        if machine.phase in PREEMPTIBLE_PHASES:
            self.fleet.transition_to(machine, MachinePhase.PREEMPTION_NOTICED, f"preemption in {notice_s:.1f} s")

    def _stop_before_preemption(self, machine: Machine) -> None:
        """Request a stop of all tasks that write checkpoints, so that they can write one before the preemption."""
        for job, allocation in machine.allocations.values():
            spec = job.spec
            if spec is None or allocation.stop_grace_s is not None or spec.checkpoint_interval_s <= 0:
                continue
            self.fleet.request_stop(job, allocation, stop_grace_s(spec), "preemption notice")


def _is_outdated(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat is a delayed or duplicated one, older than what is known of the machine."""
    if (heartbeat.epoch, heartbeat.sequence) <= (machine.epoch, machine.sequence):
        return True
    # According to the records, tasks were started on the machine in a later epoch than that of the heartbeat. A new
    # leader that had seen no newer heartbeat concluded from the different epoch that those tasks had ended.
    return any(allocation.epoch > heartbeat.epoch for _, allocation in machine.allocations.values())
