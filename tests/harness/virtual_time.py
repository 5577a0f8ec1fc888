"""An event loop on virtual time: instead of waiting, it advances its clock."""

import asyncio
import selectors


class VirtualSelector(selectors.SelectSelector):
    """A selector that advances its clock instead of waiting for events."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by `timeout` seconds; return no events."""
        assert timeout is not None, "deadlock: no timer is scheduled"
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time()` is virtual."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now
