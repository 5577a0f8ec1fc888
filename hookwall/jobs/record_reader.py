"""Reloads one job's record, with the chunks that it names.

Invariant: records and chunks are applied to the job table in the order in which the store held them; a record that
names chunks counts as read only once all of its chunks have been read.
"""

from hookwall.jobs.job_table import JobTable
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError

MAX_READ_ATTEMPTS = 3  # for a record that is replaced repeatedly while its chunks are read


class JobRecordReader:
    """Reads records from the key-value store into the job table."""

    def __init__(self, table: JobTable, store: KeyValueClient) -> None:
        """Create a reader that applies records of `store` to `table`."""
        self.table = table
        self.store = store

    async def reload(self, key: str) -> None:
        """Read a job's record by its key. If the record is absent, the job's known state is kept.

        Raises RequestRejectedError or OutcomeUnknownError if the record or some of its chunks can't be read.
        """
        job_id = key[len(keys.JOB_PREFIX) :]
        for _ in range(MAX_READ_ATTEMPTS):
            found = await self.store.get(key)
            if found is None:
                return
            self.table.apply_record(key, *found)
            # A chunk that no longer exists belonged to a record that has been replaced since it was read.
            for chunk_key in self.table.missing_chunks(job_id):
                chunk = await self.store.get(chunk_key)
                if chunk is not None:
                    self.table.apply_chunk(chunk_key, *chunk)
            if not self.table.missing_chunks(job_id):
                return
        raise OutcomeUnknownError("chunks of the job record are missing")
