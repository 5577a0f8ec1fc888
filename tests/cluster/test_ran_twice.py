"""A task must not start while it is on another machine.

Each test is a random history (`tests/histories.py`) that broke this rule, reduced to the steps that it takes.
"""

import asyncio

import pytest
from harness.play import play
from harness.simulation import Simulation
from harness.worker import FakeWorker
from histories import Invariants

from hookwall.leadership.vote_grant import VOTE_GRANT_S
from hookwall.storage import keys


def machine_of(simulation: Simulation, job_id: str) -> FakeWorker:
    """Return the machine that has a task of the job."""
    return next(
        worker for worker in simulation.workers.values() if any(task_id.startswith(job_id) for task_id in worker.tasks)
    )


async def heartbeat_to_delegate_before_expiry(
    simulation: Simulation, worker: FakeWorker, delegate: str, before_expiry_s: float
) -> float:
    """Keep a worker silent until `before_expiry_s` before its lease expires, then let it reach only `delegate`.

    The delegate is partitioned from all other nodes. Return the time at which the lease would have expired.
    """
    simulation.partitions |= simulation.node_pairs_of(delegate)
    worker.reached = lambda node: node == delegate
    await asyncio.sleep(0.05)
    worker.hung = True
    worker.node = simulation.names.index(delegate)
    expires_at = worker.lease_from + simulation.params.workers.lease_s
    await simulation.wait_until(
        lambda: simulation.now() > expires_at - before_expiry_s, 20.0, "the clock does not advance"
    )
    worker.hung = False
    return expires_at


async def run_long_job(simulation: Simulation) -> tuple[str, str]:
    """Check the invariants from now on and run a long job; return the leader's name and the job's id."""
    Invariants(simulation).watch()
    job_id = simulation.define_job(1, run_s=300.0)
    await simulation.submit_until_accepted(job_id)
    await simulation.wait_until_running(job_id)
    return simulation.current_leader_name(), job_id


async def assert_recovery(simulation: Simulation, job_id: str) -> None:
    """End refusals and partitions, then assert that a node leads soon and that the job still runs."""
    simulation.store.refused.clear()
    simulation.partitions.clear()
    await asyncio.sleep(10.0)
    assert simulation.leader() is not None and simulation.count_tasks_on_machines(job_id)


def delay_next_leader_key_write(simulation: Simulation, delay_s: float) -> list[tuple[str, float]]:
    """Delay the next write of the leader key by `delay_s`.

    Return a list that gets one entry once that write is sent: the node that sent it, and when.
    """
    writes: list[tuple[str, float]] = []

    def write_delay(node: str, body: dict) -> float | None:
        sets_key = any(change.get("set") == keys.LEADER_KEY for change in body.get("apply", ()))
        if not sets_key or writes:
            return None
        writes.append((node, simulation.now()))
        return delay_s

    simulation.store.write_delay_s = write_delay
    return writes


@pytest.mark.parametrize("refused_s", [1.6, 1.8, 2.0, 2.2])
@pytest.mark.parametrize("before_expiry_s", [0.8, 0.6, 0.4])
def test_a_leader_stores_no_decision_made_before_it_learned_of_a_delegated_lease(refused_s, before_expiry_s):
    """The store refuses the leader for two seconds, during which a follower begins to renew a lease as its delegate.

    The leader considered that lease expired and moved the task. Its write could not be sent, and its watch delivered
    the delegate's key before the retry. The retry took its preconditions from the newer key, so a decision that was
    based on the older key was stored, and the task ran twice.
    """

    async def scenario(simulation: Simulation) -> None:
        Invariants(simulation).watch()
        leader = simulation.current_leader_name()
        delegate = next(n for n in simulation.names if n != leader)
        job_id = simulation.define_job(1, run_s=300.0, cards=4.0)
        await simulation.submit_until_accepted(job_id)
        await simulation.wait_until_running(job_id)
        await asyncio.sleep(5.0)
        worker = machine_of(simulation, job_id)
        simulation.loop.call_later(
            worker.lease_from + simulation.params.workers.lease_s - before_expiry_s - 0.5 - simulation.now(),
            simulation.store.refused.add,
            leader,
        )
        expires_at = await heartbeat_to_delegate_before_expiry(simulation, worker, delegate, before_expiry_s)
        await simulation.wait_until(
            lambda: simulation.now() > expires_at - before_expiry_s - 0.5 + refused_s,
            20.0,
            "the clock does not advance",
        )
        simulation.store.refused.discard(leader)
        await simulation.wait_until(
            lambda: keys.LEASE_DELEGATE_PREFIX + delegate in simulation.store.keys, 5.0, "the lease is not delegated"
        )
        await asyncio.sleep(20.0)
        assert any(task_id.startswith(job_id) for task_id in worker.tasks), "the task of the delegated lease is gone"

    play(scenario)


