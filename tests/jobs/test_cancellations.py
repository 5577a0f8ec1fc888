"""Conditions for renewing leases, and for confirming a cancellation to its user.

Combinations of several failures are tested in tests/cluster/test_meetings.py.
"""

import asyncio

import pytest
from conftest import FakeClock, ScriptedStore

from hookwall.config.platform import PlatformParameters
from hookwall.jobs import cancellations
from hookwall.jobs.cancellations import CancellationLedger
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.protocol.peer_messages import KnownCancellations
from hookwall.storage import keys


class Peers:
    """Two peers that return scripted responses and record the messages that they receive."""

    def __init__(self) -> None:
        self.responses: dict[str, dict | None] = {"n1": None, "n2": None}
        self.messages: list[dict] = []

    def peer(self, name):
        peers = self

        class ScriptedPeer:
            async def call(self, message, timeout=1.0):
                peers.messages.append(message)
                return peers.responses[self.name]

        peer = ScriptedPeer()
        peer.name = name
        return peer


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
def ledger(params: PlatformParameters, store: ScriptedStore, clock: FakeClock, peers: Peers) -> CancellationLedger:
    async def load():
        return None

    leadership = Leadership("n0", 3, [peers.peer("n1"), peers.peer("n2")], store, clock, load, lambda role: None)
    cancelled: dict[str, int] = {}
    ledger = CancellationLedger(params.workers, leadership, store, clock, lambda: 50, cancelled.__setitem__)
    ledger.cancelled = cancelled
    store.revision = 20
    store.keys[keys.LEADER_KEY] = ({"node": "n1"}, 20)
    leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    return ledger


def make_leader(ledger: CancellationLedger, clock: FakeClock):
    leadership = ledger.leadership
    leadership.role, leadership.lease_mode, leadership.session_lease_until, leadership.quorum_acks = (
        Role.LEADER,
        LeaseMode.QUORUM_LEASE,
        clock() + 60,
        {"n1": clock()},
    )
    leadership.vote_grant.holder, leadership.vote_grant.expires_at = leadership.node_name, clock() + 60


def test_leases_are_not_renewed_if_knowledge_of_cancellations_is_stale(
    ledger: CancellationLedger, clock: FakeClock, params: PlatformParameters
):
    timings = params.workers
    ledger.confirm_records_read(clock())
    clock.advance(timings.cancel_s - timings.lease_s * 1.002 - cancellations.SAFETY_MARGIN_S - 0.1)
    assert ledger.may_renew_leases()
    clock.advance(0.2)
    assert not ledger.may_renew_leases()
    # The response to a request that was sent long ago only shows the records as of that time.
    ledger.confirm_records_read(clock() - 26.5)
    assert ledger.may_renew_leases()
    clock.advance(1.0)
    assert not ledger.may_renew_leases()


def test_complete_votes_of_a_majority_keep_a_leader_current_without_the_store(
    ledger: CancellationLedger, clock: FakeClock
):
    make_leader(ledger, clock)
    ledger.confirm_records_read(clock() - 100.0)
    ledger.on_known_cancellations("n1", clock(), KnownCancellations([], False))
    assert not ledger.may_renew_leases(), "a peer that has not read all records may not know of every cancellation"
    ledger.on_known_cancellations("n1", clock(), KnownCancellations([["run-000001", 33]], True))
    assert ledger.may_renew_leases() and ledger.cancelled == {"run-000001": 33}
    # This holds only for a leader with a quorum lease. Under a leader with a session lease, cancellations are confirmed
    # without informing its peers.
    ledger.leadership.lease_mode = LeaseMode.SESSION_LEASE
    assert not ledger.may_renew_leases()
    ledger.leadership.lease_mode, ledger.leadership.role = LeaseMode.QUORUM_LEASE, Role.FOLLOWER
    assert not ledger.may_renew_leases()


def test_a_vote_names_the_cancellations_above_the_leaders_records_revision(ledger: CancellationLedger):
    ledger.all_records_read = True
    ledger.add_cancellation("run-000001", 33)
    ledger.add_cancellation("run-000002", 35)
    assert ledger.known_cancellations(None) == KnownCancellations([("run-000001", 33), ("run-000002", 35)], True)
    assert ledger.known_cancellations(33).cancellations == [("run-000002", 35)]
    # A delayed message with an older revision changes nothing.
    assert ledger.known_cancellations(30).cancellations == [("run-000002", 35)]
    ledger.add_cancellation("run-000001", 33)
    assert ledger.known_cancellations(None).cancellations == [("run-000002", 35)]


def test_a_vote_with_too_many_cancellations_for_a_message_is_incomplete(
    ledger: CancellationLedger, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS_PER_MESSAGE", 2)
    ledger.all_records_read = True
    for n in range(3):
        ledger.add_cancellation(f"run-{n}", 30 + n)
    assert ledger.known_cancellations(None).complete is False


def test_a_leader_returns_its_records_revision_only_while_it_is_valid(ledger: CancellationLedger, clock: FakeClock):
    assert ledger.records_revision() is None
    make_leader(ledger, clock)
    assert ledger.records_revision() == 50
    clock.advance(QUORUM_LEASE_S)
    assert ledger.records_revision() is None


@pytest.mark.parametrize(
    ("first", "second", "confirmed"),
    [
        (None, None, False),
        ({"ok": True, "knows": True, "leads": False}, None, True),
        ({"ok": True}, {"ok": False}, False),
        ({"ok": True, "knows": True, "leads": True}, {"ok": False}, True),
    ],
)
def test_a_cancellation_is_confirmed_once_the_leader_or_a_majority_knows_of_it(
    ledger: CancellationLedger, peers: Peers, first, second, confirmed
):
    peers.responses.update(n1=first, n2=second)
    assert asyncio.run(ledger.confirm_cancellation("run-000001", 33)) is confirmed
    assert [message["jobs"] for message in peers.messages] == [[["run-000001", 33]]] * 2


def test_a_cancellation_that_an_earlier_leader_has_read_is_confirmed_without_messages(
    ledger: CancellationLedger, peers: Peers
):
    ledger.known_cancellations(19)
    assert asyncio.run(ledger.confirm_cancellation("run-000001", 19)) is True and peers.messages == []
    # A newer leader key proves nothing: its write may have been applied late, for a candidate that gave up.
    ledger.leadership.observe_leader_key({"node": "n2"}, 30)
    assert asyncio.run(ledger.confirm_cancellation("run-000001", 21)) is False


def test_under_a_leader_with_a_session_lease_an_unchanged_leader_key_is_sufficient(
    ledger: CancellationLedger, store: ScriptedStore
):
    ledger.leadership.observe_leader_key({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(ledger.confirm_cancellation("run-000001", 33)) is False, (
        "the stored leader key has another version than the known one"
    )
    store.keys[keys.LEADER_KEY] = ({"node": "n1", "mode": "hold"}, 25)
    assert asyncio.run(ledger.confirm_cancellation("run-000001", 33)) is True
    store.mode = "down"
    assert asyncio.run(ledger.confirm_cancellation("run-000002", 34)) is False


@pytest.mark.parametrize("pairs", [None, 3, [[1, 2]], [["run-000001"]], ["run-000001", 33]])
def test_malformed_cancellations_from_a_peer_are_ignored(ledger: CancellationLedger, pairs):
    assert ledger.on_cancellations_announced(pairs) is False and ledger.cancelled == {}
