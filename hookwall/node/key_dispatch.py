"""Dispatch of stored keys: each change that a read or the watch delivers goes to the subsystem that owns the key.

Invariant: a key that is missing from a full read counts as deleted; a leader whose watch missed changes voids the
decisions that rely on delegated leases before it applies anything newer.
"""

import logging
from collections.abc import Callable

import msgspec

from hookwall.api.job_service import JobService
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.drains.drain_subsystem import DrainSubsystem
from hookwall.jobs.cancellations import CancellationLedger
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import Role
from hookwall.protocol import json_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.errors import MalformedMessageError
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.storage.storage_version import StorageVersionGate
from hookwall.storage.watch import WatchProgress
from hookwall.workers.delegation_guard import DelegationGuard
from hookwall.workers.fleet import Fleet

log = logging.getLogger(__name__)


class KeyDispatcher:
    """Applies stored keys and their changes to the subsystems of one node."""

    def __init__(
        self,
        store: KeyValueClient,
        progress: WatchProgress,
        leadership: Leadership,
        job_table: JobTable,
        job_service: JobService,
        record_reader: JobRecordReader,
        delegation_guard: DelegationGuard,
        cancellations: CancellationLedger,
        fleet: Fleet,
        scheduler: Scheduler,
        scale_out: ScaleOut,
        storage_version: StorageVersionGate,
        drains: DrainSubsystem,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.progress = progress
        self.leadership = leadership
        self.job_table = job_table
        self.job_service = job_service
        self.record_reader = record_reader
        self.delegation_guard = delegation_guard
        self.cancellations = cancellations
        self.fleet = fleet
        self.scheduler = scheduler
        self.scale_out = scale_out
        self.storage_version = storage_version
        self.drains = drains
        self.clock = clock
        self.catalog_was_absent = False  # whether no catalog was stored when this node became leader

    # -- single changes ------------------------------------------------------------------------

    def apply_key(self, key: str, value: object, version: int) -> None:
        """Apply the value that a key has had since revision `version`."""
        if key.startswith(keys.JOB_PREFIX):
            self.job_table.apply_record(key, value, version)
        elif key == keys.LEADER_KEY:
            self.leadership.observe_leader_key(value, version)
        elif key.startswith(keys.LEASE_DELEGATE_PREFIX):
            self.fleet.delegated_leases.apply_key(key, value, version)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.apply_chunk(key, value, version)
        elif key.startswith(keys.STORAGE_VERSION_PREFIX):
            self.storage_version.apply_marker(key, value, version)
        elif self.drains.owns_key(key):
            self.drains.apply_key(key, value, version)
        elif key == keys.CATALOG_KEY and not self.leadership.valid():
            self._apply_stored_catalog(value)

    def apply_deletion(self, key: str, revision: int) -> None:
        """Apply the deletion of a key at `revision`."""
        if key == keys.LEADER_KEY:
            self.leadership.observe_leader_key({}, 0, revision)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.chunks.remove(key, revision)
        elif self.drains.owns_key(key):
            self.drains.apply_deletion(key, revision)
        elif key.startswith(keys.LEASE_DELEGATE_PREFIX):
            delegation = self.fleet.delegated_leases.delegations.get(key)
            if delegation is not None and revision > delegation[0]:
                self.fleet.delegated_leases.apply_key(key, None, 0)

    # -- full reads ----------------------------------------------------------------------------

    async def read_all(self) -> None:
        """Read and apply every key; the watch continues from the revision of this read."""
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        self._drop_missing_delegations(entries)
        self.drains.apply_snapshot(entries)
        if self.leadership.role is Role.LEADER:
            self.delegation_guard.void_decisions()  # the watch has missed changes
        for key, value, version in entries:
            self.apply_key(key, value, version)
        if all(key != keys.LEADER_KEY for key, _, _ in entries):
            self.leadership.observe_leader_key({}, 0, revision)
        self.progress.watched_revision = revision
        self.progress.loaded = True
        self._mark_records_read(sent_at)
        log.info("read all records: jobs=%d revision=%d", len(self.job_table.jobs), revision)

    def confirm_current(self, as_of: float) -> None:
        """Record that everything stored before `as_of`, on this node's clock, has been applied."""
        self.cancellations.confirm_records_read(as_of)

    def is_leader(self) -> bool:
        """Whether this node leads and therefore needs changes with less delay."""
        return self.leadership.role is Role.LEADER

    async def load_for_leadership(self) -> None:
        """Rebuild a new leader's state from the records as read after its leader key was written."""
        self.job_table.invalidate_decisions()
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        log.info("records read for leadership: revision=%d watched=%d", revision, self.progress.watched_revision)
        self._drop_missing_delegations(entries)
        self.drains.load_for_leadership(entries)
        for key, value, version in entries:
            if key != keys.LEADER_KEY:
                self.apply_key(key, value, version)
        for job_id in list(self.job_table.chunks.unreadable_records):
            # The chunks of this record were replaced while the keys were being read.
            await self.record_reader.reload(keys.JOB_PREFIX + job_id)
        self.progress.scanned_revision = revision
        self._mark_records_read(sent_at)
        self.catalog_was_absent = all(key != keys.CATALOG_KEY for key, _, _ in entries)
        self.fleet.reset(self.leadership.fencing_token)
        self.scheduler.waiting.clear()
        self.scale_out.reset()

    def _mark_records_read(self, sent_at: float) -> None:
        """Record that a request sent at `sent_at` has returned all records."""
        self.cancellations.all_records_read = True
        self.cancellations.confirm_records_read(sent_at)

    def _drop_missing_delegations(self, entries: list[KeyValueEntry]) -> None:
        """Remove the lease delegates' keys that are missing from a full read, as they were deleted."""
        present = {key for key, _, _ in entries}
        delegated = self.fleet.delegated_leases
        for key in [key for key in delegated.delegations if key not in present]:
            delegated.apply_key(key, None, 0)

    # -- the catalog of machine types ----------------------------------------------------------

    def _apply_stored_catalog(self, value: object) -> None:
        """Apply a catalog that another node has stored."""
        try:
            catalog = json_messages.convert_message(value, Catalog)
        except MalformedMessageError as error:
            log.error("stored catalog is malformed: error=%s", error)
            return
        self._use_catalog(catalog)

    def _use_catalog(self, catalog: Catalog) -> None:
        self.job_service.catalog = catalog
        self.fleet.set_catalog(catalog)

    async def publish_catalog(self, catalog: Catalog) -> None:
        """Use the catalog that the leader got from the cloud, and store it for the other nodes if it has changed."""
        previous_catalog = self.job_service.catalog
        self._use_catalog(catalog)
        if previous_catalog is not None and _capacities(catalog) == _capacities(previous_catalog):
            return
        precondition = (keys.LEADER_KEY, self.leadership.fencing_token)
        try:
            await self.store.commit([precondition], [(keys.CATALOG_KEY, msgspec.to_builtins(catalog))])
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as error:
            log.info("catalog not stored: error=%s", type(error).__name__)
            self.job_service.catalog = previous_catalog


def _capacities(catalog: Catalog) -> list[tuple[object, ...]]:
    """The fields of a catalog whose change causes a write of the catalog. A change of prices alone does not."""
    return [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in catalog.types]
