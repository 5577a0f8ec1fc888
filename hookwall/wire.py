"""JSON on the wire: the only place that knows the platform's words for things.

Inside, the field's own terms are used (task, machine, zone, attempt, token). msgspec decodes and
checks in one pass, which matters: a leader decodes dozens of reports a second on a third of a core.
"""

import math
import re
from functools import lru_cache
from typing import Annotated, TypeVar

import msgspec

MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
REF = re.compile(r"run-[0-9]{1,18}\Z")
NAME = re.compile(r"[^\s/]{1,120}\Z")
KINDS = ("batch", "ensemble", "daemon")
RANKS = ("production", "urgent", "standard", "low")


Message = TypeVar("Message")


class BadMessage(Exception):
    """A message is malformed; the text says how."""


Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a user asks for. Stored as it came, under the same names."""

    ref: str
    job_class: str = msgspec.field(name="hookset")
    team: str = msgspec.field(name="owner")
    kind: str = msgspec.field(name="shape")
    rank: str
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = msgspec.field(name="pieces")
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory: Amount = msgspec.field(name="memGb")
    image: str = msgspec.field(name="bundle")
    image_gb: Amount = msgspec.field(name="sizeGb")
    one_zone: bool = msgspec.field(name="samePlace")
    spread: bool
    spot: bool = msgspec.field(name="loaners")
    estimate_s: Amount = msgspec.field(name="guessS")
    checkpoint_s: Amount = msgspec.field(name="pinEveryS")
    save_s: Amount = msgspec.field(name="pinCostS")
    types: list[str] | None = msgspec.field(name="hulls", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    due_s: Amount | None = msgspec.field(name="dueS", default=None)
    needs: list[str] | None = msgspec.field(name="awaits", default=None)  # jobs that have to be done before

    @property
    def gang(self) -> bool:
        return self.kind == "ensemble"

    @property
    def service(self) -> bool:
        """Replicas that run until the job is cancelled (docs/questions.md, 1)."""
        return self.kind == "daemon"


_spec = msgspec.json.Decoder(JobSpec)


def decode_job(body: bytes) -> JobSpec:
    """A submission, or BadMessage."""
    try:
        spec = _spec.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise BadMessage(str(e)) from None
    if not REF.match(spec.ref):
        raise BadMessage("ref: not a job id")
    if spec.kind not in KINDS:
        raise BadMessage("shape: unknown")
    if spec.rank not in RANKS:
        raise BadMessage("rank: unknown")
    if not NAME.match(spec.image) or not spec.team or not spec.job_class:
        raise BadMessage("bundle, owner or hookset: empty or too long")
    if len(spec.team) > 120 or len(spec.job_class) > 120:
        raise BadMessage("owner or hookset: too long")
    if spec.types is not None and (len(spec.types) > 64 or any(len(t) > 120 for t in spec.types)):
        raise BadMessage("hulls: too long")
    if spec.zone is not None and len(spec.zone) > 120:
        raise BadMessage("yard: too long")
    for value in (spec.cpus, spec.gpus, spec.memory, spec.image_gb, spec.estimate_s):
        if not math.isfinite(value):
            raise BadMessage("an amount is not finite")
    if spec.cpus == 0 and spec.gpus == 0:
        raise BadMessage("cores: a task takes neither cores nor cards")
    if spec.needs is None:
        return spec
    if not all(REF.match(name) for name in spec.needs):
        raise BadMessage("awaits: not a list of job ids")
    return msgspec.structs.replace(spec, needs=list(dict.fromkeys(spec.needs)) or None)


class TaskReport(msgspec.Struct):
    piece: str
    attempt: Count = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    saved: bool = msgspec.field(name="stored", default=False)


class Beat(msgspec.Struct):
    machine: str = msgspec.field(name="host")
    tenure: Count
    tick: Count
    token: Count = msgspec.field(name="mandate")
    addr: str = ""
    type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool = msgspec.field(name="loaners", default=False)
    notice_s: float | None = msgspec.field(name="recallS", default=None)
    tasks: list[TaskReport] = msgspec.field(name="pieces", default_factory=list)


_beat = msgspec.json.Decoder(Beat)


def decode_beat(body: bytes) -> Beat:
    """A worker's report, or BadMessage."""
    try:
        return _beat.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise BadMessage(str(e)) from None


@lru_cache(maxsize=8192)  # each report names the same tasks again; a few more than the machines run at once
def split_task(piece: str) -> tuple[str, int] | None:
    """`run-000412/3` -> (job, task)."""
    ref, sep, number = piece.rpartition("/")
    if not sep or not number.isdigit() or len(number) > 6:
        return None
    return ref, int(number)


class Order(msgspec.Struct, omit_defaults=True):
    verb: str
    piece: str
    attempt: int = msgspec.field(name="try")
    grace_s: float | None = msgspec.field(name="windDownS", default=None)


def launch(ref: str, task: int, attempt: int) -> Order:
    return Order("launch", f"{ref}/{task}", attempt)


def stop(piece: str, attempt: int, grace_s: float) -> Order:
    return Order("stop", piece, attempt, grace_s)


def forget(piece: str, attempt: int) -> Order:
    return Order("forget", piece, attempt)


class BeatAnswer(msgspec.Struct):
    token: int = msgspec.field(name="mandate")
    orders: list[Order]


class MachineType(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="label")
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory: Amount = msgspec.field(name="memGb")
    cache_gb: Amount = msgspec.field(name="localGb", default=0.0)
    fetch_gb_s: Amount = msgspec.field(name="pullGbPerS", default=1.0)
    price: Amount = 0.0
    spot_price: Amount = msgspec.field(name="spotPrice", default=0.0)
    boot_s: Amount = msgspec.field(name="startupS", default=30.0)
    zones: list[str] = msgspec.field(name="yards", default_factory=list)


class Catalog(msgspec.Struct, frozen=True):
    types: list[MachineType] = msgspec.field(name="hulls")


class Listed(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="ref")
    type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool = msgspec.field(name="loaners", default=False)
    phase: str = "running"
    age_s: float = msgspec.field(name="heldS", default=0.0)


class MachineList(msgspec.Struct, frozen=True):
    machines: list[Listed] = msgspec.field(name="hosts")
    more: bool = False


class Rented(msgspec.Struct, frozen=True):
    machines: list[str] = msgspec.field(name="hosts")


def job_answer(ref: str, phase: str, done: int | None = None, running: int | None = None) -> bytes:
    """What users are told about a job."""
    body: dict[str, object] = {"ref": ref, "phase": phase}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    return msgspec.json.encode(body)


def convert(raw: object, kind: type[Message]) -> Message:
    """A decoded body as one of the kinds above, or BadMessage."""
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as e:
        raise BadMessage(str(e)) from None
