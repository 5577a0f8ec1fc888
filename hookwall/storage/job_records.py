"""Encoding of job records for the state service.

A record is one value below `hookwall/job/`. Its *plain* form is the one that every version reads. A
record that does not fit a value is *packed*: the description and the changing state are compressed,
and whatever does not fit beside the rest goes into *parts*, values of their own below
`hookwall/part/<job>/`. A part is named after its content and never changes, so a write of it that is
carried out late or twice does no harm. A record is written in the same transaction as its new parts,
or after them; either way a record that can be read names parts that are there.
"""

import hashlib
import zlib
from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys

LIMIT_SHARE = 0.9  # of a value's size limit: the service may count other white space than we write
LIMIT_MARGIN = 64  # bytes; a cancellation changes the phase of a record in place
CHUNK_NAME_BYTES = 12
PLAIN_SHARE = 0.75  # of a value, for a record in its plain form
DESCRIPTION_BYTES = 700
FRAME_BYTES = 64  # of JSON around the packed texts
MOST_UNPACKED = 4 * 1024 * 1024  # bytes; more than any legal record has


class MalformedRecordError(Exception):
    """A stored record can't be read."""


class RecordTooLargeError(Exception):
    """No form of the record fits the service's limits."""


@dataclass(slots=True)
class MissingChunksError(Exception):
    """The record names parts that are not known (yet)."""

    keys: list[str]


StoredAllocation = tuple[str, int, int, str]  # machine, tenure, attempt, task numbers as ranges


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What is stored about a job. `ended` is the time of day at which its last task was found done."""

    phase: str = "open"
    task_count: int = msgspec.field(name="n", default=0)
    next_attempt: int = msgspec.field(name="next", default=1)
    allocations: list[StoredAllocation] = msgspec.field(name="on", default=[])
    spec: JobSpec | None = None
    submitted_at: float | None = msgspec.field(name="at", default=None)
    done_tasks: str | None = msgspec.field(name="done", default=None)
    finished_at: float | None = msgspec.field(name="ended", default=None)


@dataclass(slots=True)
class EncodedRecord:
    """A record as it is written: the value of its own key, and the parts that the value names."""

    value: dict[str, Any]
    chunks: dict[str, str] = field(default_factory=dict)


def encode_ranges(numbers: Iterable[int]) -> str:
    """Ascending task numbers as ranges: `0-3,7`. A job of 100,000 tasks has to fit one value."""
    out: list[str] = []
    start = last = -2
    for number in sorted(numbers):
        if number == last + 1:
            last = number
            continue
        if start >= 0:
            out.append(f"{start}-{last}" if last > start else f"{start}")
        start = last = number
    if start >= 0:
        out.append(f"{start}-{last}" if last > start else f"{start}")
    return ",".join(out)


def decode_ranges(text: str) -> list[int]:
    """The numbers that `pack_numbers` wrote."""
    out: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        out.extend(range(int(first), int(last or first) + 1))
    return out


def usable_value_bytes(value_kb: float) -> int:
    """How many bytes of JSON a value may have, with some room left."""
    return max(256, int(value_kb * 1024 * LIMIT_SHARE) - LIMIT_MARGIN)


def plain_allocations_bytes(value_kb: float) -> float:
    """How many bytes of a value that holds a record in its plain form are left for its starts."""
    return value_kb * 1024 * PLAIN_SHARE - DESCRIPTION_BYTES


def compress(value: object) -> str:
    """Any JSON value as a short text without characters that JSON escapes."""
    return compress_bytes(msgspec.json.encode(value))


def decompress(text: str, kind: Any) -> Any:
    """The value that `compress` wrote, as the given type; MalformedRecord for anything else."""
    try:
        return msgspec.json.decode(decompress_bytes(text), type=kind)
    except msgspec.DecodeError as error:
        raise MalformedRecordError(str(error)) from None


def compress_bytes(raw: bytes) -> str:
    """Bytes as a short text without characters that JSON escapes."""
    return b64encode(zlib.compress(raw, 6)).decode()


def decompress_bytes(text: str) -> bytes:
    """The bytes that `compress_bytes` was given; MalformedRecord for anything else."""
    try:
        stream = zlib.decompressobj()
        raw = stream.decompress(b64decode(text, validate=True), MOST_UNPACKED)
    except (ValueError, zlib.error) as error:
        raise MalformedRecordError(str(error)) from None
    if not stream.eof:
        raise MalformedRecordError("packed text is cut off or too long")
    return raw


def encode_plain(record: JobRecord) -> dict[str, Any]:
    """The form that every version reads; it says `on` even where it is empty."""
    value = msgspec.to_builtins(record)
    value.setdefault("n", record.task_count)
    value.setdefault("phase", record.phase)
    value.setdefault("next", record.next_attempt)
    value.setdefault("on", [])
    return value


def json_bytes(value: object) -> int:
    """Bytes of a value's JSON."""
    return len(msgspec.json.encode(value))


