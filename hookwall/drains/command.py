"""`hookwall drain`: preview, start, follow, abort and resume drains.

Operators act on the state service, as the nodes do: with one conditional write, which the leader picks up. Nothing but
`start`, `abort`, `resume` and `release` writes.
"""

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from enum import IntEnum
from typing import Any

import msgspec

from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.config import operations
from hookwall.config.platform import InvalidSettingsError, Settings
from hookwall.config.platform import load_settings as load_settings
from hookwall.drains import records, report, request
from hookwall.drains.arguments import drain_request
from hookwall.drains.bound import Load, LoadedJob, SolverMissingError, fewest_waves
from hookwall.drains.planner import Terms
from hookwall.drains.preview import Preview, Simulation
from hookwall.drains.records import DrainPhase, StepPhase
from hookwall.drains.request import DrainRequest, InvalidRequestError
from hookwall.drains.snapshot import Snapshot
from hookwall.storage.client import (
    KeyValueClient,
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
    RequestTooLargeError,
)

LOOK_S = 1.0  # between two looks of `status --wait`
TRIES = 3  # of a write that met the leader's


class ExitCode(IntEnum):
    """What scripts can tell apart."""

    OK = 0
    BAD_INPUT = 2
    NOT_FOUND = 3
    CONFLICT = 4  # somebody else changed it meanwhile
    UNAVAILABLE = 5  # the state service or the cloud does not answer, or refuses for now
    WAITING = 6  # the time to wait is over, the drain is not
    REFUSED = 7  # the state service calls the request malformed or too large


class DrainNotFoundError(Exception):
    """No such drain, or no such machine in it."""


class StateUnavailableError(Exception):
    """Something that the command needs does not answer."""


