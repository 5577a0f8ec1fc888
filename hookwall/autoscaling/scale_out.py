"""Scaling out, and sending the decisions of scaling out and in to the cloud.

Provisioning requests are named `hw-<fencing token>-<n>`. The token is new in each leadership and the number is new for
each request, so a name is never used twice. A request without a response is repeated under the same name until it gets
one.

Invariant: every request that was sent is either pending here or has received its final response, and a new leader
decides nothing before it has learned which machines exist.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Iterable

from hookwall.autoscaling.capacity import Capacity, ProvisioningRequest
from hookwall.autoscaling.cloud_client import (
    POLL_INTERVAL_S,
    RETRY_DELAY_S,
    CloudClient,
    CloudUnavailableError,
    NoCapacityError,
)
from hookwall.autoscaling.demand import Demand
from hookwall.autoscaling.inventory import Inventory
from hookwall.autoscaling.pool_backoff import PoolBackoff
from hookwall.autoscaling.provisioning_plan import MAX_MACHINES_PER_REQUEST, ProvisioningPlanner
from hookwall.autoscaling.scale_in import ScaleIn
from hookwall.config.platform import PlatformParameters
from hookwall.protocol.cloud_messages import Catalog
from hookwall.scheduling.scheduler import Scheduler
from hookwall.workers.fleet import Fleet
from hookwall.workers.resources import ResourceRequest

log = logging.getLogger(__name__)

MAX_MACHINES_PER_DELETION = 100
SCALE_IN_DELAY_S = 30.0  # a new leader drains no machines until it has led for this long
# A new leader first learns which machines exist; if it provisioned before, it would provision them a second time.
SCALE_OUT_DELAY_S = 4.0
PLAN_INTERVAL_S = 1.0
CATALOG_INTERVAL_S = 60.0


async def _ignore_catalog(catalog: Catalog) -> None:
    """Do nothing; the default for `on_catalog`."""


class ScaleOut:
    """Provisions and deletes machines while this node leads: `run` executes what the planner and `scale_in` decide."""

    def __init__(
        self,
        params: PlatformParameters,
        fleet: Fleet,
        scheduler: Scheduler,
        client: CloudClient,
        clock: Callable[[], float],
        *,
        is_first_leadership: Callable[[], bool] = lambda: False,
        submissions_blocked: Callable[[], bool] = lambda: False,
        relocation_requests: Callable[[], Iterable[ResourceRequest]] = tuple,
        on_catalog: Callable[[Catalog], Awaitable[None]] = _ignore_catalog,
    ) -> None:
        """Build the parts of autoscaling.

        `is_first_leadership` tells whether no node can have led recently, so that there are no requests and heartbeats
        to wait for. For `submissions_blocked` see `Demand`, for `relocation_requests` see `ProvisioningPlanner`.
        `on_catalog` is called with the machine types each time they have been fetched.
        """
        self.fleet = fleet
        self.scheduler = scheduler
        self.client = client
        self.clock = clock
        self.is_first_leadership = is_first_leadership
        self.on_catalog = on_catalog
        self.inventory = Inventory(fleet, client, params.cloud, clock)
        self.capacity = Capacity(fleet, self.inventory)
        self.demand = Demand(params, fleet, scheduler, clock, submissions_blocked)
        self.scale_in = ScaleIn(params, fleet, scheduler, self.capacity, self.demand)
        self.backoff = PoolBackoff(clock)
        self.planner = ProvisioningPlanner(
            fleet, scheduler, self.capacity, self.demand, self.backoff, relocation_requests
        )
        self.request_serial = 0
        self._planned_at = -math.inf
        self._catalog_requested_at = -math.inf

    def reset(self) -> None:
        """Start a new leadership, which learns from lists and heartbeats which machines exist."""
        self.capacity.pending_requests.clear()
        self.backoff.reset()
        self.inventory.reset()
        self.demand.reset(jobs_precede_leadership=not self.is_first_leadership())
        self.request_serial = 0

    def is_confirmed_deleted(self, machine: str) -> bool:
        """Whether a machine that is named in records is known to no longer exist."""
        if machine in self.fleet.deleted_names:
            return True
        if machine in self.fleet.machines or not self.inventory.has_listing:
            return False
        return self.inventory.leading_for_s(self.clock()) > 2 * self.inventory.max_age_s

    async def run(self, leads: Callable[[], bool], fencing_token: Callable[[], int]) -> None:
        """Compare need and capacity periodically while this node leads; provision and delete machines."""
        self._planned_at = -math.inf
        self._catalog_requested_at = -math.inf
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not leads():
                continue
            try:
                await self._reconcile(leads, fencing_token)
            except CloudUnavailableError as error:
                log.debug("cloud request failed: error=%s", error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _reconcile(self, leads: Callable[[], bool], fencing_token: Callable[[], int]) -> None:
        """Run one pass: fetch the catalog, scale in, repeat the pending requests, and then send new ones."""
        if self.fleet.catalog is None or self.clock() - self._catalog_requested_at > CATALOG_INTERVAL_S:
            self._catalog_requested_at = self.clock()
            await self.on_catalog(await self.client.fetch_catalog())
        if not leads():
            return
        await self._scale_in()
        for request in list(self.capacity.pending_requests):
            await self._provision(request)
        scale_out_delay_s = 0.0 if self.is_first_leadership() else SCALE_OUT_DELAY_S
        now = self.clock()
        may_scale_out = self.inventory.has_listing and self.inventory.leading_for_s(now) >= scale_out_delay_s
        if may_scale_out and now - self._planned_at >= PLAN_INTERVAL_S:
            self._planned_at = now
            await self._scale_out(leads, fencing_token)

    async def _scale_in(self) -> None:
        """Drain machines that exceed the need, and delete machines that are no longer usable or needed."""
        self.demand.measure(self.clock())
        if self.inventory.has_listing and self.inventory.leading_for_s(self.clock()) > SCALE_IN_DELAY_S:
            self.scale_in.drain_excess_machines(self.clock())
        to_delete = self.scale_in.machines_to_delete(self.clock())[:MAX_MACHINES_PER_DELETION]
        if not to_delete:
            return
        await self.client.delete_machines([machine.name for machine in to_delete])
        for machine in to_delete:
            if self.fleet.machines.get(machine.name) is machine:
                self.fleet.confirm_deletion(machine, "deleted")

    async def _scale_out(self, leads: Callable[[], bool], fencing_token: Callable[[], int]) -> None:
        """Provision machines for the waiting jobs; if these need none, provision ahead of need."""
        self._log_need(self.clock())
        plan = self.planner.plan_for_waiting_jobs(self.clock()) or self.planner.plan_standby(self.clock())
        for pool, count in plan.items():
            if not leads():
                return
            self.request_serial += 1
            name = f"hw-{fencing_token()}-{self.request_serial}"
            request = ProvisioningRequest(name, pool, min(count, MAX_MACHINES_PER_REQUEST))
            self.capacity.pending_requests.append(request)
            await self._provision(request)

    async def _provision(self, request: ProvisioningRequest) -> None:
        """Send a pending request. Without a response it stays pending, and CloudUnavailableError is passed on."""
        pool = request.pool
        type_ = self.fleet.type_names.names[pool.type]
        zone = self.fleet.zone_names.names[pool.zone]
        try:
            names = await self.client.provision(request.name, type_, zone, pool.spot, request.count)
        except NoCapacityError:
            self.capacity.pending_requests.remove(request)
            self.backoff.record_refusal(pool)
            return
        self.capacity.pending_requests.remove(request)
        log.info(
            "machines provisioned: request=%s type=%s zone=%s spot=%s provisioned=%d requested=%d",
            request.name, type_, zone, pool.spot, len(names), request.count,
        )  # fmt: skip
        if len(names) < request.count:
            self.backoff.record_refusal(pool)
        else:
            self.backoff.record_success(pool)
        for name in names:
            self.fleet.ensure_machine(name, type_, zone, pool.spot).last_listed_at = self.clock()

    def _log_need(self, now: float) -> None:
        """Log the figures behind provisioning and deletion decisions in one line."""
        if not log.isEnabledFor(logging.DEBUG):
            return
        counts = self.capacity.machine_counts(now)
        demand = self.demand
        log.debug(
            "demand: on_demand_need=%.0f total_need=%.0f on_demand_target=%.0f total_target=%.0f "
            "on_demand_machines=%d machines=%d waiting_jobs=%d",
            demand.on_demand_need, demand.on_demand_need + demand.spot_need, demand.targets.on_demand,
            demand.targets.total, counts.on_demand, counts.total, len(self.scheduler.waiting),
        )  # fmt: skip
