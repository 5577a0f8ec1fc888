"""Two failures that overlap (docs/design.md, "Meetings"): each test asserts the rules on machines and in responses."""

import asyncio
import json

import pytest
from harness.play import play
from harness.simulation import Simulation


async def running(simulation: Simulation, *job_ids: str) -> None:
    """Submit jobs, one after the other, and wait until each runs."""
    for job_id in job_ids:
        await simulation.accepted(job_id)
        await simulation.runs(job_id)


async def until_stopped(simulation: Simulation, job_id: str, within_s: float | None = None) -> None:
    """A cancelled job's tasks are over, within the time that a cancellation may take."""
    limit_s = simulation.params.workers.cancel_s if within_s is None else within_s
    await simulation.until(lambda: not simulation.on_machines(job_id), limit_s, "the cancelled task goes on")


def partition(simulation: Simulation, *pairs: tuple[str, str]) -> None:
    """These pairs of nodes don't reach each other."""
    simulation.partitions |= {frozenset(p) for p in pairs}


def mute_for(simulation: Simulation, job_id: str, seconds: float) -> None:
    """The machines of a job reach no node for less than a lease: their tasks go on."""
    for worker in simulation.workers.values():
        if any(p.startswith(job_id) for p in worker.tasks):
            worker.mute = True
            simulation.loop.call_later(seconds, setattr, worker, "mute", False)


# -- a cancellation that the leader can't read ----------------------------------------------------


def test_a_cancellation_confirmed_while_the_store_refuses_the_leader_stops_its_tasks_in_a_long_outage():
    """The leader alone was refused and missed it, and then renewed leases through an outage for all."""
    gone: list[float] = []

    async def scenario(simulation: Simulation) -> None:
        job_id, other = simulation.job(1, run_s=300.0), simulation.job(2, run_s=300.0)
        await running(simulation, job_id, other)
        simulation.service.refused.add(simulation.current_leader_name())
        await asyncio.sleep(1.0)
        assert await simulation.cancel(simulation.followers()[0], job_id) == (200, "withdrawn")
        at = simulation.now()
        simulation.service.outage(True)
        await until_stopped(simulation, job_id)
        gone.append(simulation.now() - at)
        # Longer than a cancellation may take: the work of others is not lost for it.
        await asyncio.sleep(50.0)
        assert simulation.on_machines(other)
        simulation.service.outage(False)
        simulation.service.refused.clear()
        await asyncio.sleep(10.0)

    play(scenario)
    assert gone[0] < 15.0


