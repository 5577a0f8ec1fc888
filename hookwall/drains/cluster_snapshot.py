"""The operators' command's view of the cluster: one read of the key-value store and of the cloud's inventory.

Invariant: this module writes nothing.
"""

import time
from collections.abc import Sequence

from hookwall.autoscaling.cloud_client import CloudClient, CloudUnavailableError
from hookwall.config.operations import Operations
from hookwall.config.platform import Settings
from hookwall.drains.disruption_ledger import DisruptionLedger
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.planning_view import PlanningView
from hookwall.drains.request import SelectableMachine
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import json_messages
from hookwall.protocol.cloud_messages import Catalog, ListedMachine
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import KeyValueEntry
from hookwall.storage.storage_version import StorageVersion, StorageVersionGate
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase

# Epoch that is assumed for a running worker, as the command receives no heartbeats; 0 means that there is no worker.
ASSUMED_EPOCH = 1
RUNNING = "running"  # the phase of a machine in the cloud's inventory


class ClusterSnapshot:
    """The cluster according to the stored records and the inventory, in the leader's in-memory structures.

    Records don't say whether a task runs, so each allocation in a record is assumed to run.
    """

    def __init__(self, settings: Settings, operations: Operations, store: KeyValueClient) -> None:
        """Create an empty snapshot; `read` fills it from `store` and the cloud."""
        params = settings.platform
        self.settings = settings
        self.operations = operations
        self.store = store
        self.jobs = JobTable(time.monotonic)
        self.fleet = Fleet(params, self.jobs, time.monotonic)
        self.scheduler = Scheduler(params, self.jobs, self.fleet, time.monotonic)
        self.ledger = DisruptionLedger(operations.drain.budgets, store.max_value_bytes, 0.0)
        self.drains = DrainTable(self.ledger)
        self.fleet.cordoned = self.drains.cordoned
        self.planning_view = PlanningView(self.jobs, self.fleet, self.scheduler, self.ledger)
        node_names = [seed.node_name for seed in settings.seeds]
        self.storage_versions = StorageVersionGate(settings.node_name, node_names, store)
        self.cloud_failure = ""  # why the cloud's inventory could not be read; empty if it was read

    async def read(self, client: CloudClient) -> None:
        """Read all records and the inventory. If the cloud does not answer, set `cloud_failure`.

        Raises:
            RequestRejectedError: the store did not execute a request.
            OutcomeUnknownError: the store gave no usable response.
        """
        found = await self.store.scan(keys.ROOT)
        self.load_entries(found.entries)
        try:
            self.load_inventory(await client.machines())
        except CloudUnavailableError as error:
            self.cloud_failure = f"the cloud does not answer: {error}"

    def load_entries(self, entries: Sequence[KeyValueEntry]) -> None:
        """Load all keys of the key-value store. Chunks are loaded first, as job records refer to them."""
        for key, value, version in entries:
            if key.startswith(keys.CHUNK_PREFIX):
                self.jobs.apply_chunk(key, value, version)
            elif key.startswith(keys.STORAGE_VERSION_PREFIX):
                self.storage_versions.apply_marker(key, value, version)
            elif key == keys.CATALOG_KEY:
                self._load_catalog(value)
        for key, value, version in entries:
            if key.startswith(keys.JOB_PREFIX):
                self.jobs.apply_record(key, value, version)
        for key, value, version in entries:
            self.drains.apply_key(key, value, version)
        self.drains.load_ledger(entries)
        self.fleet.reset(0)

    def _load_catalog(self, value: object) -> None:
        try:
            self.fleet.set_catalog(json_messages.convert_message(value, Catalog))
        except MalformedMessageError:
            self.cloud_failure = "the stored machine types are malformed"

    def load_inventory(self, listed: Sequence[ListedMachine]) -> None:
        """Load the cloud's inventory. The workers of running machines are assumed to respond."""
        for entry in listed:
            machine = self.fleet.ensure_machine(entry.name, entry.type, entry.zone, entry.spot)
            if entry.phase == RUNNING:
                machine.phase = MachinePhase.UP
                machine.epoch = ASSUMED_EPOCH
                machine.receives_responses = True

    def selectable_machines(self) -> list[SelectableMachine]:
        """The machines that the cloud lists."""
        fleet = self.fleet
        return [
            SelectableMachine(
                machine.name,
                fleet.type_names.names[machine.type],
                fleet.zone_names.names[machine.zone],
                len(machine.allocations),
            )
            for machine in fleet.machines.values()
            if fleet.type_names.names[machine.type]
        ]

    def machine_types(self) -> list[str]:
        """The names of the machine types, sorted; empty if the catalog is missing."""
        catalog = self.fleet.catalog
        return sorted(machine_type.name for machine_type in catalog.types) if catalog else []

    def nodes_without_drains(self) -> list[str]:
        """Nodes that have not confirmed that their program supports drains; no drain begins before all nodes have."""
        markers = self.storage_versions.markers
        return sorted(
            node
            for node in self.storage_versions.nodes
            if node not in markers or markers[node].storage_version < StorageVersion.DRAINS
        )
