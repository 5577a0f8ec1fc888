"""How many machines are needed by the existing jobs, and by the jobs that are expected to arrive while a machine boots.

Invariant: each job counts as an arrival once. Jobs that arrived before this node became leader do not count, so that a
new leader can continue with the arrival rates of its predecessor.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import OPEN, Job
from hookwall.jobs.job_errors import JobOperation
from hookwall.protocol.cloud_messages import MachineType
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

SMOOTHING_S = 60.0  # time constant of the smoothed arrival rates
MAX_MEASURED_GAP_S = 10.0  # longer intervals between two measurements are truncated to this
# Margins of machines, in standard deviations of the need while a machine boots.
ON_DEMAND_Z_SCORE = 0.8  # for on-demand machines
TOTAL_Z_SCORE = 0.7  # for all machines
GUARANTEE_Z_SCORE = 3.0  # for all machines if guaranteed work has to start sooner than a machine boots
MAX_STARTUP_S = 300.0  # one job with a huge image must not make a site keep hundreds of machines ready
IDLE_RESET_S = 20.0  # after this long without any job, no machines are kept ready


@dataclass(slots=True)
class Targets:
    """How many machines should be ready."""

    on_demand: float = 0.0
    total: float = 0.0
    guaranteed: float = 0.0  # total that guarantees require at least, even if on-demand machines are short

    def total_for(self, on_demand: int) -> float:
        """Return how many machines should be ready in total if `on_demand` of them are on-demand machines.

        Spot instances do not make up for on-demand machines that can't be provisioned, since the work that needs
        on-demand machines can't run on them. When they did, half of 315 spot instances stood idle while urgent gangs
        were queued.
        """
        return max(self.guaranteed, self.total - max(0.0, self.on_demand - on_demand))


@dataclass(slots=True)
class Need:
    """Machines that the existing jobs need, and the longest time until a new machine can serve one of these jobs."""

    on_demand: float = 0.0
    spot: float = 0.0
    startup_s: float = 0.0


class Demand:
    """Tracks the need for machines and the arrival of jobs while this node leads."""

    def __init__(
        self,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        clock: Callable[[], float],
        submissions_blocked: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start without any need.

        `submissions_blocked` tells whether jobs currently can't be accepted or stored. The need then only seems to
        fall, and comes back later.
        """
        self.params = params
        self.fleet = fleet
        self.scheduler = scheduler
        self.clock = clock
        self.submissions_blocked = submissions_blocked
        self.targets = Targets()
        self.on_demand_rate = 0.0  # rate of arrivals, in machines per second
        self.spot_rate = 0.0
        self.on_demand_need = 0.0
        self.spot_need = 0.0
        self.counted_jobs: set[str] = set()
        self.jobs_precede_leadership = False
        self.measured_at = -math.inf
        self.last_need_at = -math.inf

    def reset(self, jobs_precede_leadership: bool) -> None:
        """Start a new leadership. `jobs_precede_leadership`: whether the existing jobs arrived before it began."""
        self.targets = Targets()
        self.jobs_precede_leadership = jobs_precede_leadership
        self.on_demand_rate = 0.0
        self.spot_rate = 0.0
        self.counted_jobs.clear()
        self.measured_at = self.clock()
        self.last_need_at = self.measured_at

    def measure(self, now: float) -> None:
        """Measure the current need and the arrival rates, and update the targets.

        A machine that is provisioned now can serve jobs only after it has booted and fetched an image. The number of
        jobs that arrive and end until then deviates from its average by about its square root, and a margin of
        machines for this deviation has to be ready. When arrivals stop, this margin is no longer needed, even if jobs
        are still running.
        """
        self._decay_rates(now)
        need = self._count_jobs()
        self.jobs_precede_leadership = False
        self.on_demand_need = need.on_demand
        self.spot_need = need.spot
        self.fleet.successor_hints.arrival_rates = (self.on_demand_rate, self.spot_rate)
        if need.on_demand or need.spot:
            self.last_need_at = now
        elif now - self.last_need_at > IDLE_RESET_S:
            self.counted_jobs.clear()
            self.targets = Targets()
            return
        targets = self._compute_targets(need)
        if self.submissions_blocked():
            # The need comes back, since users retry until they get an answer. During an outage of 25 s, the measured
            # need fell by a fifth, spot instances that were preempted in the meantime were not replaced, and too few
            # spot instances were left for the jobs that were queued afterwards.
            targets.on_demand = max(targets.on_demand, self.targets.on_demand)
            targets.total = max(targets.total, self.targets.total)
        self.targets = targets

    def _decay_rates(self, now: float) -> None:
        """Decay the arrival rates; a new leader continues with the rates that its predecessor measured."""
        elapsed_s = min(MAX_MEASURED_GAP_S, max(0.0, now - self.measured_at))
        decay = math.exp(-elapsed_s / SMOOTHING_S)
        self.measured_at = now
        received_rates = self.fleet.successor_hints.received_rates
        if self.jobs_precede_leadership and received_rates is not None:
            self.on_demand_rate, self.spot_rate = received_rates
        self.on_demand_rate *= decay
        self.spot_rate *= decay

    def _count_jobs(self) -> Need:
        """Sum up the need of the open jobs, and count each job that was not counted before as an arrival."""
        need = Need()
        for job in self.fleet.table.open_jobs.values():
            if job.phase != OPEN or job.spec is None:
                continue
            try:
                self._count_job(job, job.spec.spot, need)
            except Exception:  # noqa: BLE001 - recorded with its traceback
                self.fleet.table.errors.record(job.job_id, JobOperation.MEASURE_DEMAND)
        return need

    def _count_job(self, job: Job, spot: bool, need: Need) -> None:
        """Add the need of one job, and count it as an arrival if it was not counted before."""
        queued = self.scheduler.waiting.get(job.job_id)
        task_count = len(job.allocations) + (queued.count if queued is not None else 0)
        fit = task_fit(job, self.fleet)
        machines = task_count * fit.machine_share
        if spot:
            need.spot += machines
        else:
            need.on_demand += machines
        need.startup_s = max(need.startup_s, min(fit.startup_s, MAX_STARTUP_S))
        if task_count and job.job_id not in self.counted_jobs:
            self._count_arrival(job, spot, machines)

    def _count_arrival(self, job: Job, spot: bool, machines: float) -> None:
        """Count a job that needs `machines` machines as an arrival, unless it arrived before this leadership."""
        self.counted_jobs.add(job.job_id)
        if self.jobs_precede_leadership:
            return
        if spot:
            self.spot_rate += machines / SMOOTHING_S
        else:
            self.on_demand_rate += machines / SMOOTHING_S

    def _compute_targets(self, need: Need) -> Targets:
        """Return the need plus a margin for the jobs that arrive until a machine that is provisioned now can serve."""

        def margin(arrival_rate: float, z_score: float) -> float:
            return z_score * math.sqrt(2.0 * arrival_rate * need.startup_s)

        guaranteed = self.guaranteed_machines()
        on_demand = need.on_demand + margin(self.on_demand_rate, ON_DEMAND_Z_SCORE)
        total_margin = margin(self.on_demand_rate + self.spot_rate, GUARANTEE_Z_SCORE if guaranteed else TOTAL_Z_SCORE)
        total = need.on_demand + need.spot + total_margin
        return Targets(on_demand, max(total, on_demand, guaranteed), guaranteed)

    def guaranteed_machines(self) -> float:
        """Return how many machines must be ready because guaranteed work has to start sooner than a machine boots."""
        types = [machine_type for machine_type in self.fleet.machine_types if machine_type is not None]
        if not self._has_guarantee_shorter_than_boot(types):
            return 0.0
        gpus = max((machine_type.gpus for machine_type in types), default=0.0)
        cpus = max((machine_type.cpus for machine_type in types), default=0.0)
        by_gpus = sum(team.gpus for team in self.params.teams) / gpus if gpus else 0.0
        by_cpus = sum(team.cpus for team in self.params.teams) / cpus if cpus else 0.0
        return max(by_gpus, by_cpus)

    def _has_guarantee_shorter_than_boot(self, types: list[MachineType]) -> bool:
        """Whether an objective requires guaranteed work to start sooner than the slowest machine type boots."""
        boot_s = max((machine_type.boot_s for machine_type in types), default=0.0)
        return any(
            objective.kind == "guarantee" and (objective.within_s or math.inf) < boot_s
            for objective in self.params.objectives
        )
