"""The stand-in for the cloud: machine list, provisioning and deletion."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harness.simulation import Simulation


class FakeCloud:
    """Machine list, rentals and deletions."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.down = False
        self.room = 0  # machines that can still be rented
        self.deleted: list[str] = []

    async def call(self, node: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        await asyncio.sleep(0.05)
        if self.down:
            return 503, b'{"error":"trouble"}'
        w = self.simulation
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
