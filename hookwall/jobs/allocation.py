"""An allocation: the start of one task on one machine, from the decision through storing and launching to its end.

Invariant: an allocation exists from the leader's decision until its task is proven to be gone from the machine, even if
the worker or the leader fails in the meantime.
"""

from typing import NamedTuple

from hookwall.config.clock_bounds import DISTANT_PAST

NOT_RUNNING = -1.0  # value of `Allocation.running_since` until the worker reports that the task runs


class StoredStart(NamedTuple):
    """The start of one task as the stored record lists it."""

    machine: str
    attempt: int


class Allocation:
    """One start of one task, from the decision until the task is proven to be gone.

    Times are seconds on the node's clock.
    """

    __slots__ = (
        "attempt",
        "created_at",
        "epoch",
        "finished",
        "launch_token",
        "machine",
        "reported_phase",
        "reserves_machine",
        "running_since",
        "stop_grace_s",
        "stop_sent_at",
        "task",
    )

    def __init__(self, task: int, machine: str, epoch: int, attempt: int, now: float) -> None:
        """Allocate the task to the worker on `machine`. The worker's epoch increases each time its lease expires.

        `now` is DISTANT_PAST if the time of the decision is unknown, because an earlier leader made it.
        """
        self.task = task
        self.machine = machine
        self.epoch = epoch
        self.attempt = attempt
        self.reported_phase = ""  # the phase in the worker's last report; "" before the first report
        self.created_at = now
        self.running_since = NOT_RUNNING
        self.stop_grace_s: float | None = None  # None: the task is not to be stopped
        self.stop_sent_at = DISTANT_PAST
        self.finished = False
        self.launch_token = 0  # the highest token with which this leader may have sent its launch; 0: none
        self.reserves_machine = False  # whether its machine stays reserved for the job once the task has ended