class DrainCommand:
    """One call of the command."""

    def __init__(
        self,
        settings: Settings,
        operations: operations.Operations,
        store: KeyValueClient,
        client: CloudClient,
        say: Callable[[str], None] = print,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings, self.operations, self.store, self.client = settings, operations, store, client
        self.say, self.wall, self.clock = say, wall, clock
        self.json = False

    # -- reading ---------------------------------------------------------------------------------

    async def _snapshot(self, with_list: bool) -> Snapshot:
        snapshot = Snapshot(self.settings, self.operations, self.store)
        await snapshot.read(self.client)
        if with_list and snapshot.cloud_trouble:
            raise StateUnavailableError(snapshot.cloud_trouble)
        return snapshot

    def _print(self, view: Any, lines: Sequence[str]) -> None:
        if self.json:
            self.say(msgspec.json.encode(view).decode())
            return
        for line in lines:
            self.say(line)

    def _print_status(self, status: report.StatusView) -> None:
        self._print(status, report.status_text(status))

    def _select(self, snapshot: Snapshot, asked: DrainRequest) -> list[str]:
        types = sorted(t.name for t in snapshot.fleet.catalog.types) if snapshot.fleet.catalog else []
        return request.select(asked.selection, snapshot.machines(), types, sorted(self.settings.platform.zones))

    def _check_budgets(self, asked: DrainRequest) -> None:
        teams = [team.name for team in self.settings.platform.teams]
        request.check_budgets(asked, teams, {budget.team: budget for budget in self.operations.drain.budgets})

    # -- actions ---------------------------------------------------------------------------------

    async def plan(self, asked: DrainRequest, fewest: bool) -> ExitCode:
        """What the drain would disrupt, wave by wave."""
        self._check_budgets(asked)
        snapshot = await self._snapshot(with_list=True)
        machines = self._select(snapshot, asked)
        simulation = Simulation(snapshot, machines, Terms(asked.batch, asked.finish_s, asked.unbudgeted))
        loads = _loads(simulation)
        preview = simulation.run()
        view = report.plan_view(len(machines), preview)
        if fewest:
            bound = _bound(loads, preview, asked, snapshot)
            view.fewest_waves, view.fewest_is_exact = bound.waves, bound.exact
        self._print(view, report.plan_text(view))
        return ExitCode.OK

    async def start(self, name: str, asked: DrainRequest) -> ExitCode:
        """Store a new drain. The same request again is answered with its state."""
        request.check_name(name)
        self._check_budgets(asked)
        snapshot = await self._snapshot(with_list=True)
        known = snapshot.drains.drains.get(name)
        if known is not None:
            return self._known_already(snapshot, name, known.record.request == asked.digest())
        machines = self._select(snapshot, asked)
        record = request.new_record(asked, machines, self.wall())
        await self.store.commit([(records.drain_key(name), 0)], [(records.drain_key(name), records.encode(record))])
        view = report.drain_view(name, record, {}, self.wall())
        old = snapshot.old_nodes()
        if old:
            view.reason = f"begins once these nodes run a program that knows drains: {', '.join(old)}"
        self._print_status(report.StatusView(drains=[view], budgets=[]))
        return ExitCode.OK

    def _known_already(self, snapshot: Snapshot, name: str, same: bool) -> ExitCode:
        self._print_status(report.status_view(snapshot, [name], self.wall()))
        if same:
            return ExitCode.OK
        raise InvalidRequestError(f"NAME: drain {name} exists already with other terms; choose another name")

    async def status(self, name: str | None, wait_s: float) -> ExitCode:
        """Drains and budgets; waits for the end of one drain, or of all."""
        until = self.clock() + wait_s
        while True:
            snapshot = await self._snapshot(with_list=False)
            names = sorted(snapshot.drains.drains) if name is None else [name]
            if name is not None and name not in snapshot.drains.drains:
                raise DrainNotFoundError(f"no drain is named {name}")
            goes_on = any(snapshot.drains.drains[n].record.active() for n in names)
            if not wait_s or not goes_on or self.clock() >= until:
                break
            await asyncio.sleep(LOOK_S)
        self._print_status(report.status_view(snapshot, names, self.wall()))
        return ExitCode.WAITING if wait_s and goes_on else ExitCode.OK

    async def abort(self, name: str) -> ExitCode:
        """No further step of a drain."""
        return await self._change(name, records.ACTIVE, request.aborted)

    async def resume(self, name: str) -> ExitCode:
        """An aborted drain goes on."""
        return await self._change(name, (DrainPhase.ABORTED,), request.resumed)

    async def _change(self, name: str, from_phases: Sequence[DrainPhase], change: Callable[..., Any]) -> ExitCode:
        """Change a drain that is in one of these phases; the leader may be changing it too."""
        key = records.drain_key(name)
        for attempt in range(TRIES):
            got = await self.store.get(key)
            if got is None:
                raise DrainNotFoundError(f"no drain is named {name}")
            record = records.decode(got[0], records.DrainRecord)
            if record.phase not in from_phases:
                allowed = ", ".join(phase.value for phase in from_phases)
                raise InvalidRequestError(
                    f"NAME: drain {name} is {record.phase.value}; this needs one that is {allowed}"
                )
            changed = change(record, self.wall())
            try:
                await self.store.commit([(key, got[1])], [(key, records.encode(changed))])
                break
            except PreconditionFailedError:
                if attempt == TRIES - 1:
                    raise
        view = report.drain_view(name, changed, {}, self.wall())
        self._print_status(report.StatusView(drains=[view], budgets=[]))
        return ExitCode.OK

    async def release(self, name: str, machines: Sequence[str]) -> ExitCode:
        """Put empty machines back in service after maintenance."""
        steps: dict[str, tuple[records.StepRecord, int]] = {}
        for machine in machines:
            got = await self.store.get(records.step_key(machine))
            step = None if got is None else records.decode(got[0], records.StepRecord)
            if got is None or step is None or step.drain != name:
                raise DrainNotFoundError(f"machine {machine} is not being drained by {name}")
            if step.phase is not StepPhase.EMPTY:
                raise InvalidRequestError(
                    f"MACHINE: {machine} is {step.phase.value}; only an empty one can be released"
                )
            steps[machine] = step, got[1]
        for machine, (step, stamp) in steps.items():
            changed = msgspec.structs.replace(step, phase=StepPhase.BACK, changed_at=self.wall())
            key = records.step_key(machine)
            await self.store.commit([(key, stamp)], [(key, records.encode(changed))])
        views = [report.step_view(m, msgspec.structs.replace(s, phase=StepPhase.BACK), self.wall())
                 for m, (s, _) in steps.items()]  # fmt: skip
        self._print(views, [f"{view.machine}: {view.phase}" for view in views])
        return ExitCode.OK


def _loads(simulation: Simulation) -> list[Load]:
    """The machines and their jobs, before the simulation moves them."""
    return [
        Load(name, tuple(LoadedJob(o.ref, o.team, o.ask.gang) for o in candidate.occupants))
        for name, candidate in simulation.candidates.items()
    ]


def _bound(loads: Sequence[Load], preview: Preview, asked: DrainRequest, snapshot: Snapshot) -> Any:
    """The fewest waves for what the preview could drain."""
    drained = {machine for wave in preview.waves for machine in wave.machines}
    budgets = snapshot.picture.budgets().whole
    return fewest_waves(
        [load for load in loads if load.machine in drained], asked.batch, budgets, max(1, len(preview.waves))
    )  # fmt: skip


def _action_of(command: DrainCommand, args: argparse.Namespace) -> Coroutine[Any, Any, ExitCode]:
    if args.action == "plan":
        return command.plan(drain_request(args), args.fewest)
    if args.action == "start":
        return command.start(args.name, drain_request(args))
    if args.action == "status":
        return command.status(args.name, args.wait)
    if args.action == "release":
        return command.release(args.name, args.machines)
    return command.abort(args.name) if args.action == "abort" else command.resume(args.name)


async def execute(command: DrainCommand, args: argparse.Namespace) -> ExitCode:
    """Carry out one action; failures become an exit code and a line on standard error."""
    command.json = args.json
    try:
        return await _action_of(command, args)
    except InvalidRequestError as error:
        return _failed(ExitCode.BAD_INPUT, str(error))
    except SolverMissingError as error:
        return _failed(ExitCode.BAD_INPUT, f"--fewest: {error}")
    except DrainNotFoundError as error:
        return _failed(ExitCode.NOT_FOUND, str(error))
    except PreconditionFailedError as error:
        return _failed(ExitCode.CONFLICT, f"changed by somebody else meanwhile (409): {', '.join(error.keys)}")
    except RequestTooLargeError as error:
        return _failed(ExitCode.REFUSED, f"the state service calls it malformed or too large (400): {error}")
    except RequestRejectedError as error:
        return _failed(ExitCode.UNAVAILABLE, f"the state service does not serve requests now: {error}")
    except OutcomeUnknownError as error:
        return _failed(
            ExitCode.UNAVAILABLE, f"no answer from the state service, what was asked may still happen: {error}"
        )
    except StateUnavailableError as error:
        return _failed(ExitCode.UNAVAILABLE, str(error))


def _failed(code: ExitCode, text: str) -> ExitCode:
    print(f"hookwall drain: {text}", file=sys.stderr)
    return code


def run(args: argparse.Namespace) -> int:
    """Entry point."""

    async def main() -> ExitCode:
        settings = load_settings(args.config)
        own = operations.load_operations(args.operations, settings.platform)
        store = KeyValueClient(settings.external.state, settings.platform.state, settings.platform.size, time.monotonic)
        client = CloudClient(settings.external.cloud, settings.platform.cloud.rps, time.monotonic)
        await store.open()
        await client.open()
        try:
            return await execute(DrainCommand(settings, own, store, client), args)
        finally:
            for session in (store.session, client.session):
                if session is not None:
                    await session.close()

    try:
        return int(asyncio.run(main()))
    except InvalidSettingsError as error:
        return int(_failed(ExitCode.BAD_INPUT, str(error)))
