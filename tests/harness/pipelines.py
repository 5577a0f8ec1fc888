"""Helpers for tests of dependent jobs: submit pipelines, and wait for the responses that users receive about them."""

import asyncio
from typing import Any

from harness.simulation import Simulation


async def submit_chain(
    simulation: Simulation, first: int, length: int, run_s: float = 3.0, **changes: Any
) -> list[str]:
    """Submit a chain of jobs, each of which depends on the previous one; return their ids."""
    job_ids: list[str] = []
    for n in range(first, first + length):
        job_ids.append(simulation.define_job(n, run_s=run_s, awaits=job_ids[-1:] or None, **changes))
        await simulation.submit_until_accepted(job_ids[-1])
    return job_ids


async def all_cancelled(simulation: Simulation, job_ids: list[str], node: str | None = None) -> bool:
    """Whether polls report all jobs as cancelled; each poll goes to `node`, or else to a random node."""
    responses = [await simulation.poll(node or simulation.random_node(), job_id) for job_id in job_ids]
    return all(status == 200 and phase == "withdrawn" for status, phase in responses)


async def wait_until_all_cancelled(simulation: Simulation, job_ids: list[str], within_s: float) -> None:
    """Wait until polls report all jobs as cancelled."""
    end = simulation.now() + within_s
    while not await all_cancelled(simulation, job_ids):
        assert simulation.now() < end, "not all jobs are reported as cancelled"
        await asyncio.sleep(1.0)


async def wait_until_all_done(simulation: Simulation, job_ids: list[str], within_s: float) -> None:
    """Wait until polls report all jobs as done."""
    end = simulation.now() + within_s
    for job_id in job_ids:
        while (await simulation.poll(simulation.random_node(), job_id))[1] != "done":
            assert simulation.now() < end, f"{job_id} is not reported as done"
            await asyncio.sleep(1.0)
