"""Which jobs can never run, whatever the cluster has free."""

from collections.abc import Mapping

from hookwall.config.platform import TeamQuota
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.job_messages import JobSpec

ROUNDING = 1e-9


def infeasibility_reason(spec: JobSpec, catalog: Catalog, teams: Mapping[str, TeamQuota]) -> str | None:
    """Why the job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    n = spec.task_count if spec.gang else 1
    if team.gpus_max and spec.gpus * n > team.gpus_max + ROUNDING:
        return "more GPUs than the team's limit"
    if team.cpus_max and spec.cpus * n > team.cpus_max + ROUNDING:
        return "more CPUs than the team's limit"
    for t in catalog.types:
        if spec.types is not None and t.name not in spec.types:
            continue
        if spec.zone is not None and spec.zone not in t.zones:
            continue
        if (
            spec.cpus <= t.cpus + ROUNDING
            and spec.gpus <= t.gpus + ROUNDING
            and spec.memory_gb <= t.memory_gb + ROUNDING
        ):
            return None
    return "a task fits no allowed machine type"
