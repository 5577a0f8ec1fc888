"""Overlapping failures (docs/design.md, "Meetings").

Every scenario also checks the rules of the platform on all machines and in all responses to users.
"""

import asyncio
import json

import pytest
from harness.play import play
from harness.simulation import Simulation


async def submit_and_wait_running(simulation: Simulation, *job_ids: str) -> None:
    """Submit jobs one after the other; after each submission, wait until the job runs."""
    for job_id in job_ids:
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id)


async def wait_until_stopped(simulation: Simulation, job_id: str, within_s: float | None = None) -> None:
    """Wait until no task of a cancelled job is on a machine; the default limit is `cancel_s`."""
    limit_s = simulation.params.workers.cancel_s if within_s is None else within_s
    await simulation.wait_until(
        lambda: not simulation.count_tasks_on_machines(job_id), limit_s, "a cancelled task is still on a machine"
    )


def partition(simulation: Simulation, *pairs: tuple[str, str]) -> None:
    """Cut the network between these pairs of nodes."""
    simulation.partitions |= {frozenset(p) for p in pairs}


def disconnect_workers_of(simulation: Simulation, job_id: str, duration_s: float) -> None:
    """Cut the machines that run a job off from all nodes for `duration_s`.

    Callers pass a `duration_s` shorter than a worker's lease, so that the tasks keep running.
    """
    for worker in simulation.workers.values():
        if any(p.startswith(job_id) for p in worker.tasks):
            worker.loses_heartbeats = True
            simulation.loop.call_later(duration_s, setattr, worker, "loses_heartbeats", False)


# -- cancellations that the leader cannot read -----------------------------------------------------


def test_cancellation_missed_by_the_leader_stops_tasks_during_a_long_outage():
    """Guard against a leader that keeps renewing the leases of a cancelled job.

    The store refuses only the leader, which therefore misses the cancellation, and then refuses all nodes.
    """
    stop_delays_s: list[float] = []

    async def scenario(simulation: Simulation) -> None:
        job_id, other = simulation.define_job(1, run_s=300.0), simulation.define_job(2, run_s=300.0)
        await submit_and_wait_running(simulation, job_id, other)
        simulation.store.refused.add(simulation.current_leader_name())
        await asyncio.sleep(1.0)
        assert await simulation.cancel(simulation.followers()[0], job_id) == (200, "withdrawn")
        confirmed_at = simulation.now()
        simulation.store.set_outage(True)
        await wait_until_stopped(simulation, job_id)
        stop_delays_s.append(simulation.now() - confirmed_at)
        # Even when the outage lasts longer than `cancel_s`, the tasks of other jobs keep running.
        await asyncio.sleep(50.0)
        assert simulation.count_tasks_on_machines(other)
        simulation.store.set_outage(False)
        simulation.store.refused.clear()
        await asyncio.sleep(10.0)

    play(scenario)
    assert stop_delays_s[0] < 15.0


def test_leader_learns_of_a_cancellation_from_a_quorum_lease_renewal():
    """The node that confirmed the cancellation cannot reach the leader and then crashes.

    The leader has to learn of the cancellation from the third node.
    """

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        leader = simulation.current_leader_name()
        first_follower, _ = simulation.followers()
        partition(simulation, (leader, first_follower))
        simulation.store.refused.add(leader)
        await asyncio.sleep(1.0)
        assert await simulation.cancel(first_follower, job_id) == (200, "withdrawn")
        simulation.store.set_outage(True)
        simulation.crash(first_follower)
        await wait_until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_leases_expire_when_all_nodes_that_knew_of_a_cancellation_have_restarted():
    """Lease expiry is the backstop when no node knows of a confirmed cancellation any more.

    Both followers have restarted since they learned of it, and neither can read the records during the outage.
    """

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        leader = simulation.current_leader_name()
        first_follower, second_follower = simulation.followers()
        partition(simulation, (leader, first_follower), (leader, second_follower))
        simulation.store.refused.add(leader)
        assert await simulation.cancel(first_follower, job_id) == (200, "withdrawn")
        simulation.store.set_outage(True)
        simulation.crash(first_follower)
        simulation.crash(second_follower)
        simulation.partitions.clear()
        simulation.start(first_follower)
        simulation.start(second_follower)
        await asyncio.sleep(1.0)
        assert simulation.count_tasks_on_machines(job_id)
        await wait_until_stopped(simulation, job_id)

    play(scenario)


