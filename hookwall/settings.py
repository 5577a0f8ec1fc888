"""The platform's settings file, checked once at the door.

Unknown fields are ignored because the platform may add some at any time; a bad or missing field ends
the program with one line that names it, since guessing a lease time could break a rule later.
"""

import math
import tomllib
from pathlib import Path

import msgspec


class BadSettings(Exception):
    """The settings can't be used; the text names the field."""


class Seed(msgspec.Struct, frozen=True):
    node_name: str
    peer_addr: str
    area: str = ""


class External(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class Workers(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class State(msgspec.Struct, frozen=True):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class Cloud(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    core_share: float = 1.0
    memory_mb: float = 256.0
    sockets: int = 1000


class Params(msgspec.Struct, frozen=True):
    size: int
    zones: list[str]
    workers: Workers
    state: State
    cloud: Cloud
    time_bound_ms: float = 100.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    node_name: str
    public_addr: str
    peer_listen: str
    external: External
    settings: Params
    seeds: list[Seed] = []
    area: str = ""


def address(text: str, field: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadSettings(f"{field}: not an address of the form host:port: {text!r}")
    return host, int(port)


def check(s: Settings) -> Settings:
    """Refuse what decodes but can't be meant."""
    address(s.public_addr, "public_addr")
    address(s.peer_listen, "peer_listen")
    address(s.external.cloud, "external.cloud")
    address(s.external.state, "external.state")
    for seed in s.seeds:
        address(seed.peer_addr, "seeds.peer_addr")
    p = s.settings
    if p.size < 1:
        raise BadSettings("settings.size: must be at least 1")
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
    for name, value in positive.items():
        if not (math.isfinite(value) and value > 0):
            raise BadSettings(f"settings.{name}: must be a positive number, is {value}")
    names = [t.name for t in p.teams]
    if len(set(names)) != len(names):
        raise BadSettings("settings.teams: a name occurs twice")
    return s


def load(path: str) -> Settings:
    """Read and check the settings file."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as e:
        raise BadSettings(f"--config: cannot read {path}: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise BadSettings(f"--config: {path} is not TOML: {e}") from None
    try:
        return check(msgspec.convert(raw, Settings, strict=False))
    except msgspec.ValidationError as e:
        raise BadSettings(str(e)) from None
