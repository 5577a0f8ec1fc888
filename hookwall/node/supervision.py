"""Supervision of a node's loops: a loop that fails is restarted, because a node must not run without any of them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5

Loop = Callable[[], Awaitable[None]]


async def run_supervised(loops: Mapping[str, Loop]) -> None:
    """Run all loops, restarting those that fail, until this task is cancelled. `loops` maps names to loops."""
    await asyncio.gather(*(_restart_on_error(name, loop) for name, loop in loops.items()))


async def _restart_on_error(name: str, loop: Loop) -> None:
    while True:
        try:
            await loop()
        except Exception:
            log.exception("loop failed: loop=%s", name)
            await asyncio.sleep(RESTART_DELAY_S)