def test_cancellation_is_not_confirmed_by_a_node_that_reaches_no_peer():
    """A node that can inform neither the leader nor another peer of a cancellation must not confirm it."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        first_follower, second_follower = simulation.followers()
        leader = simulation.current_leader_name()
        simulation.store.refused.add(leader)
        partition(simulation, (first_follower, second_follower), (first_follower, leader))
        assert (await simulation.cancel(first_follower, job_id))[0] == 503
        # The cancellation is stored nevertheless. Any response that shows it would confirm it, so the same condition
        # applies to every response.
        assert (await simulation.cancel(first_follower, job_id))[0] == 503
        assert (await simulation.poll(first_follower, job_id))[0] == 503
        assert await simulation.submit(first_follower, job_id) == 503
        # Another node that reads the record can inform the leader, and therefore confirms the cancellation.
        assert await simulation.poll(second_follower, job_id) == (200, "withdrawn")
        simulation.partitions.clear()
        assert await simulation.cancel(first_follower, job_id) == (200, "withdrawn")
        await wait_until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_cancellation_is_confirmed_through_the_leader_key_when_no_peer_is_reachable():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        partition(simulation, ("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
        await asyncio.sleep(30.0)
        assert simulation.leader() is not None
        assert await simulation.cancel(simulation.followers()[0], job_id) == (200, "withdrawn")
        await wait_until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_leader_cut_off_from_store_and_peers_does_not_extend_cancelled_tasks():
    """A leader that reaches neither store nor peers cannot learn of a cancellation, so the leases have to expire."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        former_leader = simulation.current_leader_name()
        first_follower, second_follower = simulation.followers()
        simulation.store.disconnected.add(former_leader)
        partition(simulation, (former_leader, first_follower), (former_leader, second_follower))
        assert await simulation.cancel(first_follower, job_id) == (200, "withdrawn")
        await wait_until_stopped(simulation, job_id)
        await simulation.wait_until(
            lambda: simulation.leader_name() not in (None, former_leader),
            20.0,
            "nobody leads",
        )

    play(scenario)


# -- unreachable machines and a new leader ---------------------------------------------------------


@pytest.mark.parametrize("fault", ["loses_heartbeats", "loses_responses", "hung"])
def test_task_of_an_unreachable_machine_moves_only_after_lease_expiry_despite_failover(fault):
    """Guard against a new leader that restarts a task elsewhere while the silent machine may still run it."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=300.0)
        await submit_and_wait_running(simulation, job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        setattr(worker, fault, True)
        simulation.crash(simulation.current_leader_name())
        # Once the lease has expired, the task runs on another machine, and only there.
        await simulation.wait_until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task was not restarted")
        setattr(worker, fault, False)
        await asyncio.sleep(30.0)
        assert simulation.jobs[job_id].starts == 2 and simulation.count_tasks_on_machines(job_id) == 1

    play(scenario)


def test_unreachable_machines_count_against_the_team_quota_after_a_failover():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.define_job(1, owner="red", pieces=8, run_s=300.0)
        second = simulation.define_job(2, owner="red", pieces=8, run_s=20.0)
        await submit_and_wait_running(simulation, first)
        for worker in simulation.workers.values():
            worker.loses_heartbeats = bool(worker.tasks)
        for _ in range(4):
            simulation.add_machine()
        simulation.crash(simulation.current_leader_name())
        await simulation.wait_for_leader()
        await simulation.submit_until_accepted(second)
        assert await simulation.cancel(next(iter(simulation.nodes)), first) == (200, "withdrawn")
        # Until its lease expires, a task that may still run counts against the quota of 8 GPUs. The simulation checks
        # the quota whenever a task starts.
        await simulation.wait_until(
            lambda: simulation.jobs[second].final == "done" or len(simulation.jobs[second].done) == 8,
            90.0,
            "the second job did not run",
        )

    play(scenario)


def test_heartbeats_delayed_until_a_new_leader_has_acted_change_nothing():
    """Late duplicates of earlier heartbeats must not make a new leader restart a task."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=60.0)
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        earlier_heartbeats = list(worker.sent_heartbeats)
        simulation.crash(simulation.current_leader_name())
        # The new leader gets duplicates of old heartbeats as the first heartbeats of all, and again after newer ones.
        leader = await simulation.wait_for_leader_name()
        for body in earlier_heartbeats[:1] + earlier_heartbeats[-1:]:
            await simulation.deliver_heartbeat(leader, body)
        await asyncio.sleep(8.0)
        for body in earlier_heartbeats:
            await simulation.deliver_heartbeat(leader, body)
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 1, 70.0, "the job does not end")
        assert simulation.jobs[job_id].starts == 1

    play(scenario)


