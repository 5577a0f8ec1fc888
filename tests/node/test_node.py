"""The slices put together: what a worker is told by a node that may not command."""

import asyncio

import msgspec
import pytest
from conftest import Clock, description

from hookwall.config.platform import External, Params, Seed, Settings
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.vote_grant import PROMISE_S
from hookwall.node.node import Node
from hookwall.storage import keys


@pytest.fixture
def node(params: Params, clock: Clock) -> Node:
    seeds = [Seed(f"n{i}", f"127.0.0.1:{7000 + i}") for i in (1, 2)]
    # The clock from the start: set afterwards, the machine's own uptime decided whether a node had just started,
    # and a test of that failed on machines that were up for less than the fake clock's first 1,000 s.
    services = External("127.0.0.1:1", "127.0.0.1:2")
    return Node(Settings("n0", "127.0.0.1:7100", "127.0.0.1:7200", services, params, seeds), clock)


def report(tick=1, token=0):
    return msgspec.json.encode(
        {"host": "vm-1", "hull": "g4", "yard": "east", "tenure": 1, "tick": tick, "mandate": token, "pieces": []}
    )


def leads(node: Node, clock: Clock, token=5):
    lead = node.leadership
    lead.role, lead.mode, lead.token, lead.hold_until = Role.LEADER, Mode.PROMISE, token, clock() + 60.0
    lead.acks = {"n1": clock()}
    lead.promise.holder, lead.promise.until = "n0", clock() + PROMISE_S
    node.fleet.reset(token)
    node.cancellations.read(clock())  # it has read the records


def test_a_leader_that_lost_state_service_and_peers_sends_its_workers_away(node: Node, clock: Clock):
    leads(node, clock)
    status, body = asyncio.run(node.beat(report(1)))
    assert status == 200 and msgspec.json.decode(body)["mandate"] == 5
    # Nothing but workers reaches it: no promise and no hold is renewed.
    clock.tick(PROMISE_S)
    status, body = asyncio.run(node.beat(report(2, token=5)))
    assert (status, body) == (503, b"{}")
    # What it refused counts as no answer: whoever counts this worker's lease counts from the first.
    assert node.fleet.machines["vm-1"].answered == clock() - PROMISE_S


def test_a_late_copy_is_not_answered_as_a_renewal(node: Node, clock: Clock):
    leads(node, clock)
    assert asyncio.run(node.beat(report(3, token=5)))[0] == 200
    clock.tick(2.0)
    assert asyncio.run(node.beat(report(2, token=5)))[0] == 503
    assert node.fleet.machines["vm-1"].answered == clock() - 2.0


def test_a_follower_names_the_leader_it_supports(node: Node):
    assert node.leadership.promise.renew("n1", 7) is False, "just started, it may have promised otherwise"
    node.leadership.saw_key({"node": "n1"}, 7)
    assert node.leadership.promise.renew("n1", 7)
    status, body = asyncio.run(node.beat(report(1)))
    assert status == 421 and msgspec.json.decode(body) == {"overseer": "n1"}


def test_a_leader_that_missed_changes_counts_every_lease_as_kept_until_now(node: Node, clock: Clock):
    """The service keeps the last 10,000 changes: a keeper's key may have come and gone among those before."""
    leads(node, clock)
    clock.tick(100.0)

    async def scan(prefix):
        return [(keys.LEADER, {"node": "n0"}, 5)], 20_000

    record = {"phase": "open", "n": 1, "next": 2, "on": [["vm-1", 1, 1, "0"]], "spec": description(1), "at": 1.0}
    node.table.apply(keys.JOBS + "run-000001", {**record, "done": ""}, 8)
    job = node.table.jobs["run-000001"]
    node.fleet.drop(job, job.active[0], "the lease is over")
    node.store.scan = scan
    asyncio.run(node._read_all())
    assert node.fleet.kept.heard("vm-1") == clock()
    assert job.active[0].machine == "vm-1" and not job.dirty, "what was decided meanwhile is void"


def test_leases_count_from_when_a_leader_is_valid_without_interruption(node: Node, clock: Clock):
    leads(node, clock)
    assert asyncio.run(node.beat(report(1)))[0] == 200
    began = node.fleet.began
    clock.tick(PROMISE_S + 1.0)
    node.leadership.note_lapse()
    node.leadership.acks["n1"] = clock()
    node.leadership.promise.until = clock() + PROMISE_S
    assert asyncio.run(node.beat(report(2, token=5)))[0] == 200
    assert node.fleet.began == clock() > began
