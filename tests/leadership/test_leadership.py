"""Leadership: two nodes must never both be valid leaders."""

import asyncio

import pytest
from conftest import FakeClock, ScriptedStore
from scripted_leadership import ScriptedPeer, grants, make_leadership, refuses, silent

from hookwall.leadership.election import LEAD_WITHOUT_QUORUM_AFTER_S
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.leadership_transfer import NO_QUORUM_STEP_DOWN_S
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.session_lease import SHORT_SESSION_LEASE_S
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.storage import keys
from hookwall.storage.entries import VersionedValue


def test_a_candidate_needs_a_majority(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [refuses, silent])
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER and keys.LEADER_KEY not in store.keys


def test_the_fencing_token_is_the_version_of_the_leader_key(store: ScriptedStore, clock: FakeClock):
    store.revision = 40
    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.LEADER and leadership.valid()
    assert leadership.fencing_token == store.keys[keys.LEADER_KEY][1] == 41


def test_an_unresponsive_peer_does_not_delay_a_failover(store: ScriptedStore, clock: FakeClock):
    # The former leader is unresponsive. The candidate used to wait for its vote (0.7 s) and its quorum lease (1.5 s).
    class UnresponsivePeer(ScriptedPeer):
        async def call(self, message, timeout=1.0):
            await asyncio.sleep(timeout)

    async def fail_over() -> Leadership:
        leadership = make_leadership(store, clock, [grants])
        leadership.peers.insert(0, UnresponsivePeer("n2", None))
        async with asyncio.timeout(0.5):
            await leadership.election.run_once()
        await asyncio.sleep(0)
        return leadership

    leadership = asyncio.run(fail_over())
    assert leadership.role is Role.LEADER and leadership.valid()


def test_a_leader_without_a_majority_is_invalid_before_its_quorum_leases_expire(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    clock.advance(QUORUM_LEASE_S * 0.98)
    assert leadership.valid()
    clock.advance(QUORUM_LEASE_S * 0.02)
    assert not leadership.valid()


def test_a_quorum_lease_counts_from_sending_its_request(store: ScriptedStore, clock: FakeClock):
    def grant_after_2_s(message):
        clock.advance(2.0)
        return grants(message)

    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    before = clock()
    leadership.peers[0].response = grant_after_2_s
    asyncio.run(leadership.peer_heartbeat.send(leadership.peers[0]))
    assert leadership.quorum_acks["n1"] == before


def test_a_leader_whose_key_was_replaced_steps_down(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, grants])
    asyncio.run(leadership.election.run_once())
    leadership.observe_leader_key({"node": "n2"}, leadership.fencing_token + 5)
    assert leadership.role is Role.FOLLOWER and not leadership.valid()


def test_a_candidate_that_loses_the_race_for_the_key_does_not_lead(store: ScriptedStore, clock: FakeClock):
    def write_key_during_vote(message):
        if message["t"] == "vote":
            store.revision += 1
            store.keys[keys.LEADER_KEY] = ({"node": "n2"}, store.revision)
        return grants(message)

    leadership = make_leadership(store, clock, [write_key_during_vote, grants])
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER


def test_a_restarted_node_may_replace_the_key_of_its_earlier_process_at_once(store: ScriptedStore, clock: FakeClock):
    store.revision = 3
    store.keys[keys.LEADER_KEY] = ({"node": "n0"}, 3)
    leadership = make_leadership(store, clock, [grants, grants])
    leadership.vote_grant.started_at = clock()
    leadership.observe_leader_key({"node": "n0"}, 3)
    assert leadership.election.may_start()
    leadership.observe_leader_key({"node": "n1"}, 4)
    assert not leadership.election.may_start()


def test_a_node_that_reaches_no_peer_leads_by_session_lease(store: ScriptedStore, clock: FakeClock):
    """Without this mode, no node led for a whole day while a packet filter blocked only traffic between the nodes."""
    leadership = make_leadership(store, clock, [silent, silent])
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER, "nodes that may reach each other get time to form a majority first"
    clock.advance(LEAD_WITHOUT_QUORUM_AFTER_S + 1)
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.LEADER and leadership.lease_mode is LeaseMode.SESSION_LEASE and leadership.valid()
    clock.advance(SHORT_SESSION_LEASE_S)
    assert not leadership.valid()


def test_a_peer_that_responds_prevents_leading_by_session_lease(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [refuses, silent])
    clock.advance(60.0)
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER


def test_a_leader_by_session_lease_is_not_replaced_before_its_key_is_gone(store: ScriptedStore, clock: FakeClock):
    store.revision = 9
    store.keys[keys.LEADER_KEY] = ({"node": "n2", "mode": "hold"}, 9)
    leadership = make_leadership(store, clock, [grants, grants])
    leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    clock.advance(60.0)
    assert not leadership.election.may_start()
    # The same holds when this node knows only an older state of the key.
    leadership.observe_leader_key({"node": "n2"}, 9)
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER and store.keys[keys.LEADER_KEY][1] == 9


