"""What the planner of drains decides on, and what it decides."""

from dataclasses import dataclass, field

from hookwall.drains.wait_reasons import Wait
from hookwall.scheduling.placement import Placement, ResourceRequest


@dataclass(frozen=True, slots=True)
class Occupant:
    """A job on one machine that would have to be evicted."""

    job_id: str
    team: str
    lost_work_s: float  # work that an eviction loses, in seconds of a whole machine
    request: ResourceRequest  # what it needs elsewhere
    already_disrupted: bool = False  # its disruption counts already, as it has not recovered from the last one
    freed_tasks: tuple[Placement, ...] = ()  # tasks of the same gang on other machines that stop with it


@dataclass(frozen=True, slots=True)
class Candidate:
    """A machine of the drain, cordoned or not."""

    name: str
    occupants: tuple[Occupant, ...] = ()
    waits: tuple[Wait, ...] = ()  # why nothing can be done here now
    cordoned: bool = False
    cordoned_at: float = 0.0  # time of day in seconds
    task_count: int = 0  # tasks there of any kind, also those that are stopping

    def lost_work_s(self) -> float:
        """Work that is lost if all jobs there are evicted, in seconds of a whole machine."""
        return sum(occupant.lost_work_s for occupant in self.occupants)


@dataclass(frozen=True, slots=True)
class DrainTerms:
    """What the drain has to respect."""

    batch_size: int
    finish_grace_s: float  # how long tasks on a cordoned machine may go on to end by themselves
    allow_unbudgeted: bool = False
    skip_waits: bool = False  # its deadline has passed, and it is to wait for nothing but budgets


@dataclass(slots=True)
class TeamBudgets:
    """What is left of each team's budget, and the whole of it; teams that are not named have none."""

    remaining: dict[str, int] = field(default_factory=dict)
    total: dict[str, int] = field(default_factory=dict)

    def replenished(self) -> "TeamBudgets":
        """The same once everything has recovered and all periods are over."""
        return TeamBudgets(dict(self.total), self.total)

    def has_budget(self, team: str) -> bool:
        """Whether the team is named; one that is not may only be disrupted where the drain allows that."""
        return team in self.total


@dataclass(frozen=True, slots=True)
class Eviction:
    """Jobs that are to be evicted from a machine."""

    machine: str
    occupants: tuple[Occupant, ...]

    def job_ids(self) -> set[str]:
        """The jobs' ids."""
        return {occupant.job_id for occupant in self.occupants}


@dataclass(slots=True)
class DrainPlan:
    """What is to be done now, and why no more."""

    cordon: list[str] = field(default_factory=list)
    evictions: list[Eviction] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    relocations: list[Occupant] = field(default_factory=list)  # jobs for which machines would have to be provisioned
