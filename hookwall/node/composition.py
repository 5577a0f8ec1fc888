"""Composition of a controller node: every subsystem receives its dependencies in its constructor.

The subsystems are constructed in a fixed order. Invariant: no dependency is assigned to a subsystem after its
construction. Where two subsystems depend on each other, the one that is constructed first receives a function that
looks up the other one.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from hookwall.api.job_service import JobService
from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.operations import DrainSettings, Operations
from hookwall.config.platform import Settings
from hookwall.drains.drain_subsystem import DrainSubsystem
from hookwall.jobs.allocation import Allocation
from hookwall.jobs.cancellations import CancellationLedger
from hookwall.jobs.job import Job
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.job_writer import JobWriter
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.peer_transport import PeerConnection
from hookwall.leadership.roles import Role
from hookwall.node.key_dispatch import KeyDispatcher
from hookwall.node.peer_exchange import NodePeerExchange
from hookwall.node.round_loop import RoundLoop
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.key_order import KeyOrder
from hookwall.storage.read_confirmation import ReadConfirmation
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.storage.watch import Watch, WatchProgress
from hookwall.workers.delegation_guard import DelegationGuard
from hookwall.workers.fleet import Fleet
from hookwall.workers.heartbeat_router import HeartbeatRouter
from hookwall.workers.lease_delegate import LeaseDelegate

if TYPE_CHECKING:
    from hookwall.drains.controller import DrainController

log = logging.getLogger(__name__)


class NodeComposition:
    """All subsystems of one process, and the handlers of the events between them."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
        time_of_day: Callable[[], float] = time.time,
        operations: Operations | None = None,
    ) -> None:
        """Build a node that is idle until `run` or `run_loops` is called. Both clocks return seconds."""
        self.settings = settings
        self.params = settings.platform
        self.clock = clock
        self.time_of_day = time_of_day
        self.peer_names = [seed.node_name for seed in settings.seeds]
        self.round_requested = asyncio.Event()
        # Storage and jobs.
        self.store = KeyValueClient(settings.external.state, self.params.state, self.params.size, clock)
        self.watch_progress = WatchProgress()
        self.key_order = KeyOrder(self.watch_progress.known_revision)
        self.storage_version = StorageVersionGate(settings.node_name, self.peer_names, self.store)
        self.job_table = JobTable(clock, self._on_record_applied, self._on_cancelled)
        self.record_reader = JobRecordReader(self.job_table, self.store)
        self.read_confirmation = ReadConfirmation(self.store, self.record_reader.reload)
        # Workers, scheduling and autoscaling.
        self.fleet = self._build_fleet()
        self.scheduler = self._build_scheduler()
        self.cloud_client = CloudClient(settings.external.cloud, self.params.cloud.rps, clock)
        self.scale_out = self._build_scale_out()
        # Leadership, and the subsystems that depend on which node leads.
        self.leadership = self._build_leadership()
        self.cancellations = self._build_cancellations()
        self.lease_delegate = self._build_lease_delegate()
        self.delegation_guard = self._build_delegation_guard()
        self.job_writer = self._build_job_writer()
        # Requests of users, workers and operators, and changes in the key-value store.
        self.job_service = self._build_job_service()
        self.heartbeat_router = self._build_heartbeat_router()
        self.drains = self._build_drains((operations or Operations()).drain)
        self.key_dispatcher = self._build_key_dispatcher()
        self.watch = Watch(self.store, self.watch_progress, self.key_dispatcher, clock)
        self.round_loop = self._build_round_loop()

    # -- composition ---------------------------------------------------------------------------
    # A subsystem that depends on one that is constructed later receives a function that looks it up.

    def _build_fleet(self) -> Fleet:
        return Fleet(
            self.params,
            self.job_table,
            self.clock,
            on_change=self.round_requested.set,
            on_machines_delegated=self._on_machines_delegated,
        )

    def _build_scheduler(self) -> Scheduler:
        return Scheduler(
            self.params,
            self.job_table,
            self.fleet,
            self.clock,
            self.time_of_day,
            unstored_job_count=lambda: sum(job.has_unsaved_starts for job in self.job_table.open_jobs.values()),
            start_record_budget=lambda: self.job_writer.start_record_budget(),
        )

    def _build_scale_out(self) -> ScaleOut:
        return ScaleOut(
            self.params,
            self.fleet,
            self.scheduler,
            self.cloud_client,
            self.clock,
            is_first_leadership=lambda: self.leadership.key_was_absent and self.key_dispatcher.catalog_was_absent,
            submissions_blocked=lambda: not self.store.healthy(),
            relocation_requests=lambda: self.drains.relocation_requests(),
            on_catalog=lambda catalog: self.key_dispatcher.publish_catalog(catalog),
        )

    def _build_leadership(self) -> Leadership:
        exchange = NodePeerExchange(
            storage_version=lambda: self.storage_version,
            rate_shares=self.store.rate_shares,
            hints=self.fleet.successor_hints,
            cancellations=lambda: self.cancellations,
        )
        return Leadership(
            self.settings.node_name,
            self.params.size,
            [PeerConnection(seed) for seed in self.settings.seeds],
            self.store,
            self.clock,
            lambda: self.key_dispatcher.load_for_leadership(),
            self._on_role_change,
            on_validity_lapse=self.fleet.end_validity,
            exchange=exchange,
            fence_votes=True,
        )

    def _build_cancellations(self) -> CancellationLedger:
        return CancellationLedger(
            self.params.workers,
            self.leadership,
            self.store,
            self.clock,
            self.watch_progress.known_revision,
            self.job_table.apply_cancellation,
        )

    def _build_lease_delegate(self) -> LeaseDelegate:
        return LeaseDelegate(
            self.settings.node_name,
            self.leadership,
            self.store,
            self.job_table,
            self.cancellations.may_renew_leases,
            self.clock,
            packed_names=self.storage_version.allows_dependencies,
            numbered_names=self.storage_version.allows_numbered_machines,
            watched_revision=lambda: self.watch_progress.watched_revision,
        )

    def _build_delegation_guard(self) -> DelegationGuard:
        return DelegationGuard(
            self.job_table,
            self.store,
            self.fleet.delegated_leases,
            [keys.LEASE_DELEGATE_PREFIX + name for name in self.peer_names],
            self.clock,
            self.key_order,
            watched_revision=lambda: self.watch_progress.watched_revision,
        )

    def _build_job_writer(self) -> JobWriter:
        return JobWriter(
            self.job_table,
            self.store,
            self.leadership,
            self.delegation_guard,
            self.record_reader.reload,
            self.clock,
            packing_enabled=self.storage_version.allows_dependencies,
            on_decisions_stored=self.round_requested.set,
            request_full_read=self.watch_progress.request_full_read,
            on_committed=self.fleet.tokens.record_commit,
        )

    def _build_job_service(self) -> JobService:
        return JobService(
            self.params,
            self.job_table,
            self.store,
            self.record_reader,
            self.read_confirmation,
            self.time_of_day,
            confirm_cancellation=self.cancellations.confirm_cancellation,
            packing_enabled=self.storage_version.allows_dependencies,
            cancellations_current=self.cancellations.records_are_current,
        )

    def _build_heartbeat_router(self) -> HeartbeatRouter:
        return HeartbeatRouter(
            self.leadership,
            self.fleet,
            self.lease_delegate,
            self.cancellations,
            self.clock,
            on_heartbeat_processed=self.job_writer.write_requested.set,
        )

    def _build_drains(self, settings: DrainSettings) -> DrainSubsystem:
        return DrainSubsystem(settings.enabled, bool(settings.budgets), lambda: self.build_drain_controller(settings))

    def _build_round_loop(self) -> RoundLoop:
        return RoundLoop(self.leadership, self.fleet, self.scheduler, self.job_writer, self.clock, self.round_requested)

    def _build_key_dispatcher(self) -> KeyDispatcher:
        return KeyDispatcher(
            self.store,
            self.watch_progress,
            self.key_order,
            self.leadership,
            self.job_table,
            self.job_service,
            self.record_reader,
            self.delegation_guard,
            self.cancellations,
            self.fleet,
            self.scheduler,
            self.scale_out,
            self.storage_version,
            self.drains,
            self.clock,
        )

    def build_drain_controller(self, settings: DrainSettings) -> "DrainController":
        """Build the drain controller when the first drain is seen.

        The import is local because importing the module at start-up would slow down every start of a node.
        """
        from hookwall.drains.controller import DrainController

        return DrainController(
            settings,
            self.params,
            self.fleet,
            self.scheduler,
            self.store,
            self.leadership,
            self.key_order,
            self.clock,
            self.time_of_day,
            drains_allowed=self.storage_version.allows_drains,
            is_confirmed_deleted=self.scale_out.is_confirmed_deleted,
        )

    # -- events --------------------------------------------------------------------------------

    def _on_record_applied(self, job: Job, before: list[Allocation]) -> None:
        """Update the fleet after a job's record was read; `before` are the allocations known before that read."""
        if self.leadership.role is Role.LEADER:
            self.fleet.replace_allocations(job, before)
        self.round_requested.set()

    def _on_machines_delegated(self, machines: frozenset[str] | None) -> None:
        """Void unsaved decisions that rely on the expiry of leases of these machines, which followers renew now.

        None stands for any machine. From now on the preconditions of the leader's writes hold the new versions of the
        lease delegates' keys. They no longer reject decisions that were made on the older versions, for example to
        start the tasks of a machine elsewhere because its lease seemed to have expired, although the machine still runs
        them.
        """
        if self.leadership.role is Role.LEADER and self.fleet.lease_expiry.retract_expired_machines(machines):
            log.info("expired lease was renewed by a follower; unsaved decisions are void")
            self.job_table.revert_unsaved()

    def _on_cancelled(self, job_id: str, version: int) -> None:
        """Record a cancellation that was read from the store or reported by a peer."""
        self.cancellations.add_cancellation(job_id, version)
        self.round_requested.set()

    def _on_role_change(self, role: Role) -> None:
        self.store.rate_shares.set_leading(role.holds_leader_key())
        self.round_requested.set()
