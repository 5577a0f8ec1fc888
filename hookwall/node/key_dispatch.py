"""Dispatch of stored keys: each change that a read or the watch delivers goes to the subsystem that owns the key.

Invariant: a key that is missing from a full read counts as absent at the revision of that read, and no state of a key
replaces a newer one (`storage/key_order`). A leader whose watch missed changes voids the decisions that rely on
delegated leases before it applies anything newer.
"""

import logging
from collections.abc import Callable, Sequence

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
from hookwall.storage.key_order import KeyOrder
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
        key_order: KeyOrder,
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
        self.key_order = key_order
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
        self._apply_state(KeyValueEntry(key, value, version), version)

    def _apply_state(self, entry: KeyValueEntry, revision: int) -> None:
        """Apply a key's state as of `revision`.

        The owners of job records, storage version markers and the leader key order all states by themselves: the first
        two are never deleted, and the last one keeps the revision of an absence.
        """
        key, value, version = entry
        if key.startswith(keys.JOB_PREFIX):
            self.job_table.apply_record(key, value, version)
        elif key == keys.LEADER_KEY:
            self.leadership.observe_leader_key(value, version)
        elif key.startswith(keys.STORAGE_VERSION_PREFIX):
            self.storage_version.apply_marker(key, value, version)
        elif self._is_deletable(key) and self.key_order.admit(key, revision):
            self._apply_deletable(key, value, version)

    def _is_deletable(self, key: str) -> bool:
        """Whether this node follows the key, and `key_order` orders its states."""
        return (
            key.startswith((keys.LEASE_DELEGATE_PREFIX, keys.CHUNK_PREFIX))
            or key == keys.CATALOG_KEY
            or self.drains.owns_key(key)
        )

    def _apply_deletable(self, key: str, value: object, version: int) -> None:
        """Apply a state that is not older than the applied one."""
        if key.startswith(keys.LEASE_DELEGATE_PREFIX):
            self.fleet.delegated_leases.apply_key(key, value, version)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.apply_chunk(key, value, version)
        elif key != keys.CATALOG_KEY:
            self.drains.apply_key(key, value, version)
        elif not self.leadership.valid():  # a leader has its catalog from the cloud
            self._apply_stored_catalog(value)

    def apply_deletion(self, key: str, revision: int) -> None:
        """Apply the deletion of a key at `revision`."""
        if key == keys.LEADER_KEY:
            self.leadership.observe_leader_key({}, 0, revision)
        elif self._is_deletable(key) and self.key_order.admit(key, revision):
            self._apply_absence(key, revision)

    def _apply_absence(self, key: str, revision: int) -> None:
        """Apply an absence that is not older than the applied state."""
        if key.startswith(keys.LEASE_DELEGATE_PREFIX):
            self.fleet.delegated_leases.apply_deletion(key)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.chunks.remove(key, revision)
        elif self.drains.owns_key(key):
            self.drains.apply_deletion(key, revision)

    # -- full reads ----------------------------------------------------------------------------

    async def read_all(self) -> None:
        """Read and apply every key; the watch continues from the revision of this read."""
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        self._apply_missing(entries, revision)
        if self.leadership.role is Role.LEADER:
            self.delegation_guard.void_decisions()  # the watch has missed changes
        self._apply_entries(entries, revision)
        if all(key != keys.LEADER_KEY for key, _, _ in entries):
            self.leadership.observe_leader_key({}, 0, revision)
        self.progress.complete_full_read(revision)
        self.key_order.discard_completed()
        self._mark_records_read(sent_at)
        log.info("read all records: jobs=%d revision=%d", len(self.job_table.jobs), revision)

    def confirm_current(self, as_of: float) -> None:
        """Record that everything stored before `as_of`, on this node's clock, has been applied."""
        self.key_order.discard_completed()
        self.cancellations.confirm_records_read(as_of)

    def is_leader(self) -> bool:
        """Whether this node leads and therefore needs changes with less delay."""
        return self.leadership.role is Role.LEADER

    async def on_watch_stalled(self) -> None:
        """Leave the leadership to a node that learns of the jobs that other nodes accept."""
        if self.leadership.role is Role.LEADER:
            await self.leadership.resign("the watch is stalled")

    async def load_for_leadership(self) -> None:
        """Rebuild a new leader's state from the records as read after its leader key was written."""
        self.job_table.invalidate_decisions()
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        log.info("records read for leadership: revision=%d watched=%d", revision, self.progress.watched_revision)
        self._apply_missing(entries, revision)
        self._apply_entries([entry for entry in entries if entry[0] != keys.LEADER_KEY], revision)
        self.drains.begin_leadership(entries)
        for job_id in list(self.job_table.chunks.unreadable_records):
            # The chunks of this record were replaced while the keys were being read.
            await self.record_reader.reload(keys.JOB_PREFIX + job_id)
        self.progress.scanned_revision = revision
        self.key_order.discard_completed()
        self._mark_records_read(sent_at)
        self.catalog_was_absent = all(key != keys.CATALOG_KEY for key, _, _ in entries)
        self.fleet.reset(self.leadership.fencing_token)
        self.scheduler.waiting.clear()
        self.scale_out.reset()

    def _mark_records_read(self, sent_at: float) -> None:
        """Record that a request sent at `sent_at` has returned all records."""
        self.cancellations.all_records_read = True
        self.cancellations.confirm_records_read(sent_at)

    def _apply_entries(self, entries: Sequence[KeyValueEntry], revision: int) -> None:
        """Apply the keys that a full read at `revision` contained; later pages may contain newer versions."""
        for key, value, version in entries:
            self._apply_state(KeyValueEntry(key, value, version), max(revision, version))

    def _apply_missing(self, entries: Sequence[KeyValueEntry], revision: int) -> None:
        """Apply the absence of the known keys that a full read at `revision` did not contain."""
        present = {key for key, _, _ in entries}
        for key in [key for key in self._known_deletable_keys() if key not in present]:
            self.apply_deletion(key, revision)

    def _known_deletable_keys(self) -> list[str]:
        """The keys in memory that may have been deleted from the store."""
        return [
            *self.fleet.delegated_leases.delegations,
            *self.job_table.chunks.versions,
            *self.drains.known_keys(),
        ]

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
            if self.job_service.catalog is catalog:  # otherwise the watch has delivered a newer one
                self.job_service.catalog = previous_catalog


def _capacities(catalog: Catalog) -> list[tuple[object, ...]]:
    """The fields of a catalog whose change causes a write of the catalog. A change of prices alone does not."""
    return [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in catalog.types]
