"""The number of allocations that a job's record can name, so that no more tasks are started than can be stored.

Invariant: if a job's allocations are within the budget, its record is within the limits of the key-value store.
"""

from dataclasses import dataclass

from hookwall.jobs.job import Job

BYTES_PER_MACHINE = 40  # bytes of a record for each machine that it names
BYTES_PER_START = 14  # bytes of a record for each start, including its later effect on the ranges of done tasks
MIN_RECORDABLE_STARTS = 8  # the number of starts that any record can name


@dataclass(slots=True, frozen=True)
class StartRecordBudget:
    """The bytes that the starts of one job may take in the plain form of its record.

    Starts on the same machine share its name. So in a record of up to `usual_bytes`, new starts are assumed to need no
    further machine names. In a larger record, each new start is assumed to be on a different machine, which is the
    worst case.
    """

    usual_bytes: float
    maximum_bytes: float


def recordable_start_count(job: Job, budget: StartRecordBudget) -> int:
    """The number of further starts that the job's record can name within the size limit of a stored value.

    Ranges of tasks are short, so a start takes few bytes.
    """
    starts = len(job.allocations)
    machines = {allocation.machine for allocation in job.allocations.values()}
    used = BYTES_PER_MACHINE * len(machines) + BYTES_PER_START * starts
    in_usual_record = (budget.usual_bytes - used) / BYTES_PER_START
    in_largest_record = (budget.maximum_bytes - used) / (BYTES_PER_MACHINE + BYTES_PER_START)
    return max(0, MIN_RECORDABLE_STARTS - starts, int(in_usual_record), int(in_largest_record))
