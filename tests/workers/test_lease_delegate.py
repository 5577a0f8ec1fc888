"""Followers renew leases only if the leader can't treat these leases as expired."""

import asyncio
import random

import pytest
from conftest import Cluster, FakeClock, ScriptedStore

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.leadership import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Heartbeat
from hookwall.storage import keys
from hookwall.storage.errors import PreconditionFailedError
from hookwall.storage.job_records import encode_plain, json_bytes, usable_value_bytes
from hookwall.workers.delegation_record import decode_machines
from hookwall.workers.lease_delegate import LEADER_CONTACT_TIMEOUT_S, SESSION_LEASE_S, LeaseDelegate


@pytest.fixture
def follower(store: ScriptedStore, clock: FakeClock) -> LeaseDelegate:
    async def load():
        return None

    leadership = Leadership("n1", 3, [], store, clock, load, lambda role: None)
    store.revision = 7
    store.keys[keys.LEADER_KEY] = ({"node": "n0"}, 7)
    leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    clock.advance(LEADER_CONTACT_TIMEOUT_S + 1)
    return LeaseDelegate("n1", leadership, store, JobTable(clock), lambda: True, clock)


def heartbeat(token=7, tasks=(("run-000001/0", 1, "running"),), machine="vm-1") -> Heartbeat:
    return heartbeat_messages.Heartbeat(
        machine=machine,
        epoch=1,
        sequence=3,
        fencing_token=token,
        tasks=[
            heartbeat_messages.TaskStatus(task_id=task_id, attempt=attempt, phase=phase)
            for task_id, attempt, phase in tasks
        ],
    )


def test_worker_without_leader_is_answered_after_the_delegation_is_stored(
    follower: LeaseDelegate, store: ScriptedStore
):
    assert asyncio.run(follower.renew_lease(heartbeat())) == []
    assert store.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]["machines"] == ["vm-1"]


def test_renewal_requires_store_contact_lost_leader_tasks_and_valid_token(
    follower: LeaseDelegate, store: ScriptedStore, clock: FakeClock
):
    assert asyncio.run(follower.renew_lease(heartbeat(token=8))) is None
    assert asyncio.run(follower.renew_lease(heartbeat(tasks=()))) is None
    store.mode = "request_lost"
    assert asyncio.run(follower.renew_lease(heartbeat())) is None
    store.mode = "ok"
    follower.leadership.leader_contact_at = clock()
    assert asyncio.run(follower.renew_lease(heartbeat())) is None


def test_a_token_that_the_known_leader_has_raised_is_accepted_and_never_lowered(follower: LeaseDelegate):
    """A worker would drop a response with a lower token than it has seen, and its lease would run out."""
    follower.watched_revision = lambda: 9
    assert asyncio.run(follower.renew_lease(heartbeat(token=10))) is None, "it may come from a later leader"
    assert asyncio.run(follower.renew_lease(heartbeat(token=9))) == []
    assert follower.response_token(heartbeat(token=9)) == 9 and follower.response_token(heartbeat(token=3)) == 7


def test_renewals_end_with_the_session_lease(follower: LeaseDelegate, clock: FakeClock):
    asyncio.run(follower.renew_lease(heartbeat()))
    assert follower.covers("vm-1") and not follower.covers("vm-2")
    clock.advance(SESSION_LEASE_S)
    assert not follower.covers("vm-1")


def test_write_with_unknown_outcome_ends_all_renewals(follower: LeaseDelegate, store: ScriptedStore):
    asyncio.run(follower.renew_lease(heartbeat()))
    store.mode = "response_lost"
    follower.requested.add("vm-2")
    asyncio.run(follower.store_delegation())
    assert not follower.covers("vm-1") and not follower.covers("vm-2")


def test_new_leader_ends_all_renewals(follower: LeaseDelegate, store: ScriptedStore):
    asyncio.run(follower.renew_lease(heartbeat()))
    store.revision = 20
    store.keys[keys.LEADER_KEY] = ({"node": "n2"}, 20)
    follower.leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    assert not follower.covers("vm-1")


def test_tasks_of_cancelled_job_are_stopped(follower: LeaseDelegate):
    record = {"phase": "withdrawn", "n": 1, "next": 2, "on": []}
    follower.table.apply_record(keys.JOB_PREFIX + "run-000001", record, 5)
    commands = asyncio.run(follower.renew_lease(heartbeat()))
    assert [(command.action, command.task_id) for command in commands] == [("stop", "run-000001/0")]


def test_leader_cannot_store_decisions_made_without_knowledge_of_a_delegation(
    follower: LeaseDelegate, store: ScriptedStore, clock: FakeClock, cluster: Cluster
):
    """Otherwise a task could run twice: the leader counts the lease as expired, but a follower has renewed it."""
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1")
    asyncio.run(follower.renew_lease(heartbeat()))
    clock.advance(13.0)
    cluster.fleet.expire_leases(clock())
    assert not job.allocations and job.has_unsaved_changes
    delegation_keys = [keys.LEASE_DELEGATE_PREFIX + "n1"]
    with pytest.raises(PreconditionFailedError):
        asyncio.run(
            store.commit(
                [(keys.LEADER_KEY, 7), *cluster.fleet.delegated_leases.preconditions(delegation_keys)], [("x", 1)]
            )
        )
    cluster.fleet.delegated_leases.apply_key(delegation_keys[0], *store.keys[delegation_keys[0]])
    job.stored_value = {**encode_plain(job.record()), "on": [["vm-1", 1, 1, "0"]]}
    cluster.table.revert_unsaved()
    cluster.fleet.expire_leases(clock())
    assert job.allocations[0].machine == "vm-1" and not job.has_unsaved_changes


