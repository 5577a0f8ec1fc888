"""Which jobs wait for which: a graph free of I/O, on dense indices.

A job is *ready* once every job that it needs is stored as done, and *cancelled with* a job that it needs,
directly or through others. Both are final, as what they follow from is. Rank and latest start go
backwards: a job is as urgent as the most urgent job that needs it. Each call costs what the edges cost that
change. What follows from a call is collected until the owner takes it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

LOWEST_RANK = 1 << 30


class Outcome(Enum):
    """How a job ended, as stored."""

    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(slots=True)
class Entry:
    """One job of the graph. Ranks are indices, 0 the highest; times are times of day in seconds."""

    ref: str
    needs: list[int] = field(default_factory=list)
    needed_by: list[int] = field(default_factory=list)
    unmet: int = 0  # jobs that it needs and that are not done
    outcome: Outcome | None = None
    ended_at: float = 0.0  # when it ended, if it did and that is known
    cancelled_with: bool = False  # a job that it needs was cancelled
    ready_at: float = 0.0  # when the last of the jobs that it needs was done
    own_rank: int = LOWEST_RANK
    own_due: float = math.inf
    duration_s: float = 0.0
    rank: int = LOWEST_RANK  # its own, or that of a job that needs it
    latest_end: float = math.inf


@dataclass(slots=True)
class Changes:
    """What follows from calls since it was last taken."""

    ready: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    more_urgent: list[str] = field(default_factory=list)  # or less


class DependencyGraph:
    """The jobs that need others, and those that are needed."""

    def __init__(self) -> None:
        self._index: dict[str, int] = {}
        self._entries: list[Entry] = []
        self._changes = Changes()

    def __contains__(self, ref: str) -> bool:
        return ref in self._index

    # -- what is known ---------------------------------------------------------------------------

    def add(self, ref: str, needs: Sequence[str]) -> None:
        """A job that needs others; says the same again without effect."""
        at = self._of(ref)
        entry = self._entries[at]
        if entry.needs:
            return
        for name in dict.fromkeys(needs):
            other = self._of(name)
            entry.needs.append(other)
            self._entries[other].needed_by.append(at)
            self._follow_need(at, other)
        self._raise_needs(at)

    def describe(self, ref: str, rank: int, duration_s: float, due_at: float | None) -> None:
        """What a job of the graph asks for itself."""
        at = self._index.get(ref)
        if at is None:
            return
        entry = self._entries[at]
        if entry.own_rank == rank:
            return  # a description never changes
        entry.own_rank, entry.duration_s = rank, duration_s
        entry.own_due = math.inf if due_at is None else due_at
        if entry.outcome is None:
            entry.rank, entry.latest_end = min(rank, entry.rank), min(entry.own_due, entry.latest_end)
            self._changes.more_urgent.append(ref)
        # Its length counts for those that it needs even where nothing else about it has changed.
        self._raise_needs(at)

    def settle(self, ref: str, outcome: Outcome, at_s: float | None = None) -> None:
        """A job's end was stored; `at_s` is when it ended, if that is known."""
        at = self._index.get(ref)
        if at is None or self._entries[at].outcome is not None:
            return
        entry = self._entries[at]
        entry.outcome, entry.ended_at = outcome, at_s or 0.0
        for child in entry.needed_by:
            self._follow_end(child, entry)
        self._lower(entry.needs)

    # -- what follows ----------------------------------------------------------------------------

    def dependencies_of(self, ref: str) -> list[str]:
        """The jobs that a job needs."""
        at = self._index.get(ref)
        return [] if at is None else [self._entries[n].ref for n in self._entries[at].needs]

    def blocked(self, ref: str) -> bool:
        """Whether a job that it needs is not known to be done."""
        at = self._index.get(ref)
        return at is not None and self._entries[at].unmet > 0

    def has_cancelled_dependency(self, ref: str) -> bool:
        """Whether a job that it needs was cancelled."""
        at = self._index.get(ref)
        return at is not None and self._entries[at].cancelled_with

    def ready_at(self, ref: str) -> float:
        """When the last job that it needs was done; 0 if that is not known."""
        at = self._index.get(ref)
        return 0.0 if at is None else self._entries[at].ready_at

    def rank(self, ref: str, own: int) -> int:
        """The rank that a job is treated as having."""
        at = self._index.get(ref)
        return own if at is None else min(own, self._entries[at].rank)

    def latest_start(self, ref: str) -> float:
        """When a job has to start for all that need it, by the owners' estimates; infinity if nobody says."""
        at = self._index.get(ref)
        return math.inf if at is None else self._entries[at].latest_end - self._entries[at].duration_s

    def take_changes(self) -> Changes:
        """What has followed since the last call."""
        changes, self._changes = self._changes, Changes()
        return changes

    # -- how ----------------------------------------------------------------------------------------

    def _of(self, ref: str) -> int:
        at = self._index.get(ref)
        if at is None:
            at = self._index[ref] = len(self._entries)
            self._entries.append(Entry(ref))
        return at

    def _follow_need(self, at: int, other: int) -> None:
        """A new edge: `at` needs `other`."""
        entry, needed = self._entries[at], self._entries[other]
        if needed.outcome is Outcome.DONE:
            entry.ready_at = max(entry.ready_at, needed.ended_at)
            return
        entry.unmet += 1
        if needed.outcome is Outcome.CANCELLED or needed.cancelled_with:
            self._cancel(at)

    def _follow_end(self, child: int, needed: Entry) -> None:
        """A job that `child` needs has ended."""
        entry = self._entries[child]
        if needed.outcome is Outcome.CANCELLED:
            self._cancel(child)
            return
        entry.unmet -= 1
        entry.ready_at = max(entry.ready_at, needed.ended_at)
        if not entry.unmet and entry.outcome is None:
            self._changes.ready.append(entry.ref)

    def _cancel(self, at: int) -> None:
        """A job and all that need it are cancelled; those that ended before stay as they are."""
        stack = [at]
        while stack:
            entry = self._entries[stack.pop()]
            if entry.cancelled_with or entry.outcome is Outcome.DONE:
                continue
            entry.cancelled_with = True
            if entry.outcome is None:
                self._changes.cancelled.append(entry.ref)
            stack.extend(entry.needed_by)

    def _raise_needs(self, at: int) -> None:
        """What a job's urgency means for those that it needs."""
        stack = [at]
        while stack:
            entry = self._entries[stack.pop()]
            rank, latest_end = entry.rank, entry.latest_end - entry.duration_s
            if entry.outcome is not None or entry.cancelled_with:
                continue
            for need in entry.needs:
                other = self._entries[need]
                if other.outcome is not None or (rank >= other.rank and latest_end >= other.latest_end):
                    continue
                other.rank, other.latest_end = min(rank, other.rank), min(latest_end, other.latest_end)
                self._changes.more_urgent.append(other.ref)
                stack.append(need)

    def _lower(self, changed: Sequence[int]) -> None:
        """Jobs that need these are over: as urgent as the rest of them wants, and so on for those that they need."""
        stack = list(changed)
        while stack:
            entry = self._entries[stack.pop()]
            if entry.outcome is not None:
                continue
            rank, latest_end = entry.own_rank, entry.own_due
            for child in entry.needed_by:
                other = self._entries[child]
                if other.outcome is None and not other.cancelled_with:
                    rank = min(rank, other.rank)
                    latest_end = min(latest_end, other.latest_end - other.duration_s)
            if (rank, latest_end) != (entry.rank, entry.latest_end):
                entry.rank, entry.latest_end = rank, latest_end
                self._changes.more_urgent.append(entry.ref)
                stack.extend(entry.needs)
