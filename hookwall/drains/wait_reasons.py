"""The reasons why drains wait, and the texts that operators read.

Invariant: every step that is not possible now has a reason, and the reason shown is the one that an operator can best
act on.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class WaitKind(Enum):
    """Why a drain, or one of its machines, makes no progress. The values are printed by `--json`."""

    BUDGET = "budget"
    NO_BUDGET = "no budget"
    CAPACITY = "room"
    FINISH_GRACE = "ending"
    STOPPING = "stopping"
    UNRESPONSIVE = "silent"
    BOOTING = "booting"
    OTHER_DRAIN = "other drain"
    IN_MAINTENANCE = "held"
    DELETING = "leaving"


@dataclass(frozen=True, slots=True)
class Wait:
    """A reason to wait: its kind, the machine, and the team, job, task or drain that causes it."""

    kind: WaitKind
    machine: str
    subject: str = ""

    def text(self) -> str:
        """The text that operators read."""
        return _TEXTS[self.kind].format(machine=self.machine, subject=self.subject)


_TEXTS = {
    WaitKind.BUDGET: "the disruption budget of team {subject} is spent ({machine})",
    WaitKind.NO_BUDGET: "team {subject} has no disruption budget, and the drain was not started with --unbudgeted "
    "({machine})",
    WaitKind.CAPACITY: "no room elsewhere for {subject} ({machine})",
    WaitKind.FINISH_GRACE: "tasks may still end by themselves ({machine})",
    WaitKind.STOPPING: "{subject} was told to stop and has not ended ({machine})",
    WaitKind.UNRESPONSIVE: "{machine} does not answer",
    WaitKind.BOOTING: "{machine} is not up yet",
    WaitKind.OTHER_DRAIN: "{machine} is being drained by {subject}",
    WaitKind.IN_MAINTENANCE: "{machine} is empty and waits to be released",
    WaitKind.DELETING: "{machine} is empty and is being returned",
}

# Reasons that an operator can act on come first.
_PRIORITY = [
    WaitKind.NO_BUDGET,
    WaitKind.BUDGET,
    WaitKind.CAPACITY,
    WaitKind.STOPPING,
    WaitKind.UNRESPONSIVE,
    WaitKind.OTHER_DRAIN,
    WaitKind.IN_MAINTENANCE,
    WaitKind.BOOTING,
    WaitKind.FINISH_GRACE,
    WaitKind.DELETING,
]


def summarize_waits(waits: Sequence[Wait]) -> str:
    """The reason of the highest priority and how many other machines wait; empty if there are no reasons."""
    highest_priority = min(waits, key=lambda wait: (_PRIORITY.index(wait.kind), wait.machine), default=None)
    if highest_priority is None:
        return ""
    others = len({wait.machine for wait in waits}) - 1
    return highest_priority.text() + (f", and {others} more machines wait" if others > 0 else "")
