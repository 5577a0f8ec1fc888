"""Worker heartbeats and the commands that answer them: the platform's words are mapped to field names here.

msgspec decodes and checks in one pass, which matters: a leader decodes dozens of heartbeats a second on a third of a
core.
"""

from functools import lru_cache

import msgspec

from hookwall.protocol.json_messages import Count, MalformedMessageError


class TaskStatus(msgspec.Struct):
    task_id: str = msgspec.field(name="piece")
    attempt: Count = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    checkpointed: bool = msgspec.field(name="stored", default=False)


class Heartbeat(msgspec.Struct):
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


_beat = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """A worker's report, or BadMessage."""
    try:
        return _beat.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise MalformedMessageError(str(e)) from None


@lru_cache(maxsize=8192)  # each report names the same tasks again; a few more than the machines run at once
def parse_task_id(piece: str) -> tuple[str, int] | None:
    """`run-000412/3` -> (job, task)."""
    ref, sep, number = piece.rpartition("/")
    if not sep or not number.isdigit() or len(number) > 6:
        return None
    return ref, int(number)


class Command(msgspec.Struct, omit_defaults=True):
    action: str = msgspec.field(name="verb")
    task_id: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    grace_s: float | None = msgspec.field(name="windDownS", default=None)


def launch_command(ref: str, task: int, attempt: int) -> Command:
    return Command("launch", f"{ref}/{task}", attempt)


def stop_command(piece: str, attempt: int, grace_s: float) -> Command:
    return Command("stop", piece, attempt, grace_s)


def forget_command(piece: str, attempt: int) -> Command:
    return Command("forget", piece, attempt)


class HeartbeatResponse(msgspec.Struct):
    fencing_token: int = msgspec.field(name="mandate")
    commands: list[Command] = msgspec.field(name="orders")
