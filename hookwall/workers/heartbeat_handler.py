"""Workers' heartbeats: what they show of a machine and its worker, and the commands that answer them.

Invariant: a heartbeat is applied only if it is newer than all that is known of the machine; a late copy changes
nothing and gets no answer.
"""

import logging

from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.workers.fleet_transitions import FleetTransitions
from hookwall.workers.machine import Machine, MachinePhase
from hookwall.workers.orderly_stop import stop_grace_s
from hookwall.workers.successor_hints import SuccessorHints
from hookwall.workers.task_reconciliation import TaskReconciliation

log = logging.getLogger(__name__)

MAX_COMMANDS = 300
UNACKNOWLEDGED_S = 4.5  # a worker waits 4 s for a response, and a second later sends its heartbeat to another node
PREEMPTIBLE_PHASES = (MachinePhase.UP, MachinePhase.QUARANTINED, MachinePhase.DRAINING)


class HeartbeatHandler:
    """Applies heartbeats to the leader's picture of the fleet."""

    def __init__(self, fleet: FleetTransitions, hints: SuccessorHints) -> None:
        """`hints` names the images that a machine had under the last leader."""
        self.fleet = fleet
        self.hints = hints
        self.tasks = TaskReconciliation(fleet)

    def process_heartbeat(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Apply a heartbeat and return the response's commands. None: too old to be answered."""
        now = self.fleet.clock()
        if heartbeat.machine in self.fleet.deleted_names:
            return None  # a late copy must not bring back a machine that is deleted
        machine = self.fleet.ensure_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot)
        if _is_outdated(machine, heartbeat):
            return None
        if machine.phase is MachinePhase.BOOTING:
            self._begin_service(machine, now)
        self._track_acknowledgement(machine, heartbeat, now)
        if heartbeat.epoch > machine.epoch:
            self._begin_epoch(machine, heartbeat.epoch)
        machine.sequence = heartbeat.sequence
        machine.fencing_token = max(machine.fencing_token, heartbeat.fencing_token)
        machine.last_response_at = now
        self._apply_preemption_notice(machine, heartbeat, now)
        commands = self.tasks.reconcile(machine, heartbeat, now)
        if machine.phase is MachinePhase.PREEMPTION_NOTICED:
            self._stop_before_preemption(machine)
        return commands[:MAX_COMMANDS]

    def _begin_service(self, machine: Machine, now: float) -> None:
        """The first heartbeat of a machine that this leader has seen."""
        machine.first_heartbeat_at = now
        machine.free_capacity = None
        self.hints.restore_images(machine)
        elapsed_s = now - machine.first_known_at
        self.fleet.transition_to(machine, MachinePhase.UP, f"first heartbeat after {elapsed_s:.1f} s")

    def _begin_epoch(self, machine: Machine, epoch: int) -> None:
        """The worker has begun a later epoch: it has ended everything that was started in earlier ones."""
        machine.may_run_cancelled_tasks = False
        for job, allocation in list(machine.allocations.values()):
            if allocation.epoch < epoch:
                self.fleet.release_allocation(job, allocation, "later epoch")
        machine.epoch = epoch

    def _track_acknowledgement(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """Follow whether our responses reach the worker; while they don't it gets no new work.

        Its heartbeats may arrive all the same, as may late copies of them, so that it looks alive while its lease runs
        out. What shows that a response arrived is our fencing token, in the epoch of the heartbeat before, and sooner
        than a worker sends one that has waited for a response in vain.
        """
        if heartbeat.fencing_token != self.fleet.fencing_token or heartbeat.epoch != machine.epoch:
            if machine.acknowledges:
                log.info("heartbeat shows no response received: machine=%s", machine.name)
            # The first heartbeat of all: it has had no chance yet. A worker that has just begun, as one that
            # has seen no token has, is trusted to get the response, and finds its first tasks in the next:
            # half a second later instead of three, of the 60 in which urgent work is to begin.
            machine.acknowledges = machine.epoch == 0 and heartbeat.epoch == 1 and heartbeat.fencing_token == 0
            if machine.epoch == 0:
                machine.acknowledged_at = now
        elif now - machine.last_response_at < UNACKNOWLEDGED_S:
            machine.acknowledged_at = now
            if machine.unresponsive:
                log.info("machine responsive again: machine=%s", machine.name)
                machine.unresponsive = False
            if not machine.acknowledges:
                machine.acknowledges = True
                self.fleet.on_change()

    def _apply_preemption_notice(self, machine: Machine, heartbeat: Heartbeat, now: float) -> None:
        """The first notice counts: the cloud takes the machine that many seconds after it."""
        notice_s = heartbeat.preemption_notice_s
        if notice_s is None or machine.preemption_at is not None:
            return
        machine.preemption_at = now + notice_s
        if machine.phase in PREEMPTIBLE_PHASES:
            self.fleet.transition_to(machine, MachinePhase.PREEMPTION_NOTICED, f"preemption in {notice_s:.1f} s")

    def _stop_before_preemption(self, machine: Machine) -> None:
        """Stop what writes checkpoints, in time for one."""
        for job, allocation in machine.allocations.values():
            spec = job.spec
            if spec is None or allocation.stop_grace_s is not None or spec.checkpoint_interval_s <= 0:
                continue
            self.fleet.request_stop(job, allocation, stop_grace_s(spec), "preemption notice")


def _is_outdated(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Whether a heartbeat is a late copy."""
    if (heartbeat.epoch, heartbeat.sequence) <= (machine.epoch, machine.sequence):
        return True
    # A copy from before the epoch in which the records have started something there: a new leader that
    # had seen nothing newer took the difference for the end of those tasks.
    return any(allocation.epoch > heartbeat.epoch for _, allocation in machine.allocations.values())
