"""Dependent jobs among nodes, state service, workers and users: `too_early` and `orphaned` are checked all the time."""

import asyncio

import pytest
from harness.pipelines import becomes_done, becomes_withdrawn, chain
from harness.play import play
from harness.simulation import Simulation

from hookwall.config.platform import StoreLimits, TeamQuota, UpcomingStoreLimits
from hookwall.storage import keys

SMALL = StoreLimits(
    rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(write_rps=21.0, txn_ops=4)
)


# -- ready ----------------------------------------------------------------------------------------


def test_jobs_run_one_after_the_other_through_changes_of_leader():
    async def scenario(w: Simulation) -> None:
        refs = await chain(w, 1, 5, run_s=4.0, pieces=2)
        for _ in range(3):
            await asyncio.sleep(6.0)
            lead = (await w.led()).settings.node_name
            w.crash(lead)
            w.start(lead)
        await w.led()
        await becomes_done(w, refs, 60.0)

    play(scenario)


def test_a_job_waits_for_all_that_it_needs_and_for_lost_tasks_of_them():
    async def scenario(w: Simulation) -> None:
        one, two = w.job(1, run_s=10.0, pieces=2), w.job(2, run_s=3.0, shape="ensemble", pieces=2)
        for ref in (one, two):
            await w.accepted(ref)
        last = w.job(3, run_s=3.0, awaits=[one, two, one])
        await w.accepted(last)
        await w.runs(one)
        machine = next(worker for worker in w.workers.values() if any(p.startswith(one) for p in worker.tasks))
        machine.hung = True
        await becomes_done(w, [one, two, last], 80.0)

    play(scenario)


def test_late_reports_of_an_earlier_job_start_nothing_too_early():
    async def scenario(w: Simulation) -> None:
        refs = await chain(w, 1, 2, run_s=8.0, pieces=3, ends={0: 2.0, 1: 4.0})
        await asyncio.sleep(9.0)
        copies = [body for worker in w.workers.values() for body in worker.sent[-6:]]
        lead = w.leader().settings.node_name
        w.crash(lead)
        await w.led()
        for body in copies:
            await w.beat(w.leader().settings.node_name, body)
        w.start(lead)
        await becomes_done(w, refs, 60.0)

    play(scenario)


def test_a_job_that_waits_holds_nothing_and_asks_for_no_machine():
    async def scenario(w: Simulation) -> None:
        w.cloud.room = 20
        first = w.job(1, run_s=15.0, owner="red", cards=4.0)
        await w.accepted(first)
        wide = w.job(2, run_s=3.0, owner="red", cards=4.0, pieces=2, shape="ensemble", awaits=[first])
        await w.accepted(wide)
        before = len(w.workers)
        # The team's limit is 8: what waits takes none of it.
        other = w.job(3, run_s=5.0, owner="red", cards=4.0)
        await w.accepted(other)
        await w.runs(other)
        assert wide not in w.leader().scheduler.waiting and len(w.workers) == before
        await becomes_done(w, [first, other, wide], 60.0)

    play(scenario, teams=[TeamQuota("red", gpus=8.0, gpus_max=8.0), TeamQuota("grey")])


def test_earlier_jobs_take_the_rank_of_the_job_at_the_end():
    async def scenario(w: Simulation) -> None:
        fill = w.job(1, run_s=40.0, pieces=16, rank="low")
        await w.accepted(fill)
        await w.runs(fill)
        low = w.job(2, run_s=3.0, rank="low")
        await w.accepted(low)
        last = w.job(3, run_s=3.0, rank="urgent", awaits=[low])
        await w.accepted(last)
        # Room is made for the first although its own rank would have to wait.
        await becomes_done(w, [low, last], 20.0)

    play(scenario)


# -- cancelled -------------------------------------------------------------------------------------


def test_a_cancellation_reaches_all_that_need_the_job_and_no_others():
    async def scenario(w: Simulation) -> None:
        a, x = w.job(1, run_s=60.0), w.job(2, run_s=3.0)
        for ref in (a, x):
            await w.accepted(ref)
        b, c = w.job(3, awaits=[a]), w.job(4, awaits=[a, x])
        for ref in (b, c):
            await w.accepted(ref)
        d, other = w.job(5, awaits=[b, c]), w.job(6, run_s=3.0, awaits=[x])
        for ref in (d, other):
            await w.accepted(ref)
        assert await w.cancel(w.followers()[0], a) == (200, "withdrawn")
        late = w.job(7, awaits=[x, d])
        assert await w.submit(w.followers()[1], late) == 201
        await becomes_withdrawn(w, [a, b, c, d, late], 10.0)
        await becomes_done(w, [x, other], 20.0)

    play(scenario)


