"""Meetings of two troubles (docs/design.md, "Meetings"): each asserts the rules on machines and in answers."""

import asyncio
import json

import pytest
from harness.play import play
from harness.simulation import Simulation


async def running(w: Simulation, *refs: str) -> None:
    for ref in refs:
        await w.accepted(ref)
        await w.runs(ref)


def cut(w: Simulation, *pairs: tuple[str, str]) -> None:
    w.apart |= {frozenset(p) for p in pairs}


def mute_for(w: Simulation, ref: str, seconds: float) -> None:
    """The machines of a job reach no node for less than a lease: their tasks go on."""
    for worker in w.workers.values():
        if any(p.startswith(ref) for p in worker.tasks):
            worker.mute = True
            w.loop.call_later(seconds, setattr, worker, "mute", False)


# -- a cancellation that the leader can't read ----------------------------------------------------


def test_a_cancellation_confirmed_while_the_leader_is_refused_ends_its_tasks_in_a_long_outage():
    """The gap: refused alone, the leader missed it, and then renewed leases through an outage for all."""
    gone: list[float] = []

    async def scenario(w: Simulation) -> None:
        ref, other = w.job(1, run_s=300.0), w.job(2, run_s=300.0)
        await running(w, ref, other)
        w.service.refused.add(w.leader().settings.node_name)
        await asyncio.sleep(1.0)
        assert await w.cancel(w.followers()[0], ref) == (200, "withdrawn")
        at = w.now()
        w.service.outage(True)
        await w.until(lambda: not w.on_machines(ref), w.params.workers.cancel_s, "the cancelled task goes on")
        gone.append(w.now() - at)
        # Longer than a cancellation may take: the work of others is not lost for it.
        await asyncio.sleep(50.0)
        assert w.on_machines(other)
        w.service.outage(False)
        w.service.refused.clear()
        await asyncio.sleep(10.0)

    play(scenario)
    assert gone[0] < 15.0


def test_a_promise_carries_what_the_leader_was_not_told():
    """The node that confirmed it does not reach the leader and then ends; the third one tells."""

    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        lead, (one, _) = w.leader().settings.node_name, w.followers()
        cut(w, (lead, one))
        w.service.refused.add(lead)
        await asyncio.sleep(1.0)
        assert await w.cancel(one, ref) == (200, "withdrawn")
        w.service.outage(True)
        w.crash(one)
        await w.until(lambda: not w.on_machines(ref), 15.0, "the cancelled task goes on")

    play(scenario)


def test_leases_end_where_all_who_knew_have_forgotten():
    """The backstop: both nodes that knew are new processes, and neither can read the records."""

    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        lead, (one, two) = w.leader().settings.node_name, w.followers()
        cut(w, (lead, one), (lead, two))
        w.service.refused.add(lead)
        assert await w.cancel(one, ref) == (200, "withdrawn")
        w.service.outage(True)
        w.crash(one)
        w.crash(two)
        w.apart.clear()
        w.start(one)
        w.start(two)
        await asyncio.sleep(1.0)
        assert w.on_machines(ref)
        await w.until(lambda: not w.on_machines(ref), w.params.workers.cancel_s, "the cancelled task goes on")

    play(scenario)


def test_a_cancellation_that_can_t_be_spread_is_not_confirmed_by_any_answer():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        one, two = w.followers()
        lead = w.leader().settings.node_name
        w.service.refused.add(lead)
        cut(w, (one, two), (one, lead))
        assert (await w.cancel(one, ref))[0] == 503
        # It is stored all the same; what says so tells the user as much, and comes under the same condition.
        assert (await w.cancel(one, ref))[0] == 503
        assert (await w.poll(one, ref))[0] == 503
        assert await w.submit(one, ref) == 503
        # Another node that reads it can spread it.
        assert await w.poll(two, ref) == (200, "withdrawn")
        w.apart.clear()
        assert await w.cancel(one, ref) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(ref), 15.0, "the cancelled task goes on")

    play(scenario)


def test_a_cancellation_under_a_leader_that_hears_no_peer_is_confirmed_by_its_key():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        cut(w, ("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
        await asyncio.sleep(30.0)
        assert w.leader() is not None
        assert await w.cancel(w.followers()[0], ref) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(ref), 15.0, "the cancelled task goes on")

    play(scenario)


def test_a_leader_cut_from_service_and_peers_does_not_keep_what_is_cancelled_through_the_next_one():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        old, (one, two) = w.leader().settings.node_name, w.followers()
        w.service.cut.add(old)
        cut(w, (old, one), (old, two))
        assert await w.cancel(one, ref) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(ref), w.params.workers.cancel_s, "the cancelled task goes on")
        await w.until(lambda: w.leader() is not None and w.leader().settings.node_name != old, 20.0, "nobody leads")

    play(scenario)


