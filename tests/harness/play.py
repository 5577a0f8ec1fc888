"""Runs a scenario on virtual time and checks the rules."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from harness.simulation import Simulation
from harness.virtual_time import VirtualLoop


def play(
    scenario: Callable[[Simulation], Coroutine[Any, Any, Any]], machines: int = 4, old: int = 0, **options: Any
) -> Simulation:
    """Run a scenario in a simulation that has a leader and machines with workers; assert that it breaks no rule.

    With `old`, the nodes start with a program of that storage format; 0 is the current program.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    simulations: list[Simulation] = []

    async def main() -> Simulation:
        simulation = Simulation(**options)
        simulations.append(simulation)
        for i in range(machines):
            simulation.add_machine("east" if i % 2 == 0 else "west")
        for name in simulation.names:
            simulation.start(name, old)
        await simulation.wait_for_leader()
        await asyncio.sleep(6.0)
        await scenario(simulation)
        return simulation

    try:
        simulation = loop.run_until_complete(main())
    finally:
        for event in [event for each in simulations for event in each.frozen.values()]:
            event.set()
        for each in simulations:
            each.frozen.clear()
        remaining = asyncio.all_tasks(loop)
        for task in remaining:
            task.cancel()
        if remaining:
            loop.run_until_complete(asyncio.wait(remaining, timeout=1.0))
        asyncio.set_event_loop(None)
        loop.close()
    assert simulation.violations == []
    return simulation
