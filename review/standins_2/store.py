# ruff: noqa: ANN401
"""The state service: keys, holds, changes and conditional transactions, with one port for each node.

A node's traffic can be held: requests are then executed, and responses delivered, only once the link is open again.
"""

import asyncio
import bisect
import json
import time
from collections import deque
from itertools import islice, takewhile
from typing import Any

from aiohttp import web

from standins_2.record import Record

MAX_ITEMS = 1000
MAX_BYTES = 512 * 1024
KEPT_CHANGES = 10_000


class Bucket:
    """A limit of a rate per second with a burst of `seconds` worth."""

    def __init__(self, rate: float, seconds: float) -> None:
        self.rate = rate
        self.burst = rate * seconds
        self.left = self.burst
        self.at = time.monotonic()

    def take(self, count: float) -> bool:
        """Take `count` if the limit allows it."""
        now = time.monotonic()
        self.left = min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        if count > self.left:
            return False
        self.left -= count
        return True


class Link:
    """What a network does between two parties: open, or holding everything until it is opened again."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def hold(self) -> None:
        """Hold all packets from now on."""
        self._open.clear()

    def release(self) -> None:
        """Deliver what was held."""
        self._open.set()

    def is_open(self) -> bool:
        """Whether packets pass."""
        return self._open.is_set()

    async def passed(self) -> None:
        """Wait until the link is open."""
        await self._open.wait()


class Store:
    """The key-value store of the page, for all nodes."""

    def __init__(self, settings: dict[str, Any], record: Record, latency_s: float = 0.004) -> None:
        self.record = record
        self.latency_s = latency_s
        self.txn_ops = int(settings["txn_ops"])
        self.value_bytes = settings["value_kb"] * 1024
        self.requests = Bucket(settings["rps"], 1.0)
        self.writes = Bucket(settings["write_rps"], 1.0)
        self.epoch = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_CHANGES)
        self.holds: dict[int, list[float]] = {}
        self.last_hold = 0
        self.down = False
        self.links: dict[str, Link] = {}
        self.watching: dict[str, int] = {}  # node -> its open watches
        self.on_commit: list[Any] = []  # called with node, body and status once a transaction was executed or refused
        self._changed = asyncio.Event()
        self._sorted: list[str] = []  # the keys as of `_sorted_at`
        self._sorted_at = -1

    # -- keys --------------------------------------------------------------------------------------

    def _log(self, change: dict[str, Any]) -> None:
        self.changes.append((self.epoch, {**change, "stamp": self.epoch}))
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """End the holds whose time is over."""
        if self.down:
            return
        now = time.monotonic()
        for hold in [hold for hold, (_, until) in self.holds.items() if now > until]:
            self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        del self.holds[hold]
        gone = [key for key, item in self.items.items() if item[2] == hold]
        if gone:
            self.epoch += 1
        for key in gone:
            del self.items[key]
            self._log({"delete": key})

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; after it all holds have their full time again."""
        self.down = down
        if not down:
            for hold in self.holds.values():
                hold[1] = time.monotonic() + hold[0]

    # -- requests ----------------------------------------------------------------------------------

    async def handle(self, node: str, request: web.Request) -> web.Response:
        """Answer one request of a node."""
        link = self.links.setdefault(node, Link())
        body = await request.read()
        await link.passed()
        await asyncio.sleep(self.latency_s / 2)
        if self.down:
            status, out = 503, {}
        elif not self.requests.take(1):
            status, out = 429, {}
        elif request.path == "/changes":
            self.watching[node] = self.watching.get(node, 0) + 1
            try:
                status, out = await self._watch(request.query)
            finally:
                self.watching[node] -= 1
        else:
            status, out = self._respond(request, json.loads(body) if body else None)
        if request.path == "/commit":
            for call in self.on_commit:
                call(node, json.loads(body), status)
        await asyncio.sleep(self.latency_s / 2)
        await self.before_response(node, request, link)
        return web.Response(status=status, text=json.dumps(out), content_type="application/json")

    async def before_response(self, _node: str, _request: web.Request, link: Link) -> None:
        """Wait until the response may be delivered."""
        await link.passed()

    def _respond(self, request: web.Request, body: Any) -> tuple[int, dict[str, Any]]:
        path, method = request.path, request.method
        if path == "/commit" and method == "POST":
            return self._commit(body)
        if path == "/holds" and method == "POST":
            ttl = body["ttlMs"] / 1000
            if not 0.1 <= ttl <= 600:
                return 400, {"error": "ttlMs"}
            self.last_hold += 1
            self.holds[self.last_hold] = [ttl, time.monotonic() + ttl]
            return 200, {"hold": self.last_hold}
        if path.startswith("/holds/"):
            return self._hold(path, method)
        if path == "/store":
            return self._scan(request.query)
        key = path.removeprefix("/store/")
        if key not in self.items:
            return 404, {"epoch": self.epoch}
        value, stamp, hold = self.items[key]
        return 200, {"k": key, "value": value, "stamp": stamp, **({} if hold is None else {"hold": hold})}

    def _hold(self, path: str, method: str) -> tuple[int, dict[str, Any]]:
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
        return 200, {}

    def _scan(self, query: Any) -> tuple[int, dict[str, Any]]:
        most = min(MAX_ITEMS, int(query.get("most", MAX_ITEMS)))
        if len(self._sorted) != len(self.items) or self._sorted_at != self.epoch:
            self._sorted, self._sorted_at = sorted(self.items), self.epoch
        under = query["under"]
        first = bisect.bisect_right(self._sorted, query["after"]) if "after" in query else 0
        first = max(first, bisect.bisect_left(self._sorted, under))
        keys = list(takewhile(lambda key: key.startswith(under), islice(self._sorted, first, first + most + 1)))
        entries: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            value, stamp, _ = self.items[key]
            size += len(json.dumps(value))
            if len(entries) >= most or (entries and size > MAX_BYTES):
                break
            entries.append({"k": key, "value": value, "stamp": stamp})
        return 200, {"entries": entries, "more": len(entries) < len(keys), "epoch": self.epoch}

    async def _watch(self, query: Any) -> tuple[int, dict[str, Any]]:
        after, under = int(query["after"]), query["under"]
        until = time.monotonic() + int(query.get("blockMs", 0)) / 1000
        while True:
            if len(self.changes) == KEPT_CHANGES and self.changes[0][0] > after + 1:
                return 410, {}
            log = [
                change
                for epoch, change in self.changes
                if epoch > after and (change.get("set") or change["delete"]).startswith(under)
            ]
            left = until - time.monotonic()
            if not self.down and (log or left <= 0):
                return 200, {"epoch": self.epoch, "log": log}
            changed = self._changed
            try:
                async with asyncio.timeout(max(0.05, left) if not self.down else 0.1):
                    await changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        changes = body.get("apply", [])
        too_large = any("set" in c and len(json.dumps(c["value"])) > self.value_bytes for c in changes)
        if len(changes) > self.txn_ops or len(body["when"]) > 4 * self.txn_ops or too_large:
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {}
        if any("hold" in c and c["hold"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body["when"] if self.items.get(c["k"], (None, 0, None))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for change in changes:
            if "delete" in change:
                if self.items.pop(change["delete"], None) is not None:
                    self._log({"delete": change["delete"]})
                continue
            self.items[change["set"]] = (change["value"], self.epoch, change.get("hold"))
            self._log({"set": change["set"], "value": change["value"]})
        return 200, {"epoch": self.epoch}