def test_a_job_that_names_one_that_was_cancelled_long_ago_is_accepted_as_cancelled():
    async def scenario(w: Simulation) -> None:
        a = w.job(1, run_s=60.0)
        await w.accepted(a)
        await w.cancel("n0", a)
        await asyncio.sleep(w.params.workers.cancel_s + 10.0)
        b = w.job(2, awaits=[a])
        before = w.service.epoch
        for node in w.nodes:
            assert await w.submit(node, b) in (200, 201)
            assert await w.poll(node, b) == (200, "withdrawn")
        assert w.service.epoch == before + 1, "stored as cancelled from the start"

    play(scenario)


def test_a_cancellation_that_is_answered_done_lets_those_after_it_go_on():
    async def scenario(w: Simulation) -> None:
        refs = await chain(w, 1, 2)
        await becomes_done(w, refs[:1], 20.0)
        assert await w.cancel("n1", refs[0]) == (200, "done")
        await becomes_done(w, refs, 20.0)

    play(scenario)


def test_cancellation_and_submission_of_the_dependent_at_the_same_moment_on_two_nodes():
    async def scenario(w: Simulation) -> None:
        one, two = w.followers()
        for n in range(1, 20, 2):
            a = w.job(n, run_s=60.0)
            await w.accepted(a, one)
            b = w.job(n + 1, awaits=[a])
            answers = await asyncio.gather(w.cancel(one, a), w.submit(two, b))
            assert answers[0] == (200, "withdrawn")
            await w.accepted(b, two)
        await asyncio.sleep(1.0)
        await becomes_withdrawn(w, [w.job_ref(n) for n in range(1, 21)], 20.0)

    play(scenario)


@pytest.mark.parametrize("trouble", ["outage", "leader ends", "refused", "zones apart"])
def test_dependents_are_told_as_cancelled_in_time_whatever_follows_the_answer(trouble):
    """A node that can't know is silent rather than say `pending` too late."""

    async def scenario(w: Simulation) -> None:
        refs = await chain(w, 1, 8, run_s=100.0)
        one, two = w.followers()
        lead = w.leader().settings.node_name
        if trouble == "refused":
            w.service.refused.add(two)
        if trouble == "zones apart":
            w.apart |= {frozenset((lead, one)), frozenset((one, two))}
            w.service.cut.add(two)
        answer = await w.cancel(lead if trouble == "zones apart" else one, refs[0])
        assert answer == (200, "withdrawn")
        if trouble == "outage":
            w.service.outage(True)
        elif trouble == "leader ends":
            w.crash(lead)
        for _ in range(20):
            await asyncio.sleep(2.5)
            for ref in refs:
                await w.poll(w.random.choice(list(w.nodes)), ref)  # the rule is checked on each answer
        w.service.outage(False)
        w.service.refused.clear()
        w.service.cut.clear()
        w.apart.clear()
        await becomes_withdrawn(w, refs, 15.0)

    play(scenario)


def test_a_leader_whose_watch_stands_still_does_not_call_dependents_pending_for_ever():
    """It learns from its peers that the first is cancelled, but not from the records what that means for others."""

    async def scenario(w: Simulation) -> None:
        # The one that is cancelled waits itself: what its tasks do would make the leader read its record.
        _, *refs = await chain(w, 1, 4, run_s=200.0)
        lead = w.leader().settings.node_name
        w.service.no_watch.add(lead)
        await asyncio.sleep(1.0)
        assert await w.cancel(w.followers()[0], refs[0]) == (200, "withdrawn")
        answers = set()
        for _ in range(30):
            await asyncio.sleep(2.0)
            answers |= {(await w.poll(lead, ref))[0] for ref in refs[1:]}
        assert answers <= {200, 503} and 503 in answers
        w.service.no_watch.clear()
        await becomes_withdrawn(w, refs, 20.0)

    play(scenario)


def test_thousands_of_dependents_against_a_small_transaction_limit():
    """They are stored at the service's pace; none is called pending too late meanwhile."""

    async def scenario(w: Simulation) -> None:
        a = w.job(1, run_s=200.0)
        await w.accepted(a)
        refs = []
        for n in range(2, 1502):
            refs.append(w.job(n, awaits=[a]))
            w.put_record(refs[-1])
        await asyncio.sleep(3.0)
        w.service.lower()
        assert await w.cancel(w.followers()[0], a) == (200, "withdrawn")
        for _ in range(30):
            await asyncio.sleep(2.0)
            for ref in w.random.sample(refs, 10):
                await w.poll(w.random.choice(list(w.nodes)), ref)
        await w.until(
            lambda: all(w.service.keys[keys.JOB_PREFIX + ref][0]["phase"] == "withdrawn" for ref in refs),
            60.0,
            "too slow",
        )

    play(scenario, state=SMALL)


