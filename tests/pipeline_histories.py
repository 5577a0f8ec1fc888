"""Random histories of dependent jobs, rolling upgrades and lowered limits, with overlapping troubles.

A history is drawn from a seed: whether the nodes begin with the current program or with an older format, when each is
replaced, when the state service lowers its limits, graphs of dependent jobs that are submitted and cancelled at any
node, and troubles of `histories.py`. Users ask about random jobs at random nodes all the time, and each answer is
checked by the simulation (`too_early`, `orphaned`, `went_back`, `forgotten`), as are the invariants of `histories.py`.
At the end every accepted job has to be over at every node, and as its needs say.

`python tests/pipeline_histories.py FIRST LAST` plays the seeds of a range on all cores.
"""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.simulation import Simulation
from histories import History, Invariants, broken_in, play_range

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage.storage_version import StorageVersion

MACHINES = 8
FORMATS = [0, 0, 1, 2, 2]  # that the nodes begin with; 0: the current program
SMALL_STATE = StoreLimits(
    rps=150.0,
    write_rps=30.0,
    value_kb=16.0,
    txn_ops=12,
    next=UpcomingStoreLimits(write_rps=21.0, value_kb=1.0, txn_ops=4),
)
TRAFFIC_S = 45.0
QUIET_S = 20.0  # after the last trouble
ENDS_WITHIN_S = 240.0


def drawn_format(seed: int) -> int:
    """The format that the nodes begin with."""
    return FORMATS[seed % len(FORMATS)]


