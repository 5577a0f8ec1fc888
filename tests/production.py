"""The version in production, as other versions meet it: what its decoders require, and a node that follows it.

Written from its code (`deploy/service.toml` names the commit); `docs/design.md` has the same as a table.
It reads a job record's `phase`, `n`, `next`, `on` (lists of machine, tenure, attempt, ranges of tasks), `spec`
(the fields of a submission without `awaits`), `at` and `done`, and drops all else when it writes the record
again. It ignores keys that it does not know and unknown fields of messages.
"""

import json
from typing import Any

import msgspec

from hookwall import keys
from hookwall.node import Node

SPEC_FIELDS = {
    "ref": str, "hookset": str, "owner": str, "shape": str, "rank": str, "pieces": int, "cores": float,
    "cards": float, "memGb": float, "bundle": str, "sizeGb": float, "samePlace": bool, "spread": bool,
    "loaners": bool, "guessS": float, "pinEveryS": float, "pinCostS": float,
}  # fmt: skip
SPEC_OPTIONAL = {"hulls", "yard", "dueS"}
RECORD_FIELDS = {"phase", "n", "next", "on", "spec", "at", "done"}


def misread(value: Any) -> list[str]:
    """What production's decoder would lose or take for something else in a job record; empty: nothing."""
    wrong = [f"unknown field {name}" for name in value.keys() - RECORD_FIELDS]
    if value.get("phase") not in ("open", "done", "withdrawn"):
        wrong.append("phase")
    wrong += [name for name in ("n", "next") if type(value.get(name)) is not int]
    for start in value.get("on", ()):
        machine, tenure, attempt, tasks = start
        if [type(x) for x in (machine, tenure, attempt, tasks)] != [str, int, int, str]:
            wrong.append(f"on: {start}")
        for part in tasks.split(","):
            first, _, last = part.partition("-")
            if not first.isdigit() or not (last or first).isdigit():
                wrong.append(f"on: {start}")
    spec = value.get("spec")
    if spec is None:
        if value.get("phase") == "open" or value.get("on"):
            wrong.append("no spec")
        return wrong
    if not isinstance(value.get("at"), int | float) or not isinstance(value.get("done"), str):
        wrong.append("at or done")
    wrong += [f"unknown field spec.{name}" for name in spec.keys() - SPEC_FIELDS.keys() - SPEC_OPTIONAL]
    for name, kind in SPEC_FIELDS.items():
        if not isinstance(spec.get(name), (int, float) if kind is float else kind):
            wrong.append(f"spec.{name}")
    return wrong


class ProductionNode(Node):
    """A node that writes and says only what production does, and reports what it would misread."""

    def __init__(self, settings, clock, wall, broken: list[str]) -> None:
        limits = settings.settings
        limits = msgspec.structs.replace(limits, state=msgspec.structs.replace(limits.state, next=None))
        super().__init__(msgspec.structs.replace(settings, settings=limits), clock, wall)
        self.broken = broken
        self.leadership.about, self.leadership.on_about = dict, lambda node, message: None
        self.formats.vouched.clear()
        self.writer.new_formats = self.keeper.new_formats = self.api.new_formats = lambda: False
        submit = self.api.submit
        self.api.submit = lambda body: submit(without_needs(body))

    def _take_key(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.JOBS):
            wrong = misread(value)
            if wrong:
                self.broken.append(f"production misreads {key}: {wrong}")
        if key.startswith((keys.JOBS, keys.LEADER, keys.KEEP, keys.CATALOG)):
            super()._take_key(key, value, stamp)


def without_needs(body: bytes) -> bytes:
    """A submission as production understands it."""
    fields = json.loads(body)
    fields.pop("awaits", None)
    return json.dumps(fields).encode()