def test_a_leader_without_majority_removes_its_key(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    clock.advance(NO_QUORUM_STEP_DOWN_S + 0.5)
    asyncio.run(leadership.leadership_transfer.check_fitness(clock(), True))
    assert leadership.role is Role.FOLLOWER and keys.LEADER_KEY not in store.keys


def test_in_a_shared_store_outage_no_leadership_is_transferred(store: ScriptedStore, clock: FakeClock):
    def store_unreachable(message):
        return {"ok": True, "sok": False, "top": 0}

    leadership = make_leadership(store, clock, [grants, grants])
    asyncio.run(leadership.election.run_once())
    for p in leadership.peers:
        p.response = store_unreachable
    store.mode, store.failing_since = "down", clock()
    for _ in range(4):
        clock.advance(1.0)
        asyncio.run(leadership.peer_heartbeat.send(leadership.peers[0]))
        asyncio.run(leadership.peer_heartbeat.send(leadership.peers[1]))
        asyncio.run(leadership.leadership_transfer.check_fitness(clock(), False))
    assert leadership.valid()


def test_a_leader_does_not_vote(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, grants])
    asyncio.run(leadership.election.run_once())
    assert not leadership.handle_peer_message({"t": "vote", "n": "n1"})["ok"]


@pytest.mark.parametrize("message", [{}, {"t": "ping"}, {"t": "ping", "n": 3}, {"t": "release", "n": "n1", "tok": "x"}])
def test_a_malformed_message_gets_a_response(store: ScriptedStore, clock: FakeClock, message):
    assert "ok" in make_leadership(store, clock, [grants, grants]).handle_peer_message(message)


def test_a_late_response_that_the_key_is_absent_does_not_undo_a_newer_key(store: ScriptedStore, clock: FakeClock):
    """A response to a read that preceded the write of the key arrives after the watch has shown the key."""
    leadership = make_leadership(store, clock, [grants, grants])
    leadership.observe_leader_key({"node": "n1"}, 12)
    leadership.observe_leader_key({}, 0, 11)
    assert leadership.leader_key.version == 12 and not leadership.leader_key.shows_no_other_leader(leadership.node_name)
    leadership.observe_leader_key({}, 0, 13)
    assert leadership.leader_key.version == 0 and leadership.leader_key.shows_no_other_leader(leadership.node_name)
    leadership.observe_leader_key({"node": "n0"}, 12)
    assert leadership.leader_key.version == 0, "a late response does not bring back a key that is gone"


def test_a_late_probe_response_does_not_undo_a_newer_key(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, grants])
    store.revision = 11

    async def read(key):
        leadership.observe_leader_key({"node": "n1"}, 12)
        leadership.store_probe.requested.clear()
        store.last_response_at = clock()
        return VersionedValue(None, 0, 11)

    async def probe():
        store.read = read
        leadership.store_probe.requested.set()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await leadership.store_probe.run()

    asyncio.run(probe())
    assert leadership.leader_key.version == 12


def test_a_validity_lapse_is_reported_before_a_quorum_lease_extends_validity(store: ScriptedStore, clock: FakeClock):
    """Another node may have renewed workers' leases in the lapse, so they count from when this node is valid again."""
    lapses = []
    leadership = make_leadership(store, clock, [grants, silent], on_validity_lapse=lambda: lapses.append(clock()))
    asyncio.run(leadership.election.run_once())
    lapses.clear()  # a new leader reports a lapse before its first quorum lease
    clock.advance(QUORUM_LEASE_S * 0.9)
    leadership.vote_grant.renew_lease("n0", leadership.fencing_token)
    asyncio.run(leadership.peer_heartbeat.send(leadership.peers[0]))
    assert leadership.valid() and lapses == []
    clock.advance(QUORUM_LEASE_S)
    leadership.vote_grant.renew_lease("n0", leadership.fencing_token)
    asyncio.run(leadership.peer_heartbeat.send(leadership.peers[0]))
    assert leadership.valid() and lapses == [clock()]


def test_a_validity_lapse_is_reported_before_a_session_or_own_lease_extends_validity(
    store: ScriptedStore, clock: FakeClock
):
    lapses = []
    leadership = make_leadership(store, clock, [grants, silent], on_validity_lapse=lambda: lapses.append(clock()))
    asyncio.run(leadership.election.run_once())
    lapses.clear()  # a new leader reports a lapse before its first quorum lease
    leadership.session_lease_until = clock()
    clock.advance(10.0)
    leadership.quorum_acks["n1"] = clock()
    leadership.vote_grant.expires_at = clock() + QUORUM_LEASE_S
    asyncio.run(leadership.session_lease_renewal.renew_if_due(clock()))
    assert lapses == [clock()] and leadership.valid()
    leadership.vote_grant.expires_at = clock()

    async def one_heartbeat_round():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.01):
                await leadership.peer_heartbeat.run()

    asyncio.run(one_heartbeat_round())
    assert lapses == [clock(), clock()] and leadership.valid()
