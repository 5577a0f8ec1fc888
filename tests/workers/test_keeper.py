"""Followers keep leases only if the leader can't believe them to be over."""

import asyncio
import random

import pytest
from conftest import Clock, Cluster, FakeState

from hookwall.jobs.job_table import JobTable
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Beat
from hookwall.storage import keys
from hookwall.storage.client import Conflict
from hookwall.storage.job_records import plain, size, value_limit
from hookwall.workers import lease_delegate as kp
from hookwall.workers.delegated_leases import Kept, _machines
from hookwall.workers.lease_delegate import Keeper


@pytest.fixture
def follower(state: FakeState, clock: Clock) -> Keeper:
    async def load():
        return None

    lead = Leadership("n1", 3, [], state, clock, load, lambda role: None)
    state.epoch = 7
    state.keys[keys.LEADER] = ({"node": "n0"}, 7)
    lead.saw_key(*state.keys[keys.LEADER])
    clock.tick(kp.UNHEARD_S + 1)
    return Keeper("n1", lead, state, JobTable(clock), lambda: True, clock)


def beat(token=7, tasks=(("run-000001/0", 1, "running"),), machine="vm-1") -> Beat:
    return heartbeat_messages.Beat(
        machine=machine,
        tenure=1,
        tick=3,
        token=token,
        tasks=[heartbeat_messages.TaskReport(piece=p, attempt=a, phase=ph) for p, a, ph in tasks],
    )


def test_a_worker_that_lost_its_leader_is_answered_once_that_is_stored(follower: Keeper, state: FakeState):
    assert asyncio.run(follower.keep(beat())) == []
    assert state.keys[keys.KEEP + "n1"][0]["machines"] == ["vm-1"]


def test_no_answer_without_a_store_a_lost_leader_a_task_and_the_token(follower: Keeper, state: FakeState, clock: Clock):
    assert asyncio.run(follower.keep(beat(token=8))) is None
    assert asyncio.run(follower.keep(beat(tasks=()))) is None
    state.mode = "lost"
    assert asyncio.run(follower.keep(beat())) is None
    state.mode = "ok"
    follower.lead.leader_heard = clock()
    assert asyncio.run(follower.keep(beat())) is None


def test_an_answer_ends_with_the_hold(follower: Keeper, clock: Clock):
    asyncio.run(follower.keep(beat()))
    assert follower.valid("vm-1") and not follower.valid("vm-2")
    clock.tick(kp.HOLD_S)
    assert not follower.valid("vm-1")


def test_a_write_without_an_answer_ends_all_keeping(follower: Keeper, state: FakeState):
    asyncio.run(follower.keep(beat()))
    state.mode = "ghost"
    follower.wanted.add("vm-2")
    asyncio.run(follower._write())
    assert not follower.valid("vm-1") and not follower.valid("vm-2")


def test_a_new_leader_ends_keeping(follower: Keeper, state: FakeState):
    asyncio.run(follower.keep(beat()))
    state.epoch = 20
    state.keys[keys.LEADER] = ({"node": "n2"}, 20)
    follower.lead.saw_key(*state.keys[keys.LEADER])
    assert not follower.valid("vm-1")


def test_cancelled_tasks_are_stopped(follower: Keeper):
    record = {"phase": "withdrawn", "n": 1, "next": 2, "on": []}
    follower.table.apply(keys.JOBS + "run-000001", record, 5)
    orders = asyncio.run(follower.keep(beat()))
    assert [(o.verb, o.piece) for o in orders] == [("stop", "run-000001/0")]


def test_a_leader_that_does_not_know_of_the_keeping_cannot_store_what_it_believes(
    follower: Keeper, state: FakeState, clock: Clock, cluster: Cluster
):
    """The case that would run a task twice: the lease ends by the leader's count, but was kept."""
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.round()
    cluster.store()
    cluster.beat("vm-1")
    asyncio.run(follower.keep(beat()))
    clock.tick(13.0)
    cluster.fleet.expire(clock())
    assert not job.active and job.dirty
    keep_keys = [keys.KEEP + "n1"]
    with pytest.raises(Conflict):
        asyncio.run(state.commit([(keys.LEADER, 7), *cluster.fleet.kept.conditions(keep_keys)], [("x", 1)]))
    cluster.fleet.kept.take(keep_keys[0], *state.keys[keep_keys[0]])
    job.raw = {**plain(job.record()), "on": [["vm-1", 1, 1, "0"]]}
    cluster.table.revert()
    cluster.fleet.expire(clock())
    assert job.active[0].machine == "vm-1" and not job.dirty


def test_leases_count_from_the_end_of_keeping(cluster: Cluster, clock: Clock):
    cluster.beat("vm-1")
    job = cluster.submit(1)
    cluster.scheduler.round()
    cluster.store()
    cluster.beat("vm-1")
    kept = cluster.fleet.kept
    kept.take(keys.KEEP + "n1", {"machines": ["vm-1"]}, 30)
    clock.tick(40.0)
    cluster.fleet.expire(clock())
    assert job.active
    kept.take(keys.KEEP + "n1", None, 0)
    clock.tick(12.0)
    cluster.fleet.expire(clock())
    assert job.active
    clock.tick(1.0)
    cluster.fleet.expire(clock())
    assert not job.active


