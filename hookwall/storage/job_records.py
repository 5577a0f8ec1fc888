"""Encoding of job records for the key-value store.

A record is one value below `hookwall/job/`. Its *plain* form is the one that every version reads. A record that does
not fit a value is *packed*: the description and the changing state are compressed, and whatever does not fit beside the
rest goes into *chunks*, values of their own below `hookwall/part/<job>/`.

Invariant: a record that can be read names chunks that are there. A chunk is named after its content and never changes,
so a write of it that is carried out late or twice does no harm, and a record is written in the same transaction as its
new chunks, or after them.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.compression import compress, compress_bytes, decompress, decompress_bytes
from hookwall.storage.errors import MalformedRecordError, MissingChunksError, RecordTooLargeError
from hookwall.storage.task_ranges import decode_ranges, encode_ranges

__all__ = [
    "CHUNK_NAME_BYTES",
    "EncodedRecord",
    "JobRecord",
    "MalformedRecordError",
    "MissingChunksError",
    "RecordTooLargeError",
    "StoredAllocation",
    "chunk_key",
    "chunk_keys",
    "compress",
    "compress_bytes",
    "decode_ranges",
    "decode_record",
    "decompress",
    "decompress_bytes",
    "encode_plain",
    "encode_ranges",
    "encode_record",
    "json_bytes",
    "plain_allocations_bytes",
    "usable_value_bytes",
]

USABLE_SHARE = 0.9  # of a value's size limit: the store may count other white space than we write
USABLE_MARGIN_BYTES = 64  # a cancellation changes the phase of a record in place
MIN_USABLE_BYTES = 256
CHUNK_NAME_BYTES = 12
PLAIN_SHARE = 0.75  # of a value, for a record in its plain form
DESCRIPTION_BYTES = 700
FRAME_BYTES = 64  # of JSON around the packed texts

# Stored names, which never change.
PHASE = "phase"
TASK_COUNT = "n"
NEXT_ATTEMPT = "next"
ALLOCATIONS = "on"
FINISHED_AT = "ended"
PACKED = "packed"
PACKED_DESCRIPTION = "fixed"
PACKED_STATE = "state"

T = TypeVar("T")
ChunkLookup = Callable[[str], str | None]  # a chunk's text by its key, or None if it is not known


StoredAllocation = tuple[str, int, int, str]  # machine, epoch of its agent, attempt, ranges of tasks


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What is stored about a job.

    `submitted_at` and `finished_at` are times of day in seconds, the latter of when its last task was found done.
    `done_tasks` are ranges of tasks (`encode_ranges`).
    """

    phase: str = msgspec.field(name=PHASE, default="open")
    task_count: int = msgspec.field(name=TASK_COUNT, default=0)
    next_attempt: int = msgspec.field(name=NEXT_ATTEMPT, default=1)
    allocations: list[StoredAllocation] = msgspec.field(name=ALLOCATIONS, default_factory=list)
    spec: JobSpec | None = None
    submitted_at: float | None = msgspec.field(name="at", default=None)
    done_tasks: str | None = msgspec.field(name="done", default=None)
    finished_at: float | None = msgspec.field(name=FINISHED_AT, default=None)


@dataclass(slots=True)
class EncodedRecord:
    """A record as it is written: the value of its own key, and the chunks that the value names, by their keys."""

    value: dict[str, object]
    chunks: dict[str, str] = field(default_factory=dict)


def usable_value_bytes(value_kb: float) -> int:
    """How many bytes of JSON a value may have, with some room left, under a limit of so many KiB."""
    return max(MIN_USABLE_BYTES, int(value_kb * 1024 * USABLE_SHARE) - USABLE_MARGIN_BYTES)


def plain_allocations_bytes(value_kb: float) -> float:
    """How many bytes of a value that holds a record in its plain form are left for its allocations."""
    return value_kb * 1024 * PLAIN_SHARE - DESCRIPTION_BYTES


def encode_plain(record: JobRecord) -> dict[str, object]:
    """The form that every version reads; it has the allocations even where there are none."""
    value: dict[str, object] = msgspec.to_builtins(record)
    value.setdefault(TASK_COUNT, record.task_count)
    value.setdefault(PHASE, record.phase)
    value.setdefault(NEXT_ATTEMPT, record.next_attempt)
    value.setdefault(ALLOCATIONS, [])
    return value


def json_bytes(value: object) -> int:
    """Bytes of a value's JSON."""
    return len(msgspec.json.encode(value))


