"""A simulated deployment in real time: controllers are real processes, and everything speaks HTTP on loopback.

The state service, the cloud and the workers are the same stand-ins; each controller reaches them through ports of its
own, so that the stand-ins know who asks. Processes are killed and started again as on a real machine.
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
RESPONSE_TIMEOUT_S = 4.0  # a worker waits so long
REQUEST_S = 70.0  # longer than any watch


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody uses now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]


class LoopbackCluster(Simulation):
    """Controllers as processes."""

    def __init__(self, folder: Path, **limits: Any) -> None:
        super().__init__(**limits)
        self.folder = folder
        who = [*self.names, OPERATOR]
        ports = iter(free_ports(4 * len(who)))
        self.ports = {name: {part: next(ports) for part in ("public", "peer", "state", "cloud")} for name in who}
        self.processes: dict[str, subprocess.Popen] = {}
        self.session = aiohttp.ClientSession()
        self.runners: list[web.AppRunner] = []

    async def open(self) -> None:
        """Start the stand-ins' servers, and write each process's settings."""
        for name, ports in self.ports.items():
            await self._serve(ports["state"], self._service_of(name, self.service.call))
            await self._serve(ports["cloud"], self._service_of(name, self.cloud.call))
            (self.folder / f"{name}.toml").write_text(self._settings(name))
        (self.folder / "operations.toml").write_text(self._operations())

    async def _serve(self, port: int, handle: Callable[[web.Request], Coroutine]) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        self.runners.append(runner)

    def _service_of(self, name: str, call: Callable) -> Callable[[web.Request], Coroutine]:
        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            try:
                status, raw = await call(
                    name, request.method, request.path_qs, json.loads(body) if body else None, REQUEST_S
                )
            except NoResponseError:
                status, raw = 504, b"{}"
            return web.Response(status=status, body=raw, content_type="application/json")

        return handle

    def _settings(self, name: str) -> str:
        """A process's settings file. TOML of JSON values: tables on one line each."""
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
        lines = ["[drain]", "enabled = true"]
        for budget in self.operations.drain.budgets if self.operations is not None else ():
            lines += ["[[drain.budgets]]", f'team = "{budget.team}"', f"jobs = {budget.jobs}",
                      f"period_s = {budget.period_s}"]  # fmt: skip
        return "\n".join(lines) + "\n"

    # -- controllers -----------------------------------------------------------------------------

    def command(self, *words: str, who: str = OPERATOR) -> list[str]:
        """A call of the program with the settings of one process."""
        files = ["--config", str(self.folder / f"{who}.toml"), "--operations", str(self.folder / "operations.toml")]
        return [sys.executable, "-m", "hookwall", *words, *files]

    def start(self, name: str, old: int = 0) -> None:  # type: ignore[override]
        """Start a controller's process."""
        env = {**os.environ, "LOG_LEVEL": "info", "PYTHONPATH": str(ROOT)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self.command("serve", who=name), cwd=self.folder, env=env, stderr=log, stdin=subprocess.DEVNULL
            )

    def crash(self, name: str) -> None:
        """Kill a controller's process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def leader_name(self) -> str | None:
        """Who is named by the leader key."""
        stored = self.service.keys.get(keys.LEADER_KEY)
        return None if stored is None else stored[0].get("node")

    async def call(self, *words: str) -> tuple[int, Any]:
        """The command's exit code and what it prints."""
        process = await asyncio.create_subprocess_exec(
            *self.command(*words, "--json"), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        out, _ = await process.communicate()
        return process.returncode, json.loads(out) if out else None

    # -- workers and users -----------------------------------------------------------------------

    async def _post(self, name: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        url = f"http://127.0.0.1:{self.ports[name]['public']}{path}"
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S), self.session.post(url, data=body) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def deliver_heartbeat(self, name: str, body: bytes) -> tuple[int, bytes] | None:
        """Send a worker's heartbeat over HTTP: status and body, None without a response."""
        return await self._post(name, "/agent/beat", body)

    async def submit_spec(self, node: str, spec: dict) -> int:
        """Submit any description over HTTP: the status, 0 without a response."""
        answer = await self._post(node, "/v1/jobs", json.dumps(spec).encode())
        if answer is None:
            return 0
        self.rules.check_response(spec["ref"], *answer)
        return answer[0]

    async def close(self) -> None:
        """End processes, workers, tasks and servers."""
        for name in list(self.processes):
            self.crash(name)
        for worker in self.workers.values():
            worker.off = True
        for task in list(self.background_tasks):
            task.cancel()
        await asyncio.gather(*self.background_tasks, return_exceptions=True)
        await self.session.close()
        for runner in self.runners:
            await runner.cleanup()


WORKERS = WorkerTimings(report_s=1.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=37.0)


def play_loopback(
    scenario: Callable[[LoopbackCluster], Coroutine[Any, Any, None]], machines: int, **limits: Any
) -> LoopbackCluster:
    """Run a scenario with real controllers; no rule may break."""

    async def main(folder: Path) -> LoopbackCluster:
        simulation = LoopbackCluster(folder, workers=WORKERS, **limits)
        try:
            await simulation.open()
            for i in range(machines):
                simulation.machine("east" if i % 2 == 0 else "west")
            for name in simulation.names:
                simulation.start(name)
            await simulation.until(lambda: simulation.leader_name() is not None, 30.0, "nobody leads")
            await scenario(simulation)
        finally:
            await simulation.close()
        return simulation

    with tempfile.TemporaryDirectory() as folder:
        simulation = asyncio.run(main(Path(folder)))
    assert simulation.broken == []
    return simulation
