"""What tests of dependent jobs share: pipelines, and waiting for what users are told of them."""

import asyncio

from harness.simulation import Simulation


async def chain(w: Simulation, first: int, length: int, run_s: float = 3.0, **changes) -> list[str]:
    """Jobs one after the other, each needing the one before."""
    refs: list[str] = []
    for n in range(first, first + length):
        refs.append(w.job(n, run_s=run_s, awaits=refs[-1:] or None, **changes))
        await w.accepted(refs[-1])
    return refs


async def all_withdrawn(w: Simulation, refs: list[str], node: str | None = None) -> bool:
    answers = [await w.poll(node or w.random.choice(list(w.nodes)), ref) for ref in refs]
    return all(status == 200 and phase == "withdrawn" for status, phase in answers)


async def becomes_withdrawn(w: Simulation, refs: list[str], within_s: float) -> None:
    end = w.now() + within_s
    while not await all_withdrawn(w, refs):
        assert w.now() < end, "not all are told as cancelled"
        await asyncio.sleep(1.0)


async def becomes_done(w: Simulation, refs: list[str], within_s: float) -> None:
    end = w.now() + within_s
    for ref in refs:
        while (await w.poll(w.random.choice(list(w.nodes)), ref))[1] != "done":
            assert w.now() < end, f"{ref} is not done"
            await asyncio.sleep(1.0)
