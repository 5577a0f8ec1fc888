"""Parts of job records that do not fit one value of the state service (records.py)."""

from hookwall.storage import job_records, keys


class ChunkTable:
    """Parts of records that do not fit one value, as stored, and the records that wait for some."""

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.versions: dict[str, int] = {}
        self.keys_by_job: dict[str, set[str]] = {}
        self.unreadable_records: dict[str, tuple[object, int]] = {}  # job -> its newest record that can't be read yet
        self.jobs_to_collect: set[str] = set()  # jobs that may have parts that their record does not name any more

    def get(self, key: str) -> str | None:
        return self.texts.get(key)

    def add(self, key: str, text: object, stamp: int) -> str:
        """A part as read, watched or written; returns the job that it belongs to."""
        ref = key[len(keys.CHUNK_PREFIX) :].partition("/")[0]
        if isinstance(text, str):
            self.texts[key] = text
            self.versions[key] = max(stamp, self.versions.get(key, 0))
            self.keys_by_job.setdefault(ref, set()).add(key)
            self.jobs_to_collect.add(ref)
        return ref

    def remove(self, key: str, stamp: int) -> None:
        """A part was removed by the change `stamp`; it may have been written again since."""
        if stamp < self.versions.get(key, 0):
            return
        self.versions.pop(key, None)
        ref = key[len(keys.CHUNK_PREFIX) :].partition("/")[0]
        self.texts.pop(key, None)
        of_job = self.keys_by_job.get(ref, set())
        of_job.discard(key)
        if not of_job:
            self.keys_by_job.pop(ref, None)

    def await_chunks(self, ref: str, value: object, stamp: int) -> None:
        """A record names parts that have not been seen."""
        if stamp > self.unreadable_records.get(ref, (None, -1))[1]:
            self.unreadable_records[ref] = (value, stamp)

    def next_unreadable_job(self) -> str:
        """One of the jobs whose record can't be read; each in turn, as one may stay unreadable for ever."""
        ref = next(iter(self.unreadable_records))
        self.unreadable_records[ref] = self.unreadable_records.pop(ref)
        return ref

    def mark_readable(self, ref: str) -> None:
        """A job's newest record could be read."""
        self.unreadable_records.pop(ref, None)
        if ref in self.keys_by_job:
            self.jobs_to_collect.add(ref)

    def unreferenced_chunks(self, ref: str, value: object) -> list[str]:
        """The parts of a job that its record does not name."""
        return sorted(self.keys_by_job.get(ref, set()) - set(job_records.chunk_keys(ref, value)))
