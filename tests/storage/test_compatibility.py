"""Compatibility of this program with the data and messages of older storage versions, and the reverse.

The golden samples were made by the code of the programs of storage versions 1 and 2 that were in production.
"""

import json
from pathlib import Path

import msgspec
import pytest
from conftest import FakeClock, ScriptedStore, description
from harness.older_versions import misread

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import LeaseMode
from hookwall.protocol import cloud_messages, job_messages, json_messages
from hookwall.protocol.peer_messages import KnownCancellations, PeerStatus, decode_response
from hookwall.storage import job_records, keys
from hookwall.storage.storage_version import CURRENT_VERSION, StorageVersionGate
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.delegation_record import decode_machines

SAMPLES = Path(__file__).parent.parent / "golden"
GOLDEN_1 = json.loads((SAMPLES / "format_1.json").read_text(encoding="utf-8"))
GOLDEN_2 = json.loads((SAMPLES / "format_2.json").read_text(encoding="utf-8"))


def stored(value: object) -> object:
    """Return a value as the key-value store returns it after a write."""
    return json.loads(json.dumps(value))


def test_keys_are_those_of_version_1():
    assert GOLDEN_1["keys"] == {
        "jobs": keys.JOB_PREFIX,
        "leader": keys.LEADER_KEY,
        "catalog": keys.CATALOG_KEY,
        "keep": keys.LEASE_DELEGATE_PREFIX,
    }
    for new in (keys.STORAGE_VERSION_PREFIX, keys.CHUNK_PREFIX):
        # Programs of storage version 1 apply no other keys below the root that they read and watch.
        assert new.startswith(keys.ROOT) and not new.startswith(tuple(GOLDEN_1["keys"].values()))


@pytest.mark.parametrize("name", sorted(GOLDEN_1["jobs"]))
def test_a_version_1_record_is_read_and_written_back_unchanged(name, clock: FakeClock):
    value = GOLDEN_1["jobs"][name]
    assert misread(value) == []
    job_id = "run-000003"
    record = job_records.decode_record(job_id, value, lambda key: None)
    assert stored(job_records.encode_record(job_id, record, None).value) == value
    table = JobTable(clock)
    table.apply_record(keys.JOB_PREFIX + job_id, value, 7)
    job = table.jobs[job_id]
    assert (job.version, job.stored_phase, job.task_count, job.next_attempt) == (
        7,
        value["phase"],
        value["n"],
        value["next"],
    )
    if job.spec is not None:
        assert stored(job_records.encode_record(job_id, job.record(), None).value) == value


def test_running_and_pending_tasks_are_read_from_a_version_1_record(clock: FakeClock):
    table = JobTable(clock)
    table.apply_record(keys.JOB_PREFIX + "run-000003", GOLDEN_1["jobs"]["under_way"], 7)
    job = table.jobs["run-000003"]
    assert job.stored_starts == {3: ("vm-000231", 2), 4: ("vm-000231", 2), 7: ("vm-000300", 3)}
    assert job.pending_tasks(20) == [5, 6, 8] and job.submitted_at == 1_700_000_000.25


def test_version_1_records_contain_no_field_that_version_1_programs_drop(clock: FakeClock):
    table = JobTable(clock)
    table.apply_record(keys.JOB_PREFIX + "run-000001", GOLDEN_1["jobs"]["accepted"], 7)
    job = table.jobs["run-000001"]
    for task in range(job.task_count):
        job.mark_task_done(task)
    job.phase, job.finished_at = "done", 1_700_000_100.0
    assert job_records.encode_record(job.job_id, job.record(), None).value == GOLDEN_1["jobs"]["done"]
    # The fields that `misread` reports as lost are those that newer storage versions add.
    assert misread(job_records.encode_record(job.job_id, job.record(), 4096).value) == ["unknown field ended"]
    spec = msgspec.convert(description(2, awaits=["run-000001"]), job_messages.JobSpec)
    record = job_records.JobRecord(task_count=1, spec=spec, submitted_at=1.0, done_tasks="")
    assert misread(job_records.encode_plain(record)) == ["unknown field spec.awaits"]


