"""A node that leads a fleet with one running job a machine, and the heartbeats of its workers."""

import msgspec
from conftest import Clock, description

from hookwall.config.platform import ExternalServices, PeerSeed, PlatformParameters, Settings
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.node.node import Node
from hookwall.storage import keys


def report(number: int, tick: int) -> bytes:
    tasks = [{"piece": f"run-{number:06d}/0", "try": 1, "phase": "running"}]
    return msgspec.json.encode(
        {"host": f"vm-{number:06d}", "hull": "g4", "yard": "east", "tenure": 1, "tick": tick, "mandate": 5,
         "pieces": tasks}
    )  # fmt: skip


def leading(params: PlatformParameters, clock: Clock, machines: int) -> Node:
    """A leader with a job running on each machine of a fleet."""
    seeds = [PeerSeed(f"n{i}", f"127.0.0.1:{7000 + i}") for i in (1, 2)]
    services = ExternalServices("127.0.0.1:1", "127.0.0.1:2")
    node = Node(Settings("n0", "127.0.0.1:7100", "127.0.0.1:7200", services, params, seeds), clock)
    lead = node.leadership
    lead.role, lead.lease_mode, lead.fencing_token, lead.session_lease_until = (
        Role.LEADER,
        LeaseMode.QUORUM_LEASE,
        5,
        clock() + 60.0,
    )
    lead.quorum_acks = {"n1": clock()}
    lead.vote_grant.holder, lead.vote_grant.expires_at = "n0", clock() + QUORUM_LEASE_S
    for number in range(machines):
        record = {"phase": "open", "n": 1, "next": 2, "on": [[f"vm-{number:06d}", 1, 1, "0"]], "at": 1.0, "done": ""}
        node.job_table.apply_record(
            f"{keys.JOB_PREFIX}run-{number:06d}", {**record, "spec": description(number)}, 3 + number
        )
    node.fleet.reset(5)
    node.cancellations.confirm_records_read(clock())
    for number in range(machines):
        node.heartbeat_router.respond(report(number, 1))
    return node
