"""Short random histories with overlapping faults, and the invariants that imply the rule `ran_twice`.

A history is generated from a seed: a few long jobs, and several faults that begin within seconds of each other. The
invariants are checked after every step of the simulation and whenever a worker executes a launch:

- at most one node is a valid leader;
- the newest stored job record names each task that is on a machine, with that machine, epoch and attempt;
- an attempt of a task is never launched on two machines.

At the end, without faults, each node has to know exactly the stored keys that can be deleted, and a new job has to run.

`python tests/histories.py FIRST LAST` runs the seeds from FIRST up to, but not including, LAST on all cores and prints
those that break an invariant or a rule.
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
from harness.recovery import check_known_keys, check_new_job_runs
from harness.simulation import Simulation
from harness.worker import FakeWorker, Task

from hookwall.storage import job_records, keys
from hookwall.storage.job_records import MalformedRecordError, MissingChunksError

MACHINES = 6
JOBS = 5
QUIET_PERIOD_S = 45.0  # time without faults at the end, after the last fault is over
FAULT_WINDOW_S = 16.0  # all faults begin within this time


@dataclass
class Invariants:
    """Checks a simulation against the claims of docs/design.md; adds each new violation to its `violations`."""

    simulation: Simulation
    launched: dict[tuple[str, int], str] = field(default_factory=dict)
    reported: set[str] = field(default_factory=set)

    def watch(self) -> None:
        """Check the invariants from now on."""
        self.simulation.on_step.append(self.check)
        self.simulation.on_launch.append(self.check_launch)

    def _report_violation(self, kind: str, details: str) -> None:
        if (kind + details) not in self.reported:
            self.reported.add(kind + details)
            self.simulation.violations.append(f"{kind}: {details} at {self.simulation.now():.1f}")

    def check(self) -> None:
        """Check the invariants that have to hold at any time."""
        valid = [name for name, node in self.simulation.nodes.items() if node.leadership.valid()]
        if len(valid) > 1:
            self._report_violation("two_leaders", " and ".join(sorted(valid)))
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
            self._report_violation("not_recorded", f"{task_id} try {task.attempt} on {worker.name}")

    def _stored_starts(self, job_id: str) -> set[tuple[str, int, int, int]] | None:
        """Return machine, epoch, attempt and number of the tasks in the newest record; None if it can't be decoded."""
        stored = self.simulation.store.keys
        value = stored.get(keys.JOB_PREFIX + job_id, ({}, 0, None))[0]
        try:
            record = job_records.decode_record(job_id, value, lambda key: stored.get(key, (None, 0, None))[0])
        except (MissingChunksError, MalformedRecordError):
            return None
        return {(m, s, a, task) for m, s, a, tasks in record.allocations for task in job_records.decode_ranges(tasks)}

    def check_launch(self, worker: FakeWorker, task_id: str, attempt: int) -> None:
        """Check that an attempt of a task is launched on one machine only."""
        first_machine = self.launched.setdefault((task_id, attempt), worker.name)
        if first_machine != worker.name:
            self._report_violation("attempt_twice", f"{task_id} try {attempt} on {first_machine} and {worker.name}")


