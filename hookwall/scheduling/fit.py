"""How a job's tasks fit the machine types: found once for each job and catalog, as rounds ask for it all the time."""

from dataclasses import dataclass

from hookwall.jobs.job import Job
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.protocol.job_messages import JobSpec
from hookwall.workers.fleet import Fleet

ROUNDING = 1e-9
WHOLE_SHARE = 0.5  # a task that takes more than this of a machine leaves no room for another like it


@dataclass(slots=True, frozen=True)
class TaskFit:
    """What one task of a job takes of the machines that it may use."""

    catalog: Catalog | None  # from which it was found
    machine_share: float  # share of a machine; 0 where it fits none
    needs_whole_machine: bool  # whether it needs most of an ordinary machine, on each type
    startup_s: float  # until a machine that is rented now serves it: boot and fetch


def task_fit(job: Job, fleet: Fleet) -> TaskFit:
    """The fit of a job with the machine types as they are known now."""
    found = job.machine_type_fit
    if not isinstance(found, TaskFit) or found.catalog is not fleet.catalog:
        found = job.machine_type_fit = _find(job, fleet)
    return found


def _find(job: Job, fleet: Fleet) -> TaskFit:
    spec = job.spec
    if spec is None:
        return TaskFit(fleet.catalog, 0.0, False, 0.0)
    allowed = [
        (index, info)
        for index, info in enumerate(fleet.machine_types)
        if info is not None and (job.allowed_type_indices is None or index in job.allowed_type_indices)
    ]
    shares = [_share(spec, info) for _, info in allowed]
    waits = [info.boot_s + fleet.image_fetch_s(index, spec.image_gb) for index, info in allowed]
    whole = not spec.spot and all(_takes_whole(spec, info) for _, info in allowed)
    weight = min((share for share in shares if share > 0), default=0.0)
    return TaskFit(fleet.catalog, weight, whole, min(waits, default=0.0))


def _share(spec: JobSpec, info: MachineType) -> float:
    """What one task takes of a machine of the type: whatever it uses most counts. 0 where it does not fit."""
    needs = ((spec.gpus, info.gpus), (spec.cpus, info.cpus), (spec.memory_gb, info.memory_gb))
    if any(need > have + ROUNDING for need, have in needs):
        return 0.0
    share = max(need / have for need, have in needs if have > 0)
    return 1.0 if share > WHOLE_SHARE else share


def _takes_whole(spec: JobSpec, info: MachineType) -> bool:
    """Whether no second task of the kind fits a machine of the type."""
    return 2 * spec.gpus > info.gpus > 0 or 2 * spec.cpus > info.cpus or 2 * spec.memory_gb > info.memory_gb
