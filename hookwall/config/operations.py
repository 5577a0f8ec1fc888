"""The operators' own settings file, which switches optional subsystems on.

The file is read in addition to the platform's settings file and is optional: without it, every subsystem that it can
switch on is off. Unknown fields are ignored. An invalid field is refused with an error that names it.
"""

import msgspec

from hookwall.config.checks import InvalidSettingsError, read_toml, require_positive
from hookwall.config.platform import PlatformParameters

DEFAULT_BUDGET_PERIOD_S = 300.0


class DisruptionBudget(msgspec.Struct, frozen=True):
    """How many running jobs of a team may be disrupted within a period.

    `jobs` is a number of jobs, `share` a fraction of the team's running jobs. If both are given, the smaller one
    applies.
    """

    team: str
    jobs: int | None = None
    share: float | None = None
    period_s: float = DEFAULT_BUDGET_PERIOD_S


class DrainSettings(msgspec.Struct, frozen=True):
    """Settings for draining machines in steps (`hookwall.drains`)."""

    enabled: bool = False
    budgets: list[DisruptionBudget] = []


class Operations(msgspec.Struct, frozen=True):
    """All settings of the operators' file."""

    drain: DrainSettings = DrainSettings()


def validate_operations(operations: Operations, params: PlatformParameters) -> Operations:
    """Refuse values that decode but make no sense, and teams that the platform's settings don't name.

    Raises:
        InvalidSettingsError: naming the team and the field.
    """
    teams = {team.name for team in params.teams}
    seen: set[str] = set()
    for budget in operations.drain.budgets:
        where = f"drain.budgets: team {budget.team!r}"
        if budget.team not in teams:
            raise InvalidSettingsError(f"{where}: unknown; the teams are {', '.join(sorted(teams)) or 'none'}")
        if budget.team in seen:
            raise InvalidSettingsError(f"{where}: occurs twice")
        seen.add(budget.team)
        _validate_amounts(budget, where)
    return operations


def _validate_amounts(budget: DisruptionBudget, where: str) -> None:
    """Refuse numbers of one budget that make no sense."""
    if budget.jobs is None and budget.share is None:
        raise InvalidSettingsError(f"{where}: needs jobs (a whole number from 0) or share (a number from 0 to 1)")
    if budget.jobs is not None and budget.jobs < 0:
        raise InvalidSettingsError(f"{where}: jobs must be a whole number from 0, is {budget.jobs}")
    if budget.share is not None and not 0.0 <= budget.share <= 1.0:
        raise InvalidSettingsError(f"{where}: share must be a number from 0 to 1, is {budget.share}")
    require_positive(f"{where}: period_s", budget.period_s)


def load_operations(path: str | None, params: PlatformParameters) -> Operations:
    """Read and check the operators' file; without a file, everything that it can switch on is off.

    Raises:
        InvalidSettingsError: the file can't be read or used.
    """
    if path is None:
        return Operations()
    raw = read_toml(path, "--operations")
    try:
        operations = msgspec.convert(raw, Operations)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(f"--operations: {error}") from error
    return validate_operations(operations, params)
