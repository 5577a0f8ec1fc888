"""The stored records of drains, their steps and the disruption ledger's pages.

- `hookwall/drain/<name>`: what was requested, the remaining machines, the drain's phase and why it waits. Written by
  the command (start, abort, resume) and by the leader.
- `hookwall/cordon/<machine>`: the step of a machine that is being drained: which drain has cordoned it, and its phase.
  Written by the leader, and by the command that releases the machine after maintenance.
- `hookwall/disrupted/<page>`: jobs that were disrupted recently. Written by the leader.

Invariant: a machine has a single key, whichever drain it belongs to, so two drains can't both work on it. Stored names
and values never change. Sets of machines are encoded by `name_codec`, in about one bit per machine of the fleet.
"""

from collections.abc import Collection
from enum import Enum
from typing import TypeVar

import msgspec

from hookwall.storage.errors import MalformedRecordError
from hookwall.workers import name_codec

VERSION = 1


class DrainPhase(Enum):
    """Phase of a drain."""

    REQUESTED = "asked"  # stored by an operator; no leader has begun it yet
    DRAINING = "draining"
    STALLED = "stalled"  # no progress for some time; `wait_reason` says why
    ABORTED = "aborted"  # the leader takes no further step; the machines are uncordoned
    FINISHED = "finished"


class StepPhase(Enum):
    """Phase of one machine that is being drained."""

    CORDONED = "cordoned"  # the machine receives no new work; its tasks continue
    DRAINING = "draining"  # some of the machine's jobs were evicted
    EMPTY = "empty"  # no task remains
    RELEASED = "back in service"  # released by an operator after maintenance


class MachineOutcome(Enum):
    """How a machine left a drain."""

    DELETED = "returned"  # deleted after it was empty
    RELEASED = "back in service"
    LOST = "gone"  # preempted by the cloud, or lost, before it was empty


class EmptyMachinePolicy(Enum):
    """What is done with an empty machine."""

    DELETE = "return"  # it is deleted; a replacement is provisioned if one is needed
    HOLD = "hold"  # it remains out of service until an operator releases it


class DeadlinePolicy(Enum):
    """What a drain does when its deadline has passed."""

    CONTINUE = "go-on"
    SKIP_WAITS = "stop-waiting"  # wait neither for tasks to end nor for capacity elsewhere; budgets still apply
    ABORT = "abort"


ACTIVE_PHASES = (DrainPhase.REQUESTED, DrainPhase.DRAINING, DrainPhase.STALLED)


class DrainRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A drain. Times are times of day in seconds; stored names are given beside the fields."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    phase: DrainPhase
    # Digest of the operator's request; a repeated request with the same digest creates no new drain.
    request_digest: str = msgspec.field(name="request")
    requested_at: float = msgspec.field(name="asked_at")
    changed_at: float  # when the phase last changed
    machine_count: int = msgspec.field(name="total")
    # Machines that have not left the drain, as `name_codec` encodes them.
    remaining_machines: dict[str, object] = msgspec.field(name="remaining")
    batch_size: int = msgspec.field(name="batch")
    finish_grace_s: float = msgspec.field(name="finish_s")  # how long tasks may continue to end by themselves
    empty_machine_policy: EmptyMachinePolicy = msgspec.field(name="afterwards", default=EmptyMachinePolicy.DELETE)
    deadline_s: float | None = None  # relative to `requested_at`
    deadline_policy: DeadlinePolicy = msgspec.field(name="at_deadline", default=DeadlinePolicy.CONTINUE)
    # Whether teams without a budget may be disrupted without limit.
    allow_unbudgeted: bool = msgspec.field(name="unbudgeted", default=False)
    # Machines that have left the drain, by outcome.
    outcome_counts: dict[str, int] = msgspec.field(name="counts", default_factory=dict)
    wait_reason: str = msgspec.field(name="reason", default="")

    def machines(self) -> list[str]:
        """The machines that have not left the drain, sorted."""
        return sorted(name_codec.decode(self.remaining_machines))

    def is_active(self) -> bool:
        """Whether the drain is neither finished nor aborted."""
        return self.phase in ACTIVE_PHASES

    def is_overdue(self, now: float) -> bool:
        """Whether the deadline has passed at this time of day."""
        return self.deadline_s is not None and now > self.requested_at + self.deadline_s

    def transitioned(self, phase: DrainPhase, wait_reason: str, now: float) -> "DrainRecord":
        """The drain with this phase and reason; `changed_at` is set to `now` if the phase changes."""
        changed_at = now if phase is not self.phase else self.changed_at
        return msgspec.structs.replace(self, phase=phase, wait_reason=wait_reason, changed_at=changed_at)

    def without_machines(self, machines: Collection[str], outcome: MachineOutcome) -> "DrainRecord":
        """The drain after these machines have left it with this outcome."""
        counts = dict(self.outcome_counts)
        counts[outcome.value] = counts.get(outcome.value, 0) + len(machines)
        remaining = set(self.machines()) - set(machines)
        return msgspec.structs.replace(
            self, outcome_counts=counts, remaining_machines=name_codec.encode(remaining)
        )  # fmt: skip


class StepRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The step of a machine that is being drained."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    drain: str
    phase: StepPhase
    cordoned_at: float = msgspec.field(name="since")  # time of day
    changed_at: float  # time of day when the phase last changed
    disrupted_jobs: int = msgspec.field(name="disrupted", default=0)  # jobs that were evicted from the machine


class Disruption(msgspec.Struct, array_like=True):
    """A job that lost running tasks.

    The disruption counts until the period of its team's budget is over and as many of the job's tasks run again.
    """

    job_id: str
    team: str
    last_loss_at: float  # time of day of the last loss
    running_before: int  # how many of its tasks ran before the disruption
    recovered: bool = False


class DisruptionPage(msgspec.Struct, kw_only=True):
    """A part of the disruptions, as all of them may not fit into one value."""

    version: int = msgspec.field(default_factory=lambda: VERSION)  # always written
    entries: list[Disruption]


Record = TypeVar("Record", DrainRecord, StepRecord, DisruptionPage)


def encode(record: DrainRecord | StepRecord | DisruptionPage) -> dict[str, object]:
    """Convert a record to the value that is stored."""
    fields: dict[str, object] = msgspec.to_builtins(record)
    return fields


def decode(value: object, kind: type[Record]) -> Record:
    """Return the record of this kind for its stored value.

    Raises:
        MalformedRecordError: the value is not such a record, or its version is newer than this program supports.
    """
    try:
        record = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedRecordError(str(error)) from error
    if record.version > VERSION:
        raise MalformedRecordError(f"record version {record.version} is newer than the supported version {VERSION}")
    return record
