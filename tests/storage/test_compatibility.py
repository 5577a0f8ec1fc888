"""Old and new versions on each other's data: golden samples were made by the own code of versions in production."""

import json
from pathlib import Path

import msgspec
import pytest
from conftest import Clock, FakeState, description
from production import misread

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import Mode
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import cloud_messages, job_messages, json_messages
from hookwall.protocol.peer_messages import About, ToldCancellations, decode_answer
from hookwall.storage import job_records, keys
from hookwall.storage.storage_version import CURRENT, FormatGate
from hookwall.workers.delegated_leases import Kept, _machines

SAMPLES = Path(__file__).parent.parent / "golden"
GOLDEN = json.loads((SAMPLES / "format_1.json").read_text(encoding="utf-8"))
GOLDEN_2 = json.loads((SAMPLES / "format_2.json").read_text(encoding="utf-8"))


def stored(value: object) -> object:
    """A value as the service gives it back."""
    return json.loads(json.dumps(value))


def test_keys_are_those_of_production():
    assert GOLDEN["keys"] == {"jobs": keys.JOBS, "leader": keys.LEADER, "catalog": keys.CATALOG, "keep": keys.KEEP}
    for new in (keys.FORMAT, keys.PARTS):
        # Production looks at no other keys below the root that it reads and watches.
        assert new.startswith(keys.ROOT) and not new.startswith(tuple(GOLDEN["keys"].values()))


@pytest.mark.parametrize("name", sorted(GOLDEN["jobs"]))
def test_a_record_of_production_is_read_and_written_back_the_same(name, clock: Clock):
    value = GOLDEN["jobs"][name]
    assert misread(value) == []
    ref = "run-000003"
    record = job_records.decode(ref, value, lambda key: None)
    assert stored(job_records.encode(ref, record, None).value) == value
    table = JobTable(clock)
    table.apply(keys.JOBS + ref, value, 7)
    job = table.jobs[ref]
    assert (job.stamp, job.stored_phase, job.tasks, job.next_attempt) == (7, value["phase"], value["n"], value["next"])
    if job.spec is not None:
        assert stored(job_records.encode(ref, job.record(), None).value) == value


def test_what_is_under_way_is_known_from_a_record_of_production(clock: Clock):
    table = JobTable(clock)
    table.apply(keys.JOBS + "run-000003", GOLDEN["jobs"]["under_way"], 7)
    job = table.jobs["run-000003"]
    assert job.stored_on == {3: ("vm-000231", 2), 4: ("vm-000231", 2), 7: ("vm-000300", 3)}
    assert job.pending(20) == [5, 6, 8] and job.at == 1_700_000_000.25


def test_no_field_that_production_would_lose_is_written_in_the_old_format(clock: Clock):
    table = JobTable(clock)
    table.apply(keys.JOBS + "run-000001", GOLDEN["jobs"]["accepted"], 7)
    job = table.jobs["run-000001"]
    for task in range(job.tasks):
        job.mark_done(task)
    job.phase, job.ended = "done", 1_700_000_100.0
    assert job_records.encode(job.ref, job.record(), None).value == GOLDEN["jobs"]["done"]
    # What the description of its decoder calls lost is what the new formats add.
    assert misread(job_records.encode(job.ref, job.record(), 4096).value) == ["unknown field ended"]
    spec = msgspec.convert(description(2, awaits=["run-000001"]), job_messages.JobSpec)
    needs = job_records.JobRecord(tasks=1, spec=spec, at=1.0, done="")
    assert misread(job_records.plain(needs)) == ["unknown field spec.awaits"]


def test_the_keys_of_leader_keepers_and_catalog_are_read(clock: Clock, state: FakeState):
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.saw_key(GOLDEN["leader_key"], 9)
    assert (lead.key.node, lead.key.stamp, lead.key.mode) == ("n0", 9, Mode.PROMISE)
    kept = Kept(clock)
    kept.take(keys.KEEP + "n0", GOLDEN["keep"], 3)
    assert kept.kept("vm-000231") and kept.kept("vm-000300")
    catalog = json_messages.convert(GOLDEN["catalog"], cloud_messages.Catalog)
    assert msgspec.to_builtins(catalog) == GOLDEN["catalog"]
    assert GOLDEN["hire"] == "hw-41-3"


@pytest.mark.parametrize("kind", sorted(GOLDEN["messages"]))
def test_messages_of_production_are_answered_in_a_way_that_it_reads(kind, clock: Clock, state: FakeState):
    state.last_ok = clock()
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.about = lambda: About(2, False)
    lead.want = lambda: [1.0, 1.0]
    lead.on_told = lambda jobs: False
    lead.reply = lambda position: ToldCancellations([("run-000003", 12)], True)
    clock.tick(6.0)
    answer = lead.handle(GOLDEN["messages"][kind])
    golden = GOLDEN["answers"][kind]
    assert golden.keys() <= answer.keys()
    for name, value in golden.items():
        if value is not None and name != "want":
            assert isinstance(answer[name], type(value)) or {type(value), type(answer[name])} <= {int, float}