def test_duplicates_of_heartbeats_from_before_a_launch_do_not_restart_a_task():
    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(4.0)
        job_ids = [simulation.define_job(n, run_s=30.0) for n in (1, 2)]
        await submit_and_wait_running(simulation, *job_ids)
        for worker in simulation.workers.values():
            for body in list(worker.sent_heartbeats):
                await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        await simulation.wait_until(lambda: all(simulation.jobs[r].done for r in job_ids), 60.0, "the jobs do not end")
        assert [simulation.jobs[r].starts for r in job_ids] == [1, 1]

    play(scenario)


def test_new_leader_restarts_nothing_on_first_heartbeats_of_an_earlier_epoch():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=100.0)
        await submit_and_wait_running(simulation, job_id)
        worker = next(iter(simulation.workers.values()))
        earlier_heartbeats = list(worker.sent_heartbeats)
        worker.loses_heartbeats = True
        await asyncio.sleep(16.0)
        worker.loses_heartbeats = False
        await simulation.wait_until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task was not restarted")
        await simulation.wait_until_running(job_id)
        simulation.crash(simulation.current_leader_name())
        simulation.add_machine()
        leader = await simulation.wait_for_leader_name()
        # One heartbeat was sent before the task was launched on the machine, the other while the task ran in the
        # earlier epoch.
        await simulation.deliver_heartbeat(leader, earlier_heartbeats[0])
        await simulation.deliver_heartbeat(leader, earlier_heartbeats[-1])
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "the job does not end")
        assert simulation.jobs[job_id].starts == 2

    play(scenario, machines=1)


def test_heartbeats_of_an_earlier_epoch_and_attempt_undo_nothing():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=100.0)
        await submit_and_wait_running(simulation, job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        earlier_heartbeats = list(worker.sent_heartbeats)
        worker.loses_heartbeats = True
        await simulation.wait_until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task was not restarted")
        worker.loses_heartbeats = False
        await asyncio.sleep(6.0)
        for body in earlier_heartbeats:
            await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        simulation.crash(simulation.current_leader_name())
        leader = await simulation.wait_for_leader_name()
        for body in reversed(earlier_heartbeats):
            await simulation.deliver_heartbeat(leader, body)
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "the job does not end")
        assert simulation.jobs[job_id].starts == 2

    play(scenario)


