"""Reading one job's record anew, with the chunks that it names.

Invariant: what was read is applied to the job table in the order in which the store had it; a record that names chunks
counts as read only once all of them are.
"""

from hookwall.jobs.job_table import JobTable
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import OutcomeUnknownError

MAX_READS = 3  # of a record that is replaced again and again while its chunks are read


class JobRecordReader:
    """Reads records from the key-value store into the job table."""

    def __init__(self, table: JobTable, store: KeyValueClient) -> None:
        """Read from `store` into `table`."""
        self.table = table
        self.store = store

    async def reload(self, key: str) -> None:
        """Read a job's record by its key; one that is absent is left as it is known.

        Raises RequestRejectedError or OutcomeUnknownError if the record or some of its chunks can't be read.
        """
        job_id = key[len(keys.JOB_PREFIX) :]
        for _ in range(MAX_READS):
            found = await self.store.get(key)
            if found is None:
                return
            self.table.apply_record(key, *found)
            # A chunk that is gone by now belonged to a record that has been replaced meanwhile.
            for chunk_key in self.table.missing_chunks(job_id):
                chunk = await self.store.get(chunk_key)
                if chunk is not None:
                    self.table.apply_chunk(chunk_key, *chunk)
            if not self.table.missing_chunks(job_id):
                return
        raise OutcomeUnknownError("parts of a record are missing")
