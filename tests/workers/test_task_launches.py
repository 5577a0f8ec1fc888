"""Which stored starts are launched, and when a worker is told to forget a task."""

import pytest
from conftest import Cluster
from running_jobs import start_job, task_statuses

from hookwall.jobs.job import jobs_to_write
from hookwall.storage.job_records import encode_plain


def test_allocation_is_launched_only_after_it_is_stored(cluster: Cluster):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations and cluster.beat("vm-1") == []
    cluster.store()
    assert cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_exit_is_stored_before_the_worker_forgets_it(cluster: Cluster):
    job = start_job(cluster)
    exited = task_statuses(job, "exited", "done")
    assert cluster.beat("vm-1", exited) == []
    cluster.scheduler.run_round()
    assert job.phase == "done" and job.stored_phase == "open"
    cluster.store()
    assert cluster.beat("vm-1", exited) == [("forget", "run-000001/0", 1)]
    assert job.is_final()


def test_each_start_has_a_new_attempt_number(cluster: Cluster):
    job = start_job(cluster)
    exited = task_statuses(job, "exited", "halted")
    cluster.beat("vm-1", exited)
    cluster.scheduler.run_round()
    assert job.allocations[0].attempt == 2
    # The worker is told to forget the old attempt only after the record names the new one.
    assert cluster.beat("vm-1", exited) == []
    cluster.store()
    assert cluster.beat("vm-1", exited) == [("forget", "run-000001/0", 1), ("launch", "run-000001/0", 2)]


def test_lost_launch_is_repeated_with_the_same_attempt(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    assert cluster.beat("vm-1") == cluster.beat("vm-1") == [("launch", "run-000001/0", 1)]


def test_cancelled_tasks_are_stopped_and_count_as_usage_until_gone(cluster: Cluster):
    job = start_job(cluster)
    record = encode_plain(job.record())
    cluster.stamp += 1
    cluster.table.apply_record("hookwall/job/" + job.job_id, {**record, "phase": "withdrawn"}, cluster.stamp)
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 1.0
    assert cluster.beat("vm-1", task_statuses(job)) == [("stop", "run-000001/0", 1)]
    cluster.beat("vm-1", task_statuses(job, "exited", "halted"))
    assert not job.allocations


def test_launch_of_cancelled_job_is_never_sent(cluster: Cluster):
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


def test_success_of_one_task_completes_its_gang_but_other_tasks_still_count_as_usage(cluster: Cluster):
    job = start_job(cluster, shape="ensemble", pieces=2, cards=2.0)
    first = task_statuses(job, "exited", "done")[:1]
    cluster.beat("vm-1", first + task_statuses(job)[1:])
    assert job.done_count == 2 and list(job.allocations) == [1]
    assert cluster.scheduler.round_state(cluster.clock()).usage[job.team_index].gpus == 2.0


@pytest.mark.parametrize(
    "value", [{"phase": "open", "n": 1, "on": 7}, {"phase": "open", "n": 1, "packed": {"fixed": ["x"], "state": "y"}}]
)
def test_no_task_is_started_while_the_newest_job_record_is_unreadable(cluster: Cluster, value):
    """An older record may be outdated: its task may have been moved to another machine since."""
    cluster.beat("vm-1")
    cluster.beat("vm-2")
    job, other = cluster.submit(1), cluster.submit(2, pieces=2)
    cluster.scheduler.run_round()
    cluster.store()
    name = job.allocations[0].machine
    other.remove_allocation(0)
    other.has_unsaved_starts = True
    for unreadable in (job, other):
        cluster.table.apply_record(f"hookwall/job/{unreadable.job_id}", value, 90)
    assert not [command for machine in ("vm-1", "vm-2") for command in cluster.beat(machine)]
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1 and jobs_to_write([job, other], 1e9, True) == []
    readable = encode_plain(job.record())
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", readable, 91)
    assert cluster.beat(name) == [("launch", "run-000001/0", 1)]


def test_stop_request_of_an_earlier_leadership_is_void(cluster: Cluster):
    """The reported phase of a start is kept as it remains true. The stop request was never stored, so it is void."""
    job = start_job(cluster)
    cluster.fleet.request_stop(job, job.allocations[0], 5.0, "room for another")
    cluster.table.invalidate_decisions()
    cluster.table.apply_record(f"hookwall/job/{job.job_id}", encode_plain(job.record()), job.version)
    cluster.fleet.reset(6)
    assert job.allocations[0].stop_grace_s is None and job.allocations[0].reported_phase == "running"
    assert cluster.beat("vm-1", task_statuses(job), token=6) == []
