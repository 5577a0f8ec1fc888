"""Load test of the real program with a scripted fleet: cost of heartbeats, rounds, polls, record loading and memory.

    python tools/fleet_load.py --machines 4000 [--seconds 60] [--jobs-per-s 6] [--trouble end|outage|upgrade]

Starts three controllers (`run.py`) on loopback, a fake key-value store and a fake cloud in this process, and workers in
a few processes. Halfway through it injects a fault: it kills the leader, so that a new leader loads all records while
the fleet sends heartbeats; or it makes the key-value store unavailable for a while; or it replaces all controllers one
after the other. `--old` is a checkout whose program the controllers run until they are replaced. Prints one line of
JSON: processor time and memory of each controller, and response times. The machines are simulated and only send
heartbeats; the times hold only for the host on which they are measured.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from aiohttp import web

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT))

from harness.key_value_store import FakeKeyValueStore  # noqa: E402

from hookwall.config.platform import StoreLimits  # noqa: E402

CONTROLLERS = 3
HEARTBEAT_S = 2.5
LEASE_S = 15.0
RUN_S = (20.0, 90.0)  # shortest and longest run time of a task
FLEET_PROCESSES = 3
POLLERS = 20
FIRST_PORT = 21_000
OUTAGE_S = 20.0
REPLACEMENT_PAUSE_S = 6.0  # between the replacements of two controllers
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def zone_of(machine: str) -> str:
    """Return the zone of a machine, which depends on its number."""
    return ("west", "east")[int(machine.rpartition("-")[2]) % 2]


@dataclass
class RequestTimes:
    """Durations of successful requests, and the number of failed ones."""

    seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def summary(self) -> dict[str, float]:
        """Return counts, median, 99th percentile and maximum."""
        done = sorted(self.seconds)
        percentiles = (
            [done[min(len(done) - 1, int(len(done) * share))] for share in (0.5, 0.99)] if done else [0.0, 0.0]
        )
        longest = done[-1] if done else 0.0
        names = ("count", "failed", "median_ms", "p99_ms", "longest_ms")
        values = (len(done), self.failed, *(round(1000 * t, 1) for t in (*percentiles, longest)))
        return dict(zip(names, values, strict=True))


class Client:
    """A client with one persistent HTTP connection to a controller."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        """Send a request; return status and JSON body, or status 0 without a response within 4 s."""
        try:
            async with asyncio.timeout(4.0):
                return await self._send(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}

    async def _send(self, method: str, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        if self.writer is None or self.reader is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
        self.writer.write(head.encode() + b"\r\n\r\n" + body)
        response = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        length = next(int(h.split(":")[1]) for h in response if h.lower().startswith("content-length:"))
        raw = await self.reader.readexactly(length)
        return int(response[0].split()[1]), json.loads(raw) if raw else {}

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class ScriptedWorker:
    """A worker as PROTOCOL specifies it: it sends heartbeats, finds the leader, and launches and ends tasks."""

    def __init__(self, name: str, zone: str, ports: list[int], times: RequestTimes) -> None:
        self.name, self.zone, self.ports, self.times = name, zone, ports, times
        self.node = random.randrange(len(ports))
        self.clients = [Client(port) for port in ports]
        self.epoch, self.sequence, self.token = 1, 0, 0
        self.lease_from = time.monotonic()
        self.leases_lost = 0
        self.tasks: dict[str, tuple[int, float, str]] = {}  # attempt, end time, cause by task id

    async def run(self, until: float) -> None:
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while time.monotonic() < until:
            changed = await self.send_heartbeat()
            await asyncio.sleep(0.5 if changed else HEARTBEAT_S * random.uniform(0.75, 1.25))

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether the next is due soon."""
        now = time.monotonic()
        if now - self.lease_from > LEASE_S:
            self.epoch, self.lease_from = self.epoch + 1, now
            self.leases_lost += bool(self.tasks)
            self.tasks.clear()
        self.sequence += 1
        tasks = [self._task(task_id, *task, now) for task_id, task in self.tasks.items()]
        body = {
            "host": self.name, "addr": "", "hull": "g8", "yard": self.zone, "loaners": False, "tenure": self.epoch,
            "tick": self.sequence, "mandate": self.token, "recallS": None, "pieces": tasks,
        }  # fmt: skip
        status, response = await self.clients[self.node].request("POST", "/agent/beat", json.dumps(body).encode())
        if status == 200 and response["mandate"] >= self.token:
            self.times.seconds.append(time.monotonic() - now)
            changed = response["mandate"] > self.token or bool(response["orders"])
            self.token, self.lease_from = response["mandate"], now
            for command in response["orders"]:
                self._execute(command)
            return changed
        names = [f"n{i}" for i in range(len(self.ports))]
        if status == 421 and response.get("overseer") in names and response["overseer"] != names[self.node]:
            self.node = names.index(response["overseer"])
            return True
        self.times.failed += 1
        self.node = (self.node + 1) % len(self.ports)
        await asyncio.sleep(1.0)
        return True

    @staticmethod
    def _task(task_id: str, attempt: int, end: float, cause: str, now: float) -> dict[str, Any]:
        if cause or now >= end:
            return {"piece": task_id, "try": attempt, "phase": "exited", "cause": cause or "done"}
        return {"piece": task_id, "try": attempt, "phase": "running"}

    def _execute(self, command: dict[str, Any]) -> None:
        task_id, attempt = command["piece"], command["try"]
        task = self.tasks.get(task_id)
        if command["verb"] == "launch" and task is None:
            self.tasks[task_id] = (attempt, time.monotonic() + random.uniform(*RUN_S), "")
        elif task is not None and task[0] == attempt:
            if command["verb"] == "forget":
                del self.tasks[task_id]
            elif command["verb"] == "stop":
                self.tasks[task_id] = (attempt, task[1], task[2] or "halted")


