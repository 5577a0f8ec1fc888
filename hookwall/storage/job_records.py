"""Encoding of job records for the key-value store.

A record is one value below `hookwall/job/`. Its *plain* form is the one that every version reads. A record that does
not fit into a value is *packed*: the description and the changing state are compressed, and a compressed part that does
not fit into the record's value is split into *chunks*, which are separate values below `hookwall/part/<job>/`.

Invariant: all chunks that a readable record names are stored. A chunk is named after its content and never changes, so
a write of a chunk that is executed late or twice is harmless. A record is written in the same transaction as its new
chunks, or after them.
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

USABLE_SHARE = 0.9  # of a value's size limit, as the store may count other white space than this client writes
USABLE_MARGIN_BYTES = 64  # left free for a cancellation, which changes the phase of a record in place
MIN_USABLE_BYTES = 256
CHUNK_NAME_BYTES = 12
PLAIN_SHARE = 0.75  # of a value's size limit, for a record in its plain form
PLAIN_DESCRIPTION_BYTES = 700  # reserved for the job's description
JSON_OVERHEAD_BYTES = 64  # bytes of JSON around the compressed texts

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
ChunkLookup = Callable[[str], str | None]  # returns a chunk's text by its key, or None if the chunk is not available


StoredAllocation = tuple[str, int, int, str]  # machine, epoch of its worker, attempt, ranges of tasks


class JobRecord(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The stored state of a job.

    `submitted_at` and `finished_at` are times of day in seconds; `finished_at` is when the last task was found done.
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
    """A record as it is written: the value of the record's key, and the chunks that the value names, by their keys."""

    value: dict[str, object]
    chunks: dict[str, str] = field(default_factory=dict)


def usable_value_bytes(value_kb: float) -> int:
    """The number of bytes of JSON that a value may have under a limit of `value_kb` KiB, less a safety margin."""
    return max(MIN_USABLE_BYTES, int(value_kb * 1024 * USABLE_SHARE) - USABLE_MARGIN_BYTES)


def plain_allocations_bytes(value_kb: float) -> float:
    """The number of bytes left for the allocations in a value that holds a record in its plain form."""
    return value_kb * 1024 * PLAIN_SHARE - PLAIN_DESCRIPTION_BYTES


def encode_plain(record: JobRecord) -> dict[str, object]:
    """Encode the plain form, which every version reads; it has a list of allocations even if the list is empty."""
    value: dict[str, object] = msgspec.to_builtins(record)
    value.setdefault(TASK_COUNT, record.task_count)
    value.setdefault(PHASE, record.phase)
    value.setdefault(NEXT_ATTEMPT, record.next_attempt)
    value.setdefault(ALLOCATIONS, [])
    return value


def json_bytes(value: object) -> int:
    """The size in bytes of a value's JSON."""
    return len(msgspec.json.encode(value))


def chunk_key(job_id: str, text: str) -> str:
    """The key of a chunk, named after its content."""
    return f"{keys.CHUNK_PREFIX}{job_id}/{hashlib.blake2b(text.encode(), digest_size=CHUNK_NAME_BYTES).hexdigest()}"


def _split_into_chunks(job_id: str, text: str, limit: int) -> dict[str, str]:
    """Split a text into chunks that each fit into `limit` bytes, in order."""
    step = limit - JSON_OVERHEAD_BYTES
    texts = [text[start : start + step] for start in range(0, len(text), step)]
    return {chunk_key(job_id, chunk): chunk for chunk in texts}


def _chunk_names(chunks: dict[str, str]) -> list[str]:
    return [key.rpartition("/")[2] for key in chunks]


def encode_record(job_id: str, record: JobRecord, limit: int | None) -> EncodedRecord:
    """Encode a record in the simplest form whose values fit `limit` bytes each.

    If `limit` is None, the record is encoded in the plain form, whatever its size.

    Raises:
        RecordTooLargeError: no form of the record fits.
    """
    value = encode_plain(record)
    if limit is None:
        value.pop(FINISHED_AT, None)  # older programs drop this field
        return EncodedRecord(value)
    if json_bytes(value) <= limit:
        return EncodedRecord(value)
    return _encode_packed(job_id, record, limit)


def _encode_packed(job_id: str, record: JobRecord, limit: int) -> EncodedRecord:
    """Encode a record in the packed form, with as few parts in chunks as the limit allows."""
    unpacked_fields: dict[str, object] = {
        PHASE: record.phase, TASK_COUNT: record.task_count, NEXT_ATTEMPT: record.next_attempt,
    }  # fmt: skip
    if record.finished_at is not None:
        unpacked_fields[FINISHED_AT] = record.finished_at
    description = compress([record.spec, record.submitted_at])
    state = compress([record.allocations, record.done_tasks])
    room = limit - json_bytes(unpacked_fields) - JSON_OVERHEAD_BYTES
    if len(description) + len(state) <= room:
        return EncodedRecord(_packed_value(unpacked_fields, description, state))
    # The description never changes, so its chunks are written once.
    description_chunks = _split_into_chunks(job_id, description, limit)
    names = _chunk_names(description_chunks)
    room -= json_bytes(names)
    if len(state) <= room:
        return EncodedRecord(_packed_value(unpacked_fields, names, state), description_chunks)
    state_chunks = _split_into_chunks(job_id, state, limit)
    state_names = _chunk_names(state_chunks)
    if json_bytes(state_names) > room:
        raise RecordTooLargeError(job_id)
    return EncodedRecord(_packed_value(unpacked_fields, names, state_names), {**description_chunks, **state_chunks})


def _packed_value(
    unpacked_fields: dict[str, object], description: str | list[str], state: str | list[str]
) -> dict[str, object]:
    """The value of a packed record; each part is a text, or the names of the chunks that hold the text."""
    return {**unpacked_fields, PACKED: {PACKED_DESCRIPTION: description, PACKED_STATE: state}}


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
    """Decode a stored record in any form.

    Raises:
        MissingChunksError: the record names chunks for which `chunk` returns None.
        MalformedRecordError: the record can't be decoded.
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


def _unpack(job_id: str, text: object, chunk: ChunkLookup, value_type: type[T]) -> T:
    """Decode one packed part, whose text is inline or in chunks."""
    if isinstance(text, list):
        text = "".join(chunk(f"{keys.CHUNK_PREFIX}{job_id}/{name}") or "" for name in text)
    if not isinstance(text, str):
        raise MalformedRecordError("packed part is neither a text nor a list of chunk names")
    return decompress(text, value_type)
