"""Writing jobs: what goes into one transaction, and which parts of records may be removed."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from conftest import description

from hookwall import keys
from hookwall.job_writer import JobWriter
from hookwall.jobs import JobTable
from hookwall.kept import Kept
from hookwall.records import JobRecord, encode
from hookwall.wire import JobSpec

KEY = keys.JOBS + "run-000001"


@pytest.fixture
def writer(state, clock):
    """A leader's writer that knows a job in parts, and a part that its record does not name."""
    state.spare = lambda: True
    spec = msgspec.convert(description(1, awaits=[f"run-{n * 7919:018d}" for n in range(300)]), JobSpec)
    encoded = encode(spec.ref, JobRecord(tasks=1, spec=spec, at=1.0, done=""), 1700)
    table = JobTable(clock)
    state.epoch = 9
    state.keys = {k: (v, 9) for k, v in {**encoded.parts, KEY: encoded.value, f"{keys.PARTS}{spec.ref}/x": "y"}.items()}
    state.keys[keys.LEADER] = ({"node": "n0"}, 5)
    for key, (value, stamp) in state.keys.items():
        if key.startswith(keys.PARTS):
            table.take_part(key, value)
        elif key == KEY:
            table.apply(key, value, stamp)
    return JobWriter(table, state, SimpleNamespace(token=5), Kept(clock), [], clock)


def parts(state) -> list[str]:
    return [key for key in state.keys if key.startswith(keys.PARTS)]


def test_a_part_that_the_record_does_not_name_is_removed_and_no_other(writer, state):
    before = len(parts(state))
    asyncio.run(writer._collect_parts())
    assert len(parts(state)) == before - 1 and f"{keys.PARTS}run-000001/x" not in state.keys


@pytest.mark.parametrize("changed", [KEY, keys.LEADER])
def test_parts_stay_if_the_record_or_the_leader_has_changed(writer, state, changed):
    """Carried out late, the removal could take a part that a newer record names again."""
    state.keys[changed] = (state.keys[changed][0], 10)
    before = parts(state)
    asyncio.run(writer._collect_parts())
    assert parts(state) == before and "run-000001" in writer.table.parts.stale


def test_parts_of_a_job_that_has_no_record_yet_stay(writer, state):
    writer.table.jobs["run-000001"].stamp = 0
    before = parts(state)
    asyncio.run(writer._collect_parts())
    assert parts(state) == before
