"""Stand-ins for the state service, the cloud, workers and users, and a runner of real controller processes.

They follow the pages of the platform and run in one process on the real clock and on loopback addresses. A case
injects its disruption through the hooks of the stand-ins, and judges what users, workers and the platform see.
"""

# ruff: noqa: ANN401, ASYNC110
# Bodies are JSON of any form, as on the wire; a worker waits in small steps, as its next report may become due sooner.

import asyncio
import bisect
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
LONGEST_S = 118.0  # a case ends within 120 s
CHANGES_KEPT = 10_000
PAGE_ITEMS = 1000
PAGE_BYTES = 512 * 1024
TRANSACTION_BYTES = 64 * 1024
STEP_S = 0.05


def free_ports(count: int) -> list[int]:
    """Return unused ports of the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for unbound in sockets:
            unbound.bind(("127.0.0.1", 0))
        return [bound.getsockname()[1] for bound in sockets]


class Record:
    """The record of a run: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


@dataclass
class Limits:
    """The limits of the state service."""

    rps: float = 150.0
    write_rps: float = 50.0
    value_kb: float = 16.0
    txn_ops: int = 12


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.at = time.monotonic()

    def take(self, cost: float) -> bool:
        """Take tokens; return False, and take none, if there are too few."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


async def serve(handler: Callable[[web.Request], Awaitable[web.StreamResponse]], port: int) -> web.AppRunner:
    """Serve all paths of a port with one handler."""
    app = web.Application(client_max_size=1 << 20)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


@dataclass
class Session:
    """A lease of the state service."""

    ttl_s: float
    until: float
    keys: set[str] = field(default_factory=set)


Hook = Callable[[str, str, str, Any], Awaitable[None]]


async def no_delay(_node: str, _method: str, _path: str, _body: object) -> None:
    """Do nothing; the default hook."""


class StateService:
    """The state service. `before` is awaited before a request is executed, `after` before its answer is sent."""

    def __init__(self, record: Record, limits: Limits) -> None:
        self.record = record
        self.limits = limits
        self.epoch = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.names: list[str] | None = None  # the keys in order; None: to be sorted again
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.forgotten_epoch = 0  # changes up to this one are not kept
        self.holds: dict[int, Session] = {}
        self.last_hold = 0
        self.refused: set[str] = set()  # nodes that get 503
        self.down = False
        self.before: Hook = no_delay
        self.after: Hook = no_delay
        self.on_change: list[Callable[[str, str, Any], None]] = []  # node, key, value (None: deleted)
        self.on_conflict: list[Callable[[str, list[str], Any], None]] = []
        self.requests = Bucket(limits.rps)
        self.writes = Bucket(limits.write_rps)
        self.changed = asyncio.Event()

    def handler(self, node: str) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return the handler of the port that one node uses."""

        async def handle(request: web.Request) -> web.StreamResponse:
            raw = await request.read()
            body = json.loads(raw) if raw else None
            path = request.path_qs
            if self.down or node in self.refused:
                return web.json_response({}, status=503)
            if not self.requests.take(1.0):
                self.record.line(f"state {node} {request.method} {path} -> 429")
                return web.json_response({}, status=429)
            await asyncio.sleep(0.003)
            await self.before(node, request.method, path, body)
            if request.path == "/changes":
                out = await self._watch(node, request)
                status = 200 if out is not None else 410
            else:
                status, out = self._execute(node, request, body, len(raw))
            await self.after(node, request.method, path, body)
            if status >= 500 or self.down or node in self.refused:
                return web.json_response({}, status=503)
            return web.json_response(out or {}, status=status)

        return handle

    async def run(self) -> None:
        """End leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if not self.down:
                for hold in [hold for hold, session in self.holds.items() if now > session.until + 0.05]:
                    self._end(hold, "expired")

    def set_outage(self, down: bool) -> None:
        """Begin or end an outage; after it all leases have their full time again."""
        self.down = down
        if not down:
            for session in self.holds.values():
                session.until = time.monotonic() + session.ttl_s

    def _end(self, hold: int, why: str) -> None:
        session = self.holds.pop(hold)
        keys = [key for key in session.keys if key in self.keys and self.keys[key][2] == hold]
        if keys:
            self.epoch += 1
        for key in keys:
            del self.keys[key]
            self.names = None
            self._note("-", key, None, f"hold {hold} {why}")
        self._wake()

    def _note(self, node: str, key: str, value: object, why: str = "") -> None:
        entry = {"delete": key} if value is None else {"set": key, "value": value}
        self.log.append((self.epoch, {**entry, "stamp": self.epoch}))
        del self.log[: max(0, len(self.log) - CHANGES_KEPT)]
        text = "deleted" if value is None else json.dumps(value)[:300]
        self.record.line(f"state epoch {self.epoch}: {key} by {node} {why} {text}")
        for hook in self.on_change:
            hook(node, key, value)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _execute(self, node: str, request: web.Request, body: Any, size: int) -> tuple[int, dict[str, Any]]:
        path = request.path
        if path == "/commit":
            return self._commit(node, body, size)
        if path == "/holds":
            self.last_hold += 1
            ttl_s = body["ttlMs"] / 1000
            self.holds[self.last_hold] = Session(ttl_s, time.monotonic() + ttl_s)
            return 200, {"hold": self.last_hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if request.method == "DELETE":
                self._end(hold, f"ended by {node}")
            else:
                self.holds[hold].until = time.monotonic() + self.holds[hold].ttl_s
            return 200, {}
        if path == "/store":
            return self._scan(request)
        key = path[len("/store/") :]
        stored = self.keys.get(key)
        if stored is None:
            return 404, {"epoch": self.epoch}
        return 200, {"k": key, "value": stored[0], "stamp": stored[1], **({"hold": stored[2]} if stored[2] else {})}

    def _scan(self, request: web.Request) -> tuple[int, dict[str, Any]]:
        under, after = request.query["under"], request.query.get("after", "")
        most = min(PAGE_ITEMS, int(request.query.get("most", PAGE_ITEMS)))
        if self.names is None:
            self.names = sorted(self.keys)
        first = bisect.bisect_right(self.names, max(after, under))
        names = [key for key in self.names[first : first + most + 1] if key.startswith(under)]
        entries: list[dict[str, Any]] = []
        size = 0
        for key in names[:most]:
            entry = {"k": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(entry)) + 2
            if size > PAGE_BYTES:
                break
            entries.append(entry)
        return 200, {"entries": entries, "more": len(entries) < len(names), "epoch": self.epoch}

    def _commit(self, node: str, body: Any, size: int) -> tuple[int, dict[str, Any]]:
        changes = body.get("apply") or []
        when = body.get("when") or []
        largest = max((len(json.dumps(c["value"]).encode()) for c in changes if "set" in c), default=0)
        too_many = len(changes) > self.limits.txn_ops or len(when) > 4 * self.limits.txn_ops
        if too_many or largest > self.limits.value_kb * 1024 or size > TRANSACTION_BYTES:
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {}
        if any("hold" in change and change["hold"] not in self.holds for change in changes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if failed:
            for hook in self.on_conflict:
                hook(node, failed, body)
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for change in changes:
            key = change.get("set") or change["delete"]
            if key not in self.keys or "delete" in change:
                self.names = None
            if "delete" in change:
                if self.keys.pop(key, None) is not None:
                    self._note(node, key, None)
                continue
            hold = change.get("hold")
            if hold is not None:
                self.holds[hold].keys.add(key)
            self.keys[key] = (change["value"], self.epoch, hold)
            self._note(node, key, change["value"])
        if changes:
            self._wake()
        return 200, {"epoch": self.epoch}

    async def _watch(self, node: str, request: web.Request) -> dict[str, Any] | None:
        after = int(request.query["after"])
        until = time.monotonic() + min(60.0, int(request.query.get("blockMs", "0")) / 1000)
        under = request.query["under"]
        while True:
            if after < self.forgotten_epoch or (len(self.log) >= CHANGES_KEPT and after < self.log[0][0] - 1):
                return None
            changes = [c for e, c in reversed_until(self.log, after) if (c.get("set") or c["delete"]).startswith(under)]
            blocked = self.down or node in self.refused
            left_s = until - time.monotonic()
            if not blocked and (changes or left_s <= 0):
                return {"epoch": self.epoch, "log": changes}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.02, left_s) if not blocked else 0.1):
                    await changed.wait()


def reversed_until(log: list[tuple[int, dict[str, Any]]], after: int) -> list[tuple[int, dict[str, Any]]]:
    """Return the entries of a log after a revision, in order."""
    position = len(log)
    while position and log[position - 1][0] > after:
        position -= 1
    return log[position:]


@dataclass
class MachineKind:
    """The only machine type of the deployment."""

    name: str
    cores: float
    cards: float
    mem_gb: float
    yards: list[str]
    boot_s: float = 25.0


class Cloud:
    """The cloud. Its list is as old as `lag_s`."""

    def __init__(self, cluster: "Cluster", kind: MachineKind, lag_s: float) -> None:
        self.cluster = cluster
        self.kind = kind
        self.lag_s = lag_s
        self.capacity = 0  # machines that can still be rented
        self.hires: dict[str, list[str]] = {}
        self.down = False
        self.history: list[tuple[float, list[dict[str, Any]]]] = []

    def handler(self, node: str) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return the handler of the port that one node uses."""

        async def handle(request: web.Request) -> web.StreamResponse:
            body = json.loads(await request.read() or b"null")
            await asyncio.sleep(0.08)
            if self.down:
                return web.json_response({"error": "trouble"}, status=503)
            if request.path == "/catalog":
                return web.json_response({"hulls": [self._hull()]})
            if request.path == "/hosts/delete":
                self.cluster.record.line(f"cloud {node} deletes {body['hosts']}")
                for name in body["hosts"]:
                    worker = self.cluster.workers.pop(name, None)
                    if worker is not None:
                        worker.power_off()
                return web.json_response({})
            if request.method == "POST":
                return self._hire(node, body)
            return self._list(request)

        return handle

    def _hull(self) -> dict[str, Any]:
        kind = self.kind
        return {"label": kind.name, "cores": kind.cores, "cards": kind.cards, "memGb": kind.mem_gb, "localGb": 80,
                "pullGbPerS": 1.0, "price": 13.2, "spotPrice": 6.21, "startupS": kind.boot_s,
                "yards": kind.yards}  # fmt: skip

    def _hire(self, node: str, body: Any) -> web.Response:
        names = self.hires.get(body["hire"])
        if names is None:
            count = min(self.capacity, body["count"])
            if not count:
                return web.json_response({"error": "no capacity"}, status=503)
            self.capacity -= count
            workers = [self.cluster.add_machine(body["yard"], body["loaners"], self.kind.boot_s) for _ in range(count)]
            names = self.hires[body["hire"]] = [worker.name for worker in workers]
        self.cluster.record.line(f"cloud {node} hires {body} -> {names}")
        return web.json_response({"hosts": names})

    def snapshot(self) -> None:
        """Keep the present list, for late answers."""
        now = time.monotonic()
        self.history.append((now, [w.listed() for w in self.cluster.workers.values()]))
        while len(self.history) > 1 and self.history[1][0] < now - self.lag_s:
            del self.history[0]

    def _list(self, request: web.Request) -> web.Response:
        after, most = request.query.get("after", ""), min(500, int(request.query.get("most", "500")))
        listed = [entry for entry in self.history[0][1] if entry["ref"] > after] if self.history else []
        return web.json_response({"hosts": listed[:most], "more": len(listed) > most})


