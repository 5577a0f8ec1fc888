"""Chunks of job records that do not fit one value, as stored, and the records that wait for some (`job_records`).

Invariant: a chunk that is known is stored, unless its removal has not been watched yet.
"""

from typing import NamedTuple

from hookwall.storage import job_records, keys


class UnreadableRecord(NamedTuple):
    """A job's newest record, which names chunks that are not known."""

    value: object
    version: int


class ChunkTable:
    """Chunks of records, and the records that can't be read for want of some.

    Attributes:
        texts: the content of each chunk by its key.
        versions: the newest version of each key.
        keys_by_job: the keys of each job's chunks.
        unreadable_records: each job's newest record that can't be read yet.
        jobs_to_collect: jobs that may have chunks that their record does not name any more.
    """

    def __init__(self) -> None:
        """Start without chunks."""
        self.texts: dict[str, str] = {}
        self.versions: dict[str, int] = {}
        self.keys_by_job: dict[str, set[str]] = {}
        self.unreadable_records: dict[str, UnreadableRecord] = {}
        self.jobs_to_collect: set[str] = set()

    def get(self, key: str) -> str | None:
        """A chunk's text, or None if it is not known."""
        return self.texts.get(key)

    def add(self, key: str, text: object, version: int) -> str:
        """Add a chunk as read, watched or written; gives the job that it belongs to."""
        job_id = _job_of(key)
        if isinstance(text, str):
            self.texts[key] = text
            self.versions[key] = max(version, self.versions.get(key, 0))
            self.keys_by_job.setdefault(job_id, set()).add(key)
            self.jobs_to_collect.add(job_id)
        return job_id

    def remove(self, key: str, revision: int) -> None:
        """A chunk was removed at this revision; it may have been written again since."""
        if revision < self.versions.get(key, 0):
            return
        self.versions.pop(key, None)
        self.texts.pop(key, None)
        job_id = _job_of(key)
        of_job = self.keys_by_job.get(job_id, set())
        of_job.discard(key)
        if not of_job:
            self.keys_by_job.pop(job_id, None)

    def await_chunks(self, job_id: str, value: object, version: int) -> None:
        """Store a record that names chunks that are not known, unless a newer one is stored."""
        waiting = self.unreadable_records.get(job_id)
        if waiting is None or version > waiting.version:
            self.unreadable_records[job_id] = UnreadableRecord(value, version)

    def next_unreadable_job(self) -> str:
        """One of the jobs whose record can't be read; each in turn, as one may stay unreadable for ever."""
        job_id = next(iter(self.unreadable_records))
        self.unreadable_records[job_id] = self.unreadable_records.pop(job_id)
        return job_id

    def mark_readable(self, job_id: str) -> None:
        """A job's newest record could be read."""
        self.unreadable_records.pop(job_id, None)
        if job_id in self.keys_by_job:
            self.jobs_to_collect.add(job_id)

    def unreferenced_chunks(self, job_id: str, value: object) -> list[str]:
        """The keys of a job's chunks that its record does not name, in order."""
        return sorted(self.keys_by_job.get(job_id, set()) - set(job_records.chunk_keys(job_id, value)))


def _job_of(key: str) -> str:
    """The job that a chunk's key names."""
    return key[len(keys.CHUNK_PREFIX) :].partition("/")[0]
