"""Delivery of cached-image hints to the next leader."""

import cbor2
from conftest import Cluster, FakeClock

from hookwall.config.platform import PlatformParameters
from hookwall.leadership.peer_transport import MAX_FRAME_BYTES, encode_frame
from hookwall.workers.fleet import Fleet


def fleet_with_cached_images(cluster: Cluster, count: int, images: int) -> Fleet:
    for n in range(count):
        machine = cluster.fleet.ensure_machine(f"vm-{n:06d}", "g4", "east", False)
        for image in range(images):
            machine.cached_images[cluster.fleet.image_names.index_of(f"image-{image}")] = 5.0
    return cluster.fleet


def test_hints_of_4000_machines_fit_into_messages_and_arrive_completely(
    cluster: Cluster, params: PlatformParameters, clock: FakeClock
):
    """A message with all hints exceeded the size that peers accept, so every fifth heartbeat closed the connection."""
    fleet = fleet_with_cached_images(cluster, 4000, 10)
    peer = Fleet(params, cluster.table, clock)
    delivered = 0
    for _ in range(8):
        hint = fleet.successor_hints.next_message()
        message = encode_frame({"t": "ping", "hint": hint, "cancelled": []})
        assert len(message) < MAX_FRAME_BYTES
        delivered += len(hint["warm"])
        peer.successor_hints.apply_message(cbor2.loads(message[4:])["hint"])
    assert delivered == 4000
    assert all(
        peer.successor_hints.received_images.get(name) or peer.successor_hints.previous_images[name]
        for name in fleet.machines
    )
    # Hints are sent repeatedly; deleted machines are dropped after two passes over the fleet.
    fleet.confirm_deletion(fleet.machines["vm-000000"], "deleted")
    for _ in range(16):
        peer.successor_hints.apply_message(fleet.successor_hints.next_message())
    assert (
        "vm-000000" not in peer.successor_hints.received_images
        and "vm-000000" not in peer.successor_hints.previous_images
    )


def test_hints_of_a_small_fleet_fit_into_one_message(cluster: Cluster):
    fleet = fleet_with_cached_images(cluster, 560, 9)
    assert len(fleet.successor_hints.next_message()["warm"]) == len(fleet.successor_hints.next_message()["warm"]) == 560
