"""Storing what users ask for: a new job's record, or one that is cancelled.

Invariant: a record is written only on the condition that it is still the one that the request was decided on.
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

CHUNK_WRITES_S = 3.0  # a user waits 5 s for a response; what is not stored by then is gone on with next time
PLAIN_MARGIN_BYTES = 512  # of a value, beside a record in its plain form


class JobRecordWriter:
    """Writes single records for users, whoever leads."""

    def __init__(self, table: JobTable, store: KeyValueClient, limits: StoreLimits, clock: Callable[[], float]) -> None:
        """Write records to `store`, and apply them to `table` once they are written."""
        self.table = table
        self.store = store
        self.limits = limits
        self.clock = clock

    def encode(self, job_id: str, record: JobRecord, packed: bool) -> EncodedRecord:
        """A record in the form that all nodes may read now; raises RecordTooLargeError if that is too large."""
        encoded = job_records.encode_record(job_id, record, self.store.max_value_bytes if packed else None)
        max_plain_bytes = self.limits.value_kb * 1024 - PLAIN_MARGIN_BYTES
        if not encoded.chunks and job_records.json_bytes(encoded.value) > max_plain_bytes:
            raise RecordTooLargeError(job_id)
        return encoded

    def encode_cancelled(self, job_id: str, value: dict[str, Any], packed: bool) -> EncodedRecord:
        """The record of a job that is cancelled now, from the value that is stored."""
        try:
            record = job_records.decode_record(job_id, value, self.table.chunks.get)
        except (MissingChunksError, MalformedRecordError):
            return EncodedRecord({**value, "phase": CANCELLED})  # the rest stays as it is
        record.phase = CANCELLED
        if not record.allocations:
            record.spec = None
            record.submitted_at = None
            record.done_tasks = None
        return self.encode(job_id, record, packed)

    async def write(self, key: str, version: int, encoded: EncodedRecord, current: object = None) -> int:
        """Write a record if the key still has this version (0: is absent); gives the new version.

        Chunks that don't fit beside the record are written first. `current` is the value that the record replaces: its
        chunks are there already. Raises PreconditionFailedError if the record has changed, RequestRejectedError if the
        chunks took too long (the next attempt goes on from there), and what the store's client raises.
        """
        stored_chunks: Any = self.table.chunks.texts
        if version:
            stored_chunks = job_records.chunk_keys(key[len(keys.JOB_PREFIX) :], current)
        max_changes = self.store.batch_size()
        deadline = self.clock() + CHUNK_WRITES_S

        def next_batch(remaining: dict[str, str]) -> list[Put]:
            if len(remaining) < max_changes:
                return []
            if self.clock() > deadline:
                raise RequestRejectedError("many parts; the rest next time")
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
