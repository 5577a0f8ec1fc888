"""The fewest waves in which a drain can be done, whoever plans it: what the preview's number is compared with.

A constraint solver assigns machines to waves, so that no wave holds more machines than a batch or disrupts more jobs of
a team than its budget. Invariant: this is a lower bound, as capacity elsewhere and run times are left out. It is for
the command only: the solver is an extra (`pip install hookwall[plan]`).
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hookwall.drains.errors import SolverMissingError, TooFewWavesError

if TYPE_CHECKING:
    from ortools.sat.python import cp_model

SOLVER_S = 10.0
ROUNDING_TOLERANCE = 1e-6  # of the bound that the solver gives


@dataclass(frozen=True, slots=True)
class LoadedJob:
    """A job on a machine. A gang that is evicted leaves all of its machines."""

    job_id: str
    team: str
    gang: bool = False


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """A machine and the jobs on it. `weight`: what it takes of a batch."""

    machine: str
    jobs: tuple[LoadedJob, ...]
    weight: int = 1


@dataclass(frozen=True, slots=True)
class WaveLowerBound:
    """At least so many waves; `exact`: so many are enough as well, but for capacity elsewhere."""

    waves: int
    exact: bool


def _separable(loads: Sequence[MachineLoad], budgets: Mapping[str, int]) -> list[MachineLoad]:
    """A machine with more jobs of a team than its whole budget is emptied job by job, in several waves."""
    result: list[MachineLoad] = []
    for load in loads:
        jobs_by_team = Counter(job.team for job in load.jobs)
        if all(jobs <= budgets.get(team, jobs) for team, jobs in jobs_by_team.items()):
            result.append(load)
        else:
            result += [MachineLoad(f"{load.machine}/{job.job_id}", (job,), weight=0) for job in load.jobs]
    return result


class _WaveModel:
    """The constraint model: which load in which wave, and which jobs are evicted in it."""

    def __init__(self, loads: Sequence[MachineLoad], waves: int) -> None:
        """The variables for these loads in so many waves."""
        from ortools.sat.python import cp_model

        self._loads = loads
        self._waves = range(waves)
        self.model = cp_model.CpModel()
        self._in_wave = {(load.machine, wave): self._new_variable() for load in loads for wave in self._waves}
        self._used = [self._new_variable() for _ in self._waves]
        jobs = {job for load in loads for job in load.jobs}
        self._evicted = {(job, wave): self._new_variable() for job in jobs for wave in self._waves}

    def _new_variable(self) -> "cp_model.IntVar":
        return self.model.new_bool_var("")

    def build(self, batch_size: int, budgets: Mapping[str, int]) -> None:
        """All constraints, and that as few waves as possible are used."""
        for load in self._loads:
            self.model.add_exactly_one(self._in_wave[load.machine, wave] for wave in self._waves)
            for job in load.jobs:
                self._evict_in_time(load, job)
        for wave in self._waves:
            self._limit_machines(wave, batch_size)
            self._limit_disruptions(wave, budgets)
        self.model.minimize(sum(self._used))

    def _evict_in_time(self, load: MachineLoad, job: LoadedJob) -> None:
        """A load's jobs are evicted in its wave; a gang in this or an earlier one."""
        for wave in self._waves:
            earliest = 0 if job.gang else wave
            evicted = [self._evicted[job, at] for at in range(earliest, wave + 1)]
            self.model.add_bool_or(evicted).only_enforce_if(self._in_wave[load.machine, wave])

    def _limit_machines(self, wave: int, batch_size: int) -> None:
        """A wave that is used holds a batch at the most, and comes after one that is used."""
        weight = sum(load.weight * self._in_wave[load.machine, wave] for load in self._loads)
        self.model.add(weight <= batch_size * self._used[wave])
        for load in self._loads:
            self.model.add_implication(self._in_wave[load.machine, wave], self._used[wave])
        if wave:
            self.model.add_implication(self._used[wave], self._used[wave - 1])

    def _limit_disruptions(self, wave: int, budgets: Mapping[str, int]) -> None:
        for team, limit in budgets.items():
            evicted = [variable for (job, at), variable in self._evicted.items() if job.team == team and at == wave]
            self.model.add(sum(evicted) <= limit)


def wave_lower_bound(
    loads: Sequence[MachineLoad],
    batch_size: int,
    budgets: Mapping[str, int],
    enough_waves: int,
    solver_s: float = SOLVER_S,
) -> WaveLowerBound:
    """The fewest waves for these machines; teams without a budget are not limited.

    `enough_waves` are known to be enough. The solver may take `solver_s` seconds; without a proof by then the bound is
    not exact.

    Raises:
        SolverMissingError: the solver is not installed.
        TooFewWavesError: `enough_waves` are not enough.
    """
    try:
        from ortools.sat.python import cp_model
    except ImportError as error:
        raise SolverMissingError("the solver is not installed: pip install 'hookwall[plan]'") from error
    if not loads:
        return WaveLowerBound(0, True)
    model = _WaveModel(_separable(loads, budgets), enough_waves)
    model.build(batch_size, budgets)
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = solver_s
    solver.parameters.num_workers = 1
    status = solver.solve(model.model)
    if status == cp_model.OPTIMAL:
        return WaveLowerBound(round(solver.objective_value), True)
    if status == cp_model.INFEASIBLE:
        raise TooFewWavesError(f"{enough_waves} waves are not enough")
    return WaveLowerBound(max(1, math.ceil(solver.best_objective_bound - ROUNDING_TOLERANCE)), False)
