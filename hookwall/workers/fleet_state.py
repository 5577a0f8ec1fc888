"""The leader's state of all machines, machine types and name indices.

Invariant: `machines` holds each machine that is named by job records, heartbeats or the cloud's list and whose deletion
the cloud has not confirmed. A machine's index in `machines_by_index` never changes within a leadership. This module
makes no decisions; `fleet_transitions` changes phases and allocations.
"""

from collections.abc import Callable

from hookwall.config.platform import PlatformParameters
from hookwall.protocol.cloud_messages import Catalog, MachineType
from hookwall.workers.command_tokens import CommandTokens
from hookwall.workers.machine import SCHEDULABLE_PHASES, Machine, MachineDescription, NameIndex
from hookwall.workers.resources import UNKNOWN_ZONE, FreeCapacity


class FleetState:
    """Holds machines, machine types and name indices, and provides look-ups on them."""

    def __init__(self, params: PlatformParameters, clock: Callable[[], float]) -> None:
        """Start without machines and catalog; zones and teams from the settings get the lowest indices."""
        self.params = params
        self.clock = clock
        self.type_names = NameIndex()
        self.zone_names = NameIndex()
        self.image_names = NameIndex()
        self.team_names = NameIndex()
        for zone in params.zones:
            self.zone_names.index_of(zone)
        for team in params.teams:
            self.team_names.index_of(team.name)
        self.catalog: Catalog | None = None
        self.machine_types: list[MachineType | None] = []
        self.machines: dict[str, Machine] = {}
        self.machines_by_index: list[Machine] = []
        # Machines whose deletion the cloud has confirmed. Outdated lists of the cloud may still name them.
        self.deleted_names: set[str] = set()
        self.on_demand_images: set[int] = set()  # images of jobs that can't run on spot instances
        self.cordoned: set[str] = set()  # machines that get no new work because they are being drained (drains/)
        self.in_maintenance: set[str] = set()  # cordoned machines that are empty; their workers may be unresponsive
        self.tokens = CommandTokens()
        self.valid_since: float | None = None  # time since which no other node can have answered a worker

    # -- leadership validity -------------------------------------------------------------------

    def begin_validity(self, now: float) -> None:
        """Start counting leases, because from now on no other node can answer a worker."""
        if self.valid_since is None:
            self.valid_since = now

    def end_validity(self) -> None:
        """Stop counting leases, because another node may have answered workers while this leader was not valid."""
        self.valid_since = None

    # -- machine types -------------------------------------------------------------------------

    def set_catalog(self, catalog: Catalog) -> None:
        """Replace the catalog of machine types."""
        self.catalog = catalog
        for machine_type in catalog.types:
            index = self.type_names.index_of(machine_type.name)
            while len(self.machine_types) <= index:
                self.machine_types.append(None)
            self.machine_types[index] = machine_type
        self.invalidate_free_capacity()

    def invalidate_free_capacity(self) -> None:
        """Drop the cached free capacity of all machines after a change that affects each of them.

        Such changes are rare compared to scheduling rounds.
        """
        for machine in self.machines.values():
            machine.free_capacity = None

    def machine_type(self, type_: int) -> MachineType | None:
        """Return the machine type with this index, or None while the catalog does not contain it."""
        return self.machine_types[type_] if 0 <= type_ < len(self.machine_types) else None

    def image_fetch_s(self, type_: int, gb: float) -> float:
        """Return the seconds that a machine of the type takes to fetch an image; 0 if the catalog gives no rate."""
        info = self.machine_type(type_)
        return gb / info.image_pull_gb_per_s if info is not None and info.image_pull_gb_per_s > 0 else 0.0

    # -- machines ------------------------------------------------------------------------------

    def ensure_machine(self, name: str, type_: str, zone: str, spot: bool) -> Machine:
        """Return the machine of this name and create it if necessary. An empty `type_` means that it is unknown."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(
                name,
                len(self.machines_by_index),
                self.type_names.index_of(type_),
                self.zone_names.index_of(zone),
                spot,
                self.clock(),
            )
            self.machines[name] = machine
            self.machines_by_index.append(machine)
            machine.described_as = MachineDescription(type_, zone, spot)
        elif type_ and machine.described_as != (type_, zone, spot):
            machine.type = self.type_names.index_of(type_)
            machine.zone = self.zone_names.index_of(zone)
            machine.spot = spot
            machine.described_as = MachineDescription(type_, zone, spot)
            machine.free_capacity = None
        return machine

    def zone_of(self, name: str) -> int:
        """Return the zone of a machine, or UNKNOWN_ZONE while only job records name the machine."""
        machine = self.machines.get(name)
        return machine.zone if machine is not None and self.zone_names.names[machine.zone] else UNKNOWN_ZONE

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether new tasks may be placed on the machine."""
        return (
            machine.phase in SCHEDULABLE_PHASES
            and machine.name not in self.cordoned
            and machine.receives_responses
            and not machine.unresponsive
            and machine.epoch > 0
            and not machine.unrecorded_tasks
            and now >= machine.rejects_tasks_until
            and self.machine_type(machine.type) is not None
        )

    def free_capacity(self, machine: Machine) -> FreeCapacity:
        """Return the free capacity of a machine whose type is known.

        The result is cached until something on the machine changes, because scheduling rounds are frequent.
        """
        if machine.free_capacity is not None:
            return machine.free_capacity
        info = self.machine_type(machine.type)
        assert info is not None
        free = FreeCapacity(
            machine.index, machine.type, machine.zone, machine.spot, info.cpus, info.gpus, info.memory_gb
        )  # fmt: skip
        images = set(machine.cached_images)
        for job, _ in machine.allocations.values():
            spec = job.spec
            if spec is not None:
                free.cpus -= spec.cpus
                free.gpus -= spec.gpus
                free.memory -= spec.memory_gb
                images.add(job.image_index)  # being fetched; one fetch serves all tasks that wait for the image
        free.price = info.spot_price if machine.spot else info.price
        free.penalty = float(machine.consecutive_errors)
        free.cached_images = images
        free.on_demand_image_gb = self.on_demand_image_gb(machine)
        machine.free_capacity = free
        return free

    # -- images --------------------------------------------------------------------------------

    def on_demand_image_gb(self, machine: Machine) -> float:
        """Return the GB of images cached on the machine that belong to jobs which can't run on spot instances."""
        return sum(gb for image, gb in machine.cached_images.items() if image in self.on_demand_images)

    def record_image_use(self, machine: Machine, image: int, gb: float) -> None:
        """Record that the machine has just used an image, and evict least recently used images from a full cache."""
        machine.cached_images.pop(image, None)
        machine.cached_images[image] = gb
        machine.free_capacity = None
        info = self.machine_type(machine.type)
        if info is not None and info.image_cache_gb > 0:
            while len(machine.cached_images) > 1 and sum(machine.cached_images.values()) > info.image_cache_gb:
                machine.cached_images.popitem(last=False)
