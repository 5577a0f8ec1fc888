"""Meetings of two troubles (docs/design.md, "Meetings"): each asserts the rules on machines and in answers."""

import asyncio

from world import World, play


async def running(w: World, *refs: str) -> None:
    for ref in refs:
        await w.accepted(ref)
        await w.runs(ref)


def cut(w: World, *pairs: tuple[str, str]) -> None:
    w.apart |= {frozenset(p) for p in pairs}


# -- a cancellation that the leader can't read ----------------------------------------------------


def test_a_cancellation_confirmed_while_the_leader_is_refused_ends_its_tasks_in_a_long_outage():
    """The gap: refused alone, the leader missed it, and then renewed leases through an outage for all."""
    gone: list[float] = []

    async def scenario(w: World) -> None:
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

    async def scenario(w: World) -> None:
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

    async def scenario(w: World) -> None:
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
    async def scenario(w: World) -> None:
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
    async def scenario(w: World) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        cut(w, ("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
        await asyncio.sleep(30.0)
        assert w.leader() is not None
        assert await w.cancel(w.followers()[0], ref) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(ref), 15.0, "the cancelled task goes on")

    play(scenario)


def test_a_leader_cut_from_service_and_peers_does_not_keep_what_is_cancelled_through_the_next_one():
    async def scenario(w: World) -> None:
        ref = w.job(1, run_s=300.0)
        await running(w, ref)
        old, (one, two) = w.leader().settings.node_name, w.followers()
        w.service.cut.add(old)
        cut(w, (old, one), (old, two))
        assert await w.cancel(one, ref) == (200, "withdrawn")
        await w.until(lambda: not w.on_machines(ref), w.params.workers.cancel_s, "the cancelled task goes on")
        await w.until(lambda: w.leader() is not None and w.leader().settings.node_name != old, 20.0, "nobody leads")

    play(scenario)
