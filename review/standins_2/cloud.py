# ruff: noqa: ANN401
"""The cloud: rents, lists (late) and deletes machines."""

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from standins_2.store import Bucket

if TYPE_CHECKING:
    from standins_2.cluster import Cluster

LATENCY_S = 0.08
DIED_AS_RUNNING_S = 30.0


class Cloud:
    """The machines of the cluster, as the page's cloud rents them."""

    def __init__(self, cluster: "Cluster", settings: dict[str, Any], types: list[dict[str, Any]]) -> None:
        self.cluster = cluster
        self.types = types
        self.lag_s = settings["list_lag_s"]
        self.requests = Bucket(settings["rps"], 2.0)
        self.free: dict[tuple[str, str, bool], int] = {}  # type, zone, spot -> machines that can still be rented
        self.hires: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.boot_s = 25.0
        self.down = False
        self.most_per_page = 500
        self._count = 230

    def add(self, type_: str, zone: str, spot: bool, created_at: float, boot_s: float) -> str:
        """Create a machine; its worker begins after `boot_s`."""
        self._count += 1
        name = f"vm-{self._count:06d}"
        self.machines[name] = {
            "ref": name, "hull": type_, "yard": zone, "loaners": spot, "created_at": created_at,
            "up_at": time.monotonic() + boot_s, "gone_at": None, "died_at": None,
        }  # fmt: skip
        self.cluster.begin_worker(name, type_, zone, spot, boot_s)
        return name

    def take(self, name: str) -> None:
        """Delete a machine, or take it away."""
        machine = self.machines.get(name)
        if machine is not None and machine["gone_at"] is None:
            machine["gone_at"] = time.monotonic()
            self.cluster.workers[name].power_off()

    def die(self, name: str) -> None:
        """Let a machine stop with all that is on it: it is listed as running for a while, then as failed."""
        self.machines[name]["died_at"] = time.monotonic()
        self.cluster.record.line(name, "stops with all that is on it")
        self.cluster.workers[name].power_off()

    @staticmethod
    def _phase(machine: dict[str, Any], as_of: float) -> str:
        if machine["died_at"] is not None and as_of >= machine["died_at"] + DIED_AS_RUNNING_S:
            return "failed"
        return "running" if as_of >= machine["up_at"] else "booting"

    async def handle(self, node: str, request: web.Request) -> web.Response:
        """Answer one request of a node."""
        body = await request.json() if request.can_read_body else None
        await asyncio.sleep(LATENCY_S)
        status, out = self._respond(node, request, body)
        if request.method == "POST":
            self.cluster.record.line(node, f"cloud {request.path} {json.dumps(body)} -> {status} {json.dumps(out)}")
        return web.Response(status=status, text=json.dumps(out), content_type="application/json")

    def _respond(self, node: str, request: web.Request, body: Any) -> tuple[int, dict[str, Any]]:
        if self.down:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {}
        if request.path == "/catalog":
            return 200, {"hulls": self.types}
        if request.path == "/hosts/delete":
            for name in body["hosts"]:
                self.cluster.on_delete(node, name)
                self.take(name)
            return 200, {}
        if request.method == "POST":
            return self._hire(body)
        return self._list(request.query)

    def _hire(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body["hire"] not in self.hires:
            pool = (body["hull"], body["yard"], body["loaners"])
            count = min(body["count"], 50, self.free.get(pool, 0))
            if not count:
                return 503, {"error": "no capacity"}
            self.free[pool] -= count
            self.hires[body["hire"]] = [
                self.add(body["hull"], body["yard"], body["loaners"], time.monotonic(), self.boot_s)
                for _ in range(count)
            ]
        return 200, {"hosts": self.hires[body["hire"]]}

    def _list(self, query: Any) -> tuple[int, dict[str, Any]]:
        most = min(int(query.get("most", 500)), self.most_per_page)
        as_of = time.monotonic() - self.lag_s
        seen = [
            m for name, m in sorted(self.machines.items())
            if name > query.get("after", "") and m["created_at"] <= as_of and (m["gone_at"] or as_of + 1) > as_of
        ]  # fmt: skip
        hosts = [
            {
                "ref": m["ref"], "addr": "127.0.0.1:9", "hull": m["hull"], "yard": m["yard"], "loaners": m["loaners"],
                "phase": self._phase(m, as_of), "heldS": as_of - m["created_at"],
            }
            for m in seen[:most]
        ]  # fmt: skip
        return 200, {"hosts": hosts, "more": len(seen) > most}
