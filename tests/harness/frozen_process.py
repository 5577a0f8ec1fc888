"""A frozen process: its coroutines are suspended until the process is thawed."""

import asyncio
import types
from collections.abc import Callable
from typing import Any


@types.coroutine
def run_while_not_frozen(coroutine: Any, thaw_event: Callable[[], asyncio.Event | None]) -> Any:
    """Run a coroutine, suspended while its process is frozen.

    The process is frozen while `thaw_event` returns an event, and is thawed once that event is set. A result, an error
    or a cancellation that arrives meanwhile is passed to the coroutine after the thaw.
    """
    error: BaseException | None = None
    while True:
        event = thaw_event()
        while event is not None:
            try:
                yield from event.wait().__await__()
            except asyncio.CancelledError as cancelled:
                error = cancelled
            event = thaw_event()
        try:
            awaited = coroutine.send(None) if error is None else coroutine.throw(error)
        except StopIteration as end:
            return end.value
        error = None
        try:
            yield awaited
        except GeneratorExit:
            coroutine.close()  # the task was destroyed; its coroutine may have ended already
            raise
        except BaseException as raised:
            error = raised
