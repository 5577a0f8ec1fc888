"""Dependent jobs when submissions, cancellations, completions, restarts or lowered limits coincide."""

import asyncio

import pytest
from harness.pipelines import submit_chain, wait_until_all_cancelled, wait_until_all_done
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, UpcomingStoreLimits
from hookwall.storage import keys


@pytest.mark.parametrize("old", [1, 2])
def test_a_job_may_depend_on_a_job_that_an_older_node_accepted_during_the_upgrade(old):
    """Dependent jobs are accepted only after all nodes are upgraded, but their dependencies may be accepted before.

    Here a node with the older program accepts the dependency while another node is upgraded already.
    """

    async def scenario(simulation: Simulation) -> None:
        await simulation.upgrade("n0")
        await simulation.wait_for_leader()
        first = simulation.define_job(1, run_s=30.0)
        await simulation.submit_until_accepted(first, "n1")
        await simulation.upgrade("n1", "n2", down_s=1.0)
        second = simulation.define_job(2, run_s=3.0, awaits=[first])
        await simulation.submit_until_accepted(second, "n0", within_s=30.0)
        await wait_until_all_done(simulation, [first, second], 90.0)

    play(scenario, old=old)


@pytest.mark.parametrize("node", ["the same", "another"])
def test_a_dependent_is_accepted_immediately_after_its_dependency(node):
    """A node that does not know the dependency yet has to read the store rather than answer 422."""

    async def scenario(simulation: Simulation) -> None:
        first_follower, second_follower = simulation.followers()
        for n in range(1, 12, 2):
            first = simulation.define_job(n, run_s=2.0)
            assert await simulation.submit(first_follower, first) == 201
            second = simulation.define_job(n + 1, run_s=2.0, awaits=[first])
            assert await simulation.submit(first_follower if node == "the same" else second_follower, second) == 201
        await wait_until_all_done(simulation, [simulation.job_id(n) for n in range(1, 13)], 60.0)

    play(scenario)


def test_an_outage_refuses_dependents_only_temporarily():
    """During an outage nodes answer 503 to all dependent jobs; they answer 422 only once they can read the store."""

    async def scenario(simulation: Simulation) -> None:
        first = simulation.define_job(1, run_s=30.0)
        await simulation.submit_until_accepted(first)
        await asyncio.sleep(1.0)
        simulation.store.set_outage(True)
        await asyncio.sleep(2.0)
        known, unknown = (
            simulation.define_job(2, run_s=3.0, awaits=[first]),
            simulation.description(3, awaits=["run-999999"]),
        )
        for node in simulation.nodes:
            assert await simulation.submit(node, known) == 503
            assert await simulation.submit_spec(node, unknown) == 503
        simulation.store.set_outage(False)
        await simulation.submit_until_accepted(known)
        assert await simulation.submit_spec("n0", unknown) == 422
        await wait_until_all_done(simulation, [first, known], 60.0)

    play(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 4.0])
def test_a_submission_without_a_response_can_be_repeated_after_its_dependency_was_cancelled(delay_s):
    """The first write is carried out at once or after the repeated submission.

    Either way there has to be one record, and the job has to be cancelled.
    """

    async def scenario(simulation: Simulation) -> None:
        needed = simulation.define_job(1, run_s=200.0)
        await simulation.submit_until_accepted(needed)
        first_follower, second_follower = simulation.followers()
        dependent = simulation.define_job(2, awaits=[needed])
        simulation.store.write_delay_s = (
            lambda node, body: delay_s if node == first_follower and body.get("apply") else None
        )
        assert await simulation.submit(first_follower, dependent) == 503
        simulation.store.stop_delaying_writes()
        assert await simulation.cancel(second_follower, needed) == (200, "withdrawn")
        await simulation.submit_until_accepted(dependent, second_follower)
        await asyncio.sleep(6.0)
        await wait_until_all_cancelled(simulation, [needed, dependent], 10.0)
        assert simulation.jobs[dependent].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0])
