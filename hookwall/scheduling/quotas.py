"""Teams' guarantees and limits: which jobs are within a guarantee, and how much more a limit admits."""

from hookwall.config.platform import TeamQuota
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.round_state import ResourceUsage, RoundState


class Quotas:
    """Applies them to the jobs that there are."""

    def __init__(self, limits: list[TeamQuota], table: JobTable) -> None:
        self.team_settings, self.table = limits, table

    def jobs_within_guarantee(self) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
        out: set[str] = set()
        if not any(team.gpus or team.cpus for team in self.team_settings):
            return out
        want: dict[int, ResourceUsage] = {}
        for job in sorted(self.table.open_jobs.values(), key=lambda j: (j.queued_at, j.job_id)):
            if job.phase != OPEN or job.spec is None or not 0 <= job.team_index < len(self.team_settings):
                continue
            team = self.team_settings[job.team_index]
            u = want.setdefault(job.team_index, ResourceUsage())
            u.cpus += job.spec.cpus * job.task_count
            u.gpus += job.spec.gpus * job.task_count
            if (team.gpus or team.cpus) and (
                (not team.gpus or u.gpus <= team.gpus + 1e-9) and (not team.cpus or u.cpus <= team.cpus + 1e-9)
            ):
                out.add(job.job_id)
        return out

    def admitted_task_count(self, job: Job, state: RoundState) -> int:
        """How many more tasks of the job its team's limit admits."""
        if not 0 <= job.team_index < len(self.team_settings):
            return 0
        team, u, spec = self.team_settings[job.team_index], state.usage.get(job.team_index) or ResourceUsage(), job.spec
        assert spec is not None
        n = job.task_count
        if team.gpus_max and spec.gpus > 0:
            n = min(n, int((team.gpus_max - u.gpus + 1e-6) / spec.gpus))
        if team.cpus_max and spec.cpus > 0:
            n = min(n, int((team.cpus_max - u.cpus + 1e-6) / spec.cpus))
        return max(0, n)
