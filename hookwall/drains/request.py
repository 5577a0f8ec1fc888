"""What an operator asks of a drain, checked before anything is stored."""

import hashlib
import math
import re
from collections.abc import Mapping, Sequence

import msgspec

from hookwall.drains.records import Afterwards, AtDeadline, DrainPhase, DrainRecord
from hookwall.workers import name_codec

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}", re.ASCII)
SHOWN = 8  # how many allowed values a message names


class InvalidRequestError(Exception):
    """The request can't be meant; the text names the field and what it may be."""


class Selection(msgspec.Struct, frozen=True, kw_only=True):
    """Which machines: those named, or all of a type and zone, or a share of these."""

    machines: tuple[str, ...] = ()
    type: str | None = None
    zone: str | None = None
    share: float | None = None


class DrainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A drain as it is asked for."""

    selection: Selection
    batch: int = 1
    finish_s: float = 0.0
    deadline_s: float | None = None
    at_deadline: AtDeadline = AtDeadline.GO_ON
    afterwards: Afterwards = Afterwards.RETURN
    unbudgeted: bool = False

    def digest(self) -> str:
        """The same for the same request."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:16]


class KnownMachine(msgspec.Struct, frozen=True):
    """A machine that the cloud lists, and how many tasks the records name there."""

    name: str
    type: str
    zone: str
    tasks: int = 0


def check_name(name: str) -> str:
    """A drain's name: it becomes part of a key."""
    if not NAME.fullmatch(name):
        raise InvalidRequestError(
            f"NAME: up to 64 of a-z, 0-9, '.', '_' and '-', the first a letter or digit; is {name!r}"
        )
    return name


def check(request: DrainRequest) -> DrainRequest:
    """Refuse numbers that can't be meant."""
    if request.batch < 1:
        raise InvalidRequestError(f"--batch: must be a whole number from 1, is {request.batch}")
    if not (math.isfinite(request.finish_s) and request.finish_s >= 0):
        raise InvalidRequestError(f"--finish: must be a number of seconds from 0, is {request.finish_s}")
    deadline = request.deadline_s
    if deadline is not None and not (math.isfinite(deadline) and deadline > 0):
        raise InvalidRequestError(f"--deadline: must be a positive number of seconds, is {deadline}")
    if deadline is None and request.at_deadline is not AtDeadline.GO_ON:
        raise InvalidRequestError("--at-deadline: needs --deadline")
    share = request.selection.share
    if share is not None and not 0.0 < share <= 1.0:
        raise InvalidRequestError(f"--share: must be a number above 0 and up to 1, is {share}")
    if request.selection.machines and (share is not None or request.selection.type or request.selection.zone):
        raise InvalidRequestError("--machine: can't be combined with --type, --zone or --share")
    if not request.selection.machines and share is None and not request.selection.type and not request.selection.zone:
        raise InvalidRequestError("which machines: name --machine, --type, --zone or --share")
    return request


def check_budgets(request: DrainRequest, teams: Sequence[str], budgeted: Mapping[str, object]) -> None:
    """Without a budget a team's jobs are only stopped where that was said explicitly."""
    missing = [team for team in teams if team not in budgeted]
    if missing and not request.unbudgeted:
        raise InvalidRequestError(
            f"no disruption budget for {_some(missing)}: add drain.budgets to the operations file, "
            "or allow unlimited disruption with --unbudgeted"
        )


def select(
    selection: Selection, machines: Sequence[KnownMachine], types: Sequence[str], zones: Sequence[str]
) -> list[str]:
    """The machines that are meant, or BadRequest. Of a share, those with the fewest tasks."""
    if selection.type is not None and selection.type not in types:
        raise InvalidRequestError(f"--type: unknown: {selection.type!r}; the machine types are {_some(types)}")
    if selection.zone is not None and selection.zone not in zones:
        raise InvalidRequestError(f"--zone: unknown: {selection.zone!r}; the zones are {_some(zones)}")
    names = {machine.name for machine in machines}
    unknown = sorted(set(selection.machines) - names)
    if unknown:
        raise InvalidRequestError(f"--machine: unknown: {_some(unknown)}; the machines are {_some(sorted(names))}")
    if selection.machines:
        return sorted(set(selection.machines))
    meant = [
        machine
        for machine in machines
        if selection.type in (None, machine.type) and selection.zone in (None, machine.zone)
    ]
    if not meant:
        raise InvalidRequestError("no machine is selected: the cloud lists none of this type and zone")
    count = len(meant) if selection.share is None else math.ceil(selection.share * len(meant) - 1e-9)
    meant.sort(key=lambda machine: (machine.tasks, machine.name))
    return sorted(machine.name for machine in meant[:count])


def _some(names: Sequence[str]) -> str:
    """Names for a message: not thousands of them."""
    shown = ", ".join(names[:SHOWN])
    return shown + (f" and {len(names) - SHOWN} more" if len(names) > SHOWN else "") if names else "none"


def new_record(request: DrainRequest, machines: Sequence[str], now: float) -> DrainRecord:
    """The record with which a drain begins."""
    return DrainRecord(
        phase=DrainPhase.ASKED,
        request=request.digest(),
        asked_at=now,
        changed_at=now,
        total=len(machines),
        remaining=name_codec.encode(machines),
        batch=request.batch,
        finish_s=request.finish_s,
        afterwards=request.afterwards,
        deadline_s=request.deadline_s,
        at_deadline=request.at_deadline,
        unbudgeted=request.unbudgeted,
    )


def aborted(record: DrainRecord, now: float) -> DrainRecord:
    """A drain that an operator aborts."""
    return msgspec.structs.replace(record, phase=DrainPhase.ABORTED, changed_at=now, reason="aborted by an operator")


def resumed(record: DrainRecord, now: float) -> DrainRecord:
    """An aborted drain that goes on with the machines that remain; its deadline counts from now."""
    return msgspec.structs.replace(record, phase=DrainPhase.ASKED, asked_at=now, changed_at=now, reason="")
