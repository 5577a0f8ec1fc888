"""Worker heartbeats and the commands that answer them: the platform's words are mapped to field names here.

msgspec decodes and checks in one pass, which matters: a leader decodes dozens of heartbeats a second on a third of a
core.
"""

from functools import lru_cache

import msgspec

from hookwall.protocol.json_messages import BadMessage, Count


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
