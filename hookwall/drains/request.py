"""An operator's request for a drain: its validation, the selection of machines and the resulting records.

Invariant: a request is validated before anything is stored.
"""

import hashlib
import math
import re
from collections.abc import Mapping, Sequence

import msgspec

from hookwall.drains.errors import InvalidDrainRequestError
from hookwall.drains.records import DeadlinePolicy, DrainPhase, DrainRecord, EmptyMachinePolicy
from hookwall.workers import name_codec
from hookwall.workers.resources import ROUNDING_TOLERANCE

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}", re.ASCII)
MAX_NAMES_SHOWN = 8  # how many allowed values a message lists


class Selection(msgspec.Struct, frozen=True, kw_only=True):
    """Selection of machines: the named ones, or all of a type and zone, or a share of these."""

    machines: tuple[str, ...] = ()
    machine_type: str | None = msgspec.field(name="type", default=None)
    zone: str | None = None
    share: float | None = None


class DrainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The terms of a requested drain. The encoded names are part of the stored digest, so they never change."""

    selection: Selection
    batch_size: int = msgspec.field(name="batch", default=1)
    finish_grace_s: float = msgspec.field(name="finish_s", default=0.0)
    deadline_s: float | None = None
    deadline_policy: DeadlinePolicy = msgspec.field(name="at_deadline", default=DeadlinePolicy.CONTINUE)
    empty_machine_policy: EmptyMachinePolicy = msgspec.field(name="afterwards", default=EmptyMachinePolicy.DELETE)
    allow_unbudgeted: bool = msgspec.field(name="unbudgeted", default=False)

    def digest(self) -> str:
        """Return sixteen hexadecimal digits that are the same for equal requests."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:16]


class SelectableMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's inventory, and how many tasks the records place on it."""

    name: str
    type: str
    zone: str
    task_count: int = 0


def validate_name(name: str) -> str:
    """Return the drain's name, which becomes part of a key, or raise InvalidDrainRequestError."""
    if not NAME_PATTERN.fullmatch(name):
        raise InvalidDrainRequestError(
            f"NAME: up to 64 of a-z, 0-9, '.', '_' and '-', the first a letter or digit; is {name!r}"
        )
    return name


def validate_request(request: DrainRequest) -> DrainRequest:
    """Return the request, or raise InvalidDrainRequestError for invalid numbers and combinations."""
    if request.batch_size < 1:
        raise InvalidDrainRequestError(f"--batch: must be a whole number from 1, is {request.batch_size}")
    grace_s = request.finish_grace_s
    if not (math.isfinite(grace_s) and grace_s >= 0):
        raise InvalidDrainRequestError(f"--finish: must be a number of seconds from 0, is {grace_s}")
    deadline_s = request.deadline_s
    if deadline_s is not None and not (math.isfinite(deadline_s) and deadline_s > 0):
        raise InvalidDrainRequestError(f"--deadline: must be a positive number of seconds, is {deadline_s}")
    if deadline_s is None and request.deadline_policy is not DeadlinePolicy.CONTINUE:
        raise InvalidDrainRequestError("--at-deadline: needs --deadline")
    _validate_selection(request.selection)
    return request


def _validate_selection(selection: Selection) -> None:
    share = selection.share
    if share is not None and not 0.0 < share <= 1.0:
        raise InvalidDrainRequestError(f"--share: must be a number above 0 and up to 1, is {share}")
    by_filter = share is not None or selection.machine_type or selection.zone
    if selection.machines and by_filter:
        raise InvalidDrainRequestError("--machine: can't be combined with --type, --zone or --share")
    if not selection.machines and not by_filter:
        raise InvalidDrainRequestError("which machines: name --machine, --type, --zone or --share")


def require_budgets(request: DrainRequest, teams: Sequence[str], budgeted: Mapping[str, object]) -> None:
    """Raise InvalidDrainRequestError if a team has no budget, unless the request allows that explicitly."""
    missing = [team for team in teams if team not in budgeted]
    if missing and not request.allow_unbudgeted:
        raise InvalidDrainRequestError(
            f"no disruption budget for {_list_names(missing)}: add drain.budgets to the operations file, "
            "or allow unlimited disruption with --unbudgeted"
        )


def select_machines(
    selection: Selection, machines: Sequence[SelectableMachine], types: Sequence[str], zones: Sequence[str]
) -> list[str]:
    """Return the sorted names of the selected machines. A share takes the machines with the fewest tasks.

    Raises:
        InvalidDrainRequestError: a machine, type or zone is unknown, or nothing is selected.
    """
    if selection.machine_type is not None and selection.machine_type not in types:
        raise InvalidDrainRequestError(
            f"--type: unknown: {selection.machine_type!r}; the machine types are {_list_names(types)}"
        )
    if selection.zone is not None and selection.zone not in zones:
        raise InvalidDrainRequestError(f"--zone: unknown: {selection.zone!r}; the zones are {_list_names(zones)}")
    names = {machine.name for machine in machines}
    unknown = sorted(set(selection.machines) - names)
    if unknown:
        raise InvalidDrainRequestError(
            f"--machine: unknown: {_list_names(unknown)}; the machines are {_list_names(sorted(names))}"
        )
    if selection.machines:
        return sorted(set(selection.machines))
    selected = [
        machine
        for machine in machines
        if selection.machine_type in (None, machine.type) and selection.zone in (None, machine.zone)
    ]
    if not selected:
        raise InvalidDrainRequestError("no machine is selected: the cloud lists none of this type and zone")
    selected.sort(key=lambda machine: (machine.task_count, machine.name))
    return sorted(machine.name for machine in selected[: _share_of(len(selected), selection.share)])


def _share_of(count: int, share: float | None) -> int:
    """How many of `count` machines a share is, rounded up: 0.1 of 30 is 3. All of them without a share."""
    return count if share is None else math.ceil(share * count - ROUNDING_TOLERANCE)


def _list_names(names: Sequence[str]) -> str:
    """Format names for a message, which lists at most `MAX_NAMES_SHOWN` of them."""
    if not names:
        return "none"
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    hidden = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {hidden} more" if hidden > 0 else shown


def new_drain_record(request: DrainRequest, machines: Sequence[str], now: float) -> DrainRecord:
    """Return the initial record of a drain."""
    return DrainRecord(
        phase=DrainPhase.REQUESTED,
        request_digest=request.digest(),
        requested_at=now,
        changed_at=now,
        machine_count=len(machines),
        remaining_machines=name_codec.encode(machines),
        batch_size=request.batch_size,
        finish_grace_s=request.finish_grace_s,
        empty_machine_policy=request.empty_machine_policy,
        deadline_s=request.deadline_s,
        deadline_policy=request.deadline_policy,
        allow_unbudgeted=request.allow_unbudgeted,
    )


def aborted_record(record: DrainRecord, now: float) -> DrainRecord:
    """Return the record of a drain that an operator aborts."""
    return msgspec.structs.replace(
        record, phase=DrainPhase.ABORTED, changed_at=now, wait_reason="aborted by an operator"
    )


def resumed_record(record: DrainRecord, now: float) -> DrainRecord:
    """Return the record of an aborted drain that resumes with its remaining machines; its deadline counts from now."""
    return msgspec.structs.replace(record, phase=DrainPhase.REQUESTED, requested_at=now, changed_at=now, wait_reason="")
