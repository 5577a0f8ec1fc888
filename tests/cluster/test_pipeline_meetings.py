"""Submissions, cancellations, ends, restarts and limits that meet in the same moment, with dependent jobs."""

import asyncio

import pytest
from harness.pipelines import becomes_done, becomes_withdrawn, chain
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage import keys


@pytest.mark.parametrize("old", [1, 2])
def test_a_job_may_name_one_that_a_node_of_the_other_version_has_just_accepted(old):
    """Nothing new is asked before all nodes are new, but what a dependent names may have been taken before that."""

    async def scenario(w: Simulation) -> None:
        await w.upgrade("n0")
        await w.led()
        first = w.job(1, run_s=30.0)
        await w.accepted(first, "n1")
        await w.upgrade("n1", "n2", down_s=1.0)
        second = w.job(2, run_s=3.0, awaits=[first])
        await w.accepted(second, "n0", within_s=30.0)
        await becomes_done(w, [first, second], 90.0)

    play(scenario, old=old)


@pytest.mark.parametrize("node", ["the same", "another"])
def test_a_dependent_is_taken_in_the_moment_in_which_its_need_is_accepted(node):
    """The other node has not heard of the need yet: it asks the state service rather than answer 422."""

    async def scenario(w: Simulation) -> None:
        one, two = w.followers()
        for n in range(1, 12, 2):
            first = w.job(n, run_s=2.0)
            assert await w.submit(one, first) == 201
            second = w.job(n + 1, run_s=2.0, awaits=[first])
            assert await w.submit(one if node == "the same" else two, second) == 201
        await becomes_done(w, [w.job_ref(n) for n in range(1, 13)], 60.0)

    play(scenario)


def test_in_an_outage_a_dependent_is_refused_for_now_and_never_for_good():
    async def scenario(w: Simulation) -> None:
        first = w.job(1, run_s=30.0)
        await w.accepted(first)
        await asyncio.sleep(1.0)
        w.service.outage(True)
        await asyncio.sleep(2.0)
        known, unknown = w.job(2, run_s=3.0, awaits=[first]), w.description(3, awaits=["run-999999"])
        for node in w.nodes:
            assert await w.submit(node, known) == 503
            assert await w.ask(node, unknown) == 503
        w.service.outage(False)
        await w.accepted(known)
        assert await w.ask("n0", unknown) == 422
        await becomes_done(w, [first, known], 60.0)

    play(scenario)


@pytest.mark.parametrize("late_s", [0.0, 4.0])
def test_a_submission_without_an_answer_is_repeated_after_its_need_was_cancelled(late_s):
    """The first write is carried out at once, or after the repeat: either way there is one record, and it is over."""

    async def scenario(w: Simulation) -> None:
        needed = w.job(1, run_s=200.0)
        await w.accepted(needed)
        one, two = w.followers()
        dependent = w.job(2, awaits=[needed])
        w.service.late = lambda node, body: late_s if node == one and body.get("apply") else None
        assert await w.submit(one, dependent) == 503
        w.service.late = lambda node, body: None
        assert await w.cancel(two, needed) == (200, "withdrawn")
        await w.accepted(dependent, two)
        await asyncio.sleep(6.0)
        await becomes_withdrawn(w, [needed, dependent], 10.0)
        assert w.jobs[dependent].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0])
def test_a_need_is_cancelled_while_the_job_after_it_becomes_ready(after_s):
    """Asked just before, at and after the end of the need: whichever it is, both say the same of it.

    The dependent runs if the answer was `done`, and is cancelled without a start if it was `withdrawn`.
    """

    async def scenario(w: Simulation) -> None:
        first, second = await chain(w, 1, 2, run_s=3.0)
        await w.until(lambda: w.jobs[first].starts > 0, 20.0, "it does not start")
        await asyncio.sleep(1.5 + after_s)
        answer = await w.cancel(w.random.choice(w.followers()), first)
        while answer[0] != 200:
            await asyncio.sleep(0.2)
            answer = await w.cancel(w.random.choice(w.followers()), first)
        if answer[1] == "done":
            await becomes_done(w, [second], 20.0)
        else:
            await becomes_withdrawn(w, [first, second], 10.0)
            assert w.jobs[second].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0])