def test_cancelling_a_dependency_while_its_dependent_becomes_ready_is_answered_consistently(after_s):
    """The cancellation arrives just before, at or just after the end of the dependency.

    In each case both jobs have to be answered consistently: the dependent runs if the cancellation was answered `done`,
    and is cancelled without a start if the answer was `withdrawn`.
    """

    async def scenario(simulation: Simulation) -> None:
        first, second = await submit_chain(simulation, 1, 2, run_s=3.0)
        await simulation.wait_until(lambda: simulation.jobs[first].starts > 0, 20.0, "the first job does not start")
        await asyncio.sleep(1.5 + after_s)
        answer = await simulation.cancel(simulation.random.choice(simulation.followers()), first)
        while answer[0] != 200:
            await asyncio.sleep(0.2)
            answer = await simulation.cancel(simulation.random.choice(simulation.followers()), first)
        if answer[1] == "done":
            await wait_until_all_done(simulation, [second], 20.0)
        else:
            await wait_until_all_cancelled(simulation, [first, second], 10.0)
            assert simulation.jobs[second].starts == 0

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0])
def test_a_job_is_cancelled_just_after_it_became_ready_across_a_failover(after_s):
    """A job is cancelled just after it became ready, while another job depends on it, and the leader crashes.

    Both jobs have to be answered consistently across the failover.
    """

    async def scenario(simulation: Simulation) -> None:
        first, second, third = await submit_chain(simulation, 1, 3, run_s=3.0, pieces=2)
        await simulation.wait_until(lambda: len(simulation.jobs[first].done) == 2, 30.0, "the first job does not end")
        await asyncio.sleep(after_s)
        leader = simulation.current_leader_name()
        answer = await simulation.cancel(simulation.followers()[0], second)
        simulation.crash(leader)
        simulation.start(leader)
        while answer[0] != 200:
            await asyncio.sleep(0.3)
            answer = await simulation.cancel(simulation.random_node(), second)
        await simulation.wait_for_leader()
        await (wait_until_all_done if answer[1] == "done" else wait_until_all_cancelled)(
            simulation, [second, third], 30.0
        )
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
        await wait_until_all_cancelled(simulation, job_ids, simulation.params.workers.cancel_s)
        assert not any(simulation.jobs[job_id].starts for job_id in job_ids[1:])

    play(scenario)


def test_every_leader_counts_queue_time_from_readiness_and_the_deadline_from_submission():
    async def scenario(simulation: Simulation) -> None:
        first = simulation.define_job(1, run_s=20.0)
        await simulation.submit_until_accepted(first)
        dependents = [simulation.define_job(n, run_s=200.0, awaits=[first], dueS=500.0) for n in (2, 3)]
        submitted_at = simulation.now()
        for job_id in dependents:
            await simulation.submit_until_accepted(job_id)
        await wait_until_all_done(simulation, [first], 40.0)
        ended_at = simulation.now()
        for _ in range(3):
            leader = await simulation.wait_for_leader_name()
            simulation.crash(leader)
            simulation.start(leader)
            job_table = (await simulation.wait_for_leader()).job_table
            await asyncio.sleep(3.0)
            for job_id in dependents:
                # Both dependents get the same times, whatever the order in which the records were read.
                assert ended_at - 8.0 < job_table.jobs[job_id].queued_at <= ended_at
                latest_end = (
                    job_table.dependencies.latest_start(job_id) + job_table.jobs[job_id].spec.estimated_duration_s
                )
                assert abs(latest_end - submitted_at - 500.0) < 2.0

    play(scenario)


@pytest.mark.parametrize("lowered_after", [0, 1, 2, 3])
def test_a_record_is_stored_when_limits_are_lowered_between_its_chunks(lowered_after):
    """The first chunks fit the former limits; the remaining chunks and the record have to fit the lowered limits."""
    limits = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=1.0, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        names = []
        for n in range(1, 400):
            names.append(simulation.define_job(n * 10**14 + n * n * 7919))
            simulation.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            simulation.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        write_sizes: list[int] = []
        commit = simulation.store.commit

        def counting_commit(body: dict):
            if any(change.get("set", "").startswith(keys.CHUNK_PREFIX) for change in body.get("apply", ())):
                if len(write_sizes) == lowered_after:
                    simulation.store.lower_limits()
                write_sizes.append(len(body["apply"]))
            return commit(body)

        simulation.store.commit = counting_commit
        dependent = simulation.define_job(5000, run_s=3.0, awaits=names)
        await simulation.submit_until_accepted(dependent, simulation.followers()[0], within_s=60.0)
        assert len(write_sizes) > lowered_after
        await wait_until_all_done(simulation, [dependent], 60.0)
        assert simulation.store.refusals[400] == 0

    play(scenario, state=limits)


def test_a_large_fan_out_and_a_long_chain_end_in_order_with_small_transactions():
    limits = StoreLimits(
        rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=20.0, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        first = simulation.define_job(1, run_s=8.0)
        await simulation.submit_until_accepted(first)
        fan_out = [
            simulation.define_job(n, run_s=2.0, cards=0.0, cores=1.0, memGb=1.0, awaits=[first]) for n in range(2, 102)
        ]
        for job_id in fan_out:
            simulation.put_record(job_id)
        chain = []
        for n in range(200, 215):
            chain.append(
                simulation.define_job(n, run_s=1.0, cards=0.0, cores=1.0, memGb=1.0, awaits=chain[-1:] or fan_out)
            )
            simulation.put_record(chain[-1])
        await asyncio.sleep(2.0)
        simulation.store.lower_limits()
        await wait_until_all_done(simulation, chain[-1:], 240.0)
        await wait_until_all_done(simulation, [first, *fan_out, *chain], 30.0)

    play(scenario, state=limits)
