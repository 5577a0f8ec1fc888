"""`hookwall drain`: preview, start, follow, abort and resume drains.

Invariant: like the nodes, the command changes the key-value store with conditional writes, which the leader observes.
Only `start`, `abort`, `resume` and `release` write.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import NamedTuple

import msgspec

from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.config.operations import Operations
from hookwall.config.platform import Settings
from hookwall.drains import drain_keys, records, report, request
from hookwall.drains.cluster_snapshot import ClusterSnapshot
from hookwall.drains.drain_plan import DrainTerms
from hookwall.drains.errors import ClusterUnavailableError, DrainNotFoundError, InvalidDrainRequestError
from hookwall.drains.lower_bound import LoadedJob, MachineLoad, WaveLowerBound, wave_lower_bound
from hookwall.drains.preview import DrainSimulation, Preview
from hookwall.drains.records import DrainPhase, DrainRecord, StepPhase, StepRecord
from hookwall.drains.request import DrainRequest
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import PreconditionFailedError

POLL_INTERVAL_S = 1.0  # interval at which `status --wait` reads the cluster
MAX_ATTEMPTS = 3  # maximum attempts of a write that conflicts with a concurrent change, as by the leader
ABSENT = 0  # the version of a key that does not exist


class ExitCode(IntEnum):
    """Exit codes, by which scripts distinguish the outcomes of a command."""

    OK = 0
    BAD_INPUT = 2
    NOT_FOUND = 3
    CONFLICT = 4  # the record was changed concurrently
    UNAVAILABLE = 5  # the key-value store or the cloud does not answer, or rejects requests temporarily
    WAITING = 6  # `--wait` timed out before the drain ended
    REFUSED = 7  # the key-value store rejects the request as malformed or too large


class _StoredStep(NamedTuple):
    """A step and the version of its key."""

    step: StepRecord
    version: int


class DrainCommand:
    """One invocation of the command. Its actions raise the errors of `drains` and of the key-value store."""

    def __init__(
        self,
        settings: Settings,
        operations: Operations,
        store: KeyValueClient,
        client: CloudClient,
        print_line: Callable[[str], None] = print,
        time_of_day: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
        *,
        json: bool = False,
    ) -> None:
        """Create a command that prints through `print_line`, as one JSON value or as text.

        `time_of_day` and `clock`, which is monotonic, return seconds.
        """
        self.settings = settings
        self.operations = operations
        self.store = store
        self.client = client
        self.print_line = print_line
        self.time_of_day = time_of_day
        self.clock = clock
        self.json = json

    # -- actions ---------------------------------------------------------------------------------

    async def plan(self, requested: DrainRequest, with_lower_bound: bool) -> ExitCode:
        """Print what the drain would disrupt, wave by wave."""
        self._require_budgets(requested)
        snapshot = await self._read_cluster_with_inventory()
        machines = self._select_machines(snapshot, requested)
        terms = DrainTerms(requested.batch_size, requested.finish_grace_s, requested.allow_unbudgeted)
        simulation = DrainSimulation(snapshot, machines, terms)
        loads = _machine_loads(simulation)
        preview = simulation.run()
        view = report.plan_view(len(machines), preview)
        if with_lower_bound:
            bound = _lower_bound(loads, preview, requested, snapshot)
            view.fewest_waves = bound.waves
            view.fewest_is_exact = bound.exact
        self._print(view, report.plan_text(view))
        return ExitCode.OK

    async def start(self, name: str, requested: DrainRequest) -> ExitCode:
        """Store a new drain. If the same request is already stored under this name, print its state instead."""
        request.validate_name(name)
        self._require_budgets(requested)
        snapshot = await self._read_cluster_with_inventory()
        known = snapshot.drains.drains.get(name)
        if known is not None:
            return self._print_existing(snapshot, name, known.record.request_digest == requested.digest())
        machines = self._select_machines(snapshot, requested)
        record = request.new_drain_record(requested, machines, self.time_of_day())
        key = drain_keys.drain_key(name)
        await self.store.commit([Precondition(key, ABSENT)], [Put(key, records.encode(record))])
        view = report.drain_view(name, record, {}, self.time_of_day())
        outdated_nodes = snapshot.nodes_without_drains()
        if outdated_nodes:
            view.reason = f"begins once these nodes run a program that knows drains: {', '.join(outdated_nodes)}"
        self._print_status(report.StatusView(drains=[view], budgets=[]))
        return ExitCode.OK

    async def status(self, name: str | None, wait_s: float) -> ExitCode:
        """Print drains and budgets, after waiting up to `wait_s` seconds for the end of one drain, or of all drains."""
        until = self.clock() + wait_s
        while True:
            snapshot = await self._read_cluster()
            drains = snapshot.drains.drains
            if name is not None and name not in drains:
                raise DrainNotFoundError(f"no drain is named {name}")
            names = sorted(drains) if name is None else [name]
            active = any(drains[drain].record.is_active() for drain in names)
            if not wait_s or not active or self.clock() >= until:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._print_status(report.status_view(snapshot, names, self.time_of_day()))
        return ExitCode.WAITING if wait_s and active else ExitCode.OK

    async def abort(self, name: str) -> ExitCode:
        """Abort a drain: the leader takes no further step for it."""
        return await self._change_drain(name, records.ACTIVE_PHASES, request.aborted_record)

    async def resume(self, name: str) -> ExitCode:
        """Continue an aborted drain."""
        return await self._change_drain(name, (DrainPhase.ABORTED,), request.resumed_record)

    async def release(self, name: str, machines: Sequence[str]) -> ExitCode:
        """Put empty machines back in service after maintenance."""
        steps = {machine: await self._read_empty_step(name, machine) for machine in machines}
        for machine, (step, version) in steps.items():
            changed = msgspec.structs.replace(step, phase=StepPhase.RELEASED, changed_at=self.time_of_day())
            key = drain_keys.step_key(machine)
            await self.store.commit([Precondition(key, version)], [Put(key, records.encode(changed))])
        views = [
            report.step_view(machine, msgspec.structs.replace(step, phase=StepPhase.RELEASED), self.time_of_day())
            for machine, (step, _) in steps.items()
        ]
        self._print(views, [f"{view.machine}: {view.phase}" for view in views])
        return ExitCode.OK

    # -- reading ---------------------------------------------------------------------------------

    async def _read_cluster(self) -> ClusterSnapshot:
        snapshot = ClusterSnapshot(self.settings, self.operations, self.store)
        await snapshot.read(self.client)
        return snapshot

    async def _read_cluster_with_inventory(self) -> ClusterSnapshot:
        snapshot = await self._read_cluster()
        if snapshot.cloud_failure:
            raise ClusterUnavailableError(snapshot.cloud_failure)
        return snapshot

    async def _read_empty_step(self, name: str, machine: str) -> _StoredStep:
        """Read the step of a machine that this drain has emptied, or raise an error."""
        stored = await self.store.get(drain_keys.step_key(machine))
        step = None if stored is None else records.decode(stored.value, StepRecord)
        if stored is None or step is None or step.drain != name:
            raise DrainNotFoundError(f"machine {machine} is not being drained by {name}")
        if step.phase is not StepPhase.EMPTY:
            raise InvalidDrainRequestError(
                f"MACHINE: {machine} is {step.phase.value}; only an empty one can be released"
            )
        return _StoredStep(step, stored.version)

    def _select_machines(self, snapshot: ClusterSnapshot, requested: DrainRequest) -> list[str]:
        zones = sorted(self.settings.platform.zones)
        return request.select_machines(
            requested.selection, snapshot.selectable_machines(), snapshot.machine_types(), zones
        )

    def _require_budgets(self, requested: DrainRequest) -> None:
        teams = [team.name for team in self.settings.platform.teams]
        budgeted = {budget.team: budget for budget in self.operations.drain.budgets}
        request.require_budgets(requested, teams, budgeted)

    # -- changing --------------------------------------------------------------------------------

    async def _change_drain(
        self, name: str, from_phases: Sequence[DrainPhase], change: Callable[[DrainRecord, float], DrainRecord]
    ) -> ExitCode:
        """Change a drain that is in one of these phases. Retry if the leader has changed it concurrently."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                changed = await self._try_change(name, from_phases, change)
                break
            except PreconditionFailedError:
                if attempt == MAX_ATTEMPTS:
                    raise
        view = report.drain_view(name, changed, {}, self.time_of_day())
        self._print_status(report.StatusView(drains=[view], budgets=[]))
        return ExitCode.OK

    async def _try_change(
        self, name: str, from_phases: Sequence[DrainPhase], change: Callable[[DrainRecord, float], DrainRecord]
    ) -> DrainRecord:
        key = drain_keys.drain_key(name)
        stored = await self.store.get(key)
        if stored is None:
            raise DrainNotFoundError(f"no drain is named {name}")
        record = records.decode(stored.value, DrainRecord)
        if record.phase not in from_phases:
            allowed = ", ".join(phase.value for phase in from_phases)
            raise InvalidDrainRequestError(
                f"NAME: drain {name} is {record.phase.value}; this needs one that is {allowed}"
            )
        changed = change(record, self.time_of_day())
        await self.store.commit([Precondition(key, stored.version)], [Put(key, records.encode(changed))])
        return changed

    # -- printing --------------------------------------------------------------------------------

    def _print(self, view: object, lines: Sequence[str]) -> None:
        if self.json:
            self.print_line(msgspec.json.encode(view).decode())
            return
        for line in lines:
            self.print_line(line)

    def _print_status(self, status: report.StatusView) -> None:
        self._print(status, report.status_text(status))

    def _print_existing(self, snapshot: ClusterSnapshot, name: str, same_request: bool) -> ExitCode:
        self._print_status(report.status_view(snapshot, [name], self.time_of_day()))
        if same_request:
            return ExitCode.OK
        raise InvalidDrainRequestError(f"NAME: drain {name} exists already with other terms; choose another name")


def _machine_loads(simulation: DrainSimulation) -> list[MachineLoad]:
    """The machines and their jobs; to be called before the simulation evicts any."""
    return [
        MachineLoad(
            name,
            tuple(LoadedJob(occupant.job_id, occupant.team, occupant.request.gang) for occupant in candidate.occupants),
        )
        for name, candidate in simulation.candidates.items()
    ]


def _lower_bound(
    loads: Sequence[MachineLoad], preview: Preview, requested: DrainRequest, snapshot: ClusterSnapshot
) -> WaveLowerBound:
    """The fewest waves for the machines that the preview could drain."""
    drained = {machine for wave in preview.waves for machine in wave.machines}
    drained_loads = [load for load in loads if load.machine in drained]
    budgets = snapshot.planning_view.team_budgets().total
    return wave_lower_bound(drained_loads, requested.batch_size, budgets, max(1, len(preview.waves)))
