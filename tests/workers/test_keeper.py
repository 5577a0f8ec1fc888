"""Followers keep leases only if the leader can't believe them to be over."""

import asyncio
import random

import pytest
from conftest import Clock, Cluster, FakeState

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Heartbeat
from hookwall.storage import keys
from hookwall.storage.client import PreconditionFailedError
from hookwall.storage.job_records import encode_plain, json_bytes, usable_value_bytes
from hookwall.workers import lease_delegate as kp
from hookwall.workers.delegated_leases import DelegatedLeases, decode_machines
from hookwall.workers.lease_delegate import LeaseDelegate


@pytest.fixture
def follower(state: FakeState, clock: Clock) -> LeaseDelegate:
    async def load():
        return None

    lead = Leadership("n1", 3, [], state, clock, load, lambda role: None)
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n0"}, 7)
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(kp.LEADER_SILENCE_S + 1)
    return LeaseDelegate("n1", lead, state, JobTable(clock), lambda: True, clock)


def beat(token=7, tasks=(("run-000001/0", 1, "running"),), machine="vm-1") -> Heartbeat:
    return heartbeat_messages.Heartbeat(
        machine=machine,
        epoch=1,
        sequence=3,
        fencing_token=token,
        tasks=[heartbeat_messages.TaskStatus(task_id=p, attempt=a, phase=ph) for p, a, ph in tasks],
    )


def test_a_worker_that_lost_its_leader_is_answered_once_that_is_stored(follower: LeaseDelegate, state: FakeState):
    assert asyncio.run(follower.renew_lease(beat())) == []
    assert state.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]["machines"] == ["vm-1"]


def test_no_answer_without_a_store_a_lost_leader_a_task_and_the_token(
    follower: LeaseDelegate, state: FakeState, clock: Clock
):
    assert asyncio.run(follower.renew_lease(beat(token=8))) is None
    assert asyncio.run(follower.renew_lease(beat(tasks=()))) is None
    state.mode = "lost"
    assert asyncio.run(follower.renew_lease(beat())) is None
    state.mode = "ok"
    follower.leadership.leader_contact_at = clock()
    assert asyncio.run(follower.renew_lease(beat())) is None


def test_an_answer_ends_with_the_hold(follower: LeaseDelegate, clock: Clock):
    asyncio.run(follower.renew_lease(beat()))
    assert follower.covers("vm-1") and not follower.covers("vm-2")
    clock.tick(kp.SESSION_LEASE_S)
    assert not follower.covers("vm-1")


def test_a_write_without_an_answer_ends_all_keeping(follower: LeaseDelegate, state: FakeState):
    asyncio.run(follower.renew_lease(beat()))
    state.mode = "ghost"
    follower.requested.add("vm-2")
    asyncio.run(follower.store_delegation())
    assert not follower.covers("vm-1") and not follower.covers("vm-2")


def test_a_new_leader_ends_keeping(follower: LeaseDelegate, state: FakeState):
    asyncio.run(follower.renew_lease(beat()))
    state.epoch = 20
    state.keys[keys.LEADER_KEY] = ({"node": "n2"}, 20)
    follower.leadership.observe_leader_key(*state.keys[keys.LEADER_KEY])
    assert not follower.covers("vm-1")


def test_cancelled_tasks_are_stopped(follower: LeaseDelegate):
    record = {"phase": "withdrawn", "n": 1, "next": 2, "on": []}
    follower.table.apply_record(keys.JOB_PREFIX + "run-000001", record, 5)
    orders = asyncio.run(follower.renew_lease(beat()))
    assert [(o.action, o.task_id) for o in orders] == [("stop", "run-000001/0")]


def test_a_leader_that_does_not_know_of_the_keeping_cannot_store_what_it_believes(
    follower: LeaseDelegate, state: FakeState, clock: Clock, cluster: Cluster
):
    """The case that would run a task twice: the lease ends by the leader's count, but was kept."""
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1")
    asyncio.run(follower.renew_lease(beat()))
    clock.tick(13.0)
    cluster.fleet.expire_leases(clock())
    assert not job.allocations and job.has_unsaved_changes
    keep_keys = [keys.LEASE_DELEGATE_PREFIX + "n1"]
    with pytest.raises(PreconditionFailedError):
        asyncio.run(
            state.commit([(keys.LEADER_KEY, 7), *cluster.fleet.delegated_leases.preconditions(keep_keys)], [("x", 1)])
        )
    cluster.fleet.delegated_leases.apply_key(keep_keys[0], *state.keys[keep_keys[0]])
    job.stored_value = {**encode_plain(job.record()), "on": [["vm-1", 1, 1, "0"]]}
    cluster.table.revert_unsaved()
    cluster.fleet.expire_leases(clock())
    assert job.allocations[0].machine == "vm-1" and not job.has_unsaved_changes


def test_leases_count_from_the_end_of_keeping(cluster: Cluster, clock: Clock):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.run_round()
    cluster.store()
    cluster.beat("vm-1")
    kept = cluster.fleet.delegated_leases
    kept.apply_key(keys.LEASE_DELEGATE_PREFIX + "n1", {"machines": ["vm-1"]}, 30)
    clock.tick(40.0)
    cluster.fleet.expire_leases(clock())
    assert job.allocations
    kept.apply_key(keys.LEASE_DELEGATE_PREFIX + "n1", None, 0)
    clock.tick(12.0)
    cluster.fleet.expire_leases(clock())
    assert job.allocations
    clock.tick(1.0)
    cluster.fleet.expire_leases(clock())
    assert not job.allocations


