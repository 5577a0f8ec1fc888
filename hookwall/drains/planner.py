"""The planner of drains: a pure function that chooses the next machines to cordon and the jobs to evict.

A machine is cordoned first. For a grace period its tasks may end by themselves. Then the remaining jobs are evicted,
the cheapest machine first, if the budgets of all their teams allow it and there is capacity for them on other machines.
Invariant: no budget is exceeded, and a machine is emptied in a single step if the budgets allow that, so that no job is
stopped on a machine that can't be emptied yet because of another team's budget. Only a machine that has more jobs of a
team than the team's total budget is emptied job by job.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hookwall.drains.capacity_reservation import reserve_all
from hookwall.drains.drain_plan import Candidate, DrainPlan, DrainTerms, Eviction, Occupant, TeamBudgets
from hookwall.drains.wait_reasons import Wait, WaitKind
from hookwall.scheduling.placement import FreeCapacity


class _DisruptionCost(NamedTuple):
    """Sort key that orders machines by the cost of emptying them, the cheapest first."""

    lost_work_s: float
    task_count: int
    name: str


def plan_drain(
    terms: DrainTerms,
    candidates: Sequence[Candidate],
    budgets: TeamBudgets,
    free_capacities: Sequence[FreeCapacity],
    now: float,
    has_time: Callable[[], bool] = lambda: True,
) -> DrainPlan:
    """Decide the next steps of one drain.

    Args:
        terms: the limits and options of the drain.
        candidates: the machines that are cordoned for the drain, and those that may be cordoned next.
        budgets: the teams' budgets; `remaining` is reduced by the evictions that are decided.
        free_capacities: capacity on other machines; reduced by the evictions that are decided.
        now: time of day in seconds.
        has_time: whether there is time for one more machine; the remaining machines wait for the next call.
    """
    plan = DrainPlan()
    planner = _EvictionPlanner(terms, budgets, free_capacities, now, plan)
    for candidate in sorted((candidate for candidate in candidates if candidate.cordoned), key=_disruption_cost):
        if candidate.waits:
            plan.waits.extend(candidate.waits)
        elif candidate.occupants and not has_time():
            break
        else:
            planner.evict_from(candidate)
    _choose_cordons(terms, candidates, budgets, plan, has_time)
    return plan


def _disruption_cost(candidate: Candidate) -> _DisruptionCost:
    return _DisruptionCost(candidate.lost_work_s(), candidate.task_count, candidate.name)


# -- cordons -------------------------------------------------------------------------------------


def _choose_cordons(
    terms: DrainTerms,
    candidates: Sequence[Candidate],
    budgets: TeamBudgets,
    plan: DrainPlan,
    has_time: Callable[[], bool],
) -> None:
    """Choose the next machines: those that can be emptied soonest after the cordoned ones, then the cheapest.

    Choosing by cost alone filled batches with jobs of a single team, and the other teams' budgets stayed unused.
    """
    needed: Counter[str] = Counter()
    free_slots = terms.batch_size
    for candidate in candidates:
        if candidate.cordoned:
            needed.update(_budget_needs(candidate))
            free_slots -= 1
    choices: dict[str, Candidate] = {}
    for candidate in candidates:
        if candidate.waits and not candidate.cordoned:
            plan.waits.extend(candidate.waits)
        elif free_slots > 0 and not candidate.cordoned and _can_be_emptied(terms, candidate, budgets, plan):
            choices[candidate.name] = candidate
    needs = {name: _budget_needs(candidate) for name, candidate in choices.items()}
    costs = {name: _disruption_cost(candidate) for name, candidate in choices.items()}
    for _ in range(min(free_slots, len(choices))):
        if plan.cordon and not has_time():
            return
        chosen = min(needs, key=lambda name: (_periods_to_empty(needs[name], needed, budgets), costs[name]))
        needed.update(needs.pop(chosen))
        plan.cordon.append(chosen)


def _budget_needs(candidate: Candidate) -> Counter[str]:
    """How much of each team's budget is needed to empty a machine."""
    return Counter(occupant.team for occupant in candidate.occupants if not occupant.already_disrupted)


