"""What users are told: never older than what another node has said."""

import asyncio
import json

import msgspec
import pytest
from conftest import CATALOG, Clock, Cluster, FakeState, description

from hookwall.api.job_service import UserApi
from hookwall.config.platform import Params
from hookwall.jobs.job import write_order
from hookwall.jobs.job_table import JobTable
from hookwall.protocol.job_messages import JobSpec
from hookwall.storage import keys
from hookwall.storage.client import Conflict
from hookwall.storage.job_records import JobRecord, encode, pack_numbers, plain, unpack_numbers
from hookwall.storage.read_confirmation import Confirmer


class Nodes:
    """Two nodes on one state service, neither of which sees the other's changes by itself."""

    def __init__(self, params, state: FakeState, clock: Clock) -> None:
        self.apis = []
        for _ in range(2):
            table = JobTable(clock)
            confirmer = Confirmer(state, None)
            api = UserApi(params, table, state, confirmer)
            confirmer.refresh = api.refresh
            api.catalog = CATALOG
            self.apis.append(api)


def play(nodes: Nodes, script):
    async def main():
        loops = [asyncio.create_task(a.confirmer.run()) for a in nodes.apis]
        try:
            return await script(*nodes.apis)
        finally:
            for t in loops:
                t.cancel()

    return asyncio.run(main())


@pytest.fixture
def nodes(params: Params, state: FakeState, clock: Clock) -> Nodes:
    return Nodes(params, state, clock)


def body(n=1, **changes):
    return json.dumps(description(n, **changes)).encode()


