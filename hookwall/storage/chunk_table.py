"""Stored chunks of job records that do not fit into one value, and the records that wait for chunks (`job_records`).

Invariant: every chunk in the table is stored, unless the watch has not delivered the chunk's removal yet.
"""

from typing import NamedTuple

from hookwall.storage import job_records, keys


class UnreadableRecord(NamedTuple):
    """A job's newest record, which names chunks that are not in the table."""

    value: object
    version: int


class ChunkTable:
    """Chunks of records, and the records that can't be read because some of their chunks are missing.

    Attributes:
        contents: the content of each chunk by the chunk's key.
        versions: the newest known version of each chunk's key.
        keys_by_job: the keys of each job's chunks.
        unreadable_records: each job's newest record that can't be read yet.
        jobs_to_collect: jobs that may have chunks that their records do not name any more.
    """

    def __init__(self) -> None:
        """Create a table without chunks."""
        self.contents: dict[str, str] = {}
        self.versions: dict[str, int] = {}
        self.keys_by_job: dict[str, set[str]] = {}
        self.unreadable_records: dict[str, UnreadableRecord] = {}
        self.jobs_to_collect: set[str] = set()

    def get(self, key: str) -> str | None:
        """Return a chunk's text, or None if the chunk is not in the table."""
        return self.contents.get(key)

    def add(self, key: str, text: object, version: int) -> str:
        """Add a chunk that was read, watched or written, and return the id of its job."""
        job_id = _job_id_of_chunk(key)
        if isinstance(text, str):
            self.contents[key] = text
            self.versions[key] = max(version, self.versions.get(key, 0))
            self.keys_by_job.setdefault(job_id, set()).add(key)
            self.jobs_to_collect.add(job_id)
        return job_id

    def remove(self, key: str, revision: int) -> None:
        """Remove a chunk that was deleted at `revision`, unless it has been written again since."""
        if revision < self.versions.get(key, 0):
            return
        self.versions.pop(key, None)
        self.contents.pop(key, None)
        job_id = _job_id_of_chunk(key)
        job_chunk_keys = self.keys_by_job.get(job_id, set())
        job_chunk_keys.discard(key)
        if not job_chunk_keys:
            self.keys_by_job.pop(job_id, None)

    def keep_unreadable_record(self, job_id: str, value: object, version: int) -> None:
        """Keep a record that names missing chunks, unless the same or a newer record of the job is already kept."""
        kept_record = self.unreadable_records.get(job_id)
        if kept_record is None or version > kept_record.version:
            self.unreadable_records[job_id] = UnreadableRecord(value, version)

    def next_unreadable_job(self) -> str:
        """Return a job whose record can't be read.

        Successive calls return all such jobs in turn, since a record may stay unreadable indefinitely.
        """
        job_id = next(iter(self.unreadable_records))
        self.unreadable_records[job_id] = self.unreadable_records.pop(job_id)
        return job_id

    def mark_readable(self, job_id: str) -> None:
        """Record that a job's newest record could be read."""
        self.unreadable_records.pop(job_id, None)
        if job_id in self.keys_by_job:
            self.jobs_to_collect.add(job_id)

    def unreferenced_chunks(self, job_id: str, value: object) -> list[str]:
        """Return the sorted keys of a job's chunks that the job's record does not name."""
        return sorted(self.keys_by_job.get(job_id, set()) - set(job_records.chunk_keys(job_id, value)))


def _job_id_of_chunk(key: str) -> str:
    """The id of the job that a chunk's key names."""
    return key[len(keys.CHUNK_PREFIX) :].partition("/")[0]
