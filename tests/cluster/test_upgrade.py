"""Rolling upgrades: nodes that run an older program are replaced while requests, heartbeats and failures continue.

`old` is the storage format of the program that is replaced: format 1 was in production up to e723b3b, and format 2 is
that of 0dce834.
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
with_each_old_format = pytest.mark.parametrize("old", [1, 2])


async def wait_all_upgraded(simulation: Simulation, within_s: float = 10.0) -> None:
    """Wait until every node knows that all nodes run the current program."""
    await simulation.wait_until(
        lambda: all(n.storage_version.supported_by_all(CURRENT_VERSION) for n in simulation.nodes.values()),
        within_s,
        "not every node knows that all are upgraded",
    )


async def submit_until_accepted(simulation: Simulation, job_id: str, within_s: float = 60.0) -> None:
    """Submit a job at random nodes that are up until one of them accepts it."""
    end = simulation.now() + within_s
    while not simulation.nodes or await simulation.submit(simulation.random_node(), job_id) not in (200, 201):
        assert simulation.now() < end, f"{job_id} is not accepted"
        await asyncio.sleep(1.0)


async def submit_and_cancel(
    simulation: Simulation, first_number: int, count: int, interval_s: float = 1.0
) -> list[str]:
    """Submit `count` jobs at random nodes and cancel a third of them; return the ids of all."""
    job_ids = []
    for i in range(first_number, first_number + count):
        job_id = simulation.define_job(i, run_s=4.0, cards=0.0, cores=1.0)
        job_ids.append(job_id)
        await submit_until_accepted(simulation, job_id)
        await asyncio.sleep(interval_s)
        if i % 3 == 0 and simulation.nodes:
            await simulation.cancel(simulation.random_node(), job_id)
    return job_ids


async def wait_all_ended(simulation: Simulation, job_ids: list[str], within_s: float = 40.0) -> None:
    """Wait until every node answers that each of these jobs is done or cancelled."""

    async def has_ended(job_id: str) -> bool:
        answers = [await simulation.poll(node, job_id) for node in list(simulation.nodes)]
        return all(status == 200 and phase in ("done", "withdrawn") for status, phase in answers)

    end = simulation.now() + within_s
    for job_id in job_ids:
        while not await has_ended(job_id):
            assert simulation.now() < end, f"{job_id} does not end"
            await asyncio.sleep(1.0)


async def submit_pipeline(simulation: Simulation, first_number: int) -> list[str]:
    """Submit three jobs, each of which depends on the one before; return their ids."""
    job_ids: list[str] = []
    for n in range(first_number, first_number + 3):
        job_ids.append(
            simulation.define_job(
                n, run_s=3.0, awaits=job_ids[-1:] or None, rank="urgent" if n == first_number + 2 else "low"
            )
        )
        await submit_until_accepted(simulation, job_ids[-1])
    return job_ids


@pytest.mark.parametrize("order", permutations(NAMES))
@with_each_old_format
def test_jobs_end_while_nodes_are_replaced_one_by_one_in_any_order(order, old):
    async def scenario(simulation: Simulation) -> None:
        traffic = simulation.run_in_background(submit_and_cancel(simulation, 1, 25))
        for name in order:
            await asyncio.sleep(4.0)
            await simulation.upgrade(name)
        await simulation.wait_for_leader()
        await wait_all_upgraded(simulation)
        job_ids = await submit_pipeline(simulation, 100)
        await wait_all_ended(simulation, [*await traffic, *job_ids])
        assert all(simulation.jobs[job_id].final == "done" for job_id in job_ids)

    play(scenario, old=old)


@pytest.mark.parametrize("leader_first", [True, False])
@with_each_old_format
def test_jobs_end_when_two_nodes_are_replaced_at_once(leader_first, old):
    async def scenario(simulation: Simulation) -> None:
        traffic = simulation.run_in_background(submit_and_cancel(simulation, 1, 25))
        leader, others = simulation.current_leader_name(), simulation.followers()
        first_pair = (leader, others[0]) if leader_first else tuple(others)
        await simulation.upgrade(*first_pair)
        await asyncio.sleep(5.0)
        await simulation.upgrade(*(set(NAMES) - set(first_pair)))
        await wait_all_upgraded(simulation, 20.0)
        await wait_all_ended(simulation, [*await traffic, *await submit_pipeline(simulation, 100)])

    play(scenario, old=old)


def test_a_dependent_job_is_not_accepted_while_a_node_may_restart_with_an_older_program():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.define_job(1, run_s=3.0)
        await simulation.submit_until_accepted(first, "n0")
        second = simulation.define_job(2, awaits=[first])
        await simulation.upgrade("n0", "n1")
        await simulation.wait_for_leader()
        await asyncio.sleep(5.0)
        # n2 crashes before its upgrade and restarts with the older program. Neither while it is down nor afterwards may
        # the other nodes take it for upgraded.
        simulation.crash("n2")
        assert await simulation.submit("n0", second) == 503
        await asyncio.sleep(3.0)
        simulation.start("n2", old=1)
        await asyncio.sleep(6.0)
        assert await simulation.submit("n1", second) == 503
        await simulation.upgrade("n2")
        await wait_all_upgraded(simulation)
        assert await simulation.submit("n1", second) == 201
        await wait_all_ended(simulation, [first, second])

    play(scenario, old=1)


@with_each_old_format
def test_a_node_that_the_store_refuses_gets_its_version_marker_from_its_peers(old):
    """A node that the store refuses cannot store its own version marker.

    Without its marker, submissions of dependent jobs would be answered 503 for as long as the store refuses the node.
    """

    async def scenario(simulation: Simulation) -> None:
        simulation.store.refused.add("n2")
        await simulation.upgrade("n0", "n1")
        await simulation.upgrade("n2")
        await simulation.wait_until(
            lambda: simulation.nodes["n0"].storage_version.supported_by_all(CURRENT_VERSION),
            15.0,
            "no marker is stored for the refused node",
        )
        first = simulation.define_job(1, run_s=3.0)
        await simulation.submit_until_accepted(first, "n0")
        await simulation.submit_until_accepted(simulation.define_job(2, run_s=3.0, awaits=[first]), "n1", within_s=2.0)

    play(scenario, old=old)


@with_each_old_format
def test_a_marked_node_that_is_down_does_not_delay_the_new_storage_version(old):
    async def scenario(simulation: Simulation) -> None:
        await simulation.upgrade("n2")
        await asyncio.sleep(3.0)
        await simulation.upgrade("n1")
        await asyncio.sleep(3.0)
        simulation.crash("n2")
        await simulation.upgrade("n0")
        await simulation.wait_until(
            lambda: simulation.nodes["n0"].storage_version.supported_by_all(CURRENT_VERSION),
            10.0,
            "the storage version waits for a node that has a marker",
        )

    play(scenario, old=old)


@pytest.mark.parametrize("fault", ["outage", "cut", "late writes", "crash"])
@with_each_old_format
def test_jobs_end_when_a_failure_occurs_during_an_upgrade(fault, old):
    async def scenario(simulation: Simulation) -> None:
        traffic = simulation.run_in_background(submit_and_cancel(simulation, 1, 30))
        await simulation.upgrade(simulation.followers()[0])
        leader = simulation.leader() or await simulation.wait_for_leader()
        if fault == "outage":
            simulation.store.set_outage(True)
            simulation.loop.call_later(14.0, simulation.store.set_outage, False)
        elif fault == "cut":
            simulation.partitions |= simulation.node_pairs_of("n0")
            simulation.loop.call_later(14.0, simulation.partitions.clear)
        elif fault == "late writes":
            simulation.store.delay_writes(0.2)
        else:
            name = leader.settings.node_name
            simulation.crash(name)
            simulation.start(name, old=old if name != simulation.followers()[0] else 0)
        await asyncio.sleep(3.0)
        for name in [n for n, node in simulation.nodes.items() if type(node).__name__ != "Node"]:
            await simulation.upgrade(name)
            await asyncio.sleep(2.0)
        await asyncio.sleep(12.0)
        simulation.store.stop_delaying_writes()
        await wait_all_upgraded(simulation, 30.0)
        await wait_all_ended(simulation, [*await traffic, *await submit_pipeline(simulation, 100)], 60.0)

    play(scenario, old=old)


@with_each_old_format
def test_the_old_format_is_written_until_all_are_upgraded_and_lowered_limits_hold(old):
    """Large records of the older program have to stay writable after the switch to lower limits, amid other writes."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = []
        for n in range(1, 4):
            ends = {task: 3.0 + (task * 7) % 23 for task in range(300)}
            job_ids.append(simulation.define_job(n, pieces=300, cards=0.0, cores=0.5, memGb=0.5, ends=ends))
            await simulation.submit_until_accepted(job_ids[-1])
        await simulation.wait_until(
            lambda: all(simulation.count_tasks_on_machines(job_id) > 20 for job_id in job_ids),
            20.0,
            "the arrays do not run",
        )
        for name in NAMES:
            await simulation.upgrade(name)
            await asyncio.sleep(2.0)
        await wait_all_upgraded(simulation)
        values = [v for k, (v, _, _) in simulation.store.keys.items() if k.startswith(keys.JOB_PREFIX)]
        assert any(job_records.json_bytes(v) > 1500 for v in values)
        simulation.store.lower_limits()
        await simulation.cancel(simulation.followers()[0], job_ids[0])
        first = simulation.define_job(10, run_s=3.0)
        await simulation.submit_until_accepted(first)
        job_ids += [first, simulation.define_job(11, run_s=3.0, awaits=[first])]
        await simulation.submit_until_accepted(job_ids[-1])
        await wait_all_ended(simulation, job_ids, 120.0)
        assert simulation.store.refusals[400] <= 3 and simulation.store.largest_value_bytes <= 2048

    play(scenario, machines=8, old=old, state=LIMITS)


