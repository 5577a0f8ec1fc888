"""Team quotas: which jobs are within their team's guarantee, and how many more tasks the team's limit admits.

Invariant: tasks that may still run count towards the limit, whatever the phase of their job is.
"""

from hookwall.config.platform import TeamQuota
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.round_state import ResourceUsage, RoundState
from hookwall.workers.resources import ROUNDING_TOLERANCE, countable_amount


class Quotas:
    """Applies the teams' quotas to the jobs in the table. Teams are identified by their index."""

    def __init__(self, team_settings: list[TeamQuota], table: JobTable) -> None:
        """`team_settings` is ordered by team index."""
        self.team_settings = team_settings
        self.table = table

    def jobs_within_guarantee(self) -> set[str]:
        """Return the jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
        within: set[str] = set()
        guarantees = {index: team for index, team in enumerate(self.team_settings) if team.gpus or team.cpus}
        if not guarantees:
            return within
        requested = {index: ResourceUsage() for index in guarantees}
        for job in sorted(self.table.open_jobs.values(), key=lambda job: (job.queued_at, job.job_id)):
            team = guarantees.get(job.team_index)
            if team is None or job.phase != OPEN or job.spec is None:
                continue
            usage = requested[job.team_index]
            usage.add(job.spec, job.task_count)
            if _covers(team, usage):
                within.add(job.job_id)
        return within

    def admitted_task_count(self, job: Job, state: RoundState) -> int:
        """Return how many more tasks of the job its team's limit admits; 0 for a team that is not configured."""
        if not 0 <= job.team_index < len(self.team_settings):
            return 0
        team = self.team_settings[job.team_index]
        usage = state.usage.get(job.team_index) or ResourceUsage()
        spec = job.spec
        assert spec is not None
        count = job.task_count
        if team.gpus_max and spec.gpus > 0:
            count = min(count, _tasks_within(team.gpus_max - usage.gpus, spec.gpus))
        if team.cpus_max and spec.cpus > 0:
            count = min(count, _tasks_within(team.cpus_max - usage.cpus, spec.cpus))
        return max(0, count)


def _tasks_within(unused: float, per_task: float) -> int:
    """Return how many tasks fit into the unused part of a limit, apart from rounding errors.

    The tolerance is smaller than that of free capacity: a limit is a promise to users, and many tasks that each take
    less than the tolerance must not exceed it together.
    """
    return int((unused + ROUNDING_TOLERANCE) / countable_amount(per_task))


def _covers(team: TeamQuota, usage: ResourceUsage) -> bool:
    """Return whether the team's guarantee covers this usage; a resource without a configured guarantee is covered."""
    if team.gpus and usage.gpus > team.gpus + ROUNDING_TOLERANCE:
        return False
    return not team.cpus or usage.cpus <= team.cpus + ROUNDING_TOLERANCE
