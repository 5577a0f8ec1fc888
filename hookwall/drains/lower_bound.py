"""The fewest waves in which any plan can carry out a drain; the preview's number of waves is compared with it.

A constraint solver assigns machines to waves, so that no wave holds more machines than a batch or disrupts more jobs of
a team than its budget. Invariant: the result is a lower bound, as the model leaves out capacity on other machines and
run times. Only the command uses it: the solver is an optional dependency (`pip install hookwall[plan]`).
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hookwall.drains.errors import SolverMissingError, TooFewWavesError

if TYPE_CHECKING:
    from ortools.sat.python import cp_model

SOLVER_TIMEOUT_S = 10.0
SOLVER_TOLERANCE = 1e-6  # for the bound that the solver returns


@dataclass(frozen=True, slots=True)
class LoadedJob:
    """A job on a machine. A gang that is evicted from one machine leaves all of its machines."""

    job_id: str
    team: str
    gang: bool = False


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """A machine and the jobs on it. `weight`: how many places of a batch the machine takes."""

    machine: str
    jobs: tuple[LoadedJob, ...]
    weight: int = 1


@dataclass(frozen=True, slots=True)
class WaveLowerBound:
    """At least `waves` are needed. `exact`: they are also sufficient, apart from capacity on other machines."""

    waves: int
    exact: bool


def _split_overloaded_machines(loads: Sequence[MachineLoad], budgets: Mapping[str, int]) -> list[MachineLoad]:
    """Split machines with more jobs of a team than its total budget into one load per job.

    Such a machine is emptied job by job, in several waves.
    """
    result: list[MachineLoad] = []
    for load in loads:
        jobs_by_team = Counter(job.team for job in load.jobs)
        if all(jobs <= budgets.get(team, jobs) for team, jobs in jobs_by_team.items()):
            result.append(load)
        else:
            result += [MachineLoad(f"{load.machine}/{job.job_id}", (job,), weight=0) for job in load.jobs]
    return result


class _WaveModel:
    """The constraint model: the wave of each load, and the jobs that are evicted in each wave."""

    def __init__(self, loads: Sequence[MachineLoad], waves: int) -> None:
        """Create the variables for these loads and this number of waves."""
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
        """Add all constraints, and the objective to use as few waves as possible."""
        for load in self._loads:
            self.model.add_exactly_one(self._in_wave[load.machine, wave] for wave in self._waves)
            for job in load.jobs:
                self._require_eviction(load, job)
        for wave in self._waves:
            self._limit_machines(wave, batch_size)
            self._limit_disruptions(wave, budgets)
        self.model.minimize(sum(self._used))

    def _require_eviction(self, load: MachineLoad, job: LoadedJob) -> None:
        """Require that a job is evicted in its load's wave, or, if it is a gang, in this or an earlier wave."""
        for wave in self._waves:
            earliest = 0 if job.gang else wave
            evicted = [self._evicted[job, at] for at in range(earliest, wave + 1)]
            self.model.add_bool_or(evicted).only_enforce_if(self._in_wave[load.machine, wave])

    def _limit_machines(self, wave: int, batch_size: int) -> None:
        """Limit a used wave to one batch of machines, and require that the previous wave is used as well."""
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
    max_waves: int,
    solver_timeout_s: float = SOLVER_TIMEOUT_S,
) -> WaveLowerBound:
    """Return the fewest waves for these machines. Teams without a budget are not limited.

    `max_waves` is a number of waves that is known to be sufficient. The solver stops after `solver_timeout_s` seconds;
    if it has found no proof by then, the bound is not exact.

    Raises:
        SolverMissingError: the solver is not installed.
        TooFewWavesError: `max_waves` is not sufficient.
    """
    try:
        from ortools.sat.python import cp_model
    except ImportError as error:
        raise SolverMissingError("the solver is not installed: pip install 'hookwall[plan]'") from error
    if not loads:
        return WaveLowerBound(0, True)
    model = _WaveModel(_split_overloaded_machines(loads, budgets), max_waves)
    model.build(batch_size, budgets)
    solver = cp_model.CpSolver()
    solver.parameters.max_time_in_seconds = solver_timeout_s
    solver.parameters.num_workers = 1
    status = solver.solve(model.model)
    if status == cp_model.OPTIMAL:
        return WaveLowerBound(round(solver.objective_value), True)
    if status == cp_model.INFEASIBLE:
        raise TooFewWavesError(f"{max_waves} waves are not enough")
    return WaveLowerBound(max(1, math.ceil(solver.best_objective_bound - SOLVER_TOLERANCE)), False)
