"""Markers of the storage version that each node's program supports, and the versions that may be written."""

import asyncio

import pytest
from conftest import ScriptedStore

from hookwall.storage import keys
from hookwall.storage.storage_version import CURRENT_VERSION, StorageVersion, StorageVersionGate

KEY = keys.STORAGE_VERSION_PREFIX


@pytest.fixture
def gate(store: ScriptedStore):
    return StorageVersionGate("n0", ["n1", "n2"], store)


def apply_markers(gate: StorageVersionGate, *versions):
    for number, version in enumerate(versions):
        gate.apply_marker(f"{KEY}n{number}", {"format": version}, 10 + number)


async def run_briefly(coroutine):
    task = asyncio.get_running_loop().create_task(coroutine)
    await asyncio.sleep(0.01)
    task.cancel()


def test_a_storage_version_may_be_written_once_all_nodes_support_it(gate: StorageVersionGate):
    apply_markers(gate, CURRENT_VERSION, StorageVersion.DEPENDENCIES)
    assert not gate.allows_dependencies()
    gate.apply_marker(KEY + "n2", {"format": 2}, 12)
    assert gate.allows_dependencies() and not gate.allows_numbered_machines()
    gate.apply_marker(KEY + "n1", {"format": 3}, 13)
    gate.apply_marker(KEY + "n2", {"format": 3}, 14)
    assert gate.allows_numbered_machines()


def test_a_marker_of_an_older_program_is_raised_and_never_lowered(gate: StorageVersionGate, store: ScriptedStore):
    """A program of version 2 has stored the node's marker.

    Programs of version 2 left an existing marker unchanged, whatever version a node's program stated.
    """
    store.revision = 20
    store.keys[KEY + "n0"] = ({"format": 2}, 10)
    apply_markers(gate, 2, 2, 2)
    asyncio.run(run_briefly(gate.run()))
    assert store.keys[KEY + "n0"][0] == {"format": CURRENT_VERSION}
    assert gate.markers["n0"].storage_version == CURRENT_VERSION
    gate.apply_marker(KEY + "n0", {"format": 2}, 99)
    assert gate.markers["n0"].storage_version == CURRENT_VERSION, (
        "a version that a node's program once stated stays supported"
    )
    gate.apply_marker(KEY + "n0", {"format": 2}, 98)
    assert gate.markers["n0"].version == 99, "an older state of the marker is ignored"


def test_an_unread_marker_is_read_before_it_is_raised(gate: StorageVersionGate, store: ScriptedStore):
    store.revision = 20
    store.keys[KEY + "n0"] = ({"format": 2}, 10)

    async def store_marker_twice():
        await gate._store_marker("n0", CURRENT_VERSION)
        assert gate.markers["n0"].storage_version == 2
        await gate._store_marker("n0", CURRENT_VERSION)

    asyncio.run(store_marker_twice())
    assert store.keys[KEY + "n0"][0] == {"format": CURRENT_VERSION}


def test_the_marker_stored_for_a_peer_holds_the_version_that_the_peer_reported(
    gate: StorageVersionGate, store: ScriptedStore
):
    gate.record_reported_version("n1", 2)
    gate.record_reported_version("n2", 3)
    gate.record_reported_version("stranger", 3)
    gate.record_reported_version("n1", "3")
    asyncio.run(run_briefly(gate.run()))
    stored = {key: value["format"] for key, (value, _) in store.keys.items()}
    assert stored == {KEY + "n0": CURRENT_VERSION, KEY + "n1": 2, KEY + "n2": 3}


def test_a_malformed_marker_is_ignored(gate: StorageVersionGate):
    for value in (None, "3", {"format": "3"}, {}):
        gate.apply_marker(KEY + "n0", value, 11)
    assert not gate.markers
