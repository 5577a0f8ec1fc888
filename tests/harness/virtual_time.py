"""An event loop whose time is a fake clock: instead of waiting, time moves on."""

import asyncio
import selectors


class VirtualSelector(selectors.SelectSelector):
    """Instead of waiting, time moves on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """No event, after `timeout` seconds of the fake clock."""
        assert timeout is not None, "everything waits for something that never comes"
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose `time()` is the fake clock."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """The fake clock, in seconds."""
        return self.virtual.now
