"""The cloud's machine list, which lags behind the actual state and has many pages for a large fleet.

Pages are requested one at a time, concurrently with scaling out and in, so that a provisioning request waits for one
page at most. Listing uses no more than half of the requests that the cloud allows, so a larger fleet is listed less
often.

Invariant: a list counts as seen at the time at which it was requested, and is applied only under the leadership that
requested it.
"""

import asyncio
import logging
import math
from collections.abc import Callable

from hookwall.autoscaling.cloud_client import POLL_INTERVAL_S, RETRY_DELAY_S, CloudClient, CloudUnavailableError
from hookwall.config.platform import CloudLimits
from hookwall.protocol.cloud_messages import ListedMachine
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Machine

log = logging.getLogger(__name__)

LIST_INTERVAL_S = 4.0
FIRST_LIST_RETRY_S = 0.5  # list interval until a new leader has its first list
REQUEST_SHARE = 0.5  # share of the requests that the cloud allows
# Maximum age of what a list shows: this many times the lag of the cloud's lists, plus the margin.
MAX_LISTING_LAGS = 2.0
LISTING_MARGIN_S = 1.0


class Inventory:
    """Tracks what the newest machine lists have shown, for one leadership at a time."""

    def __init__(self, fleet: Fleet, client: CloudClient, cloud: CloudLimits, clock: Callable[[], float]) -> None:
        """`cloud` provides the allowed request rate and the lag of the machine lists."""
        self.fleet = fleet
        self.client = client
        self.clock = clock
        self.rps = cloud.rps
        self.max_age_s = MAX_LISTING_LAGS * cloud.list_lag_s + LISTING_MARGIN_S
        self.leadership_number = 0
        self.leading_since = -math.inf
        self.has_listing = False
        self.listed_at = -math.inf  # when the newest list was requested
        self.requested_at = -math.inf

    def reset(self) -> None:
        """Start a new leadership, in which nothing has been listed yet."""
        self.leadership_number += 1
        self.leading_since = self.clock()
        self.has_listing = False
        self.listed_at = -math.inf
        self.requested_at = -math.inf

    def leading_for_s(self, now: float) -> float:
        """Return how long this node has been leading, in seconds."""
        return now - self.leading_since

    def apply_listing(self, listed: list[ListedMachine], requested_at: float) -> None:
        """Apply a list that was requested at `requested_at` to the fleet. The list may be older than the one before."""
        for item in listed:
            if item.name not in self.fleet.deleted_names:
                self._apply_item(item, requested_at)
        self.has_listing = True
        self.listed_at = requested_at

    def _apply_item(self, item: ListedMachine, requested_at: float) -> None:
        """Apply the list's entry for one machine."""
        is_new = item.name not in self.fleet.machines
        machine = self.fleet.ensure_machine(item.name, item.type, item.zone, item.spot)
        if is_new:
            machine.provisioned_at = requested_at - item.age_s
            machine.first_known_at = requested_at if item.phase != "booting" else machine.provisioned_at
        machine.last_listed_at = max(requested_at, machine.last_listed_at)
        if item.phase == "running" and machine.listed_running_at < 0:
            machine.listed_running_at = requested_at
        if item.phase == "failed":
            machine.provisioning_failed = True

    def is_missing(self, machine: Machine) -> bool:
        """Whether the machine has been missing from the lists for so long that it can no longer exist.

        The records that a new leader reads may name machines that the cloud has reclaimed in the meantime. Without this
        check they counted as ready, and even as on-demand machines, so that no replacements were provisioned until
        they were deleted.
        """
        return self.listed_at - machine.last_listed_at > self.max_age_s

    def interval_s(self) -> float:
        """Return the time between the requests of two lists, in seconds."""
        pages = 1 + len(self.fleet.machines) // self.client.page_size
        return max(LIST_INTERVAL_S, pages / (self.rps * REQUEST_SHARE))

    async def run(self, leads: Callable[[], bool]) -> None:
        """Request and apply machine lists while this node leads."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = self.clock()
            interval_s = self.interval_s() if self.has_listing else FIRST_LIST_RETRY_S
            if not leads() or now - self.requested_at < interval_s:
                continue
            leadership_number = self.leadership_number
            self.requested_at = now
            try:
                listed = await self.client.machines()
            except CloudUnavailableError as error:
                log.debug("machine list failed: error=%s", error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if leads() and leadership_number == self.leadership_number:
                self.apply_listing(listed, now)
