"""Status and cancellation: never older than what another node has answered."""

import asyncio
import json

import msgspec
import pytest
from conftest import CATALOG, Clock, Cluster, FakeState, description

from hookwall.api.job_service import JobService
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import jobs_to_write
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.client import PreconditionFailedError
from hookwall.storage.job_records import JobRecord, decode_ranges, encode_plain, encode_ranges, encode_record
from hookwall.storage.read_confirmation import ReadConfirmation


class Nodes:
    """Two nodes on one key-value store, neither of which sees the other's changes by itself."""

    def __init__(self, params, state: FakeState, clock: Clock) -> None:
        self.services = []
        for _ in range(2):
            table = JobTable(clock)
            reader = JobRecordReader(table, state)
            service = JobService(params, table, state, reader, ReadConfirmation(state, reader.reload))
            service.catalog = CATALOG
            self.services.append(service)


def play(nodes: Nodes, script):
    async def main():
        loops = [asyncio.create_task(service.read_confirmation.run()) for service in nodes.services]
        try:
            return await script(*nodes.services)
        finally:
            for loop in loops:
                loop.cancel()

    return asyncio.run(main())


@pytest.fixture
def nodes(params: PlatformParameters, state: FakeState, clock: Clock) -> Nodes:
    return Nodes(params, state, clock)


def body(n=1, **changes):
    return json.dumps(description(n, **changes)).encode()