# -- machines that can't be asked, and a new leader -------------------------------------------------


@pytest.mark.parametrize("trouble", ["mute", "deaf", "hung"])
def test_a_leader_ends_while_a_machine_with_a_long_task_can_t_be_asked(trouble):
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        worker = next(m for m in w.workers.values() if m.tasks)
        setattr(worker, trouble, True)
        w.crash(w.leader().settings.node_name)
        # Its lease ends; then the task runs elsewhere, and only there.
        await w.until(lambda: w.jobs[ref].starts == 2, 45.0, "the task is lost")
        setattr(worker, trouble, False)
        await asyncio.sleep(30.0)
        assert w.jobs[ref].starts == 2 and w.on_machines(ref) == 1

    play(scenario)


def test_a_team_at_its_limit_while_its_machines_can_t_be_asked_and_the_leader_changes():
    async def scenario(w: Simulation) -> None:
        first = w.job(1, owner="red", pieces=8, run_s=300.0)
        second = w.job(2, owner="red", pieces=8, run_s=20.0)
        await running(w, first)
        for worker in w.workers.values():
            worker.mute = bool(worker.tasks)
        for _ in range(4):
            w.machine()
        w.crash(w.leader().settings.node_name)
        await w.led()
        await w.accepted(second)
        assert await w.cancel(next(iter(w.nodes)), first) == (200, "withdrawn")
        # The limit of 8 is used by what may still run, for a lease; the simulation checks it at each start.
        await w.until(lambda: w.jobs[second].final == "done" or len(w.jobs[second].done) == 8, 90.0, "it never ran")

    play(scenario)


def test_reports_held_back_until_a_new_leader_has_acted_prove_nothing():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=60.0)
        await w.accepted(ref)
        await w.runs(ref)
        worker = next(m for m in w.workers.values() if m.tasks)
        before = list(worker.sent)
        w.crash(w.leader().settings.node_name)
        # First of all, and then again after newer ones, the new leader hears copies from before.
        lead = (await w.led()).settings.node_name
        for body in before[:1] + before[-1:]:
            await w.beat(lead, body)
        await asyncio.sleep(8.0)
        for body in before:
            await w.beat(lead, body)
        await w.until(lambda: len(w.jobs[ref].done) == 1, 70.0, "it does not end")
        assert w.jobs[ref].starts == 1

    play(scenario)


def test_copies_of_reports_from_before_a_launch_reach_the_same_leader_later():
    async def scenario(w: Simulation) -> None:
        await asyncio.sleep(4.0)
        refs = [w.job(n, run_s=30.0) for n in (1, 2)]
        await running(w, *refs)
        for worker in w.workers.values():
            for body in list(worker.sent):
                await w.beat(w.leader().settings.node_name, body)
        await w.until(lambda: all(w.jobs[r].done for r in refs), 60.0, "they do not end")
        assert [w.jobs[r].starts for r in refs] == [1, 1]

    play(scenario)


def test_a_copy_of_an_earlier_session_is_the_first_that_a_new_leader_hears():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=100.0)
        await running(w, ref)
        worker = next(iter(w.workers.values()))
        old = list(worker.sent)
        worker.mute = True
        await asyncio.sleep(16.0)
        worker.mute = False
        await w.until(lambda: w.jobs[ref].starts == 2, 45.0, "the task is lost")
        await w.runs(ref)
        w.crash(w.leader().settings.node_name)
        w.machine()
        lead = (await w.led()).settings.node_name
        # From before the task came there, and from when it ran in the earlier session.
        await w.beat(lead, old[0])
        await w.beat(lead, old[-1])
        await w.until(lambda: len(w.jobs[ref].done) == 1, 120.0, "it does not end")
        assert w.jobs[ref].starts == 2

    play(scenario, machines=1)


def test_old_reports_of_an_earlier_session_and_attempt_undo_nothing():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=100.0)
        await running(w, ref)
        worker = next(m for m in w.workers.values() if m.tasks)
        old = list(worker.sent)
        worker.mute = True
        await w.until(lambda: w.jobs[ref].starts == 2, 45.0, "the task is lost")
        worker.mute = False
        await asyncio.sleep(6.0)
        for body in old:
            await w.beat(w.leader().settings.node_name, body)
        w.crash(w.leader().settings.node_name)
        lead = (await w.led()).settings.node_name
        for body in reversed(old):
            await w.beat(lead, body)
        await w.until(lambda: len(w.jobs[ref].done) == 1, 120.0, "it does not end")
        assert w.jobs[ref].starts == 2

    play(scenario)


