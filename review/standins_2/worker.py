# ruff: noqa: ASYNC110
"""A worker: reports, leases, tokens, image fetches, tasks and gangs, as the page describes them."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from standins_2.cluster import Cluster, UserJob

STEP_S = 0.05
RESPONSE_S = 4.0
NEXT_NODE_S = 1.0
PROMPT_S = 0.5


@dataclass
class Task:
    """One attempt of a task on a machine."""

    piece: str
    attempt: int
    phase: str
    since: float
    cause: str | None = None
    stored: bool = False
    broken_since: float | None = None  # of a running gang: since when a mate is missing

    @property
    def ref(self) -> str:
        """The job's id."""
        return self.piece.rpartition("/")[0]

    def on_machine(self) -> bool:
        """Whether it counts as on its machine: from its image until it exits."""
        return self.phase in ("waiting", "running", "saving")


@dataclass
class Worker:
    """The worker of one machine."""

    cluster: "Cluster"
    name: str
    hull: dict[str, Any]
    zone: str
    spot: bool
    boot_s: float
    tenure: int = 1
    tick: int = 0
    mandate: int = 0
    node: int = 0
    order: list[int] = field(default_factory=list)  # in which order it tries the nodes; empty: as they are listed
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    fetched: dict[str, float] = field(default_factory=dict)  # GB of images that are being fetched
    pull_gb_per_s: float = 0.0
    renewed_at: float = 0.0
    up: bool = False
    gone: bool = False
    hung: bool = False
    unreachable: dict[str, str] = field(default_factory=dict)  # node -> "hold" or "reset"
    changed: bool = False
    report_at: float | None = None  # set by a case: when the next report is sent
    recall_s: float | None = None

    # -- life --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Boot, then report until the machine is gone."""
        await asyncio.sleep(self.boot_s)
        self.up = True
        self.pull_gb_per_s = self.pull_gb_per_s or self.hull["pullGbPerS"]
        self.renewed_at = time.monotonic()
        last = -1e9
        while not self.gone:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            timings = self.cluster.settings["workers"]
            due = timings["report_s"] * random.uniform(0.75, 1.25)
            wait = PROMPT_S if self.changed else due
            if self.hung or now - last < wait or (self.report_at is not None and now < self.report_at):
                continue
            last = now
            self.changed = False
            self.report_at = None
            self._check_lease(now)
            await self._report(now)

    def power_off(self) -> None:
        """End the machine with all that is on it."""
        self.gone = True
        for task in self.tasks.values():
            if task.phase != "exited":
                self._note(task, "killed: machine gone")
                task.phase = "exited"
        self.tasks.clear()

    def _note(self, task: Task, text: str) -> None:
        self.cluster.record.line(self.name, f"{task.piece} try {task.attempt}: {text}")

    def lease_ends_at(self) -> float:
        """When the worker's lease ends by its own clock."""
        return self.renewed_at + self.cluster.settings["workers"]["lease_s"]

    def _check_lease(self, now: float) -> None:
        if now <= self.lease_ends_at():
            return
        for task in self.tasks.values():
            if task.phase != "exited":
                self._note(task, "killed: lease ended")
                task.phase = "exited"
        self.tasks.clear()
        self.fetched.clear()
        self.tenure += 1
        self.renewed_at = now
        self.changed = True
        self.cluster.record.line(self.name, f"lease ended, tenure {self.tenure}")

    # -- reports -----------------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tick += 1
        pieces = []
        for task in self.tasks.values():
            piece = {"piece": task.piece, "try": task.attempt, "phase": task.phase}
            if task.cause is not None:
                piece["cause"] = task.cause
            if task.stored:
                piece["stored"] = True
            pieces.append(piece)
        return {
            "host": self.name, "addr": "127.0.0.1:9", "hull": self.hull["label"], "yard": self.zone,
            "loaners": self.spot, "tenure": self.tenure, "tick": self.tick, "mandate": self.mandate,
            "recallS": self.recall_s, "pieces": pieces,
        }  # fmt: skip

    async def _report(self, sent_at: float) -> None:
        names = self.cluster.names
        name = names[self.node]
        report = self.report()
        tenure = self.tenure
        status, body = await self._send(name, report)
        while self.hung:
            await asyncio.sleep(STEP_S)
        if self.gone:
            return
        if status == 200 and time.monotonic() - sent_at < RESPONSE_S:
            self._accept(name, sent_at, tenure, body)
            return
        overseer = body.get("overseer") if status == 421 else None
        if overseer in names and overseer != name:
            self.node = names.index(overseer)
        else:
            await asyncio.sleep(NEXT_NODE_S)
            order = self.order or list(range(len(names)))
            self.node = order[(order.index(self.node) + 1) % len(names)]
        self.changed = True

    async def _send(self, name: str, report: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        mode = self.unreachable.get(name)
        if mode is not None:
            await asyncio.sleep(RESPONSE_S if mode == "hold" else 0.0)
            self.cluster.record.line(self.name, f"report to {name}: no response ({mode})")
            return 0, {}
        url = f"http://127.0.0.1:{self.cluster.ports[name]['public']}/agent/beat"
        try:
            async with asyncio.timeout(RESPONSE_S), self.cluster.session.post(url, json=report) as response:
                body = json.loads(await response.read() or b"{}")
                if self.unreachable.get(name) is not None:
                    return 0, {}
                return response.status, body
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    def _accept(self, name: str, sent_at: float, tenure: int, body: dict[str, Any]) -> None:
        now = time.monotonic()
        self._check_lease(now)
        if tenure != self.tenure or body.get("mandate", -1) < self.mandate:
            self.cluster.record.line(self.name, f"dropped a 200 of {name}, mandate {body.get('mandate')}")
            return
        self.cluster.note_answer(name, body["mandate"])
        if body["mandate"] > self.mandate:
            self.mandate = body["mandate"]
            self.changed = True
        self.renewed_at = sent_at
        for order in body["orders"]:
            self._execute(name, order, now)

    # -- commands ----------------------------------------------------------------------------------

    def _execute(self, name: str, order: dict[str, Any], now: float) -> None:
        key = (order["piece"], order["try"])
        task = self.tasks.get(key)
        verb = order["verb"]
        self.cluster.record.line(self.name, f"order of {name}: {json.dumps(order)}")
        if verb == "launch" and task is None:
            self._launch(key, now)
        elif verb == "forget" and task is not None and task.phase == "exited":
            del self.tasks[key]
        elif verb == "stop" and task is not None and task.phase != "exited":
            self._stop(task, order["windDownS"], now)
        else:
            return
        self.changed = True

    def _launch(self, key: tuple[str, int], now: float) -> None:
        task = self.tasks[key] = Task(key[0], key[1], "pulling", now)
        job = self.cluster.jobs.get(task.ref)
        if job is None or int(key[0].rpartition("/")[2]) >= job.spec["pieces"]:
            self._exit(task, "no_such")
        elif any(t.piece == task.piece and t is not task and t.phase != "exited" for t in self.tasks.values()):
            self._exit(task, "in_use")
        elif not self._fits(job, task):
            self._exit(task, "full")
        else:
            self._note(task, "launched")
            self.cluster.on_launch(self, task)

    def _fits(self, job: "UserJob", task: Task) -> bool:
        for name in ("cores", "cards", "memGb"):
            used = sum(
                self.cluster.jobs[t.ref].spec[name]
                for t in self.tasks.values()
                if t is not task and t.phase != "exited"
            )
            if used + job.spec[name] > self.hull[name] + 1e-9:
                return False
        return True

    def _stop(self, task: Task, wind_down_s: float, now: float) -> None:
        spec = self.cluster.jobs[task.ref].spec
        if task.phase == "saving":
            if wind_down_s == 0:
                self._exit(task, "halted")
        elif task.phase == "running" and spec["pinEveryS"] > 0 and wind_down_s >= spec["pinCostS"]:
            self.cluster.jobs[task.ref].save(task)
            task.phase, task.since = "saving", now
        else:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str) -> None:
        self._note(task, f"exited: {cause} (was {task.phase})")
        task.phase, task.cause = "exited", cause
        self.changed = True
        self.cluster.on_exit(self, task)

    # -- tasks -------------------------------------------------------------------------------------

    def step(self, now: float) -> None:
        """Fetch images, and advance all tasks."""
        if self.hung or not self.up or self.gone:
            return
        self._check_lease(now)
        self._fetch()
        for task in list(self.tasks.values()):
            if task.phase != "exited":
                self._advance(task, now)

    def _fetch(self) -> None:
        wanted = {
            self.cluster.jobs[t.ref].spec["bundle"]: self.cluster.jobs[t.ref].spec["sizeGb"]
            for t in self.tasks.values()
            if t.phase == "pulling"
        }
        for image in [image for image in self.fetched if image not in wanted]:
            got = self.fetched.pop(image)
            self.cluster.record.line(self.name, f"fetch of {image} given up after {got:.1f} GB")
        for image, size in wanted.items():
            if image in self.images:
                continue
            self.fetched[image] = self.fetched.get(image, 0.0) + STEP_S * self.pull_gb_per_s
            if self.fetched[image] >= size:
                del self.fetched[image]
                self.images.add(image)
                self.cluster.record.line(self.name, f"has {image}")

    def _advance(self, task: Task, now: float) -> None:
        job = self.cluster.jobs[task.ref]
        gang = job.spec["shape"] == "ensemble"
        timings = self.cluster.settings["workers"]
        if task.phase == "pulling" and job.spec["bundle"] in self.images:
            self.cluster.check_start(self, task)
            if task.piece in job.done:
                self._exit(task, "done")
                return
            task.phase, task.since = ("waiting" if gang else "running"), now
            self._note(task, task.phase)
            self.changed = True
            self.cluster.on_start(self, task)
        if task.phase == "waiting":
            if len(self.cluster.gang(task, ("waiting", "running"))) == job.spec["pieces"]:
                task.phase, task.since = "running", now
                self._note(task, "running")
                self.changed = True
            elif now - task.since > timings["gang_wait_s"]:
                self._exit(task, "alone")
        elif task.phase == "running":
            self._run(task, job, gang, now)
        elif task.phase == "saving" and now - task.since >= job.spec["pinCostS"]:
            task.stored = True
            self._exit(task, "halted")

    def _run(self, task: Task, job: "UserJob", gang: bool, now: float) -> None:
        if gang and task.ref not in self.cluster.complete:
            mates = self.cluster.gang(task, ("running", "waiting", "saving"))
            if len(mates) == job.spec["pieces"]:
                task.broken_since = None
            elif task.broken_since is None:
                task.broken_since = now
            elif now - task.broken_since > self.cluster.settings["workers"]["gang_peer_s"] / 2:
                self._exit(task, "mates_gone")
                return
        if task.ref in self.cluster.complete or now - task.since >= job.left_s(task):
            job.finish(task, gang)
            if len(job.done) == job.spec["pieces"]:
                self.cluster.complete.add(task.ref)
            self._exit(task, "done")
