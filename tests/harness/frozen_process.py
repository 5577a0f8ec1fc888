"""A process that stands still: what it would do waits until it is thawed."""

import asyncio
import types
from collections.abc import Callable
from typing import Any


@types.coroutine
def run_while_not_frozen(work: Any, frozen: Callable[[], asyncio.Event | None]) -> Any:
    """Run a coroutine, but for as long as `frozen` names an event; what happens meanwhile reaches it afterwards."""
    error: BaseException | None = None
    while True:
        event = frozen()
        while event is not None:
            try:
                yield from event.wait().__await__()
            except asyncio.CancelledError as cancelled:
                error = cancelled
            event = frozen()
        try:
            waits_for = work.send(None) if error is None else work.throw(error)
        except StopIteration as end:
            return end.value
        error = None
        try:
            yield waits_for
        except BaseException as raised:
            error = raised
