"""The graph of dependencies between jobs. It does no I/O and refers to jobs by dense indices.

Invariant: a job is *ready* once every job that it depends on is stored as done, and *cancelled* once a job that it
depends on, directly or transitively, is cancelled. Both states are final, because the stored outcomes that cause them
are final.

Rank and latest start are propagated backwards: a job is as urgent as the most urgent job that depends on it. The cost
of a call is proportional to the number of edges that it affects. The effects of calls are collected until the owner of
the graph drains them.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

LOWEST_RANK = 1 << 30


class Outcome(Enum):
    """How a job ended. The values are the stored phases."""

    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(slots=True)
class JobNode:
    """One job of the graph. Ranks are indices, where 0 is the highest; times are times of day in seconds."""

    job_id: str
    dependencies: list[int] = field(default_factory=list)
    dependents: list[int] = field(default_factory=list)
    unmet_count: int = 0  # the number of dependencies that are not done
    outcome: Outcome | None = None
    ended_at: float = 0.0  # 0: not ended, or the time is not known
    cancelled: bool = False  # whether a dependency, direct or transitive, was cancelled
    ready_at: float = 0.0  # when the last of its dependencies was done
    own_rank: int = LOWEST_RANK
    own_deadline: float = math.inf
    duration_s: float = 0.0
    rank: int = LOWEST_RANK  # the highest of its own rank and those of its dependents
    latest_end: float = math.inf


@dataclass(slots=True)
class GraphChanges:
    """The effects of calls since the changes were last drained, as job ids."""

    ready: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    urgency_changed: list[str] = field(default_factory=list)


class DependencyGraph:
    """The jobs that depend on other jobs, and the jobs that others depend on."""

    def __init__(self) -> None:
        """Create an empty graph."""
        self._index_of: dict[str, int] = {}
        self._nodes: list[JobNode] = []
        self._changes = GraphChanges()

    def __contains__(self, job_id: str) -> bool:
        """Whether the job depends on another job, or another job depends on it."""
        return job_id in self._index_of

    # -- updates ---------------------------------------------------------------------------------

    def add_job(self, job_id: str, dependencies: Sequence[str]) -> None:
        """Add a job that depends on others. Adding it again has no effect."""
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
        """Set the rank, estimated duration and deadline of a job in the graph.

        The deadline is a time of day, or None if the job has none. A job that is not in the graph is ignored.
        """
        index = self._index_of.get(job_id)
        if index is None:
            return
        node = self._nodes[index]
        if node.own_rank == rank:
            return  # the requirements are set already, and the description of a job never changes
        node.own_rank = rank
        node.duration_s = duration_s
        node.own_deadline = math.inf if deadline is None else deadline
        if node.outcome is None:
            node.rank = min(rank, node.rank)
            node.latest_end = min(node.own_deadline, node.latest_end)
            self._changes.urgency_changed.append(job_id)
        # The job's duration affects its dependencies even if nothing else about it has changed.
        self._raise_urgency_of_dependencies(index)

    def record_outcome(self, job_id: str, outcome: Outcome, ended_at: float | None = None) -> None:
        """Record that a job's end is stored. `ended_at` is the time of day of the end, or None if it is not known."""
        index = self._index_of.get(job_id)
        if index is None or self._nodes[index].outcome is not None:
            return
        node = self._nodes[index]
        node.outcome = outcome
        node.ended_at = ended_at or 0.0
        for dependent in node.dependents:
            self._apply_end_of_dependency(dependent, node)
        self._lower_urgency(node.dependencies)

    # -- queries ---------------------------------------------------------------------------------

    def dependencies_of(self, job_id: str) -> list[str]:
        """The jobs that a job depends on directly."""
        index = self._index_of.get(job_id)
        return [] if index is None else [self._nodes[n].job_id for n in self._nodes[index].dependencies]

    def is_blocked(self, job_id: str) -> bool:
        """Whether a direct dependency of the job is not known to be done."""
        index = self._index_of.get(job_id)
        return index is not None and self._nodes[index].unmet_count > 0

    def has_cancelled_dependency(self, job_id: str) -> bool:
        """Whether a direct or transitive dependency of the job was cancelled."""
        index = self._index_of.get(job_id)
        return index is not None and self._nodes[index].cancelled

    def ready_at(self, job_id: str) -> float:
        """The time of day at which the last dependency of the job was done; 0 if that is not known."""
        index = self._index_of.get(job_id)
        return 0.0 if index is None else self._nodes[index].ready_at

    def effective_rank(self, job_id: str, own_rank: int) -> int:
        """The rank used for scheduling the job: the highest of its own rank and those of its dependents."""
        index = self._index_of.get(job_id)
        return own_rank if index is None else min(own_rank, self._nodes[index].rank)

    def latest_start(self, job_id: str) -> float:
        """The latest time of day at which a job can start without making itself or a dependent miss its deadline.

        It is computed from the durations that the jobs' owners have estimated. Infinity if no deadline is set.
        """
        index = self._index_of.get(job_id)
        return math.inf if index is None else self._nodes[index].latest_end - self._nodes[index].duration_s

    def drain_changes(self) -> GraphChanges:
        """Return the effects collected since the last call, and clear them."""
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
        """Update the job at `index` after it was made dependent on the job at `dependency`."""
        node = self._nodes[index]
        needed = self._nodes[dependency]
        if needed.outcome is Outcome.DONE:
            node.ready_at = max(node.ready_at, needed.ended_at)
            return
        node.unmet_count += 1
        if needed.outcome is Outcome.CANCELLED or needed.cancelled:
            self._cancel_with_dependents(index)

    def _apply_end_of_dependency(self, index: int, ended: JobNode) -> None:
        """Update the job at `index` after the job `ended`, which it depends on, has ended."""
        node = self._nodes[index]
        if ended.outcome is Outcome.CANCELLED:
            self._cancel_with_dependents(index)
            return
        node.unmet_count -= 1
        node.ready_at = max(node.ready_at, ended.ended_at)
        if not node.unmet_count and node.outcome is None:
            self._changes.ready.append(node.job_id)

    def _cancel_with_dependents(self, index: int) -> None:
        """Cancel a job and all its direct and transitive dependents. Jobs that ended earlier keep their outcome."""
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
        """Make all direct and transitive dependencies of the job at `index` at least as urgent as the job."""
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
        """Lower the urgency of jobs, and of their dependencies, after a dependent of these jobs has ended.

        Each of them is then as urgent as its own requirements and its remaining dependents demand.
        """
        stack = list(indices)
        while stack:
            node = self._nodes[stack.pop()]
            if node.outcome is not None:
                continue
            rank, latest_end = self._compute_urgency(node)
            if (rank, latest_end) != (node.rank, node.latest_end):
                node.rank = rank
                node.latest_end = latest_end
                self._changes.urgency_changed.append(node.job_id)
                stack.extend(node.dependencies)

    def _compute_urgency(self, node: JobNode) -> tuple[int, float]:
        """The rank and latest end of a job, from its own requirements and from dependents that have not ended."""
        rank = node.own_rank
        latest_end = node.own_deadline
        for dependent in node.dependents:
            other = self._nodes[dependent]
            if other.outcome is None and not other.cancelled:
                rank = min(rank, other.rank)
                latest_end = min(latest_end, other.latest_end - other.duration_s)
        return rank, latest_end
