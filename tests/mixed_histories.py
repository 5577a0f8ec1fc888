"""Random histories with late results of writes, copies of responses, images that take long to fetch, and odd amounts.

A history is generated from a seed. Besides the faults of `histories.py`, responses to writes arrive late but in time,
and copies of responses reach workers once more. Machines fetch images at different rates; some images take longer to
fetch than a gang's tasks wait for each other. Short jobs come all the time, some are cancelled, and one of the jobs has
an amount near 0. Besides the rules and invariants of `histories.py`, these are checked:

- a worker never launches an attempt of a task that it has launched before;
- at the end, without faults, each accepted job runs or has ended within 90 s.

`python tests/mixed_histories.py FIRST LAST` runs the seeds from FIRST up to, but not including, LAST on all cores.
"""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from harness.image_fetches import ImageFetches
from harness.recovery import LONGEST_WAIT_S
from harness.simulation import Simulation
from harness.worker import FakeWorker
from histories import FAULT_WINDOW_S, History, Invariants, play_range, run_history

from hookwall.config.platform import WorkerTimings

MACHINES = 8
LONG_JOBS = 3
SHORT_JOBS = 10
ODD_AMOUNTS = (5e-324, 6.9e-310, 1e-9)
WORKERS = WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=15.0, gang_peer_s=8.0, cancel_s=37.0)
LONGEST_FETCH_S = 12.0 / 0.3
SETTLING_S = 20.0  # after the last fault, for leases and workers


@dataclass
class LaunchOnce(Invariants):
    """Checks besides that no worker launches an attempt twice."""

    executed: set[tuple[str, str, int]] = field(default_factory=set)

    def check_launch(self, worker: FakeWorker, task_id: str, attempt: int) -> None:
        super().check_launch(worker, task_id, attempt)
        if (worker.name, task_id, attempt) in self.executed:
            self._report_violation("launched_again", f"{task_id} try {attempt} on {worker.name}")
        self.executed.add((worker.name, task_id, attempt))


class MixedHistory(History):
    """A history with the faults of the module's description."""

    def kinds(self) -> list[Callable[[], Any]]:
        """Return the faults to choose from; a fault that is listed twice is chosen twice as often."""
        return [*super().kinds(), *[self.delay_write_responses] * 5, *[self.copy_responses] * 5]

    async def delay_write_responses(self) -> None:
        """Delay the responses to some writes, by less than a node waits for them, and block watches meanwhile."""
        duration_s, share = self.span(4.0, 15.0), self.random.choice([0.2, 0.6])
        self.note(f"responses to {share:.0%} of writes delayed for {duration_s:.1f}")

        async def delay(node: str, _body: dict) -> None:
            if self.random.random() < share:
                self.simulation.store.watch_blocked.add(node)
                await asyncio.sleep(self.span(0.3, 1.4))
                self.simulation.store.watch_blocked.discard(node)
                await asyncio.sleep(0.06)

        async def no_delay(_node: str, _body: dict) -> None:
            return None

        self.simulation.store.after_commit = delay
        await asyncio.sleep(duration_s)
        self.simulation.store.after_commit = no_delay

    async def copy_responses(self) -> None:
        """Let copies of some responses reach their workers once more, also much later."""
        duration_s, longest_s = self.span(4.0, 20.0), self.random.choice([3.9, 20.0])
        self.note(f"copies of responses for {duration_s:.1f}, up to {longest_s} late")
        self.simulation.copy_delay_s = lambda worker: (
            self.span(0.0, longest_s) if self.random.random() < 0.6 else None
        )
        await asyncio.sleep(duration_s)
        self.simulation.copy_delay_s = lambda worker: None

    async def play(self, simulation: Simulation) -> None:
        """Run the history: long jobs first, short ones all the time, and the faults; then wait for what is left."""
        simulation.cloud.available_machines = MACHINES
        for worker in simulation.workers.values():
            worker.image_fetches = ImageFetches(self.span(0.3, 0.7))
        for number in range(1, LONG_JOBS + 1):
            await simulation.submit_until_accepted(self._define_long_job(simulation, number))
        short_jobs = simulation.run_in_background(self._submit_short_jobs(simulation))
        kinds = self.kinds()
        faults = [
            simulation.run_in_background(self._begin(self.random.choice(kinds)))
            for _ in range(self.random.randint(2, 5))
        ]
        await asyncio.gather(short_jobs, *faults)
        await asyncio.sleep(SETTLING_S)
        await self._check_jobs_run(simulation)

    def _define_long_job(self, simulation: Simulation, number: int) -> str:
        """Define a gang or array with a large or small image."""
        return simulation.define_job(
            number, run_s=self.span(30.0, 90.0), pieces=self.random.choice([1, 2]),
            cards=self.random.choice([1.0, 4.0]), shape=self.random.choice(["batch", "ensemble"]),
            bundle=f"img-{number}", sizeGb=self.random.choice([0.5, 6.0, 12.0]),
        )  # fmt: skip

    async def _submit_short_jobs(self, simulation: Simulation) -> None:
        """Submit short jobs, one of them with an odd amount, and cancel some of them."""
        odd = self.random.randint(1, SHORT_JOBS)
        for number in range(1, SHORT_JOBS + 1):
            changes: dict[str, Any] = {}
            if number == odd:
                changes = {self.random.choice(["cores", "cards", "memGb"]): self.random.choice(ODD_AMOUNTS)}
            job_id = simulation.define_job(
                LONG_JOBS + number,
                run_s=self.span(0.5, 6.0),
                pieces=self.random.choice([1, 2]),
                sizeGb=0.2,
                owner="red",
                **changes,
            )
            await simulation.submit_until_accepted(job_id, within_s=200.0)
            if self.random.random() < 0.3 and simulation.nodes:
                await asyncio.sleep(self.span(0.2, 4.0))
                if simulation.nodes:
                    await simulation.cancel(self.random.choice(sorted(simulation.nodes)), job_id)
            await asyncio.sleep(self.span(0.0, FAULT_WINDOW_S / SHORT_JOBS))

    async def _check_jobs_run(self, simulation: Simulation) -> None:
        """Check that each job runs or has ended in time: the longest wait of a job, and a fetch of its image."""
        try:
            await simulation.wait_until(
                lambda: all(self._runs_or_has_ended(simulation, job_id) for job_id in simulation.jobs),
                LONGEST_WAIT_S + LONGEST_FETCH_S,
                "a job waits",
            )
        except AssertionError:
            waiting = [job_id for job_id in simulation.jobs if not self._runs_or_has_ended(simulation, job_id)]
            simulation.violations.append(f"not_started: {', '.join(waiting)}")

    @staticmethod
    def _runs_or_has_ended(simulation: Simulation, job_id: str) -> bool:
        """Whether a job is over, or each task of it that is not done runs."""
        job = simulation.jobs[job_id]
        if job.cancel_requested or len(job.done) == job.spec["pieces"]:
            return True
        running = {
            int(task_id.rpartition("/")[2])
            for worker in simulation.workers.values()
            for task_id, task in worker.tasks.items()
            if task_id.startswith(job_id) and task.phase == "running"
        }
        return running | job.done == set(range(job.spec["pieces"]))


def violations_of_seed(seed: int, quiet: bool = True) -> tuple[int, list[str], list[str]]:
    """Run the history of a seed; return the seed, the violations and the log of the faults."""
    return run_history(MixedHistory, LaunchOnce, seed, quiet, machines=MACHINES, workers=WORKERS, fetch_gb_per_s=0.3)


if __name__ == "__main__":
    sys.exit(play_range(violations_of_seed, int(sys.argv[1]), int(sys.argv[2])))
