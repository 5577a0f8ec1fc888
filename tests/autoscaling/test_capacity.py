"""Which machines count as ready or expected."""

import pytest
from conftest import Cluster, FakeClock
from scripted_cloud import new_scale_out

from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.protocol import cloud_messages


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_machines_known_only_from_records_do_not_count_once_missing_from_the_list(
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
    # The machine is deleted only once the newest list would have to include it; its task can then run elsewhere.
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
    cluster.clock.advance(12.0)
    scale_out.inventory.apply_listing([], cluster.clock())
    assert [machine.name for machine in scale_out.scale_in.machines_to_delete(cluster.clock())] == ["vm-1"]


def test_a_new_leader_stops_counting_listed_machines_that_send_no_heartbeat(cluster: Cluster, scale_out: ScaleOut):
    listed = [cloud_messages.ListedMachine(name=f"vm-{i}", type="g4", zone="west", phase="running") for i in range(4)]
    cluster.fleet.reset(token=9)
    scale_out.reset()
    cluster.fleet.begin_validity(cluster.clock())
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (4, 4)
    cluster.clock.advance(13.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    cluster.fleet.expire_leases(cluster.clock())
    assert scale_out.capacity.machine_counts(cluster.clock()) == (0, 0)
    # All machines of the zone are unresponsive, which indicates a network partition, so none is deleted.
    cluster.clock.advance(60.0)
    scale_out.inventory.apply_listing(listed, cluster.clock())
    assert scale_out.scale_in.machines_to_delete(cluster.clock()) == []