def test_version_1_keys_of_leader_lease_delegates_and_catalog_are_read(clock: FakeClock, store: ScriptedStore):
    leadership = Leadership("n1", 3, [], store, clock, None, lambda role: None)
    leadership.observe_leader_key(GOLDEN_1["leader_key"], 9)
    assert (leadership.leader_key.leader, leadership.leader_key.version, leadership.leader_key.lease_mode) == (
        "n0",
        9,
        LeaseMode.QUORUM_LEASE,
    )
    delegated = DelegatedLeases(clock)
    delegated.apply_key(keys.LEASE_DELEGATE_PREFIX + "n0", GOLDEN_1["keep"], 3)
    assert delegated.is_delegated("vm-000231") and delegated.is_delegated("vm-000300")
    catalog = json_messages.convert_message(GOLDEN_1["catalog"], cloud_messages.Catalog)
    assert msgspec.to_builtins(catalog) == GOLDEN_1["catalog"]
    assert GOLDEN_1["hire"] == "hw-41-3"


def responding_leadership(clock: FakeClock, store: ScriptedStore, local_status: PeerStatus) -> Leadership:
    """Return the leadership of a node that may grant votes and has something to report in each response."""
    store.last_response_at = clock()
    leadership = Leadership("n1", 3, [], store, clock, None, lambda role: None)
    leadership.exchange.local_status = lambda: local_status
    leadership.exchange.rate_demand = lambda: [1.0, 1.0]
    leadership.exchange.on_cancellations_announced = lambda jobs: False
    leadership.exchange.known_cancellations = lambda revision: KnownCancellations([("run-000003", 12)], True)
    clock.advance(6.0)
    return leadership


@pytest.mark.parametrize("kind", sorted(GOLDEN_1["messages"]))
def test_responses_to_version_1_messages_are_readable_by_version_1(kind, clock: FakeClock, store: ScriptedStore):
    leadership = responding_leadership(clock, store, PeerStatus(2, False))
    answer = leadership.handle_peer_message(GOLDEN_1["messages"][kind])
    golden = GOLDEN_1["answers"][kind]
    assert golden.keys() <= answer.keys()
    for name, value in golden.items():
        if value is not None and name != "want":
            assert isinstance(answer[name], type(value)) or {type(value), type(answer[name])} <= {int, float}


def test_version_1_responses_are_accepted(clock: FakeClock, store: ScriptedStore):
    leadership = Leadership("n0", 3, [], store, clock, None, lambda role: None)
    reported_statuses: list[PeerStatus] = []
    leadership.exchange.on_peer_status = lambda node, status: reported_statuses.append(status)

    class Peer:
        name = "n1"

    for answer in GOLDEN_1["answers"].values():
        leadership.record_peer_response(Peer, decode_response(answer))
    assert (
        leadership.peer_rate_demand["n1"][1] == [2.0, 0.5]
        and reported_statuses
        and all(status == PeerStatus() for status in reported_statuses)
    )


def test_a_lease_delegates_key_may_name_machines_in_packed_form():
    names = [f"vm-{n:06d}" for n in range(300)]
    assert decode_machines({"token": 5, "packed": job_records.compress(names)}) == frozenset(names)
    assert decode_machines({"token": 5, "packed": "nonsense"}) is None, (
        "if the key can't be decoded, any lease may be delegated"
    )


# -- storage version 2 ------------------------------------------------------------------------------------


def test_keys_are_those_of_version_2():
    names = {
        "leader": keys.LEADER_KEY,
        "catalog": keys.CATALOG_KEY,
        "keep": keys.LEASE_DELEGATE_PREFIX,
        "format": keys.STORAGE_VERSION_PREFIX,
        "parts": keys.CHUNK_PREFIX,
    }
    assert GOLDEN_2["keys"] == {**names, "jobs": keys.JOB_PREFIX}
    # Programs of storage version 2 apply no other keys below the root that they read and watch.
    assert keys.VOTE_FENCE_PREFIX.startswith(keys.ROOT) and not keys.VOTE_FENCE_PREFIX.startswith(
        tuple(GOLDEN_2["keys"].values())
    )


