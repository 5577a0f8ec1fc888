"""Submission, status and cancellation of jobs: no response is older than one that another node has given."""

import asyncio
import json

import pytest
from conftest import CATALOG, FakeClock, ScriptedStore, description
from sample_records import chunked_record

from hookwall.api.job_service import JobService
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job_table import JobTable
from hookwall.jobs.record_reader import JobRecordReader
from hookwall.storage import keys
from hookwall.storage.errors import PreconditionFailedError
from hookwall.storage.read_confirmation import ReadConfirmation


class Nodes:
    """Two nodes that share one key-value store. Neither sees the other's changes by itself."""

    def __init__(self, params, store: ScriptedStore, clock: FakeClock) -> None:
        self.services = []
        for _ in range(2):
            table = JobTable(clock)
            reader = JobRecordReader(table, store)
            service = JobService(params, table, store, reader, ReadConfirmation(store, reader.reload))
            service.catalog = CATALOG
            self.services.append(service)


def run_script(nodes: Nodes, script):
    async def main():
        confirmation_tasks = [asyncio.create_task(service.read_confirmation.run()) for service in nodes.services]
        try:
            return await script(*nodes.services)
        finally:
            for confirmation_task in confirmation_tasks:
                confirmation_task.cancel()

    return asyncio.run(main())


@pytest.fixture
def nodes(params: PlatformParameters, store: ScriptedStore, clock: FakeClock) -> Nodes:
    return Nodes(params, store, clock)


def body(n=1, **changes):
    return json.dumps(description(n, **changes)).encode()


def test_a_job_is_accepted_only_once_it_is_stored(nodes: Nodes, store: ScriptedStore):
    async def script(service: JobService, other: JobService):
        store.mode = "request_lost"
        first = await service.submit(body())
        store.mode = "ok"
        poll = await service.get("run-000001")
        second = await service.submit(body())
        return first[0], first[2], poll[0], second[0], (await other.submit(body()))[0]

    assert run_script(nodes, script) == (503, {"Retry-After": "1"}, 404, 201, 200)


def test_a_write_whose_outcome_was_unknown_is_found_on_the_retry(nodes: Nodes, store: ScriptedStore):
    async def script(service: JobService, other: JobService):
        store.mode = "response_lost"
        first = await service.submit(body())
        store.mode = "ok"
        return first[0], (await service.submit(body()))[0], (await other.get("run-000001"))[0]

    assert run_script(nodes, script) == (503, 200, 200)