def test_jobs_end_when_machines_hang_with_launches_under_way():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=20.0, cards=4.0) for n in range(1, 5)]
        await submit_and_wait_running(simulation, *job_ids[:2])
        for job_id in job_ids[2:]:
            await simulation.submit_until_accepted(job_id)
        # Machines hang while tasks run on them and launches are under way. One of them hangs for longer than a lease.
        for i, worker in enumerate(sorted(simulation.workers.values(), key=lambda m: not m.tasks)[:4]):
            worker.hung = True
            simulation.loop.call_later((8.0, 11.0, 3.0, 14.0)[i], setattr, worker, "hung", False)
        await asyncio.sleep(2.0)
        await simulation.cancel(simulation.followers()[0], job_ids[0])
        await simulation.wait_until(
            lambda: all(simulation.jobs[r].done for r in job_ids[1:]), 90.0, "the jobs do not end"
        )

    play(scenario, machines=6)


# -- zones and leases ------------------------------------------------------------------------------


def test_tasks_keep_running_in_a_zone_that_reaches_only_an_isolated_follower():
    """The tasks of a zone that is cut off together with a follower keep running, and none of them starts twice."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=120.0, yard=zone) for n, zone in enumerate(("east", "west"), 1)]
        await submit_and_wait_running(simulation, *job_ids)
        leader, (isolated, other_follower) = simulation.current_leader_name(), simulation.followers()
        partition(simulation, (isolated, leader), (isolated, other_follower))
        for worker in simulation.workers.values():
            west = worker.zone == "west"
            worker.reached = (lambda node: node == isolated) if west else (lambda node: node != isolated)
            if west:
                worker.node = simulation.names.index(isolated)
        await asyncio.sleep(40.0)
        assert [simulation.jobs[r].starts for r in job_ids] == [1, 1]
        # A job that is cancelled during the partition also ends in the zone that is cut off.
        assert await simulation.cancel(other_follower, job_ids[1]) == (200, "withdrawn")
        await wait_until_stopped(simulation, job_ids[1])
        simulation.partitions.clear()
        for worker in simulation.workers.values():
            worker.reached = lambda node: True
        await simulation.wait_until(lambda: len(simulation.jobs[job_ids[0]].done) == 1, 100.0, "the job does not end")

    play(scenario)


@pytest.mark.parametrize("zone_constraint", [{"yard": "east"}, {"samePlace": True}])
def test_an_array_bound_to_one_zone_ends_after_a_machine_and_the_leader_are_lost(zone_constraint):
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=40.0, pieces=8, **zone_constraint)
        await submit_and_wait_running(simulation, job_id)
        lost_workers = [m for m in simulation.workers.values() if m.tasks][:1]
        for worker in lost_workers:
            worker.power_off()
        simulation.crash(simulation.current_leader_name())
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 8, 150.0, "the job does not end")

    play(scenario)


def test_a_gang_in_one_zone_ends_after_a_machine_and_the_leader_are_lost():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=40.0, pieces=2, shape="ensemble", cards=4.0, samePlace=True)
        await submit_and_wait_running(simulation, job_id)
        next(m for m in simulation.workers.values() if m.tasks).power_off()
        simulation.add_machine("east")
        simulation.add_machine("west")
        simulation.crash(simulation.current_leader_name())
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 2, 150.0, "the job does not end")

    play(scenario)


# -- completion of jobs ----------------------------------------------------------------------------


@pytest.mark.parametrize("latency_s", [0.004, 0.2])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.5, 0.8])
def test_concurrent_requests_at_job_completion_get_consistent_responses(after_s, latency_s):
    """Cancellations, polls and repeated submissions arrive as tasks end; all nodes have to agree on the result."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=10.0) for n in range(1, 5)]
        for job_id in job_ids:
            await simulation.submit_until_accepted(job_id)
        await simulation.wait_until(lambda: any(simulation.jobs[r].done for r in job_ids), 30.0, "no job ends")
        simulation.store.latency_s = latency_s
        await asyncio.sleep(after_s)
        nodes = list(simulation.nodes)
        for i, job_id in enumerate(job_ids):
            name = nodes[i % 3]
            await asyncio.gather(
                simulation.cancel(name, job_id),
                simulation.poll(nodes[(i + 1) % 3], job_id),
                simulation.submit(nodes[(i + 2) % 3], job_id),
                simulation.poll(name, job_id),
            )
        await asyncio.sleep(5.0)
        phases = {job_id: {(await simulation.poll(n, job_id))[1] for n in nodes} for job_id in job_ids}
        assert all(len(s) == 1 and s <= {"done", "withdrawn"} for s in phases.values())

    play(scenario)