def test_a_key_that_came_and_went_unseen_counts_for_every_machine(clock: Clock):
    kept = DelegatedLeases(clock)
    kept.record_missed_changes()
    assert kept.last_possible_renewal("vm-9") == clock()


def test_a_worker_that_never_met_the_new_leader_is_kept_too(follower: LeaseDelegate):
    """The leader sat in the zone that was cut off, and was replaced from outside it."""
    assert asyncio.run(follower.renew_lease(beat(token=3))) == []
    assert follower.fencing_token == 7


def test_workers_are_sent_to_a_leader_that_only_this_node_cannot_hear(
    follower: LeaseDelegate, state: FakeState, clock: Clock
):
    state.epoch = 9
    state.keys[keys.LEADER_KEY] = ({"node": "n0", "mode": "hold"}, 9)
    follower.leadership.observe_leader_key(*state.keys[keys.LEADER_KEY])
    # First its lease is renewed, so that it has the time to try.
    assert follower.redirect_target(beat()) is None
    assert asyncio.run(follower.renew_lease(beat())) == []
    assert asyncio.run(follower.renew_lease(beat(machine="vm-2"))) == []
    # It carries the leader's token now, from this node's answer.
    assert follower.redirect_target(beat(token=9)) == "n0"
    assert not follower.covers("vm-1") and follower.covers("vm-2")
    asyncio.run(follower.store_delegation(shrink=True))
    assert state.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]["machines"] == ["vm-2"]
    # It finds nobody there, comes back, and is not sent away again at once.
    assert follower.redirect_target(beat(token=9)) is None
    assert asyncio.run(follower.renew_lease(beat(token=9))) == []
    assert follower.redirect_target(beat(token=9)) is None
    clock.tick(1.0)
    # One that has met this leader and lost it is cut off from it.
    assert asyncio.run(follower.renew_lease(beat(token=9, machine="vm-3"))) == []
    assert follower.redirect_target(beat(token=9, machine="vm-3")) is None


def test_a_worker_that_lost_a_leader_with_promises_stays(follower: LeaseDelegate):
    assert asyncio.run(follower.renew_lease(beat(token=5))) == []
    assert follower.redirect_target(beat(token=5)) is None


def test_a_refused_write_leaves_those_kept_that_are_stored(follower: LeaseDelegate, state: FakeState):
    assert asyncio.run(follower.renew_lease(beat())) == []
    state.mode = "down"
    follower.requested.add("vm-2")
    asyncio.run(follower.store_delegation())
    assert follower.covers("vm-1") and not follower.covers("vm-2")


def test_machines_that_a_key_names_anew_are_told(clock: Clock):
    kept, named = DelegatedLeases(clock), []
    kept.on_machines_delegated = named.append
    kept.apply_key("k", {"machines": ["vm-1"]}, 5)
    kept.apply_key("k", {"machines": ["vm-1", "vm-2"]}, 6)
    kept.apply_key("k", {"machines": ["vm-1"]}, 4)
    assert named == [frozenset({"vm-1"}), frozenset({"vm-2"})]


@pytest.mark.parametrize("value", [{"packed": "no such text"}, {"machines": "vm-1"}, {}, None])
def test_a_key_that_can_t_be_read_may_keep_any_machine(clock: Clock, value):
    """It was read as naming none, so leases that a follower kept counted as over."""
    kept, named = DelegatedLeases(clock), []
    kept.on_machines_delegated = named.append
    kept.apply_key("k", value, 5)
    assert kept.is_delegated("vm-1") and named == [None]
    clock.tick(1.0)
    kept.apply_key("k", None, 0)
    assert not kept.is_delegated("vm-1") and kept.last_possible_renewal("vm-1") == clock()


@pytest.mark.parametrize(("form", "kept"), [("plain", 900), ("packed", 4000), ("numbered", 4000)])
def test_a_zone_of_thousands_of_machines_is_kept_as_far_as_one_key_names_them(
    follower: LeaseDelegate, state: FakeState, form, kept
):
    """The plain form, for programs of format 1, names some; it was written too large and nobody was kept."""
    follower.packed_names = lambda: form != "plain"
    follower.numbered_names = lambda: form == "numbered"
    names = [f"vm-{n:06d}" for n in range(1, 8001, 2)]
    value = follower.encode(7, list(names)).value
    stored = decode_machines(value)
    assert kept <= len(stored) and stored <= set(names)
    assert json_bytes(value) <= state.max_plain_value_bytes() and ("numbered" in value) == (form == "numbered")


def test_a_zone_of_two_thousand_machines_is_kept_under_lowered_limits(follower: LeaseDelegate, state: FakeState):
    follower.packed_names = follower.numbered_names = lambda: True
    state.max_value_bytes = usable_value_bytes(2.0)
    names = {f"vm-{n:06d}" for n in random.Random(3).sample(range(8000), 2000)}
    follower.requested = set(names)
    asyncio.run(follower.store_delegation())
    assert follower.delegated == names and decode_machines(state.keys[keys.LEASE_DELEGATE_PREFIX + "n1"][0]) == names
