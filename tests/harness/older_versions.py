"""Earlier versions that were in production: what their decoders require, and nodes that behave as they did.

This is derived from the code of those versions; `docs/design.md` has the same as a table. Format 1 (up to e723b3b)
reads the fields `phase`, `n`, `next`, `on` (lists of machine, tenure, attempt, ranges of tasks), `spec` (the fields of
a submission without `awaits`), `at` and `done` of a job record, and drops all other fields when it writes the record
again. Format 2 (0dce834) also reads `ended`, `spec.awaits` and `packed`, and the keys of lease delegations with
`machines` or `packed`; a delegation with neither field covers every machine. Both formats ignore unknown keys and
unknown fields of messages.
"""

import json
from typing import Any

import msgspec

from harness.fake_clock import FakeClock
from hookwall.node.node import Node
from hookwall.protocol.peer_messages import PeerStatus
from hookwall.storage import keys
from hookwall.storage.storage_version import StorageVersion, StorageVersionGate

SPEC_FIELDS = {
    "ref": str, "hookset": str, "owner": str, "shape": str, "rank": str, "pieces": int, "cores": float,
    "cards": float, "memGb": float, "bundle": str, "sizeGb": float, "samePlace": bool, "spread": bool,
    "loaners": bool, "guessS": float, "pinEveryS": float, "pinCostS": float,
}  # fmt: skip
OPTIONAL_SPEC_FIELDS = {"hulls", "yard", "dueS"}
RECORD_FIELDS = {"phase", "n", "next", "on", "spec", "at", "done"}
FORMAT_2_FIELDS = {"ended", "packed"}


def misread(value: Any) -> list[str]:
    """Return what the decoder of format 1 would drop from a job record or misinterpret; empty if it reads all of it."""
    problems = [f"unknown field {name}" for name in value.keys() - RECORD_FIELDS]
    if value.get("phase") not in ("open", "done", "withdrawn"):
        problems.append("phase")
    problems += [name for name in ("n", "next") if type(value.get(name)) is not int]
    for allocation in value.get("on", ()):
        machine, tenure, attempt, tasks = allocation
        if [type(x) for x in (machine, tenure, attempt, tasks)] != [str, int, int, str]:
            problems.append(f"on: {allocation}")
        for task_range in tasks.split(","):
            first, _, last = task_range.partition("-")
            if not first.isdigit() or not (last or first).isdigit():
                problems.append(f"on: {allocation}")
    spec = value.get("spec")
    if spec is None:
        if value.get("phase") == "open" or value.get("on"):
            problems.append("no spec")
        return problems
    if not isinstance(value.get("at"), int | float) or not isinstance(value.get("done"), str):
        problems.append("at or done")
    problems += [f"unknown field spec.{name}" for name in spec.keys() - SPEC_FIELDS.keys() - OPTIONAL_SPEC_FIELDS]
    for name, kind in SPEC_FIELDS.items():
        if not isinstance(spec.get(name), (int, float) if kind is float else kind):
            problems.append(f"spec.{name}")
    return problems


class Format1Node(Node):
    """A node that writes and sends only what programs of format 1 do; `violations` lists what they would misread."""

    def __init__(self, settings, clock: FakeClock, wall, violations: list[str]) -> None:
        limits = settings.platform
        limits = msgspec.structs.replace(limits, state=msgspec.structs.replace(limits.state, next=None))
        super().__init__(msgspec.structs.replace(settings, platform=limits), clock, wall)
        self.violations = violations
        self.apply_any_key = self.key_dispatcher.apply_key
        self.key_dispatcher.apply_key = self._apply_key
        self.leadership.exchange.local_status = PeerStatus
        self.leadership.exchange.on_peer_status = lambda node, about: None
        self.leadership.vote_fence = None
        self.storage_version.reported_versions.clear()
        self.job_writer.packing_enabled = self.job_service.packing_enabled = lambda: False
        self.lease_delegate.packed_names = self.lease_delegate.numbered_names = lambda: False
        submit = self.job_service.submit
        self.job_service.submit = lambda body: submit(without_dependencies(body))

    def _apply_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(keys.JOB_PREFIX):
            problems = misread(value)
            if problems:
                self.violations.append(f"format 1 misreads {key}: {problems}")
        if key.startswith((keys.JOB_PREFIX, keys.LEADER_KEY, keys.LEASE_DELEGATE_PREFIX, keys.CATALOG_KEY)):
            self.apply_any_key(key, value, version)


class Format2Gate(StorageVersionGate):
    """The storage version gate of format 2, which never replaces an existing marker, whatever its value is."""

    def record_reported_version(self, node: str, reported_version: object) -> None:
        super().record_reported_version(
            node,
            StorageVersion.DEPENDENCIES
            if isinstance(reported_version, int) and reported_version >= StorageVersion.DEPENDENCIES
            else None,
        )

    async def _store_marker(self, node: str, reported_version: int) -> None:
        if node not in self.markers:
            await super()._store_marker(node, reported_version)


class Format2Node(Node):
    """A node that writes and sends only what programs of format 2 do; `violations` lists what they would misread."""

    def __init__(self, settings, clock: FakeClock, wall, violations: list[str]) -> None:
        super().__init__(settings, clock, wall)
        self.violations = violations
        self.apply_any_key = self.key_dispatcher.apply_key
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
                self.violations.append(f"format 2 misreads {key}: {unknown}")
        if key.startswith(keys.LEASE_DELEGATE_PREFIX) and not {"machines", "packed"} & value.keys():
            self.violations.append(f"format 2 reads {key} as a delegation of every machine")
        if not key.startswith(keys.VOTE_FENCE_PREFIX):
            self.apply_any_key(key, value, version)


class Format3Node(Node):
    """A node that writes and sends only what programs of format 3 do; it ignores drains and cordons."""

    def __init__(self, settings, clock: FakeClock, wall, violations: list[str]) -> None:
        super().__init__(settings, clock, wall)
        self.storage_version.current_version = StorageVersion.NUMBERED_MACHINES
        self.storage_version.reported_versions = {settings.node_name: int(StorageVersion.NUMBERED_MACHINES)}


OLD_NODES = {1: Format1Node, 2: Format2Node, 3: Format3Node}


def without_dependencies(body: bytes) -> bytes:
    """Return a submission without its dependencies, which programs of format 1 ignore."""
    fields = json.loads(body)
    fields.pop("awaits", None)
    return json.dumps(fields).encode()
