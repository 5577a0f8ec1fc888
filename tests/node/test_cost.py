"""The cost of one heartbeat, poll, hint or list must not grow with the fleet. Tests count calls instead of seconds."""

import sys
from collections.abc import Callable
from types import FrameType

import pytest
from harness.fake_clock import FakeClock
from harness.leading_node import leading, report

from hookwall.config.platform import PlatformParameters
from hookwall.leadership.peer_transport import MAX_FRAME_BYTES, encode_frame
from hookwall.node.node import Node

FLEET_SIZES = (400, 4000)


def count_calls(action: Callable[[], object]) -> int:
    """Return how many calls of Python and built-in functions `action` makes."""
    count = 0

    def profile(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(None)
    return count


@pytest.fixture
def fleets(params: PlatformParameters, clock: FakeClock) -> list[Node]:
    """Leaders of a small and of a large fleet."""
    return [leading(params, clock, machines) for machines in FLEET_SIZES]


def test_heartbeat_cost_does_not_grow_with_fleet_size(fleets):
    small, large = (count_calls(lambda node=node: node.heartbeat_router.respond(report(7, 2))) for node in fleets)
    assert 0 < large <= small


def test_job_poll_cost_does_not_grow_with_fleet_size(fleets):
    def poll(node: Node) -> None:
        response = node.job_service.job_response(node.job_table.jobs["run-000007"])
        with pytest.raises(StopIteration):
            response.send(None)

    small, large = (count_calls(lambda node=node: poll(node)) for node in fleets)
    assert 0 < large <= small


def test_peer_heartbeat_cost_does_not_grow_with_fleet_size(fleets):
    ping = {"t": "ping", "n": "n1", "tok": 4, "sok": True, "pos": 3}
    small, large = (count_calls(lambda node=node: node.leadership.handle_peer_message(ping)) for node in fleets)
    assert 0 < large <= small


def test_delegated_lease_lookup_cost_does_not_grow_with_fleet_size(fleets):
    """A lease delegate looks up a worker that the delegate's key already names."""
    for node in fleets:
        node.lease_delegate.delegated = set(node.fleet.machines)
    small, large = (count_calls(lambda node=node: node.lease_delegate.covers("vm-000007")) for node in fleets)
    assert 0 < large <= small


def test_machine_listing_uses_at_most_half_of_the_cloud_request_limit(fleets, params: PlatformParameters):
    for node in fleets:
        inventory = node.scale_out.inventory
        pages = -(-len(node.fleet.machines) // inventory.client.page_size)
        assert inventory.interval_s() >= max(4.0, 2 * pages / params.cloud.rps)
    assert fleets[0].scale_out.inventory.interval_s() == 4.0, "a small fleet is listed at the usual interval"


def test_lease_expiry_makes_at_most_five_calls_per_machine(fleets):
    """A scheduling round does this for each machine before placement; a time budget bounds the rest of the round."""
    costs = []
    for node in fleets:
        node.fleet.expire_leases(node.clock())
        costs.append(count_calls(lambda node=node: node.fleet.expire_leases(node.clock())))
    assert costs[1] <= 5 * FLEET_SIZES[1]


def test_successor_hints_fit_into_one_peer_message(fleets):
    for node in fleets:
        for machine in node.fleet.machines.values():
            for image in range(12):
                machine.cached_images[node.fleet.image_names.index_of(f"img-{image:03d}")] = 4.0
        assert len(encode_frame({"t": "ping", "hint": node.fleet.successor_hints.next_message()})) < MAX_FRAME_BYTES
