"""Which machines are counted on."""

import pytest
from conftest import Clock, Cluster
from scripted_cloud import new_scale_out

from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.protocol import cloud_messages


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: Clock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_machines_that_only_records_name_do_not_count_as_ready_once_lists_lack_them(
    cluster: Cluster, scale_out: ScaleOut
):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.fleet.reset(token=9)
    scale_out.reset()
    cluster.fleet.begin_validity(cluster.clock())
    scale_out.inventory.apply_listing([], cluster.clock())
    assert job.allocations and "vm-1" in cluster.fleet.machines
    assert scale_out.capacity.machine_counts(cluster.clock()) == (0, 0)
    # It is deleted only when even the latest list must have named it, and then its task is free.
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    cluster.clock.tick(12.0)
    scale_out.inventory.apply_listing([], cluster.clock())
    assert [m.name for m in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-1"]


def test_a_new_leader_does_not_count_on_machines_without_a_heartbeat(cluster: Cluster, scale_out: ScaleOut):
    listed = [cloud_messages.ListedMachine(name=f"vm-{i}", type="g4", zone="west", phase="running") for i in range(4)]
    cluster.fleet.reset(token=9)
    scale_out.reset()
    cluster.fleet.begin_validity(cluster.clock())
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (4, 4)
    cluster.clock.tick(13.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    cluster.fleet.expire_leases(cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (0, 0)
    # A whole zone is rather cut off than dead.
    cluster.clock.tick(60.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
