"""Job submissions and responses as users send and receive them, with the platform's names mapped.

Error texts use the field names that users see.
"""

import json
import math
import re
from typing import Annotated

import msgspec

from hookwall.protocol.errors import MalformedMessageError
from hookwall.protocol.json_messages import Amount

MAX_TASKS = 100_000
MAX_NAME_CHARACTERS = 120
MAX_TYPES = 64

JOB_ID_PATTERN = re.compile(r"run-[0-9]{1,18}\Z")
IMAGE_NAME_PATTERN = re.compile(r"[^\s/]{1,120}\Z")

GANG_KIND = "ensemble"
SERVICE_KIND = "daemon"
JOB_KINDS = ("batch", GANG_KIND, SERVICE_KIND)
RANKS = ("production", "urgent", "standard", "low")


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its user submits it. It is stored as it was received, under the same field names.

    Attributes:
        job_class: the class of the job, for which the settings may have service-level objectives.
        team: the team whose quota the job counts towards.
        kind: one of `JOB_KINDS`.
        rank: one of `RANKS`.
        cpus, gpus, memory_gb: the resources that one task requests.
        image, image_gb: the image that a machine must have fetched before a task can start, and its size.
        one_zone: whether all tasks must be in the same zone.
        spread: whether at most half of the tasks, rounded up, may be in one zone.
        spot: whether spot instances may run the job.
        estimated_duration_s: the user's estimate of a task's run time without fetching its image.
        checkpoint_interval_s: the progress after which a running task checkpoints by itself; 0: it never does so.
        checkpoint_cost_s: how long a task needs to checkpoint when it is stopped.
        types, zone: the allowed machine types and the only allowed zone; None: any.
        due_s: the time from the job's submission within which it should be complete; None: no deadline.
        dependencies: the jobs that have to be done before this job starts; None: there are none.
    """

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
    dependencies: list[str] | None = msgspec.field(name="awaits", default=None)

    @property
    def gang(self) -> bool:
        """Whether the tasks are a gang: all of them run at the same time, or none does."""
        return self.kind == GANG_KIND

    @property
    def service(self) -> bool:
        """Whether the tasks are replicas that run until the job is cancelled (docs/questions.md, 1)."""
        return self.kind == SERVICE_KIND


_decoder = msgspec.json.Decoder(JobSpec)


def decode_job(body: bytes) -> JobSpec:
    """Decode a submission; raise MalformedMessageError if it is malformed."""
    try:
        spec = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(_out_of_range_amount(body) or str(error)) from error
    _check_names(spec)
    _check_amounts(spec)
    return _without_duplicate_dependencies(spec)


def _out_of_range_amount(body: bytes) -> str | None:
    """Return what is wrong with a submission that contains a number beyond the range of a double, naming its field.

    msgspec refuses such a number without naming the field. Return None if there is no such number.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    for name, value in fields.items():
        if isinstance(value, float) and not math.isfinite(value):
            return f"{name}: number out of range"
    return None


def _check_names(spec: JobSpec) -> None:
    if not JOB_ID_PATTERN.match(spec.job_id):
        raise MalformedMessageError("ref: not a job id")
    if spec.kind not in JOB_KINDS:
        raise MalformedMessageError("shape: unknown")
    if spec.rank not in RANKS:
        raise MalformedMessageError("rank: unknown")
    if not IMAGE_NAME_PATTERN.match(spec.image) or not spec.team or not spec.job_class:
        raise MalformedMessageError("bundle, owner or hookset: empty or too long")
    if _is_too_long(spec.team) or _is_too_long(spec.job_class):
        raise MalformedMessageError("owner or hookset: too long")
    if spec.types is not None and (len(spec.types) > MAX_TYPES or any(_is_too_long(name) for name in spec.types)):
        raise MalformedMessageError("hulls: too long")
    if spec.zone is not None and _is_too_long(spec.zone):
        raise MalformedMessageError("yard: too long")


def _is_too_long(name: str) -> bool:
    return len(name) > MAX_NAME_CHARACTERS


def _check_amounts(spec: JobSpec) -> None:
    if spec.cpus == 0 and spec.gpus == 0:
        raise MalformedMessageError("cores: a task takes neither cores nor cards")


def _without_duplicate_dependencies(spec: JobSpec) -> JobSpec:
    if spec.dependencies is None:
        return spec
    if not all(JOB_ID_PATTERN.match(job_id) for job_id in spec.dependencies):
        raise MalformedMessageError("awaits: not a list of job ids")
    return msgspec.structs.replace(spec, dependencies=list(dict.fromkeys(spec.dependencies)) or None)


def encode_job_status(job_id: str, phase: str, done: int | None = None, running: int | None = None) -> bytes:
    """Encode the status of a job for users: its phase and, if known, how many of its tasks are done and running."""
    body: dict[str, object] = {"ref": job_id, "phase": phase}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    return msgspec.json.encode(body)
