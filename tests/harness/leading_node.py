"""A leader node for a fleet that runs one job on each machine, and the heartbeats of its workers."""

import msgspec

from harness.fake_clock import FakeClock
from harness.submissions import description
from hookwall.config.operations import Operations
from hookwall.config.platform import ExternalServices, PeerSeed, PlatformParameters, Settings
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.node.node import Node
from hookwall.storage import keys

FENCING_TOKEN = 5


def make_leader(node: Node, clock: FakeClock, fencing_token: int) -> None:
    """Make a node the leader: it holds the leader key, and a quorum lease that node `n1` has acknowledged."""
    leadership = node.leadership
    leadership.role = Role.LEADER
    leadership.lease_mode = LeaseMode.QUORUM_LEASE
    leadership.fencing_token = fencing_token
    leadership.session_lease_until = clock() + 60.0
    leadership.quorum_acks = {"n1": clock()}
    leadership.vote_grant.holder = "n0"
    leadership.vote_grant.expires_at = clock() + QUORUM_LEASE_S


def unstarted_node(params: PlatformParameters, clock: FakeClock, operations: Operations | None = None) -> Node:
    """Return node `n0` of three; it is not started and has no connections.

    The constructor receives the fake clock, because a node stores its start time when it is created. If the clock were
    replaced afterwards, that time would be the uptime of the host, and tests of whether a node has just started would
    fail on hosts with an uptime of less than 1,000 s, the initial time of the fake clock.
    """
    seeds = [PeerSeed(f"n{i}", f"127.0.0.1:{7000 + i}") for i in (1, 2)]
    services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
    return Node(
        Settings("n0", "127.0.0.1:7100", "127.0.0.1:7200", services, params, seeds), clock, operations=operations
    )


def report(number: int, tick: int) -> bytes:
    """Return the body of a heartbeat of machine `number`, which runs its job, with sequence number `tick`."""
    tasks = [{"piece": f"run-{number:06d}/0", "try": 1, "phase": "running"}]
    return msgspec.json.encode(
        {"host": f"vm-{number:06d}", "hull": "g4", "yard": "east", "tenure": 1, "tick": tick, "mandate": FENCING_TOKEN,
         "pieces": tasks}
    )  # fmt: skip


def leading(params: PlatformParameters, clock: FakeClock, machines: int) -> Node:
    """Return a leader of a fleet that runs one job on each machine."""
    node = unstarted_node(params, clock)
    make_leader(node, clock, FENCING_TOKEN)
    for number in range(machines):
        record = {"phase": "open", "n": 1, "next": 2, "on": [[f"vm-{number:06d}", 1, 1, "0"]], "at": 1.0, "done": ""}
        node.job_table.apply_record(
            f"{keys.JOB_PREFIX}run-{number:06d}", {**record, "spec": description(number)}, 3 + number
        )
    node.fleet.reset(FENCING_TOKEN)
    node.cancellations.confirm_records_read(clock())
    for number in range(machines):
        node.heartbeat_router.respond(report(number, 1))
    return node
