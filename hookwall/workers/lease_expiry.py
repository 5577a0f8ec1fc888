"""When a worker's lease can't last any more, as nobody can have answered it."""

import logging
from typing import TYPE_CHECKING

from hookwall.config.clock_bounds import DRIFT
from hookwall.jobs.job import WITHDRAWN
from hookwall.workers.machine import Machine

if TYPE_CHECKING:
    from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

LEASE_MARGIN_S = 0.5


class Leases:
    """Follows how long ago each worker can last have been answered, by this leader or by a follower."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.gone_s = fleet.params.workers.lease_s * (1 + DRIFT) + LEASE_MARGIN_S
        self.ended: set[str] = set()  # machines whose starts were dropped since no node can have answered them

    def expire(self, now: float) -> None:
        """Machines whose worker can't have a lease any more have no tasks."""
        if self.fleet.began is None:
            return
        soon = min(self.gone_s, self.fleet.params.workers.report_s * 3)
        for machine in list(self.fleet.machines.values()):
            # Most were answered a moment ago: whatever could be over counts from later.
            if now - machine.answered <= soon and now - machine.heard_us_at <= soon:
                continue
            if not machine.silent and self._quiet(machine, now):
                machine.silent, machine.hears = True, False
                log.info("machine %s is silent", machine.name)
                self.fleet.wake()
            idle = not machine.entries and not machine.unrecorded
            if (
                idle
                or now - max(machine.answered, self.fleet.began) <= self.gone_s
                or self.fleet.kept.kept(machine.name)
            ):
                continue
            if now - self.fleet.kept.heard(machine.name) > self.gone_s:
                log.info("machine %s: lease is over, %d tasks gone", machine.name, len(machine.entries))
                # A machine that hangs ends its tasks only when it goes on; cancelled ones must be gone before.
                machine.doubtful = machine.doubtful or any(
                    job.phase == WITHDRAWN for job, _ in machine.entries.values()
                )
                self.ended.add(machine.name)
                self.fleet.drop_all(machine, "the lease is over")

    def was_wrong(self, kept: frozenset[str] | None) -> bool:
        """Whether a lease that seemed to be over is one of those that a follower turns out to keep; None: any."""
        wrong = self.ended if kept is None else self.ended & kept
        found = bool(wrong)
        self.ended -= set(wrong)
        return found

    def _quiet(self, machine: Machine, now: float) -> bool:
        """Whether a machine that should be heard is not. One that has not come to a new leader has a lease's time."""
        assert self.fleet.began is not None
        if machine.up_at >= 0:
            return now - machine.heard_us_at > self.fleet.params.workers.report_s * 3
        return machine.ran_at >= 0 and now - max(machine.ran_at, self.fleet.began) > self.gone_s
