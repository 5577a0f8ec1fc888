"""The operators' own settings file, which switches optional subsystems on.

It stands beside the platform's settings file and is optional: without it every subsystem that it can
switch on is off. Unknown fields are ignored; a bad one is refused by name.
"""

import math

import msgspec

from hookwall.config.platform import InvalidSettingsError, PlatformParameters, read_toml

DEFAULT_PERIOD_S = 300.0


class DisruptionBudget(msgspec.Struct, frozen=True):
    """How many running jobs of a team may be disrupted within a period.

    `jobs` is a number, `share` a part of the team's running jobs; where both are given the smaller one holds.
    """

    team: str
    jobs: int | None = None
    share: float | None = None
    period_s: float = DEFAULT_PERIOD_S


class DrainSettings(msgspec.Struct, frozen=True):
    """Draining in steps (`hookwall.drains`)."""

    enabled: bool = False
    budgets: list[DisruptionBudget] = []


class Operations(msgspec.Struct, frozen=True):
    """All that the operators' file may say."""

    drain: DrainSettings = DrainSettings()


def validate_operations(operations: Operations, params: PlatformParameters) -> Operations:
    """Refuse what decodes but can't be meant, and teams that the platform's settings don't name."""
    teams = [team.name for team in params.teams]
    seen: set[str] = set()
    for budget in operations.drain.budgets:
        where = f"drain.budgets: team {budget.team!r}"
        if budget.team not in teams:
            raise InvalidSettingsError(f"{where}: unknown; the teams are {', '.join(sorted(teams)) or 'none'}")
        if budget.team in seen:
            raise InvalidSettingsError(f"{where}: occurs twice")
        seen.add(budget.team)
        _check_amounts(budget, where)
    return operations


def _check_amounts(budget: DisruptionBudget, where: str) -> None:
    """The numbers of one budget."""
    if budget.jobs is None and budget.share is None:
        raise InvalidSettingsError(f"{where}: needs jobs (a whole number from 0) or share (a number from 0 to 1)")
    if budget.jobs is not None and budget.jobs < 0:
        raise InvalidSettingsError(f"{where}: jobs must be a whole number from 0, is {budget.jobs}")
    if budget.share is not None and not 0.0 <= budget.share <= 1.0:
        raise InvalidSettingsError(f"{where}: share must be a number from 0 to 1, is {budget.share}")
    if not (math.isfinite(budget.period_s) and budget.period_s > 0):
        raise InvalidSettingsError(f"{where}: period_s must be a positive number, is {budget.period_s}")


def load_operations(path: str | None, params: PlatformParameters) -> Operations:
    """Read and check the operators' file; everything is off without one."""
    if path is None:
        return Operations()
    raw = read_toml(path, "--operations")
    try:
        return validate_operations(msgspec.convert(raw, Operations), params)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(f"--operations: {error}") from None
