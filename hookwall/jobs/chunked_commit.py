"""Writes records together with their chunks, or after them if they do not all fit in one transaction.

Invariant: a node that can read a record can also read the chunks that it names. So chunks are written in the
transaction of their record or in earlier transactions, and a record is written only on the condition that none of the
chunks written earlier has been removed.
"""

from collections.abc import Callable
from enum import Enum

from hookwall.jobs.job_table import JobTable
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put


class ChunkGuard(Enum):
    """Which transactions are conditional on the chunks that earlier transactions have written.

    A leader removes chunks that no record names, except those of a job that has no record yet.
    """

    NONE = "none"  # no transaction; for the chunks of a new job
    RECORD = "record"  # the transaction that writes the record
    ALL = "all"  # the transaction that writes the record, and those that write further chunks


async def commit_with_chunks(
    store: KeyValueClient,
    table: JobTable,
    preconditions: list[Precondition],
    chunks: dict[str, str],
    records: list[Put],
    next_batch: Callable[[dict[str, str]], list[Put]],
    guard: ChunkGuard,
) -> int:
    """Write chunks and the records that name them; return the revision at which the records were written.

    `next_batch` selects from the remaining chunks those to write in the next transaction, without records. It returns
    none once the remaining chunks fit in the transaction of the records. Chunks are added to the table as soon as they
    are written. Raises what `store.commit` raises; chunks written before the error stay stored, and the next attempt
    does not write them again.
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
