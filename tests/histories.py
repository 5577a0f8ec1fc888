"""Random short histories of overlapping troubles, and the invariants that `ran_twice` rests on.

A history is drawn from a seed: a few long jobs, and several troubles that begin within seconds of each other. After
every step of the simulation, and whenever a worker executes a launch, the invariants are checked:

- at most one node is a valid leader;
- a task that is on a machine is named by the newest stored record, with that machine, epoch and attempt;
- an attempt of a task is never launched on two machines.

`python tests/histories.py FIRST LAST` plays the seeds of a range on all cores and prints those that break a rule.
"""

import asyncio
import logging
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker, Task

from hookwall.storage import job_records, keys
from hookwall.storage.job_records import MalformedRecordError, MissingChunksError

MACHINES = 6
JOBS = 5
QUIET_S = 45.0  # after the last trouble has begun
SPREAD_S = 16.0  # troubles begin within so long


@dataclass
class Invariants:
    """Checks a simulation against the claims of docs/design.md; what breaks is added to its `broken` once each."""

    simulation: Simulation
    launched: dict[tuple[str, int], str] = field(default_factory=dict)
    reported: set[str] = field(default_factory=set)

    def watch(self) -> None:
        """Check from now on."""
        self.simulation.on_step.append(self.check)
        self.simulation.on_launch.append(self.check_launch)

    def _breaks(self, kind: str, what: str) -> None:
        if (kind + what) not in self.reported:
            self.reported.add(kind + what)
            self.simulation.broken.append(f"{kind}: {what} at {self.simulation.now():.1f}")

    def check(self) -> None:
        """What has to hold at any moment."""
        valid = [name for name, node in self.simulation.nodes.items() if node.leadership.valid()]
        if len(valid) > 1:
            self._breaks("two_leaders", " and ".join(sorted(valid)))
        starts: dict[str, set[tuple[str, int, int, int]] | None] = {}
        for worker in self.simulation.workers.values():
            for task_id, task in worker.tasks.items():
                if task.phase != "exited" and self.simulation.rules.may_still_run(worker, self.simulation.now()):
                    self._check_recorded(worker, task_id, task, starts)

    def _check_recorded(
        self, worker: FakeWorker, task_id: str, task: Task, starts: dict[str, set[tuple[str, int, int, int]] | None]
    ) -> None:
        job_id, _, number = task_id.rpartition("/")
        if job_id not in starts:
            starts[job_id] = self._stored_starts(job_id)
        recorded = starts[job_id]
        if recorded is not None and (worker.name, worker.epoch, task.attempt, int(number)) not in recorded:
            self._breaks("not_recorded", f"{task_id} try {task.attempt} on {worker.name}")

    def _stored_starts(self, job_id: str) -> set[tuple[str, int, int, int]] | None:
        """What the newest record names; None where it can't be read."""
        stored = self.simulation.service.keys
        value = stored.get(keys.JOB_PREFIX + job_id, ({}, 0, None))[0]
        try:
            record = job_records.decode_record(job_id, value, lambda key: stored.get(key, (None, 0, None))[0])
        except (MissingChunksError, MalformedRecordError):
            return None
        return {(m, s, a, task) for m, s, a, tasks in record.allocations for task in job_records.decode_ranges(tasks)}

    def check_launch(self, worker: FakeWorker, task_id: str, attempt: int) -> None:
        """A worker executes a launch for the first time."""
        where = self.launched.setdefault((task_id, attempt), worker.name)
        if where != worker.name:
            self._breaks("attempt_twice", f"{task_id} try {attempt} on {where} and {worker.name}")


