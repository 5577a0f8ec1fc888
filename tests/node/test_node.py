"""The slices put together: what a worker is told by a node that may not command."""

import asyncio

import msgspec
import pytest
from conftest import Clock, description

from hookwall.config.platform import ExternalServices, PeerSeed, PlatformParameters, Settings
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.node.node import Node
from hookwall.storage import keys


@pytest.fixture
def node(params: PlatformParameters, clock: Clock) -> Node:
    seeds = [PeerSeed(f"n{i}", f"127.0.0.1:{7000 + i}") for i in (1, 2)]
    # The clock from the start: set afterwards, the machine's own uptime decided whether a node had just started,
    # and a test of that failed on machines that were up for less than the fake clock's first 1,000 s.
    services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
    return Node(Settings("n0", "127.0.0.1:7100", "127.0.0.1:7200", services, params, seeds), clock)


def report(tick=1, token=0):
    return msgspec.json.encode(
        {"host": "vm-1", "hull": "g4", "yard": "east", "tenure": 1, "tick": tick, "mandate": token, "pieces": []}
    )


def leads(node: Node, clock: Clock, token=5):
    lead = node.leadership
    lead.role, lead.lease_mode, lead.fencing_token, lead.session_lease_until = (
        Role.LEADER,
        LeaseMode.QUORUM_LEASE,
        token,
        clock() + 60.0,
    )
    lead.quorum_acks = {"n1": clock()}
    lead.vote_grant.holder, lead.vote_grant.expires_at = "n0", clock() + QUORUM_LEASE_S
    node.fleet.reset(token)
    node.cancellations.confirm_records_read(clock())  # it has read the records


def test_a_leader_that_lost_state_service_and_peers_sends_its_workers_away(node: Node, clock: Clock):
    leads(node, clock)
    status, body = asyncio.run(node.respond_to_heartbeat(report(1)))
    assert status == 200 and msgspec.json.decode(body)["mandate"] == 5
    # Nothing but workers reaches it: no promise and no hold is renewed.
    clock.tick(QUORUM_LEASE_S)
    status, body = asyncio.run(node.respond_to_heartbeat(report(2, token=5)))
    assert (status, body) == (503, b"{}")
    # What it refused counts as no answer: whoever counts this worker's lease counts from the first.
    assert node.fleet.machines["vm-1"].last_response_at == clock() - QUORUM_LEASE_S


def test_a_late_copy_is_not_answered_as_a_renewal(node: Node, clock: Clock):
    leads(node, clock)
    assert asyncio.run(node.respond_to_heartbeat(report(3, token=5)))[0] == 200
    clock.tick(2.0)
    assert asyncio.run(node.respond_to_heartbeat(report(2, token=5)))[0] == 503
    assert node.fleet.machines["vm-1"].last_response_at == clock() - 2.0


def test_a_follower_names_the_leader_it_supports(node: Node):
    assert node.leadership.vote_grant.renew_lease("n1", 7) is False, "just started, it may have promised otherwise"
    node.leadership.observe_leader_key({"node": "n1"}, 7)
    assert node.leadership.vote_grant.renew_lease("n1", 7)
    status, body = asyncio.run(node.respond_to_heartbeat(report(1)))
    assert status == 421 and msgspec.json.decode(body) == {"overseer": "n1"}


def test_a_leader_that_missed_changes_counts_every_lease_as_kept_until_now(node: Node, clock: Clock):
    """The service keeps the last 10,000 changes: a keeper's key may have come and gone among those before."""
    leads(node, clock)
    clock.tick(100.0)

    async def scan(prefix):
        return [(keys.LEADER_KEY, {"node": "n0"}, 5)], 20_000

    record = {"phase": "open", "n": 1, "next": 2, "on": [["vm-1", 1, 1, "0"]], "spec": description(1), "at": 1.0}
    node.job_table.apply_record(keys.JOB_PREFIX + "run-000001", {**record, "done": ""}, 8)
    job = node.job_table.jobs["run-000001"]
    node.fleet.release_allocation(job, job.allocations[0], "the lease is over")
    node.store.scan = scan
    asyncio.run(node.key_dispatcher.read_all())
    assert node.fleet.delegated_leases.last_possible_renewal("vm-1") == clock()
    assert job.allocations[0].machine == "vm-1" and not job.has_unsaved_changes, "what was decided meanwhile is void"


def test_leases_count_from_when_a_leader_is_valid_without_interruption(node: Node, clock: Clock):
    leads(node, clock)
    assert asyncio.run(node.respond_to_heartbeat(report(1)))[0] == 200
    began = node.fleet.valid_since
    clock.tick(QUORUM_LEASE_S + 1.0)
    node.leadership.report_validity_lapse()
    node.leadership.quorum_acks["n1"] = clock()
    node.leadership.vote_grant.expires_at = clock() + QUORUM_LEASE_S
    assert asyncio.run(node.respond_to_heartbeat(report(2, token=5)))[0] == 200
    assert node.fleet.valid_since == clock() > began
