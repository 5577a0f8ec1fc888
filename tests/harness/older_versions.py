"""Versions that were in production, as newer ones meet them: what they require, and nodes that follow them.

Written from their code; `docs/design.md` has the same as a table. Format 1 (up to e723b3b) reads a job record's
`phase`, `n`, `next`, `on` (lists of machine, tenure, attempt, ranges of tasks), `spec` (the fields of a submission
without `awaits`), `at` and `done`, and drops all else when it writes the record again. Format 2 (0dce834) reads
`ended`, `spec.awaits` and `packed` as well, and keepers' keys with `machines` or `packed`; one with neither stands for
any machine. Both ignore keys that they do not know and unknown fields of messages.
"""

import json
from typing import Any

import msgspec

from harness.fake_clock import Clock
from hookwall.node.node import Node
from hookwall.protocol.peer_messages import PeerStatus
from hookwall.storage import keys
from hookwall.storage.storage_version import StorageVersion, StorageVersionGate

SPEC_FIELDS = {
    "ref": str, "hookset": str, "owner": str, "shape": str, "rank": str, "pieces": int, "cores": float,
    "cards": float, "memGb": float, "bundle": str, "sizeGb": float, "samePlace": bool, "spread": bool,
    "loaners": bool, "guessS": float, "pinEveryS": float, "pinCostS": float,
}  # fmt: skip
SPEC_OPTIONAL = {"hulls", "yard", "dueS"}
RECORD_FIELDS = {"phase", "n", "next", "on", "spec", "at", "done"}
FORMAT_2_FIELDS = {"ended", "packed"}


def misread(value: Any) -> list[str]:
    """What the decoder of format 1 would lose or take for something else in a job record; empty: nothing."""
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


class Format1Node(Node):
    """A node that writes and says only what programs of format 1 do, and reports what they would misread."""

    def __init__(self, settings, clock: Clock, wall, broken: list[str]) -> None:
        limits = settings.platform
        limits = msgspec.structs.replace(limits, state=msgspec.structs.replace(limits.state, next=None))
        super().__init__(msgspec.structs.replace(settings, platform=limits), clock, wall)
        self.broken = broken
        self.dispatch = self.key_dispatcher.apply_key
        self.key_dispatcher.apply_key = self._apply_key
        self.leadership.exchange.local_status = PeerStatus
        self.leadership.exchange.on_peer_status = lambda node, about: None
        self.leadership.vote_fence = None
        self.storage_version.reported_versions.clear()
        self.job_writer.packing_enabled = self.job_service.packing_enabled = lambda: False
        self.lease_delegate.packed_names = self.lease_delegate.numbered_names = lambda: False
        submit = self.job_service.submit
        self.job_service.submit = lambda body: submit(without_needs(body))

    def _apply_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(keys.JOB_PREFIX):
            wrong = misread(value)
            if wrong:
                self.broken.append(f"format 1 misreads {key}: {wrong}")
        if key.startswith((keys.JOB_PREFIX, keys.LEADER_KEY, keys.LEASE_DELEGATE_PREFIX, keys.CATALOG_KEY)):
            self.dispatch(key, value, version)


class Format2Gate(StorageVersionGate):
    """Markers as programs of format 2 know them: they never replace one, whatever it says."""

    def record_reported_version(self, node: str, known: object) -> None:
        super().record_reported_version(
            node,
            StorageVersion.DEPENDENCIES if isinstance(known, int) and known >= StorageVersion.DEPENDENCIES else None,
        )

    async def _store_marker(self, node: str, known: int) -> None:
        if node not in self.markers:
            await super()._store_marker(node, known)


class Format2Node(Node):
    """A node that writes and says only what programs of format 2 do, and reports what they would misread."""

    def __init__(self, settings, clock: Clock, wall, broken: list[str]) -> None:
        super().__init__(settings, clock, wall)
        self.broken = broken
        self.dispatch = self.key_dispatcher.apply_key
        self.key_dispatcher.apply_key = self._apply_key
        self.leadership.vote_fence = None
        self.storage_version = Format2Gate(settings.node_name, [s.node_name for s in settings.seeds], self.store, 2)
        self.job_writer.packing_enabled = self.job_service.packing_enabled = self.lease_delegate.packed_names = (
            self.storage_version.allows_dependencies
        )
        self.key_dispatcher.storage_version = self.storage_version
        self.lease_delegate.numbered_names = lambda: False

    def _apply_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(keys.JOB_PREFIX):
            unknown = value.keys() - RECORD_FIELDS - FORMAT_2_FIELDS
            if unknown:
                self.broken.append(f"format 2 misreads {key}: {unknown}")
        if key.startswith(keys.LEASE_DELEGATE_PREFIX) and not {"machines", "packed"} & value.keys():
            self.broken.append(f"format 2 takes {key} to name any machine")
        if not key.startswith(keys.VOTE_FENCE_PREFIX):
            self.dispatch(key, value, version)


class Format3Node(Node):
    """A node that writes and says only what programs of format 3 do: drains and cordons mean nothing to it."""

    def __init__(self, settings, clock: Clock, wall, broken: list[str]) -> None:
        super().__init__(settings, clock, wall)
        self.storage_version.current_version = StorageVersion.NUMBERED_MACHINES
        self.storage_version.reported_versions = {settings.node_name: int(StorageVersion.NUMBERED_MACHINES)}


OLD_NODES = {1: Format1Node, 2: Format2Node, 3: Format3Node}


def without_needs(body: bytes) -> bytes:
    """A submission as programs of format 1 understand it."""
    fields = json.loads(body)
    fields.pop("awaits", None)
    return json.dumps(fields).encode()
