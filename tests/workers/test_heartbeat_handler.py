"""What a heartbeat shows of a machine and its tasks, and what a late copy must not. Each test guards a rule."""

import pytest
from conftest import Cluster
from running_jobs import running, started

from hookwall.workers.machine import MachinePhase


def test_absence_from_a_heartbeat_proves_nothing_without_our_fencing_token(cluster: Cluster):
    job = started(cluster)
    job.phase = "withdrawn"
    # An older leader's launch could still reach a worker that has not seen our token.
    cluster.beat("vm-1", token=4)
    assert job.allocations
    cluster.beat("vm-1", token=5)
    assert not job.allocations


def test_an_older_heartbeat_is_ignored(cluster: Cluster):
    job = started(cluster)
    assert cluster.beat("vm-1", [], tick=1) is None
    assert job.allocations[0].reported_phase == "running"


def test_a_later_epoch_shows_that_the_tasks_are_gone(cluster: Cluster):
    job = started(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    assert not job.allocations
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_a_confirmed_deletion_releases_the_tasks(cluster: Cluster):
    job = started(cluster)
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert not job.allocations and "vm-1" not in cluster.fleet.machines


def test_a_machine_with_a_preemption_notice_stops_its_tasks_in_order_and_gets_no_more(cluster: Cluster):
    job = started(cluster, spot=False)
    cluster.beat("vm-1", running(job), notice=12.0)
    assert cluster.beat("vm-1", running(job)) == [("stop", "run-000001/0", 1)]
    other = cluster.submit(2)
    cluster.scheduler.run_round()
    assert not other.allocations


def test_a_machine_that_fails_tasks_of_two_jobs_is_quarantined(cluster: Cluster):
    for n in (1, 2):
        job = started(cluster, n)
        cluster.beat("vm-1", running(job, "exited", "error"))
        cluster.store()
        job.phase = "withdrawn"
    assert cluster.fleet.machines["vm-1"].phase is MachinePhase.QUARANTINED


def test_a_job_that_fails_everywhere_quarantines_no_machine(cluster: Cluster):
    job = cluster.submit(1)
    for i in range(6):
        name = f"vm-{i}"
        cluster.beat(name)
        cluster.clock.tick(70.0)
        cluster.beat(name)
        cluster.scheduler.run_round()
        cluster.store()
        if job.allocations:
            at = job.allocations[0].machine
            cluster.beat(at, running(job, "exited", "error"))
    assert sum(m.phase is MachinePhase.QUARANTINED for m in cluster.fleet.machines.values()) == 0


@pytest.mark.parametrize("bad", [[("nonsense", 1, "running", None)], [("run-1/x", 1, "exited", None)]])
def test_malformed_task_ids_in_a_heartbeat_are_ignored(cluster: Cluster, bad):
    assert cluster.beat("vm-1", bad) == []


def placed(cluster: Cluster, n):
    """Whether a new job, or one that waits, finds a machine now."""
    cluster.submit(n)
    before = sum(len(j.allocations) for j in cluster.table.open_jobs.values())
    cluster.scheduler.run_round()
    return sum(len(j.allocations) for j in cluster.table.open_jobs.values()) > before


def test_a_machine_that_receives_no_responses_gets_no_work_until_it_does(cluster: Cluster):
    cluster.beat("vm-1")
    assert placed(cluster, 1)
    # It got no response for a lease, while its heartbeats went on to arrive.
    for epoch in (2, 3, 4):
        cluster.clock.tick(15.0)
        cluster.fleet.expire_leases(cluster.clock())
        cluster.beat("vm-1", tenure=epoch)
        assert not placed(cluster, 10 + epoch)
    assert cluster.fleet.machines["vm-1"].unresponsive, (
        "it looks alive, but is as good as unresponsive, and so replaced"
    )
    cluster.clock.tick(2.0)
    cluster.beat("vm-1", tenure=4)
    assert placed(cluster, 20)


def test_a_heartbeat_without_our_fencing_token_makes_no_machine_schedulable(cluster: Cluster):
    # A new leader has seen nothing newer: this may be a copy from long ago.
    cluster.beat("vm-1", token=3, tick=7)
    assert not placed(cluster, 1)
    cluster.clock.tick(0.5)
    cluster.beat("vm-1", token=5, tick=8)
    assert placed(cluster, 2)


def test_a_worker_that_has_just_begun_gets_its_first_task_in_the_second_response(cluster: Cluster):
    job = cluster.submit(1)
    assert cluster.beat("vm-1", token=0, tick=1) == []
    cluster.scheduler.run_round()
    cluster.store()
    cluster.clock.tick(0.5)
    assert cluster.beat("vm-1", tick=2) == [("launch", f"{job.job_id}/0", 1)]
    # But one that shows then that it has not heard gets no more.
    cluster.submit(2, pieces=3)
    cluster.scheduler.run_round()
    cluster.beat("vm-2", token=0, tick=1)
    assert placed(cluster, 3)
    cluster.clock.tick(5.0)
    cluster.beat("vm-2", token=0, tick=2)
    assert not placed(cluster, 4)


def test_a_late_copy_of_an_earlier_epoch_releases_nothing(cluster: Cluster):
    job = started(cluster)
    cluster.beat("vm-1", tenure=2, tick=1)
    cluster.clock.tick(1.0)
    cluster.beat("vm-1", tenure=2, tick=2)
    cluster.scheduler.run_round()
    cluster.store()
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)
    cluster.fleet.reset(token=9)
    assert cluster.beat("vm-1", tenure=1, tick=9) is None
    assert (job.allocations[0].epoch, job.allocations[0].attempt) == (2, 2)


def test_a_late_copy_undoes_no_exit(cluster: Cluster):
    job = started(cluster, pieces=2)
    both = running(job)
    cluster.beat("vm-1", [(both[0][0], 1, "exited", "done"), both[1]])
    assert job.done_count == 1
    assert cluster.beat("vm-1", both, tick=2) is None
    assert job.done_count == 1 and list(job.allocations) == [1]
    # A new leader sees the copy first: what the record calls done stays done, and nothing is started again.
    cluster.store()
    cluster.fleet.reset(token=9)
    assert [o for o in cluster.beat("vm-1", both, tick=2) if o[0] == "launch"] == []
    assert job.done_count == 1 and list(job.allocations) == [1]


def test_a_late_copy_does_not_bring_back_a_deleted_machine(cluster: Cluster):
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    assert cluster.beat("vm-1", tick=50) is None
    assert "vm-1" not in cluster.fleet.machines