@with_each_old_format
def test_a_delayed_write_of_an_old_leader_does_not_undo_a_newer_write(old):
    """The last transaction of a leader with the older program is carried out late.

    By then all nodes are upgraded and have written the record of the same job.
    """

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, pieces=4, ends={0: 4.0, 1: 30.0, 2: 34.0, 3: 40.0})
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id)
        leader = simulation.current_leader_name()
        simulation.store.write_delay_s = lambda node, body: 30.0 if node == leader and body.get("apply") else None
        await asyncio.sleep(5.0)
        simulation.crash(leader)
        simulation.store.stop_delaying_writes()
        simulation.start(leader)
        for name in [n for n in NAMES if n != leader]:
            await simulation.upgrade(name, down_s=1.0)
        await wait_all_upgraded(simulation)
        second = simulation.define_job(2, run_s=3.0, awaits=[job_id])
        await simulation.submit_until_accepted(second)
        await wait_all_ended(simulation, [job_id, second], 60.0)

    play(scenario, old=old)


@with_each_old_format
def test_version_markers_are_kept_and_older_programs_ignore_them(old):
    async def scenario(simulation: Simulation) -> None:
        await simulation.upgrade("n0")
        await asyncio.sleep(4.0)
        assert simulation.store.keys[keys.STORAGE_VERSION_PREFIX + "n0"][0] == {"format": CURRENT_VERSION}
        job_id = simulation.define_job(1, run_s=3.0)
        await simulation.submit_until_accepted(job_id, "n1")
        await wait_all_ended(simulation, [job_id])
        assert simulation.store.keys.get(keys.STORAGE_VERSION_PREFIX + "n1", (None,))[0] == (
            None if old == 1 else {"format": 2}
        )

    play(scenario, old=old)