class History:
    """Troubles drawn from one seed."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self.simulation, self.random = simulation, random.Random(seed)
        self.log: list[str] = []

    def restart(self, name: str) -> None:
        """A process that has ended begins again."""
        if name not in self.simulation.nodes:
            self.simulation.start(name)

    def note(self, what: str) -> None:
        """Add a line to the history's log."""
        self.log.append(f"{self.simulation.now():.1f} {what}")

    def span(self, least: float, most: float) -> float:
        """A random duration in seconds."""
        return self.random.uniform(least, most)

    def node(self) -> str:
        """A node, the leader as often as all others together."""
        lead = next((n for n, node in self.simulation.nodes.items() if node.leadership.role.holds_leader_key()), None)
        if lead is not None and self.random.random() < 0.5:
            return lead
        return self.random.choice(self.simulation.names)

    def worker(self) -> FakeWorker | None:
        """A random worker; None where there is none."""
        return self.random.choice(list(self.simulation.workers.values())) if self.simulation.workers else None

    # -- troubles: each lasts until it returns -------------------------------------------------------

    async def crash(self) -> None:
        """A node's process ends and is started again."""
        name = self.node()
        down_s = self.random.choice([0.1, 0.3, 0.5, self.span(1.0, 9.0)])
        if name not in self.simulation.nodes:
            return
        self.note(f"{name} ends, back in {down_s:.1f}")
        self.simulation.crash(name)
        await asyncio.sleep(down_s)
        self.restart(name)

    async def stand_still(self) -> None:
        """A node's process is frozen."""
        name = self.node()
        for_s = self.span(0.5, 9.0)
        self.note(f"{name} stands still for {for_s:.1f}")
        self.simulation.freeze(name)
        await asyncio.sleep(for_s)
        self.simulation.thaw(name)

    async def _member(self, group: set[Any], item: Any, what: str, least: float = 1.0, most: float = 20.0) -> None:
        """Something belongs to a set of the simulation for a while."""
        for_s = self.span(least, most)
        if item in group:
            return
        self.note(f"{item}: {what} for {for_s:.1f}")
        group.add(item)
        await asyncio.sleep(for_s)
        group.discard(item)

    async def refused(self) -> None:
        """The store answers 503 to one node."""
        await self._member(self.simulation.service.refused, self.node(), "refused by the state service")

    async def cut_from_state(self) -> None:
        """The store does not answer one node."""
        await self._member(self.simulation.service.disconnected, self.node(), "no answer from the state service")

    async def watch_stands(self) -> None:
        """One node's watch brings no changes."""
        await self._member(self.simulation.service.watch_blocked, self.node(), "its watch is not answered")

    async def peers_apart(self) -> None:
        """Two nodes don't reach each other."""
        one, other = self.random.sample(self.simulation.names, 2)
        await self._member(self.simulation.partitions, frozenset((one, other)), "apart")

    async def node_alone(self) -> None:
        """One node reaches no other."""
        links = sorted(self.simulation.links_of(self.node()), key=sorted)
        await asyncio.gather(*(self._member(self.simulation.partitions, link, "apart", 4.0, 16.0) for link in links))

    async def zone_cut(self) -> None:
        """A zone's workers reach one node only, which reaches no other node."""
        name, zone, for_s = self.node(), self.random.choice(["east", "west"]), self.span(6.0, 25.0)
        self.note(f"zone {zone} with {name} cut off for {for_s:.1f}")
        inside = [w for w in self.simulation.workers.values() if w.zone == zone]
        pairs = self.simulation.links_of(name)
        for worker in self.simulation.workers.values():
            worker.reached = (lambda node: node == name) if worker in inside else (lambda node: node != name)
        self.simulation.partitions |= pairs
        await asyncio.sleep(for_s)
        self.simulation.partitions -= pairs
        for worker in self.simulation.workers.values():
            worker.reached = lambda node: True

    async def renewed_late_by_delegate(self) -> None:
        """A machine comes to a follower only when its lease is nearly over, and the leader learns of that late."""
        name, worker = self.node(), self.worker()
        lead = self.simulation.leader()
        if lead is None or worker is None or lead.settings.node_name == name or worker.hung:
            return
        before_s, for_s, at_s = self.span(0.2, 3.0), self.span(5.0, 15.0), self.span(-1.0, 1.0)
        self.note(f"{worker.name} comes to {name} {before_s:.1f} before its lease ends, for {for_s:.1f}")
        pairs = self.simulation.links_of(name)
        self.simulation.partitions |= pairs
        worker.reached = lambda node: node == name
        worker.hung, worker.node = True, self.simulation.names.index(name)
        end = worker.lease_from + self.simulation.params.workers.lease_s
        await asyncio.sleep(max(0.0, end - before_s + at_s - self.simulation.now()))
        trouble = self.simulation.go(
            self.random.choice([self.refused, self.slow, self.watch_stands, self.late_writes])()
        )
        await asyncio.sleep(max(0.0, end - before_s - self.simulation.now()))
        worker.hung = False
        await asyncio.sleep(for_s)
        self.simulation.partitions -= pairs
        worker.reached = lambda node: True
        await trouble

    async def unreached(self) -> None:
        """Workers of a zone don't reach some node."""
        name, for_s = self.node(), self.span(3.0, 16.0)
        some = [w for w in self.simulation.workers.values() if self.random.random() < 0.6]
        self.note(f"{[w.name for w in some]} don't reach {name} for {for_s:.1f}")
        before = [w.reached for w in some]
        for worker, reached in zip(some, before, strict=True):
            worker.reached = lambda node, reached=reached: node != name and reached(node)
        await asyncio.sleep(for_s)
        for worker in some:
            worker.reached = lambda node: True

    async def outage(self) -> None:
        """The store answers nobody."""
        for_s = self.span(0.5, 20.0)
        if self.simulation.service.down:
            return
        self.note(f"outage for {for_s:.1f}")
        self.simulation.service.outage(True)
        await asyncio.sleep(for_s)
        self.simulation.service.outage(False)

    async def slow(self) -> None:
        """The store answers slowly."""
        for_s, latency_s = self.span(3.0, 15.0), self.span(0.2, 1.6)
        self.note(f"state service takes {latency_s:.1f} for {for_s:.1f}")
        self.simulation.service.latency_s = latency_s
        await asyncio.sleep(for_s)
        self.simulation.service.latency_s = 0.004

    async def late_writes(self) -> None:
        """Some writes get no answer and are carried out later."""
        for_s, share, at_once = self.span(4.0, 15.0), self.random.choice([0.2, 0.5, 1.0]), self.random.random() < 0.3
        self.note(f"{share:.0%} of writes late for {for_s:.1f}, at once: {at_once}")
        self.simulation.service.late = lambda node, body: (
            (0.0 if at_once else self.span(2.0, 12.0)) if self.random.random() < share else None
        )
        await asyncio.sleep(for_s)
        self.simulation.service.late = lambda node, body: None

    async def late_reads(self) -> None:
        """Some reads are answered late."""
        for_s, share = self.span(4.0, 15.0), self.random.choice([0.2, 0.6])
        self.note(f"answers to {share:.0%} of reads late for {for_s:.1f}")
        self.simulation.service.late_answer = lambda node, path: (
            self.span(0.3, 1.4) if self.random.random() < share else 0.0
        )
        await asyncio.sleep(for_s)
        self.simulation.service.late_answer = lambda node, path: 0.0

    async def late_copies(self) -> None:
        """Earlier heartbeats arrive again at every node."""
        self.note("late duplicates of heartbeats")
        for _ in range(30):
            await asyncio.sleep(self.span(0.1, 1.0))
            worker = self.worker()
            if worker is not None and worker.sent_heartbeats:
                body = self.random.choice(worker.sent_heartbeats[-12:])
                for name in list(self.simulation.nodes):
                    self.simulation.go(self.simulation.deliver_heartbeat(name, body))

    async def _worker_is(self, what: str, least: float, most: float) -> None:
        """Some workers hang, are deaf or mute for a while, a lease or so."""
        for_s = self.span(least, most)
        some = [w for w in self.simulation.workers.values() if self.random.random() < 0.35]
        self.note(f"{[w.name for w in some]} {what} for {for_s:.1f}")
        for worker in some:
            setattr(worker, what, True)
        await asyncio.sleep(for_s)
        for worker in some:
            setattr(worker, what, False)

    async def hung(self) -> None:
        """Some workers stand still."""
        await self._worker_is("hung", 1.0, 14.0)

    async def deaf(self) -> None:
        """Some workers get no responses."""
        await self._worker_is("deaf", 1.0, 14.0)

    async def mute(self) -> None:
        """Some workers' heartbeats reach no node."""
        await self._worker_is("mute", 1.0, 14.0)

    def kinds(self) -> list[Callable[[], Any]]:
        """What troubles are drawn from; those named twice come twice as often."""
        return [
            self.crash, self.crash, self.crash, self.stand_still, self.stand_still, self.refused, self.refused,
            self.cut_from_state, self.watch_stands, self.peers_apart, self.peers_apart, self.node_alone,
            self.zone_cut, self.zone_cut, self.renewed_late_by_delegate, self.renewed_late_by_delegate,
            self.renewed_late_by_delegate, self.unreached,
            self.outage, self.slow, self.late_writes, self.late_writes, self.late_reads, self.late_copies,
            self.hung, self.deaf, self.mute,
        ]  # fmt: skip

    # -- one history -------------------------------------------------------------------------------

    async def play(self, simulation: Simulation) -> None:
        """Jobs, troubles that overlap, and a quiet time after them."""
        job_ids = [
            simulation.job(n, run_s=self.span(15.0, 120.0), pieces=self.random.choice([1, 2, 4]),
                      shape=self.random.choice(["batch", "batch", "ensemble"]))
            for n in range(1, JOBS + 1)
        ]  # fmt: skip
        for job_id in job_ids:
            await simulation.accepted(job_id)
        await asyncio.sleep(self.span(1.0, 6.0))
        troubles = [
            simulation.go(self._begin(self.random.choice(self.kinds()))) for _ in range(self.random.randint(3, 7))
        ]
        await asyncio.gather(*troubles)
        await asyncio.sleep(QUIET_S)

    async def _begin(self, trouble: Callable[[], Any]) -> None:
        await asyncio.sleep(self.span(0.0, SPREAD_S))
        await trouble()