class History:
    """Jobs and faults that are generated from one seed."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self.simulation, self.random = simulation, random.Random(seed)
        self.log: list[str] = []

    def restart(self, name: str) -> None:
        """Start a node's process again if it is not running."""
        if name not in self.simulation.nodes:
            self.simulation.start(name)

    def note(self, event: str) -> None:
        """Add an event to the log of the history."""
        self.log.append(f"{self.simulation.now():.1f} {event}")

    def span(self, least: float, most: float) -> float:
        """Return a random duration in seconds."""
        return self.random.uniform(least, most)

    def random_node(self) -> str:
        """Return the name of a random node; at least half of the time it is the holder of the leader key, if any."""
        leader = next((n for n, node in self.simulation.nodes.items() if node.leadership.role.holds_leader_key()), None)
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(self.simulation.names)

    def random_worker(self) -> FakeWorker | None:
        """Return a random worker; None if there is no worker."""
        return self.random.choice(list(self.simulation.workers.values())) if self.simulation.workers else None

    # -- faults: each coroutine returns when its fault is over ---------------------------------------

    async def crash(self) -> None:
        """Kill the process of a node and start it again."""
        name = self.random_node()
        down_s = self.random.choice([0.1, 0.3, 0.5, self.span(1.0, 9.0)])
        if name not in self.simulation.nodes:
            return
        self.note(f"{name} is killed, restarts in {down_s:.1f}")
        self.simulation.crash(name)
        await asyncio.sleep(down_s)
        self.restart(name)

    async def freeze_node(self) -> None:
        """Freeze the process of a node for a while."""
        name = self.random_node()
        duration_s = self.span(0.5, 9.0)
        self.note(f"{name} is frozen for {duration_s:.1f}")
        self.simulation.freeze(name)
        await asyncio.sleep(duration_s)
        self.simulation.thaw(name)

    async def _add_temporarily(
        self, group: set[Any], item: Any, event: str, least: float = 1.0, most: float = 20.0
    ) -> None:
        """Add an item to a set of the simulation for a while, which enables the fault that the set stands for."""
        duration_s = self.span(least, most)
        if item in group:
            return
        self.note(f"{item}: {event} for {duration_s:.1f}")
        group.add(item)
        await asyncio.sleep(duration_s)
        group.discard(item)

    async def reject_requests(self) -> None:
        """Let the store reject the requests of one node with 503."""
        await self._add_temporarily(
            self.simulation.store.refused, self.random_node(), "requests rejected by the key-value store"
        )

    async def disconnect_from_store(self) -> None:
        """Disconnect one node from the store: its requests receive no response."""
        await self._add_temporarily(
            self.simulation.store.disconnected, self.random_node(), "disconnected from the key-value store"
        )

    async def block_watch(self) -> None:
        """Block the watch of one node, so that it receives no changes."""
        await self._add_temporarily(self.simulation.store.watch_blocked, self.random_node(), "watch blocked")

    async def partition_two_nodes(self) -> None:
        """Partition two nodes from each other."""
        one, other = self.random.sample(self.simulation.names, 2)
        await self._add_temporarily(self.simulation.partitions, frozenset((one, other)), "partitioned")

    async def partition_node(self) -> None:
        """Partition one node from all others."""
        links = sorted(self.simulation.node_pairs_of(self.random_node()), key=sorted)
        await asyncio.gather(
            *(self._add_temporarily(self.simulation.partitions, link, "partitioned", 4.0, 16.0) for link in links)
        )

    async def partition_zone(self) -> None:
        """Partition a zone's workers and one node from all other workers and nodes."""
        name, zone, duration_s = self.random_node(), self.random.choice(["east", "west"]), self.span(6.0, 25.0)
        self.note(f"zone {zone} with {name} partitioned for {duration_s:.1f}")
        inside = [w for w in self.simulation.workers.values() if w.zone == zone]
        pairs = self.simulation.node_pairs_of(name)
        for worker in self.simulation.workers.values():
            worker.reached = (lambda node: node == name) if worker in inside else (lambda node: node != name)
        self.simulation.partitions |= pairs
        await asyncio.sleep(duration_s)
        self.simulation.partitions -= pairs
        for worker in self.simulation.workers.values():
            worker.reached = lambda node: True

    async def renew_late_by_delegate(self) -> None:
        """Let a follower renew a lease just before it expires, while the leader learns of the renewal late.

        The worker hangs until then, and it can reach only the follower, which is partitioned from all other nodes. A
        fault of the store begins at about the time of the renewal.
        """
        name, worker = self.random_node(), self.random_worker()
        leader = self.simulation.leader()
        if leader is None or worker is None or leader.settings.node_name == name or worker.hung:
            return
        before_s, duration_s, at_s = self.span(0.2, 3.0), self.span(5.0, 15.0), self.span(-1.0, 1.0)
        self.note(f"{worker.name} reaches {name} {before_s:.1f} before its lease expires, for {duration_s:.1f}")
        pairs = self.simulation.node_pairs_of(name)
        self.simulation.partitions |= pairs
        worker.reached = lambda node: node == name
        worker.hung, worker.node = True, self.simulation.names.index(name)
        end = worker.lease_from + self.simulation.params.workers.lease_s
        await asyncio.sleep(max(0.0, end - before_s + at_s - self.simulation.now()))
        fault = self.simulation.run_in_background(
            self.random.choice([self.reject_requests, self.slow_store, self.block_watch, self.lose_write_responses])()
        )
        await asyncio.sleep(max(0.0, end - before_s - self.simulation.now()))
        worker.hung = False
        await asyncio.sleep(duration_s)
        self.simulation.partitions -= pairs
        worker.reached = lambda node: True
        await fault

    async def block_heartbeats_to_node(self) -> None:
        """Keep the heartbeats of some workers from one node."""
        name, duration_s = self.random_node(), self.span(3.0, 16.0)
        some = [w for w in self.simulation.workers.values() if self.random.random() < 0.6]
        self.note(f"{[w.name for w in some]} cannot reach {name} for {duration_s:.1f}")
        before = [w.reached for w in some]
        for worker, reached in zip(some, before, strict=True):
            worker.reached = lambda node, reached=reached: node != name and reached(node)
        await asyncio.sleep(duration_s)
        for worker in some:
            worker.reached = lambda node: True

    async def store_outage(self) -> None:
        """Let the store reject the requests of all nodes with 503."""
        duration_s = self.span(0.5, 20.0)
        if self.simulation.store.down:
            return
        self.note(f"key-value store outage for {duration_s:.1f}")
        self.simulation.store.set_outage(True)
        await asyncio.sleep(duration_s)
        self.simulation.store.set_outage(False)

    async def slow_store(self) -> None:
        """Increase the latency of the store."""
        duration_s, latency_s = self.span(3.0, 15.0), self.span(0.2, 1.6)
        self.note(f"key-value store latency of {latency_s:.1f} for {duration_s:.1f}")
        self.simulation.store.latency_s = latency_s
        await asyncio.sleep(duration_s)
        self.simulation.store.latency_s = 0.004

    async def lose_write_responses(self) -> None:
        """Send no response to some writes, and execute them late or at once."""
        duration_s, share, at_once = (
            self.span(4.0, 15.0),
            self.random.choice([0.2, 0.5, 1.0]),
            self.random.random() < 0.3,
        )
        self.note(f"{share:.0%} of writes without response for {duration_s:.1f}, executed at once: {at_once}")
        self.simulation.store.write_delay_s = lambda node, body: (
            (0.0 if at_once else self.span(2.0, 12.0)) if self.random.random() < share else None
        )
        await asyncio.sleep(duration_s)
        self.simulation.store.write_delay_s = lambda node, body: None

    async def delay_reads(self) -> None:
        """Delay the responses to some reads."""
        duration_s, share = self.span(4.0, 15.0), self.random.choice([0.2, 0.6])
        self.note(f"responses to {share:.0%} of reads delayed for {duration_s:.1f}")
        self.simulation.store.read_delay_s = lambda node, path: (
            self.span(0.3, 1.4) if self.random.random() < share else 0.0
        )
        await asyncio.sleep(duration_s)
        self.simulation.store.read_delay_s = lambda node, path: 0.0

    async def duplicate_heartbeats(self) -> None:
        """Deliver duplicates of earlier heartbeats to every node."""
        self.note("delayed duplicates of heartbeats")
        for _ in range(30):
            await asyncio.sleep(self.span(0.1, 1.0))
            worker = self.random_worker()
            if worker is not None and worker.sent_heartbeats:
                body = self.random.choice(worker.sent_heartbeats[-12:])
                for name in list(self.simulation.nodes):
                    self.simulation.run_in_background(self.simulation.deliver_heartbeat(name, body))

    async def _set_on_workers(self, attribute: str, least: float, most: float) -> None:
        """Set a fault attribute of some workers for a while."""
        duration_s = self.span(least, most)
        some = [w for w in self.simulation.workers.values() if self.random.random() < 0.35]
        self.note(f"{[w.name for w in some]} {attribute} for {duration_s:.1f}")
        for worker in some:
            setattr(worker, attribute, True)
        await asyncio.sleep(duration_s)
        for worker in some:
            setattr(worker, attribute, False)

    async def hang_workers(self) -> None:
        """Let some workers hang."""
        await self._set_on_workers("hung", 1.0, 14.0)

    async def drop_responses(self) -> None:
        """Drop the responses to the heartbeats of some workers."""
        await self._set_on_workers("loses_responses", 1.0, 14.0)

    async def drop_heartbeats(self) -> None:
        """Drop the heartbeats of some workers."""
        await self._set_on_workers("loses_heartbeats", 1.0, 14.0)

    def kinds(self) -> list[Callable[[], Any]]:
        """Return the faults to choose from; a fault that is listed twice is chosen twice as often."""
        return [
            self.crash, self.crash, self.crash, self.freeze_node, self.freeze_node, self.reject_requests,
            self.reject_requests, self.disconnect_from_store, self.block_watch, self.partition_two_nodes,
            self.partition_two_nodes, self.partition_node, self.partition_zone, self.partition_zone,
            self.renew_late_by_delegate, self.renew_late_by_delegate, self.renew_late_by_delegate,
            self.block_heartbeats_to_node, self.store_outage, self.slow_store, self.lose_write_responses,
            self.lose_write_responses, self.delay_reads, self.duplicate_heartbeats, self.hang_workers,
            self.drop_responses, self.drop_heartbeats,
        ]  # fmt: skip

    # -- one history -------------------------------------------------------------------------------

    async def play(self, simulation: Simulation) -> None:
        """Run the history: submit jobs, inject overlapping faults, and wait for a quiet period after them."""
        job_ids = [
            simulation.define_job(n, run_s=self.span(15.0, 120.0), pieces=self.random.choice([1, 2, 4]),
                      shape=self.random.choice(["batch", "batch", "ensemble"]))
            for n in range(1, JOBS + 1)
        ]  # fmt: skip
        for job_id in job_ids:
            await simulation.submit_until_accepted(job_id)
        await asyncio.sleep(self.span(1.0, 6.0))
        faults = [
            simulation.run_in_background(self._begin(self.random.choice(self.kinds())))
            for _ in range(self.random.randint(3, 7))
        ]
        await asyncio.gather(*faults)
        await asyncio.sleep(QUIET_PERIOD_S)
        check_known_keys(simulation)
        await check_new_job_runs(simulation, JOBS + 1)

    async def _begin(self, fault: Callable[[], Any]) -> None:
        """Inject a fault at a random time of the fault window."""
        await asyncio.sleep(self.span(0.0, FAULT_WINDOW_S))
        await fault()


def run_history(
    kind: type[History], invariants: type[Invariants], seed: int, quiet: bool, **simulation: Any
) -> tuple[int, list[str], list[str]]:
    """Run the history of a seed; return the seed, the violations and the log of the faults."""
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
            found.extend(simulation.violations)
            log.extend(history.log)
            simulation.violations.clear()

    play(scenario, **simulation)
    return seed, found, log


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Run the fault history of a seed; return the seed, the violations and the log of the faults."""
    return run_history(History, Invariants, seed, quiet, machines=MACHINES)


def play_range(run_seed: Callable[[int], tuple[int, list[str], list[str]]], first: int, last: int) -> int:
    """Run a range of seeds on all cores and print the violations; return the exit status."""
    failed = 0
    with ProcessPoolExecutor() as pool:
        for seed, found, log in pool.map(run_seed, range(first, last), chunksize=4):
            if found:
                failed += 1
                print(f"seed {seed}", *found, *log, sep="\n    ", flush=True)
    print(f"{failed} of {last - first} histories broke an invariant or a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
