"""The stand-in for one machine's worker: heartbeats, leases, commands and tasks."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harness.simulation import Simulation

STEP_S = 0.1
WIRE_S = 0.002


@dataclass
class Task:
    attempt: int
    phase: str
    since: float
    cause: str | None = None
    stopped: float | None = None
    grace_s: float = 0.0  # the longest that a command to stop gave it

    def there(self) -> bool:
        """On its machine, as rules count it."""
        return self.phase in ("waiting", "running", "saving")


@dataclass
class FakeWorker:
    """One machine's worker."""

    simulation: "Simulation"
    name: str
    zone: str
    spot: bool
    boot_s: float = 0.0
    tenure: int = 1
    tick: int = 0
    token: int = 0
    node: int = 0
    tasks: dict[str, Task] = field(default_factory=dict)
    lease_from: float = 0.0
    hung: bool = False
    mute: bool = False  # reaches no node
    deaf: bool = False  # its reports arrive, answers don't reach it
    off: bool = False
    changed: bool = False
    to_forget: set[str] = field(default_factory=set)
    sent: list[bytes] = field(default_factory=list)  # reports, for late copies
    reached: Callable[[str], bool] = lambda node: True

    def listed(self) -> str:
        return "booting" if self.simulation.now() < self.lease_from else "running"

    def gone(self) -> None:
        self.off = True
        self._end_all()

    def _end_all(self) -> None:
        """All tasks are over, and nobody hears how."""
        for piece, task in self.tasks.items():
            self.simulation.ends(self, piece, task, "killed")
            task.phase = "exited"
        self.tasks.clear()

    def report(self) -> bytes:
        self.tick += 1
        pieces = [
            {"piece": p, "try": t.attempt, "phase": t.phase, **({"cause": t.cause} if t.cause else {})}
            for p, t in self.tasks.items()
        ]
        return json.dumps(
            {"host": self.name, "hull": "g4", "yard": self.zone, "loaners": self.spot, "tenure": self.tenure,
             "tick": self.tick, "mandate": self.token, "recallS": None, "pieces": pieces}
        ).encode()  # fmt: skip

    async def run(self) -> None:
        w = self.simulation
        await asyncio.sleep(self.boot_s + w.random.random())
        self.lease_from = w.now()
        last = -1e9
        while not self.off:
            await asyncio.sleep(STEP_S)
            due = w.params.workers.report_s * w.random.uniform(0.75, 1.25)
            if self.hung or w.now() - last < (0.5 if self.changed else due):
                continue
            last, self.changed = w.now(), False
            # One that hung ends its tasks first: it reported them in the old session, had an answer, and ran on.
            self.end_lease(w.now())
            await self.ask()

    async def ask(self) -> None:
        """One report and its answer."""
        w, sent, tenure = self.simulation, self.simulation.now(), self.tenure
        body = self.report()
        self.sent.append(body)
        name = w.names[self.node]
        answer = None
        if self.mute or not self.reached(name):
            await asyncio.sleep(4.0)
        else:
            await asyncio.sleep(WIRE_S)
            answer = await w.beat(name, body)
            await asyncio.sleep(WIRE_S)
            if self.deaf:
                await asyncio.sleep(4.0)
                answer = None
        while self.hung:
            await asyncio.sleep(STEP_S)
        if self.off:
            return
        status, raw = answer if answer is not None and w.now() - sent < 4.0 else (0, b"{}")
        got = json.loads(raw)
        if status == 200:
            if got.get("mandate", -1) < self.token or tenure != self.tenure:
                return
            if got["mandate"] > self.token:
                self.token, self.changed = got["mandate"], True
            self.lease_from = sent
            self.command(got["orders"])
        elif status == 421 and got.get("overseer") in w.names and got["overseer"] != name:
            self.node = w.names.index(got["overseer"])
            self.changed = True
        else:
            await asyncio.sleep(1.0)
            self.node = (self.node + 1) % len(w.names)
            self.changed = True

    def command(self, orders: list[dict]) -> None:
        w = self.simulation
        for o in orders:
            piece, task = o["piece"], self.tasks.get(o["piece"])
            if o["verb"] == "launch":
                if task is None:
                    self.tasks[piece] = Task(o["try"], "pulling", w.now())
                    for check in w.on_launch:
                        check(self, piece, o["try"])
                elif task.attempt != o["try"]:
                    w.broken.append(f"in_use: {piece} try {o['try']} on {self.name}")
            elif task is not None and task.attempt == o["try"]:
                if o["verb"] == "forget" and task.phase == "exited":
                    del self.tasks[piece]
                elif o["verb"] == "stop" and task.phase != "exited":
                    self.stop(piece, task, o["windDownS"])
            self.changed = True

    def stop(self, piece: str, task: Task, grace_s: float) -> None:
        """A task that has checkpoints, and time to save, saves first; a second stop without time ends it."""
        job = self.simulation.jobs[piece.rpartition("/")[0]]
        spec = job.spec
        task.grace_s = max(task.grace_s, grace_s)
        if grace_s and task.phase == "saving":
            return
        if task.phase == "running" and job.save_s and spec["pinEveryS"] > 0 and grace_s >= spec["pinCostS"]:
            self.simulation.ends(self, piece, task, "halted")
            task.phase, task.since = "saving", self.simulation.now()
        else:
            self.exit(piece, task, "halted")

    def exit(self, piece: str, task: Task, cause: str) -> None:
        self.simulation.ends(self, piece, task, cause)
        task.phase, task.cause = "exited", cause
        self.changed = True

    def end_lease(self, now: float) -> None:
        """Begin the next session if the lease is over."""
        if now > self.lease_from + self.simulation.params.workers.lease_s:
            self._end_all()
            self.tenure += 1
            self.lease_from = now
            self.changed = True

    def step(self, now: float) -> None:
        """Progress of tasks, and the lease."""
        if self.hung or self.lease_from == 0.0 or now < self.lease_from:
            return
        self.end_lease(now)
        for piece, task in self.tasks.items():
            self.simulation.progress(self, piece, task, now)
