"""A fake clock that advances only when a test advances it."""


class FakeClock:
    """A fake clock; calling it returns the current time in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self.now += seconds
