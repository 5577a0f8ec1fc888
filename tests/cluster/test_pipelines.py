"""Dependent jobs among nodes, state service, workers and users: `too_early` and `orphaned` are checked all the time."""

import asyncio

import pytest
from harness.pipelines import all_become_cancelled, all_become_done, submit_chain
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, TeamQuota, UpcomingStoreLimits
from hookwall.storage import keys

SMALL = StoreLimits(
    rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=21.0, txn_ops=4)
)


# -- ready ----------------------------------------------------------------------------------------


def test_dependent_jobs_run_in_order_across_failovers():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 5, run_s=4.0, pieces=2)
        for _ in range(3):
            await asyncio.sleep(6.0)
            lead = await simulation.led_by()
            simulation.crash(lead)
            simulation.start(lead)
        await simulation.led()
        await all_become_done(simulation, job_ids, 60.0)

    play(scenario)


def test_a_job_waits_for_all_its_dependencies_and_for_lost_tasks_of_them():
    async def scenario(simulation: Simulation) -> None:
        one, two = simulation.job(1, run_s=10.0, pieces=2), simulation.job(2, run_s=3.0, shape="ensemble", pieces=2)
        for job_id in (one, two):
            await simulation.accepted(job_id)
        last = simulation.job(3, run_s=3.0, awaits=[one, two, one])
        await simulation.accepted(last)
        await simulation.runs(one)
        machine = next(worker for worker in simulation.workers.values() if any(p.startswith(one) for p in worker.tasks))
        machine.hung = True
        await all_become_done(simulation, [one, two, last], 80.0)

    play(scenario)


def test_late_heartbeats_of_a_dependency_start_no_dependent_too_early():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 2, run_s=8.0, pieces=3, ends={0: 2.0, 1: 4.0})
        await asyncio.sleep(9.0)
        copies = [body for worker in simulation.workers.values() for body in worker.sent_heartbeats[-6:]]
        lead = simulation.current_leader_name()
        simulation.crash(lead)
        await simulation.led()
        for body in copies:
            await simulation.deliver_heartbeat(simulation.current_leader_name(), body)
        simulation.start(lead)
        await all_become_done(simulation, job_ids, 60.0)

    play(scenario)


def test_a_job_that_waits_for_dependencies_uses_no_quota_and_provisions_no_machine():
    async def scenario(simulation: Simulation) -> None:
        simulation.cloud.room = 20
        first = simulation.job(1, run_s=15.0, owner="red", cards=4.0)
        await simulation.accepted(first)
        wide = simulation.job(2, run_s=3.0, owner="red", cards=4.0, pieces=2, shape="ensemble", awaits=[first])
        await simulation.accepted(wide)
        before = len(simulation.workers)
        # The team's limit is 8: what waits takes none of it.
        other = simulation.job(3, run_s=5.0, owner="red", cards=4.0)
        await simulation.accepted(other)
        await simulation.runs(other)
        assert wide not in simulation.leader().scheduler.waiting and len(simulation.workers) == before
        await all_become_done(simulation, [first, other, wide], 60.0)

    play(scenario, teams=[TeamQuota("red", gpus=8.0, gpus_max=8.0), TeamQuota("grey")])


def test_dependencies_inherit_the_rank_of_their_last_dependent():
    async def scenario(simulation: Simulation) -> None:
        fill = simulation.job(1, run_s=40.0, pieces=16, rank="low")
        await simulation.accepted(fill)
        await simulation.runs(fill)
        low = simulation.job(2, run_s=3.0, rank="low")
        await simulation.accepted(low)
        last = simulation.job(3, run_s=3.0, rank="urgent", awaits=[low])
        await simulation.accepted(last)
        # Room is made for the first although its own rank would have to wait.
        await all_become_done(simulation, [low, last], 20.0)

    play(scenario)


# -- cancelled -------------------------------------------------------------------------------------


def test_a_cancellation_reaches_all_dependents_and_no_other_job():
    async def scenario(simulation: Simulation) -> None:
        a, x = simulation.job(1, run_s=60.0), simulation.job(2, run_s=3.0)
        for job_id in (a, x):
            await simulation.accepted(job_id)
        b, c = simulation.job(3, awaits=[a]), simulation.job(4, awaits=[a, x])
        for job_id in (b, c):
            await simulation.accepted(job_id)
        d, other = simulation.job(5, awaits=[b, c]), simulation.job(6, run_s=3.0, awaits=[x])
        for job_id in (d, other):
            await simulation.accepted(job_id)
        assert await simulation.cancel(simulation.followers()[0], a) == (200, "withdrawn")
        late = simulation.job(7, awaits=[x, d])
        assert await simulation.submit(simulation.followers()[1], late) == 201
        await all_become_cancelled(simulation, [a, b, c, d, late], 10.0)
        await all_become_done(simulation, [x, other], 20.0)

    play(scenario)


