"""What tests of dependent jobs share: pipelines, and waiting for what users are answered about them."""

import asyncio
from typing import Any

from harness.simulation import Simulation


async def submit_chain(
    simulation: Simulation, first: int, length: int, run_s: float = 3.0, **changes: Any
) -> list[str]:
    """Jobs one after the other, each needing the one before."""
    job_ids: list[str] = []
    for n in range(first, first + length):
        job_ids.append(simulation.job(n, run_s=run_s, awaits=job_ids[-1:] or None, **changes))
        await simulation.accepted(job_ids[-1])
    return job_ids


async def all_cancelled(simulation: Simulation, job_ids: list[str], node: str | None = None) -> bool:
    """Whether all jobs are answered as cancelled, by one node or by random ones."""
    answers = [await simulation.poll(node or simulation.random_node(), job_id) for job_id in job_ids]
    return all(status == 200 and phase == "withdrawn" for status, phase in answers)


async def all_become_cancelled(simulation: Simulation, job_ids: list[str], within_s: float) -> None:
    """Wait until all jobs are answered as cancelled."""
    end = simulation.now() + within_s
    while not await all_cancelled(simulation, job_ids):
        assert simulation.now() < end, "not all are answered as cancelled"
        await asyncio.sleep(1.0)


async def all_become_done(simulation: Simulation, job_ids: list[str], within_s: float) -> None:
    """Wait until all jobs are answered as done."""
    end = simulation.now() + within_s
    for job_id in job_ids:
        while (await simulation.poll(simulation.random_node(), job_id))[1] != "done":
            assert simulation.now() < end, f"{job_id} is not done"
            await asyncio.sleep(1.0)