def test_a_submission_is_not_called_pending_on_knowledge_older_than_a_cancellation_before_it():
    """Its needs are known as accepted from records that were read long ago; one may be cancelled since."""

    async def scenario(w: Simulation) -> None:
        needed = w.job(1, run_s=200.0)
        await w.accepted(needed)
        await asyncio.sleep(2.0)
        behind = w.followers()[0]
        w.service.no_watch.add(behind)
        other = next(name for name in w.nodes if name != behind)
        assert await w.cancel(other, needed) == (200, "withdrawn")
        await asyncio.sleep(w.params.workers.cancel_s + 3.0)
        dependent = w.job(2, awaits=[needed])
        assert await w.submit(behind, dependent) == 503
        w.service.no_watch.clear()
        await w.accepted(dependent, behind)
        assert await w.poll(behind, dependent) == (200, "withdrawn")

    play(scenario)


# -- what is refused --------------------------------------------------------------------------------


def test_what_is_refused_and_what_is_known():
    async def scenario(w: Simulation) -> None:
        a = w.job(1, run_s=3.0)
        await w.accepted(a, "n0")
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
            ref = w.job(n, awaits=awaits) if status == 201 else None
            spec = w.jobs[ref].spec if ref else w.description(n, awaits=awaits)
            for node in w.nodes:
                assert await w.ask(node, spec) in ((201, 200) if status == 201 else (status,)), (n, node)
        # A repeat of an accepted submission is known, whatever it names.
        again = {**w.jobs[w.job_ref(9)].spec, "awaits": ["run-999999"]}
        assert [await w.ask(node, again) for node in w.nodes] == [200, 200, 200]

    play(scenario)


def test_a_long_list_of_names_that_nobody_has_submitted_costs_one_comparison():
    async def scenario(w: Simulation) -> None:
        await asyncio.sleep(2.0)
        node = w.followers()[0]
        asked: list[int] = []
        commit = w.nodes[node].store.commit

        async def counted(when, *args, **kwargs):
            asked.append(len(when))
            return await commit(when, *args, **kwargs)

        w.nodes[node].store.commit = counted
        names = [f"run-{n}" for n in range(10**6, 10**6 + 4000)]
        assert await w.ask(node, w.description(1, awaits=names)) == 422
        assert sum(asked) < 2 * w.nodes[node].read_confirmation.max_batch_size + 5

    play(scenario)


def test_the_longest_list_of_accepted_names_is_stored_and_runs():
    async def scenario(w: Simulation) -> None:
        a = w.job(1, run_s=30.0)
        await w.accepted(a)
        names = [a]
        for n in range(2, 1200):
            names.append(w.job(n * 10**14 + n * n * 7919))
            w.put_record(names[-1], {"phase": "done", "n": 1, "next": 2, "on": []})
            w.jobs[names[-1]].done.add(0)
        await asyncio.sleep(3.0)
        w.service.lower()
        last = w.job(5000, run_s=3.0, awaits=names)
        await w.accepted(last, w.followers()[0], within_s=60.0)
        await becomes_done(w, [a, last], 60.0)
        parts = [k for k in w.service.keys if k.startswith(keys.CHUNK_PREFIX)]
        await w.until(lambda: not any(k in w.service.keys for k in parts), 60.0, "parts stay for ever")

    play(
        scenario,
        state=StoreLimits(rps=150.0, write_rps=30.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=2.0)),
    )


def test_records_in_parts_survive_late_writes_and_changes_of_leader():
    """Parts are written, replaced and removed while a fifth of the transactions come late, after newer ones."""
    tiny = StoreLimits(
        rps=150.0, write_rps=50.0, value_kb=16.0, txn_ops=12, next=UpcomingStoreLimits(value_kb=0.5, txn_ops=4)
    )

    async def scenario(w: Simulation) -> None:
        await asyncio.sleep(2.0)
        w.service.lower()
        refs = []
        for n in range(1, 4):
            ends = {task: 4.0 + (task * 7) % 19 for task in range(120)}
            refs.append(w.job(n, pieces=120, cards=0.0, cores=1.0, memGb=1.0, ends=ends))
            await w.accepted(refs[-1])
        last = w.job(9, run_s=3.0, awaits=refs)
        await w.accepted(last)
        w.service.late = lambda node, body: w.random.uniform(2.0, 12.0) if w.random.random() < 0.2 else None
        for _ in range(3):
            await asyncio.sleep(9.0)
            assert any(k.startswith(keys.CHUNK_PREFIX) for k in w.service.keys)
            lead = (await w.led()).settings.node_name
            w.crash(lead)
            w.start(lead)
        w.service.late = lambda node, body: None
        await w.led()
        await becomes_done(w, [*refs, last], 120.0)
        assert w.service.refusals[400] == 0
        left = [k for k in w.service.keys if k.startswith(keys.CHUNK_PREFIX)]
        await w.until(lambda: not any(k in w.service.keys for k in left), 180.0, "parts stay for ever")

    play(scenario, machines=24, state=tiny)