def test_each_task_of_an_array_runs_once_across_failovers():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, pieces=n + 1, ends={0: 6.0, 1: 21.0, 2: 45.0}) for n in (1, 2)]
        for job_id in job_ids:
            await simulation.submit_until_accepted(job_id)
            await simulation.wait_until_running(job_id)
        for _ in range(3):
            done_before = sum(len(simulation.jobs[r].done) for r in job_ids)
            await simulation.wait_until(
                lambda b=done_before: sum(len(simulation.jobs[r].done) for r in job_ids) > b, 40.0, "no task ends"
            )
            name = simulation.current_leader_name()
            simulation.crash(name)
            await simulation.wait_for_leader()
            simulation.start(name)
        await simulation.wait_until(
            lambda: all(len(simulation.jobs[r].done) == simulation.jobs[r].spec["pieces"] for r in job_ids),
            60.0,
            "the jobs do not end",
        )
        await asyncio.sleep(3.0)
        for name in list(simulation.nodes):
            assert [(await simulation.poll(name, r))[1] for r in job_ids] == ["done", "done"]
        assert [simulation.jobs[r].starts for r in job_ids] == [2, 3]

    play(scenario)


# -- the key-value store ---------------------------------------------------------------------------


def test_delayed_writes_do_not_undo_newer_writes():
    """A quarter of the transactions get no response and are carried out later, after newer ones."""

    async def scenario(simulation: Simulation) -> None:
        simulation.store.delay_writes(0.25)
        job_ids = [simulation.define_job(n, run_s=15.0, pieces=2) for n in range(1, 13)]
        for i, job_id in enumerate(job_ids):
            simulation.run_in_background(simulation.submit_until_accepted(job_id, list(simulation.nodes)[i % 3], 60.0))
            await asyncio.sleep(2.0)
            if i % 4 == 3:
                name = (simulation.leader() or await simulation.wait_for_leader(30.0)).settings.node_name
                simulation.crash(name)
                await asyncio.sleep(0.5)
                simulation.start(name)
            if i % 3 == 2:
                await simulation.cancel(simulation.names[0], job_ids[i - 1])
        await asyncio.sleep(20.0)
        simulation.store.stop_delaying_writes()
        await asyncio.sleep(60.0)
        for job_id in job_ids:
            phases = {(await simulation.poll(n, job_id))[1] for n in simulation.nodes}
            assert phases in ({"done"}, {"withdrawn"})

    play(scenario)


