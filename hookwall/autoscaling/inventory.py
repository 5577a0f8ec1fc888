"""The cloud's machine list: late, and for a large fleet in many pages.

Pages are asked for one at a time beside renting and returning, so that a rental waits for one page at most. A list
takes no more than half of the requests that the cloud allows, so a larger fleet is listed less often.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.autoscaling.cloud_client import CloudClient, Trouble
from hookwall.config.platform import Cloud
from hookwall.protocol import cloud_messages
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine

log = logging.getLogger(__name__)

EVERY_S = 4.0
FIRST_AGAIN_S = 0.5  # until a new leader has its first list
LOOK_S = 0.3
AFTER_TROUBLE_S = 0.7
SHARE = 0.5  # of the requests that the cloud allows


class MachineList:
    """What the newest lists have shown, for one leadership at a time."""

    def __init__(self, fleet: Fleet, client: CloudClient, cloud: Cloud, clock: Callable[[], float]) -> None:
        self.fleet, self.client, self.clock = fleet, client, clock
        self.rps = cloud.rps
        self.late_s = 2.0 * cloud.list_lag_s + 1.0  # no list is older than this
        self.term = 0
        self.listed_once = False
        self.listed_at = -1e9  # when the newest list was asked for
        self.asked_at = -1e9

    def reset(self) -> None:
        """A new leadership: nothing has been listed yet."""
        self.term += 1
        self.listed_once, self.listed_at, self.asked_at = False, -1e9, -1e9

    def take(self, listed: list[cloud_messages.Listed], asked_at: float) -> None:
        """Take in a list that was asked for then. It may be older than the one before."""
        fleet, now = self.fleet, asked_at
        for item in listed:
            if item.name in fleet.deleted:
                continue
            m = fleet.machines.get(item.name)
            fresh = m is None
            m = fleet.machine(item.name, item.type, item.zone, item.spot)
            if fresh:
                m.rented_at = now - item.age_s
                m.known_at = now if item.phase != "booting" else m.rented_at
            m.listed_at = max(now, m.listed_at)
            if item.phase == "running" and m.ran_at < 0:
                m.ran_at = now
            if item.phase == "failed":
                m.failed = True
        self.listed_once, self.listed_at = True, now

    def unlisted(self, m: Machine) -> bool:
        """Whether the lists have lacked the machine for so long that it must be gone.

        A new leader's records name machines that were taken meanwhile. They counted as standing, and as
        ordinary ones at that, so nothing was rented in their place until they were deleted.
        """
        return self.listed_at - m.listed_at > self.late_s

    def every_s(self) -> float:
        """How long from one list to the next."""
        pages = 1 + len(self.fleet.machines) // self.client.page_size
        return max(EVERY_S, pages / (self.rps * SHARE))

    async def run(self, valid: Callable[[], bool]) -> None:
        """Ask for lists while this node leads."""
        while True:
            await asyncio.sleep(LOOK_S)
            now = self.clock()
            if not valid() or now - self.asked_at < (self.every_s() if self.listed_once else FIRST_AGAIN_S):
                continue
            term, self.asked_at = self.term, now
            try:
                listed = await self.client.machines()
            except Trouble as error:
                log.debug("machine list: %s", error)
                await asyncio.sleep(AFTER_TROUBLE_S)
                continue
            if valid() and term == self.term:
                self.take(listed, now)
