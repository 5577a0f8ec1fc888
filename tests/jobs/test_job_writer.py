"""Writing jobs: contents of transactions, conflicts with lease delegates, and removal of unreferenced chunks."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest
from conftest import FakeClock, ScriptedStore, description
from sample_records import chunked_record

from hookwall.config.platform import StoreLimits
from hookwall.jobs.allocation import Allocation
from hookwall.jobs.job import jobs_to_write
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.job_writer import JobWriter
from hookwall.jobs.start_record_budget import BYTES_PER_MACHINE, BYTES_PER_START
from hookwall.jobs.write_batch import PendingWrite
from hookwall.leadership.roles import Role
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError
from hookwall.storage.job_records import JobRecord, encode_record, json_bytes, usable_value_bytes
from hookwall.storage.key_order import KeyOrder
from hookwall.workers.delegated_leases import DelegatedLeases
from hookwall.workers.delegation_guard import DelegationGuard

KEY = keys.JOB_PREFIX + "run-000001"


@pytest.fixture
def writer(store: ScriptedStore, clock: FakeClock) -> JobWriter:
    """The writer of a leader that knows a job stored in chunks, and a further chunk that the record does not name."""
    store.has_spare_changes = lambda: True
    _, encoded = chunked_record()
    table = JobTable(clock)
    store.revision = 9
    store.keys = {
        k: (v, 9) for k, v in {**encoded.chunks, KEY: encoded.value, f"{keys.CHUNK_PREFIX}run-000001/x": "y"}.items()
    }
    store.keys[keys.LEADER_KEY] = ({"node": "n0"}, 5)
    for key, (value, version) in store.keys.items():
        if key.startswith(keys.CHUNK_PREFIX):
            table.apply_chunk(key, value, version)
        elif key == KEY:
            table.apply_record(key, value, version)
    return leader_writer(table, store, clock, [], SimpleNamespace(fencing_token=5))


async def no_reload(key: str) -> None:
    """Ignore requests to reload a record."""


def leader_writer(
    table: JobTable, store: ScriptedStore, clock: FakeClock, delegation_keys, leadership, **options
) -> JobWriter:
    guard = DelegationGuard(table, store, DelegatedLeases(clock), delegation_keys, clock, KeyOrder(lambda: 0))
    return JobWriter(table, store, leadership, guard, no_reload, clock, **options)


def chunks(store: ScriptedStore) -> list[str]:
    return [key for key in store.keys if key.startswith(keys.CHUNK_PREFIX)]


def test_only_chunks_that_the_record_does_not_name_are_removed(writer: JobWriter, store: ScriptedStore):
    before = len(chunks(store))
    asyncio.run(writer.chunk_collector.collect())
    assert len(chunks(store)) == before - 1 and f"{keys.CHUNK_PREFIX}run-000001/x" not in store.keys


@pytest.mark.parametrize("changed", [KEY, keys.LEADER_KEY])
def test_chunks_stay_if_the_record_or_the_leader_has_changed(writer: JobWriter, store: ScriptedStore, changed):
    """A removal that is applied late could otherwise remove a chunk that a newer record names again."""
    store.keys[changed] = (store.keys[changed][0], 10)
    before = chunks(store)
    asyncio.run(writer.chunk_collector.collect())
    assert chunks(store) == before and "run-000001" in writer.table.chunks.jobs_to_collect


def test_chunks_of_a_job_that_has_no_record_yet_stay(writer: JobWriter, store: ScriptedStore):
    writer.table.jobs["run-000001"].version = 0
    before = chunks(store)
    asyncio.run(writer.chunk_collector.collect())
    assert chunks(store) == before


# -- decisions that depend on delegated leases --------------------------------------------------------

DELEGATE_KEY = keys.LEASE_DELEGATE_PREFIX + "n1"


@pytest.fixture
def leading_writer(store: ScriptedStore, clock: FakeClock) -> JobWriter:
    """The writer of a leader with a job that is stored as running on vm-1, and has just been moved to vm-2."""
    store.has_spare_changes = lambda: True
    store.revision = 9
    spec = msgspec.convert(description(2), JobSpec)
    record = JobRecord(
        task_count=1, next_attempt=2, allocations=[("vm-1", 1, 1, "0")], spec=spec, submitted_at=1.0, done_tasks=""
    )
    value = encode_record(spec.job_id, record, None).value
    store.keys = {keys.LEADER_KEY: ({"node": "n0"}, 5), keys.JOB_PREFIX + spec.job_id: (value, 9)}
    table = JobTable(clock)
    table.apply_record(keys.JOB_PREFIX + spec.job_id, value, 9)
    leadership = SimpleNamespace(fencing_token=5, role=Role.LEADER, valid=lambda: True, step_down=lambda reason: None)
    writer = leader_writer(table, store, clock, [DELEGATE_KEY], leadership)
    move_to_vm_2(table.jobs[spec.job_id])
    return writer


def move_to_vm_2(job) -> None:
    job.remove_allocation(0)
    job.allocations[0] = Allocation(0, "vm-2", 1, job.next_attempt, 0.0)
    job.next_attempt += 1
    job.has_unsaved_changes = job.has_unsaved_starts = True


def machines(writer: JobWriter) -> list[str]:
    return [a.machine for a in writer.table.jobs["run-000002"].allocations.values()]


def write(writer: JobWriter) -> None:
    asyncio.run(writer._write(list(writer.table.open_jobs.values())))


@pytest.mark.parametrize("mode", ["request_lost", "down"])
def test_a_decision_reverted_while_its_write_is_lost_is_not_written_again(
    leading_writer: JobWriter, store: ScriptedStore, mode
):
    """Guards against storing a decision that rests on leases which a delegate may have renewed.

    The write fails, and the key of the lease delegate is observed during the write. A second write of the decision
    would meet the preconditions.
    """
    commit = store.commit

    async def interleaved_commit(*args, **options):
        leading_writer.table.revert_unsaved()
        return await commit(*args, **options)

    store.commit, store.mode = interleaved_commit, mode
    write(leading_writer)
    assert machines(leading_writer) == ["vm-1"] and not leading_writer.table.jobs["run-000002"].has_unsaved_changes


def test_a_decision_reverted_while_its_write_succeeds_stays(leading_writer: JobWriter, store: ScriptedStore):
    commit = store.commit

    async def interleaved_commit(*args, **options):
        leading_writer.table.revert_unsaved()
        return await commit(*args, **options)

    store.commit = interleaved_commit
    write(leading_writer)
    assert machines(leading_writer) == ["vm-2"]
    move_to_vm_2(leading_writer.table.jobs["run-000002"])
    store.commit, store.mode = commit, "request_lost"
    write(leading_writer)
    assert machines(leading_writer) == ["vm-2"] and leading_writer.table.jobs["run-000002"].has_unsaved_changes, (
        "only decisions that were in flight are reverted"
    )


def make_void_during_commit(writer: JobWriter, store: ScriptedStore, decide) -> None:
    """Let the next commit be executed while decisions of its job are made (`decide`) and then become void."""
    commit = store.commit

    async def interleaved_commit(*args, **options):
        store.commit = commit
        decide()
        writer.table.revert_unsaved()
        return await commit(*args, **options)

    store.commit = interleaved_commit


def test_a_decision_made_during_a_write_that_succeeds_is_reverted_if_it_became_void(
    leading_writer: JobWriter, store: ScriptedStore
):
    """Guards against a task on two machines: the later decision was kept, and written under the delegate's new key."""
    job = leading_writer.table.jobs["run-000002"]

    def move_to_vm_3() -> None:
        job.remove_allocation(0)
        job.allocations[0] = Allocation(0, "vm-3", 1, job.next_attempt, 0.0)
        job.has_unsaved_changes = job.has_unsaved_starts = True

    make_void_during_commit(leading_writer, store, move_to_vm_3)
    write(leading_writer)
    assert machines(leading_writer) == ["vm-2"]
    assert not job.has_unsaved_changes and not leading_writer.table.unsettled_jobs()


