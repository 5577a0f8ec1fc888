"""Drains in a simulated deployment: the operators' command against fakes, and an oracle for disruption budgets."""

import json
from dataclasses import dataclass, field
from typing import Any

from harness.simulation import Simulation, url_path
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
    """Return operations settings with drains enabled and a disruption budget, in jobs, for each team."""
    budgets = [DisruptionBudget(team, jobs=limit, period_s=PERIOD_S) for team, limit in jobs.items()]
    return Operations(DrainSettings(True, budgets))


@dataclass
class Loss:
    """A job that lost running tasks, and whether it has recovered."""

    job_id: str
    team: str
    last_loss_at: float
    running_before: int
    by_drain: bool
    first_at: float = 0.0
    restored_at: float | None = None

    @property
    def restored(self) -> bool:
        """Whether the job has recovered, so that as many of its tasks run as before, or was cancelled."""
        return self.restored_at is not None


@dataclass
class BudgetOracle:
    """Compares the disruptions seen on the workers with the budgets, without using the state of the controllers."""

    simulation: Simulation
    budgets: dict[str, int]
    # Count only the losses that drains cause: for scenarios in which the controllers can't learn of all other losses
    # in time.
    count_drains_only: bool = False
    losses: list[Loss] = field(default_factory=list)
    by_drains: list[str] = field(default_factory=list)

    def watch(self) -> "BudgetOracle":
        """Check the budgets from now on."""
        self.simulation.on_end.append(self.record_task_end)
        self.simulation.on_step.append(self.update_restored)
        return self

    def _running_task_count(self, job_id: str) -> int:
        return sum(
            task_id.rpartition("/")[0] == job_id and task.phase == "running"
            for worker in self.simulation.workers.values() for task_id, task in worker.tasks.items()
        )  # fmt: skip

    def _is_stopped_by_drain(self, job_id: str, worker: FakeWorker, task: Task, cause: str) -> bool:
        """Whether a task was stopped for a drain.

        This is the case if the task ended after a stop command with a grace period, and its machine is cordoned. For a
        task of a gang it is enough that any machine that runs a task of the gang is cordoned.
        """
        if cause != "halted" or not task.grace_s:
            return False
        stored = self.simulation.store.keys
        machines = [worker.name]
        if self.simulation.jobs[job_id].spec["shape"] == "ensemble":
            machines += [
                w.name for w in self.simulation.workers.values() if any(p.rpartition("/")[0] == job_id for p in w.tasks)
            ]
        return any(keys.CORDON_PREFIX + machine in stored for machine in machines)

    def record_task_end(self, worker: FakeWorker, task_id: str, task: Task, cause: str) -> None:
        """Record the end of a running task: a loss unless the task completed or a user cancelled its job."""
        job_id = task_id.rpartition("/")[0]
        job = self.simulation.jobs[job_id]
        if cause == "done" or job.cancel_requested:
            return
        open_loss = next((loss for loss in self.losses if loss.job_id == job_id and not loss.restored), None)
        if open_loss is not None:
            open_loss.last_loss_at = self.simulation.now()
            return
        by_drain = self._is_stopped_by_drain(job_id, worker, task, cause)
        self.losses.append(
            Loss(
                job_id,
                job.spec["owner"],
                self.simulation.now(),
                self._running_task_count(job_id),
                by_drain,
                self.simulation.now(),
            )
        )
        if by_drain:
            self.by_drains.append(job_id)
            used = self.used(job.spec["owner"])
            if used > self.budgets.get(job.spec["owner"], 10**9):
                self.simulation.violations.append(
                    f"budget: {used} jobs of {job.spec['owner']} at {self.simulation.now():.1f}"
                )

    def update_restored(self) -> None:
        """Mark the losses whose jobs have recovered or were cancelled."""
        for loss in self.losses:
            job = self.simulation.jobs[loss.job_id]
            remaining = job.spec["pieces"] - len(job.done)
            if not loss.restored and (
                job.cancel_requested or self._running_task_count(loss.job_id) >= min(loss.running_before, remaining)
            ):
                loss.restored_at = self.simulation.now()

    def used(self, team: str) -> int:
        """Return how many jobs of a team are disrupted now, or were within the budget's period.

        The leader counts a job that has recovered and is disrupted again as two disruptions. The oracle counts such a
        job once, because a task that was told to stop before the recovery may end just after the other tasks run
        again, and only the leader can tell that this belongs to the first disruption.
        """
        now = self.simulation.now()
        return len(
            {
                loss.job_id
                for loss in self.losses
                if loss.team == team
                and (loss.by_drain or not self.count_drains_only)
                and not (loss.restored and now > loss.last_loss_at + PERIOD_S)
            }
        )


