"""Unexpected errors in the handling of single jobs.

Loops over many jobs catch an error at the job that caused it, report it here, and go on with the other jobs. Invariant:
such an error never ends a round, a plan or a loop for other jobs. Each job's first error in an operation is logged with
its traceback; all errors are counted.
"""

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class JobOperation(Enum):
    """What was done with a job when the error occurred."""

    APPLY_RECORD = "apply record"
    ENCODE_RECORD = "encode record"
    PROCESS_REPORT = "process report"
    SCHEDULE = "schedule"
    MEASURE_DEMAND = "measure demand"
    PLAN_MACHINES = "plan machines"


class JobErrors:
    """Counts the errors of single jobs, and logs the first one of each job and operation."""

    def __init__(self) -> None:
        """Start without any error."""
        self.counts: Counter[JobOperation] = Counter()
        self._logged: set[tuple[str, JobOperation]] = set()

    def record(self, job_id: str, operation: JobOperation) -> None:
        """Record the exception that is being handled; must be called in an `except` block."""
        self.counts[operation] += 1
        if (job_id, operation) in self._logged:
            return
        self._logged.add((job_id, operation))
        log.exception("error in the handling of a job: job=%s operation=%r", job_id, operation.value)