def test_cancellations_hold_while_a_slow_store_degrades_to_an_outage():
    """The store is slow at first, then refuses the leader, and then refuses all nodes."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=200.0) for n in range(1, 6)]
        await submit_and_wait_running(simulation, *job_ids)
        simulation.store.latency_s = 0.9
        await asyncio.sleep(5.0)
        simulation.store.refused.add(simulation.current_leader_name())
        for job_id in job_ids[:3]:
            simulation.run_in_background(simulation.cancel(simulation.followers()[0], job_id))
            simulation.run_in_background(simulation.poll(simulation.followers()[1], job_id))
        await asyncio.sleep(2.2)
        assert [simulation.jobs[r].final for r in job_ids[:3]] == ["withdrawn"] * 3
        simulation.store.set_outage(True)
        for _ in range(20):
            for name in list(simulation.nodes):
                for job_id in job_ids:
                    simulation.run_in_background(simulation.poll(name, job_id))
                simulation.run_in_background(simulation.cancel(name, job_ids[3]))
            await asyncio.sleep(2.5)
        simulation.store.set_outage(False)
        simulation.store.refused.clear()
        simulation.store.latency_s = 0.004
        await asyncio.sleep(10.0)
        for job_id in job_ids[:4]:
            simulation.run_in_background(simulation.cancel(next(iter(simulation.nodes)), job_id))
        await asyncio.sleep(15.0)
        assert [simulation.count_tasks_on_machines(r) for r in job_ids] == [0, 0, 0, 0, 1]

    play(scenario, machines=6)


# -- leadership ------------------------------------------------------------------------------------


@pytest.mark.parametrize("restart_after_s", [0.2, 0.9, 3.0])
@pytest.mark.parametrize("outage", [False, True])
def test_jobs_end_after_repeated_failovers(restart_after_s, outage):
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=25.0, pieces=2) for n in range(1, 9)]
        for i, job_id in enumerate(job_ids):
            simulation.run_in_background(simulation.submit_until_accepted(job_id, within_s=120.0))
            name = simulation.current_leader_name() if simulation.leader() is not None else simulation.random_node()
            if outage and i == 3:
                simulation.store.set_outage(True)
            disconnect_workers_of(simulation, job_ids[max(0, i - 1)], 9.5)
            simulation.crash(name)
            await asyncio.sleep(restart_after_s)
            simulation.start(name)
            await asyncio.sleep(8.0)
            if i % 3 == 1:
                simulation.run_in_background(simulation.cancel(name, job_ids[i - 1]))
            if outage and i == 5:
                simulation.store.set_outage(False)
        await asyncio.sleep(90.0)
        for job_id in job_ids:
            assert (await simulation.poll(simulation.names[0], job_id))[1] in ("done", "withdrawn")

    play(scenario)


@pytest.mark.parametrize("restart_after_s", [0.1, 0.6, 3.0])
def test_jobs_end_when_all_nodes_crash_and_a_former_follower_restarts_first(restart_after_s):
    """The store refuses one leader after the other; then all nodes crash, and an initial follower restarts first."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.define_job(1, run_s=100.0)
        await submit_and_wait_running(simulation, job_id)
        leader = simulation.current_leader_name()
        first_to_restart = simulation.followers()[0]
        simulation.store.refused.add(leader)
        await simulation.wait_until(
            lambda: simulation.leader_name() not in (None, leader),
            20.0,
            "leadership does not move to another node",
        )
        simulation.store.refused.clear()
        simulation.store.refused.add(simulation.current_leader_name())
        await asyncio.sleep(4.0)
        disconnect_workers_of(simulation, job_id, 9.5)
        for name in list(simulation.nodes):
            simulation.crash(name)
        await asyncio.sleep(restart_after_s)
        simulation.start(first_to_restart)
        simulation.store.refused.clear()
        await asyncio.sleep(1.0)
        for name in simulation.names:
            if name != first_to_restart:
                simulation.start(name)
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 1, 200.0, "the job does not end")

    play(scenario)


def test_job_runs_again_after_all_nodes_were_down_longer_than_a_lease():
    async def scenario(simulation: Simulation) -> None:
        job_id, cancelled = simulation.define_job(1, run_s=60.0), simulation.define_job(2, run_s=60.0)
        await submit_and_wait_running(simulation, job_id, cancelled)
        assert await simulation.cancel(simulation.followers()[0], cancelled) == (200, "withdrawn")
        for name in list(simulation.nodes):
            simulation.crash(name)
        await asyncio.sleep(20.0)
        assert not simulation.count_tasks_on_machines(job_id)
        for name in simulation.names:
            simulation.start(name)
        await simulation.wait_until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "the job does not end")
        assert not simulation.count_tasks_on_machines(cancelled)

    play(scenario)


