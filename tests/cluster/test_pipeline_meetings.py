"""Submissions, cancellations, ends, restarts and limits that meet in the same moment, with dependent jobs."""

import asyncio

import pytest
from harness.pipelines import all_become_cancelled, all_become_done, submit_chain
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage import keys


@pytest.mark.parametrize("old", [1, 2])
def test_a_job_may_name_one_that_a_node_of_the_other_version_has_just_accepted(old):
    """Nothing new is asked before all nodes are new, but what a dependent names may have been taken before that."""

    async def scenario(simulation: Simulation) -> None:
        await simulation.upgrade("n0")
        await simulation.led()
        first = simulation.job(1, run_s=30.0)
        await simulation.accepted(first, "n1")
        await simulation.upgrade("n1", "n2", down_s=1.0)
        second = simulation.job(2, run_s=3.0, awaits=[first])
        await simulation.accepted(second, "n0", within_s=30.0)
        await all_become_done(simulation, [first, second], 90.0)

    play(scenario, old=old)


@pytest.mark.parametrize("node", ["the same", "another"])
def test_a_dependent_is_accepted_at_the_moment_its_dependency_is_accepted(node):
    """The other node does not know the dependency yet: it reads the store rather than answer 422."""

    async def scenario(simulation: Simulation) -> None:
        one, two = simulation.followers()
        for n in range(1, 12, 2):
            first = simulation.job(n, run_s=2.0)
            assert await simulation.submit(one, first) == 201
            second = simulation.job(n + 1, run_s=2.0, awaits=[first])
            assert await simulation.submit(one if node == "the same" else two, second) == 201
        await all_become_done(simulation, [simulation.job_id(n) for n in range(1, 13)], 60.0)

    play(scenario)


def test_in_an_outage_a_dependent_is_refused_for_now_and_never_for_good():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.job(1, run_s=30.0)
        await simulation.accepted(first)
        await asyncio.sleep(1.0)
        simulation.service.outage(True)
        await asyncio.sleep(2.0)
        known, unknown = simulation.job(2, run_s=3.0, awaits=[first]), simulation.description(3, awaits=["run-999999"])
        for node in simulation.nodes:
            assert await simulation.submit(node, known) == 503
            assert await simulation.submit_spec(node, unknown) == 503
        simulation.service.outage(False)
        await simulation.accepted(known)
        assert await simulation.submit_spec("n0", unknown) == 422
        await all_become_done(simulation, [first, known], 60.0)

    play(scenario)


@pytest.mark.parametrize("late_s", [0.0, 4.0])
def test_a_submission_without_a_response_can_be_repeated_after_its_dependency_was_cancelled(late_s):
    """The first write is carried out at once, or after the repeat: either way there is one record, and it is over."""

    async def scenario(simulation: Simulation) -> None:
        needed = simulation.job(1, run_s=200.0)
        await simulation.accepted(needed)
        one, two = simulation.followers()
        dependent = simulation.job(2, awaits=[needed])
        simulation.service.late = lambda node, body: late_s if node == one and body.get("apply") else None
        assert await simulation.submit(one, dependent) == 503
        simulation.service.write_at_once()
        assert await simulation.cancel(two, needed) == (200, "withdrawn")
        await simulation.accepted(dependent, two)
        await asyncio.sleep(6.0)
        await all_become_cancelled(simulation, [needed, dependent], 10.0)
        assert simulation.jobs[dependent].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0])
def test_cancelling_a_dependency_while_its_dependent_becomes_ready_is_answered_consistently(after_s):
    """Asked just before, at and after the end of the need: whichever it is, both are answered the same.

    The dependent runs if the answer was `done`, and is cancelled without a start if it was `withdrawn`.
    """

    async def scenario(simulation: Simulation) -> None:
        first, second = await submit_chain(simulation, 1, 2, run_s=3.0)
        await simulation.until(lambda: simulation.jobs[first].starts > 0, 20.0, "it does not start")
        await asyncio.sleep(1.5 + after_s)
        answer = await simulation.cancel(simulation.random.choice(simulation.followers()), first)
        while answer[0] != 200:
            await asyncio.sleep(0.2)
            answer = await simulation.cancel(simulation.random.choice(simulation.followers()), first)
        if answer[1] == "done":
            await all_become_done(simulation, [second], 20.0)
        else:
            await all_become_cancelled(simulation, [first, second], 10.0)
            assert simulation.jobs[second].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0])
