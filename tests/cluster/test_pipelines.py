"""Dependent jobs in a simulated cluster: order, cancellation, and the limits of the key-value store.

The simulation checks two rules throughout every scenario. `too_early`: no task starts before the dependencies of its
job are done. `orphaned`: no dependent of a cancelled job is answered as pending or running later than `cancel_s` after
the cancellation was answered.
"""

import asyncio

import pytest
from harness.pipelines import submit_chain, wait_until_all_cancelled, wait_until_all_done
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, TeamQuota, UpcomingStoreLimits
from hookwall.storage import keys

SMALL_STORE_LIMITS = StoreLimits(
    rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=21.0, txn_ops=4)
)


# -- jobs that become ready ------------------------------------------------------------------------


def test_dependent_jobs_run_in_order_across_failovers():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 5, run_s=4.0, pieces=2)
        for _ in range(3):
            await asyncio.sleep(6.0)
            leader = await simulation.wait_for_leader_name()
            simulation.crash(leader)
            simulation.start(leader)
        await simulation.wait_for_leader()
        await wait_until_all_done(simulation, job_ids, 60.0)

    play(scenario)


def test_a_job_waits_until_lost_tasks_of_its_dependencies_have_run_again():
    async def scenario(simulation: Simulation) -> None:
        array, gang = (
            simulation.define_job(1, run_s=10.0, pieces=2),
            simulation.define_job(2, run_s=3.0, shape="ensemble", pieces=2),
        )
        for job_id in (array, gang):
            await simulation.submit_until_accepted(job_id)
        dependent = simulation.define_job(3, run_s=3.0, awaits=[array, gang, array])
        await simulation.submit_until_accepted(dependent)
        await simulation.wait_until_running(array)
        machine = next(
            worker for worker in simulation.workers.values() if any(p.startswith(array) for p in worker.tasks)
        )
        machine.hung = True
        await wait_until_all_done(simulation, [array, gang, dependent], 80.0)

    play(scenario)


def test_late_heartbeats_of_a_dependency_start_no_dependent_too_early():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 2, run_s=8.0, pieces=3, ends={0: 2.0, 1: 4.0})
        await asyncio.sleep(9.0)
        duplicates = [body for worker in simulation.workers.values() for body in worker.sent_heartbeats[-6:]]
        leader = simulation.current_leader_name()
        simulation.crash(leader)
        await simulation.wait_for_leader()
        for body in duplicates:
            await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        simulation.start(leader)
        await wait_until_all_done(simulation, job_ids, 60.0)

    play(scenario)


def test_a_job_that_waits_for_dependencies_uses_no_quota_and_provisions_no_machine():
    async def scenario(simulation: Simulation) -> None:
        simulation.cloud.available_machines = 20
        first = simulation.define_job(1, run_s=15.0, owner="red", cards=4.0)
        await simulation.submit_until_accepted(first)
        gang = simulation.define_job(2, run_s=3.0, owner="red", cards=4.0, pieces=2, shape="ensemble", awaits=[first])
        await simulation.submit_until_accepted(gang)
        workers_before = len(simulation.workers)
        # The team's quota is 8 GPUs; a job that waits for its dependencies uses none of it.
        other = simulation.define_job(3, run_s=5.0, owner="red", cards=4.0)
        await simulation.submit_until_accepted(other)
        await simulation.wait_until_running(other)
        assert gang not in simulation.leader().scheduler.waiting and len(simulation.workers) == workers_before
        await wait_until_all_done(simulation, [first, other, gang], 60.0)

    play(scenario, teams=[TeamQuota("red", gpus=8.0, gpus_max=8.0), TeamQuota("grey")])


def test_dependencies_inherit_the_rank_of_a_more_urgent_dependent():
    async def scenario(simulation: Simulation) -> None:
        filler = simulation.define_job(1, run_s=40.0, pieces=16, rank="low")
        await simulation.submit_until_accepted(filler)
        await simulation.wait_until_running(filler)
        dependency = simulation.define_job(2, run_s=3.0, rank="low")
        await simulation.submit_until_accepted(dependency)
        dependent = simulation.define_job(3, run_s=3.0, rank="urgent", awaits=[dependency])
        await simulation.submit_until_accepted(dependent)
        # Running tasks are preempted for the dependency, although it would have to wait by its own rank.
        await wait_until_all_done(simulation, [dependency, dependent], 20.0)

    play(scenario)


# -- cancellation ----------------------------------------------------------------------------------


