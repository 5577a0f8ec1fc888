"""Which starts are launched, and when a worker is told to forget one."""

import pytest
from conftest import Cluster
from running_jobs import running, started

from hookwall.jobs.job import jobs_to_write
from hookwall.storage.job_records import encode_plain


def test_nothing_is_launched_before_it_is_stored(cluster: Cluster):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations and cluster.beat("vm-1") == []
    cluster.store()
    assert cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_an_exit_is_stored_before_the_worker_forgets_it(cluster: Cluster):
    job = started(cluster)
    exited = running(job, "exited", "done")
    assert cluster.beat("vm-1", exited) == []
    cluster.scheduler.run_round()
    assert job.phase == "done" and job.stored_phase == "open"
    cluster.store()
    assert cluster.beat("vm-1", exited) == [("forget", "run-000001/0", 1)]
    assert job.is_final()


def test_each_start_has_a_new_attempt_number(cluster: Cluster):
    job = started(cluster)
    exited = running(job, "exited", "halted")
    cluster.beat("vm-1", exited)
    cluster.scheduler.run_round()
    assert job.allocations[0].attempt == 2
    # The old attempt is only forgotten once the record names the new one.
    assert cluster.beat("vm-1", exited) == []
    cluster.store()
    assert cluster.beat("vm-1", exited) == [("forget", "run-000001/0", 1), ("launch", "run-000001/0", 2)]


def test_a_lost_launch_is_repeated_with_the_same_attempt(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    assert cluster.beat("vm-1") == cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_cancelled_tasks_are_stopped_and_counted_until_gone(cluster: Cluster):
    job = started(cluster)
    record = encode_plain(job.record())
    cluster.stamp += 1
    cluster.table.apply_record("hookwall/job/" + job.job_id, {**record, "phase": "withdrawn"}, cluster.stamp)
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 1.0
    assert cluster.beat("vm-1", running(job)) == [("stop", "run-000001/0", 1)]
    cluster.beat("vm-1", running(job, "exited", "halted"))
    assert not job.allocations


def test_a_cancelled_launch_is_never_sent(cluster: Cluster):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.stamp += 1
    cluster.table.apply_record(
        "hookwall/job/" + job.job_id, {**encode_plain(job.record()), "phase": "withdrawn"}, cluster.stamp
    )
    assert cluster.beat("vm-1") == []
    assert not job.allocations


def test_one_done_task_completes_its_gang_but_the_others_still_count(cluster: Cluster):
    job = started(cluster, shape="ensemble", pieces=2, cards=2.0)
    first = running(job, "exited", "done")[:1]
    cluster.beat("vm-1", first + running(job)[1:])
    assert job.done_count == 2 and list(job.allocations) == [1]
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 2.0


@pytest.mark.parametrize(
    "value", [{"phase": "open", "n": 1, "on": 7}, {"phase": "open", "n": 1, "packed": {"fixed": ["x"], "state": "y"}}]
)
def test_nothing_is_started_of_a_job_whose_newest_record_can_t_be_read(cluster: Cluster, value):
    """What an older record says may be over: its start may have been moved."""
    cluster.beat("vm-1")
    cluster.beat("vm-2")
    job, other = cluster.submit(1), cluster.submit(2, pieces=2)
    cluster.scheduler.run_round()
    cluster.store()
    name = job.allocations[0].machine
    other.remove_allocation(0)
    other.has_unsaved_starts = True
    for each in (job, other):
        cluster.table.apply_record(f"hookwall/job/{each.job_id}", value, 90)
    assert not [o for n in ("vm-1", "vm-2") for o in cluster.beat(n)]
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1 and jobs_to_write([job, other], 1e9, True) == []
    readable = encode_plain(job.record())
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", readable, 91)
    assert cluster.beat(name) == [("launch", "run-000001/0", 1)]


def test_a_stop_of_an_earlier_leadership_is_void_with_its_other_decisions(cluster: Cluster):
    """What workers reported of a start stays, as it stays true; that it was to stop was never stored."""
    job = started(cluster)
    cluster.fleet.request_stop(job, job.allocations[0], 5.0, "room for another")
    cluster.table.invalidate_decisions()
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", encode_plain(job.record()), job.version)
    cluster.fleet.reset(6)
    assert job.allocations[0].stop_grace_s is None and job.allocations[0].reported_phase == "running"
    assert cluster.beat("vm-1", running(job), token=6) == []
