"""Old and new versions on each other's data: golden samples were made by production's own code."""

import json
from pathlib import Path

import msgspec
import pytest
from conftest import description
from production import misread

from hookwall import keys, records, wire
from hookwall.jobs import JobTable
from hookwall.kept import Kept, _machines
from hookwall.leadership import Leadership
from hookwall.roles import Mode

GOLDEN = json.loads((Path(__file__).parent / "golden" / "production.json").read_text(encoding="utf-8"))


def stored(value: object) -> object:
    """A value as the service gives it back."""
    return json.loads(json.dumps(value))


def test_keys_are_those_of_production():
    assert GOLDEN["keys"] == {"jobs": keys.JOBS, "leader": keys.LEADER, "catalog": keys.CATALOG, "keep": keys.KEEP}
    for new in (keys.FORMAT, keys.PARTS):
        # Production looks at no other keys below the root that it reads and watches.
        assert new.startswith(keys.ROOT) and not new.startswith(tuple(GOLDEN["keys"].values()))


@pytest.mark.parametrize("name", sorted(GOLDEN["jobs"]))
def test_a_record_of_production_is_read_and_written_back_the_same(name, clock):
    value = GOLDEN["jobs"][name]
    assert misread(value) == []
    ref = "run-000003"
    record = records.decode(ref, value, lambda key: None)
    assert stored(records.encode(ref, record, None).value) == value
    table = JobTable(clock)
    table.apply(keys.JOBS + ref, value, 7)
    job = table.jobs[ref]
    assert (job.stamp, job.stored_phase, job.tasks, job.next_attempt) == (7, value["phase"], value["n"], value["next"])
    if job.spec is not None:
        assert stored(records.encode(ref, job.record(), None).value) == value


def test_what_is_under_way_is_known_from_a_record_of_production(clock):
    table = JobTable(clock)
    table.apply(keys.JOBS + "run-000003", GOLDEN["jobs"]["under_way"], 7)
    job = table.jobs["run-000003"]
    assert job.stored_on == {3: ("vm-000231", 2), 4: ("vm-000231", 2), 7: ("vm-000300", 3)}
    assert job.pending(20) == [5, 6, 8] and job.at == 1_700_000_000.25


def test_no_field_that_production_would_lose_is_written_in_the_old_format(clock):
    table = JobTable(clock)
    table.apply(keys.JOBS + "run-000001", GOLDEN["jobs"]["accepted"], 7)
    job = table.jobs["run-000001"]
    for task in range(job.tasks):
        job.mark_done(task)
    job.phase, job.ended = "done", 1_700_000_100.0
    assert records.encode(job.ref, job.record(), None).value == GOLDEN["jobs"]["done"]
    # What the description of its decoder calls lost is what the new formats add.
    assert misread(records.encode(job.ref, job.record(), 4096).value) == ["unknown field ended"]
    spec = msgspec.convert(description(2, awaits=["run-000001"]), wire.JobSpec)
    needs = records.JobRecord(tasks=1, spec=spec, at=1.0, done="")
    assert misread(records.plain(needs)) == ["unknown field spec.awaits"]


def test_the_keys_of_leader_keepers_and_catalog_are_read(clock, state):
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.saw_key(GOLDEN["leader_key"], 9)
    assert (lead.key.node, lead.key.stamp, lead.key.mode) == ("n0", 9, Mode.PROMISE)
    kept = Kept(clock)
    kept.take(keys.KEEP + "n0", GOLDEN["keep"], 3)
    assert kept.kept("vm-000231") and kept.kept("vm-000300")
    catalog = wire.convert(GOLDEN["catalog"], wire.Catalog)
    assert msgspec.to_builtins(catalog) == GOLDEN["catalog"]
    assert GOLDEN["hire"] == "hw-41-3"


@pytest.mark.parametrize("kind", sorted(GOLDEN["messages"]))
def test_messages_of_production_are_answered_in_a_way_that_it_reads(kind, clock, state):
    state.last_ok = clock()
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.about = lambda: {"format": 2, "lowered": False}
    lead.on_told = lambda message: {"knows": True, "leads": False}
    lead.reply = lambda ping: {"cancelled": [("run-000003", 12)], "complete": True}
    clock.tick(6.0)
    answer = lead.handle(GOLDEN["messages"][kind])
    golden = GOLDEN["answers"][kind]
    assert golden.keys() <= answer.keys()
    for name, value in golden.items():
        if value is not None and name != "want":
            assert isinstance(answer[name], type(value)) or {type(value), type(answer[name])} <= {int, float}


def test_answers_of_production_are_taken(clock, state):
    lead = Leadership("n0", 3, [], state, clock, None, lambda role: None)
    told: list[dict] = []
    lead.on_about = lambda node, message: told.append(message)

    class Peer:
        name = "n1"

    for answer in GOLDEN["answers"].values():
        lead.note_answer(Peer, answer)
    assert lead.peer_want["n1"][1] == [2.0, 0.5] and all("format" not in m for m in told)


def test_a_keepers_key_names_machines_in_either_form():
    names = [f"vm-{n:06d}" for n in range(300)]
    assert _machines({"token": 5, "packed": records.compress(names)}) == frozenset(names)
    assert _machines({"token": 5, "packed": "nonsense"}) is None, "any machine may be kept"
