"""A task must not start while it is on another machine: histories that broke this, made as short as they go."""

import asyncio

import pytest
from histories import Invariants
from world import Worker, World, play

from hookwall.leadership.vote_grant import VOTE_GRANT_S
from hookwall.storage import keys


def machine_of(world: World, ref: str) -> Worker:
    """The machine that has a task of the job."""
    return next(w for w in world.workers.values() if any(p.startswith(ref) for p in w.tasks))


async def comes_to_keeper(world: World, worker: Worker, keeper: str, before_end_s: float) -> float:
    """A worker says nothing until shortly before its lease ends, and then comes to a node that reaches no other.

    Returns when its lease would have ended.
    """
    world.apart |= world.links_of(keeper)
    worker.reached = lambda node: node == keeper
    await asyncio.sleep(0.05)
    worker.hung = True
    worker.node = world.names.index(keeper)
    end = worker.lease_from + world.params.workers.lease_s
    await world.until(lambda: world.now() > end - before_end_s, 20.0, "the clock stands")
    worker.hung = False
    return end


async def with_a_running_job(world: World) -> tuple[str, str]:
    """Check the invariants from now on, and run a long job: the leader's name and the job's."""
    Invariants(world).watch()
    ref = world.job(1, run_s=300.0)
    await world.accepted(ref)
    await world.runs(ref)
    return world.leader().settings.node_name, ref


async def recovers(world: World, ref: str) -> None:
    """The troubles are over: soon somebody leads, and the job still runs."""
    world.service.refused.clear()
    world.apart.clear()
    await asyncio.sleep(10.0)
    assert world.leader() is not None and world.on_machines(ref)


def hold_up_next_leader_key(world: World, late_s: float) -> list[tuple[str, float]]:
    """The next write of the leader key is carried out so late; who sent it and when, once it was sent."""
    writes: list[tuple[str, float]] = []

    def late(node: str, body: dict) -> float | None:
        sets_key = any(change.get("set") == keys.LEADER_KEY for change in body.get("apply", ()))
        if not sets_key or writes:
            return None
        writes.append((node, world.now()))
        return late_s

    world.service.late = late
    return writes


@pytest.mark.parametrize("refused_s", [1.6, 1.8, 2.0, 2.2])
@pytest.mark.parametrize("before_end_s", [0.8, 0.6, 0.4])
def test_a_leader_that_hears_late_of_a_kept_lease_stores_nothing_that_it_decided_before(refused_s, before_end_s):
    """The state service refuses the leader for two seconds, in which a follower begins to keep a lease.

    The leader took that lease to be over and moved the task. Its write could not be sent, and then its watch told
    it of the keeper's key before it tried again: the conditions of the write were those of the newer key, so the
    decision, which rested on the older one, was stored, and the task ran twice.
    """

    async def scenario(world: World) -> None:
        Invariants(world).watch()
        lead = world.leader().settings.node_name
        keeper = next(n for n in world.names if n != lead)
        ref = world.job(1, run_s=300.0, cards=4.0)
        await world.accepted(ref)
        await world.runs(ref)
        await asyncio.sleep(5.0)
        worker = machine_of(world, ref)
        world.loop.call_later(
            worker.lease_from + world.params.workers.lease_s - before_end_s - 0.5 - world.now(),
            world.service.refused.add,
            lead,
        )
        end = await comes_to_keeper(world, worker, keeper, before_end_s)
        await world.until(lambda: world.now() > end - before_end_s - 0.5 + refused_s, 20.0, "the clock stands")
        world.service.refused.discard(lead)
        await world.until(
            lambda: keys.LEASE_DELEGATE_PREFIX + keeper in world.service.keys, 5.0, "the lease is not kept"
        )
        await asyncio.sleep(20.0)
        assert any(p.startswith(ref) for p in worker.tasks), "the kept task is gone"

    play(scenario)


def test_a_leader_key_that_is_written_late_does_not_show_that_nobody_leads():
    """A leader stands still and then lacks the state service; a candidate's write of the key is carried out 3 s late.

    By then the former leader has its promises again. It loses its peers, and so does the candidate, which found a key
    that names itself, took it for its earlier process's, and led alone at once: two nodes were valid for seconds.
    """

    async def scenario(world: World) -> None:
        lead, ref = await with_a_running_job(world)
        writes = hold_up_next_leader_key(world, 3.0)
        world.freeze(lead)
        await world.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, at = writes[0]
        await asyncio.sleep(at + VOTE_GRANT_S + 0.01 - world.now())
        world.apart |= world.links_of(candidate)
        world.service.refused.add(lead)
        world.thaw(lead)
        await asyncio.sleep(at + 2.9 - world.now())
        world.apart |= world.links_of(lead)
        await asyncio.sleep(12.0)
        await recovers(world, ref)

    play(scenario)


def test_a_vote_that_a_restarted_voter_has_forgotten_makes_no_second_leader():
    """A candidate's write of the leader key is carried out late, after its voter has restarted and forgotten its vote.

    The voter's new process supported the former leader again, which lacks the state service and so hears of no newer
    key. The candidate's node restarted as well, cut off from its peers, found the key that names it and led alone.
    """

    async def scenario(world: World) -> None:
        lead, ref = await with_a_running_job(world)
        writes = hold_up_next_leader_key(world, 0.8)
        world.freeze(lead)
        await world.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, _ = writes[0]
        voter = next(n for n in world.names if n not in (lead, candidate))
        world.apart |= world.links_of(candidate)
        world.crash(voter)
        await asyncio.sleep(0.1)
        world.start(voter)
        world.service.refused.add(lead)
        world.thaw(lead)
        world.crash(candidate)  # before it can end the hold of its write
        await asyncio.sleep(0.3)
        world.service.refused.add(voter)  # it has read the key; from now on it hears of no other
        world.start(candidate)
        await asyncio.sleep(12.0)
        await recovers(world, ref)

    play(scenario)
