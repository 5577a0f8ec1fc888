"""The contents of one transaction of the leader: records of several jobs and their new chunks, within the limits."""

from dataclasses import dataclass

from hookwall.jobs.allocation import StoredStart
from hookwall.jobs.job import Job
from hookwall.storage import job_records, keys
from hookwall.storage.entries import Put
from hookwall.storage.job_records import EncodedRecord

MAX_TRANSACTION_BYTES = 56 * 1024
ENTRY_OVERHEAD_BYTES = 200  # bytes of a transaction for each key, in addition to its value


@dataclass(slots=True)
class PendingWrite:
    """The write of one job within a transaction, with the state needed to process the outcome."""

    job: Job
    encoded: EncodedRecord
    new_chunks: dict[str, str]
    record_bytes: int
    starts: dict[int, StoredStart]
    phase: str
    done_count: int
    had_unsaved_starts: bool
    unsaved_since: float | None

    @classmethod
    def prepare(cls, job: Job, max_value_bytes: int | None) -> "PendingWrite":
        """Prepare the write of a job. If `max_value_bytes` is None, the plain form is used regardless of its size.

        Raises RecordTooLargeError if no form of the record fits.
        """
        encoded = job_records.encode_record(job.job_id, job.record(), max_value_bytes)
        stored_chunks = job_records.chunk_keys(job.job_id, job.stored_value)
        return cls(
            job=job,
            encoded=encoded,
            new_chunks={key: text for key, text in encoded.chunks.items() if key not in stored_chunks},
            record_bytes=job_records.json_bytes(encoded.value) + ENTRY_OVERHEAD_BYTES,
            starts=_stored_starts(job),
            phase=job.phase,
            done_count=job.done_count,
            had_unsaved_starts=job.has_unsaved_starts,
            unsaved_since=job.unsaved_since,
        )

    @property
    def key(self) -> str:
        """The key of the job's record."""
        return keys.JOB_PREFIX + self.job.job_id

    def change_count(self) -> int:
        """The number of changes in the write: the record and its new chunks."""
        return 1 + len(self.new_chunks)

    def total_bytes(self) -> int:
        """The size of the record and its new chunks in a transaction."""
        return self.record_bytes + chunk_bytes(self.new_chunks)

    def begin(self) -> None:
        """Mark the write as in flight. Decisions about the job made from now on count as new unsaved changes."""
        self.job.has_unsaved_changes = False
        self.job.has_unsaved_starts = False
        self.job.unsaved_since = None
        self.job.write_in_flight = True


def _stored_starts(job: Job) -> dict[int, StoredStart]:
    """The starts that the job's record names once it is written, by task."""
    return {
        allocation.task: StoredStart(allocation.machine, allocation.attempt) for allocation in job.allocations.values()
    }


def chunk_bytes(chunks: dict[str, str]) -> int:
    """The size of chunks in a transaction."""
    return sum(len(text) + ENTRY_OVERHEAD_BYTES for text in chunks.values())


def next_chunks(remaining: dict[str, str], batch: list[PendingWrite], max_changes: int) -> list[Put]:
    """The chunks to write in the next transaction before the records of a batch: at least one, and all that fit in it.

    The list is empty if the remaining chunks fit in the transaction of the records. Only a batch of a single job may
    have more chunks than fit in that transaction.
    """
    record_bytes = sum(write.record_bytes for write in batch)
    fits_changes = len(remaining) + len(batch) <= max(max_changes, len(batch))
    if not remaining or (fits_changes and record_bytes + chunk_bytes(remaining) <= MAX_TRANSACTION_BYTES):
        return []
    chosen: list[Put] = []
    transaction_bytes = ENTRY_OVERHEAD_BYTES
    for key, text in remaining.items():
        transaction_bytes += len(text) + ENTRY_OVERHEAD_BYTES
        if chosen and (len(chosen) >= max_changes or transaction_bytes > MAX_TRANSACTION_BYTES):
            break
        chosen.append(Put(key, text))
    return chosen
