"""The cloud's machine list: late, and for a large fleet in many pages.

Pages are asked for one at a time beside renting and returning, so that a rental waits for one page at most. A list
takes no more than half of the requests that the cloud allows, so a larger fleet is listed less often.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.autoscaling.cloud_client import CloudClient, CloudUnavailableError
from hookwall.config.platform import CloudLimits
from hookwall.protocol import cloud_messages
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine

log = logging.getLogger(__name__)

LIST_INTERVAL_S = 4.0
FIRST_LIST_RETRY_S = 0.5  # until a new leader has its first list
LOOK_S = 0.3
AFTER_TROUBLE_S = 0.7
REQUEST_SHARE = 0.5  # of the requests that the cloud allows


class Inventory:
    """What the newest lists have shown, for one leadership at a time."""

    def __init__(self, fleet: Fleet, client: CloudClient, cloud: CloudLimits, clock: Callable[[], float]) -> None:
        self.fleet, self.client, self.clock = fleet, client, clock
        self.rps = cloud.rps
        self.max_age_s = 2.0 * cloud.list_lag_s + 1.0  # no list is older than this
        self.leadership_number = 0
        self.has_listing = False
        self.listed_at = -1e9  # when the newest list was asked for
        self.requested_at = -1e9

    def reset(self) -> None:
        """A new leadership: nothing has been listed yet."""
        self.leadership_number += 1
        self.has_listing, self.listed_at, self.requested_at = False, -1e9, -1e9

    def take(self, listed: list[cloud_messages.ListedMachine], asked_at: float) -> None:
        """Take in a list that was asked for then. It may be older than the one before."""
        fleet, now = self.fleet, asked_at
        for item in listed:
            if item.name in fleet.deleted_names:
                continue
            m = fleet.machines.get(item.name)
            fresh = m is None
            m = fleet.ensure_machine(item.name, item.type, item.zone, item.spot)
            if fresh:
                m.provisioned_at = now - item.age_s
                m.first_known_at = now if item.phase != "booting" else m.provisioned_at
            m.last_listed_at = max(now, m.last_listed_at)
            if item.phase == "running" and m.listed_running_at < 0:
                m.listed_running_at = now
            if item.phase == "failed":
                m.provisioning_failed = True
        self.has_listing, self.listed_at = True, now

    def is_missing(self, m: Machine) -> bool:
        """Whether the lists have lacked the machine for so long that it must be gone.

        A new leader's records name machines that were taken meanwhile. They counted as standing, and as
        ordinary ones at that, so nothing was rented in their place until they were deleted.
        """
        return self.listed_at - m.last_listed_at > self.max_age_s

    def interval_s(self) -> float:
        """How long from one list to the next."""
        pages = 1 + len(self.fleet.machines) // self.client.page_size
        return max(LIST_INTERVAL_S, pages / (self.rps * REQUEST_SHARE))

    async def run(self, valid: Callable[[], bool]) -> None:
        """Ask for lists while this node leads."""
        while True:
            await asyncio.sleep(LOOK_S)
            now = self.clock()
            if not valid() or now - self.requested_at < (self.interval_s() if self.has_listing else FIRST_LIST_RETRY_S):
                continue
            term, self.requested_at = self.leadership_number, now
            try:
                listed = await self.client.machines()
            except CloudUnavailableError as error:
                log.debug("machine list: %s", error)
                await asyncio.sleep(AFTER_TROUBLE_S)
                continue
            if valid() and term == self.leadership_number:
                self.take(listed, now)
