"""How a job's tasks fit the machine types. The fit is cached per job and catalog, because every round needs it.

Invariant: a fit that is returned was computed from the fleet's current catalog.
"""

from dataclasses import dataclass

from hookwall.jobs.job import Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import ROUNDING_TOLERANCE

# A task that takes a larger share of a machine counts as taking all of it, because a second such task does not fit.
EXCLUSIVE_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class TaskFit:
    """The capacity that one task of a job takes of the machines that the job may use."""

    catalog: Catalog | None  # the catalog from which the fit was computed
    machine_share: float  # smallest share of a machine that a task takes on any allowed type; 0 if it fits none
    needs_whole_machine: bool  # whether it can't use spot instances and no allowed type holds two of its tasks
    startup_s: float  # shortest time to boot a newly provisioned machine and fetch the image there


def task_fit(job: Job, fleet: Fleet) -> TaskFit:
    """Return how the job fits the machine types of the current catalog; the result is cached in the job."""
    cached = job.machine_type_fit
    if not isinstance(cached, TaskFit) or cached.catalog is not fleet.catalog:
        try:
            cached = _compute_fit(job, fleet)
        except Exception:  # noqa: BLE001 - recorded with its traceback
            fleet.table.errors.record(job.job_id, JobOperation.SCHEDULE)
            cached = _fits_no_machine(fleet)
        job.machine_type_fit = cached
    return cached


def _fits_no_machine(fleet: Fleet) -> TaskFit:
    """Return the fit of a job of which nothing is known."""
    return TaskFit(fleet.catalog, 0.0, needs_whole_machine=False, startup_s=0.0)


def _compute_fit(job: Job, fleet: Fleet) -> TaskFit:
    """Compute the fit over all machine types that the job may use; a job without a specification fits none."""
    spec = job.spec
    if spec is None:
        return _fits_no_machine(fleet)
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
        needs_whole_machine=not spec.spot
        and all(_excludes_second_task(spec, machine_type) for _, machine_type in allowed),
        startup_s=min(startups, default=0.0),
    )


def _machine_share(spec: JobSpec, machine_type: MachineType) -> float:
    """Return the largest share of a machine's GPUs, CPUs or memory that one task takes; 0 if it does not fit.

    A share above `EXCLUSIVE_SHARE` counts as 1.
    """
    needs = (
        (spec.gpus, machine_type.gpus),
        (spec.cpus, machine_type.cpus),
        (spec.memory_gb, machine_type.memory_gb),
    )
    if any(need > available + ROUNDING_TOLERANCE for need, available in needs):
        return 0.0
    share = max(need / available for need, available in needs if available > 0)
    return 1.0 if share > EXCLUSIVE_SHARE else share


def _excludes_second_task(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether a machine of this type cannot hold two tasks of the job."""
    return (
        2 * spec.gpus > machine_type.gpus > 0
        or 2 * spec.cpus > machine_type.cpus
        or 2 * spec.memory_gb > machine_type.memory_gb
    )
