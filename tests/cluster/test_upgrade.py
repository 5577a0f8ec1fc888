"""Rolling upgrades: nodes that know an older format are replaced while users, workers and troubles go on.

`old` is the format of the program that is replaced: 1 was in production up to e723b3b, 2 is that of 0dce834.
"""

import asyncio
from itertools import permutations

import pytest
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage import job_records, keys
from hookwall.storage.storage_version import CURRENT_VERSION

LIMITS = StoreLimits(
    rps=150.0,
    write_rps=50.0,
    value_kb=16.0,
    txn_ops=12,
    next=UpcomingStoreLimits(write_rps=30.0, value_kb=2.0, txn_ops=4),
)
NAMES = ("n0", "n1", "n2")
any_old = pytest.mark.parametrize("old", [1, 2])


async def all_new(w: Simulation, within_s: float = 10.0) -> None:
    await w.until(
        lambda: all(n.storage_version.supported_by_all(CURRENT_VERSION) for n in w.nodes.values()),
        within_s,
        "not all nodes know all are new",
    )


async def accepted(w: Simulation, ref: str, within_s: float = 60.0) -> None:
    """Submit at any node that is up until one accepts."""
    end = w.now() + within_s
    while not w.nodes or await w.submit(w.random.choice(list(w.nodes)), ref) not in (200, 201):
        assert w.now() < end, f"{ref} is not accepted"
        await asyncio.sleep(1.0)


async def users(w: Simulation, first: int, n: int, every_s: float = 1.0) -> list[str]:
    """Users submit jobs at any node and cancel a third of them."""
    refs = []
    for i in range(first, first + n):
        ref = w.job(i, run_s=4.0, cards=0.0, cores=1.0)
        refs.append(ref)
        await accepted(w, ref)
        await asyncio.sleep(every_s)
        if i % 3 == 0 and w.nodes:
            await w.cancel(w.random.choice(list(w.nodes)), ref)
    return refs


async def ended(w: Simulation, refs: list[str], within_s: float = 40.0) -> None:
    """All of them are said to be over, by every node."""

    async def over(ref: str) -> bool:
        answers = [await w.poll(node, ref) for node in list(w.nodes)]
        return all(status == 200 and phase in ("done", "withdrawn") for status, phase in answers)

    end = w.now() + within_s
    for ref in refs:
        while not await over(ref):
            assert w.now() < end, f"{ref} does not end"
            await asyncio.sleep(1.0)


async def pipeline(w: Simulation, first: int) -> list[str]:
    """Three jobs one after the other, each needing the one before."""
    refs: list[str] = []
    for n in range(first, first + 3):
        refs.append(w.job(n, run_s=3.0, awaits=refs[-1:] or None, rank="urgent" if n == first + 2 else "low"))
        await accepted(w, refs[-1])
    return refs


@pytest.mark.parametrize("order", permutations(NAMES))
@any_old
def test_nodes_are_replaced_one_by_one_in_any_order_while_users_go_on(order, old):
    async def scenario(w: Simulation) -> None:
        traffic = w.go(users(w, 1, 25))
        for name in order:
            await asyncio.sleep(4.0)
            await w.upgrade(name)
        await w.led()
        await all_new(w)
        refs = await pipeline(w, 100)
        await ended(w, [*await traffic, *refs])
        assert all(w.jobs[ref].final == "done" for ref in refs)

    play(scenario, old=old)


@pytest.mark.parametrize("leader_first", [True, False])
@any_old
def test_two_nodes_are_replaced_at_once(leader_first, old):
    async def scenario(w: Simulation) -> None:
        traffic = w.go(users(w, 1, 25))
        lead, others = w.leader().settings.node_name, w.followers()
        both = (lead, others[0]) if leader_first else tuple(others)
        await w.upgrade(*both)
        await asyncio.sleep(5.0)
        await w.upgrade(*(set(NAMES) - set(both)))
        await all_new(w, 20.0)
        await ended(w, [*await traffic, *await pipeline(w, 100)])

    play(scenario, old=old)


def test_a_dependent_job_is_not_taken_while_an_old_program_may_come_back():
    async def scenario(w: Simulation) -> None:
        first = w.job(1, run_s=3.0)
        await w.accepted(first, "n0")
        second = w.job(2, awaits=[first])
        await w.upgrade("n0", "n1")
        await w.led()
        await asyncio.sleep(5.0)
        # The last one ends before its turn and comes back old; neither then nor while it is away is it known to be new.
        w.crash("n2")
        assert await w.submit("n0", second) == 503
        await asyncio.sleep(3.0)
        w.start("n2", old=1)
        await asyncio.sleep(6.0)
        assert await w.submit("n1", second) == 503
        await w.upgrade("n2")
        await all_new(w)
        assert await w.submit("n1", second) == 201
        await ended(w, [first, second])

    play(scenario, old=1)


@any_old
def test_a_node_that_the_state_service_refuses_is_vouched_for_by_its_peers(old):
    """It can't store its marker: submissions would be answered 503 for as long as it is refused."""

    async def scenario(w: Simulation) -> None:
        w.service.refused.add("n2")
        await w.upgrade("n0", "n1")
        await w.upgrade("n2")
        await w.until(
            lambda: w.nodes["n0"].storage_version.supported_by_all(CURRENT_VERSION),
            15.0,
            "no marker for the node that is refused",
        )
        first = w.job(1, run_s=3.0)
        await w.accepted(first, "n0")
        await w.accepted(w.job(2, run_s=3.0, awaits=[first]), "n1", within_s=2.0)

    play(scenario, old=old)


