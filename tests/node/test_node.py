"""A complete node without running loops: its responses to heartbeats while it leads, follows or has lost contact."""

import asyncio

import msgspec
import pytest
from harness.fake_clock import FakeClock
from harness.leading_node import make_leader, unstarted_node
from harness.submissions import description

from hookwall.config.platform import PlatformParameters
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.node.node import Node
from hookwall.storage import keys


@pytest.fixture
def node(params: PlatformParameters, clock: FakeClock) -> Node:
    return unstarted_node(params, clock)


def heartbeat(sequence: int = 1, fencing_token: int = 0) -> bytes:
    """A heartbeat of an idle worker."""
    return msgspec.json.encode(
        {
            "host": "vm-1",
            "hull": "g4",
            "yard": "east",
            "tenure": 1,
            "tick": sequence,
            "mandate": fencing_token,
            "pieces": [],
        }
    )


def begin_leading(node: Node, clock: FakeClock, fencing_token: int = 5) -> None:
    """Make the node a valid leader that has read the records."""
    make_leader(node, clock, fencing_token)
    node.fleet.reset(fencing_token)
    node.cancellations.confirm_records_read(clock())


def test_a_leader_without_quorum_or_session_lease_answers_heartbeats_with_503(node: Node, clock: FakeClock):
    begin_leading(node, clock)
    status, body = asyncio.run(node.respond_to_heartbeat(heartbeat(1)))
    assert status == 200 and msgspec.json.decode(body)["mandate"] == 5
    # Only workers reach the leader, so neither its quorum lease nor its session lease is renewed.
    clock.advance(QUORUM_LEASE_S)
    status, body = asyncio.run(node.respond_to_heartbeat(heartbeat(2, fencing_token=5)))
    assert (status, body) == (503, b"{}")
    # A 503 does not count as a response: the lease of this worker still counts from the first response.
    assert node.fleet.machines["vm-1"].last_response_at == clock() - QUORUM_LEASE_S


def test_a_delayed_older_heartbeat_does_not_renew_the_lease(node: Node, clock: FakeClock):
    begin_leading(node, clock)
    assert asyncio.run(node.respond_to_heartbeat(heartbeat(3, fencing_token=5)))[0] == 200
    clock.advance(2.0)
    assert asyncio.run(node.respond_to_heartbeat(heartbeat(2, fencing_token=5)))[0] == 503
    assert node.fleet.machines["vm-1"].last_response_at == clock() - 2.0


def test_a_follower_redirects_workers_to_the_leader_it_votes_for(node: Node):
    assert node.leadership.vote_grant.renew_lease("n1", 7) is False, (
        "a node that has just started may have voted for another node before"
    )
    node.leadership.observe_leader_key({"node": "n1"}, 7)
    assert node.leadership.vote_grant.renew_lease("n1", 7)
    status, body = asyncio.run(node.respond_to_heartbeat(heartbeat(1)))
    assert status == 421 and msgspec.json.decode(body) == {"overseer": "n1"}


def test_a_leader_that_missed_changes_assumes_that_every_lease_was_renewed_until_now(node: Node, clock: FakeClock):
    """Guards against acting on expired leases after the watch has missed changes.

    The store keeps the last 10,000 changes only. A lease delegate's key may have been created and deleted among the
    changes before those.
    """
    begin_leading(node, clock)
    clock.advance(100.0)

    async def scan(prefix):
        return [(keys.LEADER_KEY, {"node": "n0"}, 5)], 20_000

    record = {"phase": "open", "n": 1, "next": 2, "on": [["vm-1", 1, 1, "0"]], "spec": description(1), "at": 1.0}
    node.job_table.apply_record(keys.JOB_PREFIX + "run-000001", {**record, "done": ""}, 8)
    job = node.job_table.jobs["run-000001"]
    node.fleet.release_allocation(job, job.allocations[0], "the lease is over")
    node.store.scan = scan
    asyncio.run(node.key_dispatcher.read_all())
    assert node.fleet.delegated_leases.last_possible_renewal("vm-1") == clock()
    assert job.allocations[0].machine == "vm-1" and not job.has_unsaved_changes, (
        "decisions made before the missed changes were noticed are void"
    )


def test_leases_count_from_the_start_of_the_current_validity_period(node: Node, clock: FakeClock):
    begin_leading(node, clock)
    assert asyncio.run(node.respond_to_heartbeat(heartbeat(1)))[0] == 200
    previous_valid_since = node.fleet.valid_since
    clock.advance(QUORUM_LEASE_S + 1.0)
    node.leadership.report_validity_lapse()
    node.leadership.quorum_acks["n1"] = clock()
    node.leadership.vote_grant.expires_at = clock() + QUORUM_LEASE_S
    assert asyncio.run(node.respond_to_heartbeat(heartbeat(2, fencing_token=5)))[0] == 200
    assert node.fleet.valid_since == clock() > previous_valid_since
