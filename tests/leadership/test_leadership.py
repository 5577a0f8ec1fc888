"""Leadership: two nodes must never both be valid leaders."""

import asyncio

import pytest
from conftest import Clock, FakeState
from scripted_leadership import ScriptedPeer, grants, make_leadership, refuses, silent

from hookwall.leadership.election import LEAD_WITHOUT_QUORUM_AFTER_S
from hookwall.leadership.leadership_transfer import NO_QUORUM_STEP_DOWN_S
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.session_lease import SHORT_SESSION_LEASE_S
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.storage import keys
from hookwall.storage.entries import VersionedValue


def test_a_candidate_needs_a_majority(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [refuses, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER and keys.LEADER_KEY not in state.keys


def test_the_fencing_token_is_the_version_of_the_leader_key(state: FakeState, clock: Clock):
    state.epoch = 40
    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.valid()
    assert lead.fencing_token == state.keys[keys.LEADER_KEY][1] == 41


def test_a_peer_that_stands_still_does_not_delay_a_failover(state: FakeState, clock: Clock):
    # The former leader itself: its vote and its quorum lease were waited for, 0.7 and 1.5 s.
    class StandsStill(ScriptedPeer):
        async def call(self, message, timeout=1.0):
            await asyncio.sleep(timeout)

    async def fail_over() -> Leadership:
        lead = make_leadership(state, clock, [grants])
        lead.peers.insert(0, StandsStill("n2", None))
        async with asyncio.timeout(0.5):
            await lead.election.run_once()
        await asyncio.sleep(0)
        return lead

    lead = asyncio.run(fail_over())
    assert lead.role is Role.LEADER and lead.valid()


def test_a_leader_without_a_majority_is_invalid_before_its_quorum_leases_expire(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    clock.tick(QUORUM_LEASE_S * 0.98)
    assert lead.valid()
    clock.tick(QUORUM_LEASE_S * 0.02)
    assert not lead.valid()


def test_validity_counts_from_sending(state: FakeState, clock: Clock):
    def slow(message):
        clock.tick(2.0)
        return grants(message)

    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    before = clock()
    lead.peers[0].response = slow
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.quorum_acks["n1"] == before


def test_a_leader_whose_key_was_replaced_steps_down(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, grants])
    asyncio.run(lead.election.run_once())
    lead.observe_leader_key({"node": "n2"}, lead.fencing_token + 5)
    assert lead.role is Role.FOLLOWER and not lead.valid()


def test_a_candidate_that_loses_the_race_for_the_key_does_not_lead(state: FakeState, clock: Clock):
    def racer(message):
        if message["t"] == "vote":
            state.epoch += 1
            state.keys[keys.LEADER_KEY] = ({"node": "n2"}, state.epoch)
        return grants(message)

    lead = make_leadership(state, clock, [racer, grants])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER


def test_a_restarted_node_replaces_its_earlier_self_at_once(state: FakeState, clock: Clock):
    state.epoch = 3
    state.keys[keys.LEADER_KEY] = ({"node": "n0"}, 3)
    lead = make_leadership(state, clock, [grants, grants])
    lead.vote_grant.started_at = clock()
    lead.observe_leader_key({"node": "n0"}, 3)
    assert lead.election.may_start()
    lead.observe_leader_key({"node": "n1"}, 4)
    assert not lead.election.may_start()


def test_nodes_that_do_not_reach_each_other_are_led_by_session_lease(state: FakeState, clock: Clock):
    """A packet filter between the nodes left everything else working, and nobody led for a whole day."""
    lead = make_leadership(state, clock, [silent, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER, "those who may reach each other come first"
    clock.tick(LEAD_WITHOUT_QUORUM_AFTER_S + 1)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.lease_mode is LeaseMode.SESSION_LEASE and lead.valid()
    clock.tick(SHORT_SESSION_LEASE_S)
    assert not lead.valid()


def test_a_peer_that_responds_prevents_leading_by_session_lease(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [refuses, silent])
    clock.tick(60.0)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER


def test_a_leader_by_session_lease_is_not_replaced_before_its_key_is_gone(state: FakeState, clock: Clock):
    state.epoch = 9
    state.keys[keys.LEADER_KEY] = ({"node": "n2", "mode": "hold"}, 9)
    lead = make_leadership(state, clock, [grants, grants])
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(60.0)
    assert not lead.election.may_start()
    # Also when this node had only known of an older key.
    lead.observe_leader_key({"node": "n2"}, 9)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER and state.keys[keys.LEADER_KEY][1] == 9


def test_a_leader_without_majority_removes_its_key(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    clock.tick(NO_QUORUM_STEP_DOWN_S + 0.5)
    asyncio.run(lead.leadership_transfer.check_fitness(clock(), True))
    assert lead.role is Role.FOLLOWER and keys.LEADER_KEY not in state.keys


def test_in_a_shared_store_outage_no_leadership_is_transferred(state: FakeState, clock: Clock):
    def deaf(message):
        return {"ok": True, "sok": False, "top": 0}

    lead = make_leadership(state, clock, [grants, grants])
    asyncio.run(lead.election.run_once())
    for p in lead.peers:
        p.response = deaf
    state.mode, state.failing_since = "down", clock()
    for _ in range(4):
        clock.tick(1.0)
        asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
        asyncio.run(lead.peer_heartbeat.send(lead.peers[1]))
        asyncio.run(lead.leadership_transfer.check_fitness(clock(), False))
    assert lead.valid()


def test_a_leader_does_not_vote(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, grants])
    asyncio.run(lead.election.run_once())
    assert not lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"]


@pytest.mark.parametrize("message", [{}, {"t": "ping"}, {"t": "ping", "n": 3}, {"t": "release", "n": "n1", "tok": "x"}])
def test_a_malformed_message_gets_a_response(state: FakeState, clock: Clock, message):
    assert "ok" in make_leadership(state, clock, [grants, grants]).handle_peer_message(message)


def test_a_late_answer_that_the_key_is_absent_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    """A read from before the key was written is answered after the watch has shown the key."""
    lead = make_leadership(state, clock, [grants, grants])
    lead.observe_leader_key({"node": "n1"}, 12)
    lead.observe_leader_key({}, 0, 11)
    assert lead.leader_key.version == 12 and not lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({}, 0, 13)
    assert lead.leader_key.version == 0 and lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({"node": "n0"}, 12)
    assert lead.leader_key.version == 0, "nor does a late response undo that the key is gone"


def test_a_probe_that_is_answered_late_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, grants])
    state.epoch = 11

    async def read(key):
        lead.observe_leader_key({"node": "n1"}, 12)
        lead.store_probe.requested.clear()
        state.last_response_at = clock()
        return VersionedValue(None, 0, 11)

    async def probe():
        state.read = read
        lead.store_probe.requested.set()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await lead.store_probe.run()

    asyncio.run(probe())
    assert lead.leader_key.version == 12


def test_a_validity_lapse_is_reported_before_a_quorum_lease_extends_validity(state: FakeState, clock: Clock):
    """Another node may have renewed workers' leases meanwhile, so those count from when it is valid again."""
    lapses = []
    lead = make_leadership(state, clock, [grants, silent], on_validity_lapse=lambda: lapses.append(clock()))
    asyncio.run(lead.election.run_once())
    lapses.clear()  # a new leader reports one before its first quorum lease
    clock.tick(QUORUM_LEASE_S * 0.9)
    lead.vote_grant.renew_lease("n0", lead.fencing_token)
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.valid() and lapses == []
    clock.tick(QUORUM_LEASE_S)
    lead.vote_grant.renew_lease("n0", lead.fencing_token)
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.valid() and lapses == [clock()]


def test_a_validity_lapse_is_reported_before_a_session_or_own_lease_extends_validity(state: FakeState, clock: Clock):
    lapses = []
    lead = make_leadership(state, clock, [grants, silent], on_validity_lapse=lambda: lapses.append(clock()))
    asyncio.run(lead.election.run_once())
    lapses.clear()  # a new leader reports one before its first quorum lease
    lead.session_lease_until = clock()
    clock.tick(10.0)
    lead.quorum_acks["n1"] = clock()
    lead.vote_grant.expires_at = clock() + QUORUM_LEASE_S
    asyncio.run(lead.session_lease_renewal.renew_if_due(clock()))
    assert lapses == [clock()] and lead.valid()
    lead.vote_grant.expires_at = clock()

    async def one_turn():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.01):
                await lead.peer_heartbeat.run()

    asyncio.run(one_turn())
    assert lapses == [clock(), clock()] and lead.valid()
