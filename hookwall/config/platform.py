"""The platform's settings file, checked once when it is read.

Fields have the same names as in the file, except `Settings.platform` and `ServiceObjective.job_class`. Unknown fields
are ignored because the platform may add some at any time. An invalid or missing field ends the program with one line
that names it, since a guessed lease time, for example, could break a rule later.
"""

import msgspec

from hookwall.config.checks import InvalidSettingsError, read_toml, require_positive

__all__ = [
    "CloudLimits",
    "ExternalServices",
    "InvalidSettingsError",
    "MachineLimits",
    "PeerSeed",
    "PlatformParameters",
    "ServiceObjective",
    "Settings",
    "StoreLimits",
    "TeamQuota",
    "UpcomingStoreLimits",
    "WorkerTimings",
    "load_settings",
    "parse_address",
    "read_toml",
    "validate_settings",
]

MAX_PORT = 65535


class PeerSeed(msgspec.Struct, frozen=True):
    """Another node, and the address at which its peers reach it."""

    node_name: str
    peer_addr: str
    area: str = ""


class ExternalServices(msgspec.Struct, frozen=True):
    """The addresses of the cloud and of the key-value store."""

    cloud: str
    state: str


class TeamQuota(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class ServiceObjective(msgspec.Struct, frozen=True):
    """A service-level objective by which the operators judge the service."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerTimings(msgspec.Struct, frozen=True):
    """Timings of workers and their tasks, in seconds.

    Attributes:
        report_s: the interval between two heartbeats.
        lease_s: how long a worker keeps running its tasks after it sent the last heartbeat that was answered.
        gang_wait_s: how long a task waits for its gang to be complete.
        gang_peer_s: the time after which the tasks of a running gang notice that one of them is gone.
        cancel_s: how long tasks of a job may still run after its cancellation.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class UpcomingStoreLimits(msgspec.Struct, frozen=True):
    """Limits that the key-value store will apply from some later time on; a limit that is not named does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreLimits(msgspec.Struct, frozen=True):
    """Limits of the key-value store: requests and changes a second, KiB per value, changes per transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: UpcomingStoreLimits | None = None

    def lowest_txn_ops(self) -> int:
        """Return the changes per transaction that are allowed both now and later."""
        return self.txn_ops if self.next is None else min(self.txn_ops, self.next.txn_ops or self.txn_ops)

    def lowest_value_kb(self) -> float:
        """Return the KiB per value that are allowed both now and later."""
        return self.value_kb if self.next is None else min(self.value_kb, self.next.value_kb or self.value_kb)

    def rates_per_s(self, lowered: bool) -> tuple[float, float]:
        """Return the allowed requests and changes a second: the current ones or, if `lowered`, the upcoming ones."""
        if self.next is None or not lowered:
            return self.rps, self.write_rps
        return self.next.rps or self.rps, self.next.write_rps or self.write_rps


class CloudLimits(msgspec.Struct, frozen=True):
    """Requests a second that the cloud allows, and the seconds by which its list of machines may lag."""

    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """The resources that a node has on its own machine."""

    core_share: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1000


class PlatformParameters(msgspec.Struct, frozen=True):
    """Parameters that all nodes of a cluster share; `size` is the number of nodes."""

    size: int
    zones: list[str]
    workers: WorkerTimings
    state: StoreLimits
    cloud: CloudLimits
    time_bound_ms: float = 100.0
    teams: list[TeamQuota] = []
    objectives: list[ServiceObjective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    """All settings of a node's settings file."""

    node_name: str
    public_addr: str
    peer_listen: str
    external: ExternalServices
    platform: PlatformParameters = msgspec.field(name="settings")
    seeds: list[PeerSeed] = []
    area: str = ""


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raise InvalidSettingsError, which names the field, for anything else."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidSettingsError(f"{field}: not an address of the form host:port: {text!r}")
    return host, int(port)


def validate_settings(settings: Settings) -> Settings:
    """Refuse values that decode but make no sense.

    Raises:
        InvalidSettingsError: naming the field.
    """
    _validate_addresses(settings)
    params = settings.platform
    if params.size < 1:
        raise InvalidSettingsError("settings.size: must be at least 1")
    for field, value in _positive_fields(params).items():
        require_positive(f"settings.{field}:", value)
    names = [team.name for team in params.teams]
    if len(set(names)) != len(names):
        raise InvalidSettingsError("settings.teams: a name occurs twice")
    return settings


def _validate_addresses(settings: Settings) -> None:
    parse_address(settings.public_addr, "public_addr")
    parse_address(settings.peer_listen, "peer_listen")
    parse_address(settings.external.cloud, "external.cloud")
    parse_address(settings.external.state, "external.state")
    for seed in settings.seeds:
        parse_address(seed.peer_addr, "seeds.peer_addr")


def _positive_fields(params: PlatformParameters) -> dict[str, float]:
    """Return the numbers that must be above 0, by the names of their fields."""
    upcoming = {} if params.state.next is None else msgspec.structs.asdict(params.state.next)
    return {
        "workers.report_s": params.workers.report_s,
        "workers.lease_s": params.workers.lease_s,
        "workers.cancel_s": params.workers.cancel_s,
        "state.rps": params.state.rps,
        "state.write_rps": params.state.write_rps,
        "state.value_kb": params.state.value_kb,
        "state.txn_ops": params.state.txn_ops,
        "cloud.rps": params.cloud.rps,
        **{f"state.next.{name}": value for name, value in upcoming.items() if value is not None},
    }


def load_settings(path: str) -> Settings:
    """Read and check the settings file.

    Raises:
        InvalidSettingsError: the file can't be read or used.
    """
    raw = read_toml(path, "--config")
    try:
        settings = msgspec.convert(raw, Settings, strict=False)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(str(error)) from error
    return validate_settings(settings)
