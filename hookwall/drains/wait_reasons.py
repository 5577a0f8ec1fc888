"""Why drains wait, in the words that operators read.

Invariant: whatever can't be done now has a reason, and the one shown is what an operator can do most about.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class WaitKind(Enum):
    """Why a drain, or one machine of it, does not go on. The values are printed by `--json`."""

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
    """One reason to wait: what kind, of which machine, and the team, job, task or drain that it is about."""

    kind: WaitKind
    machine: str
    subject: str = ""

    def text(self) -> str:
        """The reason as operators read it."""
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

# What an operator can do something about comes first.
_URGENCY = [
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
    """The most urgent reason, and how many more machines wait; empty without any."""
    most_urgent = min(waits, key=lambda wait: (_URGENCY.index(wait.kind), wait.machine), default=None)
    if most_urgent is None:
        return ""
    others = len({wait.machine for wait in waits}) - 1
    return most_urgent.text() + (f", and {others} more machines wait" if others > 0 else "")