class PipelineHistory(History):
    """Troubles, an upgrade and pipelines drawn from one seed."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.old = drawn_format(seed)
        self.current: set[str] = set() if self.old else set(simulation.names)
        self.job_ids: list[str] = []

    # -- nodes that may run an older program -----------------------------------------------------------

    def restart(self, name: str) -> None:
        """A process that ended comes back with the program that its node had."""
        if name not in self.simulation.nodes:
            self.simulation.start(name, 0 if name in self.current else self.old)

    async def upgrade(self) -> None:
        """Replace the programs, one or two at a time in any order."""
        order = self.random.sample(self.simulation.names, len(self.simulation.names))
        while order:
            some = [order.pop() for _ in range(min(len(order), self.random.choice([1, 1, 2])))]
            await asyncio.sleep(self.span(0.5, 9.0))
            self.note(f"{some} are replaced")
            for name in some:
                self.current.add(name)
                if name in self.simulation.nodes:
                    self.simulation.crash(name)
            await asyncio.sleep(self.span(0.1, 4.0))
            for name in some:
                self.restart(name)

    async def lower(self) -> None:
        """The state service lowers its limits, at some moment after the upgrade."""
        while len(self.current) < len(self.simulation.names):
            await asyncio.sleep(0.5)
        await asyncio.sleep(self.span(0.0, 30.0))
        self.note("limits are lowered")
        self.simulation.service.lower_limits()

    async def watch_stands_long(self) -> None:
        """For longer than a cancellation has."""
        await self._member(self.simulation.service.watch_blocked, self.node(), "its watch is not answered", 38.0, 70.0)

    def kinds(self) -> list[Callable[[], Any]]:
        return [*super().kinds(), self.watch_stands_long, self.watch_stands_long, self.watch_stands_long]

    # -- users -------------------------------------------------------------------------------------------

    def any_node(self) -> str | None:
        """A random node that is up."""
        return self.random.choice(list(self.simulation.nodes)) if self.simulation.nodes else None

    async def submit(self, job_id: str) -> None:
        """A user tries again, at any node, until one accepts."""
        while not self.simulation.jobs[job_id].accepted:
            node = self.any_node()
            if node is not None:
                await self.simulation.submit(node, job_id)
            await asyncio.sleep(self.span(0.1, 1.5))

    async def cancel(self, job_id: str) -> None:
        """A user cancels a job, at any node, until its end is confirmed."""
        self.note(f"{job_id} is cancelled")
        while self.simulation.jobs[job_id].final is None:
            node = self.any_node()
            if node is not None:
                await self.simulation.cancel(node, job_id)
            await asyncio.sleep(self.span(0.1, 1.5))

    async def pipeline(self, first: int) -> None:
        """Jobs that need some of those before them, submitted one after the other; some are cancelled."""
        while not all(name in self.current for name in self.simulation.names):
            await asyncio.sleep(0.5)  # nothing new is asked before all nodes are new
        await asyncio.sleep(self.random.choice([0.0, self.span(0.0, 60.0)]))
        job_ids: list[str] = []
        for n in range(first, first + self.random.randint(2, 6)):
            needs = self.random.sample(job_ids, min(len(job_ids), self.random.choice([0, 1, 1, 2, 3])))
            pieces = self.random.choice([1, 1, 2, 30])
            job_id = self.simulation.job(
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
                self.simulation.go(self.cancel(victim))
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.choice([self.span(0.0, 15.0), self.span(30.0, 50.0)]))

    async def plain_jobs(self, first: int) -> None:
        """Jobs that need no others, also while older programs serve."""
        for n in range(first, first + 6):
            job_id = self.simulation.job(n, run_s=self.span(2.0, 25.0), pieces=self.random.choice([1, 2]))
            self.job_ids.append(job_id)
            await self.submit(job_id)
            if self.random.random() < 0.2:
                self.simulation.go(self.cancel(job_id))
            await asyncio.sleep(self.span(0.0, 8.0))

    async def poll_at_random(self) -> None:
        """Users ask about random jobs at random nodes; the simulation checks each answer."""
        while True:
            await asyncio.sleep(0.4)
            node = self.any_node()
            if node is not None and self.job_ids:
                self.simulation.go(self.simulation.poll(node, self.random.choice(self.job_ids)))

    async def late_dependents(self) -> None:
        """Jobs that name others that were accepted at any time and may be in any state."""
        for n in range(5000, 5040):
            await asyncio.sleep(self.span(1.0, 3.0))
            accepted = [job_id for job_id in self.job_ids if self.simulation.jobs[job_id].accepted]
            if len(self.current) < len(self.simulation.names) or not accepted:
                continue
            job_id = self.simulation.job(n, run_s=2.0, awaits=[self.random.choice(accepted)])
            self.job_ids.append(job_id)
            await self.submit(job_id)

    # -- one history -------------------------------------------------------------------------------------

    async def play(self, simulation: Simulation) -> None:
        simulation.cloud.room = 200  # machines are returned when nothing needs them for long
        asking = simulation.go(self.poll_at_random())
        users = [simulation.go(self.plain_jobs(1)), *(simulation.go(self.pipeline(100 * k)) for k in range(1, 4))]
        users.append(simulation.go(self.late_dependents()))
        under_way = [simulation.go(self.lower())]
        if self.old:
            under_way.append(simulation.go(self.upgrade()))
        troubles = [
            simulation.go(self._begin(self.random.choice(self.kinds()))) for _ in range(self.random.randint(2, 5))
        ]
        await asyncio.gather(*troubles, *under_way)
        await asyncio.sleep(QUIET_S)
        await asyncio.gather(*users)
        asking.cancel()
        await self._all_end(simulation)
        for node in simulation.nodes.values():
            if not node.storage_version.supported_by_all(StorageVersion.NUMBERED_MACHINES):
                simulation.broken.append("a node does not know that all are new")

    async def _begin(self, trouble: Callable[[], Any]) -> None:
        await asyncio.sleep(self.span(0.0, TRAFFIC_S))
        await trouble()

    async def _all_end(self, simulation: Simulation) -> None:
        """Every accepted job is over at every node: cancelled exactly if it or a need was, and not done before."""
        end = simulation.now() + ENDS_WITHIN_S
        left = {(node, job_id) for node in simulation.names for job_id in self.job_ids}
        while left and simulation.now() < end:
            for node, job_id in sorted(left):
                if (await simulation.poll(node, job_id))[1] in ("done", "withdrawn"):
                    left.discard((node, job_id))
            await asyncio.sleep(1.0)
        simulation.broken.extend(f"forgotten: {job_id} is not over at {node}" for node, job_id in sorted(left))
        for job_id in self.job_ids:
            needs = [simulation.jobs[need].final for need in simulation.jobs[job_id].needs()]
            if simulation.jobs[job_id].final == "done" and any(final != "done" for final in needs):
                simulation.broken.append(f"too_early: {job_id} is done, its needs are {needs}")
            if simulation.jobs[job_id].final != "withdrawn" and "withdrawn" in needs:
                simulation.broken.append(f"orphaned: {job_id} is {simulation.jobs[job_id].final}")


def broken_by(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Play the history of a seed: what it broke, and its troubles."""
    old = drawn_format(seed)
    return broken_in(PipelineHistory, Invariants, seed, quiet, machines=MACHINES, old=old, state=SMALL_STATE)


if __name__ == "__main__":
    sys.exit(play_range(broken_by, int(sys.argv[1]), int(sys.argv[2])))
