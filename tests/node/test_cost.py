"""What one heartbeat, poll, hint or list costs must not grow with the fleet: operations are counted, not seconds."""

import sys
from collections.abc import Callable
from types import FrameType

import pytest
from harness.fake_clock import Clock
from harness.leading_node import leading, report

from hookwall.config.platform import PlatformParameters
from hookwall.leadership.peer_transport import MAX_FRAME_BYTES, encode_frame
from hookwall.node.node import Node

FLEETS = (400, 4000)


def operations(work: Callable[[], object]) -> int:
    """How many calls of Python and built-in functions `work` makes."""
    count = 0

    def profile(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


@pytest.fixture
def fleets(params: PlatformParameters, clock: Clock) -> list[Node]:
    """Leaders of a small and of a large fleet."""
    return [leading(params, clock, machines) for machines in FLEETS]


def test_a_heartbeat_costs_the_same_in_any_fleet(fleets):
    small, large = (operations(lambda node=node: node.heartbeat_router.respond(report(7, 2))) for node in fleets)
    assert 0 < large <= small


def test_a_poll_costs_the_same_in_any_fleet(fleets):
    def poll(node: Node) -> None:
        answer = node.job_service.job_response(node.job_table.jobs["run-000007"])
        with pytest.raises(StopIteration):
            answer.send(None)

    small, large = (operations(lambda node=node: poll(node)) for node in fleets)
    assert 0 < large <= small


def test_a_response_to_a_ping_costs_the_same_in_any_fleet(fleets):
    ping = {"t": "ping", "n": "n1", "tok": 4, "sok": True, "pos": 3}
    small, large = (operations(lambda node=node: node.leadership.handle_peer_message(ping)) for node in fleets)
    assert 0 < large <= small


def test_a_delegated_lease_costs_the_same_in_any_fleet(fleets):
    """A lease delegate looks up a worker that its key already names."""
    for node in fleets:
        node.lease_delegate.delegated = set(node.fleet.machines)
    small, large = (operations(lambda node=node: node.lease_delegate.covers("vm-000007")) for node in fleets)
    assert 0 < large <= small


def test_the_machine_list_uses_half_of_the_cloud_s_requests_at_most(fleets, params: PlatformParameters):
    for node in fleets:
        inventory = node.scale_out.inventory
        pages = -(-len(node.fleet.machines) // inventory.client.page_size)
        assert inventory.interval_s() >= max(4.0, 2 * pages / params.cloud.rps)
    assert fleets[0].scale_out.inventory.interval_s() == 4.0, "small fleets are listed as often as before"


def test_lease_expiry_in_a_full_fleet_costs_a_few_operations_a_machine(fleets):
    """What a scheduling round does for each machine before it places; the rest is bounded by its budget of time."""
    costs = []
    for node in fleets:
        node.fleet.expire_leases(node.clock())
        costs.append(operations(lambda node=node: node.fleet.expire_leases(node.clock())))
    assert costs[1] <= 5 * FLEETS[1]


def test_hints_to_the_next_leader_have_a_bounded_size(fleets):
    for node in fleets:
        for machine in node.fleet.machines.values():
            for image in range(12):
                machine.cached_images[node.fleet.image_names.index_of(f"img-{image:03d}")] = 4.0
        assert len(encode_frame({"t": "ping", "hint": node.fleet.successor_hints.next_message()})) < MAX_FRAME_BYTES