def test_a_job_that_names_one_that_was_cancelled_long_ago_is_accepted_as_cancelled():
    async def scenario(simulation: Simulation) -> None:
        a = simulation.job(1, run_s=60.0)
        await simulation.accepted(a)
        await simulation.cancel("n0", a)
        await asyncio.sleep(simulation.params.workers.cancel_s + 10.0)
        b = simulation.job(2, awaits=[a])
        before = simulation.service.revision
        for node in simulation.nodes:
            assert await simulation.submit(node, b) in (200, 201)
            assert await simulation.poll(node, b) == (200, "withdrawn")
        assert simulation.service.revision == before + 1, "stored as cancelled from the start"

    play(scenario)


def test_a_cancellation_that_is_answered_done_lets_those_after_it_go_on():
    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 2)
        await all_become_done(simulation, job_ids[:1], 20.0)
        assert await simulation.cancel("n1", job_ids[0]) == (200, "done")
        await all_become_done(simulation, job_ids, 20.0)

    play(scenario)


def test_cancellation_and_submission_of_the_dependent_at_the_same_moment_on_two_nodes():
    async def scenario(simulation: Simulation) -> None:
        one, two = simulation.followers()
        for n in range(1, 20, 2):
            a = simulation.job(n, run_s=60.0)
            await simulation.accepted(a, one)
            b = simulation.job(n + 1, awaits=[a])
            answers = await asyncio.gather(simulation.cancel(one, a), simulation.submit(two, b))
            assert answers[0] == (200, "withdrawn")
            await simulation.accepted(b, two)
        await asyncio.sleep(1.0)
        await all_become_cancelled(simulation, [simulation.job_id(n) for n in range(1, 21)], 20.0)

    play(scenario)


@pytest.mark.parametrize("trouble", ["outage", "leader ends", "refused", "zones apart"])
def test_dependents_are_answered_as_cancelled_in_time_whatever_fails_after_the_response(trouble):
    """A node that can't know answers 503 rather than `pending` too late."""

    async def scenario(simulation: Simulation) -> None:
        job_ids = await submit_chain(simulation, 1, 8, run_s=100.0)
        one, two = simulation.followers()
        lead = simulation.current_leader_name()
        if trouble == "refused":
            simulation.service.refused.add(two)
        if trouble == "zones apart":
            simulation.partitions |= {frozenset((lead, one)), frozenset((one, two))}
            simulation.service.disconnected.add(two)
        answer = await simulation.cancel(lead if trouble == "zones apart" else one, job_ids[0])
        assert answer == (200, "withdrawn")
        if trouble == "outage":
            simulation.service.outage(True)
        elif trouble == "leader ends":
            simulation.crash(lead)
        for _ in range(20):
            await asyncio.sleep(2.5)
            for job_id in job_ids:
                await simulation.poll(simulation.random_node(), job_id)  # the rule is checked on each answer
        simulation.service.outage(False)
        simulation.service.refused.clear()
        simulation.service.disconnected.clear()
        simulation.partitions.clear()
        await all_become_cancelled(simulation, job_ids, 15.0)

    play(scenario)


def test_a_leader_whose_watch_is_blocked_does_not_answer_pending_for_dependents_for_ever():
    """It learns from its peers that the first is cancelled, but not from the records what that means for others."""

    async def scenario(simulation: Simulation) -> None:
        # The one that is cancelled waits itself: what its tasks do would make the leader read its record.
        _, *job_ids = await submit_chain(simulation, 1, 4, run_s=200.0)
        lead = simulation.current_leader_name()
        simulation.service.watch_blocked.add(lead)
        await asyncio.sleep(1.0)
        assert await simulation.cancel(simulation.followers()[0], job_ids[0]) == (200, "withdrawn")
        answers = set()
        for _ in range(30):
            await asyncio.sleep(2.0)
            answers |= {(await simulation.poll(lead, job_id))[0] for job_id in job_ids[1:]}
        assert answers <= {200, 503} and 503 in answers
        simulation.service.watch_blocked.clear()
        await all_become_cancelled(simulation, job_ids, 20.0)

    play(scenario)


def test_thousands_of_dependents_against_a_small_transaction_limit():
    """They are stored at the service's pace; none is called pending too late meanwhile."""

    async def scenario(simulation: Simulation) -> None:
        a = simulation.job(1, run_s=200.0)
        await simulation.accepted(a)
        job_ids = []
        for n in range(2, 1502):
            job_ids.append(simulation.job(n, awaits=[a]))
            simulation.put_record(job_ids[-1])
        await asyncio.sleep(3.0)
        simulation.service.lower_limits()
        assert await simulation.cancel(simulation.followers()[0], a) == (200, "withdrawn")
        for _ in range(30):
            await asyncio.sleep(2.0)
            for job_id in simulation.random.sample(job_ids, 10):
                await simulation.poll(simulation.random_node(), job_id)
        await simulation.until(
            lambda: all(
                simulation.service.keys[keys.JOB_PREFIX + job_id][0]["phase"] == "withdrawn" for job_id in job_ids
            ),
            60.0,
            "too slow",
        )

    play(scenario, state=SMALL)