def test_a_leader_learns_a_cancellation_from_a_quorum_lease_renewal_when_its_confirmer_is_down():
    """The node that confirmed it does not reach the leader and then crashes; the third one passes it on."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        lead = simulation.current_leader_name()
        one, _ = simulation.followers()
        partition(simulation, (lead, one))
        simulation.service.refused.add(lead)
        await asyncio.sleep(1.0)
        assert await simulation.cancel(one, job_id) == (200, "withdrawn")
        simulation.service.outage(True)
        simulation.crash(one)
        await until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_leases_expire_when_all_nodes_that_knew_a_cancellation_have_restarted():
    """The backstop: both nodes that knew are new processes, and neither can read the records."""

    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        lead = simulation.current_leader_name()
        one, two = simulation.followers()
        partition(simulation, (lead, one), (lead, two))
        simulation.service.refused.add(lead)
        assert await simulation.cancel(one, job_id) == (200, "withdrawn")
        simulation.service.outage(True)
        simulation.crash(one)
        simulation.crash(two)
        simulation.partitions.clear()
        simulation.start(one)
        simulation.start(two)
        await asyncio.sleep(1.0)
        assert simulation.on_machines(job_id)
        await until_stopped(simulation, job_id)

    play(scenario)


def test_a_cancellation_that_can_t_reach_a_peer_is_not_confirmed_by_any_response():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        one, two = simulation.followers()
        lead = simulation.current_leader_name()
        simulation.service.refused.add(lead)
        partition(simulation, (one, two), (one, lead))
        assert (await simulation.cancel(one, job_id))[0] == 503
        # It is stored all the same; any response that shows this confirms it, and so meets the same condition.
        assert (await simulation.cancel(one, job_id))[0] == 503
        assert (await simulation.poll(one, job_id))[0] == 503
        assert await simulation.submit(one, job_id) == 503
        # Another node that reads it can spread it.
        assert await simulation.poll(two, job_id) == (200, "withdrawn")
        simulation.partitions.clear()
        assert await simulation.cancel(one, job_id) == (200, "withdrawn")
        await until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_a_cancellation_under_a_leader_without_peers_is_confirmed_by_the_leader_key():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        partition(simulation, ("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
        await asyncio.sleep(30.0)
        assert simulation.leader() is not None
        assert await simulation.cancel(simulation.followers()[0], job_id) == (200, "withdrawn")
        await until_stopped(simulation, job_id, 15.0)

    play(scenario)


def test_a_leader_cut_off_from_store_and_peers_does_not_prolong_cancelled_tasks():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        old = simulation.current_leader_name()
        one, two = simulation.followers()
        simulation.service.disconnected.add(old)
        partition(simulation, (old, one), (old, two))
        assert await simulation.cancel(one, job_id) == (200, "withdrawn")
        await until_stopped(simulation, job_id)
        await simulation.until(
            lambda: simulation.leader_name() not in (None, old),
            20.0,
            "nobody leads",
        )

    play(scenario)


# -- machines that can't be asked, and a new leader -------------------------------------------------


@pytest.mark.parametrize("trouble", ["mute", "deaf", "hung"])
def test_a_task_of_an_unreachable_machine_runs_elsewhere_only_after_its_lease_when_the_leader_crashes(trouble):
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=300.0)
        await running(simulation, job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        setattr(worker, trouble, True)
        simulation.crash(simulation.current_leader_name())
        # Its lease ends; then the task runs elsewhere, and only there.
        await simulation.until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task is lost")
        setattr(worker, trouble, False)
        await asyncio.sleep(30.0)
        assert simulation.jobs[job_id].starts == 2 and simulation.on_machines(job_id) == 1

    play(scenario)


def test_unreachable_machines_count_for_a_team_s_quota_after_a_failover():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.job(1, owner="red", pieces=8, run_s=300.0)
        second = simulation.job(2, owner="red", pieces=8, run_s=20.0)
        await running(simulation, first)
        for worker in simulation.workers.values():
            worker.mute = bool(worker.tasks)
        for _ in range(4):
            simulation.machine()
        simulation.crash(simulation.current_leader_name())
        await simulation.led()
        await simulation.accepted(second)
        assert await simulation.cancel(next(iter(simulation.nodes)), first) == (200, "withdrawn")
        # The limit of 8 is used by what may still run, for a lease; the simulation checks it at each start.
        await simulation.until(
            lambda: simulation.jobs[second].final == "done" or len(simulation.jobs[second].done) == 8,
            90.0,
            "it never ran",
        )

    play(scenario)


def test_heartbeats_delayed_until_a_new_leader_has_acted_change_nothing():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=60.0)
        await simulation.accepted(job_id)
        await simulation.runs(job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        before = list(worker.sent_heartbeats)
        simulation.crash(simulation.current_leader_name())
        # First of all, and then again after newer ones, the new leader gets duplicates from before.
        lead = await simulation.led_by()
        for body in before[:1] + before[-1:]:
            await simulation.deliver_heartbeat(lead, body)
        await asyncio.sleep(8.0)
        for body in before:
            await simulation.deliver_heartbeat(lead, body)
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 1, 70.0, "it does not end")
        assert simulation.jobs[job_id].starts == 1

    play(scenario)


def test_duplicates_of_heartbeats_from_before_a_launch_do_not_restart_a_task():
    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(4.0)
        job_ids = [simulation.job(n, run_s=30.0) for n in (1, 2)]
        await running(simulation, *job_ids)
        for worker in simulation.workers.values():
            for body in list(worker.sent_heartbeats):
                await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        await simulation.until(lambda: all(simulation.jobs[r].done for r in job_ids), 60.0, "they do not end")
        assert [simulation.jobs[r].starts for r in job_ids] == [1, 1]

    play(scenario)


def test_a_new_leader_whose_first_heartbeat_is_of_an_earlier_epoch_restarts_nothing():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=100.0)
        await running(simulation, job_id)
        worker = next(iter(simulation.workers.values()))
        old = list(worker.sent_heartbeats)
        worker.mute = True
        await asyncio.sleep(16.0)
        worker.mute = False
        await simulation.until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task is lost")
        await simulation.runs(job_id)
        simulation.crash(simulation.current_leader_name())
        simulation.machine()
        lead = await simulation.led_by()
        # From before the task came there, and from when it ran in the earlier epoch.
        await simulation.deliver_heartbeat(lead, old[0])
        await simulation.deliver_heartbeat(lead, old[-1])
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "it does not end")
        assert simulation.jobs[job_id].starts == 2

    play(scenario, machines=1)


def test_heartbeats_of_an_earlier_epoch_and_attempt_undo_nothing():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=100.0)
        await running(simulation, job_id)
        worker = next(m for m in simulation.workers.values() if m.tasks)
        old = list(worker.sent_heartbeats)
        worker.mute = True
        await simulation.until(lambda: simulation.jobs[job_id].starts == 2, 45.0, "the task is lost")
        worker.mute = False
        await asyncio.sleep(6.0)
        for body in old:
            await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        simulation.crash(simulation.current_leader_name())
        lead = await simulation.led_by()
        for body in reversed(old):
            await simulation.deliver_heartbeat(lead, body)
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "it does not end")
        assert simulation.jobs[job_id].starts == 2

    play(scenario)


def test_jobs_end_when_machines_hang_with_launches_under_way():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=20.0, cards=4.0) for n in range(1, 5)]
        await running(simulation, *job_ids[:2])
        for job_id in job_ids[2:]:
            await simulation.accepted(job_id)
        # Machines hang with tasks on them and launches on their way, one of them for longer than a lease.
        for i, worker in enumerate(sorted(simulation.workers.values(), key=lambda m: not m.tasks)[:4]):
            worker.hung = True
            simulation.loop.call_later((8.0, 11.0, 3.0, 14.0)[i], setattr, worker, "hung", False)
        await asyncio.sleep(2.0)
        await simulation.cancel(simulation.followers()[0], job_ids[0])
        await simulation.until(lambda: all(simulation.jobs[r].done for r in job_ids[1:]), 90.0, "they do not end")

    play(scenario, machines=6)


# -- zones and leases -------------------------------------------------------------------------------


def test_tasks_of_a_zone_cut_off_with_a_follower_run_on_and_none_runs_twice():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=120.0, yard=zone) for n, zone in enumerate(("east", "west"), 1)]
        await running(simulation, *job_ids)
        lead, (inside, other) = simulation.current_leader_name(), simulation.followers()
        partition(simulation, (inside, lead), (inside, other))
        for worker in simulation.workers.values():
            west = worker.zone == "west"
            worker.reached = (lambda node: node == inside) if west else (lambda node: node != inside)
            if west:
                worker.node = simulation.names.index(inside)
        await asyncio.sleep(40.0)
        assert [simulation.jobs[r].starts for r in job_ids] == [1, 1]
        # What is cancelled meanwhile ends inside the cut zone too.
        assert await simulation.cancel(other, job_ids[1]) == (200, "withdrawn")
        await until_stopped(simulation, job_ids[1])
        simulation.partitions.clear()
        for worker in simulation.workers.values():
            worker.reached = lambda node: True
        await simulation.until(lambda: len(simulation.jobs[job_ids[0]].done) == 1, 100.0, "it does not end")

    play(scenario)


@pytest.mark.parametrize("bound", [{"yard": "east"}, {"samePlace": True}])
def test_an_array_bound_to_one_zone_ends_after_a_machine_and_the_leader_are_lost(bound):
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=40.0, pieces=8, **bound)
        await running(simulation, job_id)
        dead = [m for m in simulation.workers.values() if m.tasks][:1]
        for worker in dead:
            worker.gone()
        simulation.crash(simulation.current_leader_name())
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 8, 150.0, "it does not end")

    play(scenario)


def test_a_gang_in_one_zone_ends_after_a_machine_and_the_leader_are_lost():
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=40.0, pieces=2, shape="ensemble", cards=4.0, samePlace=True)
        await running(simulation, job_id)
        next(m for m in simulation.workers.values() if m.tasks).gone()
        simulation.machine("east")
        simulation.machine("west")
        simulation.crash(simulation.current_leader_name())
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 2, 150.0, "it does not end")

    play(scenario)


# -- ends of jobs -------------------------------------------------------------------------------------


@pytest.mark.parametrize("latency_s", [0.004, 0.2])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.5, 0.8])
def test_cancellation_poll_and_resubmission_at_the_end_of_the_last_task_agree(after_s, latency_s):
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=10.0) for n in range(1, 5)]
        for job_id in job_ids:
            await simulation.accepted(job_id)
        await simulation.until(lambda: any(simulation.jobs[r].done for r in job_ids), 30.0, "none ends")
        simulation.service.latency_s = latency_s
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
        said = {job_id: {(await simulation.poll(n, job_id))[1] for n in nodes} for job_id in job_ids}
        assert all(len(s) == 1 and s <= {"done", "withdrawn"} for s in said.values())

    play(scenario)


def test_each_task_of_an_array_runs_once_across_failovers():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, pieces=n + 1, ends={0: 6.0, 1: 21.0, 2: 45.0}) for n in (1, 2)]
        for job_id in job_ids:
            await simulation.accepted(job_id)
            await simulation.runs(job_id)
        for _ in range(3):
            before = sum(len(simulation.jobs[r].done) for r in job_ids)
            await simulation.until(
                lambda b=before: sum(len(simulation.jobs[r].done) for r in job_ids) > b, 40.0, "no task ends"
            )
            name = simulation.current_leader_name()
            simulation.crash(name)
            await simulation.led()
            simulation.start(name)
        await simulation.until(
            lambda: all(len(simulation.jobs[r].done) == simulation.jobs[r].spec["pieces"] for r in job_ids),
            60.0,
            "no end",
        )
        await asyncio.sleep(3.0)
        for name in list(simulation.nodes):
            assert [(await simulation.poll(name, r))[1] for r in job_ids] == ["done", "done"]
        assert [simulation.jobs[r].starts for r in job_ids] == [2, 3]

    play(scenario)


# -- the state service -----------------------------------------------------------------------------------


def test_writes_carried_out_late_after_newer_ones_undo_nothing():
    async def scenario(simulation: Simulation) -> None:
        simulation.service.delay_writes(0.25)
        job_ids = [simulation.job(n, run_s=15.0, pieces=2) for n in range(1, 13)]
        for i, job_id in enumerate(job_ids):
            simulation.go(simulation.accepted(job_id, list(simulation.nodes)[i % 3], 60.0))
            await asyncio.sleep(2.0)
            if i % 4 == 3:
                name = (simulation.leader() or await simulation.led(30.0)).settings.node_name
                simulation.crash(name)
                await asyncio.sleep(0.5)
                simulation.start(name)
            if i % 3 == 2:
                await simulation.cancel(simulation.names[0], job_ids[i - 1])
        await asyncio.sleep(20.0)
        simulation.service.write_at_once()
        await asyncio.sleep(60.0)
        for job_id in job_ids:
            phases = {(await simulation.poll(n, job_id))[1] for n in simulation.nodes}
            assert phases in ({"done"}, {"withdrawn"})

    play(scenario)


def test_cancellations_hold_while_the_store_is_slow_then_refuses_the_leader_then_everybody():
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=200.0) for n in range(1, 6)]
        await running(simulation, *job_ids)
        simulation.service.latency_s = 0.9
        await asyncio.sleep(5.0)
        simulation.service.refused.add(simulation.current_leader_name())
        for job_id in job_ids[:3]:
            simulation.go(simulation.cancel(simulation.followers()[0], job_id))
            simulation.go(simulation.poll(simulation.followers()[1], job_id))
        await asyncio.sleep(2.2)
        assert [simulation.jobs[r].final for r in job_ids[:3]] == ["withdrawn"] * 3
        simulation.service.outage(True)
        for _ in range(20):
            for name in list(simulation.nodes):
                for job_id in job_ids:
                    simulation.go(simulation.poll(name, job_id))
                simulation.go(simulation.cancel(name, job_ids[3]))
            await asyncio.sleep(2.5)
        simulation.service.outage(False)
        simulation.service.refused.clear()
        simulation.service.latency_s = 0.004
        await asyncio.sleep(10.0)
        for job_id in job_ids[:4]:
            simulation.go(simulation.cancel(next(iter(simulation.nodes)), job_id))
        await asyncio.sleep(15.0)
        assert [simulation.on_machines(r) for r in job_ids] == [0, 0, 0, 0, 1]

    play(scenario, machines=6)


# -- leadership ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("back_s", [0.2, 0.9, 3.0])
@pytest.mark.parametrize("outage", [False, True])
def test_ten_changes_of_leader_in_two_minutes(back_s, outage):
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=25.0, pieces=2) for n in range(1, 9)]
        for i, job_id in enumerate(job_ids):
            simulation.go(simulation.accepted(job_id, within_s=120.0))
            name = simulation.current_leader_name() if simulation.leader() is not None else simulation.random_node()
            if outage and i == 3:
                simulation.service.outage(True)
            mute_for(simulation, job_ids[max(0, i - 1)], 9.5)
            simulation.crash(name)
            await asyncio.sleep(back_s)
            simulation.start(name)
            await asyncio.sleep(8.0)
            if i % 3 == 1:
                simulation.go(simulation.cancel(name, job_ids[i - 1]))
            if outage and i == 5:
                simulation.service.outage(False)
        await asyncio.sleep(90.0)
        for job_id in job_ids:
            assert (await simulation.poll(simulation.names[0], job_id))[1] in ("done", "withdrawn")

    play(scenario)


@pytest.mark.parametrize("back_s", [0.1, 0.6, 3.0])
def test_jobs_end_after_leadership_moves_back_and_forth_and_one_node_of_all_returns(back_s):
    async def scenario(simulation: Simulation) -> None:
        job_id = simulation.job(1, run_s=100.0)
        await running(simulation, job_id)
        lead = simulation.current_leader_name()
        other = simulation.followers()[0]
        simulation.service.refused.add(lead)
        await simulation.until(
            lambda: simulation.leader_name() not in (None, lead),
            20.0,
            "no hand-over",
        )
        simulation.service.refused.clear()
        simulation.service.refused.add(simulation.current_leader_name())
        await asyncio.sleep(4.0)
        mute_for(simulation, job_id, 9.5)
        for name in list(simulation.nodes):
            simulation.crash(name)
        await asyncio.sleep(back_s)
        simulation.start(other)
        simulation.service.refused.clear()
        await asyncio.sleep(1.0)
        for name in simulation.names:
            if name != other:
                simulation.start(name)
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 1, 200.0, "it does not end")

    play(scenario)


def test_all_nodes_are_away_for_longer_than_a_lease():
    async def scenario(simulation: Simulation) -> None:
        job_id, off = simulation.job(1, run_s=60.0), simulation.job(2, run_s=60.0)
        await running(simulation, job_id, off)
        assert await simulation.cancel(simulation.followers()[0], off) == (200, "withdrawn")
        for name in list(simulation.nodes):
            simulation.crash(name)
        await asyncio.sleep(20.0)
        assert not simulation.on_machines(job_id)
        for name in simulation.names:
            simulation.start(name)
        await simulation.until(lambda: len(simulation.jobs[job_id].done) == 1, 120.0, "it does not end")
        assert not simulation.on_machines(off)

    play(scenario)


def test_urgent_jobs_preempt_others_over_slow_links():
    async def scenario(simulation: Simulation) -> None:
        for node in simulation.nodes.values():
            for link in node.leadership.peers:
                link.delay_s = 0.25
        simulation.service.latency_s = 0.4
        low = [simulation.job(n, run_s=30.0, pieces=8, rank="low") for n in range(1, 13)]
        urgent = [
            simulation.job(n, run_s=20.0, pieces=1, rank="urgent", shape="ensemble", cards=4.0) for n in range(31, 35)
        ]
        for job_id in (*low, *urgent):
            simulation.go(simulation.accepted(job_id, simulation.random.choice(simulation.names), 60.0))
            await asyncio.sleep(0.5)
        await simulation.until(lambda: all(simulation.jobs[r].done for r in urgent), 60.0, "urgent work waits")
        await simulation.until(lambda: all(len(simulation.jobs[r].done) == 8 for r in low), 400.0, "low work starves")

    play(scenario)


@pytest.mark.parametrize("until_outage_s", [0.3, 1.0, 2.0, 2.4, 2.6, 2.8, 3.5])
def test_cancellations_hold_when_the_store_refuses_the_leader_at_that_moment_and_then_everybody(until_outage_s):
    async def scenario(simulation: Simulation) -> None:
        job_ids = [simulation.job(n, run_s=300.0) for n in range(1, 7)]
        await running(simulation, *job_ids)
        simulation.service.refused.add(simulation.current_leader_name())
        for i, job_id in enumerate(job_ids[:4]):
            simulation.go(simulation.cancel(simulation.names[i % 3], job_id))
        await asyncio.sleep(until_outage_s)
        simulation.service.outage(True)
        await asyncio.sleep(60.0)
        simulation.service.outage(False)
        simulation.service.refused.clear()
        await asyncio.sleep(20.0)
        for job_id in job_ids[:4]:
            await simulation.cancel(simulation.names[0], job_id)
        await asyncio.sleep(15.0)
        assert [simulation.on_machines(r) for r in job_ids] == [0, 0, 0, 0, 1, 1]
        # Nobody resigned to a node that lacked the service as well: the others' work went on.
        assert [simulation.jobs[r].starts for r in job_ids[4:]] == [1, 1]

    play(scenario, machines=6)


# -- odd requests ----------------------------------------------------------------------------------------------


def test_odd_requests_at_every_node_and_in_an_outage():
    async def scenario(simulation: Simulation) -> None:
        done, off, runs = simulation.job(1, run_s=3.0), simulation.job(2, run_s=300.0), simulation.job(3, run_s=300.0)
        await running(simulation, runs, off)
        await simulation.accepted(done)
        await simulation.until(lambda: simulation.jobs[done].done, 20.0, "it does not end")
        await asyncio.sleep(2.0)
        assert await simulation.cancel(simulation.names[1], off) == (200, "withdrawn")
        lacking = {k: v for k, v in simulation.jobs[runs].spec.items() if k != "cards"}
        unfit = {**simulation.jobs[runs].spec, "ref": "run-000777", "cards": 5.0}
        await asyncio.sleep(2.0)
        for down in (False, True):
            simulation.service.outage(down)
            for name in simulation.names:
                api = simulation.nodes[name].job_service
                assert [await simulation.cancel(name, done), await simulation.cancel(name, off)] == [
                    (200, "done"),
                    (200, "withdrawn"),
                ]
                assert [await simulation.submit(name, r) for r in (done, off)] == [200, 200]
                assert (await api.submit(json.dumps({**lacking, "ref": "run-000778"}).encode()))[0] == 400
                open_ = [await simulation.submit(name, runs), (await api.submit(json.dumps(unfit).encode()))[0]]
                unknown = [(await api.get("run-000779"))[0], (await api.cancel("run-000779"))[0]]
                assert open_ + unknown == ([503, 503, 503, 503] if down else [200, 422, 404, 404])
        assert simulation.on_machines(runs) == 1

    play(scenario)
