"""Markers of what each node's program knows, and what may be written with them."""

import asyncio

import pytest
from conftest import FakeState

from hookwall.storage import keys
from hookwall.storage.storage_version import CURRENT, Format, FormatGate


@pytest.fixture
def gate(state: FakeState) -> FormatGate:
    return FormatGate("n0", ["n1", "n2"], state)


def saw_all(gate: FormatGate, *known):
    for n, format_ in enumerate(known):
        gate.saw(f"{keys.FORMAT}n{n}", {"format": format_}, 10 + n)


async def for_a_moment(work):
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(0.01)
    task.cancel()


def test_a_format_may_be_written_once_all_nodes_know_it(gate: FormatGate):
    saw_all(gate, CURRENT, Format.PIPELINES)
    assert not gate.pipelines()
    gate.saw(keys.FORMAT + "n2", {"format": 2}, 12)
    assert gate.pipelines() and not gate.numbered()
    gate.saw(keys.FORMAT + "n1", {"format": 3}, 13)
    gate.saw(keys.FORMAT + "n2", {"format": 3}, 14)
    assert gate.numbered()


def test_a_marker_of_an_older_program_is_raised_and_never_lowered(gate: FormatGate, state: FakeState):
    """A program of format 2 has marked the node; it left such a marker as it was, whatever a program said."""
    state.epoch = 20
    state.keys[keys.FORMAT + "n0"] = ({"format": 2}, 10)
    saw_all(gate, 2, 2, 2)
    asyncio.run(for_a_moment(gate.run()))
    assert state.keys[keys.FORMAT + "n0"][0] == {"format": CURRENT} and gate.markers["n0"].known == CURRENT
    gate.saw(keys.FORMAT + "n0", {"format": 2}, 99)
    assert gate.markers["n0"].known == CURRENT, "what a node's program once knew it still knows"
    gate.saw(keys.FORMAT + "n0", {"format": 2}, 98)
    assert gate.markers["n0"].stamp == 99, "an older state of it says nothing"


def test_a_marker_that_was_not_seen_is_read_before_it_is_raised(gate: FormatGate, state: FakeState):
    state.epoch = 20
    state.keys[keys.FORMAT + "n0"] = ({"format": 2}, 10)

    async def twice():
        await gate._mark("n0", CURRENT)
        assert gate.markers["n0"].known == 2
        await gate._mark("n0", CURRENT)

    asyncio.run(twice())
    assert state.keys[keys.FORMAT + "n0"][0] == {"format": CURRENT}


def test_a_node_that_says_its_format_is_vouched_for_with_just_that(gate: FormatGate, state: FakeState):
    gate.heard("n1", 2)
    gate.heard("n2", 3)
    gate.heard("stranger", 3)
    gate.heard("n1", "3")
    asyncio.run(for_a_moment(gate.run()))
    stored = {key: value["format"] for key, (value, _) in state.keys.items()}
    assert stored == {keys.FORMAT + "n0": CURRENT, keys.FORMAT + "n1": 2, keys.FORMAT + "n2": 3}


def test_a_marker_that_can_t_be_read_marks_nothing(gate: FormatGate):
    for value in (None, "3", {"format": "3"}, {}):
        gate.saw(keys.FORMAT + "n0", value, 11)
    assert not gate.markers
