"""Teams' guarantees and limits: which jobs are within a guarantee, and how much more a limit admits."""

from hookwall.config.platform import Team
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_table import JobTable
from hookwall.scheduling.round_state import RoundState, Usage


class TeamLimits:
    """Applies them to the jobs that there are."""

    def __init__(self, limits: list[Team], table: JobTable) -> None:
        self.limits, self.table = limits, table

    def guaranteed(self) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs."""
        out: set[str] = set()
        if not any(team.gpus or team.cpus for team in self.limits):
            return out
        want: dict[int, Usage] = {}
        for job in sorted(self.table.open.values(), key=lambda j: (j.arrival, j.ref)):
            if job.phase != OPEN or job.spec is None or not 0 <= job.team < len(self.limits):
                continue
            team = self.limits[job.team]
            u = want.setdefault(job.team, Usage())
            u.cpus += job.spec.cpus * job.tasks
            u.gpus += job.spec.gpus * job.tasks
            if (team.gpus or team.cpus) and (
                (not team.gpus or u.gpus <= team.gpus + 1e-9) and (not team.cpus or u.cpus <= team.cpus + 1e-9)
            ):
                out.add(job.ref)
        return out

    def quota(self, job: Job, state: RoundState) -> int:
        """How many more tasks of the job its team's limit admits."""
        if not 0 <= job.team < len(self.limits):
            return 0
        team, u, spec = self.limits[job.team], state.usage.get(job.team) or Usage(), job.spec
        assert spec is not None
        n = job.tasks
        if team.gpus_max and spec.gpus > 0:
            n = min(n, int((team.gpus_max - u.gpus + 1e-6) / spec.gpus))
        if team.cpus_max and spec.cpus > 0:
            n = min(n, int((team.cpus_max - u.cpus + 1e-6) / spec.cpus))
        return max(0, n)
