"""Fixtures for the tests in all folders; the fakes that they return are defined in `harness`."""

import pytest
from harness.fake_clock import FakeClock
from harness.leader_fixture import CATALOG, Cluster
from harness.scripted_store import ScriptedStore
from harness.submissions import description
from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

from hookwall.config.platform import (
    CloudLimits,
    MachineLimits,
    PlatformParameters,
    StoreLimits,
    TeamQuota,
    WorkerTimings,
)

# The names that tests import from this module, and the hooks that pytest looks up in it.
__all__ = [
    "CATALOG",
    "Cluster",
    "FakeClock",
    "ScriptedStore",
    "description",
    "pytest_collection_modifyitems",
    "pytest_configure",
    "pytest_terminal_summary",
]


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def params() -> PlatformParameters:
    return PlatformParameters(
        size=3,
        zones=["east", "west"],
        workers=WorkerTimings(report_s=2.0, lease_s=12.0, gang_wait_s=40.0, gang_peer_s=8.0, cancel_s=40.0),
        state=StoreLimits(rps=100.0, write_rps=30.0, value_kb=16.0, txn_ops=12),
        cloud=CloudLimits(rps=2.0, list_lag_s=5.0),
        teams=[TeamQuota("red", gpus=8.0, gpus_max=16.0), TeamQuota("blue", gpus=8.0), TeamQuota("grey")],
        machine_limits=MachineLimits(),
    )


@pytest.fixture
def store(params: PlatformParameters) -> ScriptedStore:
    return ScriptedStore(params.state)


@pytest.fixture
def cluster(params: PlatformParameters, clock: FakeClock) -> Cluster:
    return Cluster(params, clock)