def chunk_key(job_id: str, text: str) -> str:
    """The key of a chunk, named after its content."""
    return f"{keys.CHUNK_PREFIX}{job_id}/{hashlib.blake2b(text.encode(), digest_size=CHUNK_NAME_BYTES).hexdigest()}"


def _split(job_id: str, text: str, limit: int) -> dict[str, str]:
    """A text as chunks that fit, in order."""
    step = limit - FRAME_BYTES
    texts = [text[start : start + step] for start in range(0, len(text), step)]
    return {chunk_key(job_id, chunk): chunk for chunk in texts}


def _names(chunks: dict[str, str]) -> list[str]:
    return [key.rpartition("/")[2] for key in chunks]


def encode_record(job_id: str, record: JobRecord, limit: int | None) -> EncodedRecord:
    """The shortest form that fits `limit` bytes a value; None: the plain form, whatever its size.

    Raises:
        RecordTooLargeError: no form fits.
    """
    value = encode_plain(record)
    if limit is None:
        value.pop(FINISHED_AT, None)  # older programs drop it
        return EncodedRecord(value)
    if json_bytes(value) <= limit:
        return EncodedRecord(value)
    return _encode_packed(job_id, record, limit)


def _encode_packed(job_id: str, record: JobRecord, limit: int) -> EncodedRecord:
    """The shortest packed form that fits."""
    head: dict[str, object] = {
        PHASE: record.phase, TASK_COUNT: record.task_count, NEXT_ATTEMPT: record.next_attempt,
    }  # fmt: skip
    if record.finished_at is not None:
        head[FINISHED_AT] = record.finished_at
    description = compress([record.spec, record.submitted_at])
    state = compress([record.allocations, record.done_tasks])
    room = limit - json_bytes(head) - FRAME_BYTES
    if len(description) + len(state) <= room:
        return EncodedRecord(_packed(head, description, state))
    # The description never changes, so its chunks are written once.
    description_chunks = _split(job_id, description, limit)
    names = _names(description_chunks)
    room -= json_bytes(names)
    if len(state) <= room:
        return EncodedRecord(_packed(head, names, state), description_chunks)
    state_chunks = _split(job_id, state, limit)
    state_names = _names(state_chunks)
    if json_bytes(state_names) > room:
        raise RecordTooLargeError(job_id)
    return EncodedRecord(_packed(head, names, state_names), {**description_chunks, **state_chunks})


def _packed(head: dict[str, object], description: str | list[str], state: str | list[str]) -> dict[str, object]:
    """The value of a packed record; each part is a text, or the names of the chunks that it is in."""
    return {**head, PACKED: {PACKED_DESCRIPTION: description, PACKED_STATE: state}}


def chunk_keys(job_id: str, value: object) -> list[str]:
    """The keys of the chunks that a stored value names."""
    packed = value.get(PACKED) if isinstance(value, dict) else None
    if not isinstance(packed, dict):
        return []
    named: list[str] = []
    for names in (packed.get(PACKED_DESCRIPTION), packed.get(PACKED_STATE)):
        if isinstance(names, list):
            named.extend(f"{keys.CHUNK_PREFIX}{job_id}/{name}" for name in names)
    return named


def decode_record(job_id: str, value: object, chunk: ChunkLookup) -> JobRecord:
    """A stored record in any form.

    Raises:
        MissingChunksError: it names chunks that `chunk` does not know.
        MalformedRecordError: it can't be read.
    """
    missing = [key for key in chunk_keys(job_id, value) if chunk(key) is None]
    if missing:
        raise MissingChunksError(missing)
    try:
        record = msgspec.convert(value, JobRecord)
        packed = value.get(PACKED) if isinstance(value, dict) else None
        if isinstance(packed, dict):
            description = _unpack(job_id, packed[PACKED_DESCRIPTION], chunk, tuple[JobSpec | None, float | None])
            record.spec, record.submitted_at = description
            state = _unpack(job_id, packed[PACKED_STATE], chunk, tuple[list[StoredAllocation], str | None])
            record.allocations, record.done_tasks = state
    except (msgspec.ValidationError, KeyError, TypeError) as error:
        raise MalformedRecordError(str(error)) from error
    return record


def _unpack(job_id: str, text: object, chunk: ChunkLookup, kind: type[T]) -> T:
    """One packed text, inline or in chunks."""
    if isinstance(text, list):
        text = "".join(chunk(f"{keys.CHUNK_PREFIX}{job_id}/{name}") or "" for name in text)
    if not isinstance(text, str):
        raise MalformedRecordError("packed text is missing")
    return decompress(text, kind)