def test_accepted_only_once_stored(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        state.mode = "lost"
        first = await a.submit(body())
        state.mode = "ok"
        gone = await a.get("run-000001")
        second = await a.submit(body())
        return first[0], first[2], gone[0], second[0], (await b.submit(body()))[0]

    assert play(nodes, script) == (503, {"Retry-After": "1"}, 404, 201, 200)


def test_a_write_that_happened_without_an_answer_is_found_on_the_retry(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        state.mode = "ghost"
        first = await a.submit(body())
        state.mode = "ok"
        return first[0], (await a.submit(body()))[0], (await b.get("run-000001"))[0]

    assert play(nodes, script) == (503, 200, 200)


def test_a_cached_answer_is_confirmed_before_it_is_given(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body())
        assert b"pending" in (await b.get("run-000001"))[1]
        await a.cancel("run-000001")
        return [json.loads((await x.get("run-000001"))[1])["phase"] for x in (b, a)]

    assert play(nodes, script) == ["withdrawn", "withdrawn"]


def test_a_poll_that_is_confirmed_while_a_new_leader_loads_is_not_answered_404(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body(1))
        poll = asyncio.create_task(a.get("run-000001"))
        await asyncio.sleep(0.01)
        a.table.void_decisions()
        return (await poll)[0]

    assert play(nodes, script) == 200


def test_a_new_leader_takes_the_records_again_even_if_it_knows_their_stamps(nodes: Nodes, clock: Clock):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body(1))
        job = a.table.jobs["run-000001"]
        job.next_attempt, job.dirty = 7, True
        a.table.void_decisions()
        await a.refresh("hookwall/job/run-000001")
        return job.next_attempt, job.dirty

    assert play(nodes, script) == (1, False)


def test_404_is_confirmed_too(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        before = await b.get("run-000001")
        await a.submit(body())
        return before[0], (await b.get("run-000001"))[0]

    assert play(nodes, script) == (404, 200)


def test_unconfirmed_is_503_at_once_but_final_states_are_served(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body(1))
        await a.submit(body(2))
        await a.cancel("run-000002")
        state.mode = "down"
        return [(await a.get(f"run-00000{n}"))[0] for n in (1, 2, 3)]

    assert play(nodes, script) == [503, 200, 503]


def test_polls_share_one_comparison(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        for n in range(1, 9):
            await a.submit(body(n))
        state.requests.clear()
        await asyncio.gather(*(a.get(f"run-{n:06d}") for n in range(1, 9)))
        return list(state.requests)

    assert play(nodes, script) == ["compare"]


def test_cancel_is_final_and_does_not_undo_done(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body(1))
        key = "hookwall/job/run-000001"
        state.epoch += 1
        state.keys[key] = ({"phase": "done", "n": 1, "next": 2, "on": []}, state.epoch)
        first = json.loads((await b.cancel("run-000001"))[1])["phase"]
        return first, json.loads((await a.get("run-000001"))[1])["phase"]

    assert play(nodes, script) == ("done", "done")


def test_a_cancellation_that_loses_against_the_last_task_s_end_says_done(nodes: Nodes, state: FakeState):
    """The leader stores the end just between the cancellation's reading and its writing."""

    async def script(a: UserApi, b: UserApi):
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


def test_a_cancellation_seen_while_the_leader_writes_is_not_answered_with_running(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body(1))
        job = a.table.jobs["run-000001"]
        job.writing = True  # the leader's own write of the same job is under way
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
def test_what_can_never_run(nodes: Nodes, changes, status):
    async def script(a: UserApi, b: UserApi):
        return (await a.submit(body(**changes)))[0]

    assert play(nodes, script) == status


def test_an_accepted_job_is_not_refused_when_it_is_repeated(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        await a.submit(body())
        return (await b.submit(body(owner="nobody")))[0]

    assert play(nodes, script) == 200


def test_without_machine_types_nothing_is_decided(nodes: Nodes):
    async def script(a: UserApi, b: UserApi):
        a.catalog = None
        return (await a.submit(body()))[0]

    assert play(nodes, script) == 503


def test_ranges_round_trip_and_stay_small():
    for numbers in ([], [0], [3, 4, 5], [0, 2, 4, 5, 6, 99_999]):
        assert unpack_numbers(pack_numbers(numbers)) == numbers
    assert pack_numbers(range(100_000)) == "0-99999"


def test_a_record_of_100_000_tasks_fits_a_value(cluster: Cluster, params: Params):
    job = cluster.submit(1, pieces=100_000, cards=0.0, cores=0.01, memGb=0.0)
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    for _ in range(5):
        cluster.scheduler.round()
    assert job.active
    assert len(json.dumps(plain(job.record()))) < params.state.value_kb * 1024


def test_starts_are_stored_before_ends_that_nobody_waits_for(cluster: Cluster):
    ended, started_, over = cluster.submit(1, pieces=2), cluster.submit(2), cluster.submit(3)
    cluster.beat("vm-1")
    now = cluster.clock()
    ended.mark_done(0)
    cluster.fleet.put(started_, 0, cluster.fleet.machines["vm-1"], 1, now)
    over.phase, over.dirty = "done", True
    assert write_order(cluster.table.open.values(), now, spare=True) == [over, started_]
    later = [now + 2.0, now + 16.0]
    assert write_order(cluster.table.open.values(), later[0], spare=True) == [over, started_, ended]
    # Not while changes are scarce, but not for ever either.
    assert write_order(cluster.table.open.values(), later[0], spare=False) == [over, started_]
    assert write_order(cluster.table.open.values(), later[1], spare=False) == [over, started_, ended]


def test_a_start_that_waits_longer_is_stored_first_whatever_arrived_earlier(cluster: Cluster):
    old, new = cluster.submit(1), cluster.submit(2)
    cluster.beat("vm-1")
    m = cluster.fleet.machines["vm-1"]
    cluster.fleet.put(new, 0, m, 1, cluster.clock())
    write_order(cluster.table.open.values(), cluster.clock(), spare=False)
    cluster.clock.tick(1.0)
    cluster.fleet.put(old, 0, m, 1, cluster.clock())
    assert write_order(cluster.table.open.values(), cluster.clock(), spare=False) == [new, old]


def large_record(clock: Clock):
    """An accepted job whose record needs parts, with its value and them."""
    spec = msgspec.convert(description(1, awaits=[f"run-{n * 7919:018d}" for n in range(300)]), JobSpec)
    record = JobRecord(tasks=1, spec=spec, at=1.0, done="")
    encoded = encode(spec.ref, record, 1700)
    return JobTable(clock), keys.JOBS + spec.ref, encoded


@pytest.mark.parametrize("head_first", [True, False])
def test_a_record_is_known_once_its_parts_are_in_whatever_order_they_come(clock: Clock, head_first):
    table, key, encoded = large_record(clock)
    if head_first:
        table.apply(key, encoded.value, 9)
        assert table.jobs["run-000001"].stamp == 0 and len(table.missing_parts("run-000001")) == len(encoded.parts)
    for part, text in encoded.parts.items():
        table.take_part(part, text, 1)
    if not head_first:
        table.apply(key, encoded.value, 9)
    assert table.jobs["run-000001"].stamp == 9 and table.jobs["run-000001"].spec.needs


def test_a_job_whose_parts_are_not_known_yet_is_not_answered_404(nodes: Nodes, state: FakeState, clock: Clock):
    _, key, encoded = large_record(clock)
    state.keys[key] = (encoded.value, 9)
    state.epoch = 9

    async def script(a: UserApi, b: UserApi):
        first = (await a.get("run-000001"))[0]
        for part, text in encoded.parts.items():
            state.keys[part] = (text, 8)
        return first, (await a.get("run-000001"))[0]

    assert play(nodes, script) == (503, 200)


def test_a_cancellation_that_is_seen_without_its_parts_counts_at_once(clock: Clock):
    table, key, encoded = large_record(clock)
    table.apply(key, {**encoded.value, "phase": "withdrawn"}, 9)
    assert table.withdrawn("run-000001")


def test_a_job_is_queued_as_of_the_end_of_the_last_job_that_it_needs(clock: Clock):
    table = JobTable(clock)
    needed = {"phase": "open", "n": 1, "next": 1, "on": [], "spec": description(1), "at": 10.0, "done": ""}
    waiting = {**needed, "spec": description(2, awaits=["run-000001"]), "at": 20.0}
    table.apply("hookwall/job/run-000001", needed, 5)
    table.apply("hookwall/job/run-000002", waiting, 6)
    assert table.jobs["run-000002"].arrival == 20.0 and "run-000002" in table.blocked
    table.apply("hookwall/job/run-000001", {"phase": "done", "n": 1, "next": 2, "on": [], "ended": 50.0}, 7)
    assert table.jobs["run-000002"].arrival == 50.0 and "run-000002" in table.open


@pytest.mark.parametrize("gone", [False, True])
def test_a_record_that_is_replaced_in_parts_is_not_stored_if_one_of_them_is_gone(
    nodes: Nodes, state: FakeState, clock: Clock, gone
):
    """A leader may remove parts that no record names, so the write that names them is conditional on them."""
    _, key, encoded = large_record(clock)
    state.keys[key], state.epoch = ({"phase": "open", "n": 1, "next": 1, "on": []}, 9), 9
    state.txn_ops = 2
    writes: list[list[str]] = []
    write = state.commit

    async def commit(when, put=(), **more):
        if len(writes) == 1 and gone:
            state.keys.pop(writes[0][0])
        writes.append([name for name, _ in put])
        return await write(when, put, **more)

    async def script(a: UserApi, b: UserApi):
        state.commit = commit
        try:
            return await a._store(key, 9, encoded, state.keys[key][0])
        except Conflict:
            return None

    stored = play(nodes, script)
    assert len(writes) > 1 and (stored is None) == gone
    assert (state.keys[key][0] == encoded.value) != gone


def test_a_large_description_is_not_stored_in_parts_while_an_older_program_may_read_it(nodes: Nodes, state: FakeState):
    async def script(a: UserApi, b: UserApi):
        a.new_formats = lambda: False
        needs = [f"type-{n * 7919**4:030d}" * 3 for n in range(60)]
        first = await a.submit(json.dumps(description(1, hulls=["g4", *needs], pieces=2)).encode())
        stored = {key for key in state.keys if key.startswith((keys.PARTS, keys.JOBS))}
        plain_form = [state.keys[key][0] for key in stored]
        return first[0], [key for key in stored if key.startswith(keys.PARTS)], ["packed" in v for v in plain_form]

    state.value_limit = 1700  # of the limits to come
    status, parts, packed = play(nodes, script)
    assert status == 201 and not parts and packed == [False]
