"""A fake worker of one machine: heartbeats, leases, commands and tasks."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from harness.image_fetches import ImageFetches

if TYPE_CHECKING:
    from harness.simulation import Simulation

STEP_S = 0.1
NETWORK_DELAY_S = 0.002
RESPONSE_TIMEOUT_S = 4.0
FETCH_S = 1.0  # how long a machine without a model of image fetches takes to fetch an image
PROMPT_HEARTBEAT_S = 0.5  # interval to the next heartbeat if there is a change to report
RETRY_DELAY_S = 1.0


@dataclass
class Task:
    """A task on a machine. `phase` is the phase on the wire, or `saving`: a running task that saves a checkpoint."""

    attempt: int
    phase: str
    phase_since: float
    cause: str | None = None
    gang_incomplete_since: float | None = None  # time since which its gang is incomplete
    grace_s: float = 0.0  # the longest grace period of its stop commands

    def occupies_machine(self) -> bool:
        """Whether the task is on its machine in the sense of the platform's rules."""
        return self.phase in ("waiting", "running", "saving")


class ReceivedResponse(NamedTuple):
    """A response that a worker has executed, of which a copy may arrive later."""

    epoch: int  # that of the heartbeat to which it responded
    fields: dict[str, Any]


@dataclass
class FakeWorker:
    """The fake worker of one machine."""

    simulation: "Simulation"
    name: str
    zone: str
    spot: bool
    boot_s: float = 0.0
    epoch: int = 1
    sequence: int = 0
    fencing_token: int = 0
    node: int = 0  # index of the node to which it sends heartbeats
    tasks: dict[str, Task] = field(default_factory=dict)
    lease_from: float = 0.0
    hung: bool = False
    loses_heartbeats: bool = False  # its heartbeats reach no node
    loses_responses: bool = False  # its heartbeats reach nodes, but responses don't reach it
    powered_off: bool = False
    heartbeat_due_soon: bool = False
    sent_heartbeats: list[bytes] = field(default_factory=list)  # to be delivered again later, as delayed duplicates
    responses: list[ReceivedResponse] = field(default_factory=list)  # those that reached its machine, in order
    reached: Callable[[str], bool] = lambda node: True
    image_fetches: ImageFetches | None = None  # None: each task has its image after `FETCH_S`

    def listed_phase(self) -> str:
        """Return the phase of the machine in the machine list of the cloud."""
        return "booting" if self.simulation.now() < self.lease_from else "running"

    def power_off(self) -> None:
        """Turn the machine off, which kills its tasks."""
        self.powered_off = True
        self._kill_tasks()

    def _kill_tasks(self) -> None:
        """Kill all tasks; no heartbeat reports their end."""
        for task_id, task in self.tasks.items():
            self.simulation.notify_task_end(self, task_id, task, "killed")
            task.phase = "exited"
        self.tasks.clear()

    def next_heartbeat(self) -> bytes:
        """Return the body of the next heartbeat as it is sent."""
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
        """Boot, then send heartbeats until the machine is turned off."""
        simulation = self.simulation
        await asyncio.sleep(self.boot_s + simulation.random.random())
        self.lease_from = simulation.now()
        last: float | None = None
        while not self.powered_off:
            await asyncio.sleep(STEP_S)
            due_s = simulation.params.workers.report_s * simulation.random.uniform(0.75, 1.25)
            interval_s = PROMPT_HEARTBEAT_S if self.heartbeat_due_soon else due_s
            if self.hung or (last is not None and simulation.now() - last < interval_s):
                continue
            last = simulation.now()
            self.heartbeat_due_soon = False
            # A worker that has hung must kill its tasks before this heartbeat. Otherwise it would report them in the
            # old epoch, receive a response that renews its lease, and keep running them.
            self.end_lease(simulation.now())
            await self.send_heartbeat()

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and process the response."""
        simulation = self.simulation
        sent_at = simulation.now()
        epoch = self.epoch
        body = self.next_heartbeat()
        self.sent_heartbeats.append(body)
        name = simulation.names[self.node]
        response = await self._exchange(name, body)
        while self.hung:
            await asyncio.sleep(STEP_S)
        if self.powered_off:
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
            self.heartbeat_due_soon = True
        else:
            await asyncio.sleep(RETRY_DELAY_S)
            self.node = (self.node + 1) % len(simulation.names)
            self.heartbeat_due_soon = True

    async def _exchange(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """Send a heartbeat to a node; return the response, or None if none reaches the worker in time."""
        if self.loses_heartbeats or not self.reached(name):
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return None
        await asyncio.sleep(NETWORK_DELAY_S)
        epoch = self.epoch
        response = await self.simulation.deliver_heartbeat(name, body)
        await asyncio.sleep(NETWORK_DELAY_S)
        if response is not None and response[0] == 200:
            self.responses.append(ReceivedResponse(epoch, json.loads(response[1])))
            self.simulation.copy_response(self, self.responses[-1])
        if self.loses_responses:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return None
        return response

    def receive_copy(self, response: ReceivedResponse) -> None:
        """Receive a late copy of a response: it is dropped for a lower token or another epoch, and executed else."""
        token = response.fields["mandate"]
        if self.powered_off or response.epoch != self.epoch or token < self.fencing_token:
            return
        self.fencing_token = token
        self.execute_commands(response.fields["orders"])

    def _renew_lease(self, sent_at: float, fields: dict[str, Any]) -> None:
        """Renew the lease from the time at which the heartbeat was sent, and execute the commands of the response."""
        if fields["mandate"] > self.fencing_token:
            self.fencing_token = fields["mandate"]
            self.heartbeat_due_soon = True
        self.lease_from = sent_at
        self.execute_commands(fields["orders"])

    def execute_commands(self, commands: list[dict[str, Any]]) -> None:
        """Execute the commands of a response, which are in wire format."""
        for command in commands:
            self._execute(command["verb"], command["piece"], command["try"], command)
            self.heartbeat_due_soon = True

    def _execute(self, action: str, task_id: str, attempt: int, command: dict[str, Any]) -> None:
        task = self.tasks.get(task_id)
        if action == "launch":
            if task is None:
                self._launch(task_id, attempt)
            elif task.attempt != attempt:
                self.simulation.violations.append(f"in_use: {task_id} try {attempt} on {self.name}")
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
        """Stop a task.

        A running task of a job that saves checkpoints saves one first if the grace period is long enough for that.
        A further stop command without a grace period ends a task that is saving.
        """
        job = self.simulation.jobs[task_id.rpartition("/")[0]]
        spec = job.spec
        task.grace_s = max(task.grace_s, grace_s)
        if grace_s and task.phase == "saving":
            return
        if task.phase == "running" and job.save_s and spec["pinEveryS"] > 0 and grace_s >= spec["pinCostS"]:
            self.simulation.notify_task_end(self, task_id, task, "halted")
            task.phase, task.phase_since = "saving", self.simulation.now()
        else:
            self.exit(task_id, task, "halted")

    def exit(self, task_id: str, task: Task, cause: str) -> None:
        """End a task; heartbeats report the cause until a command to forget the task arrives."""
        self.simulation.notify_task_end(self, task_id, task, cause)
        task.phase, task.cause = "exited", cause
        self.heartbeat_due_soon = True

    def has_image(self, image: str, task: Task) -> bool:
        """Whether a task that waits for its image has it now."""
        if self.image_fetches is None:
            return self.simulation.now() - task.phase_since >= FETCH_S
        return image in self.image_fetches.cached

    def _advance_image_fetches(self, now: float) -> None:
        """Advance the fetches of the images for which tasks wait."""
        if self.image_fetches is None:
            return
        specs = [
            self.simulation.jobs[task_id.rpartition("/")[0]].spec
            for task_id, task in self.tasks.items()
            if task.phase == "pulling"
        ]
        self.image_fetches.advance({spec["bundle"]: spec["sizeGb"] for spec in specs}, STEP_S, now)

    def end_lease(self, now: float) -> None:
        """Kill all tasks and begin the next epoch if the lease has expired."""
        if now > self.lease_from + self.simulation.params.workers.lease_s:
            self._kill_tasks()
            self.epoch += 1
            self.lease_from = now
            self.heartbeat_due_soon = True

    def step(self, now: float) -> None:
        """Check the lease, and advance the tasks."""
        if self.hung or self.lease_from == 0.0 or now < self.lease_from:
            return
        self.end_lease(now)
        self._advance_image_fetches(now)
        for task_id, task in self.tasks.items():
            self.simulation.advance_task(self, task_id, task, now)
