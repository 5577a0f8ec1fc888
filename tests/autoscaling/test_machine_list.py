"""The machine list's own loop."""

import asyncio

import pytest
from conftest import Cluster
from world import VirtualLoop

from hookwall.autoscaling.cloud_client import CloudUnavailableError
from hookwall.autoscaling.inventory import Inventory
from hookwall.config.platform import PlatformParameters
from hookwall.protocol import cloud_messages

LISTED = [cloud_messages.ListedMachine(name="vm-1", type="g4", zone="east", phase="running")]


class Cloud:
    """Answers a list after a while, or fails."""

    page_size = 500

    def __init__(self) -> None:
        self.asked = 0
        self.takes_s = 1.0
        self.fails = False

    async def machines(self):
        self.asked += 1
        await asyncio.sleep(self.takes_s)
        if self.fails:
            raise CloudUnavailableError("503")
        return LISTED


@pytest.fixture
def play(cluster: Cluster, params: PlatformParameters):
    """Runs a scenario beside the loop of a list, on one fake clock."""
    loop = VirtualLoop()

    def run(scenario, valid=lambda: True):
        lists = Inventory(cluster.fleet, Cloud(), params.cloud, loop.time)

        async def main():
            lists.reset()
            running = loop.create_task(lists.run(valid))
            await scenario(lists)
            running.cancel()

        loop.run_until_complete(main())

    yield run
    loop.close()


def test_a_list_counts_from_when_it_was_asked_for(play, cluster: Cluster):
    async def scenario(lists: Inventory):
        while not lists.has_listing:
            await asyncio.sleep(0.1)
        assert lists.clock() - lists.listed_at >= lists.client.takes_s
        assert cluster.fleet.machines["vm-1"].last_listed_at == lists.listed_at

    play(scenario)


def test_a_list_that_an_earlier_leadership_asked_for_is_not_taken(play, cluster: Cluster):
    async def scenario(lists: Inventory):
        while not lists.client.asked:
            await asyncio.sleep(0.1)
        lists.reset()
        lists.client.takes_s = 60.0
        await asyncio.sleep(2.0)
        assert not lists.has_listing and "vm-1" not in cluster.fleet.machines

    play(scenario)


def test_a_list_is_neither_asked_for_nor_taken_without_validity(play, cluster: Cluster):
    valid = [True]

    async def scenario(lists: Inventory):
        while not lists.client.asked:
            await asyncio.sleep(0.1)
        valid[0] = False
        await asyncio.sleep(10.0)
        assert lists.client.asked == 1 and not lists.has_listing

    play(scenario, lambda: valid[0])


def test_a_list_that_fails_is_asked_for_again_soon(play):
    async def scenario(lists: Inventory):
        lists.client.fails = True
        await asyncio.sleep(10.0)
        assert lists.client.asked >= 4 and not lists.has_listing
        lists.client.fails = False
        await asyncio.sleep(3.0)
        assert lists.has_listing

    play(scenario)
