"""Submissions as users send them, in the JSON fields of the platform."""

from typing import Any


def description(number: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the fields of the submission of job `number`; `changes` replaces or adds fields."""
    fields = {
        "ref": f"run-{number:06d}", "hookset": "k", "owner": "grey", "shape": "batch", "rank": "standard", "pieces": 1,
        "cores": 4.0, "cards": 1.0, "memGb": 16.0, "bundle": "img-1", "sizeGb": 5.0, "hulls": None, "yard": None,
        "samePlace": False, "spread": False, "loaners": False, "guessS": 60.0, "pinEveryS": 10.0, "pinCostS": 2.0,
        "dueS": None,
    }  # fmt: skip
    return {**fields, **changes}
