"""Storing records together with their chunks, or after them where one transaction does not take all.

Invariant: whoever can read a record can read the chunks that it names. So chunks are written in the transaction of
their record or in earlier ones, and a record is written only on the condition that no earlier one has been removed.
"""

from collections.abc import Callable
from enum import Enum

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put


class ChunkGuard(Enum):
    """Which transactions are conditional on the chunks that earlier ones have written.

    A leader removes chunks that no record names, but none of a job that has no record yet.
    """

    NONE = "none"  # chunks of a new job
    RECORD = "record"  # the transaction that writes the record
    ALL = "all"  # that one, and those that write further chunks


async def commit_with_chunks(
    store: KeyValueClient,
    table: JobTable,
    preconditions: list[Precondition],
    chunks: dict[str, str],
    records: list[Put],
    next_batch: Callable[[dict[str, str]], list[Put]],
    guard: ChunkGuard,
) -> int:
    """Write chunks and the records that name them; gives the revision at which the records were written.

    `next_batch` picks from the chunks that are left those to write next in a transaction of their own, or none once the
    rest goes with the records. Chunks are known to the table as soon as they are written. Raises what `store.commit`
    raises; chunks that were written by then stay, and are not written again next time.
    """
    remaining = dict(chunks)
    guarded: list[Precondition] = []
    while batch := next_batch(remaining):
        conditions = [*preconditions, *guarded] if guard is ChunkGuard.ALL else preconditions
        revision = await store.commit(conditions, batch)
        for key, text in batch:
            table.apply_chunk(key, text, revision)
            del remaining[key]
            if guard is not ChunkGuard.NONE:
                guarded.append(Precondition(key, revision))
    rest = [Put(key, text) for key, text in remaining.items()]
    revision = await store.commit([*preconditions, *guarded], [*rest, *records])
    for key, text in rest:
        table.apply_chunk(key, text, revision)
    return revision
