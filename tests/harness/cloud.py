"""A fake cloud: machine list, provisioning and deletion."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harness.simulation import Simulation

LATENCY_S = 0.05
PROVISIONED_BOOT_S = 10.0


class FakeCloud:
    """Lists, provisions and deletes the simulation's machines; responds with 503 while `down` is set."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.down = False
        self.available_machines = 0  # that can still be provisioned
        self.deleted: list[str] = []

    async def call(
        self,
        node: str,
        method: str,
        path: str,
        body: Any,
        timeout: float,
    ) -> tuple[int, bytes]:
        """Return status and body of the response to a request of a node."""
        await asyncio.sleep(LATENCY_S)
        if self.down:
            return 503, b'{"error":"trouble"}'
        if path == "/catalog":
            return 200, self.simulation.catalog
        if path == "/hosts/delete":
            return self._delete(body["hosts"])
        if method == "POST":
            return self._provision(body)
        return self._list()

    def _delete(self, names: list[str]) -> tuple[int, bytes]:
        workers = self.simulation.workers
        for name in names:
            if name in workers:
                self.deleted.append(name)
                workers.pop(name).power_off()
        return 200, b"{}"

    def _provision(self, body: dict[str, Any]) -> tuple[int, bytes]:
        count = min(body["count"], self.available_machines)
        self.available_machines -= count
        if not count:
            return 503, b'{"error":"no capacity"}'
        machines = [
            self.simulation.add_machine(body["yard"], body["loaners"], PROVISIONED_BOOT_S) for _ in range(count)
        ]
        return 200, json.dumps({"hosts": [machine.name for machine in machines]}).encode()

    def _list(self) -> tuple[int, bytes]:
        listed = [
            {
                "ref": worker.name,
                "hull": "g4",
                "yard": worker.zone,
                "loaners": worker.spot,
                "phase": worker.listed_phase(),
                "heldS": 60.0,
            }
            for worker in self.simulation.workers.values()
        ]
        return 200, json.dumps({"hosts": listed, "more": False}).encode()