class Operator:
    """Runs the drain command as an operator would from a shell, and parses its output."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        seeds = [PeerSeed(name, f"127.0.0.1:{7000 + i}") for i, name in enumerate(simulation.names) if i]
        services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
        self.settings = Settings(
            simulation.names[0], "127.0.0.1:7100", "127.0.0.1:7200", services, simulation.params, seeds
        )

    async def __call__(self, *arguments: str) -> tuple[int, Any]:
        """Run the command; return its exit code and the JSON value that it printed."""
        simulation = self.simulation
        store = KeyValueClient("127.0.0.1:2", simulation.params.state, simulation.params.size, simulation.now)
        client = CloudClient("127.0.0.1:1", 100.0, simulation.now)
        store.send_request = lambda _session, method, url, body, timeout: simulation.store.call(
            "operator", method, url_path(url), body, timeout
        )
        client.send_request = lambda _session, method, url, body, timeout: simulation.cloud.call(
            "operator", method, url_path(url), body, timeout
        )
        printed: list[str] = []
        command = DrainCommand(
            self.settings, simulation.operations or Operations(), store, client, printed.append, simulation.now,
            simulation.now, json=True
        )  # fmt: skip
        parsed = cli.build_parser().parse_args(["drain", *arguments, "--config", "-", "--json"])
        code = await execute(command, parsed)
        return code, json.loads(printed[0]) if printed else None

    async def start(self, name: str, *arguments: str) -> None:
        """Start a drain; fail if the command does not succeed."""
        code, _ = await self("start", name, *arguments)
        assert code == ExitCode.OK, (name, code)

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status of a drain as the command prints it."""
        code, value = await self("status", name)
        assert code == ExitCode.OK
        return value["drains"][0]

    def record(self, name: str) -> DrainRecord:
        """Return the stored record of a drain, read directly from the fake store."""
        return decode(self.simulation.store.keys[keys.DRAIN_PREFIX + name][0], DrainRecord)

    async def wait_for_phase(self, name: str, within_s: float, phase: str = "finished") -> None:
        """Wait until a drain has reached `phase`."""
        await self.simulation.wait_until(
            lambda: self.record(name).phase.value == phase,
            within_s,
            f"{name} is not {phase}: {self.record(name)}",
        )

    async def wait_for_reason(self, name: str, text: str, within_s: float) -> None:
        """Wait until the wait reason of a drain contains `text`."""
        await self.simulation.wait_until(
            lambda: text in self.record(name).wait_reason,
            within_s,
            f"{name} has no wait reason with {text!r}: {self.record(name)}",
        )


def cordoned(simulation: Simulation) -> set[str]:
    """Return the machines that have a cordon record in the store."""
    return {key.removeprefix(keys.CORDON_PREFIX) for key in simulation.store.keys if key.startswith(keys.CORDON_PREFIX)}


def drain_phases(simulation: Simulation) -> set[str]:
    """Return the phases of all stored drains."""
    return {value["phase"] for key, (value, _, _) in simulation.store.keys.items() if key.startswith(keys.DRAIN_PREFIX)}
