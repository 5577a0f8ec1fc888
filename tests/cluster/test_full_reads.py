"""Leaders that know a wrong state of a key (docs/incidents/deleted-key-restored.md).

Keys change while a new leader reads all records, and a state that is wrong for whatever reason has to end by itself.
The order of the events is brought about: the store executes the full read of the new leader, a key changes, the watch
of the leader delivers the change, and only then the response to the full read arrives.
"""

import asyncio
from collections.abc import Callable

import pytest
from harness.play import play
from harness.recovery import LONGEST_WAIT_S
from harness.simulation import Simulation

from hookwall.jobs.write_stall import RESIGN_AFTER_S
from hookwall.leadership.roles import Role
from hookwall.storage import keys
from hookwall.workers.delegated_leases import Delegation

FIRST_START_S = 15.0  # for a job that is submitted to a new leader beside machines that are free
SESSION_LEASE_S = 60.0  # longer than each scenario


def change_during_full_read(
    simulation: Simulation, before: Callable[[str], None], during: Callable[[str], None]
) -> list[str]:
    """Call `before` ahead of the next full read by a new leader, and `during` while its response is under way.

    Both get the name of the new leader, which is also in the returned list once its full read has been answered.
    """
    loaded: list[str] = []

    def is_first_load(node: str, path: str) -> bool:
        return path.startswith("/store?") and simulation.nodes[node].leadership.role is Role.LOADING and not loaded

    async def before_read(node: str, path: str) -> None:
        if is_first_load(node, path):
            before(node)

    async def after_read(node: str, path: str) -> None:
        if not is_first_load(node, path):
            return
        loaded.append(node)
        during(node)
        progress = simulation.nodes[node].watch_progress
        await simulation.wait_until(
            lambda: progress.watched_revision >= simulation.store.revision, 5.0, "the watch does not deliver the change"
        )

    simulation.store.before_read, simulation.store.after_read = before_read, after_read
    return loaded


def delegate_key(simulation: Simulation, new_leader: str, old_leader: str) -> str:
    """The key under which the remaining node renews leases."""
    delegate = next(name for name in simulation.names if name not in (new_leader, old_leader))
    return keys.LEASE_DELEGATE_PREFIX + delegate


@pytest.mark.parametrize("deleted", [True, False])
def test_a_leader_stores_decisions_although_a_delegation_changed_during_its_full_read(deleted: bool):
    """Guards against a leader whose writes are all refused, as it relies on a state of the key that is over.

    The key of a lease delegate is deleted, or first written, while the full read of the new leader is under way.
    """
    delegated: list[bool] = []

    async def scenario(simulation: Simulation) -> None:
        running, submitted_later = simulation.define_job(1, run_s=300.0), simulation.define_job(2)
        await simulation.submit_until_accepted(running)
        await simulation.wait_until_running(running)
        machine = next(name for name, worker in simulation.workers.items() if worker.tasks)
        old_leader = simulation.current_leader_name()

        def put(new_leader: str) -> None:
            value = {"token": simulation.store.keys[keys.LEADER_KEY][1], "machines": [machine]}
            simulation.store.put_key(delegate_key(simulation, new_leader, old_leader), value, SESSION_LEASE_S)

        def delete(new_leader: str) -> None:
            simulation.store.delete_key(delegate_key(simulation, new_leader, old_leader))

        def do_nothing(_new_leader: str) -> None:
            pass

        before, during = (put, delete) if deleted else (do_nothing, put)
        loaded = change_during_full_read(simulation, before, during)
        simulation.crash(old_leader)
        await simulation.wait_until(lambda: bool(loaded), 20.0, "no new leader has read all records")
        await simulation.wait_for_leader()
        await asyncio.sleep(1.0)
        delegated.append(simulation.nodes[loaded[0]].fleet.delegated_leases.is_delegated(machine))
        await simulation.submit_until_accepted(submitted_later)
        await simulation.wait_until_running(submitted_later, FIRST_START_S)

    play(scenario)
    assert delegated == [not deleted], "the leader does not know the newest state of the key"


@pytest.mark.parametrize("lasting", [False, True])
def test_a_leader_whose_writes_are_all_refused_recovers_by_itself(lasting: bool, caplog: pytest.LogCaptureFixture):
    """Guards against a leader that stores nothing until it is replaced, whatever made its memory wrong.

    A delegation that does not exist is put into the leader's memory, once or again and again. In the first case a full
    read corrects it; in the second one another node has to lead.
    """

    async def scenario(simulation: Simulation) -> None:
        leader = simulation.current_leader_name()
        key = keys.LEASE_DELEGATE_PREFIX + next(name for name in simulation.names if name != leader)
        delegations = simulation.nodes[leader].fleet.delegated_leases.delegations

        def restore_key() -> None:
            delegations[key] = Delegation(simulation.store.revision, frozenset())

        restore_key()
        if lasting:
            simulation.on_step.append(restore_key)
        job_id = simulation.define_job(1)
        await simulation.submit_until_accepted(job_id, node=simulation.followers()[0])
        await simulation.wait_until_running(job_id, RESIGN_AFTER_S + FIRST_START_S)
        assert (simulation.current_leader_name() != leader) == lasting

    play(scenario)
    remedies = [line.rpartition("remedy=")[2] for line in caplog.messages if line.startswith("leader stores nothing")]
    assert remedies == (["'full read'", "'resign'"] if lasting else ["'full read'"])


def test_a_leader_whose_watch_stands_still_leaves_the_leadership_to_another_node(caplog: pytest.LogCaptureFixture):
    """Guards against jobs that wait for a leader which never learns of them, as only its watch gets no response."""

    async def scenario(simulation: Simulation) -> None:
        leader = simulation.current_leader_name()
        simulation.store.watch_blocked.add(leader)
        job_id = simulation.define_job(1)
        await simulation.submit_until_accepted(job_id, node=simulation.followers()[0])
        await simulation.wait_until_running(job_id, LONGEST_WAIT_S)
        assert simulation.current_leader_name() != leader

    play(scenario)
    assert any(line.startswith("key watch stalled although the store answers") for line in caplog.messages)


@pytest.mark.parametrize("outage_s", [20.0, 60.0])
def test_a_leader_goes_on_leading_after_an_outage(outage_s: float):
    """Guards against a resignation for a watch that stood still with everything else."""

    async def scenario(simulation: Simulation) -> None:
        leader = simulation.current_leader_name()
        simulation.store.set_outage(True)
        await asyncio.sleep(outage_s)
        simulation.store.set_outage(False)
        await asyncio.sleep(30.0)
        assert simulation.current_leader_name() == leader

    play(scenario)
