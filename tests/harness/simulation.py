"""A simulated deployment on virtual time: nodes, key-value store, cloud, workers and users, as PROTOCOL specifies.

Scenarios inject faults that coincide and assert the rules of the platform directly: which task is on which machine at
which time, and which responses users receive. No real time passes: the event loop runs on virtual time.
"""

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from harness.cloud import FakeCloud
from harness.frozen_process import run_while_not_frozen
from harness.image_fetches import ImageFetches
from harness.key_value_store import FakeKeyValueStore
from harness.older_versions import OLD_NODES
from harness.peer_link import PeerLink
from harness.rules import JobState, RuleChecker
from harness.users import UserRequests
from harness.worker import STEP_S, FakeWorker, ReceivedResponse, Task
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

CURRENT_NODE: contextvars.ContextVar[str] = contextvars.ContextVar("the node to which an asyncio task belongs")
WORKERS = WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=37.0)


def url_path(url: str) -> str:
    """Return the path of a URL of the form `http://host:port/path`."""
    return "/" + url.split("/", 3)[3]


class Simulation(UserRequests):
    """The whole deployment; `violations` lists each rule that was broken, and how."""

    def __init__(self, nodes: int = 3, **options: Any) -> None:
        self.random = random.Random(7)
        random.seed(7)
        self.loop = asyncio.get_running_loop()
        self.params = PlatformParameters(
            size=nodes,
            zones=["east", "west"],
            workers=options.get("workers", WORKERS),
            state=options.get("state", StoreLimits(rps=150.0, write_rps=50.0, value_kb=16.0, txn_ops=12)),
            cloud=CloudLimits(rps=2.0, list_lag_s=5.0),
            teams=options.get("teams", [TeamQuota("red", gpus=8.0, gpus_max=8.0), TeamQuota("grey")]),
        )
        self.operations: Operations | None = options.get("operations")
        self.catalog = json.dumps(
            {"hulls": [{"label": "g4", "cores": 32, "cards": 4, "memGb": 256, "localGb": 40, "pullGbPerS": 5.0,
                        "price": 10.0, "spotPrice": 4.0, "startupS": 10, "yards": ["east", "west"]}]}
        ).encode()  # fmt: skip
        self.fetch_gb_per_s: float | None = options.get("fetch_gb_per_s")  # None: each image fetch takes the same time
        self.names = [f"n{i}" for i in range(nodes)]
        self.nodes: dict[str, Node] = {}
        self.running: dict[str, asyncio.Task] = {}
        self.store = FakeKeyValueStore(self)
        self.cloud = FakeCloud(self)
        self.workers: dict[str, FakeWorker] = {}
        self.jobs: dict[str, JobState] = {}
        self.violations: list[str] = []
        self.rules = RuleChecker(self)
        self.partitions: set[frozenset[str]] = set()  # pairs of nodes that can't reach each other
        self.last_machine_number = 0
        self.background_tasks: set[asyncio.Task] = set()
        self.frozen: dict[str, asyncio.Event] = {}  # frozen nodes, each until its event is set
        # After how many seconds a copy of a response arrives at its worker once more; None: no copy does.
        self.copy_delay_s: Callable[[FakeWorker], float | None] = lambda worker: None
        self.on_step: list[Callable[[], None]] = []
        self.on_launch: list[Callable[[FakeWorker, str, int], None]] = []  # called when a worker executes a launch
        # Called when a running task ends or begins to save its last checkpoint.
        self.on_end: list[Callable[[FakeWorker, str, Task, str], None]] = []
        self.loop.set_task_factory(self._create_task)
        self.run_in_background(self._run_steps())

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    def run_in_background(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine in the background of the scenario."""
        task = self.loop.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def _run_steps(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = self.now()
            self.store.expire_session_leases(now)
            for worker in list(self.workers.values()):
                worker.step(now)
            self.rules.check_cancelled(now)
            for check in self.on_step:
                check()

    # -- nodes -----------------------------------------------------------------------------------

    def start(self, name: str, old: int = 0) -> Node:
        """Start the process of a node; `old` is the storage format of its program, 0 for the current program."""
        seeds = [PeerSeed(n, f"127.0.0.1:{7000 + i}") for i, n in enumerate(self.names) if n != name]
        services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
        settings = Settings(name, "127.0.0.1:7100", "127.0.0.1:7200", services, self.params, seeds)
        if old:
            node = OLD_NODES[old](settings, self.now, self.now, self.violations)
        else:
            node = Node(settings, self.now, self.now, self.operations)
        node.store.send_request = lambda _session, method, url, body, timeout: self.store.call(
            name, method, url_path(url), body, timeout
        )
        node.cloud_client.send_request = lambda _session, method, url, body, timeout: self.cloud.call(
            name, method, url_path(url), body, timeout
        )
        node.leadership.peers[:] = [PeerLink(self, name, n) for n in self.names if n != name]
        self.nodes[name] = node
        self.running[name] = contextvars.Context().run(self._start_node_task, name, node)
        return node

    def _start_node_task(self, name: str, node: Node) -> asyncio.Task:
        CURRENT_NODE.set(name)
        return self.run_in_background(node.run_loops())

    def _create_task(self, loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any) -> asyncio.Task:
        """Create an asyncio task that is suspended while its node is frozen.

        A task belongs to the node of the task that creates it, since it inherits the context of that task.
        """
        name = CURRENT_NODE.get(None)
        task = asyncio.Task(
            coroutine if name is None else self._suspend_while_frozen(name, coroutine), loop=loop, **options
        )
        task.add_done_callback(lambda _: coroutine.close())  # also if it is cancelled before it has begun
        return task

    async def _suspend_while_frozen(self, name: str, coroutine: Any) -> Any:
        return await run_while_not_frozen(coroutine, lambda: self.frozen.get(name))

    def freeze(self, name: str) -> None:
        """Freeze the process of a node: it does nothing, and requests and responses to it wait."""
        self.frozen.setdefault(name, asyncio.Event())

    def thaw(self, name: str) -> None:
        """Thaw the process of a node; it continues at the current time."""
        event = self.frozen.pop(name, None)
        if event is not None:
            event.set()

    async def wait_while_frozen(self, name: str) -> None:
        """Wait until a node is not frozen."""
        while name in self.frozen:
            await self.frozen[name].wait()

    async def upgrade(self, *names: str, down_s: float = 3.0) -> None:
        """Replace the programs of nodes by the current one, all at the same time."""
        for name in names:
            self.crash(name)
        await asyncio.sleep(down_s)
        for name in names:
            self.start(name)

    def crash(self, name: str) -> None:
        """Kill the process of a node, with all its tasks."""
        self.thaw(name)
        self.running.pop(name).cancel()
        node = self.nodes.pop(name)
        for task in node.leadership.peer_group.background_tasks:
            task.cancel()

    def leader(self) -> Node | None:
        """Return the node that is a valid leader; None if no node is."""
        return next((n for n in self.nodes.values() if n.leadership.valid()), None)

    def leader_name(self) -> str | None:
        """Return the name of the valid leader; None if no node is."""
        leader = self.leader()
        return None if leader is None else leader.settings.node_name

    def current_leader_name(self) -> str:
        """Return the name of the valid leader; fail if no node is."""
        name = self.leader_name()
        assert name is not None, "no node is a valid leader"
        return name

    def random_node(self) -> str:
        """Return the name of a random node that is up."""
        return self.random.choice(list(self.nodes))

    async def wait_for_leader_name(self, within_s: float = 20.0) -> str:
        """Wait for a valid leader; return its name."""
        return (await self.wait_for_leader(within_s)).settings.node_name

    async def wait_for_leader(self, within_s: float = 20.0) -> Node:
        """Wait for a valid leader; return its node."""
        until = self.now() + within_s
        while self.leader() is None:
            assert self.now() < until, "no node is a valid leader"
            await asyncio.sleep(STEP_S)
        return self.leader()

    def node_pairs_of(self, name: str) -> set[frozenset[str]]:
        """Return the pairs of a node with every other node, for `partitions`."""
        return {frozenset((name, other)) for other in self.names if other != name}

    def followers(self) -> list[str]:
        """Return the names of the nodes that are up and not the valid leader."""
        leader = self.leader()
        return [n for n, node in self.nodes.items() if node is not leader]

    async def deliver_heartbeat(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """Return a node's response to a heartbeat, once the node is not frozen; None if it is down."""
        await self.wait_while_frozen(name)
        node = self.nodes.get(name)
        response = await node.respond_to_heartbeat(body) if node is not None else None
        await self.wait_while_frozen(name)
        return response

    # -- machines --------------------------------------------------------------------------------

    def add_machine(self, zone: str = "east", spot: bool = False, boot_s: float = 0.0) -> FakeWorker:
        """Add a machine; its worker begins to send heartbeats after it has booted."""
        self.last_machine_number += 1
        worker = FakeWorker(
            self,
            f"vm-{self.last_machine_number:06d}",
            zone,
            spot,
            boot_s,
            node=self.last_machine_number % len(self.names),
        )
        worker.lease_from = self.now() + boot_s
        if self.fetch_gb_per_s is not None:
            worker.image_fetches = ImageFetches(self.fetch_gb_per_s)
        self.workers[worker.name] = worker
        self.run_in_background(worker.run())
        return worker

    def copy_response(self, worker: FakeWorker, response: ReceivedResponse) -> None:
        """Let a copy of a response arrive later, if copies are made now."""
        delay_s = self.copy_delay_s(worker)
        if delay_s is not None:
            self.loop.call_later(delay_s, worker.receive_copy, response)

    def advance_task(self, worker: FakeWorker, task_id: str, task: Task, now: float) -> None:
        """Advance a task when its image is pulled, its gang is complete, or it is done or has saved its checkpoint."""
        job_id, _, number = task_id.rpartition("/")
        job = self.jobs[job_id]
        gang = job.spec["shape"] == "ensemble"
        if task.phase == "pulling" and worker.has_image(job.spec["bundle"], task):
            self.rules.check_start(worker, task_id, job, now)
            task.phase, task.phase_since = ("waiting" if gang else "running"), now
            worker.heartbeat_due_soon = True
        if (
            task.phase == "waiting"
            and self._gang_task_count(job_id, task.attempt, ("waiting", "running")) == job.spec["pieces"]
        ):
            task.phase, task.phase_since = "running", now
            worker.heartbeat_due_soon = True
        if task.phase == "waiting" and now - task.phase_since > self.params.workers.gang_wait_s:
            worker.exit(task_id, task, "alone")
        elif task.phase == "running" and now - task.phase_since >= job.ends.get(int(number), job.run_s):
            job.done.update(range(job.spec["pieces"]) if gang else [int(number)])
            worker.exit(task_id, task, "done")
        elif task.phase == "saving" and now - task.phase_since >= job.save_s:
            worker.exit(task_id, task, "halted")
        elif task.phase == "running" and gang and len(job.done) < job.spec["pieces"]:
            if self._gang_task_count(job_id, task.attempt, ("waiting", "running")) == job.spec["pieces"]:
                task.gang_incomplete_since = None
            elif task.gang_incomplete_since is None:
                task.gang_incomplete_since = now
            elif now - task.gang_incomplete_since > self.params.workers.gang_peer_s:
                worker.exit(task_id, task, "mates_gone")

    def notify_task_end(self, worker: FakeWorker, task_id: str, task: Task, cause: str) -> None:
        """Call the `on_end` callbacks if a running task ends or begins to save a checkpoint."""
        if task.phase == "running":
            for check in self.on_end:
                check(worker, task_id, task, cause)

    def _gang_task_count(self, job_id: str, attempt: int, phases: tuple[str, ...]) -> int:
        return sum(
            p.rpartition("/")[0] == job_id and t.attempt == attempt and t.phase in phases
            for w in self.workers.values() for p, t in w.tasks.items()
        )  # fmt: skip
