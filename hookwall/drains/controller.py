"""The leader's part in drains: each step is stored before it is acted on.

Every write is conditional on the leader key and on the stamps of what it changes, so a leader that was replaced can't
change a drain any more, and an operator's abort meets either the step before or the step after. A job is entered in
the ledger, and the ledger stored, before the first command to stop it; a new leader therefore knows of each job that
may have been stopped. Where it can't tell whether a stop was sent it counts the job as disrupted all the same.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace

import msgspec

from hookwall.config.operations import DrainSettings
from hookwall.config.platform import PlatformParameters
from hookwall.drains.disruptions import DisruptionWatch
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.drain_writes import DrainWrites
from hookwall.drains.ledger import Ledger
from hookwall.drains.picture import Picture
from hookwall.drains.plan_builder import PlanBuilder
from hookwall.drains.planner import Occupant, Stop, Wait, WaitKind, explain
from hookwall.drains.records import Afterwards, AtDeadline, DrainPhase, Outcome, StepPhase, StepRecord
from hookwall.leadership.state_machine import Leadership
from hookwall.scheduling.placement import ResourceRequest
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.workers import name_codec
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase

log = logging.getLogger(__name__)

AFTER_TROUBLE_S = 0.7
STALL_S = 60.0  # so long without a step, a drain is stalled
REASON_EVERY_S = 5.0  # how often the reason of one drain is stored at the most
LEDGER_EVERY_S = 2.0  # the same of disruptions that no drain has caused
SAVE_MARGIN_S = 0.5
NOT_KNOWN = "not all nodes run a program that knows drains"


class DrainController:
    """Carries out drains while this node leads."""

    def __init__(
        self,
        settings: DrainSettings,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        store: KeyValueClient,
        leadership: Leadership,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.fleet, self.scheduler = fleet, scheduler
        self.jobs, self.clock, self.wall = scheduler.table, clock, wall
        self.ledger = Ledger(settings.budgets, store.max_value_bytes, 2 * params.time_bound_ms / 1000)
        self.table = DrainTable(self.ledger)
        self.writes = DrainWrites(self.table, self.ledger, store, leadership)
        self.picture = Picture(self.jobs, fleet, scheduler, self.ledger)
        self.drains_allowed: Callable[[], bool] = lambda: True  # whether every node's program knows drains
        self.is_confirmed_deleted: Callable[[str], bool] = (
            lambda machine: False
        )  # whether a machine is known to be no more
        self.homeless: dict[str, list[Occupant]] = {}  # by drain, jobs that wait for room elsewhere
        self._moved_at: dict[str, float] = {}
        self._reason_at: dict[str, float] = {}
        self.plans = PlanBuilder(self.table, self.picture, scheduler, clock, wall)
        self._ledger_at = -1e9
        self.disruptions = DisruptionWatch(self.ledger, self.jobs, fleet, clock, wall)
        fleet.cordoned, fleet.in_maintenance = self.table.cordoned, self.table.maintained
        scheduler.relocated = self.disruptions.moving
        fleet.on_stop_requested, fleet.on_allocation_released = self.disruptions.told_to_stop, self.disruptions.lost

    # -- what is known ---------------------------------------------------------------------------

    def load(self, found: Sequence[tuple[str, object, int]]) -> None:
        """A new leadership begins with what is stored."""
        self.table.read_all(found)
        self.table.read_ledger(found)
        self.homeless.clear()
        self.plans.reset()
        self.disruptions.load()
        self._moved_at.clear()
        self._reason_at.clear()

    def relocations(self) -> list[ResourceRequest]:
        """What machines have to be rented for before jobs can be stopped."""
        return [replace(occupant.ask) for homeless in self.homeless.values() for occupant in homeless]

    # -- transitions of a drain ------------------------------------------------------------------

    async def _become(self, name: str, phase: DrainPhase, reason: str) -> None:
        """The one function for every change of a drain's phase or reason."""
        record = self.table.drains[name].record
        now = self.wall()
        if phase is not record.phase:
            log.info("drain %s %s -> %s: %s", name, record.phase.value, phase.value, reason)
        changed_at = now if phase is not record.phase else record.changed_at
        self._reason_at[name] = self.clock()
        changed = msgspec.structs.replace(record, phase=phase, reason=reason, changed_at=changed_at)
        await self.writes.drain(name, changed)

    async def _leave(self, name: str, machines: list[str], outcome: Outcome) -> None:
        """Machines leave a drain for good."""
        record = self.table.drains[name].record
        counts = dict(record.counts)
        counts[outcome.value] = counts.get(outcome.value, 0) + len(machines)
        remaining = set(self.table.machines[name]) - set(machines)
        changed = msgspec.structs.replace(record, counts=counts, remaining=name_codec.encode(remaining))
        await self.writes.leave(name, machines, changed)
        self._moved_at[name] = self.clock()
        log.info("drain %s: %d machines %s", name, len(machines), outcome.value)

    async def _write_step(self, name: str, machine: str, step: StepRecord) -> None:
        await self.writes.step(name, machine, step)
        self._moved_at[name] = self.clock()

    # -- transitions of a step -------------------------------------------------------------------

    async def _cordon(self, name: str, machine: str) -> None:
        now = self.wall()
        step = StepRecord(drain=name, phase=StepPhase.CORDONED, since=now, changed_at=now)
        await self._write_step(name, machine, step)
        known = self.fleet.machines.get(machine)
        if known is not None:
            known.reserved_for = ""

    async def _disrupt(self, name: str, stop: Stop) -> None:
        """Stop jobs on a machine: the ledger first, then the step, then the commands."""
        for occupant in stop.occupants:
            job = self.jobs.open_jobs.get(occupant.ref)
            if job is not None:
                self.disruptions.charge(job)
        await self.writes.ledger_pages()
        step = self.table.steps[stop.machine].record
        disrupted = step.disrupted + len(stop.occupants)
        changed = msgspec.structs.replace(
            step, phase=StepPhase.DRAINING, changed_at=self.wall(), disrupted=disrupted
        )  # fmt: skip
        await self._write_step(name, stop.machine, changed)
        refs = {occupant.ref for occupant in stop.occupants}
        machine = self.fleet.machines.get(stop.machine)
        for job, start in list(machine.allocations.values()) if machine is not None else ():
            if job.job_id in refs and job.spec is not None:
                grace = job.spec.checkpoint_cost_s + SAVE_MARGIN_S if job.spec.checkpoint_interval_s > 0 else 0.0
                self.fleet.request_stop(job, start, grace, f"drain {name}")
        self.disruptions.carried_out(refs)
        self.fleet.on_change()

    async def _empty(self, name: str, machine: str) -> None:
        step = self.table.steps[machine].record
        changed = msgspec.structs.replace(step, phase=StepPhase.EMPTY, changed_at=self.wall())
        await self._write_step(name, machine, changed)

    async def _roll_back(self, name: str) -> None:
        """An aborted drain: what is not being deleted already goes back in service."""
        for machine, step in self.table.steps_of(name).items():
            known = self.fleet.machines.get(machine)
            if known is not None and known.phase is MachinePhase.DELETING:
                continue
            if self.is_confirmed_deleted(machine):
                outcome = Outcome.RETURNED if step.phase is StepPhase.EMPTY else Outcome.GONE
                await self._leave(name, [machine], outcome)
                continue
            await self.writes.lift(name, machine)
            log.info("drain %s: %s goes back in service", name, machine)
            self.fleet.on_change()

    # -- one drain -------------------------------------------------------------------------------

    async def _advance(self, name: str) -> None:
        """All that can be done for one drain now."""
        record = self.table.drains[name].record
        if record.phase is DrainPhase.ASKED:
            await self._become(name, DrainPhase.DRAINING, "")
            self._moved_at[name] = self.clock()
        if record.overdue(self.wall()) and record.at_deadline is AtDeadline.ABORT:
            await self._become(name, DrainPhase.ABORTED, "its deadline has passed")
            return
        await self._settle(name)
        record = self.table.drains[name].record
        if not self.table.machines[name] and not self.table.steps_of(name):
            await self._become(name, DrainPhase.FINISHED, "")
            return
        decided = self.plans.build(name)
        self.homeless[name] = decided.homeless
        for machine in decided.cordon:
            await self._cordon(name, machine)
        for stop in decided.stops:
            await self._disrupt(name, stop)
        if record.overdue(self.wall()) and record.at_deadline is AtDeadline.STOP_WAITING:
            self._press(decided.waits)
        await self._explain(name, decided.waits)

    async def _settle(self, name: str) -> None:
        """Follow machines that have become empty, were released, or are gone."""
        record = self.table.drains[name].record
        steps = self.table.steps_of(name)
        before = [m for m in self.table.machines[name] if m not in steps and self.is_confirmed_deleted(m)]
        if before:
            await self._leave(name, before, Outcome.GONE)
        for machine, step in steps.items():
            if self.is_confirmed_deleted(machine):
                returned = step.phase is StepPhase.EMPTY and record.afterwards is Afterwards.RETURN
                await self._leave(name, [machine], Outcome.RETURNED if returned else Outcome.GONE)
            elif step.phase is StepPhase.BACK:
                await self._leave(name, [machine], Outcome.BACK)
                self.fleet.on_change()
            elif step.phase is not StepPhase.EMPTY and self.picture.empty(machine):
                await self._empty(name, machine)
        if record.afterwards is Afterwards.RETURN:
            for machine, step in self.table.steps_of(name).items():
                known = self.fleet.machines.get(machine)
                if step.phase is StepPhase.EMPTY and known is not None:
                    self.fleet.transition_to(known, MachinePhase.DELETING, f"drain {name}")

    def _press(self, waits: Sequence[Wait]) -> None:
        """After the deadline: tasks that were told to stop and go on saving are ended. What they saved stays."""
        for wait in waits:
            machine = self.fleet.machines.get(wait.machine)
            if wait.kind is not WaitKind.STOPPING or machine is None:
                continue
            for job, start in machine.allocations.values():
                if start.stop_grace_s:
                    log.info("%s/%d on %s: not saved by the drain's deadline", job.job_id, start.task, machine.name)
                    start.stop_grace_s = 0.0

    async def _explain(self, name: str, waits: Sequence[Wait]) -> None:
        """Store why a drain waits, and whether it is stalled."""
        record = self.table.drains[name].record
        reason = explain(waits)
        now = self.clock()
        stalled = bool(waits) and now - self._moved_at.setdefault(name, now) > STALL_S
        phase = DrainPhase.STALLED if stalled else DrainPhase.DRAINING
        due = now - self._reason_at.get(name, -1e9) >= REASON_EVERY_S
        if phase is not record.phase or (reason != record.reason and due):
            await self._become(name, phase, reason)

    # -- the loop --------------------------------------------------------------------------------

    async def tick(self) -> None:
        """Advance every drain as far as it goes now."""
        self.disruptions.follow()
        if self.clock() - self._ledger_at >= LEDGER_EVERY_S:
            self._ledger_at = self.clock()
            await self.writes.ledger_pages()
        if not self.table.any_active():
            self.homeless.clear()
            return
        if not self.drains_allowed():
            for name, stored in list(self.table.drains.items()):
                if stored.record.active() and stored.record.reason != NOT_KNOWN:
                    await self._become(name, stored.record.phase, NOT_KNOWN)
            return
        for name in sorted(self.table.drains):
            if self.table.drains[name].record.active():
                await self._advance(name)
            else:
                self.homeless.pop(name, None)
                await self._roll_back(name)
        for name in {stored.record.drain for stored in self.table.steps.values()} - self.table.drains.keys():
            await self._roll_back(name)

    async def look(self) -> None:
        """One look at all drains; what fails is tried again with the next."""
        if self.fleet.catalog is None:
            return
        try:
            await self.tick()
        except PreconditionFailedError as conflict:
            log.info("drains: a key has changed: %s", ", ".join(conflict.keys))
            await self._refresh_after(conflict)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("drains: %s", error)
            await asyncio.sleep(AFTER_TROUBLE_S)

    async def _refresh_after(self, conflict: PreconditionFailedError) -> None:
        try:
            await self.writes.refresh(conflict.keys)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("drains: %s", error)
