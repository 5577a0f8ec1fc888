"""Writes the records that user requests create or change: those of new jobs and of cancelled jobs.

Invariant: a record is written by compare-and-swap, only if it still has the version on which the request was decided.
"""

from collections.abc import Callable
from itertools import islice
from typing import Any

from hookwall.config.platform import StoreLimits
from hookwall.jobs.chunked_commit import ChunkGuard, commit_with_chunks
from hookwall.jobs.job import CANCELLED
from hookwall.jobs.job_table import JobTable
from hookwall.storage import job_records, keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import (
    MalformedRecordError,
    MissingChunksError,
    RecordTooLargeError,
    RequestRejectedError,
)
from hookwall.storage.job_records import EncodedRecord, JobRecord

# A user waits 5 s for a response. Chunks that are not written within this time-out, which is shorter, are left to the
# next attempt.
CHUNK_WRITE_TIMEOUT_S = 3.0
PLAIN_MARGIN_BYTES = 512  # bytes of a value that a record in its plain form must leave free


class JobRecordWriter:
    """Writes single records for users, on any node, whichever node leads."""

    def __init__(self, table: JobTable, store: KeyValueClient, limits: StoreLimits, clock: Callable[[], float]) -> None:
        """Create a writer that stores records in `store`, and applies them to `table` once they are stored."""
        self.table = table
        self.store = store
        self.limits = limits
        self.clock = clock

    def encode(self, job_id: str, record: JobRecord, packed: bool) -> EncodedRecord:
        """Encode a record in a form that all nodes can read now; raise RecordTooLargeError if it is too large.

        `packed` is whether all nodes can read packed records.
        """
        encoded = job_records.encode_record(job_id, record, self.store.max_value_bytes if packed else None)
        max_plain_bytes = self.limits.value_kb * 1024 - PLAIN_MARGIN_BYTES
        if not encoded.chunks and job_records.json_bytes(encoded.value) > max_plain_bytes:
            raise RecordTooLargeError(job_id)
        return encoded

    def encode_cancelled(self, job_id: str, value: dict[str, Any], packed: bool) -> EncodedRecord:
        """Encode the record of a job that is being cancelled, from its stored value."""
        try:
            record = job_records.decode_record(job_id, value, self.table.chunks.get)
        except (MissingChunksError, MalformedRecordError):
            return EncodedRecord({**value, "phase": CANCELLED})  # the other fields keep their values
        record.phase = CANCELLED
        if not record.allocations:
            record.spec = None
            record.submitted_at = None
            record.done_tasks = None
        return self.encode(job_id, record, packed)

    async def write(self, key: str, version: int, encoded: EncodedRecord, current: object = None) -> int:
        """Write a record if the key still has this version (0: the key is absent); return the new version.

        Chunks that don't fit into the record's transaction are written first. `current` is the value that the record
        replaces; its chunks are already stored. Raises PreconditionFailedError if the record has changed,
        RequestRejectedError if writing the chunks takes too long (the next attempt continues from there), and the
        errors that the store's client raises.
        """
        stored_chunks: Any = self.table.chunks.contents
        if version:
            stored_chunks = job_records.chunk_keys(key[len(keys.JOB_PREFIX) :], current)
        max_changes = self.store.batch_size()
        deadline = self.clock() + CHUNK_WRITE_TIMEOUT_S

        def next_batch(remaining: dict[str, str]) -> list[Put]:
            if len(remaining) < max_changes:
                return []
            if self.clock() > deadline:
                raise RequestRejectedError("chunks not written in time; the next attempt writes the rest")
            return [Put(name, text) for name, text in islice(remaining.items(), max_changes)]

        new_version = await commit_with_chunks(
            self.store,
            self.table,
            [Precondition(key, version)],
            chunks={name: text for name, text in encoded.chunks.items() if name not in stored_chunks},
            records=[Put(key, encoded.value)],
            next_batch=next_batch,
            guard=ChunkGuard.RECORD if version else ChunkGuard.NONE,
        )
        self.table.apply_record(key, encoded.value, new_version)
        return new_version
