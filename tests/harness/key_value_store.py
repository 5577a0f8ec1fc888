"""A fake key-value store: keys, session leases, watches and transactions, with fault injection."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from hookwall.config.platform import (
    StoreLimits,
)
from hookwall.protocol.http_client import NoResponseError

if TYPE_CHECKING:
    from harness.simulation import Simulation


async def _no_action(_node: str, _path: str) -> None:
    """Do nothing; the default action before and after a read."""


async def _no_action_on_commit(_node: str, _body: dict) -> None:
    """Do nothing; the default action after a transaction."""


class FakeKeyValueStore:
    """The fake store; it can inject outages, rejections, lost responses and delayed writes.

    `keys` maps each key to its value, its version and its session lease. `session_leases` maps each session lease to
    its time to live in seconds and its expiry time.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[tuple[int, dict]] = []
        self.session_leases: dict[int, list[float]] = {}
        self.last_lease_id = 0
        self.down = False
        self.refused: set[str] = set()  # nodes that receive 503
        self.watch_blocked: set[str] = set()  # nodes whose watches receive no response
        self.disconnected: set[str] = set()  # nodes whose requests receive no response
        # Seconds after which a transaction is executed without a response; None: executed at once, with a response.
        self.write_delay_s: Callable[[str, dict], float | None] = lambda node, body: None
        # Awaited after a transaction was executed, before its response is sent.
        self.after_commit: Callable[[str, dict], Awaitable[None]] = _no_action_on_commit
        self.read_delay_s: Callable[[str, str], float] = lambda node, path: 0.0  # additional latency of a read
        # Awaited before a GET request of a node is executed, and after that before its response is sent.
        self.before_read: Callable[[str, str], Awaitable[None]] = _no_action
        self.after_read: Callable[[str, str], Awaitable[None]] = _no_action
        self.latency_s = 0.004
        self.limits = simulation.params.state  # the limits in force now
        self.recent_writes: list[tuple[float, int]] = []  # time and number of changes, for the limit per second
        self.refusals: dict[int, int] = {400: 0, 429: 0}
        self.largest_value_bytes = 0  # length in bytes of the longest value since `lower_limits`

    def delay_writes(self, share: float) -> None:
        """Execute a share of the transactions 2 to 12 s late and send no response to them."""
        draws = self.simulation.random
        self.write_delay_s = lambda node, body: draws.uniform(2.0, 12.0) if draws.random() < share else None

    def stop_delaying_writes(self) -> None:
        """Execute all further transactions without delay."""
        self.write_delay_s = lambda node, body: None

    def expire_session_leases(self, now: float) -> None:
        """End the session leases that have expired, and delete their keys; none expires during an outage."""
        if self.down:
            return
        for lease, (_, until) in list(self.session_leases.items()):
            if now > until:
                self.end_session_lease(lease)

    def end_session_lease(self, lease: int) -> None:
        """End a session lease and delete its keys."""
        del self.session_leases[lease]
        self.revision += 1
        for k in [k for k, v in self.keys.items() if v[2] == lease]:
            del self.keys[k]
            self.changes.append((self.revision, {"delete": k, "stamp": self.revision}))

    def put_key(self, key: str, value: Any, ttl_s: float | None = None) -> None:
        """Write a key directly; with `ttl_s`, under a new session lease of this duration."""
        lease = None
        if ttl_s is not None:
            self.last_lease_id += 1
            lease = self.last_lease_id
            self.session_leases[lease] = [ttl_s, self.simulation.now() + ttl_s]
        self.revision += 1
        self.keys[key] = (value, self.revision, lease)
        self.changes.append((self.revision, {"set": key, "value": value, "stamp": self.revision}))

    def delete_key(self, key: str) -> None:
        """Delete a key directly."""
        del self.keys[key]
        self.revision += 1
        self.changes.append((self.revision, {"delete": key, "stamp": self.revision}))

    def set_outage(self, on: bool) -> None:
        """Begin or end an outage; after it every session lease has its full time to live again."""
        self.down = on
        if not on:
            for lease in self.session_leases.values():
                lease[1] = self.simulation.now() + lease[0]

    def refuses(self, node: str) -> bool:
        """Whether requests of a node receive 503."""
        return self.down or node in self.refused

    async def call(self, node: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        """Return status and body of the response to a request of a node, with the injected faults.

        Raise NoResponseError after `timeout` seconds if no response arrives.
        """
        body = json.loads(json.dumps(body)) if body is not None else None
        await asyncio.sleep(self.latency_s / 2)
        if node in self.disconnected:
            await asyncio.sleep(timeout)
            raise NoResponseError("disconnected")
        if self.refuses(node):
            return 503, b"{}"
        if path == "/commit":
            delay_s = self.write_delay_s(node, body)
            if delay_s is not None:
                asyncio.get_running_loop().call_later(delay_s, self.commit, body)
                await asyncio.sleep(timeout)
                raise NoResponseError("transaction delayed")
        if path.startswith("/changes"):
            status, out = await self.watch(node, path, timeout)
        elif method == "GET":
            await self.before_read(node, path)
            status, out = self.respond(method, path, body)
            await self.after_read(node, path)
        else:
            status, out = self.respond(method, path, body)
            if path == "/commit":
                await self.after_commit(node, body)
        read_delay_s = self.read_delay_s(node, path) if method == "GET" else 0.0
        await asyncio.sleep(self.latency_s / 2 + read_delay_s)
        if node in self.disconnected:
            await asyncio.sleep(timeout)
            raise NoResponseError("disconnected")
        return status, json.dumps(out).encode()

    def respond(self, method: str, path: str, body: Any) -> tuple[int, dict]:
        """Execute a request other than a watch; return status and body of the response."""
        if path == "/commit":
            return self.commit(body)
        if path == "/holds":
            self.last_lease_id += 1
            ttl = body["ttlMs"] / 1000
            self.session_leases[self.last_lease_id] = [ttl, self.simulation.now() + ttl]
            return 200, {"hold": self.last_lease_id}
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
        stored = self.keys.get(path[len("/store/") :])
        return (404, {"epoch": self.revision}) if stored is None else (200, {"value": stored[0], "stamp": stored[1]})

    def lower_limits(self) -> None:
        """Put the announced lower limits in force at once, without notice to the nodes."""
        current, upcoming = self.limits, self.limits.next
        self.limits = StoreLimits(
            *current.rates_per_s(True), upcoming.value_kb or current.value_kb, upcoming.txn_ops or current.txn_ops
        )
        self.largest_value_bytes = 0

    def reject_over_limits(self, changes: list[dict]) -> tuple[int, dict] | None:
        """Return the error response to a transaction that exceeds a limit; None for one within all limits."""
        largest = max((len(json.dumps(a["value"])) for a in changes if "set" in a), default=0)
        self.largest_value_bytes = max(self.largest_value_bytes, largest)
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
        """Execute a transaction; return status and body of the response."""
        rejection = self.reject_over_limits(body.get("apply", []))
        if rejection is not None:
            return rejection
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
        """Return the changes since a revision once there are any, or none after the time that the request allows.

        Raise NoResponseError after `timeout` seconds if faults have held back the response until then.
        """
        args = dict(a.split("=") for a in path.partition("?")[2].split("&"))
        after, until = int(args["after"]), self.simulation.now() + int(args["blockMs"]) / 1000
        times_out_at = self.simulation.now() + timeout
        while True:
            changes = [c for e, c in self.changes if e > after]
            if (
                not self.refuses(node)
                and node not in self.watch_blocked
                and (changes or self.simulation.now() >= until)
            ):
                return 200, {"epoch": self.revision, "log": changes}
            if self.simulation.now() >= times_out_at:
                raise NoResponseError("watch timed out")
            await asyncio.sleep(0.05)
