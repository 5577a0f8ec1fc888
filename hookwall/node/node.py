"""One controller node: its subsystems put together, and the life of the process."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

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
from hookwall.node.key_dispatch import KeyDispatcher
from hookwall.node.peer_exchange import NodePeerExchange
from hookwall.node.round_loop import RoundLoop
from hookwall.node.supervision import Loop, run_supervised
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.read_confirmation import ReadConfirmation
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.storage.watch import Watch, WatchProgress
from hookwall.workers.delegation_guard import DelegationGuard
from hookwall.workers.fleet import Fleet
from hookwall.workers.heartbeat_router import HeartbeatReply, HeartbeatRouter
from hookwall.workers.lease_delegate import LeaseDelegate

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

log = logging.getLogger(__name__)


class Node:
    """All subsystems of one process."""

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
        self.watch_progress = WatchProgress()
        self.job_table = JobTable(clock, self._on_record_applied, self._on_cancelled)
        self.record_reader = JobRecordReader(self.job_table, self.store)
        self.read_confirmation = ReadConfirmation(self.store, self.record_reader.reload)
        self.round_requested = asyncio.Event()
        self.fleet = Fleet(
            params,
            self.job_table,
            clock,
            on_change=self.round_requested.set,
            on_machines_delegated=self._on_machines_delegated,
        )
        self.scheduler = Scheduler(
            params,
            self.job_table,
            self.fleet,
            clock,
            wall,
            unstored_job_count=lambda: sum(job.has_unsaved_starts for job in self.job_table.open_jobs.values()),
            start_record_budget=lambda: self.job_writer.start_record_budget(),
        )
        self.cloud_client = CloudClient(settings.external.cloud, params.cloud.rps, clock)
        self.scale_out = ScaleOut(
            params,
            self.fleet,
            self.scheduler,
            self.cloud_client,
            clock,
            is_first_leadership=lambda: self.leadership.key_was_absent and self.key_dispatcher.catalog_was_absent,
            intake_blocked=lambda: not self.store.healthy(),
            relocation_requests=lambda: self.drains.relocations(),
            on_catalog=lambda catalog: self.key_dispatcher.publish_catalog(catalog),
        )
        exchange = NodePeerExchange(
            storage_version=lambda: self.storage_version,
            rate_shares=self.store.rate_shares,
            hints=self.fleet.successor_hints,
            cancellations=lambda: self.cancellations,
        )
        self.leadership = Leadership(
            settings.node_name,
            params.size,
            [PeerConnection(seed) for seed in settings.seeds],
            self.store,
            clock,
            lambda: self.key_dispatcher.load_for_leadership(),
            self._on_role_change,
            on_validity_lapse=self.fleet.end_validity,
            exchange=exchange,
            fence_votes=True,
        )
        self.cancellations = CancellationLedger(
            params.workers,
            self.leadership,
            self.store,
            clock,
            self.watch_progress.known_revision,
            self.job_table.apply_cancellation,
        )
        peer_names = [seed.node_name for seed in settings.seeds]
        self.storage_version = StorageVersionGate(settings.node_name, peer_names, self.store)
        self.lease_delegate = LeaseDelegate(
            settings.node_name,
            self.leadership,
            self.store,
            self.job_table,
            self.cancellations.may_renew_leases,
            clock,
            packed_names=self.storage_version.allows_dependencies,
            numbered_names=self.storage_version.allows_numbered_machines,
        )
        self.delegation_guard = DelegationGuard(
            self.job_table,
            self.store,
            self.fleet.delegated_leases,
            [keys.LEASE_DELEGATE_PREFIX + name for name in peer_names],
            clock,
            watched_revision=lambda: self.watch_progress.watched_revision,
        )
        self.job_writer = JobWriter(
            self.job_table,
            self.store,
            self.leadership,
            self.delegation_guard,
            self.record_reader.reload,
            clock,
            packing_enabled=self.storage_version.allows_dependencies,
            on_decisions_stored=self._on_decisions_stored,
        )
        self.job_service = JobService(
            params,
            self.job_table,
            self.store,
            self.record_reader,
            self.read_confirmation,
            wall,
            confirm_cancellation=self.cancellations.confirm_cancellation,
            packing_enabled=self.storage_version.allows_dependencies,
            cancellations_current=self.cancellations.records_are_current,
        )
        self.heartbeat_router = HeartbeatRouter(
            self.leadership,
            self.fleet,
            self.lease_delegate,
            self.cancellations,
            clock,
            on_heartbeat_processed=self.job_writer.write_requested.set,
        )
        drain = (operations or Operations()).drain
        self.drains = DrainSubsystem(drain.enabled, bool(drain.budgets), lambda: self._drain_controller(drain, wall))
        self.key_dispatcher = KeyDispatcher(
            self.store, self.watch_progress, self.leadership, self.job_table, self.job_service, self.record_reader,
            self.delegation_guard, self.cancellations, self.fleet, self.scheduler, self.scale_out, self.storage_version,
            self.drains, clock,
        )  # fmt: skip
        self.watch = Watch(self.store, self.watch_progress, self.key_dispatcher, clock)
        self.round_loop = RoundLoop(
            self.leadership, self.fleet, self.scheduler, self.job_writer, clock, self.round_requested
        )

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

    def _on_decisions_stored(self) -> None:
        """Decisions were stored: starts can be launched, and others may be ready."""
        self.round_requested.set()

    def _on_record_applied(self, job: Job, before: list[Allocation]) -> None:
        if self.leadership.role is Role.LEADER:
            self.fleet.replace_allocations(job, before)
        self.round_requested.set()

    def _on_machines_delegated(self, machines: frozenset[str] | None) -> None:
        """Followers renew the leases of these machines; None: of any.

        From here on the leader's writes have the newer keys as preconditions, so what it decided on the older ones
        would be stored: a machine whose lease seemed to have expired runs its tasks, and they were started elsewhere.
        """
        if self.leadership.role is Role.LEADER and self.fleet.lease_expiry.retract_expiry(machines):
            log.info("expired lease was renewed by a follower; unsaved decisions are void")
            self.job_table.revert_unsaved()

    def _on_cancelled(self, ref: str, stamp: int) -> None:
        self.cancellations.add_cancellation(ref, stamp)
        self.round_requested.set()

    # -- leading -------------------------------------------------------------------------------

    def _on_role_change(self, role: Role) -> None:
        self.store.rate_shares.set_leading(role.holds_leader_key())
        self.round_requested.set()

    async def respond_to_heartbeat(self, body: bytes) -> HeartbeatReply:
        """The answer to a worker's report, for whoever can wait."""
        got = self.heartbeat_router.respond(body)
        return got if isinstance(got, tuple) else await got

    def is_healthy(self) -> bool:
        """Healthy while this node can serve users, or while it knows that no other node could either."""
        if not self.watch_progress.loaded:
            return False
        return self.store.healthy() or self.leadership.peer_observations.store_outage_is_shared()

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

    async def run_loops(self, more: dict[str, Loop] | None = None) -> None:
        """All loops of this node; they go on until the process ends."""
        lead = self.leadership
        loops: dict[str, Loop] = {
            "watch": self.watch.run,
            "confirm": self.read_confirmation.run,
            "write": self.job_writer.run,
            "formats": self.storage_version.run,
            "round": self.round_loop.run,
            "ping": lead.peer_heartbeat.run,
            "probe": lead.store_probe.run,
            **({"fence": lead.vote_fence.establish} if lead.vote_fence is not None else {}),
            "lead": lambda: lead.run(lambda: bool(self.fleet.machines)),
            "keep": self.lease_delegate.run,
            "list": lambda: self.scale_out.inventory.run(lead.valid),
            "drain": lambda: self.drains.run(lead.valid),
            "rent": lambda: self.scale_out.run(lead.valid, lambda: lead.fencing_token),
            **(more or {}),
        }
        await run_supervised(loops)
