"""Random histories of drains, job arrivals and overlapping faults, checked against the state of the workers.

A history is generated from a seed. It has jobs of two teams, one or two drains with random terms, some of them aborted
and resumed, and the faults of `histories.py`. The checks are the rules and invariants of `histories.py`, that drains
alone never disrupt more jobs of a team than its budget, that each drain ends soon after the faults, and that each node
then knows exactly the stored keys that can be deleted. The record of a drain that does not end is reported, with its
reason to wait.

`python tests/drain_histories.py FIRST LAST` plays a range of seeds on all cores.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.drain_simulation import TEAMS, BudgetOracle, Operator, cordoned, operations
from harness.recovery import check_known_keys
from harness.simulation import Simulation
from histories import History, Invariants, play_range, run_history

from hookwall.drains.command import ExitCode
from hookwall.drains.records import DrainPhase

BUDGETS = {"red": 1, "blue": 2}
MACHINES = 8
AVAILABLE_MACHINES = 30
SETTLING_S = 8.0  # for the watches to deliver the last changes
END_TIMEOUT_S = 260.0  # for drains to end after the last fault; jobs run for up to 120 s


class BudgetInvariants(Invariants):
    """The invariants of `histories.py`, and the disruption budgets."""

    def watch(self) -> None:
        super().watch()
        BudgetOracle(self.simulation, BUDGETS, count_drains_only=True).watch()


class DrainHistory(History):
    """A history with drains and faults."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.operator = Operator(simulation)

    async def play(self, simulation: Simulation) -> None:
        simulation.cloud.available_machines = AVAILABLE_MACHINES
        for n in range(1, self.random.randint(5, 9)):
            simulation.run_in_background(self._submit_job(n))
        await asyncio.sleep(25.0)
        names = [f"drain-{n}" for n in range(self.random.randint(1, 2))]
        drains = [simulation.run_in_background(self._run_drain(name)) for name in names]
        faults = [
            simulation.run_in_background(self._begin(self.random.choice(self.kinds())))
            for _ in range(self.random.randint(0, 4))
        ]
        await asyncio.gather(*drains, *faults)
        await self._check_drains_end(names)
        await asyncio.sleep(SETTLING_S)
        check_known_keys(simulation)

    async def _submit_job(self, number: int) -> None:
        """Submit a random job at a random time."""
        await asyncio.sleep(self.span(0.0, 60.0) if number > 4 else 0.0)
        whole = self.random.random() < 0.5
        ref = self.simulation.define_job(
            number, run_s=self.span(30.0, 120.0), owner=self.random.choice(["red", "blue"]),
            pieces=self.random.choice([1, 2, 3]), shape=self.random.choice(["batch", "batch", "ensemble"]),
            cards=4.0 if whole else 1.0,
        )  # fmt: skip
        await self.simulation.submit_until_accepted(ref, within_s=200.0)

    async def _repeat_until_answered(self, *arguments: str) -> None:
        """Repeat a command until it is neither in conflict nor unavailable."""
        self.note(f"drain {' '.join(arguments)}")
        for _ in range(60):
            code, _ = await self.operator(*arguments)
            if code not in (ExitCode.CONFLICT, ExitCode.UNAVAILABLE):
                return
            await asyncio.sleep(2.0)

    async def _run_drain(self, name: str) -> None:
        """Run a drain with random terms. Some drains are aborted after some time and resumed."""
        await asyncio.sleep(self.span(0.0, 10.0))
        selection = self.random.choice([["--zone", "east"], ["--zone", "west"], ["--share", "0.5"], ["--share", "1"]])
        batch = str(self.random.randint(1, 4))
        finish = str(self.random.choice([0, 0, 10]))
        await self._repeat_until_answered("start", name, *selection, "--batch", batch, "--finish", finish)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.span(1.0, 20.0))
            await self._repeat_until_answered("abort", name)
            await asyncio.sleep(self.span(0.0, 10.0))
            await self._repeat_until_answered("resume", name)

    async def _check_drains_end(self, names: list[str]) -> None:
        """Check that each drain ends, and that no machine remains cordoned afterwards."""
        until = self.simulation.now() + END_TIMEOUT_S
        active = list(names)
        while active and self.simulation.now() < until:
            await asyncio.sleep(1.0)
            active = [name for name in names if self.operator.record(name).is_active()]
        for name in active:
            self.simulation.violations.append(f"endless: {self.operator.record(name)}")
        if not active and cordoned(self.simulation):
            self.simulation.violations.append(f"left: {cordoned(self.simulation)} cordoned")
        if any(self.operator.record(name).phase is not DrainPhase.FINISHED for name in names):
            self.simulation.violations.append("unfinished: a drain was not resumed")


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Play the history of a seed."""
    return run_history(
        DrainHistory, BudgetInvariants, seed, quiet, machines=MACHINES, teams=TEAMS, operations=operations(**BUDGETS)
    )


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
