"""A clock that stands still between the steps of a test."""


class Clock:
    """Seconds that pass only when a test says so; called, it gives the time now."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def tick(self, seconds: float) -> None:
        """Let `seconds` pass."""
        self.now += seconds
