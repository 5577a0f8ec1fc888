"""How many machines are needed: by the jobs there are, and by those that will have come while a machine boots."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from hookwall.config.platform import Params
from hookwall.jobs.job import OPEN
from hookwall.scheduling.fit import fit_of
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

    solid: float = 0.0
    total: float = 0.0
    floor: float = 0.0  # what guarantees want to stand ready, whatever else is short

    def all_with(self, solid: int) -> float:
        """How many machines should stand ready, with `solid` ordinary ones.

        Ordinary machines that can't be had are not made up for by cheap ones, which the work that
        lacks them can't use: in a queue of urgent gangs half of 315 cheap machines stood idle for it.
        """
        return max(self.floor, self.total - max(0.0, self.solid - solid))


class Demand:
    """Follows need and arrivals while this node leads."""

    def __init__(self, params: Params, fleet: Fleet, scheduler: Scheduler, clock: Callable[[], float]) -> None:
        self.params, self.fleet, self.scheduler, self.clock = params, fleet, scheduler, clock
        self.targets = Targets()
        self.rate_solid = self.rate_other = 0.0  # arrivals, in machines a second
        self.need_solid = self.need_other = 0.0
        self.counted: set[str] = set()
        self.unmeasured = False
        self.measured_at = self.busy_at = -1e9
        # Whether nothing can be accepted or stored now, so that need seems to fall and will come back.
        self.stuck: Callable[[], bool] = lambda: False

    def reset(self, unmeasured: bool) -> None:
        """A new leadership. `unmeasured`: the jobs that there are came before it."""
        self.targets = Targets()
        self.unmeasured = unmeasured
        self.rate_solid = self.rate_other = 0.0
        self.counted.clear()
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
        if self.unmeasured and self.fleet.hints.rate_told is not None:
            # A new leader goes on from what the last one measured.
            self.rate_solid, self.rate_other = self.fleet.hints.rate_told
        self.rate_solid *= decay
        self.rate_other *= decay
        for job in self.fleet.table.open.values():
            if job.phase != OPEN or job.spec is None:
                continue
            w = self.scheduler.waiting.get(job.ref)
            count = len(job.active) + (w.count if w is not None else 0)
            fit = fit_of(job, self.fleet)
            n = count * fit.weight
            if job.spec.spot:
                other += n
            else:
                solid += n
            horizon = max(horizon, fit.wait_s)
            if job.ref not in self.counted and count:
                self.counted.add(job.ref)
                if self.unmeasured:
                    continue
                if job.spec.spot:
                    self.rate_other += n / SMOOTH_S
                else:
                    self.rate_solid += n / SMOOTH_S
        self.unmeasured = False
        self.need_solid, self.need_other = solid, other
        self.fleet.hints.rate_now = (self.rate_solid, self.rate_other)
        if solid or other:
            self.busy_at = now
        elif now - self.busy_at > QUIET_S:
            self.counted.clear()
            self.targets = Targets()
            return

        def margin(rate: float, z: float) -> float:
            return z * math.sqrt(2.0 * rate * horizon)

        floor = self.firm_floor()
        t = Targets(floor=floor)
        t.solid = solid + margin(self.rate_solid, SOLID_Z)
        t.total = solid + other + margin(self.rate_solid + self.rate_other, FIRM_Z if floor else TOTAL_Z)
        t.total = max(t.total, t.solid, floor)
        if self.stuck():
            # Users try again until they are heard. In an outage of 25 s need fell by a fifth, cheap
            # machines that were taken meanwhile were not replaced, and a queue met too few of them.
            t = Targets(max(t.solid, self.targets.solid), max(t.total, self.targets.total), floor)
        self.targets = t

    def firm_floor(self) -> float:
        """A guarantee that must start sooner than a machine boots has to stand ready."""
        boot = max((i.boot_s for i in self.fleet.type_info if i is not None), default=0.0)
        if not any(o.kind == "guarantee" and (o.within_s or 1e9) < boot for o in self.params.objectives):
            return 0.0
        gpus = max((i.gpus for i in self.fleet.type_info if i is not None), default=0.0)
        cpus = max((i.cpus for i in self.fleet.type_info if i is not None), default=0.0)
        by_gpus = sum(t.gpus for t in self.params.teams) / gpus if gpus else 0.0
        by_cpus = sum(t.cpus for t in self.params.teams) / cpus if cpus else 0.0
        return max(by_gpus, by_cpus)
