"""How many allocations the record of a job can name, so that no more tasks are started than can be stored.

Invariant: a job whose allocations are within the budget has a record within the limits of the key-value store.
"""

from dataclasses import dataclass

from hookwall.jobs.job import Job

BYTES_PER_MACHINE = 40  # of a record, for each machine that it names
BYTES_PER_START = 14  # and for each start, with what it leaves in the ranges of tasks that are done
MINIMUM_STARTS = 8  # that any record can name


@dataclass(slots=True, frozen=True)
class StartRecordBudget:
    """How many bytes of its record the starts of one job may take in the plain form.

    Several starts on one machine share its name, so new ones are assumed to need no more names in a usual record. Those
    of a larger one count as each on a machine of its own, since that is what it might come to.
    """

    usual_bytes: float
    maximum_bytes: float


def recordable_start_count(job: Job, budget: StartRecordBudget) -> int:
    """How many more starts the job's record can name: a value has a limit, and ranges are short."""
    starts = len(job.allocations)
    machines = {allocation.machine for allocation in job.allocations.values()}
    used = BYTES_PER_MACHINE * len(machines) + BYTES_PER_START * starts
    in_usual_record = (budget.usual_bytes - used) / BYTES_PER_START
    in_largest_record = (budget.maximum_bytes - used) / (BYTES_PER_MACHINE + BYTES_PER_START)
    return max(0, MINIMUM_STARTS - starts, int(in_usual_record), int(in_largest_record))