def test_an_answer_that_is_held_up_and_a_machine_that_then_goes_on():
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=20.0, cards=4.0) for n in range(1, 5)]
        await running(w, *refs[:2])
        for ref in refs[2:]:
            await w.accepted(ref)
        # Machines hang with tasks on them and launches on their way, one of them for longer than a lease.
        for i, worker in enumerate(sorted(w.workers.values(), key=lambda m: not m.tasks)[:4]):
            worker.hung = True
            w.loop.call_later((8.0, 11.0, 3.0, 14.0)[i], setattr, worker, "hung", False)
        await asyncio.sleep(2.0)
        await w.cancel(w.followers()[0], refs[0])
        await w.until(lambda: all(w.jobs[r].done for r in refs[1:]), 90.0, "they do not end")

    play(scenario, machines=6)


# -- zones and leases -------------------------------------------------------------------------------


def test_a_zone_cut_off_with_a_node_that_follows_keeps_its_work_and_runs_none_twice():
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=120.0, yard=zone) for n, zone in enumerate(("east", "west"), 1)]
        await running(w, *refs)
        lead, (inside, other) = w.leader().settings.node_name, w.followers()
        cut(w, (inside, lead), (inside, other))
        for worker in w.workers.values():
            west = worker.zone == "west"
            worker.reached = (lambda node: node == inside) if west else (lambda node: node != inside)
            if west:
                worker.node = w.names.index(inside)
        await asyncio.sleep(40.0)
        assert [w.jobs[r].starts for r in refs] == [1, 1]
        # What is cancelled meanwhile ends inside the cut zone too.
        assert await w.cancel(other, refs[1]) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(refs[1]), w.params.workers.cancel_s, "the cancelled task goes on")
        w.apart.clear()
        for worker in w.workers.values():
            worker.reached = lambda node: True
        await w.until(lambda: len(w.jobs[refs[0]].done) == 1, 100.0, "it does not end")

    play(scenario)


@pytest.mark.parametrize("bound", [{"yard": "east"}, {"samePlace": True}])
def test_an_array_bound_to_one_zone_loses_machines(bound):
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=40.0, pieces=8, **bound)
        await running(w, ref)
        dead = [m for m in w.workers.values() if m.tasks][:1]
        for worker in dead:
            worker.gone()
        w.crash(w.leader().settings.node_name)
        await w.until(lambda: len(w.jobs[ref].done) == 8, 150.0, "it does not end")

    play(scenario)


def test_a_gang_in_one_zone_loses_a_machine_while_the_leader_changes():
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=40.0, pieces=2, shape="ensemble", cards=4.0, samePlace=True)
        await running(w, ref)
        next(m for m in w.workers.values() if m.tasks).gone()
        w.machine("east")
        w.machine("west")
        w.crash(w.leader().settings.node_name)
        await w.until(lambda: len(w.jobs[ref].done) == 2, 150.0, "it does not end")

    play(scenario)


# -- ends of jobs -------------------------------------------------------------------------------------


@pytest.mark.parametrize("latency_s", [0.004, 0.2])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.5, 0.8])
def test_cancellation_question_and_repetition_meet_the_end_of_the_last_task(after_s, latency_s):
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=10.0) for n in range(1, 5)]
        for ref in refs:
            await w.accepted(ref)
        await w.until(lambda: any(w.jobs[r].done for r in refs), 30.0, "none ends")
        w.service.latency_s = latency_s
        await asyncio.sleep(after_s)
        nodes = list(w.nodes)
        for i, ref in enumerate(refs):
            name = nodes[i % 3]
            await asyncio.gather(
                w.cancel(name, ref),
                w.poll(nodes[(i + 1) % 3], ref),
                w.submit(nodes[(i + 2) % 3], ref),
                w.poll(name, ref),
            )
        await asyncio.sleep(5.0)
        said = {ref: {(await w.poll(n, ref))[1] for n in nodes} for ref in refs}
        assert all(len(s) == 1 and s <= {"done", "withdrawn"} for s in said.values())

    play(scenario)


def test_jobs_whose_tasks_end_far_apart_across_changes_of_leader_run_each_task_once():
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, pieces=n + 1, ends={0: 6.0, 1: 21.0, 2: 45.0}) for n in (1, 2)]
        for ref in refs:
            await w.accepted(ref)
            await w.runs(ref)
        for _ in range(3):
            before = sum(len(w.jobs[r].done) for r in refs)
            await w.until(lambda b=before: sum(len(w.jobs[r].done) for r in refs) > b, 40.0, "no task ends")
            name = w.leader().settings.node_name
            w.crash(name)
            await w.led()
            w.start(name)
        await w.until(lambda: all(len(w.jobs[r].done) == w.jobs[r].spec["pieces"] for r in refs), 60.0, "no end")
        await asyncio.sleep(3.0)
        for name in list(w.nodes):
            assert [(await w.poll(name, r))[1] for r in refs] == ["done", "done"]
        assert [w.jobs[r].starts for r in refs] == [2, 3]

    play(scenario)


