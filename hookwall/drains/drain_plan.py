"""Input and output of the drain planner."""

from dataclasses import dataclass, field

from hookwall.drains.wait_reasons import Wait
from hookwall.scheduling.placement import Placement, ResourceRequest


@dataclass(frozen=True, slots=True)
class Occupant:
    """A job on one machine that would have to be evicted."""

    job_id: str
    team: str
    lost_work_s: float  # work that an eviction loses, in seconds of a whole machine
    request: ResourceRequest  # what the job needs on other machines
    # Whether the job has not recovered from an earlier disruption, which counts already.
    already_disrupted: bool = False
    freed_tasks: tuple[Placement, ...] = ()  # tasks of the same gang on other machines that are stopped as well


@dataclass(frozen=True, slots=True)
class Candidate:
    """A machine of the drain, cordoned or not."""

    name: str
    occupants: tuple[Occupant, ...] = ()
    waits: tuple[Wait, ...] = ()  # why no step is possible for this machine now
    cordoned: bool = False
    cordoned_at: float = 0.0  # time of day in seconds
    task_count: int = 0  # all tasks on the machine, including those that are stopping

    def lost_work_s(self) -> float:
        """Work that is lost if all jobs on the machine are evicted, in seconds of a whole machine."""
        return sum(occupant.lost_work_s for occupant in self.occupants)


@dataclass(frozen=True, slots=True)
class DrainTerms:
    """The limits and options of a drain."""

    batch_size: int
    finish_grace_s: float  # how long tasks on a cordoned machine may continue so that they can end by themselves
    allow_unbudgeted: bool = False
    skip_waits: bool = False  # the deadline has passed, and the drain waits only for budgets from then on


@dataclass(slots=True)
class TeamBudgets:
    """The remaining and the total budget of each team; teams that are not listed have no budget."""

    remaining: dict[str, int] = field(default_factory=dict)
    total: dict[str, int] = field(default_factory=dict)

    def replenished(self) -> "TeamBudgets":
        """The budgets after all jobs have recovered and all periods are over."""
        return TeamBudgets(dict(self.total), self.total)

    def has_budget(self, team: str) -> bool:
        """Whether a team has a budget. A team without one may be disrupted only if the drain allows that."""
        return team in self.total


@dataclass(frozen=True, slots=True)
class Eviction:
    """Jobs that are to be evicted from a machine."""

    machine: str
    occupants: tuple[Occupant, ...]

    def job_ids(self) -> set[str]:
        """The ids of the jobs."""
        return {occupant.job_id for occupant in self.occupants}


@dataclass(slots=True)
class DrainPlan:
    """The next steps, and the reasons why there are no more."""

    cordon: list[str] = field(default_factory=list)
    evictions: list[Eviction] = field(default_factory=list)
    waits: list[Wait] = field(default_factory=list)
    relocations: list[Occupant] = field(default_factory=list)  # jobs that need machines to be provisioned first
