"""Random histories of leaders that end while the key-value store answers slowly, with checks of the next leader.

A history is generated from a seed. A few long jobs run; then the leader ends several times, by a crash, by a freeze or
by a partition, while full reads take up to half a second, as PROTOCOL allows. Workers that lose their leader come to
followers, whose delegations begin and end around the election. Drains are written and deleted meanwhile. After each
failover these are checked, besides the rules and invariants of `histories.py`:

- each node knows exactly the stored keys that can be deleted, with their versions;
- the leader stores decisions: a new job runs, beside machines that are free.

`python tests/failover_histories.py FIRST LAST` runs the seeds from FIRST up to, but not including, LAST on all cores.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.drain_simulation import operations
from harness.recovery import check_known_keys, check_new_job_runs
from harness.simulation import Simulation
from histories import History, Invariants, play_range, run_history

from hookwall.storage import keys

MACHINES = 8
LONG_JOBS = 4
FAILOVERS = 3
SETTLING_S = 8.0  # for the watches to deliver, delegations to end, and every node to be up
FULL_READ_PATH = "/store?"
GOLDEN_DRAIN = json.loads((Path(__file__).parent / "golden" / "drains_1.json").read_text(encoding="utf-8"))["drain"]


class FailoverHistory(History):
    """A history in which leaders end while full reads are slow."""

    async def play(self, simulation: Simulation) -> None:
        for number in range(1, LONG_JOBS + 1):
            job_id = simulation.define_job(number, run_s=600.0, pieces=self.random.choice([1, 2]))
            await simulation.submit_until_accepted(job_id)
            await simulation.wait_until_running(job_id)
        simulation.store.read_delay_s = self._read_delay_s
        for number in range(1, FAILOVERS + 1):
            changes = simulation.run_in_background(self._change_drains())
            await self.random.choice([self._crash_leader, self._crash_leader, self._freeze_leader, self._cut_leader])()
            await changes
            await asyncio.sleep(SETTLING_S)
            check_known_keys(simulation)
            await check_new_job_runs(simulation, LONG_JOBS + number)

    def _read_delay_s(self, node: str, path: str) -> float:
        """The additional latency of a full read; other reads are fast."""
        return self.span(0.2, 0.5) if path.startswith(FULL_READ_PATH) else 0.0

    # -- ends of a leader, each until every node is up again -------------------------------------------

    async def _crash_leader(self) -> None:
        name = self.simulation.current_leader_name()
        self.note(f"leader {name} is killed")
        self.simulation.crash(name)
        await asyncio.sleep(self.span(3.0, 6.0))
        self.restart(name)
        await self.simulation.wait_for_leader()

    async def _freeze_leader(self) -> None:
        name = self.simulation.current_leader_name()
        self.note(f"leader {name} is frozen")
        self.simulation.freeze(name)
        await asyncio.sleep(self.span(5.0, 9.0))
        self.simulation.thaw(name)
        await self.simulation.wait_for_leader()

    async def _cut_leader(self) -> None:
        name = self.simulation.current_leader_name()
        self.note(f"leader {name} is cut off from the other nodes")
        links = self.simulation.node_pairs_of(name)
        self.simulation.partitions |= links
        await asyncio.sleep(self.span(5.0, 9.0))
        self.simulation.partitions -= links
        await self.simulation.wait_for_leader()

    async def _change_drains(self) -> None:
        """Write and delete drains that have ended, as operators do, at random times around the failover."""
        store = self.simulation.store
        for number in range(self.random.randint(2, 6)):
            await asyncio.sleep(self.span(0.2, 2.0))
            key = f"{keys.DRAIN_PREFIX}ended-{self.random.randint(1, 2)}"
            if key in store.keys:
                store.delete_key(key)
            else:
                store.put_key(key, {**GOLDEN_DRAIN, "phase": "finished", "total": 3 + number})


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Run the history of a seed; return the seed, the violations and the log of the faults."""
    return run_history(FailoverHistory, Invariants, seed, quiet, machines=MACHINES, operations=operations())


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