def test_a_key_that_came_and_went_unseen_counts_for_every_machine(clock: Clock):
    kept = Kept(clock)
    kept.missed()
    assert kept.heard("vm-9") == clock()


def test_a_worker_that_never_met_the_new_leader_is_kept_too(follower: Keeper):
    """The leader sat in the zone that was cut off, and was replaced from outside it."""
    assert asyncio.run(follower.keep(beat(token=3))) == []
    assert follower.token == 7


def test_workers_are_sent_to_a_leader_that_only_this_node_cannot_hear(follower: Keeper, state: FakeState, clock: Clock):
    state.epoch = 9
    state.keys[keys.LEADER] = ({"node": "n0", "mode": "hold"}, 9)
    follower.lead.saw_key(*state.keys[keys.LEADER])
    # First its lease is renewed, so that it has the time to try.
    assert follower.sends(beat()) is None
    assert asyncio.run(follower.keep(beat())) == []
    assert asyncio.run(follower.keep(beat(machine="vm-2"))) == []
    # It carries the leader's token now, from this node's answer.
    assert follower.sends(beat(token=9)) == "n0"
    assert not follower.valid("vm-1") and follower.valid("vm-2")
    asyncio.run(follower._write(shrink=True))
    assert state.keys[keys.KEEP + "n1"][0]["machines"] == ["vm-2"]
    # It finds nobody there, comes back, and is not sent away again at once.
    assert follower.sends(beat(token=9)) is None
    assert asyncio.run(follower.keep(beat(token=9))) == []
    assert follower.sends(beat(token=9)) is None
    clock.tick(1.0)
    # One that has met this leader and lost it is cut off from it.
    assert asyncio.run(follower.keep(beat(token=9, machine="vm-3"))) == []
    assert follower.sends(beat(token=9, machine="vm-3")) is None


def test_a_worker_that_lost_a_leader_with_promises_stays(follower: Keeper):
    assert asyncio.run(follower.keep(beat(token=5))) == []
    assert follower.sends(beat(token=5)) is None


def test_a_refused_write_leaves_those_kept_that_are_stored(follower: Keeper, state: FakeState):
    assert asyncio.run(follower.keep(beat())) == []
    state.mode = "down"
    follower.wanted.add("vm-2")
    asyncio.run(follower._write())
    assert follower.valid("vm-1") and not follower.valid("vm-2")


def test_machines_that_a_key_names_anew_are_told(clock: Clock):
    kept, named = Kept(clock), []
    kept.on_named = named.append
    kept.take("k", {"machines": ["vm-1"]}, 5)
    kept.take("k", {"machines": ["vm-1", "vm-2"]}, 6)
    kept.take("k", {"machines": ["vm-1"]}, 4)
    assert named == [frozenset({"vm-1"}), frozenset({"vm-2"})]


@pytest.mark.parametrize("value", [{"packed": "no such text"}, {"machines": "vm-1"}, {}, None])
def test_a_key_that_can_t_be_read_may_keep_any_machine(clock: Clock, value):
    """It was read as naming none, so leases that a follower kept counted as over."""
    kept, named = Kept(clock), []
    kept.on_named = named.append
    kept.take("k", value, 5)
    assert kept.kept("vm-1") and named == [None]
    clock.tick(1.0)
    kept.take("k", None, 0)
    assert not kept.kept("vm-1") and kept.heard("vm-1") == clock()


@pytest.mark.parametrize(("form", "kept"), [("plain", 900), ("packed", 4000), ("numbered", 4000)])
def test_a_zone_of_thousands_of_machines_is_kept_as_far_as_one_key_names_them(
    follower: Keeper, state: FakeState, form, kept
):
    """The plain form, for programs of format 1, names some; it was written too large and nobody was kept."""
    follower.packs = lambda: form != "plain"
    follower.numbers = lambda: form == "numbered"
    names = [f"vm-{n:06d}" for n in range(1, 8001, 2)]
    value = follower._value(7, list(names))
    stored = _machines(value)
    assert kept <= len(stored) and stored <= set(names)
    assert size(value) <= state.plain_limit() and ("numbered" in value) == (form == "numbered")


def test_a_zone_of_two_thousand_machines_is_kept_under_lowered_limits(follower: Keeper, state: FakeState):
    follower.packs = follower.numbers = lambda: True
    state.value_limit = value_limit(2.0)
    names = {f"vm-{n:06d}" for n in random.Random(3).sample(range(8000), 2000)}
    follower.wanted = set(names)
    asyncio.run(follower._write())
    assert follower.kept == names and _machines(state.keys[keys.KEEP + "n1"][0]) == names
