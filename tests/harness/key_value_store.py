"""The stand-in for the key-value store: keys, session leases, watches and transactions, with faults."""

import asyncio
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hookwall.config.platform import (
    StoreLimits,
)
from hookwall.protocol.http_client import NoResponseError

if TYPE_CHECKING:
    from harness.simulation import Simulation


class FakeKeyValueStore:
    """Keys, session leases, watches and transactions, with outages, refusals, lost answers and late writes."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[tuple[int, dict]] = []
        self.session_leases: dict[int, list[float]] = {}
        self.last_lease = 0
        self.down = False
        self.refused: set[str] = set()  # nodes that get 503
        self.watch_blocked: set[str] = set()  # nodes whose watches are never answered
        self.disconnected: set[str] = set()  # nodes whose requests get no answer
        self.late: Callable[[str, dict], float | None] = lambda node, body: None
        self.late_answer: Callable[[str, str], float] = lambda node, path: 0.0  # how late reads are answered
        self.latency_s = 0.004
        self.limits = simulation.params.state  # those in force now
        self.recent_writes: list[tuple[float, int]] = []  # when, and how many changes: for the limit of a second
        self.refusals: dict[int, int] = {400: 0, 429: 0}
        self.largest = 0  # bytes of the largest value since `lower_limits`

    def delay_writes(self, share: float) -> None:
        """A share of the transactions get no answer, and are carried out 2 to 12 s later."""
        draws = self.simulation.random
        self.late = lambda node, body: draws.uniform(2.0, 12.0) if draws.random() < share else None

    def write_at_once(self) -> None:
        """No later transaction is delayed."""
        self.late = lambda node, body: None

    def expire_session_leases(self, now: float) -> None:
        """End the session leases that nobody renewed in time, and delete their keys."""
        if self.down:
            return
        for lease, (_, until) in list(self.session_leases.items()):
            if now > until:
                self.end_session_lease(lease)

    def end_session_lease(self, lease: int) -> None:
        del self.session_leases[lease]
        self.revision += 1
        for k in [k for k, v in self.keys.items() if v[2] == lease]:
            del self.keys[k]
            self.changes.append((self.revision, {"delete": k, "stamp": self.revision}))

    def outage(self, on: bool) -> None:
        self.down = on
        if not on:
            for h in self.session_leases.values():
                h[1] = self.simulation.now() + h[0]

    def refuses(self, node: str) -> bool:
        return self.down or node in self.refused

    async def call(self, node: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        body = json.loads(json.dumps(body)) if body is not None else None
        await asyncio.sleep(self.latency_s / 2)
        if node in self.disconnected:
            await asyncio.sleep(timeout)
            raise NoResponseError("cut")
        if self.refuses(node):
            return 503, b"{}"
        if path == "/commit":
            after = self.late(node, body)
            if after is not None:
                asyncio.get_running_loop().call_later(after, self.commit, body)
                await asyncio.sleep(timeout)
                raise NoResponseError("late")
        if path.startswith("/changes"):
            status, out = await self.watch(node, path, timeout)
        else:
            status, out = self.respond(method, path, body)
        late_s = self.late_answer(node, path) if method == "GET" else 0.0
        await asyncio.sleep(self.latency_s / 2 + late_s)
        if node in self.disconnected:
            await asyncio.sleep(timeout)
            raise NoResponseError("cut")
        return status, json.dumps(out).encode()

    def respond(self, method: str, path: str, body: Any) -> tuple[int, dict]:
        if path == "/commit":
            return self.commit(body)
        if path == "/holds":
            self.last_lease += 1
            ttl = body["ttlMs"] / 1000
            self.session_leases[self.last_lease] = [ttl, self.simulation.now() + ttl]
            return 200, {"hold": self.last_lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.session_leases:
                return 404, {}
            if method == "DELETE":
                self.end_session_lease(lease)
            else:
                self.session_leases[lease][1] = self.simulation.now() + self.session_leases[lease][0]
            return 200, {}
        if path.startswith("/store?"):
            entries = [{"k": k, "value": v, "stamp": s} for k, (v, s, _) in sorted(self.keys.items())]
            return 200, {"entries": entries, "more": False, "epoch": self.revision}
        got = self.keys.get(path[len("/store/") :])
        return (404, {"epoch": self.revision}) if got is None else (200, {"value": got[0], "stamp": got[1]})

    def lower_limits(self) -> None:
        """The limits to come are in force, without notice."""
        now, later = self.limits, self.limits.next
        self.limits = StoreLimits(*now.rates_per_s(True), later.value_kb or now.value_kb, later.txn_ops or now.txn_ops)
        self.largest = 0

    def over_limits(self, changes: list[dict]) -> tuple[int, dict] | None:
        """The answer to a transaction that is over a limit."""
        largest = max((len(json.dumps(a["value"])) for a in changes if "set" in a), default=0)
        self.largest = max(self.largest, largest)
        if len(changes) > self.limits.txn_ops or largest > self.limits.value_kb * 1024:
            self.refusals[400] += 1
            return 400, {"error": "too large"}
        now = self.simulation.now()
        self.recent_writes = [w for w in self.recent_writes if w[0] > now - 1.0]
        if sum(n for _, n in self.recent_writes) + len(changes) > 2 * self.limits.write_rps:
            self.refusals[429] += 1
            return 429, {}
        self.recent_writes.append((now, len(changes)))
        return None

    def commit(self, body: dict) -> tuple[int, dict]:
        over = self.over_limits(body.get("apply", []))
        if over is not None:
            return over
        failed = [c["k"] for c in body["when"] if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if any("hold" in a and a["hold"] not in self.session_leases for a in body.get("apply", ())):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        if body.get("apply"):
            self.revision += 1
        for a in body.get("apply", ()):
            if "delete" in a:
                if self.keys.pop(a["delete"], None) is not None:
                    self.changes.append((self.revision, {"delete": a["delete"], "stamp": self.revision}))
                continue
            self.keys[a["set"]] = (a["value"], self.revision, a.get("hold"))
            self.changes.append((self.revision, {"set": a["set"], "value": a["value"], "stamp": self.revision}))
        return 200, {"epoch": self.revision}

    async def watch(self, node: str, path: str, timeout: float) -> tuple[int, dict]:
        args = dict(a.split("=") for a in path.partition("?")[2].split("&"))
        after, until = int(args["after"]), self.simulation.now() + int(args["blockMs"]) / 1000
        give_up = self.simulation.now() + timeout
        while True:
            changes = [c for e, c in self.changes if e > after]
            if (
                not self.refuses(node)
                and node not in self.watch_blocked
                and (changes or self.simulation.now() >= until)
            ):
                return 200, {"epoch": self.revision, "log": changes}
            if self.simulation.now() >= give_up:
                raise NoResponseError("watch")
            await asyncio.sleep(0.05)
