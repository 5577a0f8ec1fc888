"""Which machines are drained and deleted, and which are not."""

import pytest
from conftest import Clock, Cluster
from scripted_cloud import new_scale_out

from hookwall.autoscaling.capacity import MachinePool
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED
from hookwall.workers.machine import MachinePhase


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: Clock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def drain_idle_machine(cluster: Cluster, scale_out):
    """Let scale-in drain one machine that nobody has needed for long."""
    cluster.beat("vm-1")
    cluster.clock.tick(100.0)
    cluster.beat("vm-1")
    scale_out.demand.measure(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())


def test_an_idle_machine_is_deleted_and_gets_no_more_work(cluster: Cluster, scale_out: ScaleOut):
    drain_idle_machine(cluster, scale_out)
    (m,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert m.phase is MachinePhase.DELETING
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert not job.allocations


def test_a_drained_machine_is_used_again_when_jobs_wait(cluster: Cluster, scale_out: ScaleOut):
    drain_idle_machine(cluster, scale_out)
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    scale_out.demand.measure(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    cluster.scheduler.run_round()
    assert job.allocations


def test_spot_instances_do_not_stand_idle_for_work_that_can_not_use_them(cluster: Cluster, scale_out: ScaleOut):
    # In a queue of urgent gangs, need in all was what they lacked too, and half of the spot instances idled.
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.clock.tick(100.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.submit(1, shape="ensemble", cards=4.0, pieces=4)
    cluster.scheduler.run_round()
    for zone in (0, 1):
        scale_out.backoff.record_refusal(MachinePool(0, zone, False))
    scale_out.demand.measure(cluster.clock())
    assert scale_out.planner.plan_standby(cluster.clock()) == {}, "and none is provisioned for it"
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.DRAINING}
    # As soon as work waits that may use them, they are.
    cluster.submit(2, pieces=40, loaners=True)
    cluster.scheduler.run_round()
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {m.phase for m in cluster.fleet.machines.values()} == {MachinePhase.UP}


def test_an_unresponsive_spot_instance_is_deleted_before_its_lease_is_over(cluster: Cluster, scale_out: ScaleOut):
    cluster.clock.tick(60.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    job = cluster.submit(1, loaners=True, pieces=12)
    cluster.scheduler.run_round()
    for _ in range(4):
        cluster.clock.tick(2.0)
        cluster.beat("vm-2", spot=True)
        cluster.beat("vm-3", spot=True)
        cluster.fleet.expire_leases(cluster.clock())
    (m,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert m.name == "vm-1" and len(job.allocations) == 12
    cluster.fleet.confirm_deletion(m, "deleted")
    assert len(job.allocations) == 8


def test_machines_of_a_zone_that_is_cut_off_are_not_deleted_at_once(cluster: Cluster, scale_out: ScaleOut):
    for n in range(1, 5):
        cluster.beat(f"vm-{n}", zone="west")
    cluster.beat("vm-9", zone="east")
    for _ in range(50):
        cluster.clock.tick(1.0)
        cluster.beat("vm-8", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-9"]
    cluster.clock.tick(80.0)
    assert len(scale_out.scale_in.machines_to_delete(cluster.clock())) == 5


def test_a_machine_with_tasks_is_not_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.clock.tick(200.0)
    cluster.beat("vm-1")
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_machine_that_never_comes_up_is_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    cluster.clock.tick(25.0 * 5 + 1)
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-5"]


def test_the_first_unresponsive_machines_of_a_cut_off_zone_are_not_deleted_either(
    cluster: Cluster, scale_out: ScaleOut
):
    """Heartbeats are spread over two seconds, and spot instances are given up after six."""
    cluster.clock.tick(60.0)
    for n in range(8):
        cluster.clock.tick(0.25)
        cluster.beat(f"vm-{n}", zone="west", spot=True)
    for _ in range(26):
        cluster.clock.tick(0.25)
        cluster.beat("vm-9", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
        assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    assert any(m.unresponsive for m in cluster.fleet.machines.values())


def test_a_machine_whose_lease_ended_with_cancelled_tasks_is_deleted_before_they_could_go_on(
    cluster: Cluster, scale_out: ScaleOut
):
    """One that hangs has its tasks until it goes on, and an on-demand one is given the time to come back."""
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    off, other = cluster.submit(1, pieces=4), cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    cluster.store()
    at = {job.job_id: job.allocations[0].machine for job in (off, other)}
    cluster.table.apply_cancellation(off.job_id, cluster.stamp + 1)
    assert off.phase == CANCELLED
    cluster.clock.tick(13.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == [at[off.job_id]]
    # A heartbeat of a later epoch shows that nothing is there any more.
    cluster.fleet.transition_to(cluster.fleet.machines[at[off.job_id]], MachinePhase.UP, "back")
    cluster.beat(at[off.job_id], tenure=2, tick=1)
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
