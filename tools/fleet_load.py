"""A scripted fleet against the real program: what reports, rounds, polls, loads and memory cost at a size.

    python tools/fleet_load.py --machines 4000 [--seconds 60] [--jobs-per-s 6] [--trouble end|outage|upgrade]

Starts three controllers (`run.py`) on loopback, a stand-in for the state service and the cloud in this process, and
workers in a few processes. Halfway the leader is ended, so that a new one loads with the fleet there, or the state
service is out for a while, or all controllers are replaced one after the other (`--old`: a checkout whose program
runs before that). Prints one line of JSON: processor time and memory of each controller, and times of answers. The
machines are simulated and do nothing but report; the times are of this machine and hold for no other.
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
REPORT_S = 2.5
LEASE_S = 15.0
RUN_S = (20.0, 90.0)  # of a task
FLEET_PROCESSES = 3
POLLERS = 20
FIRST_PORT = 21_000
OUTAGE_S = 20.0
BETWEEN_S = 6.0  # from one controller's replacement to the next
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def zone_of(machine: str) -> str:
    """The zone of a machine, by its number."""
    return ("west", "east")[int(machine.rpartition("-")[2]) % 2]


@dataclass
class Times:
    """Durations of requests, in seconds, and how many failed."""

    seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def summary(self) -> dict[str, float]:
        done = sorted(self.seconds)
        at = [done[min(len(done) - 1, int(len(done) * share))] for share in (0.5, 0.99)] if done else [0.0, 0.0]
        longest = done[-1] if done else 0.0
        names = ("count", "failed", "median_ms", "p99_ms", "longest_ms")
        values = (len(done), self.failed, *(round(1000 * t, 1) for t in (*at, longest)))
        return dict(zip(names, values, strict=True))


class Client:
    """One persistent connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
        """Status and JSON body; status 0 where there is no answer within 4 s."""
        try:
            async with asyncio.timeout(4.0):
                return await self._ask(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}

    async def _ask(self, method: str, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        if self.writer is None or self.reader is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
        self.writer.write(head.encode() + b"\r\n\r\n" + body)
        answer = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        length = next(int(h.split(":")[1]) for h in answer if h.lower().startswith("content-length:"))
        raw = await self.reader.readexactly(length)
        return int(answer[0].split()[1]), json.loads(raw) if raw else {}

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class ScriptedWorker:
    """Reports, launches, ends tasks after their time, and finds the leader, after PROTOCOL."""

    def __init__(self, name: str, zone: str, ports: list[int], times: Times) -> None:
        self.name, self.zone, self.ports, self.times = name, zone, ports, times
        self.node = random.randrange(len(ports))
        self.clients = [Client(port) for port in ports]
        self.tenure, self.tick, self.token = 1, 0, 0
        self.lease_from = time.monotonic()
        self.leases_lost = 0
        self.tasks: dict[str, tuple[int, float, str]] = {}  # attempt, end, cause

    async def run(self, until: float) -> None:
        await asyncio.sleep(random.uniform(0.0, REPORT_S))
        while time.monotonic() < until:
            changed = await self.report()
            await asyncio.sleep(0.5 if changed else REPORT_S * random.uniform(0.75, 1.25))

    async def report(self) -> bool:
        """One report; whether the next is due soon."""
        now = time.monotonic()
        if now - self.lease_from > LEASE_S:
            self.tenure, self.lease_from = self.tenure + 1, now
            self.leases_lost += bool(self.tasks)
            self.tasks.clear()
        self.tick += 1
        tasks = [self._task(piece, *task, now) for piece, task in self.tasks.items()]
        body = {
            "host": self.name, "addr": "", "hull": "g8", "yard": self.zone, "loaners": False, "tenure": self.tenure,
            "tick": self.tick, "mandate": self.token, "recallS": None, "pieces": tasks,
        }  # fmt: skip
        status, answer = await self.clients[self.node].ask("POST", "/agent/beat", json.dumps(body).encode())
        if status == 200 and answer["mandate"] >= self.token:
            self.times.seconds.append(time.monotonic() - now)
            changed = answer["mandate"] > self.token or bool(answer["orders"])
            self.token, self.lease_from = answer["mandate"], now
            for order in answer["orders"]:
                self._obey(order)
            return changed
        names = [f"n{i}" for i in range(len(self.ports))]
        if status == 421 and answer.get("overseer") in names and answer["overseer"] != names[self.node]:
            self.node = names.index(answer["overseer"])
            return True
        self.times.failed += 1
        self.node = (self.node + 1) % len(self.ports)
        await asyncio.sleep(1.0)
        return True

    @staticmethod
    def _task(piece: str, attempt: int, end: float, cause: str, now: float) -> dict[str, Any]:
        if cause or now >= end:
            return {"piece": piece, "try": attempt, "phase": "exited", "cause": cause or "done"}
        return {"piece": piece, "try": attempt, "phase": "running"}

    def _obey(self, order: dict[str, Any]) -> None:
        piece, attempt = order["piece"], order["try"]
        known = self.tasks.get(piece)
        if order["verb"] == "launch" and known is None:
            self.tasks[piece] = (attempt, time.monotonic() + random.uniform(*RUN_S), "")
        elif known is not None and known[0] == attempt:
            if order["verb"] == "forget":
                del self.tasks[piece]
            elif order["verb"] == "stop":
                self.tasks[piece] = (attempt, known[1], known[2] or "halted")


def fleet_process(names: list[str], ports: list[int], seconds: float, out: Any) -> None:
    """Some of the workers, in a process of their own."""

    async def run() -> None:
        times = Times()
        until = time.monotonic() + seconds
        workers = [ScriptedWorker(name, zone_of(name), ports, times) for name in names]
        await asyncio.gather(*(w.run(until) for w in workers))
        out.put((times, sum(w.leases_lost for w in workers)))

    asyncio.run(run())


class StandIns:
    """The state service and the cloud over HTTP."""

    def __init__(self, machines: list[str], limits: StoreLimits) -> None:
        self.machines = machines
        simulation = SimpleNamespace(now=time.monotonic, params=SimpleNamespace(state=limits))
        self.state = FakeKeyValueStore(simulation)
        catalog = {"label": "g8", "cores": 96, "cards": 8, "memGb": 768, "localGb": 200, "pullGbPerS": 1.0,
                   "price": 12.0, "spotPrice": 4.5, "startupS": 45, "yards": ["east", "west"]}  # fmt: skip
        self.catalog = {"hulls": [catalog]}

    async def state_service(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read() or b"null")
        self.state.tick(time.monotonic())
        path = request.path_qs
        if self.state.down:
            return web.json_response({}, status=503)
        if path.startswith("/changes"):
            status, out = await self.state.watch("", path, 60.0)
        else:
            status, out = self.state.answer("", request.method, path, body)
        return web.json_response(out, status=status)

    async def cloud(self, request: web.Request) -> web.Response:
        if request.path == "/catalog":
            return web.json_response(self.catalog)
        if request.method == "POST":
            out, status = ({}, 200) if request.path == "/hosts/delete" else ({"error": "no capacity"}, 503)
            return web.json_response(out, status=status)
        after, most = request.query.get("after", ""), int(request.query.get("most", "500"))
        page = [n for n in self.machines if n > after][: most + 1]
        listed = [
            {"ref": n, "addr": "", "hull": "g8", "yard": zone_of(n), "loaners": False,
             "phase": "running", "heldS": 600.0}
            for n in page[:most]
        ]  # fmt: skip
        return web.json_response({"hosts": listed, "more": len(page) > most})

    async def listen(self, handler: Any, port: int) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()


@dataclass
class Controller:
    """One real process and what it has used."""

    index: int
    config: Path
    root: Path = ROOT  # the checkout whose program it runs
    process: subprocess.Popen[bytes] | None = None
    peak_mb: float = 0.0

    def start(self) -> None:
        env = {**os.environ, "LOG_LEVEL": "info"}
        with self.config.with_suffix(".log").open("ab") as log:
            args = [sys.executable, str(self.root / "run.py"), "--config", str(self.config)]
            self.process = subprocess.Popen(args, env=env, stderr=log)

    def usage(self) -> tuple[float, float]:
        """Seconds of a core so far, and MiB held now."""
        assert self.process is not None
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        mb = int(stat[21]) * PAGE / 2**20
        self.peak_mb = max(self.peak_mb, mb)
        return (int(stat[11]) + int(stat[12])) / TICKS, mb

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def replace(self, down_s: float) -> None:
        """End the process, and start it again with the program of this checkout."""
        self.end()
        self.peak_mb = 0.0
        await asyncio.sleep(down_s)
        self.root = ROOT
        self.start()


def settings_text(index: int, machines: int) -> str:
    """A controller's settings; the sockets are enough for the fleet, whatever its size."""
    seeds = "".join(
        f'[[seeds]]\nnode_name = "n{i}"\npeer_addr = "127.0.0.1:{FIRST_PORT + 10 + i}"\n'
        for i in range(CONTROLLERS) if i != index
    )  # fmt: skip
    return (
        f'node_name = "n{index}"\npublic_addr = "127.0.0.1:{FIRST_PORT + index}"\n'
        f'peer_listen = "127.0.0.1:{FIRST_PORT + 10 + index}"\n{seeds}'
        f'[external]\ncloud = "127.0.0.1:{FIRST_PORT + 21}"\nstate = "127.0.0.1:{FIRST_PORT + 20}"\n'
        f'[settings]\nsize = {CONTROLLERS}\nzones = ["east", "west"]\n[[settings.teams]]\nname = "red"\n'
        f"[settings.workers]\nreport_s = {REPORT_S}\nlease_s = {LEASE_S}\ngang_wait_s = 45.0\ngang_peer_s = 8.0\n"
        "cancel_s = 45.0\n[settings.state]\nrps = 360.0\nwrite_rps = 70.0\nvalue_kb = 32.0\ntxn_ops = 24\n"
        "[settings.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n"
        f"[settings.machine_limits]\ncore_share = 0.36\nmemory_mb = 512.0\nsockets = {machines * 2 + 1000}\n"
    )


def job(n: int) -> dict[str, Any]:
    return {
        "ref": f"run-{n:06d}", "hookset": "k", "owner": "red", "shape": "batch", "rank": "standard",
        "pieces": random.choice([1, 1, 2, 8]), "cores": 8.0, "cards": random.choice([1.0, 2.0, 8.0]), "memGb": 64.0,
        "bundle": f"img-{n % 20}", "sizeGb": 5.0, "hulls": None, "yard": None, "samePlace": False, "spread": False,
        "loaners": False, "guessS": 60.0, "pinEveryS": 30.0, "pinCostS": 2.0, "dueS": None,
    }  # fmt: skip


async def submit_and_poll(ports: list[int], until: float, per_s: float, times: dict[str, Times]) -> dict[str, int]:
    """Users: jobs at a rate, and polls of those accepted."""
    accepted: list[str] = []
    done: set[str] = set()

    async def submits() -> None:
        client = Client(ports[1])
        for n in range(10**9):
            if time.monotonic() > until:
                return
            spec, began = job(n), time.monotonic()
            status, _ = await client.ask("POST", "/v1/jobs", json.dumps(spec).encode())
            if status in (200, 201):
                accepted.append(spec["ref"])
                times["submit"].seconds.append(time.monotonic() - began)
            else:
                times["submit"].failed += 1
            await asyncio.sleep(max(0.0, 1.0 / per_s - (time.monotonic() - began)))

    async def polls(i: int) -> None:
        client = Client(ports[i % len(ports)])
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            if not accepted:
                continue
            ref, began = random.choice(accepted), time.monotonic()
            status, answer = await client.ask("GET", f"/v1/jobs/{ref}")
            if status == 200:
                times["poll"].seconds.append(time.monotonic() - began)
                done.update([ref] if answer["phase"] == "done" else [])
            else:
                times["poll"].failed += 1

    await asyncio.gather(submits(), *(polls(i) for i in range(POLLERS)))
    return {"accepted": len(accepted), "seen_done": len(done)}


def leader(stand_ins: StandIns) -> int | None:
    """The controller that the leader key names."""
    value = stand_ins.state.keys.get("hookwall/leader", ({}, 0, None))[0]
    return int(value["node"][1:]) if value else None


async def end_leader(controllers: list[Controller], stand_ins: StandIns) -> None:
    """The leader's process ends and is back a second later."""
    lead = leader(stand_ins)
    if lead is not None:
        await controllers[lead].replace(1.0)


async def outage(controllers: list[Controller], stand_ins: StandIns) -> None:
    """The state service is down for longer than a lease."""
    stand_ins.state.outage(True)
    await asyncio.sleep(OUTAGE_S)
    stand_ins.state.outage(False)


async def upgrade(controllers: list[Controller], stand_ins: StandIns) -> None:
    """All controllers are replaced, one after the other."""
    for controller in controllers:
        await controller.replace(3.0)
        await asyncio.sleep(BETWEEN_S)


TROUBLES = {"end": end_leader, "outage": outage, "upgrade": upgrade}


async def measure(
    controllers: list[Controller], stand_ins: StandIns, seconds: float, trouble: str
) -> list[dict[str, Any]]:
    """Use of processor and memory before and after the trouble, without the first and last seconds."""
    out: list[dict[str, Any]] = []
    for part in ("before", "after"):
        await asyncio.sleep(seconds * 0.15)
        before = [c.usage()[0] for c in controllers]
        at = time.monotonic()
        while time.monotonic() - at < seconds * 0.35:
            await asyncio.sleep(0.5)
            now = [c.usage() for c in controllers]
        lead = leader(stand_ins)
        took = time.monotonic() - at
        cores = [round((n[0] - b) / took, 3) for n, b in zip(now, before, strict=True)]
        out.append({"part": part, "leader": lead, "cores": cores, "peak_mb": [round(c.peak_mb) for c in controllers]})
        if part == "before":
            await TROUBLES[trouble](controllers, stand_ins)
    return out


async def run(machines: int, seconds: float, per_s: float, folder: Path, trouble: str, old: Path) -> dict[str, Any]:
    """The whole load."""
    names = [f"vm-{n:06d}" for n in range(machines)]
    ports = [FIRST_PORT + i for i in range(CONTROLLERS)]
    stand_ins = StandIns(names, StoreLimits(rps=360.0, write_rps=70.0, value_kb=32.0, txn_ops=24))
    await stand_ins.listen(stand_ins.state_service, FIRST_PORT + 20)
    await stand_ins.listen(stand_ins.cloud, FIRST_PORT + 21)
    controllers = [Controller(i, folder / f"n{i}.toml", old) for i in range(CONTROLLERS)]
    for controller in controllers:
        controller.config.write_text(settings_text(controller.index, machines))
        controller.start()
    out: Any = multiprocessing.Queue()
    parts = [names[i::FLEET_PROCESSES] for i in range(FLEET_PROCESSES)]
    fleet = [multiprocessing.Process(target=fleet_process, args=(p, ports, seconds, out)) for p in parts]
    for process in fleet:
        process.start()
    times = {"submit": Times(), "poll": Times()}
    try:
        until = time.monotonic() + seconds
        used, users = await asyncio.gather(
            measure(controllers, stand_ins, seconds, trouble), submit_and_poll(ports, until, per_s, times)
        )
        reports, leases_lost = Times(), 0
        for _ in fleet:
            some, lost = await asyncio.to_thread(out.get)
            reports.seconds += some.seconds
            reports.failed += some.failed
            leases_lost += lost
        times["report"] = reports
        return {"machines": machines, "trouble": trouble, "used": used, **users, "leases_lost": leases_lost,
                "state_refusals": stand_ins.state.refusals, **{k: t.summary() for k, t in times.items()}}  # fmt: skip
    finally:
        for controller in controllers:
            controller.end()
        for process in fleet:
            process.terminate()


def main() -> None:
    parser = argparse.ArgumentParser(description="a scripted fleet against the real program")
    parser.add_argument("--machines", type=int, default=4000)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--jobs-per-s", type=float, default=6.0)
    parser.add_argument("--trouble", choices=sorted(TROUBLES), default="end")
    parser.add_argument("--old", type=Path, default=ROOT, help="a checkout whose program runs before the trouble")
    parser.add_argument("--keep", type=Path, help="a folder for settings and logs")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        work = run(args.machines, args.seconds, args.jobs_per_s, folder, args.trouble, args.old.resolve())
        print(json.dumps(asyncio.run(work)))


if __name__ == "__main__":
    main()
