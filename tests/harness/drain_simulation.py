"""Drains in a simulated deployment: the operator's command against stand-ins, and the ground truth about budgets."""

import json
from dataclasses import dataclass, field
from typing import Any

from harness.simulation import Simulation, path
from harness.worker import FakeWorker, Task
from hookwall import cli
from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.config.operations import DisruptionBudget, DrainSettings, Operations
from hookwall.config.platform import ExternalServices, PeerSeed, Settings, TeamQuota
from hookwall.drains.command import DrainCommand, ExitCode
from hookwall.drains.command_line import execute
from hookwall.drains.records import DrainRecord, decode
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient

PERIOD_S = 20.0
TEAMS = [TeamQuota("red"), TeamQuota("blue")]


def operations(**jobs: int) -> Operations:
    """Budgets by team, as numbers of jobs."""
    budgets = [DisruptionBudget(team, jobs=limit, period_s=PERIOD_S) for team, limit in jobs.items()]
    return Operations(DrainSettings(True, budgets))


@dataclass
class Loss:
    """A job that lost running tasks."""

    ref: str
    team: str
    at: float
    ran: int
    by_drain: bool
    first_at: float = 0.0
    restored_at: float | None = None

    @property
    def restored(self) -> bool:
        """Whether the job runs again as before."""
        return self.restored_at is not None


@dataclass
class BudgetOracle:
    """What workers show of lost work, compared with the budgets; has nothing from the controllers' memory."""

    simulation: Simulation
    budgets: dict[str, int]
    of_drains_only: bool = False  # where controllers can't know in time of everything else that is lost
    losses: list[Loss] = field(default_factory=list)
    by_drains: list[str] = field(default_factory=list)

    def watch(self) -> "BudgetOracle":
        self.simulation.on_end.append(self.ended)
        self.simulation.on_step.append(self.follow)
        return self

    def _running(self, ref: str) -> int:
        return sum(
            piece.rpartition("/")[0] == ref and task.phase == "running"
            for worker in self.simulation.workers.values() for piece, task in worker.tasks.items()
        )  # fmt: skip

    def _by_drain(self, ref: str, worker: FakeWorker, task: Task, cause: str) -> bool:
        """Whether it got an orderly stop command, and its machine, or one of its gang's, is being drained."""
        if cause != "halted" or not task.grace_s:
            return False
        stored = self.simulation.service.keys
        machines = [worker.name]
        if self.simulation.jobs[ref].spec["shape"] == "ensemble":
            machines += [
                w.name for w in self.simulation.workers.values() if any(p.rpartition("/")[0] == ref for p in w.tasks)
            ]
        return any(keys.CORDON_PREFIX + machine in stored for machine in machines)

    def ended(self, worker: FakeWorker, piece: str, task: Task, cause: str) -> None:
        """A running task is over: a loss unless it is done or its user cancelled it."""
        ref = piece.rpartition("/")[0]
        job = self.simulation.jobs[ref]
        if cause == "done" or job.asked_to_cancel:
            return
        open_loss = next((loss for loss in self.losses if loss.ref == ref and not loss.restored), None)
        if open_loss is not None:
            open_loss.at = self.simulation.now()
            return
        by_drain = self._by_drain(ref, worker, task, cause)
        self.losses.append(
            Loss(ref, job.spec["owner"], self.simulation.now(), self._running(ref), by_drain, self.simulation.now())
        )
        if by_drain:
            self.by_drains.append(ref)
            used = self.used(job.spec["owner"])
            if used > self.budgets.get(job.spec["owner"], 10**9):
                self.simulation.broken.append(
                    f"budget: {used} jobs of {job.spec['owner']} at {self.simulation.now():.1f}"
                )

    def follow(self) -> None:
        """Which jobs run again as before."""
        for loss in self.losses:
            job = self.simulation.jobs[loss.ref]
            left = job.spec["pieces"] - len(job.done)
            if not loss.restored and (job.asked_to_cancel or self._running(loss.ref) >= min(loss.ran, left)):
                loss.restored_at = self.simulation.now()

    def used(self, team: str) -> int:
        """How many jobs of a team are disrupted now, or were within the period.

        The leader counts a job that recovered and is disrupted again twice. Here it is one: a task that got its stop
        command before may end just after the others have come back, and only the leader knows that this is one
        disruption.
        """
        now = self.simulation.now()
        return len(
            {
                loss.ref
                for loss in self.losses
                if loss.team == team
                and (loss.by_drain or not self.of_drains_only)
                and not (loss.restored and now > loss.at + PERIOD_S)
            }
        )


class Operator:
    """Calls the command as a shell would, and reads what it prints."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        seeds = [PeerSeed(name, f"127.0.0.1:{7000 + i}") for i, name in enumerate(simulation.names) if i]
        services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
        self.settings = Settings(
            simulation.names[0], "127.0.0.1:7100", "127.0.0.1:7200", services, simulation.params, seeds
        )

    async def __call__(self, *words: str) -> tuple[int, Any]:
        """Exit code and printed value."""
        w = self.simulation
        store = KeyValueClient("127.0.0.1:2", w.params.state, w.params.size, w.now)
        client = CloudClient("127.0.0.1:1", 100.0, w.now)
        store.send_request = lambda s, method, url, body, t: w.service.call("operator", method, path(url), body, t)
        client.call = lambda s, method, url, body, t: w.cloud.call("operator", method, path(url), body, t)
        printed: list[str] = []
        command = DrainCommand(
            self.settings, w.operations or Operations(), store, client, printed.append, w.now, w.now, json=True
        )  # fmt: skip
        args = cli.parser().parse_args(["drain", *words, "--config", "-", "--json"])
        code = await execute(command, args)
        return code, json.loads(printed[0]) if printed else None

    async def start(self, name: str, *words: str) -> None:
        code, _ = await self("start", name, *words)
        assert code == ExitCode.OK, (name, code)

    async def status(self, name: str) -> dict[str, Any]:
        code, value = await self("status", name)
        assert code == ExitCode.OK
        return value["drains"][0]

    def record(self, name: str) -> DrainRecord:
        """What is stored, read without a request."""
        return decode(self.simulation.service.keys[keys.DRAIN_PREFIX + name][0], DrainRecord)

    async def ends(self, name: str, within_s: float, phase: str = "finished") -> None:
        await self.simulation.until(
            lambda: self.record(name).phase.value == phase, within_s, f"{name} has not {phase}: {self.record(name)}"
        )

    async def waits_for(self, name: str, text: str, within_s: float) -> None:
        await self.simulation.until(
            lambda: text in self.record(name).wait_reason,
            within_s,
            f"{name} doesn't wait for {text!r}: {self.record(name)}",
        )


def cordoned(simulation: Simulation) -> set[str]:
    """The machines that are out of service for a drain, as stored."""
    return {
        key.removeprefix(keys.CORDON_PREFIX) for key in simulation.service.keys if key.startswith(keys.CORDON_PREFIX)
    }


def drain_phases(simulation: Simulation) -> set[str]:
    return {
        value["phase"] for key, (value, _, _) in simulation.service.keys.items() if key.startswith(keys.DRAIN_PREFIX)
    }
