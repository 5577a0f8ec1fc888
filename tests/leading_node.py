"""A node that leads a fleet with one running job a machine, and the heartbeats of its workers."""

import msgspec
from conftest import Clock, description

from hookwall.config.platform import External, Params, Seed, Settings
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.vote_grant import PROMISE_S
from hookwall.node.node import Node
from hookwall.storage import keys


def report(number: int, tick: int) -> bytes:
    tasks = [{"piece": f"run-{number:06d}/0", "try": 1, "phase": "running"}]
    return msgspec.json.encode(
        {"host": f"vm-{number:06d}", "hull": "g4", "yard": "east", "tenure": 1, "tick": tick, "mandate": 5,
         "pieces": tasks}
    )  # fmt: skip


def leading(params: Params, clock: Clock, machines: int) -> Node:
    """A leader with a job running on each machine of a fleet."""
    seeds = [Seed(f"n{i}", f"127.0.0.1:{7000 + i}") for i in (1, 2)]
    services = External("127.0.0.1:1", "127.0.0.1:2")
    node = Node(Settings("n0", "127.0.0.1:7100", "127.0.0.1:7200", services, params, seeds), clock)
    lead = node.leadership
    lead.role, lead.mode, lead.token, lead.hold_until = Role.LEADER, Mode.PROMISE, 5, clock() + 60.0
    lead.acks = {"n1": clock()}
    lead.promise.holder, lead.promise.until = "n0", clock() + PROMISE_S
    for number in range(machines):
        record = {"phase": "open", "n": 1, "next": 2, "on": [[f"vm-{number:06d}", 1, 1, "0"]], "at": 1.0, "done": ""}
        node.table.apply(f"{keys.JOBS}run-{number:06d}", {**record, "spec": description(number)}, 3 + number)
    node.fleet.reset(5)
    node.cancellations.read(clock())
    for number in range(machines):
        node.beats.take(report(number, 1))
    return node
