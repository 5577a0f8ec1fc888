"""Drains, their steps and the disruptions that they may not exceed, as they are stored.

- `hookwall/drain/<name>`: what was asked for, which machines remain, how far it is and why it waits. Written by the
  command (start, abort, resume) and by the leader.
- `hookwall/cordon/<machine>`: a machine that is being drained, by which drain, and how far. Written by the leader, and
  by the command to release it after maintenance.
- `hookwall/disrupted/<page>`: jobs that were disrupted lately. Written by the leader.

A machine has one key whichever drain it belongs to, so two drains can't both work on it. Sets of machines are stored
as in `machine_names`, in about a bit for each machine of the fleet.
"""

from enum import Enum
from typing import Any, TypeVar

import msgspec

from hookwall.storage import keys
from hookwall.storage.job_records import MalformedRecordError
from hookwall.workers import name_codec

VERSION = 1


class DrainPhase(Enum):
    """How far a drain is."""

    ASKED = "asked"  # stored by an operator, not taken up by a leader yet
    DRAINING = "draining"
    STALLED = "stalled"  # nothing has moved for a while; `reason` says why
    ABORTED = "aborted"  # no further step; machines that were not empty go back in service
    FINISHED = "finished"


class StepPhase(Enum):
    """How far one machine is."""

    CORDONED = "cordoned"  # gets no new work; its tasks go on
    DRAINING = "draining"  # some of its tasks were told to stop
    EMPTY = "empty"  # no task is left
    BACK = "back in service"  # released by an operator after maintenance


class Outcome(Enum):
    """How a machine left a drain."""

    RETURNED = "returned"  # deleted once it was empty
    BACK = "back in service"
    GONE = "gone"  # the cloud took it, or it was lost, before it was empty


class Afterwards(Enum):
    """What becomes of an empty machine."""

    RETURN = "return"  # it is deleted; a new one is rented where one is needed
    HOLD = "hold"  # it stays out of service until an operator releases it


class AtDeadline(Enum):
    """What a drain does when its deadline has passed."""

    GO_ON = "go-on"
    STOP_WAITING = "stop-waiting"  # wait neither for tasks to end nor for room elsewhere; budgets hold all the same
    ABORT = "abort"


ACTIVE = (DrainPhase.ASKED, DrainPhase.DRAINING, DrainPhase.STALLED)


class DrainRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One drain. Times are times of day in seconds."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    phase: DrainPhase
    request: str  # digest of what was asked for: the same request again is no new drain
    asked_at: float
    changed_at: float  # of the phase
    total: int
    remaining: dict[str, Any]  # machines that have not left the drain, as in `machine_names`
    batch: int
    finish_s: float  # how long tasks may go on to end by themselves
    afterwards: Afterwards = Afterwards.RETURN
    deadline_s: float | None = None  # from `asked_at`
    at_deadline: AtDeadline = AtDeadline.GO_ON
    unbudgeted: bool = False  # whether teams without a budget may be disrupted without limit
    counts: dict[str, int] = {}  # machines that have left it, by outcome
    reason: str = ""  # why it waits

    def machines(self) -> list[str]:
        """The machines that have not left the drain."""
        return sorted(name_codec.decode(self.remaining))

    def active(self) -> bool:
        """Whether it goes on."""
        return self.phase in ACTIVE

    def overdue(self, now: float) -> bool:
        """Whether its deadline has passed."""
        return self.deadline_s is not None and now > self.asked_at + self.deadline_s


class StepRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One machine that is being drained."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    drain: str
    phase: StepPhase
    since: float  # time of day at which it was cordoned
    changed_at: float
    disrupted: int = 0  # jobs that were told to stop here


class Disruption(msgspec.Struct, array_like=True):
    """One job that lost running tasks.

    It counts until both are over: its team's period, and the spell until as many of its tasks run again.
    """

    ref: str
    team: str
    at: float  # time of day of the last loss
    ran: int  # how many of its tasks ran before
    restored: bool = False


class DisruptionPage(msgspec.Struct, kw_only=True):
    """Some of the disruptions: all of them may not fit one value."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    entries: list[Disruption]


Record = TypeVar("Record", DrainRecord, StepRecord, DisruptionPage)


def encode(record: DrainRecord | StepRecord | DisruptionPage) -> dict[str, Any]:
    """The value that is stored."""
    return msgspec.to_builtins(record)


def decode(value: object, kind: type[Record]) -> Record:
    """A stored value; MalformedRecord for anything else, and for one of a newer version."""
    try:
        record = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedRecordError(str(error)) from None
    if record.version > VERSION:
        raise MalformedRecordError(f"version {record.version}, this program knows {VERSION}")
    return record


def drain_key(name: str) -> str:
    """Where a drain is stored."""
    return keys.DRAIN_PREFIX + name


def step_key(machine: str) -> str:
    """Where the step of a machine is stored."""
    return keys.CORDON_PREFIX + machine


def page_key(page: int) -> str:
    """Where a page of disruptions is stored."""
    return f"{keys.DISRUPTION_PREFIX}{page}"