@any_old
def test_a_node_that_is_marked_and_away_does_not_hold_up_new_formats(old):
    async def scenario(w: Simulation) -> None:
        await w.upgrade("n2")
        await asyncio.sleep(3.0)
        await w.upgrade("n1")
        await asyncio.sleep(3.0)
        w.crash("n2")
        await w.upgrade("n0")
        await w.until(
            lambda: w.nodes["n0"].storage_version.supported_by_all(CURRENT_VERSION),
            10.0,
            "waits for a node that is marked",
        )

    play(scenario, old=old)


@pytest.mark.parametrize("trouble", ["outage", "cut", "late writes", "crash"])
@any_old
def test_troubles_in_the_midst_of_an_upgrade(trouble, old):
    async def scenario(w: Simulation) -> None:
        traffic = w.go(users(w, 1, 30))
        await w.upgrade(w.followers()[0])
        lead = w.leader() or await w.led()
        if trouble == "outage":
            w.service.outage(True)
            w.loop.call_later(14.0, w.service.outage, False)
        elif trouble == "cut":
            w.apart |= w.links_of("n0")
            w.loop.call_later(14.0, w.apart.clear)
        elif trouble == "late writes":
            w.service.late = lambda node, body: w.random.uniform(2.0, 12.0) if w.random.random() < 0.2 else None
        else:
            name = lead.settings.node_name
            w.crash(name)
            w.start(name, old=old if name != w.followers()[0] else 0)
        await asyncio.sleep(3.0)
        for name in [n for n, node in w.nodes.items() if type(node).__name__ != "Node"]:
            await w.upgrade(name)
            await asyncio.sleep(2.0)
        await asyncio.sleep(12.0)
        w.service.late = lambda node, body: None
        await all_new(w, 30.0)
        await ended(w, [*await traffic, *await pipeline(w, 100)], 60.0)

    play(scenario, old=old)


@any_old
def test_nothing_new_is_written_before_all_are_new_and_then_all_fits_both_limits(old):
    """Large records of production stay alterable after the switch, in the midst of writes."""

    async def scenario(w: Simulation) -> None:
        refs = []
        for n in range(1, 4):
            ends = {task: 3.0 + (task * 7) % 23 for task in range(300)}
            refs.append(w.job(n, pieces=300, cards=0.0, cores=0.5, memGb=0.5, ends=ends))
            await w.accepted(refs[-1])
        await w.until(lambda: all(w.on_machines(ref) > 20 for ref in refs), 20.0, "the arrays do not run")
        for name in NAMES:
            await w.upgrade(name)
            await asyncio.sleep(2.0)
        await all_new(w)
        values = [v for k, (v, _, _) in w.service.keys.items() if k.startswith(keys.JOB_PREFIX)]
        assert any(job_records.json_bytes(v) > 1500 for v in values)
        w.service.lower()
        await w.cancel(w.followers()[0], refs[0])
        first = w.job(10, run_s=3.0)
        await w.accepted(first)
        refs += [first, w.job(11, run_s=3.0, awaits=[first])]
        await w.accepted(refs[-1])
        await ended(w, refs, 120.0)
        assert w.service.refusals[400] <= 3 and w.service.largest <= 2048

    play(scenario, machines=8, old=old, state=LIMITS)


@any_old
def test_a_write_of_production_that_is_carried_out_late_does_not_undo_a_newer_one(old):
    """The old leader's last transaction is carried out once all nodes are new and have written the same job."""

    async def scenario(w: Simulation) -> None:
        ref = w.job(1, pieces=4, ends={0: 4.0, 1: 30.0, 2: 34.0, 3: 40.0})
        await w.accepted(ref)
        await w.runs(ref)
        lead = w.leader().settings.node_name
        w.service.late = lambda node, body: 30.0 if node == lead and body.get("apply") else None
        await asyncio.sleep(5.0)
        w.crash(lead)
        w.service.late = lambda node, body: None
        w.start(lead)
        for name in [n for n in NAMES if n != lead]:
            await w.upgrade(name, down_s=1.0)
        await all_new(w)
        second = w.job(2, run_s=3.0, awaits=[ref])
        await w.accepted(second)
        await ended(w, [ref, second], 60.0)

    play(scenario, old=old)


@any_old
def test_markers_are_ignored_by_production_and_stay(old):
    async def scenario(w: Simulation) -> None:
        await w.upgrade("n0")
        await asyncio.sleep(4.0)
        assert w.service.keys[keys.STORAGE_VERSION_PREFIX + "n0"][0] == {"format": CURRENT_VERSION}
        ref = w.job(1, run_s=3.0)
        await w.accepted(ref, "n1")
        await ended(w, [ref])
        assert w.service.keys.get(keys.STORAGE_VERSION_PREFIX + "n1", (None,))[0] == (
            None if old == 1 else {"format": 2}
        )

    play(scenario, old=old)
