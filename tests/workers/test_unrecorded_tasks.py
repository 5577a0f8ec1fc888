"""Tasks that a worker reports without a matching allocation."""

import pytest
from conftest import Cluster


def test_unrecorded_task_is_stopped_and_blocks_its_machine(cluster: Cluster):
    assert cluster.beat("vm-1", [("run-000009/0", 3, "running", None)]) == [("stop", "run-000009/0", 3)]
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert job.allocations


REPORTED_TASKS = [("run-000001/0", 9, "running", None)]


def end_reported_task(cluster: Cluster, how: str) -> None:
    """Give the leader proof that the task reported by vm-1 is gone."""
    if how == "not reported":
        cluster.beat("vm-1")
    elif how == "exited":
        cluster.beat("vm-1", [("run-000001/0", 9, "exited", "halted")])
    elif how == "a later epoch":
        cluster.beat("vm-1", tenure=2)
    elif how == "deleted":
        cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    elif how == "the lease expired":
        for _ in range(7):
            cluster.clock.advance(2.0)
            cluster.beat("vm-2")
            cluster.fleet.expire_leases(cluster.clock())


@pytest.mark.parametrize("how", ["not reported", "exited", "a later epoch", "deleted", "the lease expired"])
def test_reported_task_is_not_started_on_another_machine(cluster: Cluster, how):
    """The reported task was once placed on another machine while it ran; only its own machine got no new tasks."""
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.scheduler.run_round()
    assert not job.allocations and job.pending_count() == 0
    end_reported_task(cluster, how)
    cluster.scheduler.run_round()
    assert job.allocations and job.unrecorded_reports == {}


def test_other_tasks_of_the_reported_job_start(cluster: Cluster):
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [1, 2]
    cluster.fleet.reset(6)
    assert job.unrecorded_reports == {}, "a new leadership relies only on reports that it receives itself"


def test_delayed_report_of_done_tasks_does_not_block_other_tasks(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    job.mark_task_done(0)
    job.mark_task_done(1)
    cluster.beat("vm-1", [(f"run-000001/{task}", 1, "running", None) for task in (0, 1)])
    assert job.pending_count() == 1
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [2]


def test_stored_start_is_not_launched_while_another_machine_reports_the_task(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1", REPORTED_TASKS)
    assert cluster.beat("vm-2") == []
    cluster.beat("vm-1")
    assert cluster.beat("vm-2") == [("launch", "run-000001/0", 1)] and job.allocations


def test_new_leader_starts_a_gang_only_if_none_of_its_tasks_is_reported(cluster: Cluster):
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.beat("vm-2")
    job = cluster.submit(1, shape="ensemble", pieces=2)
    cluster.beat("vm-1", REPORTED_TASKS)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert len(job.allocations) == 2


def test_reported_task_counts_for_team_quota_and_zone(cluster: Cluster):
    reported = [("run-000001/0", 9, "running", None)]
    cluster.beat("vm-1", zone="west")
    job = cluster.submit(1, owner="red", pieces=5, cards=4.0, samePlace=True)
    cluster.beat("vm-1", reported, zone="west")
    for name in ("vm-2", "vm-3", "vm-4", "vm-5", "vm-6"):
        cluster.beat(name, zone="west" if name in ("vm-5", "vm-6") else "east")
    cluster.scheduler.run_round()
    # Four of the 16 GPUs are in use; the job's other tasks are placed in the zone of the reported task.
    assert sorted(a.machine for a in job.allocations.values()) == ["vm-5", "vm-6"]
    other = cluster.submit(2, owner="red", pieces=5, cards=4.0)
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1
