"""Collects the planner's input for one drain and runs the planner.

Invariant: a plan takes no longer than the time budget of a scheduling round, however large the fleet is.
"""

from collections.abc import Callable

from hookwall.drains.drain_plan import Candidate, DrainPlan, DrainTerms
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.planner import plan_drain
from hookwall.drains.planning_view import PlanningView
from hookwall.drains.records import DeadlinePolicy
from hookwall.scheduling.scheduler import Scheduler

SEARCH_INTERVAL_S = 5.0  # interval between searches for the next machines while a search finds none


class PlanBuilder:
    """Examines the machines that a drain has cordoned, and searches for the next ones if its batch is not full."""

    def __init__(
        self,
        table: DrainTable,
        planning_view: PlanningView,
        scheduler: Scheduler,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
    ) -> None:
        """Plan from `table` and `planning_view`; `clock`, which is monotonic, and `time_of_day` return seconds."""
        self.table = table
        self.planning_view = planning_view
        self.scheduler = scheduler
        self.clock = clock
        self.time_of_day = time_of_day
        self._next_search_at: dict[str, float] = {}  # by drain, the earliest time of the next search
        self._cursor: dict[str, int] = {}  # by drain, the index at which the next search begins

    def reset(self) -> None:
        """Begin a leadership: search immediately, and from the first machine."""
        self._next_search_at.clear()
        self._cursor.clear()

    def build_plan(self, name: str) -> DrainPlan:
        """Plan the next steps of one drain."""
        record = self.table.drains[name].record
        now = self.clock()
        steps = self.table.steps_of(name)
        candidates = [self.planning_view.candidate(machine, step, name, now) for machine, step in steps.items()]
        is_searching = len(steps) < record.batch_size and self._may_search(name, now)
        if is_searching:
            candidates += self._next_candidates(name, now)
        skip_waits = record.deadline_policy is DeadlinePolicy.SKIP_WAITS and record.is_overdue(self.time_of_day())
        terms = DrainTerms(record.batch_size, record.finish_grace_s, record.allow_unbudgeted, skip_waits)
        free_capacities = self.planning_view.free_capacities(now) if steps else []
        until = self.clock() + self.scheduler.budget_s
        budgets = self.planning_view.team_budgets()
        plan = plan_drain(terms, candidates, budgets, free_capacities, self.time_of_day(), lambda: self.clock() < until)
        if is_searching and not plan.cordon:
            self._next_search_at[name] = now + SEARCH_INTERVAL_S
        return plan

    def _may_search(self, name: str, now: float) -> bool:
        next_search_at = self._next_search_at.get(name)
        return next_search_at is None or now >= next_search_at

    def _next_candidates(self, name: str, now: float) -> list[Candidate]:
        """Machines that may be cordoned next: as many as time allows, starting where the last search ended."""
        machines = self.table.machines[name]
        first = self._cursor.get(name, 0)
        until = now + self.scheduler.budget_s
        candidates: list[Candidate] = []
        for offset in range(len(machines)):
            if self.clock() > until:
                break
            machine = machines[(first + offset) % len(machines)]
            step = self.table.step_of(machine)
            if step is None or step.drain != name:
                candidates.append(self.planning_view.candidate(machine, step, name, now))
            self._cursor[name] = first + offset + 1
        return candidates
