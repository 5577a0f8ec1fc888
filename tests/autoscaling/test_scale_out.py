"""Provisioning requests, and the loop that sends them."""

import asyncio

import pytest
from conftest import Cluster, FakeClock
from harness.virtual_time import VirtualLoop
from scripted_cloud import new_scale_out

from hookwall.autoscaling.capacity import MachinePool, ProvisioningRequest
from hookwall.autoscaling.cloud_client import CloudUnavailableError, NoCapacityError
from hookwall.autoscaling.scale_out import SCALE_OUT_DELAY_S, ScaleOut
from hookwall.config.platform import PlatformParameters


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_a_pool_is_closed_temporarily_after_a_refusal(cluster: Cluster, scale_out: ScaleOut):
    def refuse(count):
        raise NoCapacityError

    scale_out.client.respond = refuse
    request = ProvisioningRequest("hw-5-1", MachinePool(0, 0, False), 2)
    scale_out.capacity.pending_requests.append(request)
    asyncio.run(scale_out._provision(request))
    assert MachinePool(0, 0, False) not in scale_out.planner.available_pools(cluster.clock())
    assert not scale_out.capacity.pending_requests
    cluster.clock.advance(31.0)
    assert MachinePool(0, 0, False) in scale_out.planner.available_pools(cluster.clock())


def test_a_request_without_response_stays_pending_and_its_machines_count_as_incoming(
    cluster: Cluster, scale_out: ScaleOut
):
    def time_out(count):
        raise CloudUnavailableError("timeout")

    scale_out.client.respond = time_out
    request = ProvisioningRequest("hw-5-1", MachinePool(0, 0, False), 2)
    scale_out.capacity.pending_requests.append(request)
    with pytest.raises(CloudUnavailableError):
        asyncio.run(scale_out._provision(request))
    assert scale_out.capacity.pending_requests == [request]
    assert len(scale_out.capacity.incoming_machines(cluster.clock())) == 2


def test_provisioning_does_not_wait_for_a_machine_list_of_many_pages(cluster: Cluster, scale_out: ScaleOut):
    """With 4,000 machines, a list took 3.5 of every 4 s, and provisioning requests waited until it was complete."""
    cloud, loop = scale_out.client, VirtualLoop()
    cloud.page_size, cloud.listings = 500, 0
    # The deciding code and the loops that sleep use the same clock.
    scale_out.clock = scale_out.inventory.clock = scale_out.demand.clock = loop.time
    cluster.fleet.clock = cluster.scheduler.clock = loop.time

    async def fetch_catalog():
        return cluster.fleet.catalog

    async def machines():
        cloud.listings += 1
        await asyncio.sleep(3.5 if cloud.listings > 1 else 0.1)
        return []

    async def scenario():
        cloud.fetch_catalog, cloud.machines = fetch_catalog, machines
        scale_out.reset()
        loops = [scale_out.run(lambda: True, lambda: 5), scale_out.inventory.run(lambda: True)]
        tasks = [loop.create_task(loop_coroutine) for loop_coroutine in loops]
        while cloud.listings < 2 or loop.time() - scale_out.inventory.leading_since < SCALE_OUT_DELAY_S:
            await asyncio.sleep(0.1)
        listings_before = cloud.listings
        cluster.submit(1, pieces=4)
        cluster.scheduler.run_round()
        await asyncio.sleep(1.5)
        assert cloud.requests and cloud.listings == listings_before, "the list request is still in progress"
        for task in tasks:
            task.cancel()

    loop.run_until_complete(scenario())
    loop.close()
