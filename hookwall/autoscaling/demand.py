"""How many machines are needed: by the jobs there are, and by those that will have come while a machine boots."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import OPEN
from hookwall.scheduling.fit import task_fit
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

SMOOTH_S = 60.0  # time constant of the smoothed arrivals
SOLID_Z = 0.8  # margin of ordinary machines, in standard deviations of need while one boots
TOTAL_Z = 0.7  # margin of all machines
FIRM_Z = 3.0  # the same where a guarantee has to start sooner than a machine boots
QUIET_S = 20.0  # without any job for this long, nothing stands ready


@dataclass(slots=True)
class Targets:
    """How many machines should stand ready."""

    on_demand: float = 0.0
    total: float = 0.0
    guaranteed: float = 0.0  # what guarantees want to stand ready, whatever else is short

    def total_with(self, solid: int) -> float:
        """How many machines should stand ready, with `solid` ordinary ones.

        Ordinary machines that can't be had are not made up for by cheap ones, which the work that
        lacks them can't use: in a queue of urgent gangs half of 315 cheap machines stood idle for it.
        """
        return max(self.guaranteed, self.total - max(0.0, self.on_demand - solid))


class Demand:
    """Follows need and arrivals while this node leads."""

    def __init__(
        self, params: PlatformParameters, fleet: Fleet, scheduler: Scheduler, clock: Callable[[], float]
    ) -> None:
        self.params, self.fleet, self.scheduler, self.clock = params, fleet, scheduler, clock
        self.targets = Targets()
        self.on_demand_rate = self.spot_rate = 0.0  # arrivals, in machines a second
        self.on_demand_need = self.spot_need = 0.0
        self.counted_jobs: set[str] = set()
        self.jobs_precede_leadership = False
        self.measured_at = self.busy_at = -1e9
        # Whether nothing can be accepted or stored now, so that need seems to fall and will come back.
        self.intake_blocked: Callable[[], bool] = lambda: False

    def reset(self, unmeasured: bool) -> None:
        """A new leadership. `unmeasured`: the jobs that there are came before it."""
        self.targets = Targets()
        self.jobs_precede_leadership = unmeasured
        self.on_demand_rate = self.spot_rate = 0.0
        self.counted_jobs.clear()
        self.measured_at = self.busy_at = self.clock()

    def measure(self, now: float) -> None:
        """Follow what is needed now, and how fast jobs arrive.

        A machine rented now serves after a boot and a fetch. Until then as many jobs may arrive and
        end as do on average, give or take the root of their number; that has to stand ready. When
        arrivals stop, so does the reason for it, whatever still runs.
        """
        solid = other = 0.0
        horizon = 0.0
        decay = math.exp(-min(10.0, max(0.0, now - self.measured_at)) / SMOOTH_S)
        self.measured_at = now
        if self.jobs_precede_leadership and self.fleet.successor_hints.received_rates is not None:
            # A new leader goes on from what the last one measured.
            self.on_demand_rate, self.spot_rate = self.fleet.successor_hints.received_rates
        self.on_demand_rate *= decay
        self.spot_rate *= decay
        for job in self.fleet.table.open_jobs.values():
            if job.phase != OPEN or job.spec is None:
                continue
            w = self.scheduler.waiting.get(job.job_id)
            count = len(job.allocations) + (w.count if w is not None else 0)
            fit = task_fit(job, self.fleet)
            n = count * fit.machine_share
            if job.spec.spot:
                other += n
            else:
                solid += n
            horizon = max(horizon, fit.startup_s)
            if job.job_id not in self.counted_jobs and count:
                self.counted_jobs.add(job.job_id)
                if self.jobs_precede_leadership:
                    continue
                if job.spec.spot:
                    self.spot_rate += n / SMOOTH_S
                else:
                    self.on_demand_rate += n / SMOOTH_S
        self.jobs_precede_leadership = False
        self.on_demand_need, self.spot_need = solid, other
        self.fleet.successor_hints.arrival_rates = (self.on_demand_rate, self.spot_rate)
        if solid or other:
            self.busy_at = now
        elif now - self.busy_at > QUIET_S:
            self.counted_jobs.clear()
            self.targets = Targets()
            return

        def margin(rate: float, z: float) -> float:
            return z * math.sqrt(2.0 * rate * horizon)

        floor = self.guaranteed_machines()
        t = Targets(guaranteed=floor)
        t.on_demand = solid + margin(self.on_demand_rate, SOLID_Z)
        t.total = solid + other + margin(self.on_demand_rate + self.spot_rate, FIRM_Z if floor else TOTAL_Z)
        t.total = max(t.total, t.on_demand, floor)
        if self.intake_blocked():
            # Users try again until they are heard. In an outage of 25 s need fell by a fifth, cheap
            # machines that were taken meanwhile were not replaced, and a queue met too few of them.
            t = Targets(max(t.on_demand, self.targets.on_demand), max(t.total, self.targets.total), floor)
        self.targets = t

    def guaranteed_machines(self) -> float:
        """A guarantee that must start sooner than a machine boots has to stand ready."""
        boot = max((i.boot_s for i in self.fleet.machine_types if i is not None), default=0.0)
        if not any(o.kind == "guarantee" and (o.within_s or 1e9) < boot for o in self.params.objectives):
            return 0.0
        gpus = max((i.gpus for i in self.fleet.machine_types if i is not None), default=0.0)
        cpus = max((i.cpus for i in self.fleet.machine_types if i is not None), default=0.0)
        by_gpus = sum(t.gpus for t in self.params.teams) / gpus if gpus else 0.0
        by_cpus = sum(t.cpus for t in self.params.teams) / cpus if cpus else 0.0
        return max(by_gpus, by_cpus)
