"""Dispatch of stored keys: each change that a read or the watch shows goes to the subsystem that owns the key.

Invariant: what a full read does not show is gone; a leader whose watch missed changes voids the decisions that relied
on delegated leases before it takes in anything newer.
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
from hookwall.leadership.roles import Role
from hookwall.leadership.state_machine import Leadership
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
    """Takes in the stored keys for all subsystems of one node."""

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
        self.catalog_was_absent = False  # whether nobody had ever stored the catalog when this node took over

    # -- single changes ------------------------------------------------------------------------

    def apply_key(self, key: str, value: object, version: int) -> None:
        """A key has this value since `version`."""
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
        """A key was deleted at `revision`."""
        if key == keys.LEADER_KEY:
            self.leadership.observe_leader_key({}, 0, revision)
        elif key.startswith(keys.CHUNK_PREFIX):
            self.job_table.chunks.remove(key, revision)
        elif self.drains.owns_key(key):
            self.drains.apply_deletion(key, revision)
        elif key.startswith(keys.LEASE_DELEGATE_PREFIX):
            known = self.fleet.delegated_leases.delegations.get(key)
            if known is not None and revision > known[0]:
                self.fleet.delegated_leases.apply_key(key, None, 0)

    # -- full reads ----------------------------------------------------------------------------

    async def read_all(self) -> None:
        """Read every key; the watch goes on from there."""
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        self._drop_missing_delegations(entries)
        self.drains.apply_snapshot(entries)
        if self.leadership.role is Role.LEADER:
            self.delegation_guard.void_decisions()  # changes were missed
        for key, value, version in entries:
            self.apply_key(key, value, version)
        if all(key != keys.LEADER_KEY for key, _, _ in entries):
            self.leadership.observe_leader_key({}, 0, revision)
        self.progress.watched_revision = revision
        self.progress.loaded = True
        self._records_were_read(sent_at)
        log.info("read all records: jobs=%d", len(self.job_table.jobs))

    def confirm_current(self, as_of: float) -> None:
        """All that was stored before this moment, on this node's clock, has been applied."""
        self.cancellations.confirm_records_read(as_of)

    def is_leader(self) -> bool:
        """Whether this node leads, and so needs changes sooner."""
        return self.leadership.role is Role.LEADER

    async def load_for_leadership(self) -> None:
        """Rebuild a new leader's picture from the records as they are after its key was written."""
        self.job_table.invalidate_decisions()
        sent_at = self.clock()
        entries, revision = await self.store.scan(keys.ROOT)
        self._drop_missing_delegations(entries)
        self.drains.load_for_leadership(entries)
        for key, value, version in entries:
            if key != keys.LEADER_KEY:
                self.apply_key(key, value, version)
        for job_id in list(self.job_table.chunks.unreadable_records):
            # Its chunks were replaced while the keys were read.
            await self.record_reader.reload(keys.JOB_PREFIX + job_id)
        self.progress.scanned_revision = revision
        self._records_were_read(sent_at)
        self.catalog_was_absent = all(key != keys.CATALOG_KEY for key, _, _ in entries)
        self.fleet.reset(self.leadership.fencing_token)
        self.scheduler.waiting.clear()
        self.scale_out.reset()

    def _records_were_read(self, sent_at: float) -> None:
        """A request sent at that time has shown all records."""
        self.cancellations.all_records_read = True
        self.cancellations.confirm_records_read(sent_at)

    def _drop_missing_delegations(self, entries: list[KeyValueEntry]) -> None:
        """Lease delegates' keys that a full read does not show are gone."""
        present = {key for key, _, _ in entries}
        delegated = self.fleet.delegated_leases
        for key in [key for key in delegated.delegations if key not in present]:
            delegated.apply_key(key, None, 0)

    # -- the catalog of machine types ----------------------------------------------------------

    def _apply_stored_catalog(self, value: object) -> None:
        """Another node has stored the catalog."""
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
        """The leader has the catalog from the cloud; the other nodes learn it from the store."""
        known = self.job_service.catalog
        self._use_catalog(catalog)
        if known is not None and _capacities(catalog) == _capacities(known):
            return
        precondition = (keys.LEADER_KEY, self.leadership.fencing_token)
        try:
            await self.store.commit([precondition], [(keys.CATALOG_KEY, msgspec.to_builtins(catalog))])
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError) as error:
            log.info("could not store the catalog: error=%s", type(error).__name__)
            self.job_service.catalog = known


def _capacities(catalog: Catalog) -> list[tuple[object, ...]]:
    """What of a catalog is worth a write when it changes; prices are not."""
    return [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in catalog.types]
