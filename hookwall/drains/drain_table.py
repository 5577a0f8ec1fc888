"""A node's copy of all drains, their steps and the cordoned machines in the key-value store.

Invariant: a record is replaced only by a newer version, and a machine whose step key exists is cordoned even if the
key's value can't be decoded.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from hookwall.drains import drain_keys
from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.drains.records import DisruptionPage, DrainRecord, StepPhase, StepRecord, decode
from hookwall.storage import keys
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import MalformedRecordError

log = logging.getLogger(__name__)

Record = TypeVar("Record")


@dataclass(slots=True, frozen=True)
class VersionedRecord(Generic[Record]):
    """A record and the version of its key."""

    record: Record
    version: int


class DrainTable:
    """Tracks the keys under `hookwall/drain/` and `hookwall/cordon/`, and loads those under `hookwall/disrupted/`."""

    def __init__(self, ledger: DisruptionLedger) -> None:
        """Create an empty table; `ledger` receives the stored pages when this node becomes the leader."""
        self.ledger = ledger
        self.drains: dict[str, VersionedRecord[DrainRecord]] = {}
        self.steps: dict[str, VersionedRecord[StepRecord]] = {}
        self.cordoned: set[str] = set()  # machines that receive no new work; shared with the fleet
        self.in_maintenance: set[str] = set()  # cordoned machines in phase EMPTY; also shared with the fleet
        self.machines: dict[str, list[str]] = {}  # by drain, the machines that have not left it

    # -- keys ------------------------------------------------------------------------------------

    def apply_key(self, key: str, value: object, version: int) -> None:
        """Apply a drain or a step that was read or observed by the watch. An older version is ignored."""
        try:
            if key.startswith(keys.DRAIN_PREFIX):
                self._apply_drain(key.removeprefix(keys.DRAIN_PREFIX), value, version)
            elif key.startswith(keys.CORDON_PREFIX):
                self._apply_step(key.removeprefix(keys.CORDON_PREFIX), value, version)
        except (MalformedRecordError, ValueError) as error:
            log.error("malformed drain record ignored: key=%s reason=%s", key, error)

    def apply_deletion(self, key: str, revision: int) -> None:
        """Apply the deletion of a key at this revision."""
        name = key.rpartition("/")[2]
        if key.startswith(keys.DRAIN_PREFIX):
            if name in self.drains and revision > self.drains[name].version:
                self.remove_drain(name)
        elif key.startswith(keys.CORDON_PREFIX) and (name not in self.steps or revision > self.steps[name].version):
            self.remove_step(name)

    def known_keys(self) -> list[str]:
        """The keys of all drains in the table, and of all cordoned machines."""
        return [*map(drain_keys.drain_key, self.drains), *map(drain_keys.step_key, self.cordoned)]

    def load_ledger(self, entries: Iterable[KeyValueEntry]) -> None:
        """Load the ledger for a new leader. It is not watched, as no other node writes it while this node leads."""
        self.ledger.pages.clear()
        for key, value, version in entries:
            number = drain_keys.page_number(key)
            if number is None:
                continue
            try:
                self.ledger.load_page(number, decode(value, DisruptionPage), version)
            except MalformedRecordError as error:
                log.error("malformed ledger page ignored: key=%s reason=%s", key, error)

    # -- records ---------------------------------------------------------------------------------

    def _apply_drain(self, name: str, value: object, version: int) -> None:
        known = self.drains.get(name)
        if known is None or version > known.version:
            self.set_drain(name, decode(value, DrainRecord), version)

    def set_drain(self, name: str, record: DrainRecord, version: int) -> None:
        """Set a drain to its stored record."""
        self.machines[name] = record.machines()
        self.drains[name] = VersionedRecord(record, version)

    def remove_drain(self, name: str) -> None:
        """Remove a deleted drain."""
        del self.drains[name]
        del self.machines[name]

    def _apply_step(self, machine: str, value: object, version: int) -> None:
        known = self.steps.get(machine)
        if known is not None and version <= known.version:
            return
        # The existence of the key cordons the machine, even if the value can't be decoded.
        self.cordoned.add(machine)
        self.set_step(machine, decode(value, StepRecord), version)

    def set_step(self, machine: str, record: StepRecord, version: int) -> None:
        """Set a machine's step to its stored record."""
        self.steps[machine] = VersionedRecord(record, version)
        self.cordoned.add(machine)
        if record.phase is StepPhase.EMPTY:
            self.in_maintenance.add(machine)
        else:
            self.in_maintenance.discard(machine)

    def remove_step(self, machine: str) -> None:
        """Remove the step of a machine that is back in service or deleted."""
        self.steps.pop(machine, None)
        self.cordoned.discard(machine)
        self.in_maintenance.discard(machine)

    def step_of(self, machine: str) -> StepRecord | None:
        """The step of a machine, whichever drain the step belongs to, or None."""
        stored = self.steps.get(machine)
        return None if stored is None else stored.record

    def steps_of(self, drain: str) -> dict[str, StepRecord]:
        """The steps of the machines that a drain has cordoned, by machine."""
        return {machine: step.record for machine, step in self.steps.items() if step.record.drain == drain}

    def has_work(self) -> bool:
        """Whether a drain is active or a machine is cordoned."""
        return bool(self.steps) or any(stored.record.is_active() for stored in self.drains.values())