def test_answers_of_production_are_taken(clock: Clock, state: FakeState):
    lead = Leadership("n0", 3, [], state, clock, None, lambda role: None)
    told: list[About] = []
    lead.on_about = lambda node, about: told.append(about)

    class Peer:
        name = "n1"

    for answer in GOLDEN["answers"].values():
        lead.note_answer(Peer, decode_answer(answer))
    assert lead.peer_want["n1"][1] == [2.0, 0.5] and told and all(about == About() for about in told)


def test_a_keepers_key_names_machines_in_either_form():
    names = [f"vm-{n:06d}" for n in range(300)]
    assert _machines({"token": 5, "packed": job_records.compress(names)}) == frozenset(names)
    assert _machines({"token": 5, "packed": "nonsense"}) is None, "any machine may be kept"


# -- format 2 ---------------------------------------------------------------------------------------


def test_keys_are_those_of_format_2():
    names = {name: getattr(keys, name.upper()) for name in ("leader", "catalog", "keep", "format", "parts")}
    assert GOLDEN_2["keys"] == {**names, "jobs": keys.JOBS}
    # Programs of format 2 look at no other keys below the root that they read and watch.
    assert keys.VOTER.startswith(keys.ROOT) and not keys.VOTER.startswith(tuple(GOLDEN_2["keys"].values()))


@pytest.mark.parametrize("name", sorted(GOLDEN_2["jobs"]))
def test_a_record_of_format_2_is_read_and_written_back_with_the_same_content(name, clock: Clock):
    value = GOLDEN_2["jobs"][name]
    ref = "run-000006"  # the one whose record is in parts
    record = job_records.decode(ref, value, GOLDEN_2["parts"].get)
    if "packed" not in value:
        assert stored(job_records.encode(ref, record, 4096).value) == value
    again = job_records.encode(ref, record, job_records.value_limit(1.0))
    assert job_records.decode(ref, stored(again.value), again.parts.get) == record
    assert set(job_records.part_keys(ref, again.value)) == set(job_records.part_keys(ref, value)), (
        "parts are written once"
    )
    table = JobTable(clock)
    for key, text in GOLDEN_2["parts"].items():
        table.take_part(key, text, 5)
    table.apply(keys.JOBS + ref, value, 7)
    job = table.jobs[ref]
    assert (job.stamp, job.stored_phase, job.tasks, job.next_attempt) == (7, value["phase"], value["n"], value["next"])
    assert not job.unreadable


def test_what_a_record_of_format_2_says_is_known(clock: Clock):
    table = JobTable(clock)
    for n, name in enumerate(("done", "dependent", "under_way"), 1):
        table.apply(f"{keys.JOBS}run-{n:06d}", GOLDEN_2["jobs"][name], 7 + n)
    assert table.jobs["run-000001"].ended == 1_700_000_100.5
    assert table.graph.needs("run-000002") == ["run-000009"] and "run-000002" in table.blocked
    assert table.jobs["run-000003"].stored_on == {task: (f"vm-{231 + task:06d}", 2) for task in (1, 4, 7)}


def test_the_other_keys_of_format_2_are_read(clock: Clock, state: FakeState):
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.saw_key(GOLDEN_2["leader_key"], 9)
    assert (lead.key.node, lead.key.stamp, lead.key.mode) == ("n0", 9, Mode.PROMISE)
    assert _machines(GOLDEN_2["keep"]["plain"]) == {"vm-000231", "vm-000232"}
    assert _machines(GOLDEN_2["keep"]["packed"]) == {f"vm-{n:06d}" for n in range(231, 431)}
    gate = FormatGate("n0", [], state)
    gate.saw(keys.FORMAT + "n0", GOLDEN_2["marker"], 3)
    assert gate.pipelines() and not gate.numbered()
    assert (
        msgspec.to_builtins(json_messages.convert(GOLDEN_2["catalog"], cloud_messages.Catalog)) == GOLDEN_2["catalog"]
    )


@pytest.mark.parametrize("kind", sorted(GOLDEN_2["messages"]))
def test_messages_of_format_2_are_answered_in_a_way_that_it_reads(kind, clock: Clock, state: FakeState):
    state.last_ok = clock()
    lead = Leadership("n1", 3, [], state, clock, None, lambda role: None)
    lead.about = lambda: About(3, False)
    lead.want = lambda: [1.0, 1.0]
    lead.on_told = lambda jobs: False
    lead.reply = lambda position: ToldCancellations([("run-000003", 12)], True)
    clock.tick(6.0)
    answer = stored(lead.handle(GOLDEN_2["messages"][kind]))
    golden = GOLDEN_2["answers"][kind]
    assert answer.keys() - golden.keys() <= {"fence"}
    for name, value in golden.items():
        assert isinstance(answer[name], type(value)) or {type(value), type(answer[name])} <= {int, float}


def test_a_marker_of_this_version_is_one_for_format_2_too():
    """It counts a node as marked from its own number on, and ignores who else is told of."""
    assert GOLDEN_2["marker"]["format"] <= CURRENT