def test_a_cached_status_is_confirmed_before_it_is_returned(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        await service.submit(body())
        assert b"pending" in (await other.get("run-000001"))[1]
        await service.cancel("run-000001")
        return [json.loads((await node.get("run-000001"))[1])["phase"] for node in (other, service)]

    assert run_script(nodes, script) == ["withdrawn", "withdrawn"]


def test_a_poll_that_is_confirmed_while_a_new_leader_loads_is_not_answered_404(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        poll = asyncio.create_task(service.get("run-000001"))
        await asyncio.sleep(0.01)
        service.table.invalidate_decisions()
        return (await poll)[0]

    assert run_script(nodes, script) == 200


def test_a_new_leader_applies_the_records_again_even_if_it_knows_their_versions(nodes: Nodes, clock: FakeClock):
    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        job = service.table.jobs["run-000001"]
        job.next_attempt, job.has_unsaved_changes = 7, True
        service.table.invalidate_decisions()
        await service.reader.reload("hookwall/job/run-000001")
        return job.next_attempt, job.has_unsaved_changes

    assert run_script(nodes, script) == (1, False)


def test_a_404_is_confirmed_before_it_is_returned(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        before = await other.get("run-000001")
        await service.submit(body())
        return before[0], (await other.get("run-000001"))[0]

    assert run_script(nodes, script) == (404, 200)


def test_an_unconfirmed_status_is_refused_with_503_but_a_final_one_is_served(nodes: Nodes, store: ScriptedStore):
    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        await service.submit(body(2))
        await service.cancel("run-000002")
        store.mode = "down"
        return [(await service.get(f"run-00000{n}"))[0] for n in (1, 2, 3)]

    assert run_script(nodes, script) == [503, 200, 503]


def test_concurrent_polls_are_confirmed_by_one_comparison(nodes: Nodes, store: ScriptedStore):
    async def script(service: JobService, other: JobService):
        for n in range(1, 9):
            await service.submit(body(n))
        store.requests.clear()
        await asyncio.gather(*(service.get(f"run-{n:06d}") for n in range(1, 9)))
        return list(store.requests)

    assert run_script(nodes, script) == ["compare"]


def test_the_cancellation_of_a_done_job_returns_done(nodes: Nodes, store: ScriptedStore):
    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        key = "hookwall/job/run-000001"
        store.revision += 1
        store.keys[key] = ({"phase": "done", "n": 1, "next": 2, "on": []}, store.revision)
        first = json.loads((await other.cancel("run-000001"))[1])["phase"]
        return first, json.loads((await service.get("run-000001"))[1])["phase"]

    assert run_script(nodes, script) == ("done", "done")


def test_a_cancellation_that_races_with_the_end_of_the_job_returns_done(nodes: Nodes, store: ScriptedStore):
    """The leader stores the job as done between the read and the write of the cancellation."""

    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        key, read = "hookwall/job/run-000001", store.get

        async def get(k):
            got = await read(k)
            if store.keys[key][0]["phase"] == "open":
                store.revision += 1
                store.keys[key] = ({"phase": "done", "n": 1, "next": 2, "on": []}, store.revision)
            return got

        store.get = get
        cancelled = json.loads((await other.cancel("run-000001"))[1])["phase"]
        polled = json.loads((await service.get("run-000001"))[1])["phase"]
        return cancelled, polled

    assert run_script(nodes, script) == ("done", "done")


def test_a_cancellation_seen_during_a_write_of_the_leader_is_reported(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        await service.submit(body(1))
        job = service.table.jobs["run-000001"]
        job.write_in_flight = True  # the leader's own write of the same job is in progress
        await other.cancel("run-000001")
        return json.loads((await service.get("run-000001"))[1])["phase"]

    assert run_script(nodes, script) == "withdrawn"


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
    async def script(service: JobService, other: JobService):
        return (await service.submit(body(**changes)))[0]

    assert run_script(nodes, script) == status


def test_an_accepted_job_is_not_refused_when_it_is_submitted_again(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        await service.submit(body())
        return (await other.submit(body(owner="nobody")))[0]

    assert run_script(nodes, script) == 200


def test_a_submission_is_refused_with_503_while_machine_types_are_unknown(nodes: Nodes):
    async def script(service: JobService, other: JobService):
        service.catalog = None
        return (await service.submit(body()))[0]

    assert run_script(nodes, script) == 503


def test_a_job_with_missing_chunks_is_answered_with_503_not_404(nodes: Nodes, store: ScriptedStore, clock: FakeClock):
    key, encoded = chunked_record()
    store.keys[key] = (encoded.value, 9)
    store.revision = 9

    async def script(service: JobService, other: JobService):
        first = (await service.get("run-000001"))[0]
        for chunk_key, text in encoded.chunks.items():
            store.keys[chunk_key] = (text, 8)
        return first, (await service.get("run-000001"))[0]

    assert run_script(nodes, script) == (503, 200)


@pytest.mark.parametrize("gone", [False, True])
def test_a_record_is_not_stored_if_one_of_its_chunks_was_removed(
    nodes: Nodes, store: ScriptedStore, clock: FakeClock, gone
):
    """A leader may remove chunks that no record names, so the write of the record has its chunks as preconditions."""
    key, encoded = chunked_record()
    store.keys[key], store.revision = ({"phase": "open", "n": 1, "next": 1, "on": []}, 9), 9
    store.max_transaction_changes = 2
    writes: list[list[str]] = []
    write = store.commit

    async def commit(when, put=(), **more):
        if len(writes) == 1 and gone:
            store.keys.pop(writes[0][0])
        writes.append([name for name, _ in put])
        return await write(when, put, **more)

    async def script(service: JobService, other: JobService):
        store.commit = commit
        try:
            return await service.record_writer.write(key, 9, encoded, store.keys[key][0])
        except PreconditionFailedError:
            return None

    stored = run_script(nodes, script)
    assert len(writes) > 1 and (stored is None) == gone
    assert (store.keys[key][0] == encoded.value) != gone


def test_a_large_description_is_not_stored_in_chunks_while_an_older_program_may_read_it(
    nodes: Nodes, store: ScriptedStore
):
    async def script(service: JobService, other: JobService):
        service.packing_enabled = lambda: False
        types = [f"type-{n * 7919**4:030d}" * 3 for n in range(60)]
        first = await service.submit(json.dumps(description(1, hulls=["g4", *types], pieces=2)).encode())
        stored = {key for key in store.keys if key.startswith((keys.CHUNK_PREFIX, keys.JOB_PREFIX))}
        plain_form = [store.keys[key][0] for key in stored]
        return (
            first[0],
            [key for key in stored if key.startswith(keys.CHUNK_PREFIX)],
            ["packed" in v for v in plain_form],
        )

    store.max_value_bytes = 1700  # what the upcoming limits allow
    status, chunks, packed = run_script(nodes, script)
    assert status == 201 and not chunks and packed == [False]
