"""Random histories of dependent jobs, rolling upgrades and lowered store limits, with overlapping faults.

A history is generated from a seed: whether the nodes start with the current program or with an older storage format,
when each node is upgraded, when the key-value store lowers its limits, graphs of dependent jobs that users submit and
cancel at any node, and the faults of `histories.py`. Users poll random jobs at random nodes all the time. The
simulation checks each response (rules `too_early`, `orphaned`, `went_back`, `forgotten`) and the invariants of
`histories.py`. At the end every node must report every accepted job as ended, in the phase that follows from its
dependencies.

`python tests/pipeline_histories.py FIRST LAST` runs the seeds from FIRST up to, but not including, LAST on all cores.
"""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.simulation import Simulation
from histories import History, Invariants, play_range, run_history

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage.storage_version import StorageVersion

MACHINES = 8
INITIAL_FORMATS = [0, 0, 1, 2, 2]  # storage formats of the programs at the start; 0: the current program
STORE_LIMITS = StoreLimits(
    rps=150.0,
    write_rps=30.0,
    value_kb=16.0,
    txn_ops=12,
    next=UpcomingStoreLimits(write_rps=21.0, value_kb=1.0, txn_ops=4),
)
FAULT_WINDOW_S = 45.0  # all faults begin within this time
QUIET_PERIOD_S = 20.0  # after the last fault
ALL_ENDED_TIMEOUT_S = 240.0


def initial_format(seed: int) -> int:
    """Return the storage format of the programs that the nodes start with; 0 is the current program."""
    return INITIAL_FORMATS[seed % len(INITIAL_FORMATS)]