def fleet_process(names: list[str], ports: list[int], seconds: float, results: Any) -> None:
    """Run a part of the workers in one process."""

    async def run() -> None:
        times = RequestTimes()
        until = time.monotonic() + seconds
        workers = [ScriptedWorker(name, zone_of(name), ports, times) for name in names]
        await asyncio.gather(*(w.run(until) for w in workers))
        results.put((times, sum(w.leases_lost for w in workers)))

    asyncio.run(run())


class FakeServices:
    """A fake key-value store and a fake cloud, served over HTTP."""

    def __init__(self, machines: list[str], limits: StoreLimits) -> None:
        self.machines = machines
        simulation = SimpleNamespace(now=time.monotonic, params=SimpleNamespace(state=limits))
        self.state = FakeKeyValueStore(simulation)
        catalog = {"label": "g8", "cores": 96, "cards": 8, "memGb": 768, "localGb": 200, "pullGbPerS": 1.0,
                   "price": 12.0, "spotPrice": 4.5, "startupS": 45, "yards": ["east", "west"]}  # fmt: skip
        self.catalog = {"hulls": [catalog]}

    async def state_service(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read() or b"null")
        self.state.expire_session_leases(time.monotonic())
        path = request.path_qs
        if self.state.down:
            return web.json_response({}, status=503)
        if path.startswith("/changes"):
            status, out = await self.state.watch("", path, 60.0)
        else:
            status, out = self.state.respond(request.method, path, body)
        return web.json_response(out, status=status)

    async def cloud(self, request: web.Request) -> web.Response:
        if request.path == "/catalog":
            return web.json_response(self.catalog)
        if request.method == "POST":
            out, status = ({}, 200) if request.path == "/hosts/delete" else ({"error": "no capacity"}, 503)
            return web.json_response(out, status=status)
        after, limit = request.query.get("after", ""), int(request.query.get("most", "500"))
        page = [n for n in self.machines if n > after][: limit + 1]
        machines = [
            {"ref": n, "addr": "", "hull": "g8", "yard": zone_of(n), "loaners": False,
             "phase": "running", "heldS": 600.0}
            for n in page[:limit]
        ]  # fmt: skip
        return web.json_response({"hosts": machines, "more": len(page) > limit})

    async def listen(self, handler: Any, port: int) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()


