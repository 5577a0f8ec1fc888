"""One controller node: the slices put together, and the loops that drive them.

Over 300 lines, a quarter of them in one long constructor, since this is the one place that connects the slices.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from hookwall.api import server
from hookwall.api.job_service import JobService
from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.operations import DrainSettings, Operations
from hookwall.config.platform import Settings, parse_address
from hookwall.drains.drain_subsystem import DrainSubsystem
from hookwall.jobs.cancellations import CancellationLedger
from hookwall.jobs.job import Allocation, Job
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.job_writer import JobWriter
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.leadership import peer_transport
from hookwall.leadership.peer_transport import PeerConnection
from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_fence import VoteFence
from hookwall.protocol import json_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.protocol.peer_messages import PeerStatus
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.storage.read_confirmation import ReadConfirmation
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.storage.watch import Watch
from hookwall.workers.delegation_guard import DelegationGuard
from hookwall.workers.fleet import Fleet
from hookwall.workers.heartbeat_router import HeartbeatReply, HeartbeatRouter
from hookwall.workers.lease_delegate import LeaseDelegate

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

log = logging.getLogger(__name__)

ROUND_EVERY_S = 0.5
ROUND_GAP_S = 0.1


class Node:
    """All slices of one process."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        operations: Operations | None = None,
    ) -> None:
        self.settings = settings
        params = settings.platform
        self.clock = clock
        self.store = KeyValueClient(settings.external.state, params.state, params.size, clock)
        self.watch = Watch(self.store, clock)
        self.job_table = JobTable(clock, self._taken, self._withdrawn)
        self.record_reader = JobRecordReader(self.job_table, self.store)
        self.read_confirmation = ReadConfirmation(self.store, self.record_reader.reload)
        self.fleet = Fleet(params, self.job_table, clock)
        self.scheduler = Scheduler(params, self.job_table, self.fleet, clock, wall)
        self.scheduler.unstored_job_count = lambda: sum(j.has_unsaved_starts for j in self.job_table.open_jobs.values())
        self.cloud_client = CloudClient(settings.external.cloud, params.cloud.rps, clock)
        self.scale_out = ScaleOut(params, self.fleet, self.scheduler, self.cloud_client, clock)
        self.scale_out.fresh = lambda: self.leadership.key_was_absent and self.catalog_was_absent
        self.scale_out.demand.intake_blocked = lambda: not self.store.healthy()
        self.scale_out.on_catalog = self._catalog
        self.leadership = Leadership(
            settings.node_name, params.size, [PeerConnection(s) for s in settings.seeds], self.store, clock,
            self._load, self._role,
        )  # fmt: skip
        self.leadership.vote_fence = VoteFence(
            settings.node_name, self.store, self.leadership.observe_fenced_leader_key
        )
        self.cancellations = CancellationLedger(
            params.workers,
            self.leadership,
            self.store,
            clock,
            self.watch.known_revision,
            self.job_table.apply_cancellation,
        )
        self.lease_delegate = LeaseDelegate(
            settings.node_name, self.leadership, self.store, self.job_table, self.cancellations.may_renew_leases, clock
        )
        peer_names = [seed.node_name for seed in settings.seeds]
        self.heartbeat_router = HeartbeatRouter(
            self.leadership, self.fleet, self.lease_delegate, self.cancellations, clock
        )
        self.storage_version = StorageVersionGate(settings.node_name, peer_names, self.store)
        self.delegation_guard = DelegationGuard(
            self.job_table, self.store, self.fleet.delegated_leases,
            [keys.LEASE_DELEGATE_PREFIX + name for name in peer_names], clock,
        )  # fmt: skip
        self.job_writer = JobWriter(
            self.job_table, self.store, self.leadership, self.delegation_guard, self.record_reader.reload, clock,
            packing_enabled=self.storage_version.allows_dependencies, on_decisions_stored=self._stored,
        )  # fmt: skip
        self.job_service = JobService(
            params, self.job_table, self.store, self.record_reader, self.read_confirmation, wall,
            confirm_cancellation=self.cancellations.confirm_cancellation,
            packing_enabled=self.storage_version.allows_dependencies,
            cancellations_current=self.cancellations.records_are_current,
        )  # fmt: skip
        self.heartbeat_router.on_heartbeat_processed = self.job_writer.write_requested.set
        self.watch.read_all, self.watch.on_current = self._read_all, self.cancellations.confirm_records_read
        self.watch.take = lambda key, value, stamp: self._take_key(key, value, stamp)
        self.watch.remove = self._take_deletion
        self.watch.leads = lambda: self.leadership.role is Role.LEADER
        self.lease_delegate.packed_names, self.lease_delegate.numbered_names = (
            self.storage_version.allows_dependencies,
            self.storage_version.allows_numbered_machines,
        )
        self.delegation_guard.watched_revision = lambda: self.watch.watched_revision
        self.scheduler.start_record_budget = self.job_writer.start_record_budget
        drain = (operations or Operations()).drain
        self.drains = DrainSubsystem(drain.enabled, bool(drain.budgets), lambda: self._drain_controller(drain, wall))
        self.scale_out.relocation_requests = self.drains.relocations
        self.leadership.local_status, self.leadership.on_peer_status = self._about, self._on_about
        self.leadership.rate_demand, self.leadership.lend_rate = (
            self.store.rate_shares.demand.rates_per_s,
            self.store.rate_shares.lend_rates,
        )
        self.leadership.on_rate_lent = self.store.rate_shares.borrow_rates
        self.leadership.records_revision, self.leadership.known_cancellations = (
            self.cancellations.records_revision,
            self.cancellations.known_cancellations,
        )
        self.leadership.on_known_cancellations, self.leadership.on_cancellations_announced = (
            self.cancellations.on_known_cancellations,
            self.cancellations.on_cancellations_announced,
        )
        self.leadership.on_validity_lapse = self.fleet.end_validity
        self.leadership.successor_hints = self.fleet.successor_hints.next_message
        self.leadership.on_successor_hints = self.fleet.successor_hints.apply_message
        self.fleet.delegated_leases.on_machines_delegated = self._leases_kept
        self.catalog_was_absent = False  # whether nobody had ever stored the machine types when this node took over
        self.round_requested = asyncio.Event()
        self.fleet.on_change = self.round_requested.set

    def _drain_controller(self, settings: DrainSettings, wall: Callable[[], float]) -> "DrainController":
        """Made when the first drain is seen."""
        from hookwall.drains.controller import DrainController

        params = self.settings.platform
        controller = DrainController(
            settings, params, self.fleet, self.scheduler, self.store, self.leadership, self.clock, wall
        )  # fmt: skip
        controller.drains_allowed, controller.is_confirmed_deleted = (
            self.storage_version.allows_drains,
            self.scale_out.is_gone,
        )
        return controller

    # -- the state service ---------------------------------------------------------------------

    def _stored(self) -> None:
        """Decisions were stored: starts can be launched, and others may be ready."""
        self.round_requested.set()

    def _about(self) -> PeerStatus:
        """What this node says of itself in each message to its peers."""
        return PeerStatus(self.storage_version.current_version, self.store.rate_shares.has_seen_lower_limits())

    def _on_about(self, node: str, about: PeerStatus) -> None:
        """What a peer says of itself; older programs say nothing."""
        self.storage_version.record_reported_version(node, about.storage_version)
        if about.limits_lowered:
            self.store.rate_shares.apply_lower_limits(f"{node} says so")

    def _take_key(self, key: str, value: Any, stamp: int) -> None:
        if key.startswith(keys.JOB_PREFIX):
            self.job_table.apply_record(key, value, stamp)
        elif key == keys.LEADER_KEY:
            self.leadership.observe_leader_key(value, stamp)
        elif key.startswith(keys.LEASE_DELEGATE_PREFIX):
            self.fleet.delegated_leases.apply_key(key, value, stamp)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.apply_chunk(key, value, stamp)
        elif key.startswith(keys.STORAGE_VERSION_PREFIX):
            self.storage_version.apply_marker(key, value, stamp)
        elif self.drains.owns_key(key):
            self.drains.apply_key(key, value, stamp)
        elif key == keys.CATALOG_KEY and not self.leadership.valid():
            try:
                self._set_catalog(json_messages.convert_message(value, Catalog))
            except MalformedMessageError as e:
                log.error("stored catalog is malformed: %s", e)

    def _take_deletion(self, key: str, stamp: int) -> None:
        """A key is gone."""
        if key == keys.LEADER_KEY:
            self.leadership.observe_leader_key({}, 0, stamp)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.chunks.remove(key, stamp)
        elif self.drains.owns_key(key):
            self.drains.apply_deletion(key, stamp)
        elif key.startswith(keys.LEASE_DELEGATE_PREFIX):
            known = self.fleet.delegated_leases.delegations.get(key)
            if known is not None and stamp > known[0]:
                self.fleet.delegated_leases.apply_key(key, None, 0)

    def _set_catalog(self, catalog: Catalog) -> None:
        self.job_service.catalog = catalog
        self.fleet.set_catalog(catalog)

    async def _read_all(self) -> None:
        """Read every key; the watch goes on from there."""
        sent = self.clock()
        found, epoch = await self.store.scan(keys.ROOT)
        self._keepers_missing(found)
        self.drains.apply_snapshot(found)
        if self.leadership.role is Role.LEADER:
            self.delegation_guard.void_decisions()  # changes were missed
        leader = False
        for key, value, stamp in found:
            leader = leader or key == keys.LEADER_KEY
            self._take_key(key, value, stamp)
        if not leader:
            self.leadership.observe_leader_key({}, 0, epoch)
        self.watch.watched_revision = epoch
        self.watch.loaded = self.cancellations.all_records_read = True
        self.cancellations.confirm_records_read(sent)
        log.info("read %d jobs", len(self.job_table.jobs))

    async def _load(self) -> None:
        """A new leader's picture starts from the records as they are after its key was written."""
        self.job_table.invalidate_decisions()
        sent = self.clock()
        found, epoch = await self.store.scan(keys.ROOT)
        self._keepers_missing(found)
        self.drains.load_for_leadership(found)
        for key, value, stamp in found:
            if key != keys.LEADER_KEY:
                self._take_key(key, value, stamp)
        for ref in list(self.job_table.chunks.unreadable_records):
            await self.record_reader.reload(keys.JOB_PREFIX + ref)  # its parts were replaced while the keys were read
        self.watch.scanned_revision = epoch
        self.cancellations.all_records_read = True
        self.cancellations.confirm_records_read(sent)
        self.catalog_was_absent = all(key != keys.CATALOG_KEY for key, _, _ in found)
        self.fleet.reset(self.leadership.fencing_token)
        self.scheduler.waiting.clear()
        self.scale_out.reset()

    def _keepers_missing(self, found: list[tuple[str, object, int]]) -> None:
        """Keepers' keys that a full read does not show are gone."""
        there = {key for key, _, _ in found}
        for key in [k for k in self.fleet.delegated_leases.delegations if k not in there]:
            self.fleet.delegated_leases.apply_key(key, None, 0)

    def _taken(self, job: Job, before: list[Allocation]) -> None:
        if self.leadership.role is Role.LEADER:
            self.fleet.replace_allocations(job, before)
        self.round_requested.set()

    def _leases_kept(self, machines: frozenset[str] | None) -> None:
        """Followers keep the leases of these machines.

        From here on the leader's writes have the newer keys as conditions, so what it decided on the older ones
        would be stored: a machine whose lease seemed to be over runs its tasks, and they were started elsewhere.
        """
        if self.leadership.role is Role.LEADER and self.fleet.lease_expiry.retract_expiry(machines):
            log.info("a lease that seemed to be over is kept; decisions that are not stored are void")
            self.job_table.revert_unsaved()

    def _withdrawn(self, ref: str, stamp: int) -> None:
        self.cancellations.add_cancellation(ref, stamp)
        self.round_requested.set()

    async def _catalog(self, catalog: Catalog) -> None:
        """The leader has asked the cloud; the other nodes learn the machine types from the store."""
        old = self.job_service.catalog
        self._set_catalog(catalog)
        shape = [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in catalog.types]
        if old is not None and shape == [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in old.types]:
            return
        try:
            await self.store.commit(
                [(keys.LEADER_KEY, self.leadership.fencing_token)], [(keys.CATALOG_KEY, msgspec.to_builtins(catalog))]
            )
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as e:
            log.info("could not store the catalog: %s", type(e).__name__)
            self.job_service.catalog = old

    # -- leading -------------------------------------------------------------------------------

    def _role(self, role: Role) -> None:
        self.store.rate_shares.set_leading(role.holds_leader_key())
        self.round_requested.set()

    async def respond_to_heartbeat(self, body: bytes) -> HeartbeatReply:
        """The answer to a worker's report, for whoever can wait."""
        got = self.heartbeat_router.respond(body)
        return got if isinstance(got, tuple) else await got

    def is_healthy(self) -> bool:
        """Healthy while this node can serve users, or while it knows that no other node could either."""
        if not self.watch.loaded:
            return False
        return self.store.healthy() or self.leadership.store_outage_is_shared()

    async def round_loop(self) -> None:
        """Rounds of decisions while this node leads."""
        took = 0.0
        while True:
            try:
                async with asyncio.timeout(ROUND_EVERY_S):
                    await self.round_requested.wait()
            except TimeoutError:
                pass
            # Where a round takes long, reports and users have as long in between.
            await asyncio.sleep(min(max(ROUND_GAP_S, took), ROUND_EVERY_S))
            self.round_requested.clear()
            if not self.leadership.valid():
                continue
            began = self.clock()
            try:
                self.fleet.begin_validity(self.clock())
                self.fleet.expire_leases(self.clock())
                if self.fleet.catalog is not None and self.scheduler.run_round():
                    self.round_requested.set()
                self.job_writer.write_requested.set()
            except Exception:
                log.exception("round failed")
            took = self.clock() - began

    async def _keep(self, name: str, loop: Any) -> None:
        """A loop that ends by an error starts again: a node must not half-live."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("%s failed", name)
                await asyncio.sleep(0.5)

    async def run(self) -> None:
        await self.store.open()
        await self.cloud_client.open()
        await peer_transport.serve_peers(self.settings.peer_listen, self.leadership.handle_peer_message)
        host, port = parse_address(self.settings.public_addr, "public_addr")
        params = self.settings.platform
        door = server.HttpServer(
            self.job_service,
            self.heartbeat_router.respond,
            self.is_healthy,
            params.machine_limits.sockets,
            params.workers.report_s,
            self.clock,
        )
        await server.listen(door, host, port)
        log.info("%s listens", self.settings.node_name)
        await self.run_loops({"shed": door.run})

    async def run_loops(self, more: dict[str, Callable[[], Any]] | None = None) -> None:
        """All loops of this node; they go on until the process ends."""
        lead = self.leadership
        loops = {
            "watch": self.watch.run,
            "confirm": self.read_confirmation.run,
            "write": self.job_writer.run,
            "formats": self.storage_version.run,
            "round": self.round_loop,
            "ping": lead.peer_heartbeat.run,
            "probe": lead.probe_store,
            **({"fence": lead.vote_fence.establish} if lead.vote_fence is not None else {}),
            "lead": lambda: lead.run(lambda: bool(self.fleet.machines)),
            "keep": self.lease_delegate.run,
            "list": lambda: self.scale_out.inventory.run(lead.valid),
            "drain": lambda: self.drains.run(lead.valid),
            "rent": lambda: self.scale_out.run(lead.valid, lambda: lead.fencing_token),
            **(more or {}),
        }
        await asyncio.gather(*(self._keep(n, f) for n, f in loops.items()))
