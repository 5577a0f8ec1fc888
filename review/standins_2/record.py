"""The record of a case: what was sent, answered and run, with the seconds since the case began."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def line(self, who: str, text: str) -> None:
        """Write an event."""
        self._file.write(f"{self.now():8.3f} {who:14s} {text}\n")
        self._file.flush()
