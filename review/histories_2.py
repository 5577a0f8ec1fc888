# ruff: noqa: E402
"""Seeded histories with teams' limits, ranks, zones and cancellations, on the fake clock of the project's own tests.

As `tests/histories.py`, but its jobs have teams with limits, ranks, `samePlace`, `spread` and `yard`, and some are
cancelled. `PYTHONPATH=target/deps:tests:. python3 review/histories_2.py FIRST LAST` plays the seeds from FIRST up to,
but not including, LAST on all cores. It is no case and no part of the test run; REPORT-2.md says what it found.
"""

import asyncio
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT)]

from harness.rules import JobState, RuleChecker
from harness.simulation import Simulation
from harness.worker import FakeWorker
from histories import History, Invariants, play_range, run_history

from hookwall.config.platform import TeamQuota

TEAMS = [TeamQuota("red", gpus=4.0, gpus_max=8.0), TeamQuota("blue", gpus=4.0, gpus_max=6.0), TeamQuota("grey")]
MACHINES = 6
JOBS = 12
QUIET_S = 45.0

_check_start = RuleChecker.check_start


def check_start(self: RuleChecker, worker: FakeWorker, task_id: str, job: JobState, now: float) -> None:
    """Check the rules of the project's own checker, and `spread`."""
    _check_start(self, worker, task_id, job, now)
    if not job.spec["spread"]:
        return
    job_id = task_id.rpartition("/")[0]
    in_zone = sum(
        name.rpartition("/")[0] == job_id and task.occupies_machine() and name != task_id
        for other in self.simulation.workers.values()
        if other.zone == worker.zone and self.may_still_run(other, now)
        for name, task in other.tasks.items()
    )
    if in_zone + 1 > (job.spec["pieces"] + 1) // 2:
        self.simulation.violations.append(f"wrong_place: {task_id} is one too many in {worker.zone}")


class MixedHistory(History):
    """Jobs of all kinds with overlapping faults."""

    async def play(self, simulation: Simulation) -> None:
        """Submit jobs, cause the faults, and wait for a quiet time after them."""
        simulation.cloud.available_machines = MACHINES
        for number in range(1, JOBS + 1):
            simulation.run_in_background(self._submit(number))
        await asyncio.sleep(self.span(3.0, 10.0))
        kinds = self.kinds()
        faults = [
            simulation.run_in_background(self._begin(self.random.choice(kinds)))
            for _ in range(self.random.randint(3, 7))
        ]
        await asyncio.gather(*faults)
        await asyncio.sleep(QUIET_S)

    async def _submit(self, number: int) -> None:
        random, simulation = self.random, self.simulation
        await asyncio.sleep(0.0 if number < 6 else self.span(0.0, 40.0))
        shape = random.choice(["batch", "batch", "ensemble"])
        pieces, cards = random.choice([1, 2, 3, 4, 6]), random.choice([1.0, 1.0, 2.0, 4.0])
        owner = random.choice(["red", "blue", "grey"])
        if shape == "ensemble" and owner != "grey":
            while pieces * cards > 6 and pieces > 1:
                pieces -= 1
            cards = min(cards, 6 / pieces)
        same_place = random.random() < 0.3
        ref = simulation.define_job(
            number, run_s=self.span(8.0, 70.0), owner=owner, pieces=pieces, shape=shape, cards=cards,
            cores=cards * 2, rank=random.choice(["urgent", "standard", "low"]), samePlace=same_place,
            spread=random.random() < 0.25 and not same_place, yard=random.choice([None, None, None, "east"]),
            pinEveryS=random.choice([0.0, 10.0]),
        )  # fmt: skip
        simulation.jobs[ref].save_s = 1.0
        await simulation.submit_until_accepted(ref, within_s=200.0)
        if random.random() < 0.2:
            await asyncio.sleep(self.span(1.0, 30.0))
            for _ in range(60):
                if (
                    simulation.nodes
                    and (await simulation.cancel(random.choice(sorted(simulation.nodes)), ref))[0] == 200
                ):
                    return
                await asyncio.sleep(1.5)


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Play the history of a seed; return the seed, the violations and the log of the faults."""
    RuleChecker.check_start = check_start  # type: ignore[method-assign]
    return run_history(MixedHistory, Invariants, seed, quiet, machines=MACHINES, teams=TEAMS)


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
