"""A simulated deployment on one fake clock: nodes, key-value store, cloud, workers and users, after PROTOCOL.

Scenarios bring about meetings of troubles and assert the platform's rules themselves: what is on which machine
when, and what users were answered. Nothing here waits: the event loop's time is the fake clock.
"""

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from harness.cloud import FakeCloud
from harness.frozen_process import run_while_not_frozen
from harness.key_value_store import FakeKeyValueStore
from harness.older_versions import OLD_NODES
from harness.peer_link import PeerLink
from harness.rules import JobFacts, RuleChecker
from harness.users import UserRequests
from harness.worker import STEP_S, FakeWorker, Task
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

RUNS_IN: contextvars.ContextVar[str] = contextvars.ContextVar("the node that a task belongs to")
WORKERS = WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=37.0)


def path(url: str) -> str:
    """The path of `http://host:port/path`."""
    return "/" + url.split("/", 3)[3]


class Simulation(UserRequests):
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
        self.service = FakeKeyValueStore(self)
        self.cloud = FakeCloud(self)
        self.workers: dict[str, FakeWorker] = {}
        self.jobs: dict[str, JobFacts] = {}
        self.broken: list[str] = []
        self.rules = RuleChecker(self)
        self.partitions: set[frozenset[str]] = set()  # pairs of nodes that don't reach each other
        self.serial = 0
        self.background_tasks: set[asyncio.Task] = set()
        self.frozen: dict[str, asyncio.Event] = {}  # nodes that stand still, until their event is set
        self.on_step: list[Callable[[], None]] = []
        self.on_launch: list[Callable[[FakeWorker, str, int], None]] = []  # a worker executes a launch
        self.on_end: list[
            Callable[[FakeWorker, str, Task, str], None]
        ] = []  # a task that ran is over, or begins to save
        self.loop.set_task_factory(self._task)
        self.go(self._steps())

    def now(self) -> float:
        """The fake clock, in seconds."""
        return self.loop.time()

    def go(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run something beside the scenario."""
        task = self.loop.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def _steps(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = self.now()
            self.service.expire_session_leases(now)
            for worker in list(self.workers.values()):
                worker.step(now)
            self.rules.check_cancelled(now)
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
        node.store.send_request = lambda _session, method, url, body, timeout: self.service.call(
            name, method, path(url), body, timeout
        )
        node.cloud_client.call = lambda _session, method, url, body, timeout: self.cloud.call(
            name, method, path(url), body, timeout
        )
        node.leadership.peers[:] = [PeerLink(self, name, n) for n in self.names if n != name]
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
        return await run_while_not_frozen(work, lambda: self.frozen.get(name))

    def freeze(self, name: str) -> None:
        """A node's process stands still: it does nothing, and what is sent to it waits."""
        self.frozen.setdefault(name, asyncio.Event())

    def thaw(self, name: str) -> None:
        """The process goes on, with whatever time it is by then."""
        event = self.frozen.pop(name, None)
        if event is not None:
            event.set()

    async def wait_while_frozen(self, name: str) -> None:
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
        """End a node's process; what it was doing ends with it."""
        self.thaw(name)
        self.running.pop(name).cancel()
        node = self.nodes.pop(name)
        for task in node.leadership.peer_group.background_tasks:
            task.cancel()

    def leader(self) -> Node | None:
        """The node that is a valid leader."""
        return next((n for n in self.nodes.values() if n.leadership.valid()), None)

    def leader_name(self) -> str | None:
        """The name of the node that is a valid leader."""
        leader = self.leader()
        return None if leader is None else leader.settings.node_name

    def current_leader_name(self) -> str:
        """The name of the valid leader; fails where nobody leads."""
        name = self.leader_name()
        assert name is not None, "nobody leads"
        return name

    def random_node(self) -> str:
        """The name of a random node that is up."""
        return self.random.choice(list(self.nodes))

    async def led_by(self, within_s: float = 20.0) -> str:
        """Wait for a valid leader: its name."""
        return (await self.led(within_s)).settings.node_name

    async def led(self, within_s: float = 20.0) -> Node:
        """Wait for a valid leader."""
        until = self.now() + within_s
        while self.leader() is None:
            assert self.now() < until, "nobody leads"
            await asyncio.sleep(STEP_S)
        return self.leader()

    def links_of(self, name: str) -> set[frozenset[str]]:
        """The pairs that a node makes with all others, for `apart`."""
        return {frozenset((name, other)) for other in self.names if other != name}

    def followers(self) -> list[str]:
        """The names of the nodes that are up and not a valid leader."""
        lead = self.leader()
        return [n for n, node in self.nodes.items() if node is not lead]

    async def deliver_heartbeat(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """A node's response to a heartbeat, once it is not frozen; None where it is down."""
        await self.wait_while_frozen(name)
        node = self.nodes.get(name)
        answer = await node.respond_to_heartbeat(body) if node is not None else None
        await self.wait_while_frozen(name)
        return answer

    # -- machines --------------------------------------------------------------------------------

    def machine(self, zone: str = "east", spot: bool = False, boot_s: float = 0.0) -> FakeWorker:
        """Add a machine, whose worker begins to send heartbeats once it has booted."""
        self.serial += 1
        worker = FakeWorker(self, f"vm-{self.serial:06d}", zone, spot, boot_s, node=self.serial % len(self.names))
        worker.lease_from = self.now() + boot_s
        self.workers[worker.name] = worker
        self.go(worker.run())
        return worker

    def progress(self, worker: FakeWorker, task_id: str, task: Task, now: float) -> None:
        """Move a task on: its image is there, its gang is complete, it is done or has saved."""
        job_id, _, number = task_id.rpartition("/")
        job = self.jobs[job_id]
        gang = job.spec["shape"] == "ensemble"
        if task.phase == "pulling" and now - task.since >= 1.0:
            self.rules.check_start(worker, task_id, job, now)
            task.phase, task.since = ("waiting" if gang else "running"), now
            worker.changed = True
        if task.phase == "waiting" and self._mates(job_id, task.attempt, ("waiting", "running")) == job.spec["pieces"]:
            task.phase, task.since = "running", now
            worker.changed = True
        if task.phase == "waiting" and now - task.since > self.params.workers.gang_wait_s:
            worker.exit(task_id, task, "alone")
        elif task.phase == "running" and now - task.since >= job.ends.get(int(number), job.run_s):
            job.done.update(range(job.spec["pieces"]) if gang else [int(number)])
            worker.exit(task_id, task, "done")
        elif task.phase == "saving" and now - task.since >= job.save_s:
            worker.exit(task_id, task, "halted")
        elif task.phase == "running" and gang and len(job.done) < job.spec["pieces"]:
            if self._mates(job_id, task.attempt, ("waiting", "running")) == job.spec["pieces"]:
                task.stopped = None
            elif task.stopped is None:
                task.stopped = now
            elif now - task.stopped > self.params.workers.gang_peer_s:
                worker.exit(task_id, task, "mates_gone")

    def ends(self, worker: FakeWorker, task_id: str, task: Task, cause: str) -> None:
        """A task that ran is over, or begins to save."""
        if task.phase == "running":
            for check in self.on_end:
                check(worker, task_id, task, cause)

    def _mates(self, job_id: str, attempt: int, phases: tuple[str, ...]) -> int:
        return sum(
            p.rpartition("/")[0] == job_id and t.attempt == attempt and t.phase in phases
            for w in self.workers.values() for p, t in w.tasks.items()
        )  # fmt: skip

    # -- rules -----------------------------------------------------------------------------------

    def on_machines(self, job_id: str) -> int:
        """How many tasks of a job are on machines and not over."""
        return sum(
            p.rpartition("/")[0] == job_id and t.phase != "exited"
            for w in self.workers.values()
            for p, t in w.tasks.items()
        )