@dataclass
class Controller:
    """One controller process and its resource usage."""

    index: int
    config: Path
    root: Path = ROOT  # checkout of the program that the process runs
    process: subprocess.Popen[bytes] | None = None
    peak_mb: float = 0.0

    def start(self) -> None:
        """Start the process."""
        env = {**os.environ, "LOG_LEVEL": "info"}
        with self.config.with_suffix(".log").open("ab") as log:
            args = [sys.executable, str(self.root / "run.py"), "--config", str(self.config)]
            self.process = subprocess.Popen(args, env=env, stderr=log)

    def usage(self) -> tuple[float, float]:
        """Return the processor seconds used so far and the resident memory in MiB now."""
        assert self.process is not None
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        mb = int(stat[21]) * PAGE_BYTES / 2**20
        self.peak_mb = max(self.peak_mb, mb)
        return (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S, mb

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def replace(self, down_s: float) -> None:
        """Kill the process, and start it again with the program of this checkout."""
        self.kill()
        self.peak_mb = 0.0
        await asyncio.sleep(down_s)
        self.root = ROOT
        self.start()


def settings_text(index: int, machines: int) -> str:
    """Return the settings file of a controller, with enough sockets for a fleet of any size."""
    seeds = "".join(
        f'[[seeds]]\nnode_name = "n{i}"\npeer_addr = "127.0.0.1:{FIRST_PORT + 10 + i}"\n'
        for i in range(CONTROLLERS) if i != index
    )  # fmt: skip
    return (
        f'node_name = "n{index}"\npublic_addr = "127.0.0.1:{FIRST_PORT + index}"\n'
        f'peer_listen = "127.0.0.1:{FIRST_PORT + 10 + index}"\n{seeds}'
        f'[external]\ncloud = "127.0.0.1:{FIRST_PORT + 21}"\nstate = "127.0.0.1:{FIRST_PORT + 20}"\n'
        f'[settings]\nsize = {CONTROLLERS}\nzones = ["east", "west"]\n[[settings.teams]]\nname = "red"\n'
        f"[settings.workers]\nreport_s = {HEARTBEAT_S}\nlease_s = {LEASE_S}\ngang_wait_s = 45.0\ngang_peer_s = 8.0\n"
        "cancel_s = 45.0\n[settings.state]\nrps = 360.0\nwrite_rps = 70.0\nvalue_kb = 32.0\ntxn_ops = 24\n"
        "[settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n"
        f"[settings.machine_limits]\ncore_share = 0.36\nmemory_mb = 512.0\nsockets = {machines * 2 + 1000}\n"
    )


def job(n: int) -> dict[str, Any]:
    """Return the submission of job `n`."""
    return {
        "ref": f"run-{n:06d}", "hookset": "k", "owner": "red", "shape": "batch", "rank": "standard",
        "pieces": random.choice([1, 1, 2, 8]), "cores": 8.0, "cards": random.choice([1.0, 2.0, 8.0]), "memGb": 64.0,
        "bundle": f"img-{n % 20}", "sizeGb": 5.0, "hulls": None, "yard": None, "samePlace": False, "spread": False,
        "loaners": False, "guessS": 60.0, "pinEveryS": 30.0, "pinCostS": 2.0, "dueS": None,
    }  # fmt: skip


async def submit_and_poll(
    ports: list[int], until: float, per_s: float, times: dict[str, RequestTimes]
) -> dict[str, int]:
    """Act as the users: submit jobs at a constant rate, and poll accepted jobs."""
    accepted: list[str] = []
    done: set[str] = set()

    async def submit_jobs() -> None:
        client = Client(ports[1])
        for n in range(10**9):
            if time.monotonic() > until:
                return
            spec, began = job(n), time.monotonic()
            status, _ = await client.request("POST", "/v1/jobs", json.dumps(spec).encode())
            if status in (200, 201):
                accepted.append(spec["ref"])
                times["submit"].seconds.append(time.monotonic() - began)
            else:
                times["submit"].failed += 1
            await asyncio.sleep(max(0.0, 1.0 / per_s - (time.monotonic() - began)))

    async def poll_jobs(i: int) -> None:
        client = Client(ports[i % len(ports)])
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            if not accepted:
                continue
            ref, began = random.choice(accepted), time.monotonic()
            status, response = await client.request("GET", f"/v1/jobs/{ref}")
            if status == 200:
                times["poll"].seconds.append(time.monotonic() - began)
                done.update([ref] if response["phase"] == "done" else [])
            else:
                times["poll"].failed += 1

    await asyncio.gather(submit_jobs(), *(poll_jobs(i) for i in range(POLLERS)))
    return {"accepted": len(accepted), "seen_done": len(done)}


def leader_index(services: FakeServices) -> int | None:
    """Return the index of the controller that holds the leader key; None if no controller holds it."""
    value = services.state.keys.get("hookwall/leader", ({}, 0, None))[0]
    return int(value["node"][1:]) if value else None


async def kill_leader(controllers: list[Controller], services: FakeServices) -> None:
    """Kill the leader's process and start it again a second later."""
    leader = leader_index(services)
    if leader is not None:
        await controllers[leader].replace(1.0)


async def outage(controllers: list[Controller], services: FakeServices) -> None:
    """Make the key-value store unavailable for longer than a lease."""
    services.state.set_outage(True)
    await asyncio.sleep(OUTAGE_S)
    services.state.set_outage(False)


async def upgrade(controllers: list[Controller], services: FakeServices) -> None:
    """Replace all controllers, one after the other."""
    for controller in controllers:
        await controller.replace(3.0)
        await asyncio.sleep(REPLACEMENT_PAUSE_S)


FAULTS = {"end": kill_leader, "outage": outage, "upgrade": upgrade}


async def measure(
    controllers: list[Controller], services: FakeServices, seconds: float, fault: str
) -> list[dict[str, Any]]:
    """Measure processor and memory usage before and after the fault, without the first and last seconds."""
    out: list[dict[str, Any]] = []
    for part in ("before", "after"):
        await asyncio.sleep(seconds * 0.15)
        before = [c.usage()[0] for c in controllers]
        at = time.monotonic()
        while time.monotonic() - at < seconds * 0.35:
            await asyncio.sleep(0.5)
            now = [c.usage() for c in controllers]
        leader = leader_index(services)
        took = time.monotonic() - at
        cores = [round((n[0] - b) / took, 3) for n, b in zip(now, before, strict=True)]
        out.append({"part": part, "leader": leader, "cores": cores, "peak_mb": [round(c.peak_mb) for c in controllers]})
        if part == "before":
            await FAULTS[fault](controllers, services)
    return out


async def run(machines: int, seconds: float, per_s: float, folder: Path, fault: str, old: Path) -> dict[str, Any]:
    """Run the whole load test; return its results."""
    names = [f"vm-{n:06d}" for n in range(machines)]
    ports = [FIRST_PORT + i for i in range(CONTROLLERS)]
    services = FakeServices(names, StoreLimits(rps=360.0, write_rps=70.0, value_kb=32.0, txn_ops=24))
    await services.listen(services.state_service, FIRST_PORT + 20)
    await services.listen(services.cloud, FIRST_PORT + 21)
    controllers = [Controller(i, folder / f"n{i}.toml", old) for i in range(CONTROLLERS)]
    for controller in controllers:
        controller.config.write_text(settings_text(controller.index, machines))
        controller.start()
    results: Any = multiprocessing.Queue()
    parts = [names[i::FLEET_PROCESSES] for i in range(FLEET_PROCESSES)]
    fleet = [multiprocessing.Process(target=fleet_process, args=(p, ports, seconds, results)) for p in parts]
    for process in fleet:
        process.start()
    times = {"submit": RequestTimes(), "poll": RequestTimes()}
    try:
        until = time.monotonic() + seconds
        used, users = await asyncio.gather(
            measure(controllers, services, seconds, fault), submit_and_poll(ports, until, per_s, times)
        )
        heartbeat_times, leases_lost = RequestTimes(), 0
        for _ in fleet:
            part_times, lost = await asyncio.to_thread(results.get)
            heartbeat_times.seconds += part_times.seconds
            heartbeat_times.failed += part_times.failed
            leases_lost += lost
        times["report"] = heartbeat_times
        return {"machines": machines, "trouble": fault, "used": used, **users, "leases_lost": leases_lost,
                "state_refusals": services.state.refusals, **{k: t.summary() for k, t in times.items()}}  # fmt: skip
    finally:
        for controller in controllers:
            controller.kill()
        for process in fleet:
            process.terminate()


def main() -> None:
    parser = argparse.ArgumentParser(description="load test of the real program with a scripted fleet")
    parser.add_argument("--machines", type=int, default=4000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--jobs-per-s", type=float, default=6.0)
    parser.add_argument("--trouble", choices=sorted(FAULTS), default="end")
    parser.add_argument(
        "--old", type=Path, default=ROOT, help="checkout whose program runs until a controller is replaced"
    )
    parser.add_argument("--keep", type=Path, help="keep settings and logs in this folder")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        work = run(args.machines, args.seconds, args.jobs_per_s, folder, args.trouble, args.old.resolve())
        print(json.dumps(asyncio.run(work)))


if __name__ == "__main__":
    main()