@dataclass
class Task:
    """A task on a machine."""

    attempt: int
    phase: str
    since: float
    cause: str | None = None


class Worker:
    """The worker of one machine, as the pages describe it."""

    def __init__(self, cluster: "Cluster", name: str, yard: str, spot: bool, boot_s: float, node: int) -> None:
        self.cluster = cluster
        self.name = name
        self.yard = yard
        self.spot = spot
        self.up_at = time.monotonic() + boot_s
        self.rented_at = time.monotonic()
        self.node = node
        self.next_step = 1  # to the next node in its order; -1: in the opposite order
        self.tenure = 1
        self.tick = 0
        self.mandate = 0
        self.lease_from = self.up_at
        self.tasks: dict[str, Task] = {}
        self.images: set[str] = set()
        self.off = False
        self.due_soon = False
        self.reaches: Callable[[str], bool] = lambda _node: True
        self.token_change_at = -1e9
        self.session: ClientSession | None = None
        self.report_bytes = 0  # of the last report
        self.refusals = 0  # reports that were answered neither 200 nor 421
        self.loops = [asyncio.create_task(self._run()), asyncio.create_task(self._step())]

    def listed(self) -> dict[str, Any]:
        """Return the entry of the machine in the cloud's list."""
        now = time.monotonic()
        return {"ref": self.name, "addr": "127.0.0.1:9", "hull": self.cluster.cloud.kind.name, "yard": self.yard,
                "loaners": self.spot, "phase": "booting" if now < self.up_at else "running",
                "heldS": round(now - self.rented_at, 1)}  # fmt: skip

    def power_off(self) -> None:
        """End the machine with all that is on it."""
        self._kill("machine gone")
        self.off = True
        for loop in self.loops:
            loop.cancel()

    def _kill(self, why: str) -> None:
        for piece, task in self.tasks.items():
            if task.phase != "exited":
                self.cluster.on_end(self, piece, task, why)
        self.tasks.clear()

    def check_lease(self, now: float) -> None:
        """End all tasks and begin the next session if the lease has ended."""
        if now > self.lease_from + self.cluster.timings["lease_s"]:
            self.cluster.record.line(f"worker {self.name} lease ended, session {self.tenure + 1}")
            self._kill("lease ended")
            self.tenure += 1
            self.lease_from = now
            self.due_soon = True

    async def _step(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            if now < self.up_at:
                continue
            self.check_lease(now)
            for piece, task in self.tasks.items():
                self.cluster.advance(self, piece, task, now)

    async def _run(self) -> None:
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()) + random.random() * 0.5)
        timeout = ClientTimeout(total=4.0)
        self.session = ClientSession(timeout=timeout, connector=TCPConnector(limit=2))
        last = -1e9
        try:
            while True:
                wait_s = self.cluster.timings["report_s"] * random.uniform(0.75, 1.25)
                while time.monotonic() - last < (0.5 if self.due_soon else wait_s):
                    await asyncio.sleep(0.02)
                last = time.monotonic()
                self.due_soon = False
                self.check_lease(last)
                await self._report()
        finally:
            await self.session.close()

    async def _report(self) -> None:
        sent_at = time.monotonic()
        tenure = self.tenure
        self.tick += 1
        pieces = [
            {"piece": piece, "try": task.attempt, "phase": task.phase, **({"cause": task.cause} if task.cause else {})}
            for piece, task in self.tasks.items()
        ]
        body = {"host": self.name, "addr": "127.0.0.1:9", "hull": self.cluster.cloud.kind.name, "yard": self.yard,
                "loaners": self.spot, "tenure": tenure, "tick": self.tick, "mandate": self.mandate, "recallS": None,
                "pieces": pieces}  # fmt: skip
        name = self.cluster.names[self.node]
        status, answer = await self._post(name, body)
        if status == 200 and time.monotonic() - sent_at < 4.0:
            token = answer.get("mandate", -1)
            if token >= self.mandate and tenure == self.tenure:
                self.lease_from = max(self.lease_from, sent_at)
                if token > self.mandate and sent_at - self.token_change_at > self.cluster.timings["lease_s"] / 2:
                    self.token_change_at = sent_at
                    self.due_soon = True
                self.mandate = token
                for order in answer.get("orders", ()):
                    self._execute(order)
            return
        target = answer.get("overseer") if status == 421 else None
        if target in self.cluster.names and target != name:
            self.node = self.cluster.names.index(target)
            await asyncio.sleep(random.uniform(0.0, 0.5))
            self.due_soon = True
            return
        if status != 421:
            self.refusals += 1
            self.cluster.record.line(f"worker {self.name} report of {self.report_bytes} bytes to {name} -> {status}")
        await asyncio.sleep(1.0)
        self.node = (self.node + self.next_step) % len(self.cluster.names)
        self.due_soon = True

    async def _post(self, name: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        assert self.session is not None
        if not self.reaches(name):
            await asyncio.sleep(4.0)
            return 0, {}
        url = f"http://127.0.0.1:{self.cluster.ports[name]['public']}/agent/beat"
        try:
            data = json.dumps(body, separators=(",", ":"))
            self.report_bytes = len(data)
            async with self.session.post(url, data=data, headers={"Content-Type": "application/json"}) as response:
                raw = await response.read()
                return response.status, json.loads(raw) if raw else {}
        except (ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    def _execute(self, order: dict[str, Any]) -> None:
        piece, attempt, verb = order["piece"], order["try"], order["verb"]
        task = self.tasks.get(piece)
        if self.cluster.verbose:
            self.cluster.record.line(f"worker {self.name} executes {verb} {piece} try {attempt}")
        self.due_soon = True
        if verb == "launch":
            if task is not None and task.attempt == attempt:
                return
            if task is not None and task.phase != "exited":
                self.cluster.record.line(f"worker {self.name} refuses {piece} try {attempt}: in_use")
                return
            self.tasks[piece] = Task(attempt, "pulling", time.monotonic())
            self.cluster.on_launch(self, piece, attempt)
        elif task is not None and task.attempt == attempt:
            if verb == "forget" and task.phase == "exited":
                del self.tasks[piece]
            elif verb == "stop" and task.phase != "exited":
                self.exit(piece, task, "halted")

    def exit(self, piece: str, task: Task, cause: str) -> None:
        """End a task."""
        self.cluster.on_end(self, piece, task, cause)
        task.phase, task.cause = "exited", cause
        self.due_soon = True


@dataclass
class Job:
    """A job, and what its user was told."""

    spec: dict[str, Any]
    run_s: float
    accepted_at: float | None = None
    started: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    final: str | None = None  # the final phase that its user was told


def description(number: int, **changes: Any) -> dict[str, Any]:
    """Return a submission as users send it."""
    fields = {
        "ref": f"run-{number:06d}", "hookset": "replay-render", "owner": "member-care", "shape": "batch",
        "rank": "standard", "pieces": 1, "cores": 6.0, "cards": 1.0, "memGb": 48.0, "bundle": "img-1", "sizeGb": 0.3,
        "hulls": None, "yard": None, "samePlace": False, "spread": False, "loaners": False, "guessS": 60.0,
        "pinEveryS": 15.0, "pinCostS": 2.0, "dueS": None,
    }  # fmt: skip
    return {**fields, **changes}


class Cluster:
    """Three controllers as processes, with the stand-ins round them."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        timings: dict[str, float],
        limits: Limits,
        kind: MachineKind,
        teams: list[dict[str, Any]],
        controllers: int = 3,
        list_lag_s: float = 10.0,
        settings: str = "",
    ) -> None:
        self.folder = folder
        self.record = record
        self.timings = timings
        self.limits = limits
        self.teams = teams
        self.extra_settings = settings
        self.core_share = 0.432
        self.memory_mb = 186.0
        self.names = [f"wallhost-{i}" for i in range(controllers)]
        ports = iter(free_ports(5 * controllers))
        self.ports = {
            name: {use: next(ports) for use in ("public", "peer", "state", "cloud", "spare")} for name in self.names
        }
        self.peer_ports: dict[tuple[str, str], int] = {}  # port at which a node (first) reaches another (second)
        self.state = StateService(record, limits)
        self.cloud = Cloud(self, kind, list_lag_s)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Job] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.runners: list[web.AppRunner] = []
        self.background: list[asyncio.Task[Any]] = []
        self.session: ClientSession | None = None
        self.last_machine = 0
        self.starts: list[tuple[float, str, str, int]] = []
        self.verbose = True  # whether each start and end of a task is recorded

    # -- setup -----------------------------------------------------------------------------------

    async def open(self) -> None:
        """Start the stand-ins and write the settings."""
        self.session = ClientSession()
        for name in self.names:
            self.runners.append(await serve(self.state.handler(name), self.ports[name]["state"]))
            self.runners.append(await serve(self.cloud.handler(name), self.ports[name]["cloud"]))
            (self.folder / f"{name}.toml").write_text(self._settings(name), encoding="utf-8")
        self.spawn(self.state.run())
        self.spawn(self._keep_list())

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the end."""
        task = asyncio.create_task(work)
        self.background.append(task)
        return task

    async def _keep_list(self) -> None:
        while True:
            self.cloud.snapshot()
            await asyncio.sleep(0.5)

    def _settings(self, name: str) -> str:
        ports = self.ports[name]
        zones = self.cloud.kind.yards
        lines = [
            f'node_name = "{name}"',
            f'area = "{zones[self.names.index(name) % len(zones)]}"',
            f'public_addr = "127.0.0.1:{ports["public"]}"',
            f'peer_listen = "127.0.0.1:{ports["peer"]}"',
        ]
        for i, other in enumerate(self.names):
            if other != name:
                port = self.peer_ports.get((name, other), self.ports[other]["peer"])
                lines += ["[[seeds]]", f'node_name = "{other}"', f'area = "{zones[i % len(zones)]}"',
                          f'peer_addr = "127.0.0.1:{port}"']  # fmt: skip
        lines += ["[external]", f'cloud = "127.0.0.1:{ports["cloud"]}"', f'state = "127.0.0.1:{ports["state"]}"']
        lines += ["[settings]", f"size = {len(self.names)}", f"zones = {json.dumps(zones)}", "time_bound_ms = 25.0"]
        for team in self.teams:
            lines += ["[[settings.teams]]", *(f"{key} = {json.dumps(value)}" for key, value in team.items())]
        lines += ["[settings.workers]", *(f"{key} = {value}" for key, value in self.timings.items())]
        lines += ["[settings.state]", f"rps = {self.limits.rps}", f"write_rps = {self.limits.write_rps}",
                  f"value_kb = {self.limits.value_kb}", f"txn_ops = {self.limits.txn_ops}"]  # fmt: skip
        lines += ["[settings.cloud]", "rps = 2.0", f"list_lag_s = {self.cloud.lag_s}"]
        lines += ["[settings.machine_limits]"]
        lines += [f"core_share = {self.core_share}", f"memory_mb = {self.memory_mb}", "sockets = 1200"]
        return "\n".join(lines) + "\n" + self.extra_settings

    def start(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self.folder / f"{name}.toml")]
        env = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log, stdin=subprocess.DEVNULL)
        self.record.line(f"controller {name} started")

    def kill(self, name: str) -> None:
        """Kill a controller without any signal that it could handle."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record.line(f"controller {name} killed")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a controller."""
        self.processes[name].send_signal(number)
        self.record.line(f"controller {name} gets {signal.Signals(number).name}")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for name in list(self.processes):
            self.kill(name)
        for worker in self.workers.values():
            worker.power_off()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for worker in self.workers.values():
            await asyncio.gather(*worker.loops, return_exceptions=True)
        if self.session is not None:
            await self.session.close()
        for runner in self.runners:
            await runner.cleanup()

    # -- machines and tasks ----------------------------------------------------------------------

    def add_machine(self, yard: str, spot: bool = False, boot_s: float = 0.0, node: int | None = None) -> Worker:
        """Add a machine."""
        self.last_machine += 1
        index = self.last_machine % len(self.names) if node is None else node
        worker = Worker(self, f"vm-{self.last_machine:06d}", yard, spot, boot_s, index)
        self.workers[worker.name] = worker
        return worker

    def advance(self, worker: Worker, piece: str, task: Task, now: float) -> None:
        """Advance a task: image, gang, end."""
        job = self.jobs[piece.rpartition("/")[0]]
        gang = job.spec["shape"] == "ensemble"
        if task.phase == "pulling":
            image = job.spec["bundle"]
            if image in worker.images or now - task.since >= job.spec["sizeGb"]:
                worker.images.add(image)
                task.phase, task.since = ("waiting" if gang else "running"), now
                worker.due_soon = True
                self.on_start(worker, piece, task)
        if task.phase == "waiting":
            mates = [
                other for w in self.workers.values() for p, other in w.tasks.items()
                if p.rpartition("/")[0] == job.spec["ref"] and other.attempt == task.attempt
                and other.phase in ("waiting", "running")
            ]  # fmt: skip
            if len(mates) == job.spec["pieces"]:
                task.phase, task.since = "running", now
                worker.due_soon = True
        if task.phase == "running" and now - task.since >= job.run_s:
            job.done.add(piece)
            worker.exit(piece, task, "done")

    def on_launch(self, worker: Worker, piece: str, attempt: int) -> None:
        """Note a launch."""

    def on_start(self, worker: Worker, piece: str, task: Task) -> None:
        """Note that a task is on its machine from now on."""
        if self.verbose:
            self.record.line(f"task {piece} try {task.attempt} is on {worker.name}")
        self.jobs[piece.rpartition("/")[0]].started.add(piece)
        self.starts.append((self.record.now(), piece, worker.name, task.attempt))
        for other in self.workers.values():
            twin = other.tasks.get(piece)
            if other is not worker and twin is not None and twin.phase in ("waiting", "running", "saving"):
                self.ran_twice(piece, other, worker)

    def starts_of(self, job: Job) -> list[tuple[float, str, str, int]]:
        """Return the starts of a job's tasks: time, task, machine and attempt."""
        return [start for start in self.starts if start[1].rpartition("/")[0] == job.spec["ref"]]

    def ran_twice(self, piece: str, first: Worker, second: Worker) -> None:
        """Note that a task starts on a machine while it is on another one."""
        self.record.line(f"RAN TWICE {piece} on {first.name} and {second.name}")

    def on_end(self, worker: Worker, piece: str, task: Task, cause: str) -> None:
        """Note the end of a task."""
        if self.verbose:
            self.record.line(f"task {piece} try {task.attempt} ends on {worker.name}: {cause}")

    # -- users -----------------------------------------------------------------------------------

    async def request(
        self, name: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to a node; status 0 without an answer."""
        assert self.session is not None
        url = f"http://127.0.0.1:{self.ports[name]['public']}{path}"
        try:
            async with self.session.request(method, url, json=body, timeout=ClientTimeout(total=timeout_s)) as response:
                raw = await response.read()
                answer = (response.status, json.loads(raw) if raw else {})
        except (ClientError, TimeoutError, OSError, ValueError) as error:
            answer = (0, {"error": type(error).__name__})
        if path != "/up":
            self.record.line(f"user {name} {method} {path} -> {answer[0]} {json.dumps(answer[1])}")
        return answer

    async def submit(self, number: int, run_s: float, within_s: float = 60.0, **changes: Any) -> Job:
        """Submit a job as a user does, until a node accepts it."""
        job = Job(description(number, **changes), run_s)
        self.jobs[job.spec["ref"]] = job
        until = time.monotonic() + within_s
        while True:
            name = await self.healthy_node()
            status, _ = await self.request(name, "POST", "/v1/jobs", job.spec)
            if status in (200, 201):
                job.accepted_at = self.record.now()
                return job
            if time.monotonic() > until:
                raise CaseError(f"{job.spec['ref']} was not accepted")
            await asyncio.sleep(1.0)

    async def poll(self, job: Job, name: str | None = None) -> tuple[int, str]:
        """Ask for the state of a job."""
        node = name or await self.healthy_node()
        status, answer = await self.request(node, "GET", f"/v1/jobs/{job.spec['ref']}", timeout_s=2.0)
        phase = answer.get("phase", "")
        if status == 200 and phase in ("done", "withdrawn"):
            job.final = phase
        return status, phase

    async def pick_healthy(self) -> str | None:
        """Return a node that is healthy now, as the load balancer would pick it; None if there is none."""
        for name in random.sample(self.names, len(self.names)):
            if name in self.processes and (await self.request(name, "GET", "/up", timeout_s=1.0))[0] == 200:
                return name
        return None

    async def healthy_node(self) -> str:
        """Return a node that is healthy, once there is one."""
        while (name := await self.pick_healthy()) is None:
            await asyncio.sleep(0.5)
        return name

    def leader(self) -> str | None:
        """Return the node that the leader key names."""
        stored = self.state.keys.get("hookwall/leader")
        return None if stored is None else stored[0].get("node")

    def check_time_left(self, needed_s: float) -> None:
        """Raise CaseError if the rest of the case, which takes `needed_s`, would end after two minutes."""
        if self.record.now() + needed_s > LONGEST_S:
            raise CaseError(f"no time left: {needed_s:.0f} s needed after {self.record.now():.0f} s")

    async def wait_until(self, condition: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for a condition; raise CaseError if it does not hold in time."""
        until = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > until:
                raise CaseError(f"not in time: {what}")
            await asyncio.sleep(0.02)


class CaseError(Exception):
    """The case could not be run."""


def run_case(folder: Path, play: Callable[[Path, Record, bool], Awaitable[int]]) -> None:
    """Run a case; exit with its status. `play` gets a temporary folder, the record, and whether to disrupt."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(play(Path(temporary), record, trouble))
        except CaseError as error:
            record.line(f"the case could not be run: {error}")
            status = NOT_RUN
        if os.environ.get("KEEP_LOGS"):
            for log in Path(temporary).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record.line(f"exit status {status}")
    sys.exit(status)
