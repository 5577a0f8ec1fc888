"""How many machines are needed: by the jobs there are, and by those that will have come while a machine boots.

Invariant: each job counts as an arrival once, and none that came before this node led, so that arrival rates carry over
from leader to leader.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import OPEN, Job
from hookwall.protocol.cloud_messages import MachineType
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

SMOOTHING_S = 60.0  # time constant of the smoothed arrivals
MAX_MEASURED_GAP_S = 10.0  # a longer time between two measurements counts as this
ON_DEMAND_Z = 0.8  # margin of on-demand machines, in standard deviations of need while one boots
TOTAL_Z = 0.7  # margin of all machines
GUARANTEE_Z = 3.0  # the same where a guarantee has to start sooner than a machine boots
QUIET_S = 20.0  # without any job for this long, nothing is held ready


@dataclass(slots=True)
class Targets:
    """How many machines should be ready."""

    on_demand: float = 0.0
    total: float = 0.0
    guaranteed: float = 0.0  # what guarantees need to be ready, whatever else is short

    def total_with(self, on_demand: int) -> float:
        """How many machines should be ready in all, with so many on-demand ones.

        On-demand machines that can't be had are not made up for by spot instances, which the work that
        lacks them can't use: in a queue of urgent gangs half of 315 spot instances stood idle for it.
        """
        return max(self.guaranteed, self.total - max(0.0, self.on_demand - on_demand))


@dataclass(slots=True)
class Need:
    """Machines that the jobs there are need, and how long a new one takes to serve any of them."""

    on_demand: float = 0.0
    spot: float = 0.0
    startup_s: float = 0.0


class Demand:
    """Follows need and arrivals while this node leads."""

    def __init__(
        self,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        clock: Callable[[], float],
        intake_blocked: Callable[[], bool] = lambda: False,
    ) -> None:
        """`intake_blocked`: whether no job can be accepted or stored now, so that need seems to fall and comes back."""
        self.params = params
        self.fleet = fleet
        self.scheduler = scheduler
        self.clock = clock
        self.intake_blocked = intake_blocked
        self.targets = Targets()
        self.on_demand_rate = 0.0  # arrivals, in machines a second
        self.spot_rate = 0.0
        self.on_demand_need = 0.0
        self.spot_need = 0.0
        self.counted_jobs: set[str] = set()
        self.jobs_precede_leadership = False
        self.measured_at = -math.inf
        self.busy_at = -math.inf

    def reset(self, jobs_precede_leadership: bool) -> None:
        """A new leadership. `jobs_precede_leadership`: the jobs that there are came before it."""
        self.targets = Targets()
        self.jobs_precede_leadership = jobs_precede_leadership
        self.on_demand_rate = 0.0
        self.spot_rate = 0.0
        self.counted_jobs.clear()
        self.measured_at = self.clock()
        self.busy_at = self.measured_at

    def measure(self, now: float) -> None:
        """Follow what is needed now, and how fast jobs arrive.

        A machine provisioned now serves after a boot and a fetch. Until then as many jobs may arrive and
        end as do on average, give or take the root of their number; that has to be ready. When
        arrivals stop, so does the reason for it, whatever still runs.
        """
        self._decay_rates(now)
        need = self._count_jobs()
        self.jobs_precede_leadership = False
        self.on_demand_need = need.on_demand
        self.spot_need = need.spot
        self.fleet.successor_hints.arrival_rates = (self.on_demand_rate, self.spot_rate)
        if need.on_demand or need.spot:
            self.busy_at = now
        elif now - self.busy_at > QUIET_S:
            self.counted_jobs.clear()
            self.targets = Targets()
            return
        targets = self._compute_targets(need)
        if self.intake_blocked():
            # Users try again until they get an answer. In an outage of 25 s need fell by a fifth, spot
            # instances that were preempted meanwhile were not replaced, and a queue met too few of them.
            targets.on_demand = max(targets.on_demand, self.targets.on_demand)
            targets.total = max(targets.total, self.targets.total)
        self.targets = targets

    def _decay_rates(self, now: float) -> None:
        """Let the arrival rates fade; a new leader goes on from what the last one measured."""
        elapsed_s = min(MAX_MEASURED_GAP_S, max(0.0, now - self.measured_at))
        decay = math.exp(-elapsed_s / SMOOTHING_S)
        self.measured_at = now
        received_rates = self.fleet.successor_hints.received_rates
        if self.jobs_precede_leadership and received_rates is not None:
            self.on_demand_rate, self.spot_rate = received_rates
        self.on_demand_rate *= decay
        self.spot_rate *= decay

    def _count_jobs(self) -> Need:
        """Add up what the open jobs need, and count those as arrivals that were not counted yet."""
        need = Need()
        for job in self.fleet.table.open_jobs.values():
            if job.phase != OPEN or job.spec is None:
                continue
            queued = self.scheduler.waiting.get(job.job_id)
            task_count = len(job.allocations) + (queued.count if queued is not None else 0)
            fit = task_fit(job, self.fleet)
            machines = task_count * fit.machine_share
            if job.spec.spot:
                need.spot += machines
            else:
                need.on_demand += machines
            need.startup_s = max(need.startup_s, fit.startup_s)
            if task_count and job.job_id not in self.counted_jobs:
                self._count_arrival(job, job.spec.spot, machines)
        return need

    def _count_arrival(self, job: Job, spot: bool, machines: float) -> None:
        """Count a job that needs so many machines as an arrival, unless it came before this leadership."""
        self.counted_jobs.add(job.job_id)
        if self.jobs_precede_leadership:
            return
        if spot:
            self.spot_rate += machines / SMOOTHING_S
        else:
            self.on_demand_rate += machines / SMOOTHING_S

    def _compute_targets(self, need: Need) -> Targets:
        """Need, and a margin for what arrives until a machine that is provisioned now serves."""

        def margin(arrival_rate: float, deviations: float) -> float:
            return deviations * math.sqrt(2.0 * arrival_rate * need.startup_s)

        guaranteed = self.guaranteed_machines()
        on_demand = need.on_demand + margin(self.on_demand_rate, ON_DEMAND_Z)
        total_margin = margin(self.on_demand_rate + self.spot_rate, GUARANTEE_Z if guaranteed else TOTAL_Z)
        total = need.on_demand + need.spot + total_margin
        return Targets(on_demand, max(total, on_demand, guaranteed), guaranteed)

    def guaranteed_machines(self) -> float:
        """How many machines have to be ready since a guarantee is to start sooner than a machine boots."""
        types = [machine_type for machine_type in self.fleet.machine_types if machine_type is not None]
        if not self._has_prompt_guarantee(types):
            return 0.0
        gpus = max((machine_type.gpus for machine_type in types), default=0.0)
        cpus = max((machine_type.cpus for machine_type in types), default=0.0)
        by_gpus = sum(team.gpus for team in self.params.teams) / gpus if gpus else 0.0
        by_cpus = sum(team.cpus for team in self.params.teams) / cpus if cpus else 0.0
        return max(by_gpus, by_cpus)

    def _has_prompt_guarantee(self, types: list[MachineType]) -> bool:
        """Whether a guarantee has to start sooner than the slowest type boots."""
        boot_s = max((machine_type.boot_s for machine_type in types), default=0.0)
        return any(
            objective.kind == "guarantee" and (objective.within_s or math.inf) < boot_s
            for objective in self.params.objectives
        )
