"""The loop of scheduling rounds.

Invariant: a round runs only while this node is a valid leader, and no decision of a round leaves the node before the
job writer has stored it.
"""

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress

from hookwall.jobs.job_writer import JobWriter
from hookwall.leadership.leadership import Leadership
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = 0.5  # time to wait for a request before a round runs without one
MIN_ROUND_GAP_S = 0.1


class RoundLoop:
    """Runs a scheduling round on request or after `ROUND_INTERVAL_S`, while this node leads."""

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
        round_duration_s = 0.0
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    await self.requested.wait()
            # After a long round, heartbeats and user requests get as much time as the round took, but at most
            # ROUND_INTERVAL_S.
            await asyncio.sleep(min(max(MIN_ROUND_GAP_S, round_duration_s), ROUND_INTERVAL_S))
            self.requested.clear()
            if not self.leadership.valid():
                continue
            started_at = self.clock()
            try:
                self._run_round()
            except Exception:
                log.exception("round failed")
            round_duration_s = self.clock() - started_at

    def _run_round(self) -> None:
        """Expire leases, run a scheduling round and request that the job writer stores the decisions."""
        self.fleet.begin_validity(self.clock())
        self.fleet.expire_leases(self.clock())
        if self.fleet.catalog is not None and self.scheduler.run_round():
            self.requested.set()
        self.job_writer.write_requested.set()
