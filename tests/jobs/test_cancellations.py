"""Who may renew leases, and when a user may be told. The meetings of troubles are in test_meetings.py."""

import asyncio

import pytest
from conftest import Clock, FakeState
from pytest import MonkeyPatch

from hookwall.config.platform import Params
from hookwall.jobs import cancellations as cn
from hookwall.jobs.cancellations import Cancellations
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import PROMISE_S
from hookwall.protocol.peer_messages import ToldCancellations
from hookwall.storage import keys


class Peers:
    """Two peers that answer as told, and note what they hear."""

    def __init__(self) -> None:
        self.answers: dict[str, dict | None] = {"n1": None, "n2": None}
        self.heard: list[dict] = []

    def peer(self, name):
        outer = self

        class ScriptedPeer:
            async def call(self, message, timeout=1.0):
                outer.heard.append(message)
                return outer.answers[self.name]

        p = ScriptedPeer()
        p.name = name
        return p


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
def node(params: Params, state: FakeState, clock: Clock, peers: Peers) -> Cancellations:
    async def load():
        return None

    lead = Leadership("n0", 3, [peers.peer("n1"), peers.peer("n2")], state, clock, load, lambda role: None)
    withdrawn: dict[str, int] = {}
    c = Cancellations(params.workers, lead, state, clock, lambda: 50, withdrawn.__setitem__)
    c.withdrawn = withdrawn
    state.epoch = 20
    state.keys[keys.LEADER] = ({"node": "n1"}, 20)
    lead.saw_key(*state.keys[keys.LEADER])
    return c


def leads(node: Cancellations, clock: Clock):
    lead = node.lead
    lead.role, lead.mode, lead.hold_until, lead.acks = Role.LEADER, Mode.PROMISE, clock() + 60, {"n1": clock()}
    lead.promise.holder, lead.promise.until = lead.me, clock() + 60


def test_no_lease_is_renewed_on_knowledge_that_is_too_old(node: Cancellations, clock: Clock, params: Params):
    w = params.workers
    node.read(clock())
    clock.tick(w.cancel_s - w.lease_s * 1.002 - cn.MARGIN_S - 0.1)
    assert node.may_renew()
    clock.tick(0.2)
    assert not node.may_renew()
    # An answer to a request that was sent long ago shows the records as they were then.
    node.read(clock() - 26.5)
    assert node.may_renew()
    clock.tick(1.0)
    assert not node.may_renew()


def test_a_majority_of_complete_promises_keeps_a_leader_current_without_the_service(node: Cancellations, clock: Clock):
    leads(node, clock)
    node.read(clock() - 100.0)
    node.on_reply("n1", clock(), ToldCancellations([], False))
    assert not node.may_renew(), "a peer that has not read the records may have forgotten"
    node.on_reply("n1", clock(), ToldCancellations([["run-000001", 33]], True))
    assert node.may_renew() and node.withdrawn == {"run-000001": 33}
    # Only for a leader with promises: under one in hold mode users are told without its peers.
    node.lead.mode = Mode.HOLD
    assert not node.may_renew()
    node.lead.mode, node.lead.role = Mode.PROMISE, Role.FOLLOWER
    assert not node.may_renew()


def test_a_promise_names_what_the_leader_has_not_shown_to_know(node: Cancellations):
    node.complete = True
    node.learn("run-000001", 33)
    node.learn("run-000002", 35)
    assert node.reply(None) == ToldCancellations([("run-000001", 33), ("run-000002", 35)], True)
    assert node.reply(33).jobs == [("run-000002", 35)]
    # A late copy with an older position brings nothing back, and takes nothing away.
    assert node.reply(30).jobs == [("run-000002", 35)]
    node.learn("run-000001", 33)
    assert node.reply(None).jobs == [("run-000002", 35)]


def test_more_than_a_message_holds_is_not_complete(node: Cancellations, monkeypatch: MonkeyPatch):
    monkeypatch.setattr(cn, "MOST_TOLD", 2)
    node.complete = True
    for n in range(3):
        node.learn(f"run-{n}", 30 + n)
    assert node.reply(None).complete is False


def test_a_leader_says_its_position_only_while_it_is_valid(node: Cancellations, clock: Clock):
    assert node.say() is None
    leads(node, clock)
    assert node.say() == 50
    clock.tick(PROMISE_S)
    assert node.say() is None


@pytest.mark.parametrize(
    ("one", "two", "told"),
    [
        (None, None, False),
        ({"ok": True, "knows": True, "leads": False}, None, True),
        ({"ok": True}, {"ok": False}, False),
        ({"ok": True, "knows": True, "leads": True}, {"ok": False}, True),
    ],
)
def test_a_user_is_told_once_the_leader_or_a_majority_knows(node: Cancellations, peers: Peers, one, two, told):
    peers.answers.update(n1=one, n2=two)
    assert asyncio.run(node.confirmed("run-000001", 33)) is told
    assert [m["jobs"] for m in peers.heard] == [[["run-000001", 33]]] * 2


def test_what_an_earlier_leader_read_needs_no_telling(node: Cancellations, peers: Peers):
    node.reply(19)
    assert asyncio.run(node.confirmed("run-000001", 19)) is True and peers.heard == []
    # A newer leader key proves nothing: it may name a candidate that gave up, written late.
    node.lead.saw_key({"node": "n2"}, 30)
    assert asyncio.run(node.confirmed("run-000001", 21)) is False


def test_under_a_leader_by_hold_an_unchanged_key_is_enough(node: Cancellations, state: FakeState):
    node.lead.saw_key({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(node.confirmed("run-000001", 33)) is False, "the key is another"
    state.keys[keys.LEADER] = ({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(node.confirmed("run-000001", 33)) is True
    state.mode = "down"
    assert asyncio.run(node.confirmed("run-000002", 34)) is False


@pytest.mark.parametrize("jobs", [None, 3, [[1, 2]], [["run-000001"]], ["run-000001", 33]])
def test_nonsense_from_a_peer_is_survived(node: Cancellations, jobs):
    assert node.on_told(jobs) is False and node.withdrawn == {}
