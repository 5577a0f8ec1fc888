"""All changes that the leader makes to drains and to the steps of their machines.

Invariant: each step is stored before it is acted on. A job is recorded in the ledger, and the ledger is stored, before
the first command to stop the job is sent. A new leader therefore knows every job that may have been stopped. If it
can't tell whether a stop command was sent, it counts the job as disrupted anyway.
"""

import logging
from collections.abc import Callable, Sequence

import msgspec

from hookwall.drains.disruption_recorder import DisruptionRecorder
from hookwall.drains.drain_plan import Eviction
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.drain_writer import DrainWriter
from hookwall.drains.records import DrainPhase, MachineOutcome, StepPhase, StepRecord
from hookwall.workers.fleet import Fleet
from hookwall.workers.graceful_stop import stop_grace_s

log = logging.getLogger(__name__)


class DrainTransitions:
    """Stores a change, then carries it out.

    Each method raises the errors of `DrainWriter`, and has then changed nothing else.

    Attributes:
        progressed_at: by drain, when it began or one of its machines last advanced, on the monotonic clock in seconds.
        reason_stored_at: by drain, when its phase or reason was last stored, on the same clock.
    """

    def __init__(
        self,
        table: DrainTable,
        writer: DrainWriter,
        fleet: Fleet,
        disruptions: DisruptionRecorder,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
    ) -> None:
        """Change `table` through `writer`; `clock`, which is monotonic, and `time_of_day` return seconds."""
        self.table = table
        self.writer = writer
        self.fleet = fleet
        self.disruptions = disruptions
        self.clock = clock
        self.time_of_day = time_of_day
        self.progressed_at: dict[str, float] = {}
        self.reason_stored_at: dict[str, float] = {}

    def reset(self) -> None:
        """Begin a leadership: it is not known when drains last made progress."""
        self.progressed_at.clear()
        self.reason_stored_at.clear()

    # -- drains ----------------------------------------------------------------------------------

    async def transition_to(self, name: str, phase: DrainPhase, reason: str) -> None:
        """Change a drain's phase or reason; every such change by the leader is made here."""
        record = self.table.drains[name].record
        now = self.time_of_day()
        if phase is not record.phase:
            log.info(
                "drain phase changed: drain=%s from=%s to=%s reason=%s", name, record.phase.value, phase.value, reason
            )
        self.reason_stored_at[name] = self.clock()
        await self.writer.write_drain(name, record.transitioned(phase, reason, now))

    async def begin(self, name: str) -> None:
        """Begin a requested drain."""
        await self.transition_to(name, DrainPhase.DRAINING, "")
        self.progressed_at[name] = self.clock()

    async def remove_machines(self, name: str, machines: Sequence[str], outcome: MachineOutcome) -> None:
        """Remove machines from a drain permanently."""
        record = self.table.drains[name].record
        await self.writer.remove_machines(name, machines, record.without_machines(machines, outcome))
        self.progressed_at[name] = self.clock()
        log.info(
            "machines left drain: drain=%s machines=%d outcome=%s", name, len(machines), outcome.value
        )  # fmt: skip

    # -- steps -----------------------------------------------------------------------------------

    async def cordon(self, name: str, machine: str) -> None:
        """Cordon a machine, so that it receives no new work, and drop its reservation."""
        now = self.time_of_day()
        step = StepRecord(drain=name, phase=StepPhase.CORDONED, cordoned_at=now, changed_at=now)
        await self._write_step(name, machine, step)
        known = self.fleet.machines.get(machine)
        if known is not None:
            known.reserved_for = ""

    async def evict(self, name: str, eviction: Eviction) -> None:
        """Evict jobs from a machine: store the ledger, then the step, then issue the stop commands."""
        for occupant in eviction.occupants:
            job = self.fleet.table.open_jobs.get(occupant.job_id)
            if job is not None:
                self.disruptions.charge_eviction(job)
        await self.writer.write_ledger()
        step = self.table.steps[eviction.machine].record
        disrupted_jobs = step.disrupted_jobs + len(eviction.occupants)
        await self._write_step(
            name, eviction.machine, self._changed(step, StepPhase.DRAINING, disrupted_jobs=disrupted_jobs)
        )
        self._request_stops(name, eviction)
        self.disruptions.confirm_evictions(eviction.job_ids())
        self.fleet.on_change()

    def _request_stops(self, name: str, eviction: Eviction) -> None:
        """Request the stop of the jobs' tasks, which get the usual grace period for a checkpoint."""
        machine = self.fleet.machines.get(eviction.machine)
        if machine is None:
            return
        job_ids = eviction.job_ids()
        for job, allocation in list(machine.allocations.values()):
            if job.job_id in job_ids and job.spec is not None:
                self.fleet.request_stop(job, allocation, stop_grace_s(job.spec), f"drain {name}")

    async def mark_empty(self, name: str, machine: str) -> None:
        """Store that no task remains on a machine."""
        step = self.table.steps[machine].record
        await self._write_step(name, machine, self._changed(step, StepPhase.EMPTY))

    async def uncordon(self, name: str, machine: str) -> None:
        """Put a machine back in service."""
        await self.writer.uncordon(name, machine)
        log.info("machine uncordoned: drain=%s machine=%s", name, machine)
        self.fleet.on_change()

    def _changed(self, step: StepRecord, phase: StepPhase, **changes: int) -> StepRecord:
        return msgspec.structs.replace(step, phase=phase, changed_at=self.time_of_day(), **changes)

    async def _write_step(self, name: str, machine: str, step: StepRecord) -> None:
        await self.writer.write_step(name, machine, step)
        self.progressed_at[name] = self.clock()
