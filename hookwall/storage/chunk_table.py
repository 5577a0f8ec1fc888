"""Parts of job records that do not fit one value of the state service (records.py)."""

from hookwall.storage import job_records, keys


class PartTable:
    """Parts of records that do not fit one value, as stored, and the records that wait for some."""

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.stamps: dict[str, int] = {}
        self.by_job: dict[str, set[str]] = {}
        self.incomplete: dict[str, tuple[object, int]] = {}  # job -> its newest record that can't be read yet
        self.stale: set[str] = set()  # jobs that may have parts that their record does not name any more

    def get(self, key: str) -> str | None:
        return self.texts.get(key)

    def add(self, key: str, text: object, stamp: int) -> str:
        """A part as read, watched or written; returns the job that it belongs to."""
        ref = key[len(keys.PARTS) :].partition("/")[0]
        if isinstance(text, str):
            self.texts[key] = text
            self.stamps[key] = max(stamp, self.stamps.get(key, 0))
            self.by_job.setdefault(ref, set()).add(key)
            self.stale.add(ref)
        return ref

    def remove(self, key: str, stamp: int) -> None:
        """A part was removed by the change `stamp`; it may have been written again since."""
        if stamp < self.stamps.get(key, 0):
            return
        self.stamps.pop(key, None)
        ref = key[len(keys.PARTS) :].partition("/")[0]
        self.texts.pop(key, None)
        of_job = self.by_job.get(ref, set())
        of_job.discard(key)
        if not of_job:
            self.by_job.pop(ref, None)

    def await_parts(self, ref: str, value: object, stamp: int) -> None:
        """A record names parts that have not been seen."""
        if stamp > self.incomplete.get(ref, (None, -1))[1]:
            self.incomplete[ref] = (value, stamp)

    def next_incomplete(self) -> str:
        """One of the jobs whose record can't be read; each in turn, as one may stay unreadable for ever."""
        ref = next(iter(self.incomplete))
        self.incomplete[ref] = self.incomplete.pop(ref)
        return ref

    def complete(self, ref: str) -> None:
        """A job's newest record could be read."""
        self.incomplete.pop(ref, None)
        if ref in self.by_job:
            self.stale.add(ref)

    def unused(self, ref: str, value: object) -> list[str]:
        """The parts of a job that its record does not name."""
        return sorted(self.by_job.get(ref, set()) - set(job_records.part_keys(ref, value)))