def broken_in(
    kind: type[History], invariants: type[Invariants], seed: int, quiet: bool, **simulation: Any
) -> tuple[int, list[str], list[str]]:
    """Play the history of a seed: what it broke, and its troubles."""
    if quiet:
        logging.disable(logging.CRITICAL)
    found: list[str] = []
    log: list[str] = []

    async def scenario(simulation: Simulation) -> None:
        history = kind(simulation, seed)
        invariants(simulation).watch()
        try:
            await history.play(simulation)
        finally:
            found.extend(simulation.broken)
            log.extend(history.log)
            simulation.broken.clear()

    play(scenario, **simulation)
    return seed, found, log


def broken_by(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Play a history of troubles."""
    return broken_in(History, Invariants, seed, quiet, machines=MACHINES)


def play_range(broken: Callable[[int], tuple[int, list[str], list[str]]], first: int, last: int) -> int:
    """Play a range of seeds on all cores."""
    failed = 0
    with ProcessPoolExecutor() as pool:
        for seed, found, log in pool.map(broken, range(first, last), chunksize=4):
            if found:
                failed += 1
                print(f"seed {seed}", *found, *log, sep="\n    ", flush=True)
    print(f"{failed} of {last - first} histories broke an invariant or a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(play_range(broken_by, int(sys.argv[1]), int(sys.argv[2])))
