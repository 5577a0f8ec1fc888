"""Tasks that a worker reports and that no allocation explains."""

import pytest
from conftest import Cluster


def test_a_task_that_no_record_names_is_stopped_and_blocks_its_machine(cluster: Cluster):
    assert cluster.beat("vm-1", [("run-000009/0", 3, "running", None)]) == [("stop", "run-000009/0", 3)]
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert job.allocations


REPORTED = [("run-000001/0", 9, "running", None)]


def ends_there(cluster: Cluster, how: str) -> None:
    """The task that vm-1 reports is not there any more."""
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
            cluster.clock.tick(2.0)
            cluster.beat("vm-2")
            cluster.fleet.expire_leases(cluster.clock())


@pytest.mark.parametrize("how", ["not reported", "exited", "a later epoch", "deleted", "the lease expired"])
def test_a_task_that_a_worker_reports_is_not_started_elsewhere(cluster: Cluster, how):
    """Only the machine was left alone; the task itself was placed on the next one while it ran."""
    cluster.beat("vm-1", REPORTED)
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.beat("vm-1", REPORTED)
    cluster.scheduler.run_round()
    assert not job.allocations and job.pending_count() == 0
    ends_there(cluster, how)
    cluster.scheduler.run_round()
    assert job.allocations and job.unrecorded_sightings == {}


def test_other_tasks_of_the_job_start(cluster: Cluster):
    cluster.beat("vm-1", REPORTED)
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    cluster.beat("vm-1", REPORTED)
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [1, 2]
    cluster.fleet.reset(6)
    assert job.unrecorded_sightings == {}, "a new leadership believes its own reports only"


def test_a_late_copy_that_shows_tasks_that_are_done_holds_up_no_other(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1, pieces=3)
    job.mark_task_done(0)
    job.mark_task_done(1)
    cluster.beat("vm-1", [(f"run-000001/{task}", 1, "running", None) for task in (0, 1)])
    assert job.pending_count() == 1
    cluster.scheduler.run_round()
    assert sorted(job.allocations) == [2]


def test_a_start_is_not_launched_while_another_machine_reports_the_task(cluster: Cluster):
    cluster.beat("vm-2")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1", REPORTED)
    assert cluster.beat("vm-2") == []
    cluster.beat("vm-1")
    assert cluster.beat("vm-2") == [("launch", "run-000001/0", 1)] and job.allocations


def test_a_new_leader_starts_a_gang_only_if_none_of_its_tasks_is_reported(cluster: Cluster):
    cluster.beat("vm-1", REPORTED)
    cluster.beat("vm-2")
    job = cluster.submit(1, shape="ensemble", pieces=2)
    cluster.beat("vm-1", REPORTED)
    cluster.scheduler.run_round()
    assert not job.allocations
    cluster.beat("vm-1")
    cluster.scheduler.run_round()
    assert len(job.allocations) == 2


def test_a_task_that_a_worker_reports_counts_for_its_team_s_quota_and_its_zone(cluster: Cluster):
    red = [("run-000001/0", 9, "running", None)]
    cluster.beat("vm-1", zone="west")
    job = cluster.submit(1, owner="red", pieces=5, cards=4.0, samePlace=True)
    cluster.beat("vm-1", red, zone="west")
    for name in ("vm-2", "vm-3", "vm-4", "vm-5", "vm-6"):
        cluster.beat(name, zone="west" if name in ("vm-5", "vm-6") else "east")
    cluster.scheduler.run_round()
    # Of 16 GPUs four are in use; its other tasks go to the zone of the first.
    assert sorted(a.machine for a in job.allocations.values()) == ["vm-5", "vm-6"]
    other = cluster.submit(2, owner="red", pieces=5, cards=4.0)
    cluster.scheduler.run_round()
    assert len(other.allocations) == 1
