"""How a job's tasks fit the machine types: found once for each job and catalog, as rounds ask for it all the time.

Invariant: a fit that is returned was found from the catalog that the fleet has now.
"""

from dataclasses import dataclass

from hookwall.jobs.job import Job
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import ROUNDING

EXCLUSIVE_SHARE = 0.5  # a task that takes more than this of a machine leaves no capacity for another like it


@dataclass(slots=True, frozen=True)
class TaskFit:
    """What one task of a job takes of the machines that it may use."""

    catalog: Catalog | None  # from which it was found
    machine_share: float  # share of a machine; 0 where it fits none
    needs_whole_machine: bool  # whether it needs most of an on-demand machine, on each type
    startup_s: float  # until a machine that is provisioned now serves it: boot and image fetch


def task_fit(job: Job, fleet: Fleet) -> TaskFit:
    """The fit of a job with the machine types as they are known now; cached in the job."""
    cached = job.machine_type_fit
    if not isinstance(cached, TaskFit) or cached.catalog is not fleet.catalog:
        cached = job.machine_type_fit = _compute_fit(job, fleet)
    return cached


def _compute_fit(job: Job, fleet: Fleet) -> TaskFit:
    """The fit over all machine types that the job may use; a job without a specification fits none."""
    spec = job.spec
    if spec is None:
        return TaskFit(fleet.catalog, 0.0, needs_whole_machine=False, startup_s=0.0)
    allowed = [
        (index, machine_type)
        for index, machine_type in enumerate(fleet.machine_types)
        if machine_type is not None and (job.allowed_type_indices is None or index in job.allowed_type_indices)
    ]
    shares = [_machine_share(spec, machine_type) for _, machine_type in allowed]
    startups = [machine_type.boot_s + fleet.image_fetch_s(index, spec.image_gb) for index, machine_type in allowed]
    return TaskFit(
        fleet.catalog,
        machine_share=min((share for share in shares if share > 0), default=0.0),
        needs_whole_machine=not spec.spot and all(_excludes_second(spec, machine_type) for _, machine_type in allowed),
        startup_s=min(startups, default=0.0),
    )


def _machine_share(spec: JobSpec, machine_type: MachineType) -> float:
    """What one task takes of a machine of the type: whatever it uses most counts. 0 where it does not fit."""
    needs = (
        (spec.gpus, machine_type.gpus),
        (spec.cpus, machine_type.cpus),
        (spec.memory_gb, machine_type.memory_gb),
    )
    if any(need > have + ROUNDING for need, have in needs):
        return 0.0
    share = max(need / have for need, have in needs if have > 0)
    return 1.0 if share > EXCLUSIVE_SHARE else share


def _excludes_second(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether no second task of the kind fits a machine of the type."""
    return (
        2 * spec.gpus > machine_type.gpus > 0
        or 2 * spec.cpus > machine_type.cpus
        or 2 * spec.memory_gb > machine_type.memory_gb
    )
