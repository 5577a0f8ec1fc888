"""The cloud's responses: machine types, listed and provisioned machines, with the platform's names mapped."""

import msgspec

from hookwall.protocol.json_messages import Amount


class MachineType(msgspec.Struct, frozen=True):
    """A type of machine that can be provisioned.

    Attributes:
        image_cache_gb: the disk space for images.
        image_pull_gb_per_s: the rate at which it fetches images.
        price, spot_price: per hour.
        boot_s: the usual time until its worker sends heartbeats.
        zones: the zones in which it can be provisioned.
    """

    name: str = msgspec.field(name="label")
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory_gb: Amount = msgspec.field(name="memGb")
    image_cache_gb: Amount = msgspec.field(name="localGb", default=0.0)
    image_pull_gb_per_s: Amount = msgspec.field(name="pullGbPerS", default=1.0)
    price: Amount = 0.0
    spot_price: Amount = msgspec.field(name="spotPrice", default=0.0)
    boot_s: Amount = msgspec.field(name="startupS", default=30.0)
    zones: list[str] = msgspec.field(name="yards", default_factory=list)


class Catalog(msgspec.Struct, frozen=True):
    """All machine types."""

    types: list[MachineType] = msgspec.field(name="hulls")


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine as the cloud lists it; `age_s` is the time since it was provisioned."""

    name: str = msgspec.field(name="ref")
    type: str = msgspec.field(name="hull", default="")
    zone: str = msgspec.field(name="yard", default="")
    spot: bool = msgspec.field(name="loaners", default=False)
    phase: str = "running"
    age_s: float = msgspec.field(name="heldS", default=0.0)


class MachineListPage(msgspec.Struct, frozen=True):
    """A page of the list of machines; `more` is whether further pages follow."""

    machines: list[ListedMachine] = msgspec.field(name="hosts")
    more: bool = False


class ProvisionedMachines(msgspec.Struct, frozen=True):
    """The names of the machines that a provisioning request has provisioned."""

    machines: list[str] = msgspec.field(name="hosts")
