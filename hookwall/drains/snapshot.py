"""What the command knows: a read of the state service and of the cloud's list. It writes nothing."""

import time
from collections.abc import Sequence

from hookwall.autoscaling.cloud_client import CloudClient, Trouble
from hookwall.config.operations import Operations
from hookwall.config.platform import Settings
from hookwall.drains.drain_table import DrainTable
from hookwall.drains.ledger import Ledger
from hookwall.drains.picture import Picture
from hookwall.drains.request import KnownMachine
from hookwall.jobs.job_table import JobTable
from hookwall.protocol import cloud_messages, json_messages
from hookwall.protocol.cloud_messages import Catalog
from hookwall.protocol.json_messages import BadMessage
from hookwall.scheduling.scheduler import Scheduler
from hookwall.storage import keys
from hookwall.storage.client import Store
from hookwall.storage.storage_version import Format, FormatGate
from hookwall.workers.fleet import Fleet
from hookwall.workers.machine import Phase

Found = Sequence[tuple[str, object, int]]


class Snapshot:
    """The cluster as records and list show it, in the form in which a leader holds it.

    Records don't say whether a task runs; each start that they name is taken to run.
    """

    def __init__(self, settings: Settings, operations: Operations, store: Store) -> None:
        params = settings.settings
        self.settings, self.operations, self.store = settings, operations, store
        self.jobs = JobTable(time.monotonic)
        self.fleet = Fleet(params, self.jobs, time.monotonic)
        self.scheduler = Scheduler(params, self.jobs, self.fleet, time.monotonic)
        self.ledger = Ledger(operations.drain.budgets, store.value_limit, 0.0)
        self.drains = DrainTable(self.ledger)
        self.fleet.cordoned = self.drains.cordoned
        self.picture = Picture(self.jobs, self.fleet, self.scheduler, self.ledger)
        self.formats = FormatGate(settings.node_name, [seed.node_name for seed in settings.seeds], store)
        self.cloud_trouble = ""  # why the cloud's list is missing

    def take(self, found: Found) -> None:
        """All that the state service holds."""
        for key, value, stamp in found:
            if key.startswith(keys.PARTS):
                self.jobs.take_part(key, value, stamp)
            elif key.startswith(keys.FORMAT):
                self.formats.saw(key, value, stamp)
            elif key == keys.CATALOG:
                self._take_catalog(value)
        for key, value, stamp in found:
            if key.startswith(keys.JOBS):
                self.jobs.apply(key, value, stamp)
        self.drains.read_all(found)
        self.drains.read_ledger(found)
        self.fleet.reset(0)

    def _take_catalog(self, value: object) -> None:
        try:
            self.fleet.set_catalog(json_messages.convert(value, Catalog))
        except BadMessage:
            self.cloud_trouble = "the stored machine types are malformed"

    def take_list(self, listed: Sequence[cloud_messages.Listed]) -> None:
        """The cloud's list: machines that run are taken to be heard."""
        for entry in listed:
            machine = self.fleet.machine(entry.name, entry.type, entry.zone, entry.spot)
            if entry.phase != "running":
                continue
            machine.phase, machine.tenure, machine.hears = Phase.UP, 1, True

    async def read(self, client: CloudClient) -> None:
        """Read everything there is."""
        found, _ = await self.store.scan(keys.ROOT)
        self.take(found)
        try:
            self.take_list(await client.machines())
        except Trouble as trouble:
            self.cloud_trouble = f"the cloud does not answer: {trouble}"

    def machines(self) -> list[KnownMachine]:
        """The machines that the cloud lists."""
        fleet = self.fleet
        return [
            KnownMachine(m.name, fleet.types.names[m.type], fleet.zones.names[m.zone], len(m.entries))
            for m in fleet.machines.values()
            if fleet.types.names[m.type]
        ]

    def old_nodes(self) -> list[str]:
        """Nodes whose program is not known to know drains: nothing is drained before it does."""
        known = self.formats.markers
        return sorted(n for n in self.formats.nodes if n not in known or known[n].known < Format.DRAINS)
