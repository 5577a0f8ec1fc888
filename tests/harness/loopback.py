"""A deployment in real time on loopback: the controllers are real processes, and all requests are sent over HTTP.

The key-value store, the cloud and the workers are the fakes of the simulation. Each controller reaches them on ports of
its own, so that the fakes know which controller has sent a request. Controllers are killed and restarted as processes.
"""

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from harness.simulation import Simulation
from hookwall.config.platform import WorkerTimings
from hookwall.protocol.http_client import NoResponseError
from hookwall.storage import keys

ROOT = Path(__file__).parents[2]
OPERATOR = "operator"
RESPONSE_TIMEOUT_S = 4.0  # how long a worker waits for a response
REQUEST_TIMEOUT_S = 70.0  # longer than any watch


def free_ports(count: int) -> list[int]:
    """Return unused ports of the loopback interface."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for unbound in sockets:
            unbound.bind(("127.0.0.1", 0))
        return [bound.getsockname()[1] for bound in sockets]


class LoopbackCluster(Simulation):
    """A simulation whose controllers are processes."""

    def __init__(self, folder: Path, **options: Any) -> None:
        super().__init__(**options)
        self.folder = folder
        process_names = [*self.names, OPERATOR]
        ports = iter(free_ports(4 * len(process_names)))
        self.ports = {
            name: {purpose: next(ports) for purpose in ("public", "peer", "state", "cloud")} for name in process_names
        }
        self.processes: dict[str, subprocess.Popen] = {}
        self.session = aiohttp.ClientSession()
        self.runners: list[web.AppRunner] = []

    async def open(self) -> None:
        """Start the HTTP servers of the fakes, and write the settings file of each process."""
        for name, ports in self.ports.items():
            await self._serve(ports["state"], self._request_handler(name, self.store.call))
            await self._serve(ports["cloud"], self._request_handler(name, self.cloud.call))
            (self.folder / f"{name}.toml").write_text(self._settings(name))
        (self.folder / "operations.toml").write_text(self._operations())

    async def _serve(self, port: int, handle: Callable[[web.Request], Coroutine]) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.runners.append(runner)

    def _request_handler(self, name: str, call: Callable) -> Callable[[web.Request], Coroutine]:
        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            try:
                status, raw = await call(
                    name, request.method, request.path_qs, json.loads(body) if body else None, REQUEST_TIMEOUT_S
                )
            except NoResponseError:
                status, raw = 504, b"{}"
            return web.Response(status=status, body=raw, content_type="application/json")

        return handle

    def _settings(self, name: str) -> str:
        """Return the settings file of a process, as TOML; each value is written as JSON on one line."""
        ports = self.ports[name]
        params = msgspec.to_builtins(self.params)
        seeds = [n for n in self.names if n != name]
        lines = [f'node_name = "{name}"', f'public_addr = "127.0.0.1:{ports["public"]}"',
                 f'peer_listen = "127.0.0.1:{ports["peer"]}"']  # fmt: skip
        for seed in seeds:
            lines += ["[[seeds]]", f'node_name = "{seed}"', f'peer_addr = "127.0.0.1:{self.ports[seed]["peer"]}"']
        lines += ["[external]", f'cloud = "127.0.0.1:{ports["cloud"]}"', f'state = "127.0.0.1:{ports["state"]}"']
        lines += ["[settings]", f"size = {params['size']}", f"zones = {json.dumps(params['zones'])}"]
        for team in params["teams"]:
            lines += ["[[settings.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in team.items())]
        for table in ("workers", "state", "cloud"):
            values = {k: v for k, v in params[table].items() if v is not None}
            lines += [f"[settings.{table}]", *(f"{k} = {json.dumps(v)}" for k, v in values.items())]
        return "\n".join(lines) + "\n"

    def _operations(self) -> str:
        """Return the operations file, as TOML: drains are enabled, with the budgets of the simulation."""
        lines = ["[drain]", "enabled = true"]
        for budget in self.operations.drain.budgets if self.operations is not None else ():
            lines += ["[[drain.budgets]]", f'team = "{budget.team}"', f"jobs = {budget.jobs}",
                      f"period_s = {budget.period_s}"]  # fmt: skip
        return "\n".join(lines) + "\n"

    # -- controllers -----------------------------------------------------------------------------

    def command(self, *arguments: str, process_name: str = OPERATOR) -> list[str]:
        """Return the command line that runs the program with the settings of one process."""
        files = [
            "--config",
            str(self.folder / f"{process_name}.toml"),
            "--operations",
            str(self.folder / "operations.toml"),
        ]
        return [sys.executable, "-m", "hookwall", *arguments, *files]

    def start(self, name: str, old: int = 0) -> None:  # type: ignore[override]
        """Start the process of a controller; `old` is ignored, since all controllers run the current program."""
        env = {**os.environ, "LOG_LEVEL": "info", "PYTHONPATH": str(ROOT)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self.command("serve", process_name=name), cwd=self.folder, env=env, stderr=log, stdin=subprocess.DEVNULL
            )

    def crash(self, name: str) -> None:
        """Kill the process of a controller."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def leader_name(self) -> str | None:
        """Return the name of the node that holds the leader key; None if no node holds it."""
        stored = self.store.keys.get(keys.LEADER_KEY)
        return None if stored is None else stored[0].get("node")

    async def call(self, *arguments: str) -> tuple[int, Any]:
        """Run an operators' command; return its exit code and the JSON value that it printed."""
        process = await asyncio.create_subprocess_exec(
            *self.command(*arguments, "--json"), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        out, _ = await process.communicate()
        return process.returncode, json.loads(out) if out else None

    # -- workers and users -----------------------------------------------------------------------

    async def _post(self, name: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        url = f"http://127.0.0.1:{self.ports[name]['public']}{path}"
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S), self.session.post(url, data=body) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def deliver_heartbeat(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """Send a heartbeat over HTTP; return status and body, or None without a response."""
        return await self._post(name, "/agent/beat", body)

    async def submit_spec(self, node: str, spec: dict) -> int:
        """Submit a job specification over HTTP; return the status, 0 without a response."""
        response = await self._post(node, "/v1/jobs", json.dumps(spec).encode())
        if response is None:
            return 0
        self.rules.check_response(spec["ref"], *response)
        return response[0]

    async def close(self) -> None:
        """Stop all processes, workers, tasks and servers."""
        for name in list(self.processes):
            self.crash(name)
        for worker in self.workers.values():
            worker.powered_off = True
        for task in list(self.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()


WORKERS = WorkerTimings(report_s=1.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=37.0)


def play_loopback(
    scenario: Callable[[LoopbackCluster], Coroutine[Any, Any, None]], machines: int, **options: Any
) -> LoopbackCluster:
    """Run a scenario with real controllers, and assert that no rule was violated."""

    async def main(folder: Path) -> LoopbackCluster:
        simulation = LoopbackCluster(folder, workers=WORKERS, **options)
        try:
            await simulation.open()
            for i in range(machines):
                simulation.add_machine("east" if i % 2 == 0 else "west")
            for name in simulation.names:
                simulation.start(name)
            await simulation.wait_until(
                lambda: simulation.leader_name() is not None, 30.0, "no node holds the leader key"
            )
            await scenario(simulation)
        finally:
            await simulation.close()
        return simulation

    with tempfile.TemporaryDirectory() as folder:
        simulation = asyncio.run(main(Path(folder)))
    assert simulation.violations == []
    return simulation