def _periods_to_empty(needs: Counter[str], needed_before: Counter[str], budgets: TeamBudgets) -> float:
    """How many budget periods it takes to empty a machine after the needs of the machines chosen before."""
    return max(
        (
            (needed_before[team] + count) / max(1, budgets.total[team])
            for team, count in needs.items()
            if team in budgets.total
        ),
        default=0,
    )


def _can_be_emptied(terms: DrainTerms, candidate: Candidate, budgets: TeamBudgets, plan: DrainPlan) -> bool:
    """Whether every team on a machine has a budget or needs none; otherwise a cordon would only leave it idle."""
    for occupant in candidate.occupants:
        if not budgets.has_budget(occupant.team) and not terms.allow_unbudgeted:
            plan.waits.append(Wait(WaitKind.NO_BUDGET, candidate.name, occupant.team))
            return False
    return True


# -- evictions -----------------------------------------------------------------------------------


class _EvictionPlanner:
    """Decides which jobs are evicted from cordoned machines, one machine after another."""

    def __init__(
        self,
        terms: DrainTerms,
        budgets: TeamBudgets,
        free_capacities: Sequence[FreeCapacity],
        now: float,
        plan: DrainPlan,
    ) -> None:
        self._terms = terms
        self._budgets = budgets
        self._free_capacities = free_capacities
        self._now = now
        self._plan = plan

    def evict_from(self, candidate: Candidate) -> None:
        """Add to the plan the jobs that may be evicted from a cordoned machine now, or why none may."""
        if not candidate.occupants:
            return
        terms = self._terms
        if not terms.skip_waits and self._now - candidate.cordoned_at < terms.finish_grace_s:
            self._plan.waits.append(Wait(WaitKind.FINISH_GRACE, candidate.name))
            return
        chosen = self._within_budgets(candidate)
        if chosen and not terms.skip_waits and not self._reserve_capacity(candidate, chosen):
            return
        if not chosen:
            return
        for occupant in chosen:
            if not occupant.already_disrupted and occupant.team in self._budgets.remaining:
                self._budgets.remaining[occupant.team] -= 1
        self._plan.evictions.append(Eviction(candidate.name, tuple(chosen)))

    def _within_budgets(self, candidate: Candidate) -> list[Occupant]:
        """The jobs on a machine that the budgets allow to evict now.

        These are all jobs or none, but the cheapest ones if the total budgets never allow all at once.
        """
        budgets = self._budgets
        needs = _budget_needs(candidate)
        exhausted = [team for team, count in needs.items() if self._exceeds_budget(team, count)]
        if not exhausted:
            return list(candidate.occupants)
        for team in sorted(exhausted):
            kind = WaitKind.BUDGET if budgets.has_budget(team) else WaitKind.NO_BUDGET
            self._plan.waits.append(Wait(kind, candidate.name, team))
        if any(needs[team] <= budgets.total.get(team, 0) or budgets.remaining.get(team, 0) <= 0 for team in exhausted):
            return []
        return self._cheapest_within_budgets(candidate, exhausted)

    def _exceeds_budget(self, team: str, count: int) -> bool:
        if self._terms.allow_unbudgeted and not self._budgets.has_budget(team):
            return False
        return count > self._budgets.remaining.get(team, 0)

    def _cheapest_within_budgets(self, candidate: Candidate, exhausted: Sequence[str]) -> list[Occupant]:
        """The cheapest jobs on a machine; of the exhausted teams, only as many as their remaining budgets allow."""
        remaining = dict(self._budgets.remaining)
        chosen: list[Occupant] = []
        for occupant in sorted(candidate.occupants, key=lambda occupant: (occupant.lost_work_s, occupant.job_id)):
            if not occupant.already_disrupted and occupant.team in exhausted:
                if remaining[occupant.team] <= 0:
                    continue
                remaining[occupant.team] -= 1
            chosen.append(occupant)
        return chosen

    def _reserve_capacity(self, candidate: Candidate, chosen: Sequence[Occupant]) -> bool:
        """Reserve capacity on other machines for all of these jobs or for none; unplaced jobs become relocations."""
        unplaced = reserve_all(chosen, self._free_capacities)
        for occupant in unplaced:
            self._plan.waits.append(Wait(WaitKind.CAPACITY, candidate.name, occupant.job_id))
            self._plan.relocations.append(occupant)
        return not unplaced
