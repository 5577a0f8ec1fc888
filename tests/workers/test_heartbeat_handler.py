"""What a heartbeat proves about a machine and its tasks, and that a delayed duplicate changes nothing."""

import pytest
from conftest import Cluster
from running_jobs import start_job, task_statuses

from hookwall.workers.machine import MachinePhase


def test_unreported_task_is_released_only_with_current_fencing_token(cluster: Cluster):
    job = start_job(cluster)
    job.phase = "withdrawn"
    # A launch of an older leader could still reach a worker that has not seen the current token.
    cluster.beat("vm-1", token=4)
    assert job.allocations
    # A copy of the launch, which carried token 5, could still reach a worker that has not seen a higher one.
    launch_token = job.allocations[0].launch_token
    cluster.beat("vm-1", token=launch_token)
    assert job.allocations and cluster.tokens_seen["vm-1"] > launch_token == 5
    cluster.beat("vm-1")
    assert not job.allocations


def test_older_heartbeat_is_ignored(cluster: Cluster):
    job = start_job(cluster)
    assert cluster.beat("vm-1", [], tick=1) is None
    assert job.allocations[0].reported_phase == "running"


def test_later_epoch_releases_tasks_of_earlier_epochs(cluster: Cluster):
    job = start_job(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    assert not job.allocations
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_confirmed_deletion_releases_tasks(cluster: Cluster):
    job = start_job(cluster)
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert not job.allocations and "vm-1" not in cluster.fleet.machines


def test_preemption_notice_stops_tasks_gracefully_and_blocks_new_tasks(cluster: Cluster):
    job = start_job(cluster, spot=False)
    cluster.beat("vm-1", task_statuses(job), notice=12.0)
    assert cluster.beat("vm-1", task_statuses(job)) == [("stop", "run-000001/0", 1)]
    other = cluster.submit(2)
    cluster.scheduler.run_round()
    assert not other.allocations


def test_machine_is_quarantined_after_failures_of_two_jobs(cluster: Cluster):
    for n in (1, 2):
        job = start_job(cluster, n)
        cluster.beat("vm-1", task_statuses(job, "exited", "error"))
        cluster.store()
        job.phase = "withdrawn"
    assert cluster.fleet.machines["vm-1"].phase is MachinePhase.QUARANTINED


def test_job_that_fails_on_every_machine_quarantines_none(cluster: Cluster):
    job = cluster.submit(1)
    for i in range(6):
        name = f"vm-{i}"
        cluster.beat(name)
        cluster.clock.advance(70.0)
        cluster.beat(name)
        cluster.scheduler.run_round()
        cluster.store()
        if job.allocations:
            at = job.allocations[0].machine
            cluster.beat(at, task_statuses(job, "exited", "error"))
    assert sum(m.phase is MachinePhase.QUARANTINED for m in cluster.fleet.machines.values()) == 0


@pytest.mark.parametrize("tasks", [[("nonsense", 1, "running", None)], [("run-1/x", 1, "exited", None)]])
def test_malformed_task_ids_in_a_heartbeat_are_ignored(cluster: Cluster, tasks):
    assert cluster.beat("vm-1", tasks) == []


def submit_and_place(cluster: Cluster, n):
    """Submit a job and return whether the next scheduling round places a task of any job."""
    cluster.submit(n)
    before = sum(len(j.allocations) for j in cluster.table.open_jobs.values())
    cluster.scheduler.run_round()
    return sum(len(j.allocations) for j in cluster.table.open_jobs.values()) > before


def test_machine_that_receives_no_responses_gets_no_tasks_until_it_receives_one(cluster: Cluster):
    cluster.beat("vm-1")
    assert submit_and_place(cluster, 1)
    # The worker receives no responses for longer than its lease, but its heartbeats still arrive.
    for epoch in (2, 3, 4):
        cluster.clock.advance(15.0)
        cluster.fleet.expire_leases(cluster.clock())
        cluster.beat("vm-1", tenure=epoch)
        assert not submit_and_place(cluster, 10 + epoch)
    assert cluster.fleet.machines["vm-1"].unresponsive, (
        "its heartbeats arrive, but it receives no responses, so it is replaced"
    )
    cluster.clock.advance(2.0)
    cluster.beat("vm-1", tenure=4)
    assert submit_and_place(cluster, 20)


def test_heartbeat_without_current_fencing_token_makes_no_machine_schedulable(cluster: Cluster):
    # A new leader has seen no newer heartbeat, so this one may be an old duplicate.
    cluster.beat("vm-1", token=3, tick=7)
    assert not submit_and_place(cluster, 1)
    cluster.clock.advance(0.5)
    cluster.beat("vm-1", token=5, tick=8)
    assert submit_and_place(cluster, 2)


def test_new_worker_gets_its_first_task_in_the_second_response(cluster: Cluster):
    job = cluster.submit(1)
    assert cluster.beat("vm-1", token=0, tick=1) == []
    cluster.scheduler.run_round()
    cluster.store()
    cluster.clock.advance(0.5)
    assert cluster.beat("vm-1", tick=2) == [("launch", f"{job.job_id}/0", 1)]
    # A new worker whose second heartbeat shows that it received no response gets no more tasks.
    cluster.submit(2, pieces=3)
    cluster.scheduler.run_round()
    cluster.beat("vm-2", token=0, tick=1)
    assert submit_and_place(cluster, 3)
    cluster.clock.advance(5.0)
    cluster.beat("vm-2", token=0, tick=2)
    assert not submit_and_place(cluster, 4)


def test_delayed_heartbeat_of_earlier_epoch_releases_nothing(cluster: Cluster):
    job = start_job(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    cluster.clock.advance(1.0)
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    cluster.store()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)
    cluster.fleet.reset(token=9)
    assert cluster.beat("vm-1", tenure=1, tick=9) is None
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_delayed_heartbeat_does_not_undo_an_exit(cluster: Cluster):
    job = start_job(cluster, pieces=2)
    statuses = task_statuses(job)
    cluster.beat("vm-1", [(statuses[0][0], 1, "exited", "done"), statuses[1]])
    assert job.done_count == 1
    assert cluster.beat("vm-1", statuses, tick=2) is None
    assert job.done_count == 1 and list(job.allocations) == [1]
    # A new leader receives the duplicate first: tasks that the record marks as done stay done and are not restarted.
    cluster.store()
    cluster.fleet.reset(token=9)
    assert [command for command in cluster.beat("vm-1", statuses, tick=2) if command[0] == "launch"] == []
    assert job.done_count == 1 and list(job.allocations) == [1]


def test_delayed_heartbeat_does_not_bring_back_a_deleted_machine(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert cluster.beat("vm-1", tick=50) is None
    assert "vm-1" not in cluster.fleet.machines
