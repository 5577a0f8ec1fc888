"""A task must not start while it is on another machine: histories that broke this, made as short as they go."""

import asyncio

import pytest
from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker
from histories import Invariants

from hookwall.leadership.vote_grant import VOTE_GRANT_S
from hookwall.storage import keys


def machine_of(simulation: Simulation, ref: str) -> FakeWorker:
    """The machine that has a task of the job."""
    return next(w for w in simulation.workers.values() if any(p.startswith(ref) for p in w.tasks))


async def comes_to_keeper(simulation: Simulation, worker: FakeWorker, keeper: str, before_end_s: float) -> float:
    """A worker says nothing until shortly before its lease ends, and then comes to a node that reaches no other.

    Returns when its lease would have ended.
    """
    simulation.apart |= simulation.links_of(keeper)
    worker.reached = lambda node: node == keeper
    await asyncio.sleep(0.05)
    worker.hung = True
    worker.node = simulation.names.index(keeper)
    end = worker.lease_from + simulation.params.workers.lease_s
    await simulation.until(lambda: simulation.now() > end - before_end_s, 20.0, "the clock stands")
    worker.hung = False
    return end


async def with_a_running_job(simulation: Simulation) -> tuple[str, str]:
    """Check the invariants from now on, and run a long job: the leader's name and the job's."""
    Invariants(simulation).watch()
    ref = simulation.job(1, run_s=300.0)
    await simulation.accepted(ref)
    await simulation.runs(ref)
    return simulation.leader().settings.node_name, ref


async def recovers(simulation: Simulation, ref: str) -> None:
    """The troubles are over: soon somebody leads, and the job still runs."""
    simulation.service.refused.clear()
    simulation.apart.clear()
    await asyncio.sleep(10.0)
    assert simulation.leader() is not None and simulation.on_machines(ref)


def hold_up_next_leader_key(simulation: Simulation, late_s: float) -> list[tuple[str, float]]:
    """The next write of the leader key is carried out so late; who sent it and when, once it was sent."""
    writes: list[tuple[str, float]] = []

    def late(node: str, body: dict) -> float | None:
        sets_key = any(change.get("set") == keys.LEADER_KEY for change in body.get("apply", ()))
        if not sets_key or writes:
            return None
        writes.append((node, simulation.now()))
        return late_s

    simulation.service.late = late
    return writes


@pytest.mark.parametrize("refused_s", [1.6, 1.8, 2.0, 2.2])
@pytest.mark.parametrize("before_end_s", [0.8, 0.6, 0.4])
def test_a_leader_that_hears_late_of_a_kept_lease_stores_nothing_that_it_decided_before(refused_s, before_end_s):
    """The state service refuses the leader for two seconds, in which a follower begins to keep a lease.

    The leader took that lease to be over and moved the task. Its write could not be sent, and then its watch told
    it of the keeper's key before it tried again: the conditions of the write were those of the newer key, so the
    decision, which rested on the older one, was stored, and the task ran twice.
    """

    async def scenario(simulation: Simulation) -> None:
        Invariants(simulation).watch()
        lead = simulation.leader().settings.node_name
        keeper = next(n for n in simulation.names if n != lead)
        ref = simulation.job(1, run_s=300.0, cards=4.0)
        await simulation.accepted(ref)
        await simulation.runs(ref)
        await asyncio.sleep(5.0)
        worker = machine_of(simulation, ref)
        simulation.loop.call_later(
            worker.lease_from + simulation.params.workers.lease_s - before_end_s - 0.5 - simulation.now(),
            simulation.service.refused.add,
            lead,
        )
        end = await comes_to_keeper(simulation, worker, keeper, before_end_s)
        await simulation.until(
            lambda: simulation.now() > end - before_end_s - 0.5 + refused_s, 20.0, "the clock stands"
        )
        simulation.service.refused.discard(lead)
        await simulation.until(
            lambda: keys.LEASE_DELEGATE_PREFIX + keeper in simulation.service.keys, 5.0, "the lease is not kept"
        )
        await asyncio.sleep(20.0)
        assert any(p.startswith(ref) for p in worker.tasks), "the kept task is gone"

    play(scenario)


def test_a_leader_key_that_is_written_late_does_not_show_that_nobody_leads():
    """A leader stands still and then lacks the state service; a candidate's write of the key is carried out 3 s late.

    By then the former leader has its promises again. It loses its peers, and so does the candidate, which found a key
    that names itself, took it for its earlier process's, and led alone at once: two nodes were valid for seconds.
    """

    async def scenario(simulation: Simulation) -> None:
        lead, ref = await with_a_running_job(simulation)
        writes = hold_up_next_leader_key(simulation, 3.0)
        simulation.freeze(lead)
        await simulation.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, at = writes[0]
        await asyncio.sleep(at + VOTE_GRANT_S + 0.01 - simulation.now())
        simulation.apart |= simulation.links_of(candidate)
        simulation.service.refused.add(lead)
        simulation.thaw(lead)
        await asyncio.sleep(at + 2.9 - simulation.now())
        simulation.apart |= simulation.links_of(lead)
        await asyncio.sleep(12.0)
        await recovers(simulation, ref)

    play(scenario)


def test_a_vote_that_a_restarted_voter_has_forgotten_makes_no_second_leader():
    """A candidate's write of the leader key is carried out late, after its voter has restarted and forgotten its vote.

    The voter's new process supported the former leader again, which lacks the state service and so hears of no newer
    key. The candidate's node restarted as well, cut off from its peers, found the key that names it and led alone.
    """

    async def scenario(simulation: Simulation) -> None:
        lead, ref = await with_a_running_job(simulation)
        writes = hold_up_next_leader_key(simulation, 0.8)
        simulation.freeze(lead)
        await simulation.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, _ = writes[0]
        voter = next(n for n in simulation.names if n not in (lead, candidate))
        simulation.apart |= simulation.links_of(candidate)
        simulation.crash(voter)
        await asyncio.sleep(0.1)
        simulation.start(voter)
        simulation.service.refused.add(lead)
        simulation.thaw(lead)
        simulation.crash(candidate)  # before it can end the hold of its write
        await asyncio.sleep(0.3)
        simulation.service.refused.add(voter)  # it has read the key; from now on it hears of no other
        simulation.start(candidate)
        await asyncio.sleep(12.0)
        await recovers(simulation, ref)

    play(scenario)
