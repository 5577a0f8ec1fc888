"""A small world on one fake clock: nodes, state service, cloud, workers and users, after PROTOCOL.

Scenarios bring about meetings of troubles and assert the platform's rules themselves: what is on which
machine when, and what users were told. Nothing here waits: the event loop's time is the fake clock.
"""

import asyncio
import contextvars
import json
import random
import selectors
import types
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import cbor2
from conftest import description
from production import OLD_NODES

from hookwall.config.operations import Operations
from hookwall.config.platform import (
    CloudLimits,
    ExternalServices,
    PeerSeed,
    PlatformParameters,
    Settings,
    StoreLimits,
    TeamQuota,
    WorkerTimings,
)
from hookwall.node.node import Node
from hookwall.protocol.http_client import NoResponseError

STEP_S = 0.1
RUNS_IN: contextvars.ContextVar[str] = contextvars.ContextVar("the node that a task belongs to")
WIRE_S = 0.002
WORKERS = WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=37.0)


def path(url: str) -> str:
    """The path of `http://host:port/path`."""
    return "/" + url.split("/", 3)[3]


class VirtualSelector(selectors.SelectSelector):
    """Instead of waiting, time moves on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        assert timeout is not None, "everything waits for something that never comes"
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.now


class StateService:
    """Keys, holds, watches and transactions, with outages, refusals, cuts and late writes."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[int, dict]] = []
        self.holds: dict[int, list[float]] = {}
        self.serial = 0
        self.down = False
        self.refused: set[str] = set()  # nodes that get 503
        self.no_watch: set[str] = set()  # nodes whose watches are never answered
        self.cut: set[str] = set()  # nodes whose requests get no answer
        self.late: Callable[[str, dict], float | None] = lambda node, body: None
        self.late_answer: Callable[[str, str], float] = lambda node, path: 0.0  # how late reads are answered
        self.latency_s = 0.004
        self.limits = world.params.state  # those in force now
        self.written: list[tuple[float, int]] = []  # when, and how many changes: for the limit of a second
        self.refusals: dict[int, int] = {400: 0, 429: 0}
        self.largest = 0  # bytes of the largest value since `lower`
        self.on_scan: Callable[[str], None] = lambda node: None

    def tick(self, now: float) -> None:
        if self.down:
            return
        for hold, (_, until) in list(self.holds.items()):
            if now > until:
                self.end_hold(hold)

    def end_hold(self, hold: int) -> None:
        del self.holds[hold]
        self.epoch += 1
        for k in [k for k, v in self.keys.items() if v[2] == hold]:
            del self.keys[k]
            self.log.append((self.epoch, {"delete": k, "stamp": self.epoch}))

    def outage(self, on: bool) -> None:
        self.down = on
        if not on:
            for h in self.holds.values():
                h[1] = self.world.now() + h[0]

    def blocked(self, node: str) -> bool:
        return self.down or node in self.refused

    async def call(self, node: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        body = json.loads(json.dumps(body)) if body is not None else None
        await asyncio.sleep(self.latency_s / 2)
        if node in self.cut:
            await asyncio.sleep(timeout)
            raise NoResponseError("cut")
        if self.blocked(node):
            return 503, b"{}"
        if path == "/commit":
            after = self.late(node, body)
            if after is not None:
                asyncio.get_running_loop().call_later(after, self.commit, body)
                await asyncio.sleep(timeout)
                raise NoResponseError("late")
        if path.startswith("/changes"):
            status, out = await self.watch(node, path, timeout)
        else:
            status, out = self.answer(node, method, path, body)
        late_s = self.late_answer(node, path) if method == "GET" else 0.0
        await asyncio.sleep(self.latency_s / 2 + late_s)
        if node in self.cut:
            await asyncio.sleep(timeout)
            raise NoResponseError("cut")
        return status, json.dumps(out).encode()

    def answer(self, node: str, method: str, path: str, body: Any) -> tuple[int, dict]:
        if path == "/commit":
            return self.commit(body)
        if path == "/holds":
            self.serial += 1
            ttl = body["ttlMs"] / 1000
            self.holds[self.serial] = [ttl, self.world.now() + ttl]
            return 200, {"hold": self.serial}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                self.holds[hold][1] = self.world.now() + self.holds[hold][0]
            return 200, {}
        if path.startswith("/store?"):
            self.on_scan(node)
            entries = [{"k": k, "value": v, "stamp": s} for k, (v, s, _) in sorted(self.keys.items())]
            return 200, {"entries": entries, "more": False, "epoch": self.epoch}
        got = self.keys.get(path[len("/store/") :])
        return (404, {"epoch": self.epoch}) if got is None else (200, {"value": got[0], "stamp": got[1]})

    def lower(self) -> None:
        """The limits to come are in force, without notice."""
        now, later = self.limits, self.limits.next
        self.limits = StoreLimits(*now.rates_per_s(True), later.value_kb or now.value_kb, later.txn_ops or now.txn_ops)
        self.largest = 0

    def over_limits(self, changes: list[dict]) -> tuple[int, dict] | None:
        """The answer to a transaction that is over a limit."""
        largest = max((len(json.dumps(a["value"])) for a in changes if "set" in a), default=0)
        self.largest = max(self.largest, largest)
        if len(changes) > self.limits.txn_ops or largest > self.limits.value_kb * 1024:
            self.refusals[400] += 1
            return 400, {"error": "too large"}
        now = self.world.now()
        self.written = [w for w in self.written if w[0] > now - 1.0]
        if sum(n for _, n in self.written) + len(changes) > 2 * self.limits.write_rps:
            self.refusals[429] += 1
            return 429, {}
        self.written.append((now, len(changes)))
        return None

    def commit(self, body: dict) -> tuple[int, dict]:
        over = self.over_limits(body.get("apply", []))
        if over is not None:
            return over
        failed = [c["k"] for c in body["when"] if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if any("hold" in a and a["hold"] not in self.holds for a in body.get("apply", ())):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if body.get("apply"):
            self.epoch += 1
        for a in body.get("apply", ()):
            if "delete" in a:
                if self.keys.pop(a["delete"], None) is not None:
                    self.log.append((self.epoch, {"delete": a["delete"], "stamp": self.epoch}))
                continue
            self.keys[a["set"]] = (a["value"], self.epoch, a.get("hold"))
            self.log.append((self.epoch, {"set": a["set"], "value": a["value"], "stamp": self.epoch}))
        return 200, {"epoch": self.epoch}

    async def watch(self, node: str, path: str, timeout: float) -> tuple[int, dict]:
        args = dict(a.split("=") for a in path.partition("?")[2].split("&"))
        after, until = int(args["after"]), self.world.now() + int(args["blockMs"]) / 1000
        give_up = self.world.now() + timeout
        while True:
            changes = [c for e, c in self.log if e > after]
            if not self.blocked(node) and node not in self.no_watch and (changes or self.world.now() >= until):
                return 200, {"epoch": self.epoch, "log": changes}
            if self.world.now() >= give_up:
                raise NoResponseError("watch")
            await asyncio.sleep(0.05)


class CloudApi:
    """Machine list, rentals and deletions."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.down = False
        self.room = 0  # machines that can still be rented
        self.deleted: list[str] = []

    async def call(self, node: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        await asyncio.sleep(0.05)
        if self.down:
            return 503, b'{"error":"trouble"}'
        w = self.world
        if path == "/catalog":
            return 200, w.catalog
        if path == "/hosts/delete":
            for name in body["hosts"]:
                if name in w.workers:
                    self.deleted.append(name)
                    w.workers.pop(name).gone()
            return 200, b"{}"
        if method == "POST":
            n = min(body["count"], self.room)
            self.room -= n
            if not n:
                return 503, b'{"error":"no capacity"}'
            names = [w.machine(body["yard"], body["loaners"], 10.0).name for _ in range(n)]
            return 200, json.dumps({"hosts": names}).encode()
        listed = [
            {"ref": m.name, "hull": "g4", "yard": m.zone, "loaners": m.spot, "phase": m.listed(), "heldS": 60.0}
            for m in w.workers.values()
        ]
        return 200, json.dumps({"hosts": listed, "more": False}).encode()


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
class Worker:
    """One machine's worker."""

    world: "World"
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
        return "booting" if self.world.now() < self.lease_from else "running"

    def gone(self) -> None:
        self.off = True
        self._end_all()

    def _end_all(self) -> None:
        """All tasks are over, and nobody hears how."""
        for piece, task in self.tasks.items():
            self.world.ends(self, piece, task, "killed")
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
        w = self.world
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
        w, sent, tenure = self.world, self.world.now(), self.tenure
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
        w = self.world
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
        job = self.world.jobs[piece.rpartition("/")[0]]
        spec = job.spec
        task.grace_s = max(task.grace_s, grace_s)
        if grace_s and task.phase == "saving":
            return
        if task.phase == "running" and job.save_s and spec["pinEveryS"] > 0 and grace_s >= spec["pinCostS"]:
            self.world.ends(self, piece, task, "halted")
            task.phase, task.since = "saving", self.world.now()
        else:
            self.exit(piece, task, "halted")

    def exit(self, piece: str, task: Task, cause: str) -> None:
        self.world.ends(self, piece, task, cause)
        task.phase, task.cause = "exited", cause
        self.changed = True

    def end_lease(self, now: float) -> None:
        """Begin the next session if the lease is over."""
        if now > self.lease_from + self.world.params.workers.lease_s:
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
            self.world.progress(self, piece, task, now)


@dataclass
class JobFacts:
    """What is true of a job, and what its user was told."""

    spec: dict
    run_s: float
    save_s: float = 0.0  # how long its tasks save when they are stopped
    ends: dict[int, float] = field(default_factory=dict)  # run time of single tasks, where it differs
    accepted: bool = False
    cancelled_at: float | None = None
    asked_to_cancel: bool = False
    final: str | None = None
    done: set[int] = field(default_factory=set)
    starts: int = 0
    late_starts: int = 0
    first_start: float | None = None
    told_withdrawn: float | None = None  # when its user was first told so

    def needs(self) -> list[str]:
        return self.spec.get("awaits") or []


class World:
    """Everything together; `broken` lists the rules that did not hold."""

    def __init__(self, nodes: int = 3, **limits: Any) -> None:
        self.random = random.Random(7)
        random.seed(7)
        self.loop = asyncio.get_running_loop()
        self.params = PlatformParameters(
            size=nodes,
            zones=["east", "west"],
            workers=limits.get("workers", WORKERS),
            state=limits.get("state", StoreLimits(rps=150.0, write_rps=50.0, value_kb=16.0, txn_ops=12)),
            cloud=CloudLimits(rps=2.0, list_lag_s=5.0),
            teams=limits.get("teams", [TeamQuota("red", gpus=8.0, gpus_max=8.0), TeamQuota("grey")]),
        )
        self.operations: Operations | None = limits.get("operations")
        self.catalog = json.dumps(
            {"hulls": [{"label": "g4", "cores": 32, "cards": 4, "memGb": 256, "localGb": 40, "pullGbPerS": 5.0,
                        "price": 10.0, "spotPrice": 4.0, "startupS": 10, "yards": ["east", "west"]}]}
        ).encode()  # fmt: skip
        self.names = [f"n{i}" for i in range(nodes)]
        self.nodes: dict[str, Node] = {}
        self.running: dict[str, asyncio.Task] = {}
        self.service, self.cloud = StateService(self), CloudApi(self)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobFacts] = {}
        self.broken: list[str] = []
        self.apart: set[frozenset[str]] = set()  # pairs of nodes that don't reach each other
        self.serial = 0
        self.beside: set[asyncio.Task] = set()
        self.frozen: dict[str, asyncio.Event] = {}  # nodes that stand still, until their event is set
        self.on_step: list[Callable[[], None]] = []
        self.on_launch: list[Callable[[Worker, str, int], None]] = []  # a worker executes a launch
        self.on_end: list[Callable[[Worker, str, Task, str], None]] = []  # a task that ran is over, or begins to save
        self.loop.set_task_factory(self._task)
        self.go(self._steps())

    def now(self) -> float:
        return self.loop.time()

    def go(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = self.loop.create_task(work)
        self.beside.add(task)
        task.add_done_callback(self.beside.discard)
        return task

    async def _steps(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = self.now()
            self.service.tick(now)
            for worker in list(self.workers.values()):
                worker.step(now)
            self._check(now)
            for check in self.on_step:
                check()

    # -- nodes -----------------------------------------------------------------------------------

    def start(self, name: str, old: int = 0) -> Node:
        """Start a node's process; `old`: the format that its program knows, 0 for the current program."""
        seeds = [PeerSeed(n, f"127.0.0.1:{7000 + i}") for i, n in enumerate(self.names) if n != name]
        services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
        settings = Settings(name, "127.0.0.1:7100", "127.0.0.1:7200", services, self.params, seeds)
        if old:
            node = OLD_NODES[old](settings, self.now, self.now, self.broken)
        else:
            node = Node(settings, self.now, self.now, self.operations)
        node.store.send_request = lambda session, method, url, body, t: self.service.call(
            name, method, path(url), body, t
        )
        node.cloud_client.call = lambda session, method, url, body, t: self.cloud.call(name, method, path(url), body, t)
        node.leadership.peers[:] = [Link(self, name, n) for n in self.names if n != name]
        self.nodes[name] = node
        self.running[name] = contextvars.Context().run(self._work, name, node)
        return node

    def _work(self, name: str, node: Node) -> asyncio.Task:
        RUNS_IN.set(name)
        return self.go(node.run_loops())

    def _task(self, loop: asyncio.AbstractEventLoop, work: Any, **options: Any) -> asyncio.Task:
        """What a node does stands still with the node; tasks inherit the context of who made them."""
        name = RUNS_IN.get(None)
        task = asyncio.Task(work if name is None else self._with_node(name, work), loop=loop, **options)
        task.add_done_callback(lambda _: work.close())  # also where it is cancelled before it has begun
        return task

    async def _with_node(self, name: str, work: Any) -> Any:
        return await _step_by_step(work, lambda: self.frozen.get(name))

    def freeze(self, name: str) -> None:
        """A node's process stands still: it does nothing, and what is sent to it waits."""
        self.frozen.setdefault(name, asyncio.Event())

    def thaw(self, name: str) -> None:
        """The process goes on, with whatever time it is by then."""
        event = self.frozen.pop(name, None)
        if event is not None:
            event.set()

    async def moving(self, name: str) -> None:
        """Wait while a node stands still."""
        while name in self.frozen:
            await self.frozen[name].wait()

    async def upgrade(self, *names: str, down_s: float = 3.0) -> None:
        """Replace the programs of these nodes, all at once."""
        for name in names:
            self.crash(name)
        await asyncio.sleep(down_s)
        for name in names:
            self.start(name)

    def crash(self, name: str) -> None:
        self.thaw(name)
        self.running.pop(name).cancel()
        node = self.nodes.pop(name)
        for task in node.leadership.peer_group.background_tasks:
            task.cancel()

    def leader(self) -> Node | None:
        return next((n for n in self.nodes.values() if n.leadership.valid()), None)

    async def led(self, within_s: float = 20.0) -> Node:
        until = self.now() + within_s
        while self.leader() is None:
            assert self.now() < until, "nobody leads"
            await asyncio.sleep(STEP_S)
        return self.leader()

    def links_of(self, name: str) -> set[frozenset[str]]:
        """The pairs that a node makes with all others, for `apart`."""
        return {frozenset((name, other)) for other in self.names if other != name}

    def followers(self) -> list[str]:
        lead = self.leader()
        return [n for n, node in self.nodes.items() if node is not lead]

    async def beat(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        await self.moving(name)
        node = self.nodes.get(name)
        answer = await node.respond_to_heartbeat(body) if node is not None else None
        await self.moving(name)
        return answer

    # -- machines --------------------------------------------------------------------------------

    def machine(self, zone: str = "east", spot: bool = False, boot_s: float = 0.0) -> Worker:
        self.serial += 1
        worker = Worker(self, f"vm-{self.serial:06d}", zone, spot, boot_s, node=self.serial % len(self.names))
        worker.lease_from = self.now() + boot_s
        self.workers[worker.name] = worker
        self.go(worker.run())
        return worker

    def progress(self, worker: Worker, piece: str, task: Task, now: float) -> None:
        ref, _, number = piece.rpartition("/")
        job = self.jobs[ref]
        gang = job.spec["shape"] == "ensemble"
        if task.phase == "pulling" and now - task.since >= 1.0:
            self._starts(worker, piece, task, job, now)
            task.phase, task.since = ("waiting" if gang else "running"), now
            worker.changed = True
        if task.phase == "waiting" and self._mates(ref, task.attempt, ("waiting", "running")) == job.spec["pieces"]:
            task.phase, task.since = "running", now
            worker.changed = True
        if task.phase == "waiting" and now - task.since > self.params.workers.gang_wait_s:
            worker.exit(piece, task, "alone")
        elif task.phase == "running" and now - task.since >= job.ends.get(int(number), job.run_s):
            job.done.update(range(job.spec["pieces"]) if gang else [int(number)])
            worker.exit(piece, task, "done")
        elif task.phase == "saving" and now - task.since >= job.save_s:
            worker.exit(piece, task, "halted")
        elif task.phase == "running" and gang and len(job.done) < job.spec["pieces"]:
            if self._mates(ref, task.attempt, ("waiting", "running")) == job.spec["pieces"]:
                task.stopped = None
            elif task.stopped is None:
                task.stopped = now
            elif now - task.stopped > self.params.workers.gang_peer_s:
                worker.exit(piece, task, "mates_gone")

    def ends(self, worker: Worker, piece: str, task: Task, cause: str) -> None:
        """A task that ran is over, or begins to save."""
        if task.phase == "running":
            for check in self.on_end:
                check(worker, piece, task, cause)

    def _mates(self, ref: str, attempt: int, phases: tuple[str, ...]) -> int:
        return sum(
            p.rpartition("/")[0] == ref and t.attempt == attempt and t.phase in phases
            for w in self.workers.values() for p, t in w.tasks.items()
        )  # fmt: skip

    # -- rules -----------------------------------------------------------------------------------

    def _starts(self, worker: Worker, piece: str, task: Task, job: JobFacts, now: float) -> None:
        ref = piece.rpartition("/")[0]
        job.starts += 1
        job.first_start = now if job.first_start is None else job.first_start
        there = [(w, p) for w in self.workers.values() for p, t in w.tasks.items() if t.there() and self.holds(w, now)]
        for other, p in there:
            if p == piece and other is not worker:
                self.broken.append(f"ran_twice: {piece} on {other.name} and {worker.name} at {now:.1f}")
        spec = job.spec
        zones = {w.zone for w, p in there if p.rpartition("/")[0] == ref}
        if (spec["samePlace"] and zones - {worker.zone}) or (spec["yard"] not in (None, worker.zone)):
            self.broken.append(f"wrong_place: {piece} in {worker.zone}, others in {zones}")
        if worker.spot and not spec["loaners"]:
            self.broken.append(f"wrong_place: {piece} on a spot machine")
        team = next(t for t in self.params.teams if t.name == spec["owner"])
        used = spec["cards"] + sum(
            self.jobs[p.rpartition("/")[0]].spec["cards"]
            for _, p in there if self.jobs[p.rpartition("/")[0]].spec["owner"] == team.name
        )  # fmt: skip
        if team.gpus_max and used > team.gpus_max + 1e-9:
            self.broken.append(f"quota: {team.name} uses {used}")
        if job.cancelled_at is not None:
            job.late_starts += 1
        for need in job.needs():
            if len(self.jobs[need].done) < self.jobs[need].spec["pieces"]:
                self.broken.append(f"too_early: {piece} before {need}")

    def holds(self, worker: Worker, now: float) -> bool:
        """Whether a worker may still run what it has: one that hangs ends its tasks first once its lease is over."""
        return now <= worker.lease_from + self.params.workers.lease_s

    def _check(self, now: float) -> None:
        for worker in self.workers.values():
            for piece, task in worker.tasks.items():
                at = self.jobs[piece.rpartition("/")[0]].cancelled_at
                if at is not None and task.there() and now - at > self.params.workers.cancel_s:
                    self.broken.append(f"ran_cancelled: {piece} on {worker.name} {now - at:.1f} s later")
                    self.jobs[piece.rpartition("/")[0]].cancelled_at = None  # told once

    def _ancestors(self, ref: str) -> set[str]:
        """The jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [ref]
        while stack:
            more = set(self.jobs[stack.pop()].needs()) - found
            found |= more
            stack.extend(more)
        return found

    def _check_ancestors(self, ref: str, phase: str) -> None:
        """What an answer about a job says in view of the jobs that it needs."""
        ancestors = [self.jobs[a] for a in self._ancestors(ref)]
        if phase == "withdrawn" and not any(j.asked_to_cancel for j in (self.jobs[ref], *ancestors)):
            self.broken.append(f"went_back: {ref} cancelled by nobody")
        told = min((j.told_withdrawn for j in ancestors if j.told_withdrawn is not None), default=None)
        if phase in ("pending", "running") and told is not None:
            late = self.now() - told - self.params.workers.cancel_s
            if late > 0:
                self.broken.append(f"orphaned: {ref} {phase} {late:.1f} s too late")

    def on_machines(self, ref: str) -> int:
        return sum(
            p.rpartition("/")[0] == ref and t.phase != "exited"
            for w in self.workers.values()
            for p, t in w.tasks.items()
        )

    # -- users -----------------------------------------------------------------------------------

    def _told(self, ref: str, status: int, raw: bytes) -> None:
        job = self.jobs.get(ref)
        if status == 404 and job is not None and job.accepted:
            self.broken.append(f"forgotten: {ref} answered 404")
        if status in (400, 422) and job is not None and job.accepted:
            self.broken.append(f"forgotten: {ref} answered {status}")
        if status not in (200, 201):
            return
        phase = json.loads(raw)["phase"]
        if job is None:
            self.broken.append(f"invented: {ref}")
            return
        job.accepted = True
        if job.final is not None and phase != job.final:
            self.broken.append(f"went_back: {ref} {job.final} then {phase}")
        if phase == "done" and len(job.done) < job.spec["pieces"]:
            self.broken.append(f"not_done: {ref} with {len(job.done)}")
        self._check_ancestors(ref, phase)
        if phase == "withdrawn":
            if job.told_withdrawn is None:
                job.told_withdrawn = self.now()
            if job.cancelled_at is None and job.final is None:
                job.cancelled_at = self.now()
        if phase in ("done", "withdrawn"):
            job.final = phase

    def job(self, n: int, run_s: float = 30.0, ends: dict[int, float] | None = None, **changes: Any) -> str:
        spec = description(n, **changes)
        self.jobs[spec["ref"]] = JobFacts(spec, run_s, ends=ends or {})
        return spec["ref"]

    @staticmethod
    def job_ref(n: int) -> str:
        return description(n)["ref"]

    @staticmethod
    def description(n: int, **changes: Any) -> dict:
        return description(n, **changes)

    def put_record(self, ref: str, value: dict | None = None) -> None:
        """A record that is there already, so that a scenario need not submit thousands of jobs."""
        spec = {k: v for k, v in self.jobs[ref].spec.items() if v is not None}
        record = {"phase": "open", "n": spec["pieces"], "next": 1, "on": [], "spec": spec, "at": 1.0, "done": ""}
        self.service.epoch += 1
        key, value = "hookwall/job/" + ref, value or record
        self.service.keys[key] = (value, self.service.epoch, None)
        self.service.log.append((self.service.epoch, {"set": key, "value": value, "stamp": self.service.epoch}))
        self.jobs[ref].accepted = True

    async def ask(self, node: str, spec: dict) -> int:
        """Submit any description."""
        status, raw, _ = await self.nodes[node].job_service.submit(json.dumps(spec).encode())
        self._told(spec["ref"], status, raw)
        return status

    async def submit(self, node: str, ref: str) -> int:
        return await self.ask(node, self.jobs[ref].spec)

    async def poll(self, node: str, ref: str) -> tuple[int, str]:
        status, raw, _ = await self.nodes[node].job_service.get(ref)
        self._told(ref, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def cancel(self, node: str, ref: str) -> tuple[int, str]:
        if ref in self.jobs:
            self.jobs[ref].asked_to_cancel = True
        status, raw, _ = await self.nodes[node].job_service.cancel(ref)
        self._told(ref, status, raw)
        return status, json.loads(raw).get("phase", "")

    async def accepted(self, ref: str, node: str | None = None, within_s: float = 20.0) -> None:
        until = self.now() + within_s
        while await self.submit(node or next(iter(self.nodes)), ref) not in (200, 201):
            assert self.now() < until, f"{ref} was not accepted"
            await asyncio.sleep(1.0)

    async def until(self, what: Callable[[], bool], within_s: float, why: str) -> None:
        end = self.now() + within_s
        while not what():
            assert self.now() < end, why
            await asyncio.sleep(STEP_S)

    async def runs(self, ref: str, within_s: float = 30.0) -> None:
        n = self.jobs[ref].spec["pieces"]

        def all_run() -> bool:
            return n == sum(
                p.rpartition("/")[0] == ref and t.phase == "running"
                for w in self.workers.values() for p, t in w.tasks.items()
            )  # fmt: skip

        await self.until(all_run, within_s, f"{ref} does not run")


class Link:
    """One node's messages to another."""

    def __init__(self, world: World, me: str, name: str) -> None:
        self.world, self.me, self.name = world, me, name
        self.delay_s = WIRE_S

    async def call(self, message: dict, timeout: float = 1.0) -> dict | None:
        if frozenset((self.me, self.name)) in self.world.apart:
            await asyncio.sleep(timeout)
            return None
        sent = cbor2.dumps(message)
        await asyncio.sleep(self.delay_s)
        try:
            async with asyncio.timeout(timeout):
                await self.world.moving(self.name)
        except TimeoutError:
            # What was sent is read once the process goes on, and nobody waits for the answer.
            self.world.go(self._read_later(sent))
            return None
        node = self.world.nodes.get(self.name)
        if node is None:
            return None
        answer = cbor2.dumps(node.leadership.handle_peer_message(cbor2.loads(sent)))
        await asyncio.sleep(self.delay_s)
        return cbor2.loads(answer)

    async def _read_later(self, sent: bytes) -> None:
        await self.world.moving(self.name)
        node = self.world.nodes.get(self.name)
        if node is not None:
            node.leadership.handle_peer_message(cbor2.loads(sent))


@types.coroutine
def _step_by_step(work: Any, frozen: Callable[[], asyncio.Event | None]) -> Any:
    """Run a coroutine, but for as long as `frozen` names an event; what happens meanwhile reaches it afterwards."""
    error: BaseException | None = None
    while True:
        event = frozen()
        while event is not None:
            try:
                yield from event.wait().__await__()
            except asyncio.CancelledError as cancelled:
                error = cancelled
            event = frozen()
        try:
            waits_for = work.send(None) if error is None else work.throw(error)
        except StopIteration as end:
            return end.value
        error = None
        try:
            yield waits_for
        except BaseException as raised:
            error = raised


def play(
    scenario: Callable[[World], Coroutine[Any, Any, Any]], machines: int = 4, old: int = 0, **limits: Any
) -> World:
    """Run a scenario in a world whose nodes have a leader and whose machines report; no rule may break.

    `old`: the nodes begin with a program that knows this format only.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    worlds: list[World] = []

    async def main() -> World:
        world = World(**limits)
        worlds.append(world)
        for i in range(machines):
            world.machine("east" if i % 2 == 0 else "west")
        for name in world.names:
            world.start(name, old)
        await world.led()
        await asyncio.sleep(6.0)
        await scenario(world)
        return world

    try:
        world = loop.run_until_complete(main())
    finally:
        for event in [e for w in worlds for e in w.frozen.values()]:
            event.set()
        for w in worlds:
            w.frozen.clear()
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=1.0))
        asyncio.set_event_loop(None)
        loop.close()
    assert world.broken == []
    return world