class PipelineHistory(History):
    """Faults, an upgrade and pipelines that are generated from one seed."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.initial_format = initial_format(seed)
        self.upgraded_nodes: set[str] = set() if self.initial_format else set(simulation.names)
        self.job_ids: list[str] = []

    # -- nodes that may run an older program -----------------------------------------------------------

    def restart(self, name: str) -> None:
        """Start a node's process again, with the program that the node has, if it is not running."""
        if name not in self.simulation.nodes:
            self.simulation.start(name, 0 if name in self.upgraded_nodes else self.initial_format)

    async def upgrade(self) -> None:
        """Upgrade the nodes, one or two at a time, in random order."""
        order = self.random.sample(self.simulation.names, len(self.simulation.names))
        while order:
            some = [order.pop() for _ in range(min(len(order), self.random.choice([1, 1, 2])))]
            await asyncio.sleep(self.span(0.5, 9.0))
            self.note(f"{some} are upgraded")
            for name in some:
                self.upgraded_nodes.add(name)
                if name in self.simulation.nodes:
                    self.simulation.crash(name)
            await asyncio.sleep(self.span(0.1, 4.0))
            for name in some:
                self.restart(name)

    async def lower_limits(self) -> None:
        """Let the key-value store lower its limits at a random time after the upgrade."""
        while len(self.upgraded_nodes) < len(self.simulation.names):
            await asyncio.sleep(0.5)
        await asyncio.sleep(self.span(0.0, 30.0))
        self.note("key-value store limits lowered")
        self.simulation.store.lower_limits()

    async def block_watch_long(self) -> None:
        """Block the watch of one node for longer than a cancellation may take (`cancel_s`)."""
        await self._add_temporarily(
            self.simulation.store.watch_blocked, self.random_node(), "watch blocked", 38.0, 70.0
        )

    def kinds(self) -> list[Callable[[], Any]]:
        return [*super().kinds(), self.block_watch_long, self.block_watch_long, self.block_watch_long]

    # -- users -------------------------------------------------------------------------------------------

    def random_running_node(self) -> str | None:
        """Return the name of a random node that is up; None if no node is."""
        return self.random.choice(list(self.simulation.nodes)) if self.simulation.nodes else None

    async def submit(self, job_id: str) -> None:
        """Submit a job as a user does: at random nodes until one accepts it."""
        while not self.simulation.jobs[job_id].accepted:
            node = self.random_running_node()
            if node is not None:
                await self.simulation.submit(node, job_id)
            await asyncio.sleep(self.span(0.1, 1.5))

    async def cancel(self, job_id: str) -> None:
        """Cancel a job as a user does: at random nodes until a response confirms that the job has ended."""
        self.note(f"{job_id} is cancelled")
        while self.simulation.jobs[job_id].final is None:
            node = self.random_running_node()
            if node is not None:
                await self.simulation.cancel(node, job_id)
            await asyncio.sleep(self.span(0.1, 1.5))

    async def pipeline(self, first: int) -> None:
        """Submit jobs one after the other, each with some of the previous ones as dependencies; cancel some."""
        while not all(name in self.upgraded_nodes for name in self.simulation.names):
            await asyncio.sleep(0.5)  # users use new features only after all nodes are upgraded
        await asyncio.sleep(self.random.choice([0.0, self.span(0.0, 60.0)]))
        job_ids: list[str] = []
        for n in range(first, first + self.random.randint(2, 6)):
            needs = self.random.sample(job_ids, min(len(job_ids), self.random.choice([0, 1, 1, 2, 3])))
            pieces = self.random.choice([1, 1, 2, 30])
            job_id = self.simulation.define_job(
                n, run_s=self.span(1.0, 12.0), awaits=needs or None, pieces=pieces,
                cards=0.0 if pieces > 2 else 1.0, cores=1.0, memGb=1.0, rank=self.random.choice(["low", "urgent"]),
                hulls=["g4", *(f"type-{k * 7919 ** 3}" for k in range(60))] if self.random.random() < 0.2 else None,
            )  # fmt: skip
            job_ids.append(job_id)
            self.job_ids.append(job_id)
            await self.submit(job_id)
            if self.random.random() < 0.2:
                await asyncio.sleep(self.span(0.0, 3.0))
                victim = self.random.choice(job_ids)
                self.simulation.run_in_background(self.cancel(victim))
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.choice([self.span(0.0, 15.0), self.span(30.0, 50.0)]))

    async def plain_jobs(self, first: int) -> None:
        """Submit jobs without dependencies, also while nodes with older programs are up."""
        for n in range(first, first + 6):
            job_id = self.simulation.define_job(n, run_s=self.span(2.0, 25.0), pieces=self.random.choice([1, 2]))
            self.job_ids.append(job_id)
            await self.submit(job_id)
            if self.random.random() < 0.2:
                self.simulation.run_in_background(self.cancel(job_id))
            await asyncio.sleep(self.span(0.0, 8.0))

    async def poll_at_random(self) -> None:
        """Poll random jobs at random nodes; the simulation checks each response."""
        while True:
            await asyncio.sleep(0.4)
            node = self.random_running_node()
            if node is not None and self.job_ids:
                self.simulation.run_in_background(self.simulation.poll(node, self.random.choice(self.job_ids)))

    async def late_dependents(self) -> None:
        """Submit jobs that depend on jobs accepted at any earlier time, which may be in any state."""
        for n in range(5000, 5040):
            await asyncio.sleep(self.span(1.0, 3.0))
            accepted = [job_id for job_id in self.job_ids if self.simulation.jobs[job_id].accepted]
            if len(self.upgraded_nodes) < len(self.simulation.names) or not accepted:
                continue
            job_id = self.simulation.define_job(n, run_s=2.0, awaits=[self.random.choice(accepted)])
            self.job_ids.append(job_id)
            await self.submit(job_id)

    # -- one history -------------------------------------------------------------------------------------

    async def play(self, simulation: Simulation) -> None:
        """Run the history: users, faults, an upgrade and lowered limits, then check that all jobs end."""
        simulation.cloud.available_machines = 200  # replaces machines that are deleted after a long idle time
        polling = simulation.run_in_background(self.poll_at_random())
        users = [
            simulation.run_in_background(self.plain_jobs(1)),
            *(simulation.run_in_background(self.pipeline(100 * k)) for k in range(1, 4)),
        ]
        users.append(simulation.run_in_background(self.late_dependents()))
        maintenance = [simulation.run_in_background(self.lower_limits())]
        if self.initial_format:
            maintenance.append(simulation.run_in_background(self.upgrade()))
        faults = [
            simulation.run_in_background(self._begin(self.random.choice(self.kinds())))
            for _ in range(self.random.randint(2, 5))
        ]
        await asyncio.gather(*faults, *maintenance)
        await asyncio.sleep(QUIET_PERIOD_S)
        await asyncio.gather(*users)
        polling.cancel()
        await self._check_all_end(simulation)
        for node in simulation.nodes.values():
            if not node.storage_version.supported_by_all(StorageVersion.NUMBERED_MACHINES):
                simulation.violations.append("a node does not know that all nodes are upgraded")

    async def _begin(self, fault: Callable[[], Any]) -> None:
        """Inject a fault at a random time of the fault window."""
        await asyncio.sleep(self.span(0.0, FAULT_WINDOW_S))
        await fault()

    async def _check_all_end(self, simulation: Simulation) -> None:
        """Wait until every node reports all jobs as ended, and check their final phases.

        A job must be cancelled exactly if a user has cancelled it or one of its dependencies before it was done.
        """
        end = simulation.now() + ALL_ENDED_TIMEOUT_S
        remaining = {(node, job_id) for node in simulation.names for job_id in self.job_ids}
        while remaining and simulation.now() < end:
            for node, job_id in sorted(remaining):
                if (await simulation.poll(node, job_id))[1] in ("done", "withdrawn"):
                    remaining.discard((node, job_id))
            await asyncio.sleep(1.0)
        simulation.violations.extend(
            f"forgotten: {job_id} has not ended at {node}" for node, job_id in sorted(remaining)
        )
        for job_id in self.job_ids:
            needs = [simulation.jobs[need].final for need in simulation.jobs[job_id].needs()]
            if simulation.jobs[job_id].final == "done" and any(final != "done" for final in needs):
                simulation.violations.append(f"too_early: {job_id} is done, its dependencies are {needs}")
            if simulation.jobs[job_id].final != "withdrawn" and "withdrawn" in needs:
                simulation.violations.append(f"orphaned: {job_id} is {simulation.jobs[job_id].final}")


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Run the history of a seed; return the seed, the violations and the log of the faults."""
    old = initial_format(seed)
    return run_history(PipelineHistory, Invariants, seed, quiet, machines=MACHINES, old=old, state=STORE_LIMITS)


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