ARMED_BEFORE_EXPIRY_S = 0.55  # the next write of the job after this moment is the one whose result comes late
DELEGATED_BEFORE_EXPIRY_S = 0.2  # when the worker reaches the delegate
ROUND_S = 0.25  # within which the leader decides about the tasks of a lease that seems to have expired
REQUEST_TIMEOUT_S = 1.5


class LateWrite:
    """The write of a job by the leader that is executed just before a follower begins to renew a lease.

    Its result comes once the leader has taken the lease for expired, has decided, and has then seen the delegate's key.
    """

    def __init__(self, simulation: Simulation, job_id: str, worker: FakeWorker, executed_after_s: float | None) -> None:
        """`executed_after_s`: it gets no response, and is executed so much later; None: it gets its response late."""
        self.simulation = simulation
        self.job_id = job_id
        self.worker = worker
        self.executed_after_s = executed_after_s
        self.leader = simulation.current_leader_name()
        self.armed = False
        self.sent_at: float | None = None
        self.result_at: float | None = None
        simulation.store.after_commit = self.hold_response
        simulation.store.write_delay_s = self.write_delay

    def arm(self) -> None:
        """Begin with the next write of the job."""
        self.armed = True

    def begin_if_in_question(self, node: str, body: dict) -> bool:
        """Whether this is the write in question; if so, the leader's watch receives nothing from now on."""
        sets_job = any(change.get("set") == keys.JOB_PREFIX + self.job_id for change in body.get("apply", ()))
        if not (self.armed and node == self.leader and sets_job):
            return False
        self.armed = False
        self.sent_at = self.simulation.now()
        self.simulation.store.watch_blocked.add(self.leader)
        return True

    async def let_leader_decide(self) -> None:
        """Wait until the leader has decided on the lease that seems to have expired, then let it see the key."""
        expired = self.simulation.nodes[self.leader].fleet.lease_expiry.expired_machines
        while self.worker.name not in expired:
            await asyncio.sleep(0.01)
        await asyncio.sleep(ROUND_S)
        self.simulation.store.watch_blocked.discard(self.leader)
        await asyncio.sleep(0.1)
        self.result_at = self.simulation.now()

    async def hold_response(self, node: str, body: dict) -> None:
        """Hold the response to the write in question."""
        if self.begin_if_in_question(node, body):
            await self.let_leader_decide()

    def write_delay(self, node: str, body: dict) -> float | None:
        """Return when the write in question is executed, if it gets no response."""
        if self.executed_after_s is None or not self.begin_if_in_question(node, body):
            return None
        self.simulation.run_in_background(self.let_leader_decide())
        return self.executed_after_s


