"""All drains, their steps and the disruptions, as a node knows them from the state service."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from hookwall.drains.ledger import Ledger
from hookwall.drains.records import DisruptionPage, DrainRecord, StepPhase, StepRecord, decode
from hookwall.storage import keys
from hookwall.storage.job_records import MalformedRecordError

log = logging.getLogger(__name__)

Record = TypeVar("Record")


@dataclass(slots=True, frozen=True)
class Stored(Generic[Record]):
    """A record and the stamp of its key."""

    record: Record
    stamp: int


class DrainTable:
    """Follows the keys below `hookwall/drain/`, `hookwall/cordon/` and `hookwall/disrupted/`."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.drains: dict[str, Stored[DrainRecord]] = {}
        self.steps: dict[str, Stored[StepRecord]] = {}
        self.cordoned: set[str] = set()  # machines that get no new work; shared with the fleet
        self.maintained: set[str] = set()  # those of them that are empty and stay so until they are released
        self.machines: dict[str, list[str]] = {}  # by drain, those that have not left it

    # -- keys ------------------------------------------------------------------------------------

    @staticmethod
    def follows(key: str) -> bool:
        """Whether a key is one of these."""
        return key.startswith((keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX))

    def take(self, key: str, value: object, stamp: int) -> None:
        """A drain or a step as read or watched; an older state of it changes nothing."""
        try:
            if key.startswith(keys.DRAIN_PREFIX):
                self._take_drain(key.removeprefix(keys.DRAIN_PREFIX), value, stamp)
            elif key.startswith(keys.CORDON_PREFIX):
                self._take_step(key.removeprefix(keys.CORDON_PREFIX), value, stamp)
        except (MalformedRecordError, ValueError) as error:
            log.error("%s is malformed and left alone: %s", key, error)

    def remove(self, key: str, stamp: int) -> None:
        """A key was deleted at this change."""
        name = key.rpartition("/")[2]
        if key.startswith(keys.DRAIN_PREFIX):
            if name in self.drains and stamp > self.drains[name].stamp:
                self.forget(name)
        elif key.startswith(keys.CORDON_PREFIX) and (name not in self.steps or stamp > self.steps[name].stamp):
            self.lift(name)

    def read_all(self, found: Iterable[tuple[str, object, int]]) -> None:
        """A full read: what it does not show is gone."""
        found = [entry for entry in found if self.follows(entry[0])]
        there = {key for key, _, _ in found}
        for name in [n for n in self.drains if keys.DRAIN_PREFIX + n not in there]:
            self.forget(name)
        for machine in [m for m in self.cordoned if keys.CORDON_PREFIX + m not in there]:
            self.lift(machine)
        for key, value, stamp in found:
            self.take(key, value, stamp)

    def read_ledger(self, found: Iterable[tuple[str, object, int]]) -> None:
        """The disruptions as a new leader finds them. Nobody else writes them while it leads, so it watches none."""
        self.ledger.pages.clear()
        for key, value, stamp in found:
            page = key.removeprefix(keys.DISRUPTION_PREFIX)
            if not key.startswith(keys.DISRUPTION_PREFIX) or not page.isdigit():
                continue
            try:
                self.ledger.take(int(page), decode(value, DisruptionPage), stamp)
            except MalformedRecordError as error:
                log.error("%s is malformed and left alone: %s", key, error)

    # -- records ---------------------------------------------------------------------------------

    def _take_drain(self, name: str, value: object, stamp: int) -> None:
        known = self.drains.get(name)
        if known is not None and stamp <= known.stamp:
            return
        self.put_drain(name, decode(value, DrainRecord), stamp)

    def put_drain(self, name: str, record: DrainRecord, stamp: int) -> None:
        """A drain as it is stored now."""
        self.machines[name] = record.machines()
        self.drains[name] = Stored(record, stamp)

    def forget(self, name: str) -> None:
        """A drain was deleted."""
        del self.drains[name]
        del self.machines[name]

    def _take_step(self, machine: str, value: object, stamp: int) -> None:
        known = self.steps.get(machine)
        if known is not None and stamp <= known.stamp:
            return
        # Whatever the value says, its key keeps new work off the machine.
        self.cordoned.add(machine)
        self.put_step(machine, decode(value, StepRecord), stamp)

    def put_step(self, machine: str, record: StepRecord, stamp: int) -> None:
        """A step as it is stored now."""
        self.steps[machine] = Stored(record, stamp)
        self.cordoned.add(machine)
        if record.phase is StepPhase.EMPTY:
            self.maintained.add(machine)
        else:
            self.maintained.discard(machine)

    def lift(self, machine: str) -> None:
        """A machine is in service again, or gone."""
        self.steps.pop(machine, None)
        self.cordoned.discard(machine)
        self.maintained.discard(machine)

    def steps_of(self, drain: str) -> dict[str, StepRecord]:
        """The machines that a drain works on."""
        return {m: s.record for m, s in self.steps.items() if s.record.drain == drain}

    def any_active(self) -> bool:
        """Whether there is anything to do."""
        return bool(self.steps) or any(stored.record.active() for stored in self.drains.values())
