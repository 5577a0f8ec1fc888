"""Which jobs depend on which: a graph free of I/O, on dense indices.

Invariant: a job is *ready* once every job that it depends on is stored as done, and *cancelled* with a job that it
depends on, directly or through others. Both are final, as what they follow from is.

Rank and latest start are propagated backwards: a job is as urgent as the most urgent job that depends on it. Each call
costs what the edges cost that change. What follows from a call is collected until the owner drains it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

LOWEST_RANK = 1 << 30


class Outcome(Enum):
    """How a job ended, by the stored word."""

    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(slots=True)
class JobNode:
    """One job of the graph. Ranks are indices, 0 the highest; times are times of day in seconds."""

    job_id: str
    dependencies: list[int] = field(default_factory=list)
    dependents: list[int] = field(default_factory=list)
    unmet_count: int = 0  # dependencies that are not done
    outcome: Outcome | None = None
    ended_at: float = 0.0  # 0: not ended, or it is not known when
    cancelled: bool = False  # a dependency was cancelled
    ready_at: float = 0.0  # when the last of its dependencies was done
    own_rank: int = LOWEST_RANK
    own_deadline: float = math.inf
    duration_s: float = 0.0
    rank: int = LOWEST_RANK  # its own, or that of a dependent
    latest_end: float = math.inf


@dataclass(slots=True)
class GraphChanges:
    """What has followed from calls since it was last drained, as job ids."""

    ready: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    urgency_changed: list[str] = field(default_factory=list)


class DependencyGraph:
    """The jobs that depend on others, and those that others depend on."""

    def __init__(self) -> None:
        """An empty graph."""
        self._index_of: dict[str, int] = {}
        self._nodes: list[JobNode] = []
        self._changes = GraphChanges()

    def __contains__(self, job_id: str) -> bool:
        """Whether the job depends on another or another on it."""
        return job_id in self._index_of

    # -- what is known ---------------------------------------------------------------------------

    def add_job(self, job_id: str, dependencies: Sequence[str]) -> None:
        """Add a job that depends on others; adding it again has no effect."""
        index = self._ensure_node(job_id)
        node = self._nodes[index]
        if node.dependencies:
            return
        for name in dict.fromkeys(dependencies):
            dependency = self._ensure_node(name)
            node.dependencies.append(dependency)
            self._nodes[dependency].dependents.append(index)
            self._apply_new_edge(index, dependency)
        self._raise_urgency_of_dependencies(index)

    def set_requirements(self, job_id: str, rank: int, duration_s: float, deadline: float | None) -> None:
        """Set what a job of the graph asks for itself; its deadline is a time of day, None for none."""
        index = self._index_of.get(job_id)
        if index is None:
            return
        node = self._nodes[index]
        if node.own_rank == rank:
            return  # a description never changes
        node.own_rank = rank
        node.duration_s = duration_s
        node.own_deadline = math.inf if deadline is None else deadline
        if node.outcome is None:
            node.rank = min(rank, node.rank)
            node.latest_end = min(node.own_deadline, node.latest_end)
            self._changes.urgency_changed.append(job_id)
        # Its length counts for its dependencies even where nothing else about it has changed.
        self._raise_urgency_of_dependencies(index)

    def record_outcome(self, job_id: str, outcome: Outcome, ended_at: float | None = None) -> None:
        """Record that a job's end is stored; `ended_at` is its time of day, None where it is not known."""
        index = self._index_of.get(job_id)
        if index is None or self._nodes[index].outcome is not None:
            return
        node = self._nodes[index]
        node.outcome = outcome
        node.ended_at = ended_at or 0.0
        for dependent in node.dependents:
            self._apply_end_of_dependency(dependent, node)
        self._lower_urgency(node.dependencies)

    # -- what follows ----------------------------------------------------------------------------

    def dependencies_of(self, job_id: str) -> list[str]:
        """The jobs that a job depends on directly."""
        index = self._index_of.get(job_id)
        return [] if index is None else [self._nodes[n].job_id for n in self._nodes[index].dependencies]

    def is_blocked(self, job_id: str) -> bool:
        """Whether a job that it depends on is not known to be done."""
        index = self._index_of.get(job_id)
        return index is not None and self._nodes[index].unmet_count > 0

    def has_cancelled_dependency(self, job_id: str) -> bool:
        """Whether a job that it depends on, directly or through others, was cancelled."""
        index = self._index_of.get(job_id)
        return index is not None and self._nodes[index].cancelled

    def ready_at(self, job_id: str) -> float:
        """When the last job that it depends on was done, as a time of day; 0 if that is not known."""
        index = self._index_of.get(job_id)
        return 0.0 if index is None else self._nodes[index].ready_at

    def effective_rank(self, job_id: str, own_rank: int) -> int:
        """The rank that a job is treated as having: its own, or a higher one of a dependent."""
        index = self._index_of.get(job_id)
        return own_rank if index is None else min(own_rank, self._nodes[index].rank)

    def latest_start(self, job_id: str) -> float:
        """When a job has to start for all its dependents, by the owners' estimates; infinity if nobody says."""
        index = self._index_of.get(job_id)
        return math.inf if index is None else self._nodes[index].latest_end - self._nodes[index].duration_s

    def drain_changes(self) -> GraphChanges:
        """Give what has followed since the last call, and forget it."""
        changes = self._changes
        self._changes = GraphChanges()
        return changes

    # -- propagation -----------------------------------------------------------------------------

    def _ensure_node(self, job_id: str) -> int:
        index = self._index_of.get(job_id)
        if index is None:
            index = len(self._nodes)
            self._index_of[job_id] = index
            self._nodes.append(JobNode(job_id))
        return index

    def _apply_new_edge(self, index: int, dependency: int) -> None:
        """The job at `index` depends on that at `dependency` from now on."""
        node = self._nodes[index]
        needed = self._nodes[dependency]
        if needed.outcome is Outcome.DONE:
            node.ready_at = max(node.ready_at, needed.ended_at)
            return
        node.unmet_count += 1
        if needed.outcome is Outcome.CANCELLED or needed.cancelled:
            self._cancel_with_dependents(index)

    def _apply_end_of_dependency(self, index: int, ended: JobNode) -> None:
        """A job that the one at `index` depends on has ended."""
        node = self._nodes[index]
        if ended.outcome is Outcome.CANCELLED:
            self._cancel_with_dependents(index)
            return
        node.unmet_count -= 1
        node.ready_at = max(node.ready_at, ended.ended_at)
        if not node.unmet_count and node.outcome is None:
            self._changes.ready.append(node.job_id)

    def _cancel_with_dependents(self, index: int) -> None:
        """Cancel a job and all that depend on it; those that ended before stay as they are."""
        stack = [index]
        while stack:
            node = self._nodes[stack.pop()]
            if node.cancelled or node.outcome is Outcome.DONE:
                continue
            node.cancelled = True
            if node.outcome is None:
                self._changes.cancelled.append(node.job_id)
            stack.extend(node.dependents)

    def _raise_urgency_of_dependencies(self, index: int) -> None:
        """Make the jobs that it depends on, directly or through others, as urgent as it is."""
        stack = [index]
        while stack:
            node = self._nodes[stack.pop()]
            rank = node.rank
            latest_end = node.latest_end - node.duration_s
            if node.outcome is not None or node.cancelled:
                continue
            for dependency in node.dependencies:
                needed = self._nodes[dependency]
                if needed.outcome is not None or (rank >= needed.rank and latest_end >= needed.latest_end):
                    continue
                needed.rank = min(rank, needed.rank)
                needed.latest_end = min(latest_end, needed.latest_end)
                self._changes.urgency_changed.append(needed.job_id)
                stack.append(dependency)

    def _lower_urgency(self, indices: Sequence[int]) -> None:
        """A dependent of these jobs is over: they are as urgent as the rest asks, and so on for their dependencies."""
        stack = list(indices)
        while stack:
            node = self._nodes[stack.pop()]
            if node.outcome is not None:
                continue
            rank, latest_end = self._urgency_by_dependents(node)
            if (rank, latest_end) != (node.rank, node.latest_end):
                node.rank = rank
                node.latest_end = latest_end
                self._changes.urgency_changed.append(node.job_id)
                stack.extend(node.dependencies)

    def _urgency_by_dependents(self, node: JobNode) -> tuple[int, float]:
        """Rank and latest end of a job by itself and by those dependents that are not over."""
        rank = node.own_rank
        latest_end = node.own_deadline
        for dependent in node.dependents:
            other = self._nodes[dependent]
            if other.outcome is None and not other.cancelled:
                rank = min(rank, other.rank)
                latest_end = min(latest_end, other.latest_end - other.duration_s)
        return rank, latest_end