@pytest.mark.parametrize("executed_late", [False, True])
def test_a_void_decision_whose_write_has_no_response_is_superseded_before_anything_is_decided(
    leading_writer: JobWriter, store: ScriptedStore, executed_late
):
    """Guards against decisions that don't count starts which a write without a response still stores."""
    job = leading_writer.table.jobs["run-000002"]
    make_void_during_commit(leading_writer, store, lambda: None)
    store.mode = "response_lost" if executed_late else "request_lost"
    write(leading_writer)
    assert leading_writer.table.unsettled_jobs() == [job] and machines(leading_writer) == ["vm-1"]
    store.mode = "ok"
    assert leading_writer._next_jobs() == [job], "the job is written again although it has no unsaved decisions"
    leading_writer.conflicts.reload_record = lambda key: reload_from(leading_writer, store, key)
    write(leading_writer)
    assert not leading_writer.table.unsettled_jobs()
    assert machines(leading_writer) == ["vm-2" if executed_late else "vm-1"], "what the store contains"


def test_a_refused_write_does_not_settle_an_earlier_one_that_may_still_be_executed(
    leading_writer: JobWriter, store: ScriptedStore
):
    job = leading_writer.table.jobs["run-000002"]
    make_void_during_commit(leading_writer, store, lambda: None)
    for mode in ("request_lost", "down"):
        store.mode = mode
        write(leading_writer)
        assert leading_writer.table.unsettled_jobs() == [job]
    store.mode = "ok"
    write(leading_writer)
    assert not leading_writer.table.unsettled_jobs() and machines(leading_writer) == ["vm-1"]