def chunk_key(ref: str, text: str) -> str:
    """The key of a part, named after its content."""
    return f"{keys.CHUNK_PREFIX}{ref}/{hashlib.blake2b(text.encode(), digest_size=CHUNK_NAME_BYTES).hexdigest()}"


def _split(ref: str, text: str, limit: int) -> dict[str, str]:
    """A text as parts that fit, in order."""
    step = limit - FRAME_BYTES
    pieces = [text[i : i + step] for i in range(0, len(text), step)]
    return {chunk_key(ref, piece): piece for piece in pieces}


def _names(parts: dict[str, str]) -> list[str]:
    return [key.rpartition("/")[2] for key in parts]


def encode_record(ref: str, record: JobRecord, limit: int | None) -> EncodedRecord:
    """The shortest form that fits `limit` bytes a value; None: the plain form, whatever its size."""
    value = encode_plain(record)
    if limit is None:
        value.pop("ended", None)  # older programs drop it
        return EncodedRecord(value)
    if json_bytes(value) <= limit:
        return EncodedRecord(value)
    head: dict[str, Any] = {"phase": record.phase, "n": record.task_count, "next": record.next_attempt}
    if record.finished_at is not None:
        head["ended"] = record.finished_at
    fixed = compress([record.spec, record.submitted_at])
    state = compress([record.allocations, record.done_tasks])
    room = limit - json_bytes(head) - FRAME_BYTES
    if len(fixed) + len(state) <= room:
        return EncodedRecord({**head, "packed": {"fixed": fixed, "state": state}})
    # The description never changes, so its parts are written once.
    parts = _split(ref, fixed, limit)
    names = _names(parts)
    room -= json_bytes(names)
    if len(state) <= room:
        return EncodedRecord({**head, "packed": {"fixed": names, "state": state}}, parts)
    more = _split(ref, state, limit)
    if json_bytes(_names(more)) > room:
        raise RecordTooLargeError(ref)
    return EncodedRecord({**head, "packed": {"fixed": names, "state": _names(more)}}, {**parts, **more})


def chunk_keys(ref: str, value: object) -> list[str]:
    """The keys of the parts that a stored value names."""
    packed = value.get("packed") if isinstance(value, dict) else None
    if not isinstance(packed, dict):
        return []
    named: list[str] = []
    for names in (packed.get("fixed"), packed.get("state")):
        if isinstance(names, list):
            named.extend(f"{keys.CHUNK_PREFIX}{ref}/{name}" for name in names)
    return named


def decode_record(ref: str, value: object, part: Callable[[str], str | None]) -> JobRecord:
    """A stored record in any form. `part` gives a part's text, or None if it is not known."""
    missing = [key for key in chunk_keys(ref, value) if part(key) is None]
    if missing:
        raise MissingChunksError(missing)
    try:
        record = msgspec.convert(value, JobRecord)
        packed = value.get("packed") if isinstance(value, dict) else None
        if isinstance(packed, dict):
            record.spec, record.submitted_at = _unpack(ref, packed["fixed"], part, tuple[JobSpec | None, float | None])
            record.allocations, record.done_tasks = _unpack(
                ref, packed["state"], part, tuple[list[StoredAllocation], str | None]
            )
        return record
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise MalformedRecordError(str(error)) from None


def _unpack(ref: str, text: object, part: Callable[[str], str | None], kind: Any) -> Any:
    """One packed text, inline or in parts."""
    if isinstance(text, list):
        text = "".join(part(f"{keys.CHUNK_PREFIX}{ref}/{name}") or "" for name in text)
    if not isinstance(text, str):
        raise MalformedRecordError("packed text is missing")
    return decompress(text, kind)
