"""The leader ends, and the next leader stores nothing any more: an accepted job waits beside empty machines.

Followers answer the workers of a dead leader under a key of their own (`hookwall/keep/NODE`), which they delete once
the next leader is in contact. The deletion falls into the next leader's first full read, whose answer takes 0.4 s.
"""

# ruff: noqa: ANN401, ARG002
import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import BROKEN, HELD, NOT_RUN, Cluster, Limits, MachineKind, Record, run_case  # noqa: E402

TIMINGS = {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 37.0}
ZONES = ["montreal-est", "quebec-ville", "sherbrooke"]
TEAMS = [{"name": "member-care", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 136.0}]
SLOW_S = 0.4  # the pages: "occasionally a few hundred" milliseconds
RESTART_S = 3.0  # the pages: "back about 3 s after an end"
WAITING_S = 90.0  # the rule's bound
TICK_S = 1.5  # a follower looks after its key this often
LEADER_KEY = "hookwall/leader"


class SlowSpell:
    """The state service takes up to `SLOW_S` for a full read, and for the requests by which a node becomes leader.

    The delays of the latter are chosen such that the leader key is written just before a follower looks after its key.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.failover = False
        self.renewed: dict[str, float] = {}  # when a follower last renewed the hold of its key

    def _next_tick_s(self, candidate: str) -> float:
        """Return the seconds until a follower other than the candidate looks after its key, at most if unknown."""
        now = time.monotonic()
        left = [TICK_S - (now - at) % TICK_S for node, at in self.renewed.items() if node != candidate]
        return min(left, default=TICK_S)

    async def before(self, node: str, method: str, path: str, body: Any) -> None:
        """Delay the execution of a request."""
        if not self.failover:
            return
        state = self.cluster.state
        if method == "POST" and path.endswith("/extend"):
            session = state.holds.get(int(path.split("/")[2]))
            if session is not None and f"hookwall/keep/{node}" in session.keys:
                self.renewed[node] = time.monotonic()
            return
        before_tick_s = None  # when to execute the request, before a follower looks after its key
        if path == f"/store/{LEADER_KEY}":
            before_tick_s = 0.38
        elif path == "/holds" and body["ttlMs"] >= 60_000:
            before_tick_s = 0.2
        elif path == "/commit" and any(c.get("set") == LEADER_KEY for c in body.get("apply") or ()):
            before_tick_s = 0.15
        if before_tick_s is not None:
            delay_s = min(SLOW_S, max(0.0, self._next_tick_s(node) - before_tick_s))
            self.cluster.record.line(f"state takes {delay_s:.2f} s to execute {method} {path} of {node}")
            await asyncio.sleep(delay_s)

    async def after(self, node: str, method: str, path: str, _body: Any) -> None:
        """Delay the answer to a request that was executed."""
        if path.startswith("/store?"):
            self.cluster.record.line(f"state takes {SLOW_S} s to answer the full read of {node}")
            await asyncio.sleep(SLOW_S)


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Run the case; return its status."""
    cluster = Cluster(folder, record, TIMINGS, Limits(), MachineKind("erable-gpu", 32.0, 4.0, 256.0, ZONES), TEAMS)
    spell = SlowSpell(cluster)
    cluster.state.before, cluster.state.after = spell.before, spell.after
    refused: list[str] = []

    def note_conflict(node: str, failed: list[str], _body: Any) -> None:
        refused.append(node)
        record.line(f"state refuses a transaction of {node}: {failed} changed")

    try:
        await cluster.open()
        for i in range(8):
            cluster.add_machine(ZONES[i % 3]).next_step = 1 if i % 2 else -1
        for name in cluster.names:
            cluster.start(name)
        await cluster.wait_until(lambda: cluster.leader() is not None, 12.0, "a leader")
        first = await cluster.submit(1, 300.0, pieces=6, cores=28.0, cards=4.0, memGb=200.0)
        await cluster.wait_until(lambda: len(first.started) == 6, 12.0, "job 1 runs")
        old = cluster.leader() or ""
        version = cluster.state.keys[LEADER_KEY][1]
        if trouble:
            spell.failover = True
            cluster.kill(old)
            await asyncio.sleep(RESTART_S)
            cluster.start(old)
            await cluster.wait_until(
                lambda: cluster.state.keys.get(LEADER_KEY, (0, 0))[1] > version, 12.0, "the next leader"
            )
            await asyncio.sleep(2.5)
            spell.failover = False
        record.line("no disruption from now on")
        cluster.state.on_conflict.append(note_conflict)
        second = await cluster.submit(2, 5.0, within_s=5.0, cores=6.0, cards=1.0)
        cluster.check_time_left(WAITING_S + 4.0)
        until = time.monotonic() + WAITING_S
        room = set(cluster.workers)  # machines that had room all the time
        next_poll = 0.0
        while time.monotonic() < until and not second.started:
            room = {name for name in room if name in cluster.workers and not cluster.workers[name].tasks}
            if time.monotonic() > next_poll:
                next_poll = time.monotonic() + 5.0
                await cluster.poll(second)
            await asyncio.sleep(0.1)
        if second.started:
            record.line("held: the second job was started")
            return HELD
        if not room:
            return NOT_RUN
        record.line(
            f"BROKEN: the second job waited for {WAITING_S} s beside {sorted(room)}; refused writes: {len(refused)}"
        )
        return BROKEN
    finally:
        await cluster.close()


run_case(FOLDER, play)