@pytest.mark.parametrize("name", sorted(GOLDEN_2["jobs"]))
def test_a_version_2_record_is_read_and_written_back_with_the_same_content(name, clock: FakeClock):
    value = GOLDEN_2["jobs"][name]
    job_id = "run-000006"  # the job whose record is in chunks
    record = job_records.decode_record(job_id, value, GOLDEN_2["parts"].get)
    if "packed" not in value:
        assert stored(job_records.encode_record(job_id, record, 4096).value) == value
    encoded_again = job_records.encode_record(job_id, record, job_records.usable_value_bytes(1.0))
    assert job_records.decode_record(job_id, stored(encoded_again.value), encoded_again.chunks.get) == record
    assert set(job_records.chunk_keys(job_id, encoded_again.value)) == set(job_records.chunk_keys(job_id, value)), (
        "an unchanged record names the same chunks"
    )
    table = JobTable(clock)
    for key, text in GOLDEN_2["parts"].items():
        table.apply_chunk(key, text, 5)
    table.apply_record(keys.JOB_PREFIX + job_id, value, 7)
    job = table.jobs[job_id]
    assert (job.version, job.stored_phase, job.task_count, job.next_attempt) == (
        7,
        value["phase"],
        value["n"],
        value["next"],
    )
    assert not job.record_unreadable


def test_the_content_of_version_2_records_is_read(clock: FakeClock):
    table = JobTable(clock)
    for number, name in enumerate(("done", "dependent", "under_way"), 1):
        table.apply_record(f"{keys.JOB_PREFIX}run-{number:06d}", GOLDEN_2["jobs"][name], 7 + number)
    assert table.jobs["run-000001"].finished_at == 1_700_000_100.5
    assert table.dependencies.dependencies_of("run-000002") == ["run-000009"] and "run-000002" in table.blocked_jobs
    assert table.jobs["run-000003"].stored_starts == {task: (f"vm-{231 + task:06d}", 2) for task in (1, 4, 7)}


def test_version_2_keys_of_leader_lease_delegates_markers_and_catalog_are_read(clock: FakeClock, store: ScriptedStore):
    leadership = Leadership("n1", 3, [], store, clock, None, lambda role: None)
    leadership.observe_leader_key(GOLDEN_2["leader_key"], 9)
    assert (leadership.leader_key.leader, leadership.leader_key.version, leadership.leader_key.lease_mode) == (
        "n0",
        9,
        LeaseMode.QUORUM_LEASE,
    )
    assert decode_machines(GOLDEN_2["keep"]["plain"]) == {"vm-000231", "vm-000232"}
    assert decode_machines(GOLDEN_2["keep"]["packed"]) == {f"vm-{n:06d}" for n in range(231, 431)}
    gate = StorageVersionGate("n0", [], store)
    gate.apply_marker(keys.STORAGE_VERSION_PREFIX + "n0", GOLDEN_2["marker"], 3)
    assert gate.allows_dependencies() and not gate.allows_numbered_machines()
    assert (
        msgspec.to_builtins(json_messages.convert_message(GOLDEN_2["catalog"], cloud_messages.Catalog))
        == GOLDEN_2["catalog"]
    )


@pytest.mark.parametrize("kind", sorted(GOLDEN_2["messages"]))
def test_responses_to_version_2_messages_are_readable_by_version_2(kind, clock: FakeClock, store: ScriptedStore):
    leadership = responding_leadership(clock, store, PeerStatus(3, False))
    answer = stored(leadership.handle_peer_message(GOLDEN_2["messages"][kind]))
    golden = GOLDEN_2["answers"][kind]
    assert answer.keys() - golden.keys() <= {"fence"}
    for name, value in golden.items():
        assert isinstance(answer[name], type(value)) or {type(value), type(answer[name])} <= {int, float}


def test_a_marker_of_the_current_version_is_valid_for_version_2():
    """Programs of version 2 accept markers of version 2 or later, and ignore markers of unknown nodes."""
    assert GOLDEN_2["marker"]["format"] <= CURRENT_VERSION
