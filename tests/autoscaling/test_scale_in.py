"""Which machines are drained and deleted, and which are not."""

import pytest
from conftest import Cluster, FakeClock
from scripted_cloud import new_scale_out

from hookwall.autoscaling.capacity import MachinePool
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.jobs.job import CANCELLED
from hookwall.workers.machine import MachinePhase


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def drain_idle_machine(cluster: Cluster, scale_out):
    """Let scale-in drain a machine that has been idle for long enough."""
    cluster.beat("vm-1")
    cluster.clock.advance(100.0)
    cluster.beat("vm-1")
    scale_out.demand.measure(cluster.clock())
    scale_out.scale_in.drain_excess_machines(cluster.clock())


def test_an_idle_machine_is_deleted_and_gets_no_more_work(cluster: Cluster, scale_out: ScaleOut):
    drain_idle_machine(cluster, scale_out)
    (machine,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert machine.phase is MachinePhase.DELETING
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


def test_a_shortage_of_on_demand_machines_keeps_no_spot_instances_up(cluster: Cluster, scale_out: ScaleOut):
    # Queued urgent gangs lack on-demand machines. When this shortage was part of the total need, half of the spot
    # instances stayed up idle.
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.clock.advance(100.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    cluster.submit(1, shape="ensemble", cards=4.0, pieces=4)
    cluster.scheduler.run_round()
    for zone in (0, 1):
        scale_out.backoff.record_refusal(MachinePool(0, zone, False))
    scale_out.demand.measure(cluster.clock())
    assert scale_out.planner.plan_standby(cluster.clock()) == {}, "spot instances do not cover the shortage"
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {machine.phase for machine in cluster.fleet.machines.values()} == {MachinePhase.DRAINING}
    # They return to service as soon as work that may run on spot instances is waiting.
    cluster.submit(2, pieces=40, loaners=True)
    cluster.scheduler.run_round()
    scale_out.scale_in.drain_excess_machines(cluster.clock())
    assert {machine.phase for machine in cluster.fleet.machines.values()} == {MachinePhase.UP}


def test_an_unresponsive_spot_instance_is_deleted_before_its_lease_expires(cluster: Cluster, scale_out: ScaleOut):
    cluster.clock.advance(60.0)
    for n in range(1, 4):
        cluster.beat(f"vm-{n}", spot=True)
    job = cluster.submit(1, loaners=True, pieces=12)
    cluster.scheduler.run_round()
    for _ in range(4):
        cluster.clock.advance(2.0)
        cluster.beat("vm-2", spot=True)
        cluster.beat("vm-3", spot=True)
        cluster.fleet.expire_leases(cluster.clock())
    (machine,) = scale_out.scale_in.machines_to_delete(cluster.clock())
    assert machine.name == "vm-1" and len(job.allocations) == 12
    cluster.fleet.confirm_deletion(machine, "deleted")
    assert len(job.allocations) == 8


def test_machines_of_a_partitioned_zone_are_not_deleted_at_once(cluster: Cluster, scale_out: ScaleOut):
    for n in range(1, 5):
        cluster.beat(f"vm-{n}", zone="west")
    cluster.beat("vm-9", zone="east")
    for _ in range(50):
        cluster.clock.advance(1.0)
        cluster.beat("vm-8", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
    assert [machine.name for machine in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-9"]
    cluster.clock.advance(80.0)
    assert len(scale_out.scale_in.machines_to_delete(cluster.clock())) == 5


def test_a_machine_with_tasks_is_not_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.beat("vm-1")
    cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.clock.advance(200.0)
    cluster.beat("vm-1")
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []


def test_a_machine_that_does_not_boot_in_time_is_deleted(cluster: Cluster, scale_out: ScaleOut):
    cluster.fleet.ensure_machine("vm-5", "g4", "east", False)
    cluster.clock.advance(25.0 * 5 + 1)
    assert [machine.name for machine in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-5"]


def test_the_first_unresponsive_machines_of_a_partitioned_zone_are_not_deleted(cluster: Cluster, scale_out: ScaleOut):
    """The heartbeats of a zone are spread over two seconds, and spot instances are deleted after about six seconds."""
    cluster.clock.advance(60.0)
    for n in range(8):
        cluster.clock.advance(0.25)
        cluster.beat(f"vm-{n}", zone="west", spot=True)
    for _ in range(26):
        cluster.clock.advance(0.25)
        cluster.beat("vm-9", zone="east")
        cluster.fleet.expire_leases(cluster.clock())
        assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    assert any(machine.unresponsive for machine in cluster.fleet.machines.values())


def test_a_machine_whose_lease_expired_with_cancelled_tasks_is_deleted_before_they_can_resume(
    cluster: Cluster, scale_out: ScaleOut
):
    """A hung machine keeps its tasks until it resumes, so it must not be given the usual on-demand grace period."""
    for name in ("vm-1", "vm-2"):
        cluster.beat(name)
    cancelled, other = cluster.submit(1, pieces=4), cluster.submit(2, pieces=4)
    cluster.scheduler.run_round()
    cluster.store()
    machine_of = {job.job_id: job.allocations[0].machine for job in (cancelled, other)}
    cluster.table.apply_cancellation(cancelled.job_id, cluster.stamp + 1)
    assert cancelled.phase == CANCELLED
    cluster.clock.advance(13.0)
    cluster.fleet.expire_leases(cluster.clock())
    assert [machine.name for machine in scale_out.scale_in.machines_to_delete(cluster.clock())] == [
        machine_of[cancelled.job_id]
    ]
    # A heartbeat of a later epoch shows that no task of the earlier epoch is left on the machine.
    cluster.fleet.transition_to(cluster.fleet.machines[machine_of[cancelled.job_id]], MachinePhase.UP, "back")
    cluster.beat(machine_of[cancelled.job_id], tenure=2, tick=1)
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