def test_a_cancellation_reaches_all_dependents_and_no_other_job():
    async def scenario(simulation: Simulation) -> None:
        # b depends on a, c on a and x, d on b and c, `late` on x and d, and `other` on x only; a is cancelled.
        a, x = simulation.define_job(1, run_s=60.0), simulation.define_job(2, run_s=3.0)
        for job_id in (a, x):
            await simulation.submit_until_accepted(job_id)
        b, c = simulation.define_job(3, awaits=[a]), simulation.define_job(4, awaits=[a, x])
        for job_id in (b, c):
            await simulation.submit_until_accepted(job_id)
        d, other = simulation.define_job(5, awaits=[b, c]), simulation.define_job(6, run_s=3.0, awaits=[x])
        for job_id in (d, other):
            await simulation.submit_until_accepted(job_id)
        assert await simulation.cancel(simulation.followers()[0], a) == (200, "withdrawn")
        late = simulation.define_job(7, awaits=[x, d])
        assert await simulation.submit(simulation.followers()[1], late) == 201
        await wait_until_all_cancelled(simulation, [a, b, c, d, late], 10.0)
        await wait_until_all_done(simulation, [x, other], 20.0)

    play(scenario)


def test_a_job_with_a_dependency_cancelled_long_ago_is_accepted_as_cancelled():
    async def scenario(simulation: Simulation) -> None:
        needed = simulation.define_job(1, run_s=60.0)
        await simulation.submit_until_accepted(needed)
        await simulation.cancel("n0", needed)
        await asyncio.sleep(simulation.params.workers.cancel_s + 10.0)
        dependent = simulation.define_job(2, awaits=[needed])
        revision_before = simulation.store.revision
        for node in simulation.nodes:
            assert await simulation.submit(node, dependent) in (200, 201)
            assert await simulation.poll(node, dependent) == (200, "withdrawn")
        assert simulation.store.revision == revision_before + 1, "the job must be stored as cancelled by a single write"

    play(scenario)


def test_dependents_run_when_a_cancellation_is_answered_done():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 2)
        await wait_until_all_done(simulation, job_ids[:1], 20.0)
        assert await simulation.cancel("n1", job_ids[0]) == (200, "done")
        await wait_until_all_done(simulation, job_ids, 20.0)

    play(scenario)


def test_concurrent_cancellation_and_submission_of_a_dependent_on_two_nodes():
    async def scenario(simulation: Simulation) -> None:
        first_follower, second_follower = simulation.followers()
        for n in range(1, 20, 2):
            needed = simulation.define_job(n, run_s=60.0)
            await simulation.submit_until_accepted(needed, first_follower)
            dependent = simulation.define_job(n + 1, awaits=[needed])
            answers = await asyncio.gather(
                simulation.cancel(first_follower, needed), simulation.submit(second_follower, dependent)
            )
            assert answers[0] == (200, "withdrawn")
            await simulation.submit_until_accepted(dependent, second_follower)
        await asyncio.sleep(1.0)
        await wait_until_all_cancelled(simulation, [simulation.job_id(n) for n in range(1, 21)], 20.0)

    play(scenario)


