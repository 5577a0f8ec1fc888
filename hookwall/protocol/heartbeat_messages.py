"""Worker heartbeats and the commands in the responses to them, with the platform's names mapped.

msgspec decodes and validates in one pass. This matters because a leader decodes dozens of heartbeats a second on a
third of a core.
"""

from functools import lru_cache
from typing import NamedTuple

import msgspec

from hookwall.protocol.errors import MalformedMessageError
from hookwall.protocol.json_messages import Count

MAX_TASK_DIGITS = 6
TASK_ID_CACHE_SIZE = 8192  # slightly more than the number of tasks that all machines run at once


class TaskStatus(msgspec.Struct):
    """The status of a task attempt, as its worker reports it.

    Attributes:
        cause: why the attempt has exited; None until then.
        checkpointed: whether its progress was stored when it was stopped.
    """

    task_id: str = msgspec.field(name="piece")
    attempt: Count = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    checkpointed: bool = msgspec.field(name="stored", default=False)


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat: its machine, and the status of all tasks on it.

    Attributes:
        epoch: starts at 1 and increases each time the worker's lease expires.
        sequence: increases with every message of the worker; the heartbeat with the larger (epoch, sequence) is newer.
        fencing_token: the highest fencing token that the worker has received.
        preemption_notice_s: seconds until the cloud preempts the machine; None if it is not being preempted.
        tasks: all tasks on the machine; exited ones are included until a command tells the worker to forget them.
    """

    machine: str = msgspec.field(name="host")
    epoch: Count = msgspec.field(name="tenure")
    sequence: Count = msgspec.field(name="tick")
    fencing_token: Count = msgspec.field(name="mandate")
    address: str = msgspec.field(name="addr", default="")
    type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool = msgspec.field(name="loaners", default=False)
    preemption_notice_s: float | None = msgspec.field(name="recallS", default=None)
    tasks: list[TaskStatus] = msgspec.field(name="pieces", default_factory=list)


_decoder = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's heartbeat; raise MalformedMessageError if it is malformed."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from error


class TaskId(NamedTuple):
    """A task, by its job and its number within the job."""

    job_id: str
    task: int


@lru_cache(maxsize=TASK_ID_CACHE_SIZE)  # successive heartbeats name the same tasks
def parse_task_id(text: str) -> TaskId | None:
    """Parse a text such as `run-000412/3` into job id and task number; return None if the text is not a task id."""
    job_id, separator, number = text.rpartition("/")
    if not separator or not number.isdigit() or len(number) > MAX_TASK_DIGITS:
        return None
    return TaskId(job_id, int(number))


class Command(msgspec.Struct, omit_defaults=True):
    """A command that tells a worker what to do with an attempt of a task."""

    action: str = msgspec.field(name="verb")
    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float | None = msgspec.field(name="windDownS", default=None)


def launch_command(job_id: str, task: int, attempt: int) -> Command:
    """Return the command to start a new attempt of a task."""
    return Command("launch", f"{job_id}/{task}", attempt)


def stop_command(task_id: str, attempt: int, grace_s: float) -> Command:
    """Return the command to stop an attempt, which may checkpoint if that takes at most `grace_s` seconds."""
    return Command("stop", task_id, attempt, grace_s)


def forget_command(task_id: str, attempt: int) -> Command:
    """Return the command to stop reporting an attempt that has ended."""
    return Command("forget", task_id, attempt)


class HeartbeatResponse(msgspec.Struct):
    """The response to a heartbeat: the leader's fencing token, and its commands for the worker."""

    fencing_token: int = msgspec.field(name="mandate")
    commands: list[Command] = msgspec.field(name="orders")