def test_lease_expiry_counts_from_the_end_of_the_delegation(cluster: Cluster, clock: FakeClock):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1")
    delegated = cluster.fleet.delegated_leases
    delegated.apply_key(keys.LEASE_DELEGATE_PREFIX + "n1", {"machines": ["vm-1"]}, 30)
    clock.advance(40.0)
    cluster.fleet.expire_leases(clock())
    assert job.allocations
    delegated.apply_deletion(keys.LEASE_DELEGATE_PREFIX + "n1")
    clock.advance(12.0)
    cluster.fleet.expire_leases(clock())
    assert job.allocations
    clock.advance(1.0)
    cluster.fleet.expire_leases(clock())
    assert not job.allocations


def test_lease_of_worker_with_older_fencing_token_is_renewed(follower: LeaseDelegate):
    """The old leader was in the partitioned zone and was replaced by a node outside it, unknown to the worker."""
    assert asyncio.run(follower.renew_lease(heartbeat(token=3))) == []
    assert follower.fencing_token == 7


def test_workers_are_redirected_to_a_leader_that_only_this_node_cannot_reach(
    follower: LeaseDelegate, store: ScriptedStore, clock: FakeClock
):
    store.revision = 9
    store.keys[keys.LEADER_KEY] = ({"node": "n0", "mode": "hold"}, 9)
    follower.leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    # The lease is renewed first, so that the worker has time to contact the leader.
    assert follower.redirect_target(heartbeat()) is None
    assert asyncio.run(follower.renew_lease(heartbeat())) == []
    assert asyncio.run(follower.renew_lease(heartbeat(machine="vm-2"))) == []
    # The worker now has the current leader's token from this node's response.
    assert follower.redirect_target(heartbeat(token=9)) == "n0"
    assert not follower.covers("vm-1") and follower.covers("vm-2")
    asyncio.run(follower.store_delegation(shrink=True))
    assert store.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]["machines"] == ["vm-2"]
    # The worker finds no leader there, comes back, and is not redirected again immediately.
    assert follower.redirect_target(heartbeat(token=9)) is None
    assert asyncio.run(follower.renew_lease(heartbeat(token=9))) == []
    assert follower.redirect_target(heartbeat(token=9)) is None
    clock.advance(1.0)
    # A worker that arrives with the current leader's token has lost contact with that leader, so it is not redirected.
    assert asyncio.run(follower.renew_lease(heartbeat(token=9, machine="vm-3"))) == []
    assert follower.redirect_target(heartbeat(token=9, machine="vm-3")) is None


def test_worker_is_not_redirected_to_a_leader_with_quorum_lease(follower: LeaseDelegate):
    assert asyncio.run(follower.renew_lease(heartbeat(token=5))) == []
    assert follower.redirect_target(heartbeat(token=5)) is None


def test_rejected_write_leaves_the_stored_delegation_valid(follower: LeaseDelegate, store: ScriptedStore):
    assert asyncio.run(follower.renew_lease(heartbeat())) == []
    store.mode = "down"
    follower.requested.add("vm-2")
    asyncio.run(follower.store_delegation())
    assert follower.covers("vm-1") and not follower.covers("vm-2")


@pytest.mark.parametrize(("form", "min_names"), [("plain", 900), ("packed", 4000), ("numbered", 4000)])
def test_delegation_of_thousands_of_machines_fits_into_one_key(
    follower: LeaseDelegate, store: ScriptedStore, form, min_names
):
    """The plain form, for programs of format 1, names only some machines.

    A value over the size limit was once written in this form, so no lease was renewed.
    """
    follower.packed_names = lambda: form != "plain"
    follower.numbered_names = lambda: form == "numbered"
    names = [f"vm-{n:06d}" for n in range(1, 8001, 2)]
    value = follower.encode(7, list(names)).value
    stored = decode_machines(value)
    assert min_names <= len(stored) and stored <= set(names)
    assert json_bytes(value) <= store.max_plain_value_bytes() and ("numbered" in value) == (form == "numbered")


def test_two_thousand_machines_are_delegated_under_lowered_store_limits(follower: LeaseDelegate, store: ScriptedStore):
    follower.packed_names = follower.numbered_names = lambda: True
    store.max_value_bytes = usable_value_bytes(2.0)
    names = {f"vm-{n:06d}" for n in random.Random(3).sample(range(8000), 2000)}
    follower.requested = set(names)
    asyncio.run(follower.store_delegation())
    assert follower.delegated == names and decode_machines(store.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]) == names
