"""The loop of scheduling rounds.

Invariant: a round runs only while this node is a valid leader, and nothing that it decides leaves the node before the
job writer has stored it.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress

from hookwall.jobs.job_writer import JobWriter
from hookwall.leadership.state_machine import Leadership
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = 0.5  # without a request, a round runs this long after the last one
MIN_ROUND_GAP_S = 0.1


class RoundLoop:
    """Runs a round when something changed, or after an interval, while this node leads."""

    def __init__(
        self,
        leadership: Leadership,
        fleet: Fleet,
        scheduler: Scheduler,
        job_writer: JobWriter,
        clock: Callable[[], float],
        requested: asyncio.Event,
    ) -> None:
        self.leadership = leadership
        self.fleet = fleet
        self.scheduler = scheduler
        self.job_writer = job_writer
        self.clock = clock
        self.requested = requested

    async def run(self) -> None:
        """Run rounds until the task is cancelled."""
        took_s = 0.0
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    await self.requested.wait()
            # Where a round takes long, heartbeats and users have as long in between.
            await asyncio.sleep(min(max(MIN_ROUND_GAP_S, took_s), ROUND_INTERVAL_S))
            self.requested.clear()
            if not self.leadership.valid():
                continue
            began = self.clock()
            try:
                self._run_round()
            except Exception:
                log.exception("round failed")
            took_s = self.clock() - began

    def _run_round(self) -> None:
        """Expire leases, decide, and have the decisions written."""
        self.fleet.begin_validity(self.clock())
        self.fleet.expire_leases(self.clock())
        if self.fleet.catalog is not None and self.scheduler.run_round():
            self.requested.set()
        self.job_writer.write_requested.set()