def test_a_job_that_cannot_be_encoded_does_not_stay_unsettled(
    leading_writer: JobWriter, store: ScriptedStore, monkeypatch: pytest.MonkeyPatch
):
    """No round decides anything while a job is unsettled, so one such job would stop all others."""
    make_void_during_commit(leading_writer, store, lambda: None)
    store.mode = "request_lost"
    write(leading_writer)
    monkeypatch.setattr(PendingWrite, "prepare", lambda *_: 1 / 0)
    write(leading_writer)
    assert not leading_writer.table.unsettled_jobs()


async def reload_from(writer: JobWriter, store: ScriptedStore, key: str) -> None:
    """Apply the record as the store contains it."""
    writer.table.apply_record(key, *store.keys[key])


def test_a_refused_write_leaves_nothing_unsettled(leading_writer: JobWriter, store: ScriptedStore):
    make_void_during_commit(leading_writer, store, lambda: None)
    store.mode = "down"
    write(leading_writer)
    assert not leading_writer.table.unsettled_jobs() and machines(leading_writer) == ["vm-1"]


def test_if_the_watch_is_late_any_lease_may_have_been_renewed_until_now(
    leading_writer: JobWriter, store: ScriptedStore, clock: FakeClock
):
    """The delegate's key may have named vm-1 before it was deleted and written again with vm-9.

    Only the watch would deliver the first value; a read of the key returns the second one.
    """
    store.keys[DELEGATE_KEY] = ({"machines": ["vm-9"]}, 12)
    clock.advance(5.0)
    leading_writer.delegation_guard._wait_for_watch = _return_false
    write(leading_writer)
    assert machines(leading_writer) == ["vm-1"]
    assert (
        leading_writer.delegation_guard.delegated_leases.is_delegated("vm-9")
        and leading_writer.delegation_guard.delegated_leases.last_possible_renewal("vm-1") == clock()
    )


def test_expired_leases_stay_expired_if_the_watch_has_delivered_all_changes(
    leading_writer: JobWriter, store: ScriptedStore, clock: FakeClock
):
    store.keys[DELEGATE_KEY] = ({"machines": ["vm-9"]}, 9)
    leading_writer.delegation_guard.delegated_leases.apply_key(DELEGATE_KEY, {"machines": ["vm-9"]}, 8)
    leading_writer.delegation_guard.watched_revision = lambda: 9
    store.commit = _raise_conflict
    write(leading_writer)
    assert (
        machines(leading_writer) == ["vm-1"]
        and leading_writer.delegation_guard.delegated_leases.last_possible_renewal("vm-1") < clock()
    )
    assert "get " + DELEGATE_KEY not in store.requests