# -- the state service -----------------------------------------------------------------------------------


def test_writes_without_an_answer_are_carried_out_late_after_newer_ones():
    async def scenario(w: Simulation) -> None:
        w.service.late = lambda node, body: w.random.uniform(2.0, 12.0) if w.random.random() < 0.25 else None
        refs = [w.job(n, run_s=15.0, pieces=2) for n in range(1, 13)]
        for i, ref in enumerate(refs):
            w.go(w.accepted(ref, list(w.nodes)[i % 3], 60.0))
            await asyncio.sleep(2.0)
            if i % 4 == 3:
                name = (w.leader() or await w.led(30.0)).settings.node_name
                w.crash(name)
                await asyncio.sleep(0.5)
                w.start(name)
            if i % 3 == 2:
                await w.cancel(w.names[0], refs[i - 1])
        await asyncio.sleep(20.0)
        w.service.late = lambda node, body: None
        await asyncio.sleep(60.0)
        for ref in refs:
            phases = {(await w.poll(n, ref))[1] for n in w.nodes}
            assert phases in ({"done"}, {"withdrawn"})

    play(scenario)


def test_users_cancel_and_ask_while_the_service_is_slow_then_refuses_the_leader_then_everybody():
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=200.0) for n in range(1, 6)]
        await running(w, *refs)
        w.service.latency_s = 0.9
        await asyncio.sleep(5.0)
        w.service.refused.add(w.leader().settings.node_name)
        for ref in refs[:3]:
            w.go(w.cancel(w.followers()[0], ref))
            w.go(w.poll(w.followers()[1], ref))
        await asyncio.sleep(2.2)
        assert [w.jobs[r].final for r in refs[:3]] == ["withdrawn"] * 3
        w.service.outage(True)
        for _ in range(20):
            for name in list(w.nodes):
                for ref in refs:
                    w.go(w.poll(name, ref))
                w.go(w.cancel(name, refs[3]))
            await asyncio.sleep(2.5)
        w.service.outage(False)
        w.service.refused.clear()
        w.service.latency_s = 0.004
        await asyncio.sleep(10.0)
        for ref in refs[:4]:
            w.go(w.cancel(next(iter(w.nodes)), ref))
        await asyncio.sleep(15.0)
        assert [w.on_machines(r) for r in refs] == [0, 0, 0, 0, 1]

    play(scenario, machines=6)


# -- leadership ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize("back_s", [0.2, 0.9, 3.0])
@pytest.mark.parametrize("outage", [False, True])
def test_ten_changes_of_leader_in_two_minutes(back_s, outage):
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=25.0, pieces=2) for n in range(1, 9)]
        for i, ref in enumerate(refs):
            w.go(w.accepted(ref, within_s=120.0))
            name = w.leader().settings.node_name if w.leader() is not None else w.random.choice(list(w.nodes))
            if outage and i == 3:
                w.service.outage(True)
            mute_for(w, refs[max(0, i - 1)], 9.5)
            w.crash(name)
            await asyncio.sleep(back_s)
            w.start(name)
            await asyncio.sleep(8.0)
            if i % 3 == 1:
                w.go(w.cancel(name, refs[i - 1]))
            if outage and i == 5:
                w.service.outage(False)
        await asyncio.sleep(90.0)
        for ref in refs:
            assert (await w.poll(w.names[0], ref))[1] in ("done", "withdrawn")

    play(scenario)


@pytest.mark.parametrize("back_s", [0.1, 0.6, 3.0])
def test_nodes_hand_over_and_back_all_end_and_one_returns(back_s):
    async def scenario(w: Simulation) -> None:
        ref = w.job(1, run_s=100.0)
        await running(w, ref)
        lead = w.leader().settings.node_name
        other = w.followers()[0]
        w.service.refused.add(lead)
        await w.until(lambda: w.leader() is not None and w.leader().settings.node_name != lead, 20.0, "no hand-over")
        w.service.refused.clear()
        w.service.refused.add(w.leader().settings.node_name)
        await asyncio.sleep(4.0)
        mute_for(w, ref, 9.5)
        for name in list(w.nodes):
            w.crash(name)
        await asyncio.sleep(back_s)
        w.start(other)
        w.service.refused.clear()
        await asyncio.sleep(1.0)
        for name in w.names:
            if name != other:
                w.start(name)
        await w.until(lambda: len(w.jobs[ref].done) == 1, 200.0, "it does not end")

    play(scenario)


