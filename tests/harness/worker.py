"""The stand-in for one machine's worker: heartbeats, leases, commands and tasks."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harness.simulation import Simulation

STEP_S = 0.1
WIRE_S = 0.002
RESPONSE_TIMEOUT_S = 4.0
SOON_S = 0.5  # from a change to the heartbeat that reports it
RETRY_S = 1.0


@dataclass
class Task:
    """A task on a machine: `phase` is the wire's, or `saving`, which the wire calls running."""

    attempt: int
    phase: str
    since: float
    cause: str | None = None
    stopped: float | None = None
    grace_s: float = 0.0  # the longest that a command to stop gave it

    def occupies_machine(self) -> bool:
        """Whether it is on its machine, as rules count it."""
        return self.phase in ("waiting", "running", "saving")


@dataclass
class FakeWorker:
    """One machine's worker."""

    simulation: "Simulation"
    name: str
    zone: str
    spot: bool
    boot_s: float = 0.0
    epoch: int = 1
    sequence: int = 0
    fencing_token: int = 0
    node: int = 0  # the index of the node that it sends to
    tasks: dict[str, Task] = field(default_factory=dict)
    lease_from: float = 0.0
    hung: bool = False
    mute: bool = False  # reaches no node
    deaf: bool = False  # its heartbeats arrive, responses don't reach it
    off: bool = False
    changed: bool = False
    sent_heartbeats: list[bytes] = field(default_factory=list)  # for late duplicates
    reached: Callable[[str], bool] = lambda node: True

    def listed_phase(self) -> str:
        """The machine's phase in the cloud's list."""
        return "booting" if self.simulation.now() < self.lease_from else "running"

    def gone(self) -> None:
        """The machine is off, and its tasks with it."""
        self.off = True
        self._kill_tasks()

    def _kill_tasks(self) -> None:
        """All tasks are over, and no heartbeat reports how."""
        for task_id, task in self.tasks.items():
            self.simulation.ends(self, task_id, task, "killed")
            task.phase = "exited"
        self.tasks.clear()

    def next_heartbeat(self) -> bytes:
        """The body of the next heartbeat, in the wire's fields."""
        self.sequence += 1
        statuses = [
            {
                "piece": task_id,
                "try": task.attempt,
                "phase": task.phase,
                **({"cause": task.cause} if task.cause else {}),
            }
            for task_id, task in self.tasks.items()
        ]
        return json.dumps(
            {"host": self.name, "hull": "g4", "yard": self.zone, "loaners": self.spot, "tenure": self.epoch,
             "tick": self.sequence, "mandate": self.fencing_token, "recallS": None, "pieces": statuses}
        ).encode()  # fmt: skip

    async def run(self) -> None:
        """Boot, then send heartbeats until the machine is off."""
        simulation = self.simulation
        await asyncio.sleep(self.boot_s + simulation.random.random())
        self.lease_from = simulation.now()
        last: float | None = None
        while not self.off:
            await asyncio.sleep(STEP_S)
            due_s = simulation.params.workers.report_s * simulation.random.uniform(0.75, 1.25)
            interval_s = SOON_S if self.changed else due_s
            if self.hung or (last is not None and simulation.now() - last < interval_s):
                continue
            last = simulation.now()
            self.changed = False
            # One that hung ends its tasks first: it reported them in the old epoch, had a response, and ran on.
            self.end_lease(simulation.now())
            await self.send_heartbeat()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and process its response."""
        simulation = self.simulation
        sent_at = simulation.now()
        epoch = self.epoch
        body = self.next_heartbeat()
        self.sent_heartbeats.append(body)
        name = simulation.names[self.node]
        response = await self._exchange(name, body)
        while self.hung:
            await asyncio.sleep(STEP_S)
        if self.off:
            return
        if response is None or simulation.now() - sent_at >= RESPONSE_TIMEOUT_S:
            response = 0, b"{}"
        status, raw = response
        fields = json.loads(raw)
        if status == 200:
            if epoch == self.epoch and fields.get("mandate", -1) >= self.fencing_token:
                self._renew_lease(sent_at, fields)
        elif status == 421 and fields.get("overseer") in simulation.names and fields["overseer"] != name:
            self.node = simulation.names.index(fields["overseer"])
            self.changed = True
        else:
            await asyncio.sleep(RETRY_S)
            self.node = (self.node + 1) % len(simulation.names)
            self.changed = True

    async def _exchange(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """The response of a node to a heartbeat; None where none reaches the worker in time."""
        if self.mute or not self.reached(name):
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return None
        await asyncio.sleep(WIRE_S)
        response = await self.simulation.deliver_heartbeat(name, body)
        await asyncio.sleep(WIRE_S)
        if self.deaf:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return None
        return response

    def _renew_lease(self, sent_at: float, fields: dict[str, Any]) -> None:
        """A leader answered: the lease counts from when the heartbeat was sent."""
        if fields["mandate"] > self.fencing_token:
            self.fencing_token = fields["mandate"]
            self.changed = True
        self.lease_from = sent_at
        self.execute_commands(fields["orders"])

    def execute_commands(self, commands: list[dict[str, Any]]) -> None:
        """Carry out the commands of a response, in the wire's fields."""
        for command in commands:
            self._execute(command["verb"], command["piece"], command["try"], command)
            self.changed = True

    def _execute(self, action: str, task_id: str, attempt: int, command: dict[str, Any]) -> None:
        task = self.tasks.get(task_id)
        if action == "launch":
            if task is None:
                self._launch(task_id, attempt)
            elif task.attempt != attempt:
                self.simulation.broken.append(f"in_use: {task_id} try {attempt} on {self.name}")
        elif task is not None and task.attempt == attempt:
            if action == "forget" and task.phase == "exited":
                del self.tasks[task_id]
            elif action == "stop" and task.phase != "exited":
                self.stop(task_id, task, command["windDownS"])

    def _launch(self, task_id: str, attempt: int) -> None:
        self.tasks[task_id] = Task(attempt, "pulling", self.simulation.now())
        for check in self.simulation.on_launch:
            check(self, task_id, attempt)

    def stop(self, task_id: str, task: Task, grace_s: float) -> None:
        """A task that has checkpoints, and time to save, saves first; a second stop without time ends it."""
        job = self.simulation.jobs[task_id.rpartition("/")[0]]
        spec = job.spec
        task.grace_s = max(task.grace_s, grace_s)
        if grace_s and task.phase == "saving":
            return
        if task.phase == "running" and job.save_s and spec["pinEveryS"] > 0 and grace_s >= spec["pinCostS"]:
            self.simulation.ends(self, task_id, task, "halted")
            task.phase, task.since = "saving", self.simulation.now()
        else:
            self.exit(task_id, task, "halted")

    def exit(self, task_id: str, task: Task, cause: str) -> None:
        """A task is over; heartbeats report its cause until it is forgotten."""
        self.simulation.ends(self, task_id, task, cause)
        task.phase, task.cause = "exited", cause
        self.changed = True

    def end_lease(self, now: float) -> None:
        """Begin the next epoch if the lease is over."""
        if now > self.lease_from + self.simulation.params.workers.lease_s:
            self._kill_tasks()
            self.epoch += 1
            self.lease_from = now
            self.changed = True

    def step(self, now: float) -> None:
        """Progress of tasks, and the lease."""
        if self.hung or self.lease_from == 0.0 or now < self.lease_from:
            return
        self.end_lease(now)
        for task_id, task in self.tasks.items():
            self.simulation.progress(self, task_id, task, now)