async def _return_false(revision: int) -> bool:
    return False


async def _raise_conflict(*args, **options):
    raise PreconditionFailedError([DELEGATE_KEY], 9)


def test_an_older_record_read_during_a_write_does_not_replace_a_newer_deferred_one(
    leading_writer: JobWriter, store: ScriptedStore
):
    """Guards against a leader that goes back to an older record, which then stays until the record changes again.

    While a write is in flight, the watch delivers two newer versions; a read of the first of them is answered last.
    """
    table = leading_writer.table
    key = keys.JOB_PREFIX + "run-000002"
    value, _ = store.keys[key]
    commit = store.commit

    async def interleaved_commit(*args, **options):
        table.apply_record(key, {**value, "next": 5}, 12)
        table.apply_record(key, {**value, "next": 4}, 11)
        return await commit(*args, **options)

    store.commit, store.mode = interleaved_commit, "request_lost"
    write(leading_writer)
    job = table.jobs["run-000002"]
    assert job.version == 12 and job.next_attempt == 5


def test_jobs_are_written_again_after_an_unexpected_error_during_their_write(
    leading_writer: JobWriter, store: ScriptedStore
):
    """Guards against jobs that count as being written for the rest of the leadership, and are never stored."""
    commit = store.commit

    async def failing_commit(*args, **options):
        raise RuntimeError("not an error of the store")

    store.commit = failing_commit
    with pytest.raises(RuntimeError):
        write(leading_writer)
    store.commit = commit
    jobs = jobs_to_write(leading_writer.table.open_jobs.values(), leading_writer.clock(), has_spare_changes=True)
    assert [job.job_id for job in jobs] == ["run-000002"]
    write(leading_writer)
    assert machines(leading_writer) == ["vm-2"] and not leading_writer.table.jobs["run-000002"].has_unsaved_changes


def test_a_record_deferred_during_a_write_is_applied_even_if_the_leadership_ended(
    leading_writer: JobWriter, store: ScriptedStore
):
    """Guards against dropping the deferred record, which would leave this node with an older one until it changes."""
    job = leading_writer.table.jobs["run-000002"]

    async def interleaved_commit(*args, **options):
        leading_writer.table.apply_record(
            keys.JOB_PREFIX + job.job_id, {"phase": "withdrawn", "n": 1, "next": 2, "on": []}, 12
        )
        leading_writer.leadership.role = Role.FOLLOWER
        raise PreconditionFailedError([keys.LEADER_KEY], 12)

    store.commit = interleaved_commit
    write(leading_writer)
    assert job.version == 12 and job.deferred_record is None and job.is_final()


def test_a_leader_reloads_a_record_with_missing_chunks_without_a_request(
    leading_writer: JobWriter, store: ScriptedStore
):
    """None of the job's tasks is started before the reload, so it must not depend on a user's request."""
    read = []
    leading_writer.leadership.valid = lambda: not read

    async def refresh(key):
        read.append(key)

    async def run():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await leading_writer.run()

    leading_writer.conflicts.reload_record = refresh
    leading_writer.table.jobs["run-000002"].has_unsaved_changes = False
    leading_writer.table.chunks.keep_unreadable_record("run-000002", {}, 12)
    asyncio.run(run())
    assert read == [keys.JOB_PREFIX + "run-000002"]


def test_a_record_that_stays_unreadable_does_not_block_reloading_others(writer: JobWriter):
    """Guards against always reloading the first unreadable record."""
    reloaded: list[str] = []

    async def refresh(key):
        reloaded.append(key)
        raise OutcomeUnknownError("chunks of the job record are missing")

    writer.conflicts.reload_record = refresh
    for n in (1, 2, 3):
        writer.table.chunks.keep_unreadable_record(f"run-{n:06d}", {"packed": {"fixed": ["gone"], "state": "x"}}, 20)

    async def reload_four_times():
        for _ in range(4):
            await writer._reload_unreadable()

    asyncio.run(reload_four_times())
    assert reloaded == [f"{keys.JOB_PREFIX}run-{n:06d}" for n in (1, 2, 3, 1)]