def test_all_nodes_are_away_for_longer_than_a_lease():
    async def scenario(w: Simulation) -> None:
        ref, off = w.job(1, run_s=60.0), w.job(2, run_s=60.0)
        await running(w, ref, off)
        assert await w.cancel(w.followers()[0], off) == (200, "withdrawn")
        for name in list(w.nodes):
            w.crash(name)
        await asyncio.sleep(20.0)
        assert not w.on_machines(ref)
        for name in w.names:
            w.start(name)
        await w.until(lambda: len(w.jobs[ref].done) == 1, 120.0, "it does not end")
        assert not w.on_machines(off)

    play(scenario)


def test_more_work_than_room_urgent_and_not_over_slow_links():
    async def scenario(w: Simulation) -> None:
        for node in w.nodes.values():
            for link in node.leadership.peers:
                link.delay_s = 0.25
        w.service.latency_s = 0.4
        low = [w.job(n, run_s=30.0, pieces=8, rank="low") for n in range(1, 13)]
        urgent = [w.job(n, run_s=20.0, pieces=1, rank="urgent", shape="ensemble", cards=4.0) for n in range(31, 35)]
        for ref in (*low, *urgent):
            w.go(w.accepted(ref, w.random.choice(w.names), 60.0))
            await asyncio.sleep(0.5)
        await w.until(lambda: all(w.jobs[r].done for r in urgent), 60.0, "urgent work waits")
        await w.until(lambda: all(len(w.jobs[r].done) == 8 for r in low), 400.0, "low work starves")

    play(scenario)


@pytest.mark.parametrize("until_outage_s", [0.3, 1.0, 2.0, 2.4, 2.6, 2.8, 3.5])
def test_jobs_are_cancelled_just_when_the_service_refuses_the_leader_and_then_everybody(until_outage_s):
    async def scenario(w: Simulation) -> None:
        refs = [w.job(n, run_s=300.0) for n in range(1, 7)]
        await running(w, *refs)
        w.service.refused.add(w.leader().settings.node_name)
        for i, ref in enumerate(refs[:4]):
            w.go(w.cancel(w.names[i % 3], ref))
        await asyncio.sleep(until_outage_s)
        w.service.outage(True)
        await asyncio.sleep(60.0)
        w.service.outage(False)
        w.service.refused.clear()
        await asyncio.sleep(20.0)
        for ref in refs[:4]:
            await w.cancel(w.names[0], ref)
        await asyncio.sleep(15.0)
        assert [w.on_machines(r) for r in refs] == [0, 0, 0, 0, 1, 1]
        # Nobody resigned to a node that lacked the service as well: the others' work went on.
        assert [w.jobs[r].starts for r in refs[4:]] == [1, 1]

    play(scenario, machines=6)


# -- odd requests ----------------------------------------------------------------------------------------------


def test_odd_requests_at_every_node_and_in_an_outage():
    async def scenario(w: Simulation) -> None:
        done, off, runs = w.job(1, run_s=3.0), w.job(2, run_s=300.0), w.job(3, run_s=300.0)
        await running(w, runs, off)
        await w.accepted(done)
        await w.until(lambda: w.jobs[done].done, 20.0, "it does not end")
        await asyncio.sleep(2.0)
        assert await w.cancel(w.names[1], off) == (200, "withdrawn")
        lacking = {k: v for k, v in w.jobs[runs].spec.items() if k != "cards"}
        unfit = {**w.jobs[runs].spec, "ref": "run-000777", "cards": 5.0}
        await asyncio.sleep(2.0)
        for down in (False, True):
            w.service.outage(down)
            for name in w.names:
                api = w.nodes[name].job_service
                assert [await w.cancel(name, done), await w.cancel(name, off)] == [(200, "done"), (200, "withdrawn")]
                assert [await w.submit(name, r) for r in (done, off)] == [200, 200]
                assert (await api.submit(json.dumps({**lacking, "ref": "run-000778"}).encode()))[0] == 400
                open_ = [await w.submit(name, runs), (await api.submit(json.dumps(unfit).encode()))[0]]
                unknown = [(await api.get("run-000779"))[0], (await api.cancel("run-000779"))[0]]
                assert open_ + unknown == ([503, 503, 503, 503] if down else [200, 422, 404, 404])
        assert w.on_machines(runs) == 1

    play(scenario)