async def delegate_lease_during_a_write(simulation: Simulation, executed_after_s: float | None) -> None:
    """Let a lease seem to expire during a write of the job, and the delegate's key be seen just before its result."""
    Invariants(simulation).watch()
    leader = simulation.current_leader_name()
    delegate = next(n for n in simulation.names if n != leader)
    job_id = simulation.define_job(1, run_s=1.7, pieces=900)
    worker = next(w for w in simulation.workers.values() if w.zone == "east")
    on_far_machine: set[str] = set()

    def let_tasks_last(machine: FakeWorker, task_id: str, _attempt: int) -> None:
        number = int(task_id.rpartition("/")[2])
        simulation.jobs[job_id].ends[number] = 300.0 if machine is worker else 1.0 + number % 7 / 5
        if machine is worker:
            on_far_machine.add(task_id)

    simulation.on_launch.append(let_tasks_last)
    await simulation.submit_until_accepted(job_id)
    await simulation.wait_until(lambda: len(on_far_machine) == 4, 20.0, "the far machine has no tasks")
    await asyncio.sleep(4.0)
    late = LateWrite(simulation, job_id, worker, executed_after_s)
    expires_in_s = worker.lease_from + simulation.params.workers.lease_s - simulation.now()
    simulation.loop.call_later(expires_in_s - ARMED_BEFORE_EXPIRY_S, late.arm)
    await heartbeat_to_delegate_before_expiry(simulation, worker, delegate, DELEGATED_BEFORE_EXPIRY_S)
    await asyncio.sleep(12.0)
    assert late.sent_at is not None, "no write of the job came at the moment in question"
    assert late.result_at is not None and late.result_at < late.sent_at + REQUEST_TIMEOUT_S
    assert keys.LEASE_DELEGATE_PREFIX + delegate in simulation.store.keys, "the lease is not delegated"
    assert on_far_machine <= set(worker.tasks), "the tasks of the delegated lease are gone"


@pytest.mark.parametrize("executed_after_s", [None, 0.0, 2.5, 6.0])
def test_a_decision_on_a_delegated_lease_is_not_stored_when_the_result_of_a_write_comes_late(executed_after_s):
    """The job was being written when the delegate's key was seen, so only that write was made void, if it failed.

    It had succeeded. The decisions that were made during it, on the lease that seemed to have expired, were stored
    under the new version of the delegate's key: tasks ran on a second machine.
    """
    play(lambda simulation: delegate_lease_during_a_write(simulation, executed_after_s), machines=8)


def test_a_leader_key_written_late_does_not_make_a_second_leader():
    """A leader freezes and is then refused by the store; a candidate's write of the leader key is carried out 3 s late.

    By then the former leader has its quorum lease again. Both the former leader and the candidate lose their peers. The
    candidate found a key that names itself, took it for the key of its earlier process, and led without
    peers at once: two nodes were valid leaders for seconds.
    """

    async def scenario(simulation: Simulation) -> None:
        leader, job_id = await run_long_job(simulation)
        writes = delay_next_leader_key_write(simulation, 3.0)
        simulation.freeze(leader)
        await simulation.wait_until(lambda: bool(writes), 12.0, "no node takes over")
        candidate, written_at = writes[0]
        await asyncio.sleep(written_at + VOTE_GRANT_S + 0.01 - simulation.now())
        simulation.partitions |= simulation.node_pairs_of(candidate)
        simulation.store.refused.add(leader)
        simulation.thaw(leader)
        await asyncio.sleep(written_at + 2.9 - simulation.now())
        simulation.partitions |= simulation.node_pairs_of(leader)
        await asyncio.sleep(12.0)
        await assert_recovery(simulation, job_id)

    play(scenario)


def test_a_vote_forgotten_by_a_restarted_voter_does_not_make_a_second_leader():
    """A candidate's write of the leader key is carried out late, after its voter has restarted and forgotten its vote.

    The voter's new process supported the former leader again. The store refuses the former leader, which therefore
    learns of no newer key. The candidate's node restarted as well while cut off from its peers, found the key that
    names it, and led without peers.
    """

    async def scenario(simulation: Simulation) -> None:
        leader, job_id = await run_long_job(simulation)
        writes = delay_next_leader_key_write(simulation, 0.8)
        simulation.freeze(leader)
        await simulation.wait_until(lambda: bool(writes), 12.0, "no node takes over")
        candidate, _ = writes[0]
        voter = next(n for n in simulation.names if n not in (leader, candidate))
        simulation.partitions |= simulation.node_pairs_of(candidate)
        simulation.crash(voter)
        await asyncio.sleep(0.1)
        simulation.start(voter)
        simulation.store.refused.add(leader)
        simulation.thaw(leader)
        # The candidate crashes before it can end the session lease of its write.
        simulation.crash(candidate)
        await asyncio.sleep(0.3)
        # The voter has read the leader key; from now on it learns of no newer one.
        simulation.store.refused.add(voter)
        simulation.start(candidate)
        await asyncio.sleep(12.0)
        await assert_recovery(simulation, job_id)

    play(scenario)