def writer_with_job_on_many_machines(store: ScriptedStore, clock: FakeClock, value_kb, txn_ops):
    """Return the writer of a leader, and a job on as many machines as its record can name.

    No more than 4000 machines are used, which is a large fleet.
    """
    limits = StoreLimits(rps=150.0, write_rps=50.0, value_kb=value_kb, txn_ops=txn_ops)
    store.limits, store.max_transaction_changes, store.max_value_bytes = limits, txn_ops, usable_value_bytes(value_kb)
    store.rate_shares = SimpleNamespace(changes=SimpleNamespace(rate=38.0))
    store.keys[keys.LEADER_KEY] = ({"node": "n0"}, 5)
    table = JobTable(clock)
    leadership = SimpleNamespace(fencing_token=5, role=Role.LEADER)
    delegation_keys = [DELEGATE_KEY, DELEGATE_KEY + "x"]
    writer = leader_writer(table, store, clock, delegation_keys, leadership, packing_enabled=lambda: True)
    machines = min(4000, int(writer.start_record_budget().maximum_bytes / (BYTES_PER_MACHINE + BYTES_PER_START)))
    spec = description(1, pieces=machines)
    record = {"phase": "open", "n": machines, "next": 2, "on": [], "spec": spec, "at": 1.0, "done": ""}
    store.keys[KEY] = (record, 9)
    store.revision = 9
    table.apply_record(KEY, record, 9)
    job = table.jobs["run-000001"]
    names = random.Random(5)
    for n in range(machines):
        job.allocations[n] = Allocation(n, f"vm-{names.getrandbits(64):016x}", 1 + n % 3, 1 + n % 5, clock())
    job.has_unsaved_changes = job.has_unsaved_starts = True
    return writer, job


@pytest.mark.parametrize(
    ("value_kb", "txn_ops", "min_machines"),
    [(32.0, 24, 4000), (16.0, 12, 4000), (2.0, 24, 1000), (2.0, 12, 1000), (2.0, 4, 750)],
)
def test_a_job_on_the_maximum_number_of_machines_is_stored_within_all_limits(
    store: ScriptedStore, clock: FakeClock, value_kb, txn_ops, min_machines
):
    """Guards against limiting an array to 215 machines at a time, and against too large transactions for its chunks."""
    sent: list[tuple[int, int, int]] = []
    write = store.commit

    async def commit(when, put=(), **more):
        assert max(json_bytes(value) for _, value in put) <= value_kb * 1024
        sent.append((len(when), len(put), sum(json_bytes(value) for _, value in put)))
        return await write(when, put, **more)

    store.commit = commit
    writer, job = writer_with_job_on_many_machines(store, clock, value_kb, txn_ops)
    assert job.task_count >= min_machines
    asyncio.run(writer._write([job]))
    assert not job.has_unsaved_changes and len(job.stored_starts) == job.task_count
    for conditions, puts, length in sent:
        assert conditions <= 4 * txn_ops and puts <= txn_ops and length < 62 * 1024


def test_a_record_is_not_stored_if_a_chunk_written_before_it_is_gone(store: ScriptedStore, clock: FakeClock):
    """Another leader may remove the chunk while no record names it; the stored record would then be unreadable."""
    writer, job = writer_with_job_on_many_machines(store, clock, 2.0, 4)
    writes: list[list[str]] = []
    write = store.commit

    async def commit(when, put=(), **more):
        if len(writes) == 2:
            store.keys.pop(writes[0][0])
        writes.append([key for key, _ in put])
        return await write(when, put, **more)

    store.commit = commit
    asyncio.run(writer._write([job]))
    assert len(writes) > 2 and job.has_unsaved_changes and not job.stored_starts and store.keys[KEY][1] == 9
