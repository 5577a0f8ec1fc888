"""Removes parts that no record names any more (records.py)."""

import logging
from collections.abc import Callable

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.state_machine import Leadership
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

COLLECT_EVERY_S = 5.0


class ChunkCollector:
    """Looks after one job's parts at a time, while changes are to spare."""

    def __init__(self, table: JobTable, store: KeyValueClient, lead: Leadership, clock: Callable[[], float]) -> None:
        self.table, self.store, self.lead, self.clock = table, store, lead, clock
        self.collected_at = -1e9

    async def collect(self) -> None:
        """Remove parts of one job that its record does not name, unless the record changes meanwhile.

        A job without a record may be about to get one, so its parts stay.
        """
        if not self.store.has_spare_changes() or self.clock() - self.collected_at < COLLECT_EVERY_S:
            return
        self.collected_at = self.clock()
        ref = self.table.chunks.jobs_to_collect.pop()
        job = self.table.jobs.get(ref)
        if job is None or not job.version or job.write_in_flight:
            return
        unused = self.table.chunks.unreferenced_chunks(ref, job.stored_value)[: self.store.batch_size()]
        if not unused:
            return
        removed = max(self.table.chunks.versions.get(key, 0) for key in unused)
        try:
            conditions = [(keys.LEADER_KEY, self.lead.fencing_token), (keys.JOB_PREFIX + ref, job.version)]
            removed = await self.store.commit(conditions, delete=unused)
        except (PreconditionFailedError, RequestRejectedError) as error:
            log.debug("parts of %s stay: %s", ref, type(error).__name__)
            self.table.chunks.jobs_to_collect.add(ref)
            return
        except OutcomeUnknownError:
            pass  # they may be gone, so they are written anew if they are needed
        for key in unused:
            self.table.chunks.remove(key, removed)
        self.table.chunks.jobs_to_collect.add(ref)
