"""The fewest waves in which a drain can be done, whoever plans it: what the preview's number is compared with.

A constraint solver assigns machines to waves, so that no wave holds more machines than a batch or disrupts more jobs of
a team than its budget. Room elsewhere and run times are left out, so this is a lower bound. It is for the command only:
the solver is an extra (`pip install hookwall[plan]`).
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

SOLVER_S = 10.0


class SolverMissingError(Exception):
    """The solver is not installed."""


@dataclass(frozen=True, slots=True)
class LoadedJob:
    """A job on a machine. A gang that is stopped leaves all of its machines."""

    ref: str
    team: str
    gang: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """A machine and the jobs on it. `weight`: what it takes of a batch."""

    machine: str
    jobs: tuple[LoadedJob, ...]
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Bound:
    """At least so many waves; `exact`: so many are enough as well, but for room elsewhere."""

    waves: int
    exact: bool


def _separable(loads: Sequence[Load], budgets: Mapping[str, int]) -> list[Load]:
    """A machine with more jobs of a team than its whole budget is emptied job by job, in several waves."""
    result: list[Load] = []
    for load in loads:
        jobs_of = Counter(job.team for job in load.jobs)
        if all(jobs <= budgets.get(team, jobs) for team, jobs in jobs_of.items()):
            result.append(load)
        else:
            result += [Load(f"{load.machine}/{job.ref}", (job,), weight=0) for job in load.jobs]
    return result


class _Model:
    """The constraint model: which load in which wave, and which jobs are stopped in it."""

    def __init__(self, loads: Sequence[Load], waves: int) -> None:
        from ortools.sat.python import cp_model

        self.loads, self.waves, self.model = loads, range(waves), cp_model.CpModel()
        self.in_wave = {(load.machine, w): self.model.new_bool_var("") for load in loads for w in self.waves}
        self.used = [self.model.new_bool_var("") for _ in self.waves]
        jobs = {job for load in loads for job in load.jobs}
        self.stopped = {(job, w): self.model.new_bool_var("") for job in jobs for w in self.waves}

    def build(self, batch: int, budgets: Mapping[str, int]) -> None:
        """All constraints."""
        model = self.model
        for load in self.loads:
            model.add_exactly_one(self.in_wave[load.machine, w] for w in self.waves)
            for job in load.jobs:
                self._stop_in_time(load, job)
        for w in self.waves:
            model.add(sum(load.weight * self.in_wave[load.machine, w] for load in self.loads) <= batch * self.used[w])
            for load in self.loads:
                model.add_implication(self.in_wave[load.machine, w], self.used[w])
            if w:
                model.add_implication(self.used[w], self.used[w - 1])
            for team, limit in budgets.items():
                model.add(sum(var for (job, at), var in self.stopped.items() if job.team == team and at == w) <= limit)
        model.minimize(sum(self.used))

    def _stop_in_time(self, load: Load, job: LoadedJob) -> None:
        """A load's jobs are stopped in its wave; a gang in this or an earlier one."""
        for w in self.waves:
            earliest = 0 if job.gang else w
            when = [self.stopped[job, at] for at in range(earliest, w + 1)]
            self.model.add_bool_or(when).only_enforce_if(self.in_wave[load.machine, w])


def fewest_waves(
    loads: Sequence[Load], batch: int, budgets: Mapping[str, int], most: int, solver_s: float = SOLVER_S
) -> Bound:
    """The fewest waves for these machines; teams without a budget are not limited. `most`: waves known to be enough."""
    try:
        from ortools.sat.python import cp_model
    except ImportError:
        raise SolverMissingError("the solver is not installed: pip install 'hookwall[plan]'") from None
    if not loads:
        return Bound(0, True)
    model = _Model(_separable(loads, budgets), most)
    model.build(batch, budgets)
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = solver_s
    solver.parameters.num_workers = 1
    status = solver.solve(model.model)
    if status == cp_model.OPTIMAL:
        return Bound(round(solver.objective_value), True)
    if status == cp_model.INFEASIBLE:
        raise ValueError(f"{most} waves are not enough")
    return Bound(max(1, math.ceil(solver.best_objective_bound - 1e-6)), False)
