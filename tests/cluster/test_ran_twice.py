"""A task must not start while it is on another machine: histories that broke this, made as short as they go."""

import asyncio

import pytest
from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker
from histories import Invariants

from hookwall.leadership.vote_grant import VOTE_GRANT_S
from hookwall.storage import keys


def machine_of(simulation: Simulation, job_id: str) -> FakeWorker:
    """The machine that has a task of the job."""
    return next(
        worker for worker in simulation.workers.values() if any(task_id.startswith(job_id) for task_id in worker.tasks)
    )


async def heartbeat_to_delegate_before_expiry(
    simulation: Simulation, worker: FakeWorker, delegate: str, before_end_s: float
) -> float:
    """A worker sends nothing until shortly before its lease ends, and then sends to a node that reaches no other.

    Returns when its lease would have ended.
    """
    simulation.partitions |= simulation.links_of(delegate)
    worker.reached = lambda node: node == delegate
    await asyncio.sleep(0.05)
    worker.hung = True
    worker.node = simulation.names.index(delegate)
    end = worker.lease_from + simulation.params.workers.lease_s
    await simulation.until(lambda: simulation.now() > end - before_end_s, 20.0, "the clock stands")
    worker.hung = False
    return end


async def with_a_running_job(simulation: Simulation) -> tuple[str, str]:
    """Check the invariants from now on, and run a long job: the leader's name and the job's."""
    Invariants(simulation).watch()
    job_id = simulation.job(1, run_s=300.0)
    await simulation.accepted(job_id)
    await simulation.runs(job_id)
    return simulation.current_leader_name(), job_id


async def recovers(simulation: Simulation, job_id: str) -> None:
    """The troubles are over: soon somebody leads, and the job still runs."""
    simulation.service.refused.clear()
    simulation.partitions.clear()
    await asyncio.sleep(10.0)
    assert simulation.leader() is not None and simulation.on_machines(job_id)


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
def test_a_leader_that_learns_late_of_a_delegated_lease_stores_no_decision_made_before(refused_s, before_end_s):
    """The store refuses the leader for two seconds, in which a follower begins to renew a lease as its delegate.

    The leader took that lease to be over and moved the task. Its write could not be sent, and then its watch brought
    the delegate's key before it tried again: the conditions of the write were those of the newer key, so the
    decision, which rested on the older one, was stored, and the task ran twice.
    """

    async def scenario(simulation: Simulation) -> None:
        Invariants(simulation).watch()
        lead = simulation.current_leader_name()
        delegate = next(n for n in simulation.names if n != lead)
        job_id = simulation.job(1, run_s=300.0, cards=4.0)
        await simulation.accepted(job_id)
        await simulation.runs(job_id)
        await asyncio.sleep(5.0)
        worker = machine_of(simulation, job_id)
        simulation.loop.call_later(
            worker.lease_from + simulation.params.workers.lease_s - before_end_s - 0.5 - simulation.now(),
            simulation.service.refused.add,
            lead,
        )
        end = await heartbeat_to_delegate_before_expiry(simulation, worker, delegate, before_end_s)
        await simulation.until(
            lambda: simulation.now() > end - before_end_s - 0.5 + refused_s, 20.0, "the clock stands"
        )
        simulation.service.refused.discard(lead)
        await simulation.until(
            lambda: keys.LEASE_DELEGATE_PREFIX + delegate in simulation.service.keys, 5.0, "the lease is not delegated"
        )
        await asyncio.sleep(20.0)
        assert any(task_id.startswith(job_id) for task_id in worker.tasks), "the task of the delegated lease is gone"

    play(scenario)


def test_a_leader_key_written_late_does_not_make_a_second_leader():
    """A leader stands still and then lacks the state service; a candidate's write of the key is carried out 3 s late.

    By then the former leader has its quorum lease again. It loses its peers, and so does the candidate, which found
    a key that names itself, took it for its earlier process's, and led alone at once: two nodes were valid for seconds.
    """

    async def scenario(simulation: Simulation) -> None:
        lead, job_id = await with_a_running_job(simulation)
        writes = hold_up_next_leader_key(simulation, 3.0)
        simulation.freeze(lead)
        await simulation.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, at = writes[0]
        await asyncio.sleep(at + VOTE_GRANT_S + 0.01 - simulation.now())
        simulation.partitions |= simulation.links_of(candidate)
        simulation.service.refused.add(lead)
        simulation.thaw(lead)
        await asyncio.sleep(at + 2.9 - simulation.now())
        simulation.partitions |= simulation.links_of(lead)
        await asyncio.sleep(12.0)
        await recovers(simulation, job_id)

    play(scenario)


def test_a_vote_that_a_restarted_voter_has_forgotten_makes_no_second_leader():
    """A candidate's write of the leader key is carried out late, after its voter has restarted and forgotten its vote.

    The voter's new process supported the former leader again, which lacks the state service and so learns of no newer
    key. The candidate's node restarted as well, cut off from its peers, found the key that names it and led alone.
    """

    async def scenario(simulation: Simulation) -> None:
        lead, job_id = await with_a_running_job(simulation)
        writes = hold_up_next_leader_key(simulation, 0.8)
        simulation.freeze(lead)
        await simulation.until(lambda: bool(writes), 12.0, "nobody takes over")
        candidate, _ = writes[0]
        voter = next(n for n in simulation.names if n not in (lead, candidate))
        simulation.partitions |= simulation.links_of(candidate)
        simulation.crash(voter)
        await asyncio.sleep(0.1)
        simulation.start(voter)
        simulation.service.refused.add(lead)
        simulation.thaw(lead)
        simulation.crash(candidate)  # before it can end the session lease of its write
        await asyncio.sleep(0.3)
        simulation.service.refused.add(voter)  # it has read the key; from now on it learns of no other
        simulation.start(candidate)
        await asyncio.sleep(12.0)
        await recovers(simulation, job_id)

    play(scenario)
