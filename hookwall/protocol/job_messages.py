"""Job submissions and answers as users send and get them: the platform's words are mapped to field names here."""

import math
import re
from typing import Annotated

import msgspec

from hookwall.protocol.json_messages import Amount, MalformedMessageError

MAX_TASKS = 100_000


JOB_REF_PATTERN = re.compile(r"run-[0-9]{1,18}\Z")


IMAGE_NAME_PATTERN = re.compile(r"[^\s/]{1,120}\Z")


JOB_KINDS = ("batch", "ensemble", "daemon")


RANKS = ("production", "urgent", "standard", "low")


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a user asks for. Stored as it came, under the same names."""

    job_id: str = msgspec.field(name="ref")
    job_class: str = msgspec.field(name="hookset")
    team: str = msgspec.field(name="owner")
    kind: str = msgspec.field(name="shape")
    rank: str
    task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = msgspec.field(name="pieces")
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory_gb: Amount = msgspec.field(name="memGb")
    image: str = msgspec.field(name="bundle")
    image_gb: Amount = msgspec.field(name="sizeGb")
    one_zone: bool = msgspec.field(name="samePlace")
    spread: bool
    spot: bool = msgspec.field(name="loaners")
    estimated_duration_s: Amount = msgspec.field(name="guessS")
    checkpoint_interval_s: Amount = msgspec.field(name="pinEveryS")
    checkpoint_cost_s: Amount = msgspec.field(name="pinCostS")
    types: list[str] | None = msgspec.field(name="hulls", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    due_s: Amount | None = msgspec.field(name="dueS", default=None)
    dependencies: list[str] | None = msgspec.field(name="awaits", default=None)  # jobs that have to be done before

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
        raise MalformedMessageError(str(e)) from None
    if not JOB_REF_PATTERN.match(spec.job_id):
        raise MalformedMessageError("ref: not a job id")
    if spec.kind not in JOB_KINDS:
        raise MalformedMessageError("shape: unknown")
    if spec.rank not in RANKS:
        raise MalformedMessageError("rank: unknown")
    if not IMAGE_NAME_PATTERN.match(spec.image) or not spec.team or not spec.job_class:
        raise MalformedMessageError("bundle, owner or hookset: empty or too long")
    if len(spec.team) > 120 or len(spec.job_class) > 120:
        raise MalformedMessageError("owner or hookset: too long")
    if spec.types is not None and (len(spec.types) > 64 or any(len(t) > 120 for t in spec.types)):
        raise MalformedMessageError("hulls: too long")
    if spec.zone is not None and len(spec.zone) > 120:
        raise MalformedMessageError("yard: too long")
    for value in (spec.cpus, spec.gpus, spec.memory_gb, spec.image_gb, spec.estimated_duration_s):
        if not math.isfinite(value):
            raise MalformedMessageError("an amount is not finite")
    if spec.cpus == 0 and spec.gpus == 0:
        raise MalformedMessageError("cores: a task takes neither cores nor cards")
    if spec.dependencies is None:
        return spec
    if not all(JOB_REF_PATTERN.match(name) for name in spec.dependencies):
        raise MalformedMessageError("awaits: not a list of job ids")
    return msgspec.structs.replace(spec, dependencies=list(dict.fromkeys(spec.dependencies)) or None)


def encode_job_status(ref: str, phase: str, done: int | None = None, running: int | None = None) -> bytes:
    """What users are told about a job."""
    body: dict[str, object] = {"ref": ref, "phase": phase}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    return msgspec.json.encode(body)
