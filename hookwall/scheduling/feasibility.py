"""Detects jobs that can never run, regardless of the cluster's free capacity.

Invariant: a job that is reported as feasible fits its team's limits and at least one machine type that it may use.
"""

from collections.abc import Mapping

from hookwall.config.platform import TeamQuota
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.resources import ROUNDING_TOLERANCE


def infeasibility_reason(spec: JobSpec, catalog: Catalog, teams: Mapping[str, TeamQuota]) -> str | None:
    """Return the reason, as shown to users, why the job can never run; None if it can run."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    simultaneous_tasks = spec.task_count if spec.gang else 1
    if team.gpus_max and spec.gpus * simultaneous_tasks > team.gpus_max + ROUNDING_TOLERANCE:
        return "more GPUs than the team's limit"
    if team.cpus_max and spec.cpus * simultaneous_tasks > team.cpus_max + ROUNDING_TOLERANCE:
        return "more CPUs than the team's limit"
    if any(_admits_task(spec, machine_type) for machine_type in catalog.types):
        return None
    return "a task fits no allowed machine type"


def _admits_task(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether one task fits an empty machine of this type and the job's constraints admit the type."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        and spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        and spec.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE
    )
