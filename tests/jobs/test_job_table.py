"""The job table and job records: when records are applied, the order of writes, and the start of a job's queue time."""

import json

import pytest
from conftest import Cluster, FakeClock, description
from sample_records import chunked_record

from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import jobs_to_write
from hookwall.jobs.job_table import JobTable
from hookwall.storage.job_records import encode_plain
from hookwall.storage.task_ranges import decode_ranges, encode_ranges


def test_task_ranges_round_trip_and_stay_small():
    for numbers in ([], [0], [3, 4, 5], [0, 2, 4, 5, 6, 99_999]):
        assert decode_ranges(encode_ranges(numbers)) == numbers
    assert encode_ranges(range(100_000)) == "0-99999"


def test_a_record_of_100_000_tasks_fits_the_value_limit(cluster: Cluster, params: PlatformParameters):
    job = cluster.submit(1, pieces=100_000, cards=0.0, cores=0.01, memGb=0.0)
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    for _ in range(5):
        cluster.scheduler.run_round()
    assert job.allocations
    assert len(json.dumps(encode_plain(job.record()))) < params.state.value_kb * 1024


def test_starts_are_stored_before_ends_of_single_tasks(cluster: Cluster):
    ended, started, done = cluster.submit(1, pieces=2), cluster.submit(2), cluster.submit(3)
    cluster.beat("vm-1")
    now = cluster.clock()
    ended.mark_task_done(0)
    cluster.fleet.allocate(started, 0, cluster.fleet.machines["vm-1"], 1, now)
    done.phase, done.has_unsaved_changes = "done", True
    assert jobs_to_write(cluster.table.open_jobs.values(), now, has_spare_changes=True) == [done, started]
    later = [now + 2.0, now + 16.0]
    assert jobs_to_write(cluster.table.open_jobs.values(), later[0], has_spare_changes=True) == [done, started, ended]
    # While the store has no spare changes, the end of a single task waits longer, but not indefinitely.
    assert jobs_to_write(cluster.table.open_jobs.values(), later[0], has_spare_changes=False) == [done, started]
    assert jobs_to_write(cluster.table.open_jobs.values(), later[1], has_spare_changes=False) == [done, started, ended]


def test_the_start_that_waits_longest_is_stored_first_regardless_of_submission_order(cluster: Cluster):
    old, new = cluster.submit(1), cluster.submit(2)
    cluster.beat("vm-1")
    machine = cluster.fleet.machines["vm-1"]
    cluster.fleet.allocate(new, 0, machine, 1, cluster.clock())
    jobs_to_write(cluster.table.open_jobs.values(), cluster.clock(), has_spare_changes=False)
    cluster.clock.advance(1.0)
    cluster.fleet.allocate(old, 0, machine, 1, cluster.clock())
    assert jobs_to_write(cluster.table.open_jobs.values(), cluster.clock(), has_spare_changes=False) == [new, old]


@pytest.mark.parametrize("record_first", [True, False])
def test_a_record_is_applied_once_its_chunks_are_known_in_any_order(clock: FakeClock, record_first):
    table = JobTable(clock)
    key, encoded = chunked_record()
    if record_first:
        table.apply_record(key, encoded.value, 9)
        assert table.jobs["run-000001"].version == 0 and len(table.missing_chunks("run-000001")) == len(encoded.chunks)
    for chunk_key, text in encoded.chunks.items():
        table.apply_chunk(chunk_key, text, 1)
    if not record_first:
        table.apply_record(key, encoded.value, 9)
    assert table.jobs["run-000001"].version == 9 and table.jobs["run-000001"].spec.dependencies


def test_a_cancellation_is_applied_immediately_even_if_chunks_of_its_record_are_missing(clock: FakeClock):
    table = JobTable(clock)
    key, encoded = chunked_record()
    table.apply_record(key, {**encoded.value, "phase": "withdrawn"}, 9)
    assert table.is_cancelled("run-000001")


def test_a_job_is_queued_since_the_end_of_its_last_dependency(clock: FakeClock):
    table = JobTable(clock)
    needed = {"phase": "open", "n": 1, "next": 1, "on": [], "spec": description(1), "at": 10.0, "done": ""}
    waiting = {**needed, "spec": description(2, awaits=["run-000001"]), "at": 20.0}
    table.apply_record("hookwall/job/run-000001", needed, 5)
    table.apply_record("hookwall/job/run-000002", waiting, 6)
    assert table.jobs["run-000002"].queued_at == 20.0 and "run-000002" in table.blocked_jobs
    table.apply_record("hookwall/job/run-000001", {"phase": "done", "n": 1, "next": 2, "on": [], "ended": 50.0}, 7)
    assert table.jobs["run-000002"].queued_at == 50.0 and "run-000002" in table.open_jobs
