"""Random histories of drains, arrivals and overlapping troubles, checked against what workers show.

A history is drawn from a seed: jobs of two teams, one or two drains with random terms, some aborted and resumed, and
the troubles of `histories.py`. Checked: the rules and invariants there; that drains alone never disrupt more jobs of a
team than its budget; and that each drain ends soon after the troubles, or says why it waits.

`python tests/drain_histories.py FIRST LAST` plays the seeds of a range on all cores.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.drain_simulation import TEAMS, BudgetOracle, Operator, cordoned, operations
from harness.simulation import Simulation
from histories import History, Invariants, broken_in, play_range

from hookwall.drains.command import ExitCode
from hookwall.drains.records import DrainPhase

BUDGETS = {"red": 1, "blue": 2}
MACHINES = 8
CLOUD_ROOM = 30
ENDS_S = 260.0  # after the last trouble; jobs run for up to 120 s


class BudgetInvariants(Invariants):
    """The invariants of `histories.py`, and budgets."""

    def watch(self) -> None:
        super().watch()
        BudgetOracle(self.simulation, BUDGETS, of_drains_only=True).watch()


class DrainHistory(History):
    """Drains among troubles."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        super().__init__(simulation, seed)
        self.operator = Operator(simulation)

    async def play(self, simulation: Simulation) -> None:
        simulation.cloud.room = CLOUD_ROOM
        for n in range(1, self.random.randint(5, 9)):
            simulation.go(self._submit_job(n))
        await asyncio.sleep(25.0)
        names = [f"drain-{n}" for n in range(self.random.randint(1, 2))]
        drains = [simulation.go(self._run_drain(name)) for name in names]
        troubles = [
            simulation.go(self._begin(self.random.choice(self.kinds()))) for _ in range(self.random.randint(0, 4))
        ]
        await asyncio.gather(*drains, *troubles)
        await self._check_ends(names)

    async def _submit_job(self, number: int) -> None:
        """A job is submitted at some time."""
        await asyncio.sleep(self.span(0.0, 60.0) if number > 4 else 0.0)
        whole = self.random.random() < 0.5
        ref = self.simulation.job(
            number, run_s=self.span(30.0, 120.0), owner=self.random.choice(["red", "blue"]),
            pieces=self.random.choice([1, 2, 3]), shape=self.random.choice(["batch", "batch", "ensemble"]),
            cards=4.0 if whole else 1.0,
        )  # fmt: skip
        await self.simulation.accepted(ref, within_s=200.0)

    async def _repeat_until_answered(self, *words: str) -> None:
        """The operator repeats a call until it is answered."""
        self.note(f"drain {' '.join(words)}")
        for _ in range(60):
            code, _ = await self.operator(*words)
            if code not in (ExitCode.CONFLICT, ExitCode.UNAVAILABLE):
                return
            await asyncio.sleep(2.0)

    async def _run_drain(self, name: str) -> None:
        """One drain with random terms; some are aborted after a while and resumed."""
        await asyncio.sleep(self.span(0.0, 10.0))
        which = self.random.choice([["--zone", "east"], ["--zone", "west"], ["--share", "0.5"], ["--share", "1"]])
        batch = str(self.random.randint(1, 4))
        finish = str(self.random.choice([0, 0, 10]))
        await self._repeat_until_answered("start", name, *which, "--batch", batch, "--finish", finish)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.span(1.0, 20.0))
            await self._repeat_until_answered("abort", name)
            await asyncio.sleep(self.span(0.0, 10.0))
            await self._repeat_until_answered("resume", name)

    async def _check_ends(self, names: list[str]) -> None:
        """Each drain ends; nothing stays cordoned for one that has."""
        until = self.simulation.now() + ENDS_S
        active = list(names)
        while active and self.simulation.now() < until:
            await asyncio.sleep(1.0)
            active = [name for name in names if self.operator.record(name).is_active()]
        for name in active:
            self.simulation.broken.append(f"endless: {self.operator.record(name)}")
        if not active and cordoned(self.simulation):
            self.simulation.broken.append(f"left: {cordoned(self.simulation)} cordoned")
        if any(self.operator.record(name).phase is not DrainPhase.FINISHED for name in names):
            self.simulation.broken.append("unfinished: a drain was not resumed")


def broken_by(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Play a history of drains."""
    return broken_in(
        DrainHistory, BudgetInvariants, seed, quiet, machines=MACHINES, teams=TEAMS, operations=operations(**BUDGETS)
    )


if __name__ == "__main__":
    sys.exit(play_range(broken_by, int(sys.argv[1]), int(sys.argv[2])))
