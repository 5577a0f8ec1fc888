# ruff: noqa: ANN401
"""A small deployment on loopback: real controllers, started as the deploy file says, and the stand-ins around them."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from standins_2.cloud import Cloud
from standins_2.links import Proxy
from standins_2.record import Record
from standins_2.store import Store
from standins_2.worker import Task, Worker

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 112.0  # of a whole case; its script has 120 s


class CouldNotRunError(Exception):
    """The case could not be brought about, so that it shows nothing."""


@dataclass
class UserJob:
    """A job as its user uploaded it, and what came of it."""

    spec: dict[str, Any]
    run_s: float
    done: set[str] = field(default_factory=set)
    saved: dict[str, float] = field(default_factory=dict)
    answers: list[tuple[float, int, str]] = field(default_factory=list)
    accepted: bool = False
    cancelled_at: float | None = None  # when its user was told
    longer: dict[str, float] = field(default_factory=dict)  # tasks that run for another time than `run_s`

    def left_s(self, task: Task) -> float:
        """Return how long a task still has to run."""
        return self.longer.get(task.piece, self.run_s) - self.saved.get(task.piece, 0.0)

    def save(self, task: Task) -> None:
        """Keep the progress of a task that is stopped in order."""
        self.saved[task.piece] = self.saved.get(task.piece, 0.0) + time.monotonic() - task.since

    def finish(self, task: Task, gang: bool) -> None:
        """Record that a task, or its whole gang, is done."""
        ref = self.spec["ref"]
        self.done.update([f"{ref}/{n}" for n in range(self.spec["pieces"])] if gang else [task.piece])


class Cluster:
    """Controllers as processes, and all that surrounds them."""

    def __init__(self, folder: Path, record: Record, site: dict[str, Any], trouble: bool) -> None:
        self.folder = folder
        self.record = record
        self.trouble = trouble
        self.zones: list[str] = site["zones"]
        self.settings: dict[str, Any] = site["settings"]
        self.areas: list[str] = site["areas"]
        self.names = [f"wallhost-{n}" for n in range(len(self.areas))]
        self.hulls = {hull["label"]: hull for hull in site["hulls"]}
        self.store = Store(self.settings["state"], record)
        self.cloud = Cloud(self, self.settings["cloud"], site["hulls"])
        self.ports: dict[str, dict[str, int]] = {}
        self.proxies: dict[tuple[str, str], Proxy] = {}  # from node, to node
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, UserJob] = {}
        self.complete: set[str] = set()
        self.violations: list[str] = []
        self.started: list[str] = []  # all tasks that were started
        self.answers: dict[str, int] = {}  # node -> highest token with which it answered a worker 200
        self.leader = ""
        self.session: aiohttp.ClientSession
        self._runners: list[web.AppRunner] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.on_delete: Callable[[str, str], None] = lambda _node, _name: None

    # -- set-up and end ----------------------------------------------------------------------------

    async def open(self) -> None:
        """Open all ports, and write the settings files."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        ports = iter(_free_ports(2 * len(self.names)))
        for name in self.names:
            self.ports[name] = {"public": next(ports), "peer": next(ports)}
        for name in self.names:
            self.ports[name]["state"] = await self._listen(name, self.store.handle)
            self.ports[name]["cloud"] = await self._listen(name, self.cloud.handle)
            for other in self.names:
                if other != name:
                    proxy = self.proxies[name, other] = Proxy(self.ports[other]["peer"])
                    await proxy.open()
        for name in self.names:
            (self.folder / f"{name}.toml").write_text(self._settings_file(name))
        self.spawn(self._step())

    async def _listen(self, name: str, handle: Callable[[str, web.Request], Coroutine[Any, Any, Any]]) -> int:
        app = web.Application(client_max_size=1 << 20)
        app.router.add_route("*", "/{path:.*}", lambda request: handle(name, request))
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return int(runner.addresses[0][1])

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something in the background until the case ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all processes and servers."""
        for name in list(self.processes):
            self.kill(name)
        for task in list(self._tasks):
            task.cancel()
        for proxy in self.proxies.values():
            proxy.close()
        with contextlib.suppress(Exception):
            await self.session.close()
        for runner in self._runners:
            with contextlib.suppress(Exception):
                async with asyncio.timeout(2.0):
                    await runner.cleanup()

    async def _step(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.store.expire()
            now = time.monotonic()
            for worker in list(self.workers.values()):
                worker.step(now)

    def _settings_file(self, name: str) -> str:
        own = self.ports[name]
        lines = [
            f'node_name = "{name}"', f'area = "{self.areas[self.names.index(name)]}"',
            f'public_addr = "127.0.0.1:{own["public"]}"', f'peer_listen = "127.0.0.1:{own["peer"]}"',
        ]  # fmt: skip
        for other in self.names:
            if other != name:
                port = self.proxies[name, other].port
                lines += [
                    "[[seeds]]", f'node_name = "{other}"', f'area = "{self.areas[self.names.index(other)]}"',
                    f'peer_addr = "127.0.0.1:{port}"',
                ]  # fmt: skip
        lines += ["[external]", f'cloud = "127.0.0.1:{own["cloud"]}"', f'state = "127.0.0.1:{own["state"]}"']
        lines += ["[settings]", f"size = {len(self.names)}", f"zones = {json.dumps(self.zones)}"]
        lines += [f"time_bound_ms = {self.settings['time_bound_ms']}"]
        for table in ("teams", "objectives"):
            for entry in self.settings[table]:
                lines += [f"[[settings.{table}]]", *(f"{k} = {json.dumps(v)}" for k, v in entry.items())]
        for table in ("workers", "state", "cloud", "machine_limits"):
            plain = {k: v for k, v in self.settings[table].items() if not isinstance(v, dict)}
            lines += [f"[settings.{table}]", *(f"{k} = {json.dumps(v)}" for k, v in plain.items())]
        if "next" in self.settings["state"]:
            lines += ["[settings.state.next]", *(f"{k} = {v}" for k, v in self.settings["state"]["next"].items())]
        return "\n".join(lines) + "\n"

    # -- controllers -------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a controller with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*deploy["run"].split(), str(self.folder / f"{name}.toml")]
        log = (self.folder / f"{name}.log").open("ab")
        env = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env={**env, "LOG_LEVEL": "info"}, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record.line(name, f"started: {' '.join(command[:-1])} FILE")

    def kill(self, name: str) -> None:
        """Kill a controller."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.line(name, "killed")

    def freeze(self, name: str) -> None:
        """Let a controller stand still."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self.record.line(name, "stands still (SIGSTOP)")

    def thaw(self, name: str) -> None:
        """Let a controller go on."""
        self.record.line(name, "goes on (SIGCONT)")
        self.processes[name].send_signal(signal.SIGCONT)

    async def start_all(self) -> None:
        """Start all controllers, and wait until one answers workers."""
        for name in self.names:
            self.start(name)
        await self.until(lambda: bool(self.leader), 30.0, "no node answers workers")

    def note_answer(self, name: str, token: int) -> None:
        """Note that a node answered a worker 200 with this token."""
        if token >= max(self.answers.values(), default=0) and self.answers.get(name) != token:
            self.answers[name] = token
            self.leader = name
            self.record.line(name, f"answers workers with token {token}")

    def cut_zones(self, one: str, other: str, mode: str) -> None:
        """Cut all traffic of controllers and workers between two zones; `pass` ends the cut."""
        self.record.line("network", f"{one} | {other}: {mode}")
        area = dict(zip(self.names, self.areas, strict=True))
        for (a, b), proxy in self.proxies.items():
            if {area[a], area[b]} == {one, other}:
                proxy.set_mode(mode)
        for worker in self.workers.values():
            for name in self.names:
                if {worker.zone, area[name]} == {one, other}:
                    worker.unreachable.pop(name, None)
                    if mode != "pass":
                        worker.unreachable[name] = mode

    # -- machines ----------------------------------------------------------------------------------

    def begin_worker(self, name: str, type_: str, zone: str, spot: bool, boot_s: float) -> Worker:
        """Create the worker of a new machine."""
        worker = Worker(self, name, self.hulls[type_], zone, spot, boot_s)
        worker.node = random.randrange(len(self.names))
        self.workers[name] = worker
        self.spawn(worker.run())
        return worker

    def machine(self, type_: str, zone: str, spot: bool = False) -> Worker:
        """Add a machine that is up at the start."""
        return self.workers[self.cloud.add(type_, zone, spot, time.monotonic() - 600.0, 0.0)]

    def gang(self, task: Task, phases: tuple[str, ...]) -> list[Task]:
        """Return the tasks of the same job and attempt that are in one of these phases on machines that run."""
        return [
            t for w in self.workers.values() if not w.gone and not w.hung
            for t in w.tasks.values() if t.ref == task.ref and t.attempt == task.attempt and t.phase in phases
        ]  # fmt: skip

    def on_launch(self, worker: Worker, task: Task) -> None:
        """Hook for cases: a task was launched."""

    def on_start(self, worker: Worker, task: Task) -> None:
        """Hook for cases: a task is on its machine from now on."""

    def on_exit(self, worker: Worker, task: Task) -> None:
        """Hook for cases: a task has exited."""

    def check_start(self, worker: Worker, task: Task) -> None:
        """Check the rules at the moment when a task gets its image, from when it is on its machine."""
        now = time.monotonic()
        self.started.append(task.piece)
        for other in self.workers.values():
            for t in other.tasks.values():
                held = now <= other.lease_ends_at()
                if t.piece == task.piece and t is not task and t.on_machine() and held and not other.gone:
                    self.violate(f"ran_twice: {task.piece} starts on {worker.name} while it is on {other.name}")
        job = self.jobs[task.ref]
        cancel_s = self.settings["workers"]["cancel_s"]
        if job.cancelled_at is not None and now - job.cancelled_at > cancel_s:
            self.violate(f"ran_cancelled: {task.piece} starts on {worker.name}")
        if worker.spot and not job.spec["loaners"]:
            self.violate(f"wrong_place: {task.piece} on the spot machine {worker.name}")

    def violate(self, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(text)
        self.record.line("RULE BROKEN", text)

    # -- users -------------------------------------------------------------------------------------

    def job(self, number: int, run_s: float, **fields: Any) -> str:
        """Upload a job's description; return its id."""
        ref = f"run-{number:06d}"
        spec = {
            "ref": ref, "hookset": "k", "owner": "", "shape": "batch", "rank": "standard", "pieces": 1, "cores": 1.0,
            "cards": 1.0, "memGb": 8.0, "bundle": "img-01", "sizeGb": 1.0, "hulls": None, "yard": None,
            "samePlace": False, "spread": False, "loaners": False, "guessS": run_s, "pinEveryS": 0.0, "pinCostS": 0.0,
            "dueS": None, **fields,
        }  # fmt: skip
        self.jobs[ref] = UserJob(spec, run_s)
        return ref

    async def request(self, node: str, method: str, path: str, body: Any, wait_s: float) -> tuple[int, dict[str, Any]]:
        """Send one request of a user; status 0 means that no response came."""
        url = f"http://127.0.0.1:{self.ports[node]['public']}{path}"
        try:
            async with asyncio.timeout(wait_s), self.session.request(method, url, json=body) as response:
                raw = await response.read()
                out = json.loads(raw) if raw else {}
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            status, out = 0, {}
        self.record.line("user", f"{method} {path} at {node} -> {status} {json.dumps(out)}")
        return status, out

    async def submit(self, ref: str, nodes: list[str] | None = None) -> int:
        """Submit a job as users do: repeated for up to 60 s."""
        until = time.monotonic() + 60.0
        names = list(nodes or self.names)
        status = 0
        while time.monotonic() < until:
            node = names[0]
            names = [*names[1:], node]
            status, _ = await self.request(node, "POST", "/v1/jobs", self.jobs[ref].spec, 5.0)
            if status in (200, 201):
                self.jobs[ref].accepted = True
                return status
            if status in (400, 422):
                return status
            await asyncio.sleep(1.0)
        return status

    async def poll(self, ref: str, node: str) -> tuple[int, str]:
        """Poll a job at a node."""
        status, out = await self.request(node, "GET", f"/v1/jobs/{ref}", None, 2.0)
        self.jobs[ref].answers.append((self.record.now(), status, out.get("phase", "")))
        return status, out.get("phase", "")

    async def until(self, holds: Callable[[], bool], within_s: float, otherwise: str) -> None:
        """Wait until something holds; the case could not run if it doesn't in time."""
        end = time.monotonic() + within_s
        while not holds():
            if time.monotonic() > end:
                raise CouldNotRunError(otherwise)
            await asyncio.sleep(0.02)

    def tasks_of(self, ref: str, *phases: str) -> list[tuple[Worker, Task]]:
        """Return the tasks of a job in these phases, with their machines."""
        return [
            (w, t) for w in self.workers.values() if not w.gone
            for t in w.tasks.values() if t.ref == ref and t.phase in phases
        ]  # fmt: skip


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for unbound in sockets:
            unbound.bind(("127.0.0.1", 0))
        return [bound.getsockname()[1] for bound in sockets]


def play(case: Path, site: dict[str, Any], scenario: Callable[[Cluster], Coroutine[Any, Any, None]]) -> None:
    """Play a scenario, and end the program: 1 if a rule was broken, 0 if all held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    record.line("case", f"{case.name}, TROUBLE={int(trouble)}")

    async def main(folder: Path) -> int:
        cluster = Cluster(folder, record, site, trouble)
        try:
            await cluster.open()
            async with asyncio.timeout(LIMIT_S):
                await scenario(cluster)
        except (CouldNotRunError, TimeoutError, OSError) as error:
            record.line("case", f"could not run: {type(error).__name__} {error}")
            if not cluster.violations:
                return 2
        finally:
            await cluster.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in folder.glob("*.log"):
                    (Path(keep) / f"case{case.name}-{log.name}").write_bytes(log.read_bytes())
        return 1 if cluster.violations else 0

    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(main(Path(folder)))
    record.line("case", f"exit {code}")
    print(f"case {case.name}: exit {code}")
    sys.stdout.flush()
    os._exit(code)
