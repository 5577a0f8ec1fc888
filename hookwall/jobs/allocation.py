"""The start of one task on one machine, as it is decided, stored, launched and ended.

Invariant: an allocation stands from the leader's decision until its task is shown to be gone from the machine, whatever
happens to the worker or the leader meanwhile.
"""

from typing import NamedTuple

NEVER = -1e9  # on the node's clock, in seconds: before anything that has happened
NOT_RUNNING = -1.0  # `Allocation.running_since` until the worker has reported that the task runs


class StoredStart(NamedTuple):
    """A start of one task as the stored record names it."""

    machine: str
    attempt: int


class Allocation:
    """One start of one task: from the decision until the task is shown to be gone.

    Times are readings of the node's clock in seconds.
    """

    __slots__ = (
        "attempt",
        "created_at",
        "epoch",
        "finished",
        "machine",
        "reported_phase",
        "running_since",
        "stop_grace_s",
        "stop_sent_at",
        "task",
    )

    def __init__(self, task: int, machine: str, epoch: int, attempt: int, now: float) -> None:
        """Allocate the task to the incarnation `epoch` of the worker on `machine`."""
        self.task = task
        self.machine = machine
        self.epoch = epoch
        self.attempt = attempt
        self.reported_phase = ""  # as the worker last reported it; "" until it has
        self.created_at = now
        self.running_since = NOT_RUNNING
        self.stop_grace_s: float | None = None  # None: the task is not to stop
        self.stop_sent_at = NEVER
        self.finished = False