def test_urgent_jobs_preempt_others_over_slow_links():
    async def scenario(simulation: Simulation) -> None:
        for node in simulation.nodes.values():
            for link in node.leadership.peers:
                link.delay_s = 0.25
        simulation.store.latency_s = 0.4
        low = [simulation.define_job(n, run_s=30.0, pieces=8, rank="low") for n in range(1, 13)]
        urgent = [
            simulation.define_job(n, run_s=20.0, pieces=1, rank="urgent", shape="ensemble", cards=4.0)
            for n in range(31, 35)
        ]
        for job_id in (*low, *urgent):
            simulation.run_in_background(
                simulation.submit_until_accepted(job_id, simulation.random.choice(simulation.names), 60.0)
            )
            await asyncio.sleep(0.5)
        await simulation.wait_until(
            lambda: all(simulation.jobs[r].done for r in urgent), 60.0, "urgent jobs do not end"
        )
        await simulation.wait_until(
            lambda: all(len(simulation.jobs[r].done) == 8 for r in low), 400.0, "low jobs starve"
        )

    play(scenario)


@pytest.mark.parametrize("until_outage_s", [0.3, 1.0, 2.0, 2.4, 2.6, 2.8, 3.5])
def test_cancellations_hold_when_the_store_refuses_the_leader_before_an_outage(until_outage_s):
    """The store refuses the leader as cancellations are sent, and refuses all nodes shortly afterwards."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.define_job(n, run_s=300.0) for n in range(1, 7)]
        await submit_and_wait_running(simulation, *job_ids)
        simulation.store.refused.add(simulation.current_leader_name())
        for i, job_id in enumerate(job_ids[:4]):
            simulation.run_in_background(simulation.cancel(simulation.names[i % 3], job_id))
        await asyncio.sleep(until_outage_s)
        simulation.store.set_outage(True)
        await asyncio.sleep(60.0)
        simulation.store.set_outage(False)
        simulation.store.refused.clear()
        await asyncio.sleep(20.0)
        for job_id in job_ids[:4]:
            await simulation.cancel(simulation.names[0], job_id)
        await asyncio.sleep(15.0)
        assert [simulation.count_tasks_on_machines(r) for r in job_ids] == [0, 0, 0, 0, 1, 1]
        # No leader handed leadership over to a node that the store refused as well, so the other jobs kept running.
        assert [simulation.jobs[r].starts for r in job_ids[4:]] == [1, 1]

    play(scenario, machines=6)


# -- unusual requests ------------------------------------------------------------------------------


def test_unusual_requests_are_answered_alike_at_every_node_and_in_an_outage():
    async def scenario(simulation: Simulation) -> None:
        done, cancelled, running = (
            simulation.define_job(1, run_s=3.0),
            simulation.define_job(2, run_s=300.0),
            simulation.define_job(3, run_s=300.0),
        )
        await submit_and_wait_running(simulation, running, cancelled)
        await simulation.submit_until_accepted(done)
        await simulation.wait_until(lambda: simulation.jobs[done].done, 20.0, "the job does not end")
        await asyncio.sleep(2.0)
        assert await simulation.cancel(simulation.names[1], cancelled) == (200, "withdrawn")
        incomplete = {k: v for k, v in simulation.jobs[running].spec.items() if k != "cards"}
        infeasible = {**simulation.jobs[running].spec, "ref": "run-000777", "cards": 5.0}
        await asyncio.sleep(2.0)
        for down in (False, True):
            simulation.store.set_outage(down)
            for name in simulation.names:
                api = simulation.nodes[name].job_service
                assert [await simulation.cancel(name, done), await simulation.cancel(name, cancelled)] == [
                    (200, "done"),
                    (200, "withdrawn"),
                ]
                assert [await simulation.submit(name, r) for r in (done, cancelled)] == [200, 200]
                assert (await api.submit(json.dumps({**incomplete, "ref": "run-000778"}).encode()))[0] == 400
                statuses = [
                    await simulation.submit(name, running),
                    (await api.submit(json.dumps(infeasible).encode()))[0],
                ]
                unknown = [(await api.get("run-000779"))[0], (await api.cancel("run-000779"))[0]]
                assert statuses + unknown == ([503, 503, 503, 503] if down else [200, 422, 404, 404])
        assert simulation.count_tasks_on_machines(running) == 1

    play(scenario)
