"""The leader's drain controller: it advances all drains in one cycle per second.

Invariant: every write is conditional on the leader key and on the versions of the records that it changes. A leader
that was replaced therefore can't change a drain any more, and an operator's abort takes effect either before a step or
after it.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from hookwall.config.operations import DrainSettings
from hookwall.config.platform import PlatformParameters
from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.drains.disruption_recorder import DisruptionRecorder
from hookwall.drains.drain_plan import Occupant
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.drain_transitions import DrainTransitions
from hookwall.drains.drain_writer import DrainWriter
from hookwall.drains.plan_builder import PlanBuilder
from hookwall.drains.planning_view import PlanningView
from hookwall.drains.records import (
    DeadlinePolicy,
    DrainPhase,
    DrainRecord,
    EmptyMachinePolicy,
    MachineOutcome,
    StepPhase,
)
from hookwall.drains.wait_reasons import Wait, WaitKind, summarize_waits
from hookwall.leadership.leadership import Leadership
from hookwall.scheduling.placement import ResourceRequest
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.storage.key_order import KeyOrder
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.7
STALLED_AFTER_S = 60.0  # a drain that makes no progress for this long is stalled
REASON_INTERVAL_S = 5.0  # minimum interval between writes of one drain's reason
LEDGER_INTERVAL_S = 2.0  # minimum interval between writes of disruptions that were not caused by a drain
# These texts are stored as a drain's reason, and operators see them.
UNSUPPORTED_REASON = "not all nodes run a program that knows drains"
DEADLINE_REASON = "its deadline has passed"


class DrainController:
    """Executes drains while this node leads."""

    def __init__(
        self,
        settings: DrainSettings,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        store: KeyValueClient,
        leadership: Leadership,
        key_order: KeyOrder,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
        *,
        drains_allowed: Callable[[], bool],
        is_confirmed_deleted: Callable[[str], bool],
    ) -> None:
        """Create a controller that shares the cordoned machines with `fleet` and the relocated jobs with `scheduler`.

        `clock`, which is monotonic, and `time_of_day` return seconds. `drains_allowed` tells whether the programs of
        all nodes support drains; `is_confirmed_deleted` tells whether a machine is confirmed to be deleted.
        """
        self.fleet = fleet
        self.clock = clock
        self.time_of_day = time_of_day
        self._drains_allowed = drains_allowed
        self._is_confirmed_deleted = is_confirmed_deleted
        jobs = scheduler.table
        self.ledger = DisruptionLedger(settings.budgets, store.max_value_bytes, 2 * params.time_bound_ms / 1000)
        self.table = DrainTable(self.ledger)
        self.writer = DrainWriter(self.table, self.ledger, store, leadership, key_order)
        self.planning_view = PlanningView(jobs, fleet, scheduler, self.ledger)
        self.plan_builder = PlanBuilder(self.table, self.planning_view, scheduler, clock, time_of_day)
        self.disruptions = DisruptionRecorder(self.ledger, jobs, fleet, clock, time_of_day)
        self.transitions = DrainTransitions(self.table, self.writer, fleet, self.disruptions, clock, time_of_day)
        # By drain: jobs that wait for capacity on other machines.
        self.awaiting_capacity: dict[str, list[Occupant]] = {}
        self._ledger_stored_at: float | None = None
        self._connect(fleet, scheduler)

    def _connect(self, fleet: Fleet, scheduler: Scheduler) -> None:
        """Register with the fleet and the scheduler.

        They work without drains until then, as there are no drains most of the time.
        """
        fleet.cordoned = self.table.cordoned
        fleet.in_maintenance = self.table.in_maintenance
        fleet.on_stop_requested = self.disruptions.record_stop_request
        fleet.on_allocation_released = self.disruptions.record_lost_allocation
        scheduler.relocated_jobs = self.disruptions.relocating

    def begin_leadership(self, entries: Sequence[KeyValueEntry]) -> None:
        """Begin a leadership: load the ledger from the keys that the new leader has read."""
        self.table.load_ledger(entries)
        self.awaiting_capacity.clear()
        self.plan_builder.reset()
        self.disruptions.begin_leadership()
        self.transitions.reset()

    def relocation_requests(self) -> list[ResourceRequest]:
        """Resource requests of jobs that can't be evicted before machines are provisioned for them."""
        return [replace(occupant.request) for occupants in self.awaiting_capacity.values() for occupant in occupants]

    # -- the cycle -------------------------------------------------------------------------------

    async def run_cycle(self) -> None:
        """Advance all drains. A step that fails is retried in the next cycle."""
        if self.fleet.catalog is None:
            return
        try:
            await self.advance_all()
        except PreconditionFailedError as conflict:
            log.info("drain keys changed: keys=%s", ",".join(conflict.keys))
            await self._reread(conflict)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("drain cycle failed: reason=%s", error)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _reread(self, conflict: PreconditionFailedError) -> None:
        try:
            await self.writer.reread(conflict.keys)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("drain keys not read: reason=%s", error)

    async def advance_all(self) -> None:
        """Advance every drain as far as possible now. Raises the errors of `DrainWriter`."""
        self.disruptions.update_recovery()
        await self._write_ledger_if_due()
        if not self.table.has_work():
            self.awaiting_capacity.clear()
            return
        if not self._drains_allowed():
            await self._store_unsupported()
            return
        for name in sorted(self.table.drains):
            if self.table.drains[name].record.is_active():
                await self._advance(name)
            else:
                self.awaiting_capacity.pop(name, None)
                await self._roll_back(name)
        for name in {stored.record.drain for stored in self.table.steps.values()} - self.table.drains.keys():
            await self._roll_back(name)

    async def _write_ledger_if_due(self) -> None:
        """Store the ledger's changed pages if the interval has passed; these are disruptions not caused by a drain."""
        now = self.clock()
        if self._ledger_stored_at is None or now - self._ledger_stored_at >= LEDGER_INTERVAL_S:
            self._ledger_stored_at = now
            await self.writer.write_ledger()

    async def _store_unsupported(self) -> None:
        """Store as the reason of all active drains that not all nodes support drains.

        A leader with an older program would place new work on a machine that is being drained.
        """
        for name, stored in list(self.table.drains.items()):
            if stored.record.is_active() and stored.record.wait_reason != UNSUPPORTED_REASON:
                await self.transitions.transition_to(name, stored.record.phase, UNSUPPORTED_REASON)

    # -- one drain -------------------------------------------------------------------------------

    async def _advance(self, name: str) -> None:
        """Take all steps that are possible for one drain now."""
        record = self.table.drains[name].record
        if record.phase is DrainPhase.REQUESTED:
            await self.transitions.begin(name)
        if record.is_overdue(self.time_of_day()) and record.deadline_policy is DeadlinePolicy.ABORT:
            await self.transitions.transition_to(name, DrainPhase.ABORTED, DEADLINE_REASON)
            return
        await self._reconcile_machines(name)
        record = self.table.drains[name].record
        if not self.table.machines[name] and not self.table.steps_of(name):
            await self.transitions.transition_to(name, DrainPhase.FINISHED, "")
            return
        plan = self.plan_builder.build_plan(name)
        self.awaiting_capacity[name] = plan.relocations
        for machine in plan.cordon:
            await self.transitions.cordon(name, machine)
        for eviction in plan.evictions:
            await self.transitions.evict(name, eviction)
        if record.is_overdue(self.time_of_day()) and record.deadline_policy is DeadlinePolicy.SKIP_WAITS:
            self._end_stopping_tasks(name, plan.waits)
        await self._store_wait_reason(name, plan.waits)

    async def _reconcile_machines(self, name: str) -> None:
        """Process machines that have become empty, were released, or are deleted."""
        record = self.table.drains[name].record
        steps = self.table.steps_of(name)
        already_deleted = [
            machine
            for machine in self.table.machines[name]
            if machine not in steps and self._is_confirmed_deleted(machine)
        ]
        if already_deleted:
            await self.transitions.remove_machines(name, already_deleted, MachineOutcome.LOST)
        for machine, step in steps.items():
            await self._reconcile_machine(name, record, machine, step.phase)
        if record.empty_machine_policy is EmptyMachinePolicy.DELETE:
            self._delete_empty_machines(name)

    async def _reconcile_machine(self, name: str, record: DrainRecord, machine: str, phase: StepPhase) -> None:
        """Process one cordoned machine, whose step is in this phase."""
        if self._is_confirmed_deleted(machine):
            deleted = phase is StepPhase.EMPTY and record.empty_machine_policy is EmptyMachinePolicy.DELETE
            outcome = MachineOutcome.DELETED if deleted else MachineOutcome.LOST
            await self.transitions.remove_machines(name, [machine], outcome)
        elif phase is StepPhase.RELEASED:
            await self.transitions.remove_machines(name, [machine], MachineOutcome.RELEASED)
            self.fleet.on_change()
        elif phase is not StepPhase.EMPTY and self.planning_view.is_empty(machine):
            await self.transitions.mark_empty(name, machine)

    def _delete_empty_machines(self, name: str) -> None:
        for machine, step in self.table.steps_of(name).items():
            known = self.fleet.machines.get(machine)
            if step.phase is StepPhase.EMPTY and known is not None:
                self.fleet.transition_to(known, MachinePhase.DELETING, f"drain {name}")

    def _end_stopping_tasks(self, name: str, waits: Iterable[Wait]) -> None:
        """End tasks that still write a checkpoint after the drain's deadline. Checkpoints written earlier remain."""
        for wait in waits:
            machine = self.fleet.machines.get(wait.machine)
            if wait.kind is not WaitKind.STOPPING or machine is None:
                continue
            for job, allocation in machine.allocations.values():
                if allocation.stop_grace_s:
                    log.info(
                        "checkpoint not written by the deadline: drain=%s job=%s task=%d machine=%s",
                        name, job.job_id, allocation.task, machine.name,
                    )  # fmt: skip
                    allocation.stop_grace_s = 0.0

    async def _store_wait_reason(self, name: str, waits: Sequence[Wait]) -> None:
        """Store why a drain waits and whether it is stalled."""
        record = self.table.drains[name].record
        reason = summarize_waits(waits)
        now = self.clock()
        stalled = bool(waits) and now - self.transitions.progressed_at.setdefault(name, now) > STALLED_AFTER_S
        phase = DrainPhase.STALLED if stalled else DrainPhase.DRAINING
        stored_at = self.transitions.reason_stored_at.get(name)
        due = stored_at is None or now - stored_at >= REASON_INTERVAL_S
        if phase is not record.phase or (reason != record.wait_reason and due):
            await self.transitions.transition_to(name, phase, reason)

    async def _roll_back(self, name: str) -> None:
        """Uncordon the machines of an aborted or deleted drain, except those that are already being deleted."""
        for machine, step in self.table.steps_of(name).items():
            known = self.fleet.machines.get(machine)
            if known is not None and known.phase is MachinePhase.DELETING:
                continue
            if self._is_confirmed_deleted(machine):
                outcome = MachineOutcome.DELETED if step.phase is StepPhase.EMPTY else MachineOutcome.LOST
                await self.transitions.remove_machines(name, [machine], outcome)
                continue
            await self.transitions.uncordon(name, machine)