@pytest.mark.parametrize("fault", ["outage", "leader ends", "refused", "zones apart"])
def test_dependents_are_answered_as_cancelled_in_time_despite_later_failures(fault):
    """A node that cannot know of the cancellation has to answer 503 once `pending` would come too late."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 8, run_s=100.0)
        first_follower, second_follower = simulation.followers()
        leader = simulation.current_leader_name()
        if fault == "refused":
            simulation.store.refused.add(second_follower)
        if fault == "zones apart":
            simulation.partitions |= {frozenset((leader, first_follower)), frozenset((first_follower, second_follower))}
            simulation.store.disconnected.add(second_follower)
        answer = await simulation.cancel(leader if fault == "zones apart" else first_follower, job_ids[0])
        assert answer == (200, "withdrawn")
        if fault == "outage":
            simulation.store.set_outage(True)
        elif fault == "leader ends":
            simulation.crash(leader)
        for _ in range(20):
            await asyncio.sleep(2.5)
            for job_id in job_ids:
                await simulation.poll(simulation.random_node(), job_id)  # checks the rule `orphaned` on the response
        simulation.store.set_outage(False)
        simulation.store.refused.clear()
        simulation.store.disconnected.clear()
        simulation.partitions.clear()
        await wait_until_all_cancelled(simulation, job_ids, 15.0)

    play(scenario)


async def ignore_stalled_watch() -> None:
    """Go on leading, as a program without the resignation does."""


def test_a_leader_with_a_blocked_watch_stops_answering_pending_for_cancelled_dependents():
    """Guard against a leader that answers `pending` for cancelled dependents without a time limit.

    The leader learns from its peers that the first job is cancelled, but its blocked watch keeps it from learning from
    the records that the dependents are cancelled as well.
    """

    async def scenario(simulation: Simulation) -> None:
        # The job that is cancelled waits for a dependency itself and has no tasks on machines. Reports about its tasks
        # would make the leader read its record.
        _, *job_ids = await submit_chain(simulation, 1, 4, run_s=200.0)
        leader = simulation.current_leader_name()
        # A leader whose watch is stalled resigns before it would stop to answer, so the resignation is taken away.
        simulation.nodes[leader].key_dispatcher.on_watch_stalled = ignore_stalled_watch
        simulation.store.watch_blocked.add(leader)
        await asyncio.sleep(1.0)
        assert await simulation.cancel(simulation.followers()[0], job_ids[0]) == (200, "withdrawn")
        statuses = set()
        for _ in range(30):
            await asyncio.sleep(2.0)
            statuses |= {(await simulation.poll(leader, job_id))[0] for job_id in job_ids[1:]}
        assert statuses <= {200, 503} and 503 in statuses
        simulation.store.watch_blocked.clear()
        await wait_until_all_cancelled(simulation, job_ids, 20.0)

    play(scenario)


def test_cancelled_dependents_are_withdrawn_although_the_watch_of_the_leader_is_blocked():
    """Guards against dependents that stay as they are until the watch of the leader gets responses again."""

    async def scenario(simulation: Simulation) -> None:
        _, *job_ids = await submit_chain(simulation, 1, 4, run_s=200.0)
        leader = simulation.current_leader_name()
        simulation.store.watch_blocked.add(leader)
        await asyncio.sleep(1.0)
        assert await simulation.cancel(simulation.followers()[0], job_ids[0]) == (200, "withdrawn")
        await asyncio.sleep(simulation.params.workers.cancel_s)
        for job_id in job_ids[1:]:
            assert await simulation.poll(leader, job_id) == (200, "withdrawn")

    play(scenario)


def test_many_dependents_are_cancelled_under_a_small_transaction_limit():
    """The cancelled dependents are stored only as fast as the store's limits allow.

    Until all are stored, none of them may be answered as pending later than `cancel_s` allows.
    """

    async def scenario(simulation: Simulation) -> None:
        needed = simulation.define_job(1, run_s=200.0)
        await simulation.submit_until_accepted(needed)
        job_ids = []
        for n in range(2, 1502):
            job_ids.append(simulation.define_job(n, awaits=[needed]))
            simulation.put_record(job_ids[-1])
        await asyncio.sleep(3.0)
        simulation.store.lower_limits()
        assert await simulation.cancel(simulation.followers()[0], needed) == (200, "withdrawn")
        for _ in range(30):
            await asyncio.sleep(2.0)
            for job_id in simulation.random.sample(job_ids, 10):
                await simulation.poll(simulation.random_node(), job_id)
        await simulation.wait_until(
            lambda: all(
                simulation.store.keys[keys.JOB_PREFIX + job_id][0]["phase"] == "withdrawn" for job_id in job_ids
            ),
            60.0,
            "not all dependents are stored as cancelled in time",
        )

    play(scenario, state=SMALL_STORE_LIMITS)


def test_a_submission_is_not_answered_pending_from_stale_records():
    """Guard against an answer from stale records.

    The node knows from records that it read long ago that the dependency was accepted; the dependency may have been
    cancelled since then.
    """

    async def scenario(simulation: Simulation) -> None:
        needed = simulation.define_job(1, run_s=200.0)
        await simulation.submit_until_accepted(needed)
        await asyncio.sleep(2.0)
        stale_node = simulation.followers()[0]
        simulation.store.watch_blocked.add(stale_node)
        other_node = next(name for name in simulation.nodes if name != stale_node)
        assert await simulation.cancel(other_node, needed) == (200, "withdrawn")
        await asyncio.sleep(simulation.params.workers.cancel_s + 3.0)
        dependent = simulation.define_job(2, awaits=[needed])
        assert await simulation.submit(stale_node, dependent) == 503
        simulation.store.watch_blocked.clear()
        await simulation.submit_until_accepted(dependent, stale_node)
        assert await simulation.poll(stale_node, dependent) == (200, "withdrawn")

    play(scenario)


# -- validation and storage of dependency lists ----------------------------------------------------


def test_invalid_dependency_lists_are_refused_and_repeated_submissions_accepted():
    async def scenario(simulation: Simulation) -> None:
        accepted = simulation.define_job(1, run_s=3.0)
        await simulation.submit_until_accepted(accepted, "n0")
        for n, awaits, status in (
            (2, "run-000001", 400),
            (3, ["run-1/2"], 400),
            (4, [1], 400),
            (5, ["run-000005"], 422),
            (6, [accepted, "run-999999"], 422),
            (7, [], 201),
            (8, None, 201),
            (9, [accepted, accepted], 201),
        ):
            job_id = simulation.define_job(n, awaits=awaits) if status == 201 else None
            spec = simulation.jobs[job_id].spec if job_id else simulation.description(n, awaits=awaits)
            for node in simulation.nodes:
                assert await simulation.submit_spec(node, spec) in ((201, 200) if status == 201 else (status,)), (
                    n,
                    node,
                )
        # A repeated submission of an accepted job succeeds, whichever dependencies it names.
        repeated = {**simulation.jobs[simulation.job_id(9)].spec, "awaits": ["run-999999"]}
        assert [await simulation.submit_spec(node, repeated) for node in simulation.nodes] == [200, 200, 200]

    play(scenario)


def test_a_long_list_of_unknown_dependencies_costs_few_comparisons():
    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(2.0)
        node = simulation.followers()[0]
        comparison_counts: list[int] = []
        commit = simulation.nodes[node].store.commit

        async def counting_commit(when, *args, **kwargs):
            comparison_counts.append(len(when))
            return await commit(when, *args, **kwargs)

        simulation.nodes[node].store.commit = counting_commit
        names = [f"run-{n}" for n in range(10**6, 10**6 + 4000)]
        assert await simulation.submit_spec(node, simulation.description(1, awaits=names)) == 422
        assert sum(comparison_counts) < 2 * simulation.nodes[node].read_confirmation.max_batch_size + 5

    play(scenario)


def test_a_job_with_a_very_long_dependency_list_is_stored_and_runs():
    async def scenario(simulation: Simulation) -> None:
        unfinished = simulation.define_job(1, run_s=30.0)
        await simulation.submit_until_accepted(unfinished)
        names = [unfinished]
        for n in range(2, 1200):
            names.append(simulation.define_job(n * 10**14 + n * n * 7919))
            simulation.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            simulation.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        simulation.store.lower_limits()
        dependent = simulation.define_job(5000, run_s=3.0, awaits=names)
        await simulation.submit_until_accepted(dependent, simulation.followers()[0], within_s=60.0)
        await wait_until_all_done(simulation, [unfinished, dependent], 60.0)
        chunks = [k for k in simulation.store.keys if k.startswith(keys.CHUNK_PREFIX)]
        await simulation.wait_until(
            lambda: not any(k in simulation.store.keys for k in chunks), 60.0, "chunks are never deleted"
        )

    play(
        scenario,
        state=StoreLimits(rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=2.0)),
    )


def test_chunked_records_survive_late_writes_and_failovers():
    """A fifth of the transactions are carried out late, after newer ones.

    Chunks are written, replaced and deleted meanwhile.
    """
    limits = StoreLimits(
        rps=150.0, write_rps=50.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=0.5, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(2.0)
        simulation.store.lower_limits()
        job_ids = []
        for n in range(1, 4):
            ends = {task: 4.0 + (task * 7) % 19 for task in range(120)}
            job_ids.append(simulation.define_job(n, pieces=120, cards=0.0, cores=1.0, memGb=1.0, ends=ends))
            await simulation.submit_until_accepted(job_ids[-1])
        dependent = simulation.define_job(9, run_s=3.0, awaits=job_ids)
        await simulation.submit_until_accepted(dependent)
        simulation.store.delay_writes(0.2)
        for _ in range(3):
            await asyncio.sleep(9.0)
            assert any(k.startswith(keys.CHUNK_PREFIX) for k in simulation.store.keys)
            leader = await simulation.wait_for_leader_name()
            simulation.crash(leader)
            simulation.start(leader)
        simulation.store.stop_delaying_writes()
        await simulation.wait_for_leader()
        await wait_until_all_done(simulation, [*job_ids, dependent], 120.0)
        assert simulation.store.refusals[400] == 0
        chunks = [k for k in simulation.store.keys if k.startswith(keys.CHUNK_PREFIX)]
        await simulation.wait_until(
            lambda: not any(k in simulation.store.keys for k in chunks), 180.0, "chunks are never deleted"
        )

    play(scenario, machines=24, state=limits)
