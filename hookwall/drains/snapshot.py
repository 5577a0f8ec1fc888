"""What the command knows: a read of the state service and of the cloud's list. It writes nothing."""

import time
from collections.abc import Sequence

from hookwall.autoscaling.cloud_client import CloudClient, CloudUnavailableError
from hookwall.config.operations import Operations
from hookwall.config.platform import Settings
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.ledger import Ledger
from hookwall.drains.picture import Picture
from hookwall.drains.request import KnownMachine
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import cloud_messages, json_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.storage_version import StorageVersion, StorageVersionGate
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import MachinePhase

Found = Sequence[tuple[str, object, int]]


class Snapshot:
    """The cluster as records and list show it, in the form in which a leader holds it.

    Records don't say whether a task runs; each start that they name is taken to run.
    """

    def __init__(self, settings: Settings, operations: Operations, store: KeyValueClient) -> None:
        params = settings.platform
        self.settings, self.operations, self.store = settings, operations, store
        self.jobs = JobTable(time.monotonic)
        self.fleet = Fleet(params, self.jobs, time.monotonic)
        self.scheduler = Scheduler(params, self.jobs, self.fleet, time.monotonic)
        self.ledger = Ledger(operations.drain.budgets, store.max_value_bytes, 0.0)
        self.drains = DrainTable(self.ledger)
        self.fleet.cordoned = self.drains.cordoned
        self.picture = Picture(self.jobs, self.fleet, self.scheduler, self.ledger)
        self.formats = StorageVersionGate(settings.node_name, [seed.node_name for seed in settings.seeds], store)
        self.cloud_trouble = ""  # why the cloud's list is missing

    def take(self, found: Found) -> None:
        """All that the state service holds."""
        for key, value, stamp in found:
            if key.startswith(keys.CHUNK_PREFIX):
                self.jobs.apply_chunk(key, value, stamp)
            elif key.startswith(keys.STORAGE_VERSION_PREFIX):
                self.formats.apply_marker(key, value, stamp)
            elif key == keys.CATALOG_KEY:
                self._take_catalog(value)
        for key, value, stamp in found:
            if key.startswith(keys.JOB_PREFIX):
                self.jobs.apply_record(key, value, stamp)
        self.drains.read_all(found)
        self.drains.read_ledger(found)
        self.fleet.reset(0)

    def _take_catalog(self, value: object) -> None:
        try:
            self.fleet.set_catalog(json_messages.convert_message(value, Catalog))
        except MalformedMessageError:
            self.cloud_trouble = "the stored machine types are malformed"

    def take_list(self, listed: Sequence[cloud_messages.ListedMachine]) -> None:
        """The cloud's list: machines that run are taken to be heard."""
        for entry in listed:
            machine = self.fleet.ensure_machine(entry.name, entry.type, entry.zone, entry.spot)
            if entry.phase != "running":
                continue
            machine.phase, machine.epoch, machine.acknowledges = MachinePhase.UP, 1, True

    async def read(self, client: CloudClient) -> None:
        """Read everything there is."""
        found, _ = await self.store.scan(keys.ROOT)
        self.take(found)
        try:
            self.take_list(await client.machines())
        except CloudUnavailableError as trouble:
            self.cloud_trouble = f"the cloud does not answer: {trouble}"

    def machines(self) -> list[KnownMachine]:
        """The machines that the cloud lists."""
        fleet = self.fleet
        return [
            KnownMachine(m.name, fleet.type_names.names[m.type], fleet.zone_names.names[m.zone], len(m.allocations))
            for m in fleet.machines.values()
            if fleet.type_names.names[m.type]
        ]

    def old_nodes(self) -> list[str]:
        """Nodes whose program is not known to know drains: nothing is drained before it does."""
        known = self.formats.markers
        return sorted(
            n for n in self.formats.nodes if n not in known or known[n].storage_version < StorageVersion.DRAINS
        )
