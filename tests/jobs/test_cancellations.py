"""Who may renew leases, and when a user may be told. The meetings of troubles are in test_meetings.py."""

import asyncio

import pytest
from conftest import Clock, FakeState
from pytest import MonkeyPatch

from hookwall.config.platform import PlatformParameters
from hookwall.jobs import cancellations as cn
from hookwall.jobs.cancellations import CancellationLedger
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.protocol.peer_messages import KnownCancellations
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
def node(params: PlatformParameters, state: FakeState, clock: Clock, peers: Peers) -> CancellationLedger:
    async def load():
        return None

    lead = Leadership("n0", 3, [peers.peer("n1"), peers.peer("n2")], state, clock, load, lambda role: None)
    withdrawn: dict[str, int] = {}
    c = CancellationLedger(params.workers, lead, state, clock, lambda: 50, withdrawn.__setitem__)
    c.withdrawn = withdrawn
    state.epoch = 20
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 20)
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    return c


def leads(node: CancellationLedger, clock: Clock):
    lead = node.leadership
    lead.role, lead.lease_mode, lead.session_lease_until, lead.quorum_acks = (
        Role.LEADER,
        LeaseMode.QUORUM_LEASE,
        clock() + 60,
        {"n1": clock()},
    )
    lead.vote_grant.holder, lead.vote_grant.expires_at = lead.node_name, clock() + 60


def test_no_lease_is_renewed_on_knowledge_that_is_too_old(
    node: CancellationLedger, clock: Clock, params: PlatformParameters
):
    w = params.workers
    node.confirm_records_read(clock())
    clock.tick(w.cancel_s - w.lease_s * 1.002 - cn.SAFETY_MARGIN_S - 0.1)
    assert node.may_renew_leases()
    clock.tick(0.2)
    assert not node.may_renew_leases()
    # An answer to a request that was sent long ago shows the records as they were then.
    node.confirm_records_read(clock() - 26.5)
    assert node.may_renew_leases()
    clock.tick(1.0)
    assert not node.may_renew_leases()


def test_a_majority_of_complete_promises_keeps_a_leader_current_without_the_service(
    node: CancellationLedger, clock: Clock
):
    leads(node, clock)
    node.confirm_records_read(clock() - 100.0)
    node.on_known_cancellations("n1", clock(), KnownCancellations([], False))
    assert not node.may_renew_leases(), "a peer that has not read the records may have forgotten"
    node.on_known_cancellations("n1", clock(), KnownCancellations([["run-000001", 33]], True))
    assert node.may_renew_leases() and node.withdrawn == {"run-000001": 33}
    # Only for a leader with promises: under one in hold mode users are told without its peers.
    node.leadership.lease_mode = LeaseMode.SESSION_LEASE
    assert not node.may_renew_leases()
    node.leadership.lease_mode, node.leadership.role = LeaseMode.QUORUM_LEASE, Role.FOLLOWER
    assert not node.may_renew_leases()


def test_a_promise_names_what_the_leader_has_not_shown_to_know(node: CancellationLedger):
    node.all_records_read = True
    node.add_cancellation("run-000001", 33)
    node.add_cancellation("run-000002", 35)
    assert node.known_cancellations(None) == KnownCancellations([("run-000001", 33), ("run-000002", 35)], True)
    assert node.known_cancellations(33).cancellations == [("run-000002", 35)]
    # A late copy with an older position brings nothing back, and takes nothing away.
    assert node.known_cancellations(30).cancellations == [("run-000002", 35)]
    node.add_cancellation("run-000001", 33)
    assert node.known_cancellations(None).cancellations == [("run-000002", 35)]


def test_more_than_a_message_holds_is_not_complete(node: CancellationLedger, monkeypatch: MonkeyPatch):
    monkeypatch.setattr(cn, "MOST_TOLD", 2)
    node.all_records_read = True
    for n in range(3):
        node.add_cancellation(f"run-{n}", 30 + n)
    assert node.known_cancellations(None).complete is False


def test_a_leader_says_its_position_only_while_it_is_valid(node: CancellationLedger, clock: Clock):
    assert node.records_revision() is None
    leads(node, clock)
    assert node.records_revision() == 50
    clock.tick(QUORUM_LEASE_S)
    assert node.records_revision() is None


@pytest.mark.parametrize(
    ("one", "two", "told"),
    [
        (None, None, False),
        ({"ok": True, "knows": True, "leads": False}, None, True),
        ({"ok": True}, {"ok": False}, False),
        ({"ok": True, "knows": True, "leads": True}, {"ok": False}, True),
    ],
)
def test_a_user_is_told_once_the_leader_or_a_majority_knows(node: CancellationLedger, peers: Peers, one, two, told):
    peers.answers.update(n1=one, n2=two)
    assert asyncio.run(node.confirm_cancellation("run-000001", 33)) is told
    assert [m["jobs"] for m in peers.heard] == [[["run-000001", 33]]] * 2


def test_what_an_earlier_leader_read_needs_no_telling(node: CancellationLedger, peers: Peers):
    node.known_cancellations(19)
    assert asyncio.run(node.confirm_cancellation("run-000001", 19)) is True and peers.heard == []
    # A newer leader key proves nothing: it may name a candidate that gave up, written late.
    node.leadership.observe_leader_key({"node": "n2"}, 30)
    assert asyncio.run(node.confirm_cancellation("run-000001", 21)) is False


def test_under_a_leader_by_hold_an_unchanged_key_is_enough(node: CancellationLedger, state: FakeState):
    node.leadership.observe_leader_key({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(node.confirm_cancellation("run-000001", 33)) is False, "the key is another"
    state.keys[keys.LEADER_KEY] = ({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(node.confirm_cancellation("run-000001", 33)) is True
    state.mode = "down"
    assert asyncio.run(node.confirm_cancellation("run-000002", 34)) is False


@pytest.mark.parametrize("jobs", [None, 3, [[1, 2]], [["run-000001"]], ["run-000001", 33]])
def test_nonsense_from_a_peer_is_survived(node: CancellationLedger, jobs):
    assert node.on_cancellations_announced(jobs) is False and node.withdrawn == {}