def test_a_submission_is_not_answered_pending_on_data_older_than_a_cancellation_before_it():
    """Its needs are known as accepted from records that were read long ago; one may be cancelled since."""

    async def scenario(simulation: Simulation) -> None:
        needed = simulation.job(1, run_s=200.0)
        await simulation.accepted(needed)
        await asyncio.sleep(2.0)
        behind = simulation.followers()[0]
        simulation.service.watch_blocked.add(behind)
        other = next(name for name in simulation.nodes if name != behind)
        assert await simulation.cancel(other, needed) == (200, "withdrawn")
        await asyncio.sleep(simulation.params.workers.cancel_s + 3.0)
        dependent = simulation.job(2, awaits=[needed])
        assert await simulation.submit(behind, dependent) == 503
        simulation.service.watch_blocked.clear()
        await simulation.accepted(dependent, behind)
        assert await simulation.poll(behind, dependent) == (200, "withdrawn")

    play(scenario)


# -- what is refused --------------------------------------------------------------------------------


def test_what_is_refused_and_what_is_known():
    async def scenario(simulation: Simulation) -> None:
        a = simulation.job(1, run_s=3.0)
        await simulation.accepted(a, "n0")
        for n, awaits, status in (
            (2, "run-000001", 400),
            (3, ["run-1/2"], 400),
            (4, [1], 400),
            (5, ["run-000005"], 422),
            (6, [a, "run-999999"], 422),
            (7, [], 201),
            (8, None, 201),
            (9, [a, a], 201),
        ):
            job_id = simulation.job(n, awaits=awaits) if status == 201 else None
            spec = simulation.jobs[job_id].spec if job_id else simulation.description(n, awaits=awaits)
            for node in simulation.nodes:
                assert await simulation.submit_spec(node, spec) in ((201, 200) if status == 201 else (status,)), (
                    n,
                    node,
                )
        # A repeat of an accepted submission is known, whatever it names.
        again = {**simulation.jobs[simulation.job_id(9)].spec, "awaits": ["run-999999"]}
        assert [await simulation.submit_spec(node, again) for node in simulation.nodes] == [200, 200, 200]

    play(scenario)


def test_a_long_list_of_names_that_nobody_has_submitted_costs_one_comparison():
    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(2.0)
        node = simulation.followers()[0]
        asked: list[int] = []
        commit = simulation.nodes[node].store.commit

        async def counted(when, *args, **kwargs):
            asked.append(len(when))
            return await commit(when, *args, **kwargs)

        simulation.nodes[node].store.commit = counted
        names = [f"run-{n}" for n in range(10**6, 10**6 + 4000)]
        assert await simulation.submit_spec(node, simulation.description(1, awaits=names)) == 422
        assert sum(asked) < 2 * simulation.nodes[node].read_confirmation.max_batch_size + 5

    play(scenario)


def test_the_longest_list_of_accepted_names_is_stored_and_runs():
    async def scenario(simulation: Simulation) -> None:
        a = simulation.job(1, run_s=30.0)
        await simulation.accepted(a)
        names = [a]
        for n in range(2, 1200):
            names.append(simulation.job(n * 10**14 + n * n * 7919))
            simulation.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            simulation.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        simulation.service.lower_limits()
        last = simulation.job(5000, run_s=3.0, awaits=names)
        await simulation.accepted(last, simulation.followers()[0], within_s=60.0)
        await all_become_done(simulation, [a, last], 60.0)
        parts = [k for k in simulation.service.keys if k.startswith(keys.CHUNK_PREFIX)]
        await simulation.until(
            lambda: not any(k in simulation.service.keys for k in parts), 60.0, "parts stay for ever"
        )

    play(
        scenario,
        state=StoreLimits(rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=2.0)),
    )


def test_chunked_records_survive_late_writes_and_failovers():
    """Parts are written, replaced and removed while a fifth of the transactions come late, after newer ones."""
    tiny = StoreLimits(
        rps=150.0, write_rps=50.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=0.5, txn_ops=4)
    )

    async def scenario(simulation: Simulation) -> None:
        await asyncio.sleep(2.0)
        simulation.service.lower_limits()
        job_ids = []
        for n in range(1, 4):
            ends = {task: 4.0 + (task * 7) % 19 for task in range(120)}
            job_ids.append(simulation.job(n, pieces=120, cards=0.0, cores=1.0, memGb=1.0, ends=ends))
            await simulation.accepted(job_ids[-1])
        last = simulation.job(9, run_s=3.0, awaits=job_ids)
        await simulation.accepted(last)
        simulation.service.delay_writes(0.2)
        for _ in range(3):
            await asyncio.sleep(9.0)
            assert any(k.startswith(keys.CHUNK_PREFIX) for k in simulation.service.keys)
            lead = await simulation.led_by()
            simulation.crash(lead)
            simulation.start(lead)
        simulation.service.write_at_once()
        await simulation.led()
        await all_become_done(simulation, [*job_ids, last], 120.0)
        assert simulation.service.refusals[400] == 0
        left = [k for k in simulation.service.keys if k.startswith(keys.CHUNK_PREFIX)]
        await simulation.until(
            lambda: not any(k in simulation.service.keys for k in left), 180.0, "parts stay for ever"
        )

    play(scenario, machines=24, state=tiny)