def test_a_job_that_became_ready_is_cancelled_while_it_is_placed_stored_and_launched(after_s):
    """Its own cancellation, with one more job after it, through a change of leader."""

    async def scenario(w: Simulation) -> None:
        first, second, third = await chain(w, 1, 3, run_s=3.0, pieces=2)
        await w.until(lambda: len(w.jobs[first].done) == 2, 30.0, "the first does not end")
        await asyncio.sleep(after_s)
        lead = w.leader().settings.node_name
        answer = await w.cancel(w.followers()[0], second)
        w.crash(lead)
        w.start(lead)
        while answer[0] != 200:
            await asyncio.sleep(0.3)
            answer = await w.cancel(w.random.choice(list(w.nodes)), second)
        await w.led()
        await (becomes_done if answer[1] == "done" else becomes_withdrawn)(w, [second, third], 30.0)
        assert answer[1] == "done" or not w.jobs[third].starts

    play(scenario)


def test_dependents_stay_cancelled_after_all_nodes_restart_at_once():
    async def scenario(w: Simulation) -> None:
        refs = await chain(w, 1, 6, run_s=200.0)
        assert await w.cancel("n0", refs[0]) == (200, "withdrawn")
        for name in w.names:
            w.crash(name)
        await asyncio.sleep(1.0)
        for name in w.names:
            w.start(name)
        await becomes_withdrawn(w, refs, w.params.workers.cancel_s)
        assert not any(w.jobs[ref].starts for ref in refs[1:])

    play(scenario)


def test_times_count_from_readiness_and_the_deadline_from_submission_for_every_new_leader():
    async def scenario(w: Simulation) -> None:
        first = w.job(1, run_s=20.0)
        await w.accepted(first)
        seconds = [w.job(n, run_s=200.0, awaits=[first], dueS=500.0) for n in (2, 3)]
        submitted = w.now()
        for ref in seconds:
            await w.accepted(ref)
        await becomes_done(w, [first], 40.0)
        ended = w.now()
        for _ in range(3):
            lead = (await w.led()).settings.node_name
            w.crash(lead)
            w.start(lead)
            jobs = (await w.led()).job_table
            await asyncio.sleep(3.0)
            for ref in seconds:
                # Both alike, in whatever order the records were read.
                assert ended - 8.0 < jobs.jobs[ref].queued_at <= ended
                latest_end = jobs.dependencies.latest_start(ref) + jobs.jobs[ref].spec.estimated_duration_s
                assert abs(latest_end - submitted - 500.0) < 2.0

    play(scenario)


@pytest.mark.parametrize("lowered_after", [0, 1, 2, 3])
def test_limits_are_lowered_between_two_parts_of_one_record(lowered_after):
    """Its parts were stored under the limits of before; the rest, and the record, fit those of then."""
    limits = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=1.0, txn_ops=4)
    )

    async def scenario(w: Simulation) -> None:
        names = []
        for n in range(1, 400):
            names.append(w.job(n * 10**14 + n * n * 7919))
            w.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            w.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        writes: list[int] = []
        commit = w.service.commit

        def counted(body: dict):
            if any(change.get("set", "").startswith(keys.CHUNK_PREFIX) for change in body.get("apply", ())):
                if len(writes) == lowered_after:
                    w.service.lower()
                writes.append(len(body["apply"]))
            return commit(body)

        w.service.commit = counted
        last = w.job(5000, run_s=3.0, awaits=names)
        await w.accepted(last, w.followers()[0], within_s=60.0)
        assert len(writes) > lowered_after
        await becomes_done(w, [last], 60.0)
        assert w.service.refusals[400] == 0

    play(scenario, state=limits)


def test_a_wide_fan_and_a_long_chain_end_in_order_under_the_smallest_transactions():
    tiny = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=20.0, txn_ops=4)
    )

    async def scenario(w: Simulation) -> None:
        first = w.job(1, run_s=8.0)
        await w.accepted(first)
        fan = [w.job(n, run_s=2.0, cards=0.0, cores=1.0, memGb=1.0, awaits=[first]) for n in range(2, 102)]
        for ref in fan:
            w.put_record(ref)
        line = []
        for n in range(200, 215):
            line.append(w.job(n, run_s=1.0, cards=0.0, cores=1.0, memGb=1.0, awaits=line[-1:] or fan))
            w.put_record(line[-1])
        await asyncio.sleep(2.0)
        w.service.lower()
        await becomes_done(w, line[-1:], 240.0)
        await becomes_done(w, [first, *fan, *line], 30.0)

    play(scenario, state=tiny)