def test_a_job_is_accepted_only_once_it_is_stored(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        state.mode = "lost"
        first = await a.submit(body())
        state.mode = "ok"
        gone = await a.get("run-000001")
        second = await a.submit(body())
        return first[0], first[2], gone[0], second[0], (await b.submit(body()))[0]

    assert play(nodes, script) == (503, {"Retry-After": "1"}, 404, 201, 200)


def test_a_write_whose_outcome_was_unknown_is_found_on_the_retry(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        state.mode = "ghost"
        first = await a.submit(body())
        state.mode = "ok"
        return first[0], (await a.submit(body()))[0], (await b.get("run-000001"))[0]

    assert play(nodes, script) == (503, 200, 200)


def test_a_cached_status_is_confirmed_before_it_is_given(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        await a.submit(body())
        assert b"pending" in (await b.get("run-000001"))[1]
        await a.cancel("run-000001")
        return [json.loads((await x.get("run-000001"))[1])["phase"] for x in (b, a)]

    assert play(nodes, script) == ["withdrawn", "withdrawn"]


def test_a_poll_that_is_confirmed_while_a_new_leader_loads_is_not_answered_404(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        poll = asyncio.create_task(a.get("run-000001"))
        await asyncio.sleep(0.01)
        a.table.invalidate_decisions()
        return (await poll)[0]

    assert play(nodes, script) == 200


def test_a_new_leader_applies_the_records_again_even_if_it_knows_their_versions(nodes: Nodes, clock: Clock):
    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        job = a.table.jobs["run-000001"]
        job.next_attempt, job.has_unsaved_changes = 7, True
        a.table.invalidate_decisions()
        await a.reader.reload("hookwall/job/run-000001")
        return job.next_attempt, job.has_unsaved_changes

    assert play(nodes, script) == (1, False)


def test_a_404_is_confirmed_before_it_is_given(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        before = await b.get("run-000001")
        await a.submit(body())
        return before[0], (await b.get("run-000001"))[0]

    assert play(nodes, script) == (404, 200)


def test_an_unconfirmed_status_is_503_at_once_but_final_ones_are_served(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        await a.submit(body(2))
        await a.cancel("run-000002")
        state.mode = "down"
        return [(await a.get(f"run-00000{n}"))[0] for n in (1, 2, 3)]

    assert play(nodes, script) == [503, 200, 503]


def test_polls_share_one_comparison(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        for n in range(1, 9):
            await a.submit(body(n))
        state.requests.clear()
        await asyncio.gather(*(a.get(f"run-{n:06d}") for n in range(1, 9)))
        return list(state.requests)

    assert play(nodes, script) == ["compare"]


def test_a_cancellation_of_a_done_job_says_done(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        key = "hookwall/job/run-000001"
        state.epoch += 1
        state.keys[key] = ({"phase": "done", "n": 1, "next": 2, "on": []}, state.epoch)
        first = json.loads((await b.cancel("run-000001"))[1])["phase"]
        return first, json.loads((await a.get("run-000001"))[1])["phase"]

    assert play(nodes, script) == ("done", "done")


def test_a_cancellation_that_loses_against_the_last_task_s_end_says_done(nodes: Nodes, state: FakeState):
    """The leader stores the end just between the cancellation's reading and its writing."""

    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        key, read = "hookwall/job/run-000001", state.get

        async def get(k):
            got = await read(k)
            if state.keys[key][0]["phase"] == "open":
                state.epoch += 1
                state.keys[key] = ({"phase": "done", "n": 1, "next": 2, "on": []}, state.epoch)
            return got

        state.get = get
        return json.loads((await b.cancel("run-000001"))[1])["phase"], json.loads((await a.get("run-000001"))[1])[
            "phase"
        ]

    assert play(nodes, script) == ("done", "done")


def test_a_cancellation_seen_during_a_write_of_the_leader_is_answered_with_withdrawn(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        await a.submit(body(1))
        job = a.table.jobs["run-000001"]
        job.write_in_flight = True  # the leader's own write of the same job is under way
        await b.cancel("run-000001")
        return json.loads((await a.get("run-000001"))[1])["phase"]

    assert play(nodes, script) == "withdrawn"


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"owner": "nobody"}, 422),
        ({"hulls": ["g9"]}, 422),
        ({"cards": 5.0}, 422),
        ({"yard": "north"}, 422),
        ({"owner": "red", "shape": "ensemble", "pieces": 5, "cards": 4.0}, 422),
        ({"owner": "red", "shape": "batch", "pieces": 5, "cards": 4.0}, 201),
        ({"owner": "grey", "shape": "ensemble", "pieces": 5, "cards": 4.0}, 201),
    ],
)
def test_an_infeasible_job_is_refused(nodes: Nodes, changes, status):
    async def script(a: JobService, b: JobService):
        return (await a.submit(body(**changes)))[0]

    assert play(nodes, script) == status


def test_an_accepted_job_is_not_refused_when_it_is_repeated(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        await a.submit(body())
        return (await b.submit(body(owner="nobody")))[0]

    assert play(nodes, script) == 200


def test_a_submission_without_known_machine_types_is_refused_for_now(nodes: Nodes):
    async def script(a: JobService, b: JobService):
        a.catalog = None
        return (await a.submit(body()))[0]

    assert play(nodes, script) == 503


def test_task_ranges_round_trip_and_stay_small():
    for numbers in ([], [0], [3, 4, 5], [0, 2, 4, 5, 6, 99_999]):
        assert decode_ranges(encode_ranges(numbers)) == numbers
    assert encode_ranges(range(100_000)) == "0-99999"


def test_a_record_of_100_000_tasks_fits_a_value(cluster: Cluster, params: PlatformParameters):
    job = cluster.submit(1, pieces=100_000, cards=0.0, cores=0.01, memGb=0.0)
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    for _ in range(5):
        cluster.scheduler.run_round()
    assert job.allocations
    assert len(json.dumps(encode_plain(job.record()))) < params.state.value_kb * 1024


def test_starts_are_stored_before_ends_of_single_tasks(cluster: Cluster):
    ended, started, over = cluster.submit(1, pieces=2), cluster.submit(2), cluster.submit(3)
    cluster.beat("vm-1")
    now = cluster.clock()
    ended.mark_task_done(0)
    cluster.fleet.allocate(started, 0, cluster.fleet.machines["vm-1"], 1, now)
    over.phase, over.has_unsaved_changes = "done", True
    assert jobs_to_write(cluster.table.open_jobs.values(), now, spare=True) == [over, started]
    later = [now + 2.0, now + 16.0]
    assert jobs_to_write(cluster.table.open_jobs.values(), later[0], spare=True) == [over, started, ended]
    # Not while changes are scarce, but not for ever either.
    assert jobs_to_write(cluster.table.open_jobs.values(), later[0], spare=False) == [over, started]
    assert jobs_to_write(cluster.table.open_jobs.values(), later[1], spare=False) == [over, started, ended]


def test_the_start_that_waits_longest_is_stored_first_whatever_arrived_earlier(cluster: Cluster):
    old, new = cluster.submit(1), cluster.submit(2)
    cluster.beat("vm-1")
    m = cluster.fleet.machines["vm-1"]
    cluster.fleet.allocate(new, 0, m, 1, cluster.clock())
    jobs_to_write(cluster.table.open_jobs.values(), cluster.clock(), spare=False)
    cluster.clock.tick(1.0)
    cluster.fleet.allocate(old, 0, m, 1, cluster.clock())
    assert jobs_to_write(cluster.table.open_jobs.values(), cluster.clock(), spare=False) == [new, old]


def large_record(clock: Clock):
    """An empty table, and the key and encoding of an accepted job whose record takes chunks."""
    spec = msgspec.convert(description(1, awaits=[f"run-{n * 7919:018d}" for n in range(300)]), JobSpec)
    record = JobRecord(task_count=1, spec=spec, submitted_at=1.0, done_tasks="")
    encoded = encode_record(spec.job_id, record, 1700)
    return JobTable(clock), keys.JOB_PREFIX + spec.job_id, encoded


@pytest.mark.parametrize("head_first", [True, False])
def test_a_record_is_applied_once_its_chunks_are_known_in_any_order(clock: Clock, head_first):
    table, key, encoded = large_record(clock)
    if head_first:
        table.apply_record(key, encoded.value, 9)
        assert table.jobs["run-000001"].version == 0 and len(table.missing_chunks("run-000001")) == len(encoded.chunks)
    for part, text in encoded.chunks.items():
        table.apply_chunk(part, text, 1)
    if not head_first:
        table.apply_record(key, encoded.value, 9)
    assert table.jobs["run-000001"].version == 9 and table.jobs["run-000001"].spec.dependencies


def test_a_job_whose_chunks_are_not_known_yet_is_not_answered_404(nodes: Nodes, state: FakeState, clock: Clock):
    _, key, encoded = large_record(clock)
    state.keys[key] = (encoded.value, 9)
    state.epoch = 9

    async def script(a: JobService, b: JobService):
        first = (await a.get("run-000001"))[0]
        for part, text in encoded.chunks.items():
            state.keys[part] = (text, 8)
        return first, (await a.get("run-000001"))[0]

    assert play(nodes, script) == (503, 200)


def test_a_cancellation_that_is_seen_without_its_chunks_counts_at_once(clock: Clock):
    table, key, encoded = large_record(clock)
    table.apply_record(key, {**encoded.value, "phase": "withdrawn"}, 9)
    assert table.is_cancelled("run-000001")


def test_a_job_is_queued_as_of_the_end_of_its_last_dependency(clock: Clock):
    table = JobTable(clock)
    needed = {"phase": "open", "n": 1, "next": 1, "on": [], "spec": description(1), "at": 10.0, "done": ""}
    waiting = {**needed, "spec": description(2, awaits=["run-000001"]), "at": 20.0}
    table.apply_record("hookwall/job/run-000001", needed, 5)
    table.apply_record("hookwall/job/run-000002", waiting, 6)
    assert table.jobs["run-000002"].queued_at == 20.0 and "run-000002" in table.blocked_jobs
    table.apply_record("hookwall/job/run-000001", {"phase": "done", "n": 1, "next": 2, "on": [], "ended": 50.0}, 7)
    assert table.jobs["run-000002"].queued_at == 50.0 and "run-000002" in table.open_jobs


@pytest.mark.parametrize("gone", [False, True])
def test_a_record_that_is_replaced_in_chunks_is_not_stored_if_one_of_them_is_gone(
    nodes: Nodes, state: FakeState, clock: Clock, gone
):
    """A leader may remove chunks that no record names, so the write that names them is conditional on them."""
    _, key, encoded = large_record(clock)
    state.keys[key], state.epoch = ({"phase": "open", "n": 1, "next": 1, "on": []}, 9), 9
    state.max_transaction_changes = 2
    writes: list[list[str]] = []
    write = state.commit

    async def commit(when, put=(), **more):
        if len(writes) == 1 and gone:
            state.keys.pop(writes[0][0])
        writes.append([name for name, _ in put])
        return await write(when, put, **more)

    async def script(a: JobService, b: JobService):
        state.commit = commit
        try:
            return await a.record_writer.write(key, 9, encoded, state.keys[key][0])
        except PreconditionFailedError:
            return None

    stored = play(nodes, script)
    assert len(writes) > 1 and (stored is None) == gone
    assert (state.keys[key][0] == encoded.value) != gone


def test_a_large_description_is_not_stored_in_chunks_while_an_older_program_may_read_it(nodes: Nodes, state: FakeState):
    async def script(a: JobService, b: JobService):
        a.packing_enabled = lambda: False
        needs = [f"type-{n * 7919**4:030d}" * 3 for n in range(60)]
        first = await a.submit(json.dumps(description(1, hulls=["g4", *needs], pieces=2)).encode())
        stored = {key for key in state.keys if key.startswith((keys.CHUNK_PREFIX, keys.JOB_PREFIX))}
        plain_form = [state.keys[key][0] for key in stored]
        return (
            first[0],
            [key for key in stored if key.startswith(keys.CHUNK_PREFIX)],
            ["packed" in v for v in plain_form],
        )

    state.max_value_bytes = 1700  # of the limits to come
    status, parts, packed = play(nodes, script)
    assert status == 201 and not parts and packed == [False]
