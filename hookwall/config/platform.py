"""The platform's settings file, checked once at the door.

Unknown fields are ignored because the platform may add some at any time; a bad or missing field ends
the program with one line that names it, since guessing a lease time could break a rule later.
"""

import math
import tomllib
from pathlib import Path
from typing import Any

import msgspec


class InvalidSettingsError(Exception):
    """The settings can't be used; the text names the field."""


class PeerSeed(msgspec.Struct, frozen=True):
    node_name: str
    peer_addr: str
    area: str = ""


class ExternalServices(msgspec.Struct, frozen=True):
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
    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerTimings(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class UpcomingStoreLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on; what is not named stays."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreLimits(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: UpcomingStoreLimits | None = None

    def lowest_txn_ops(self) -> int:
        """Changes a transaction that are allowed now and later."""
        return self.txn_ops if self.next is None else min(self.txn_ops, self.next.txn_ops or self.txn_ops)

    def lowest_value_kb(self) -> float:
        """KiB a value that are allowed now and later."""
        return self.value_kb if self.next is None else min(self.value_kb, self.next.value_kb or self.value_kb)

    def rates_per_s(self, lowered: bool) -> tuple[float, float]:
        """Requests and changes a second, before or after the limits have changed."""
        if self.next is None or not lowered:
            return self.rps, self.write_rps
        return self.next.rps or self.rps, self.next.write_rps or self.write_rps


class CloudLimits(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    core_share: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1000


class PlatformParameters(msgspec.Struct, frozen=True):
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
    node_name: str
    public_addr: str
    peer_listen: str
    external: ExternalServices
    platform: PlatformParameters = msgspec.field(name="settings")
    seeds: list[PeerSeed] = []
    area: str = ""


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise InvalidSettingsError(f"{field}: not an address of the form host:port: {text!r}")
    return host, int(port)


def validate_settings(s: Settings) -> Settings:
    """Refuse what decodes but can't be meant."""
    parse_address(s.public_addr, "public_addr")
    parse_address(s.peer_listen, "peer_listen")
    parse_address(s.external.cloud, "external.cloud")
    parse_address(s.external.state, "external.state")
    for seed in s.seeds:
        parse_address(seed.peer_addr, "seeds.peer_addr")
    p = s.platform
    if p.size < 1:
        raise InvalidSettingsError("settings.size: must be at least 1")
    positive = {
        "workers.report_s": p.workers.report_s,
        "workers.lease_s": p.workers.lease_s,
        "workers.cancel_s": p.workers.cancel_s,
        "state.rps": p.state.rps,
        "state.write_rps": p.state.write_rps,
        "state.value_kb": p.state.value_kb,
        "state.txn_ops": p.state.txn_ops,
        "cloud.rps": p.cloud.rps,
    }
    later = p.state.next
    for name in later.__struct_fields__ if later is not None else ():
        value = getattr(later, name)
        if value is not None:
            positive[f"state.next.{name}"] = value
    for name, value in positive.items():
        if not (math.isfinite(value) and value > 0):
            raise InvalidSettingsError(f"settings.{name}: must be a positive number, is {value}")
    names = [t.name for t in p.teams]
    if len(set(names)) != len(names):
        raise InvalidSettingsError("settings.teams: a name occurs twice")
    return s


def read_toml(path: str, option: str) -> dict[str, Any]:
    """A settings file that a command-line option names, not checked yet."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as e:
        raise InvalidSettingsError(f"{option}: cannot read {path}: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise InvalidSettingsError(f"{option}: {path} is not TOML: {e}") from None


def load_settings(path: str) -> Settings:
    """Read and check the settings file."""
    raw = read_toml(path, "--config")
    try:
        return validate_settings(msgspec.convert(raw, Settings, strict=False))
    except msgspec.ValidationError as e:
        raise InvalidSettingsError(str(e)) from None
