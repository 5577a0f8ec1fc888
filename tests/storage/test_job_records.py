"""Encoding of job records: every form fits its limit and decodes to the original record."""

import random

import msgspec
import pytest
from conftest import description

from hookwall.protocol import job_messages
from hookwall.storage import job_records, keys
from hookwall.storage.chunk_table import ChunkTable
from hookwall.storage.errors import MalformedRecordError, MissingChunksError, RecordTooLargeError
from hookwall.storage.job_records import JobRecord

JOB_ID = "run-000001"
LIMIT = job_records.usable_value_bytes(2.0)


def record(starts: int = 0, tasks: int = 10, done: str = "", **changes) -> JobRecord:
    spec = msgspec.convert(description(1, pieces=tasks, **changes), job_messages.JobSpec)
    allocations = [(f"vm-{n * 7:06d}", 1 + n % 3, n % 9, f"{n}") for n in range(starts)]
    return JobRecord(
        task_count=tasks, next_attempt=9, allocations=allocations, spec=spec, submitted_at=1_700_000_000.25,
        done_tasks=done,
    )  # fmt: skip


def job_ids(count: int, digits: int) -> list[str]:
    rng = random.Random(3)
    return [f"run-{rng.randrange(10 ** (digits - 1), 10**digits)}" for _ in range(count)]


SCATTERED_DONE_TASKS = job_records.encode_ranges(random.Random(5).sample(range(100_000), 3000))


@pytest.mark.parametrize(
    ("value", "forms"),
    [
        (record(), (dict, dict, 0)),
        (record(starts=90, tasks=200), (str, str, 0)),
        (record(starts=50, tasks=200, awaits=job_ids(120, 12)), (list, str, None)),
        (record(starts=400, tasks=100_000, done=SCATTERED_DONE_TASKS), (list, list, None)),
        (record(awaits=job_ids(2500, 18), bundle="i" * 120, hulls=["t" * 120 + str(n) for n in range(64)]),
         (list, str, None)),
    ],
    ids=["plain", "packed", "description in chunks", "both in chunks", "longest submission"],
)  # fmt: skip
def test_every_form_fits_the_limit_and_decodes_to_the_same_record(value, forms):
    encoded = job_records.encode_record(JOB_ID, value, LIMIT)
    description_form, state_form, chunks = forms
    packed = encoded.value.get("packed", {"fixed": {}, "state": {}})
    assert (type(packed["fixed"]), type(packed["state"])) == (description_form, state_form)
    assert chunks is None or len(encoded.chunks) == chunks
    assert all(job_records.json_bytes(v) <= LIMIT for v in (encoded.value, *encoded.chunks.values()))
    assert job_records.chunk_keys(JOB_ID, encoded.value) == list(encoded.chunks)
    assert job_records.decode_record(JOB_ID, encoded.value, encoded.chunks.get) == value
    assert all(len(key) <= 200 and " " not in key for key in encoded.chunks)


def test_a_change_of_state_leaves_the_chunks_of_the_description_unchanged():
    first = job_records.encode_record(JOB_ID, record(starts=200, tasks=400, awaits=job_ids(120, 12)), LIMIT)
    second = job_records.encode_record(JOB_ID, record(starts=250, tasks=400, awaits=job_ids(120, 12)), LIMIT)
    assert first.value["packed"]["fixed"] == second.value["packed"]["fixed"]
    assert first.value["packed"]["state"] != second.value["packed"]["state"]


def test_decoding_a_record_without_a_chunk_raises_an_error_that_names_the_chunk():
    encoded = job_records.encode_record(JOB_ID, record(awaits=job_ids(300, 18)), LIMIT)
    incomplete_chunks = dict(list(encoded.chunks.items())[1:])
    with pytest.raises(MissingChunksError) as error:
        job_records.decode_record(JOB_ID, encoded.value, incomplete_chunks.get)
    assert error.value.keys == [next(iter(encoded.chunks))]


def test_a_packed_record_still_fits_after_a_change_of_phase():
    encoded = job_records.encode_record(JOB_ID, record(starts=90, tasks=200), LIMIT)
    assert job_records.json_bytes({**encoded.value, "phase": "withdrawn"}) <= 2048


def test_a_record_that_fits_in_no_form_is_refused():
    with pytest.raises(RecordTooLargeError):
        job_records.encode_record(JOB_ID, record(awaits=job_ids(2500, 18)), job_records.usable_value_bytes(0.5))


def test_without_a_limit_a_record_is_encoded_in_its_plain_form():
    assert "packed" not in job_records.encode_record(JOB_ID, record(starts=400, tasks=1000), None).value


@pytest.mark.parametrize(
    "value",
    [
        "text",
        {"phase": 3},
        {"on": [["vm-1", "x", 1, "0"]]},
        {"packed": {}},
        {"packed": {"fixed": "!", "state": "!"}},
        {"packed": {"fixed": job_records.compress([1, 2]), "state": job_records.compress([[], None])}},
        {"packed": {"fixed": job_records.compress([None, None])[:-8], "state": job_records.compress([[], None])}},
    ],
)
def test_decoding_a_malformed_record_raises_malformed_record_error(value):
    with pytest.raises(MalformedRecordError):
        job_records.decode_record(JOB_ID, value, lambda key: None)


def test_a_chunk_written_again_after_its_removal_is_kept():
    """The watch may deliver the removal of a chunk after this node has written the chunk again."""
    chunks = ChunkTable()
    key = f"{keys.CHUNK_PREFIX}run-000001/abc"
    chunks.add(key, "text", 5)
    chunks.add(key, "text", 9)
    chunks.remove(key, 7)
    assert chunks.get(key) == "text"
    chunks.remove(key, 9)
    assert chunks.get(key) is None
