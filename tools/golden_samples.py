"""What the tools that print golden samples of earlier versions share.

An earlier version's own code makes its samples, so a tool puts the checkout of that version first on the import path
and names its modules as they were called then.
"""

import json
import sys
from pathlib import Path
from typing import Any


def import_from_checkout() -> None:
    """Make imports come from the checkout that the command line names, and from its tests."""
    checkout = Path(sys.argv[1]).resolve()
    sys.path[:0] = [str(checkout), str(checkout / "tests")]


class RecordingPeer:
    """A peer that remembers what it was sent and grants whatever it is asked for."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sent: list[dict[str, Any]] = []

    async def call(self, message: dict[str, Any], timeout: float = 1.0) -> dict[str, Any]:
        """Record a message, and answer it."""
        self.sent.append(message)
        return {"ok": True, "sok": True, "top": 0, "beats": 0, "want": [1.0, 2.0], "knows": True}


def print_samples(samples: dict[str, object]) -> None:
    """Print samples as the golden files hold them."""
    print(json.dumps(samples, indent=1, sort_keys=True, default=list))
