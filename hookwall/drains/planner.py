"""Which machines of a drain come next and which jobs are evicted there: a pure function of what is known.

A machine is cordoned first. Its tasks may end by themselves for a while; then the jobs that remain are evicted, the
cheapest machine first, as far as the budgets of all their teams allow it and there is capacity for them elsewhere.
Invariant: no budget is exceeded, and a machine is emptied in one go where the budgets allow that, so that no job is
stopped for a machine that another team's budget holds back all the same. Only one that has more jobs of a team than
its whole budget goes job by job.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hookwall.drains.capacity_reservation import reserve_all
from hookwall.drains.drain_plan import Candidate, DrainPlan, DrainTerms, Eviction, Occupant, TeamBudgets
from hookwall.drains.wait_reasons import Wait, WaitKind
from hookwall.scheduling.placement import FreeCapacity


class _DisruptionCost(NamedTuple):
    """Orders machines by what emptying them costs, the cheapest first."""

    lost_work_s: float
    task_count: int
    name: str


def plan_drain(
    terms: DrainTerms,
    candidates: Sequence[Candidate],
    budgets: TeamBudgets,
    free_capacities: Sequence[FreeCapacity],
    now: float,
    in_time: Callable[[], bool] = lambda: True,
) -> DrainPlan:
    """Decide the next steps of one drain.

    Args:
        terms: what the drain has to respect.
        candidates: the machines that are cordoned for it, and those that may be next.
        budgets: what teams have left; used up by what is decided.
        free_capacities: capacity elsewhere; used up by what is decided.
        now: time of day in seconds.
        in_time: whether there is time to look at one more machine; the rest waits for the next call.
    """
    plan = DrainPlan()
    planner = _EvictionPlanner(terms, budgets, free_capacities, now, plan)
    for candidate in sorted((candidate for candidate in candidates if candidate.cordoned), key=_disruption_cost):
        if candidate.waits:
            plan.waits.extend(candidate.waits)
        elif candidate.occupants and not in_time():
            break
        else:
            planner.evict_from(candidate)
    _choose_cordons(terms, candidates, budgets, plan, in_time)
    return plan


def _disruption_cost(candidate: Candidate) -> _DisruptionCost:
    return _DisruptionCost(candidate.lost_work_s(), candidate.task_count, candidate.name)


# -- cordons -------------------------------------------------------------------------------------


def _choose_cordons(
    terms: DrainTerms,
    candidates: Sequence[Candidate],
    budgets: TeamBudgets,
    plan: DrainPlan,
    in_time: Callable[[], bool],
) -> None:
    """Choose the next machines: those that can be emptied soonest beside what is cordoned already, then the cheapest.

    By cost alone a batch came to hold jobs of one team only, and the other teams' budgets stayed unused.
    """
    needed: Counter[str] = Counter()
    spare = terms.batch_size
    for candidate in candidates:
        if candidate.cordoned:
            needed.update(_budget_needs(candidate))
            spare -= 1
    choices: dict[str, Candidate] = {}
    for candidate in candidates:
        if candidate.waits and not candidate.cordoned:
            plan.waits.extend(candidate.waits)
        elif spare > 0 and not candidate.cordoned and _can_be_emptied(terms, candidate, budgets, plan):
            choices[candidate.name] = candidate
    needs = {name: _budget_needs(candidate) for name, candidate in choices.items()}
    costs = {name: _disruption_cost(candidate) for name, candidate in choices.items()}
    for _ in range(min(spare, len(choices))):
        if plan.cordon and not in_time():
            return
        chosen = min(needs, key=lambda name: (_periods_to_empty(needs[name], needed, budgets), costs[name]))
        needed.update(needs.pop(chosen))
        plan.cordon.append(chosen)


def _budget_needs(candidate: Candidate) -> Counter[str]:
    """How much of each team's budget emptying a machine takes."""
    return Counter(occupant.team for occupant in candidate.occupants if not occupant.already_disrupted)


def _periods_to_empty(needs: Counter[str], needed_before: Counter[str], budgets: TeamBudgets) -> float:
    """How many of its teams' periods it takes to empty a machine after what is needed already."""
    return max(
        (
            (needed_before[team] + count) / max(1, budgets.total[team])
            for team, count in needs.items()
            if team in budgets.total
        ),
        default=0,
    )


def _can_be_emptied(terms: DrainTerms, candidate: Candidate, budgets: TeamBudgets, plan: DrainPlan) -> bool:
    """Whether every team there has a budget or needs none; else cordoning the machine would only idle it."""
    for occupant in candidate.occupants:
        if not budgets.has_budget(occupant.team) and not terms.allow_unbudgeted:
            plan.waits.append(Wait(WaitKind.NO_BUDGET, candidate.name, occupant.team))
            return False
    return True


# -- evictions -----------------------------------------------------------------------------------


class _EvictionPlanner:
    """Decides what is evicted from cordoned machines, one after another."""

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
        """Evict what may be evicted from a cordoned machine."""
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
        """The jobs there that budgets allow to be evicted now: all, or where they never allow all, the cheapest."""
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
        """The cheapest jobs there, of the exhausted teams only as many as they have left."""
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
        """Reserve capacity elsewhere for all of these jobs, or for none; the jobs without any are relocations."""
        unplaced = reserve_all(chosen, self._free_capacities)
        for occupant in unplaced:
            self._plan.waits.append(Wait(WaitKind.CAPACITY, candidate.name, occupant.job_id))
            self._plan.relocations.append(occupant)
        return not unplaced