def test_a_job_that_became_ready_is_cancelled_while_it_is_placed_stored_and_launched(after_s):
    """Its own cancellation, with one more job after it, through a change of leader."""

    async def scenario(simulation: Simulation) -> None:
        first, second, third = await submit_chain(simulation, 1, 3, run_s=3.0, pieces=2)
        await simulation.until(lambda: len(simulation.jobs[first].done) == 2, 30.0, "the first does not end")
        await asyncio.sleep(after_s)
        lead = simulation.current_leader_name()
        answer = await simulation.cancel(simulation.followers()[0], second)
        simulation.crash(lead)
        simulation.start(lead)
        while answer[0] != 200:
            await asyncio.sleep(0.3)
            answer = await simulation.cancel(simulation.random_node(), second)
        await simulation.led()
        await (all_become_done if answer[1] == "done" else all_become_cancelled)(simulation, [second, third], 30.0)
        assert answer[1] == "done" or not simulation.jobs[third].starts

    play(scenario)


def test_dependents_stay_cancelled_after_all_nodes_restart_at_once():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 6, run_s=200.0)
        assert await simulation.cancel("n0", job_ids[0]) == (200, "withdrawn")
        for name in simulation.names:
            simulation.crash(name)
        await asyncio.sleep(1.0)
        for name in simulation.names:
            simulation.start(name)
        await all_become_cancelled(simulation, job_ids, simulation.params.workers.cancel_s)
        assert not any(simulation.jobs[job_id].starts for job_id in job_ids[1:])

    play(scenario)


def test_times_count_from_readiness_and_the_deadline_from_submission_for_every_new_leader():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.job(1, run_s=20.0)
        await simulation.accepted(first)
        seconds = [simulation.job(n, run_s=200.0, awaits=[first], dueS=500.0) for n in (2, 3)]
        submitted = simulation.now()
        for job_id in seconds:
            await simulation.accepted(job_id)
        await all_become_done(simulation, [first], 40.0)
        ended = simulation.now()
        for _ in range(3):
            lead = await simulation.led_by()
            simulation.crash(lead)
            simulation.start(lead)
            jobs = (await simulation.led()).job_table
            await asyncio.sleep(3.0)
            for job_id in seconds:
                # Both alike, in whatever order the records were read.
                assert ended - 8.0 < jobs.jobs[job_id].queued_at <= ended
                latest_end = jobs.dependencies.latest_start(job_id) + jobs.jobs[job_id].spec.estimated_duration_s
                assert abs(latest_end - submitted - 500.0) < 2.0

    play(scenario)


@pytest.mark.parametrize("lowered_after", [0, 1, 2, 3])
def test_a_record_is_stored_when_limits_are_lowered_between_its_chunks(lowered_after):
    """Its parts were stored under the limits of before; the rest, and the record, fit those of then."""
    limits = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=1.0, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        names = []
        for n in range(1, 400):
            names.append(simulation.job(n * 10**14 + n * n * 7919))
            simulation.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            simulation.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        writes: list[int] = []
        commit = simulation.service.commit

        def counted(body: dict):
            if any(change.get("set", "").startswith(keys.CHUNK_PREFIX) for change in body.get("apply", ())):
                if len(writes) == lowered_after:
                    simulation.service.lower_limits()
                writes.append(len(body["apply"]))
            return commit(body)

        simulation.service.commit = counted
        last = simulation.job(5000, run_s=3.0, awaits=names)
        await simulation.accepted(last, simulation.followers()[0], within_s=60.0)
        assert len(writes) > lowered_after
        await all_become_done(simulation, [last], 60.0)
        assert simulation.service.refusals[400] == 0

    play(scenario, state=limits)


def test_a_wide_fan_and_a_long_chain_end_in_order_under_the_smallest_transactions():
    tiny = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=20.0, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        first = simulation.job(1, run_s=8.0)
        await simulation.accepted(first)
        fan = [simulation.job(n, run_s=2.0, cards=0.0, cores=1.0, memGb=1.0, awaits=[first]) for n in range(2, 102)]
        for job_id in fan:
            simulation.put_record(job_id)
        line = []
        for n in range(200, 215):
            line.append(simulation.job(n, run_s=1.0, cards=0.0, cores=1.0, memGb=1.0, awaits=line[-1:] or fan))
            simulation.put_record(line[-1])
        await asyncio.sleep(2.0)
        simulation.service.lower_limits()
        await all_become_done(simulation, line[-1:], 240.0)
        await all_become_done(simulation, [first, *fan, *line], 30.0)

    play(scenario, state=tiny)
