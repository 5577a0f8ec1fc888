"""The machine inventory: its polling loop, and the effects of a machine list."""

import asyncio

import pytest
from conftest import Cluster, FakeClock
from harness.virtual_time import VirtualLoop
from scripted_cloud import new_scale_out

from hookwall.autoscaling.cloud_client import CloudUnavailableError
from hookwall.autoscaling.inventory import Inventory
from hookwall.autoscaling.scale_out import ScaleOut
from hookwall.config.platform import PlatformParameters
from hookwall.protocol import cloud_messages
from hookwall.workers.machine import MachinePhase

LISTED = [cloud_messages.ListedMachine(name="vm-1", type="g4", zone="east", phase="running")]


class ScriptedListing:
    """Returns a machine list after `response_s` seconds, or raises an error."""

    page_size = 500

    def __init__(self) -> None:
        self.requests = 0
        self.response_s = 1.0
        self.fails = False

    async def machines(self):
        self.requests += 1
        await asyncio.sleep(self.response_s)
        if self.fails:
            raise CloudUnavailableError("503")
        return LISTED


@pytest.fixture
def run_scenario(cluster: Cluster, params: PlatformParameters):
    """Return a function that runs a scenario concurrently with the inventory's polling loop, on one fake clock."""
    loop = VirtualLoop()

    def run(scenario, leads=lambda: True):
        inventory = Inventory(cluster.fleet, ScriptedListing(), params.cloud, loop.time)

        async def main():
            inventory.reset()
            running = loop.create_task(inventory.run(leads))
            await scenario(inventory)
            running.cancel()

        loop.run_until_complete(main())

    yield run
    loop.close()


@pytest.fixture
def scale_out(cluster: Cluster, params: PlatformParameters, clock: FakeClock) -> ScaleOut:
    return new_scale_out(cluster, params, clock)


def test_a_list_is_dated_at_the_time_of_its_request(run_scenario, cluster: Cluster):
    async def scenario(inventory: Inventory):
        while not inventory.has_listing:
            await asyncio.sleep(0.1)
        assert inventory.clock() - inventory.listed_at >= inventory.client.response_s
        assert cluster.fleet.machines["vm-1"].last_listed_at == inventory.listed_at

    run_scenario(scenario)


def test_a_list_requested_under_an_earlier_leadership_is_ignored(run_scenario, cluster: Cluster):
    async def scenario(inventory: Inventory):
        while not inventory.client.requests:
            await asyncio.sleep(0.1)
        inventory.reset()
        inventory.client.response_s = 60.0
        await asyncio.sleep(2.0)
        assert not inventory.has_listing and "vm-1" not in cluster.fleet.machines

    run_scenario(scenario)


def test_a_list_is_neither_requested_nor_applied_without_leadership(run_scenario, cluster: Cluster):
    leading = [True]

    async def scenario(inventory: Inventory):
        while not inventory.client.requests:
            await asyncio.sleep(0.1)
        leading[0] = False
        await asyncio.sleep(10.0)
        assert inventory.client.requests == 1 and not inventory.has_listing

    run_scenario(scenario, lambda: leading[0])


def test_a_failed_list_request_is_retried_soon(run_scenario):
    async def scenario(inventory: Inventory):
        inventory.client.fails = True
        await asyncio.sleep(10.0)
        assert inventory.client.requests >= 4 and not inventory.has_listing
        inventory.client.fails = False
        await asyncio.sleep(3.0)
        assert inventory.has_listing

    run_scenario(scenario)


def test_listed_machines_without_a_known_provisioning_request_are_used(cluster: Cluster, scale_out: ScaleOut):
    scale_out.inventory.apply_listing(
        [cloud_messages.ListedMachine(name="vm-77", type="g4", zone="west", phase="running")], cluster.clock()
    )
    assert cluster.fleet.machines["vm-77"].phase is MachinePhase.BOOTING
    cluster.beat("vm-77", zone="west")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    assert job.allocations[0].machine == "vm-77"


def test_a_stale_list_does_not_restore_a_deleted_machine(cluster: Cluster, scale_out: ScaleOut):
    """If restored, it would count as an incoming machine, and no replacement would be provisioned."""
    cluster.beat("vm-1")
    cluster.fleet.confirm_deletion(cluster.fleet.machines["vm-1"], "deleted")
    scale_out.inventory.apply_listing(
        [cloud_messages.ListedMachine(name="vm-1", type="g4", zone="east", phase="running")], cluster.clock()
    )
    assert "vm-1" not in cluster.fleet.machines
