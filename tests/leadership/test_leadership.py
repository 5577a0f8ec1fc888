"""Leadership: two nodes must never both be valid leaders."""

import asyncio

import pytest
from conftest import Clock, FakeState

from hookwall.leadership.election import LEAD_WITHOUT_QUORUM_AFTER_S
from hookwall.leadership.leadership_transfer import NO_QUORUM_STEP_DOWN_S
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.session_lease import SHORT_SESSION_LEASE_S
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, VOTE_GRANT_S, ObservedLeaderKey, VoteGrant
from hookwall.storage import keys
from hookwall.storage.client import RequestRejectedError, VersionedValue


@pytest.fixture
def grant(clock: Clock) -> VoteGrant:
    grant = VoteGrant("n0", clock)
    clock.tick(QUORUM_LEASE_S * 2)
    return grant


def test_a_grant_binds_until_it_expires(grant: VoteGrant, clock: Clock):
    assert grant.renew_lease("n1", 7)
    assert not grant.grant_vote("n2") and not grant.renew_lease("n2", 8)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert grant.grant_vote("n2")


def test_an_older_fencing_token_never_gets_a_quorum_lease_again(grant: VoteGrant, clock: Clock):
    assert grant.renew_lease("n1", 7)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert grant.renew_lease("n2", 8)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert not grant.renew_lease("n1", 7)


def test_a_restarted_node_grants_nothing_against_a_forgotten_grant(clock: Clock):
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    assert not grant.grant_vote("n2"), "it may have granted n1 a lease just before it restarted"
    assert grant.grant_vote("n1"), "n1 itself asks: the process that held the grant is gone"
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    assert not grant.renew_lease("n2", 6)
    assert grant.renew_lease("n1", 7)
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    clock.tick(QUORUM_LEASE_S * 1.1)
    assert grant.grant_vote("n2")


def test_without_a_leader_key_a_restarted_node_may_vote_at_once(clock: Clock):
    grant = VoteGrant("n0", clock)
    assert not grant.grant_vote("n1"), "the key has not been read yet"
    grant.observed_key = ObservedLeaderKey("", 0)
    assert grant.grant_vote("n1")


def test_a_late_release_does_not_undo_a_newer_grant(grant: VoteGrant):
    grant.renew_lease("n1", 7)
    grant.renew_lease("n1", 9)
    grant.release("n1", 7)
    assert not grant.grant_vote("n2")
    grant.release("n1", 9)
    assert grant.grant_vote("n2")


class ScriptedPeer:
    def __init__(self, name, response):
        self.name, self.response, self.calls = name, response, []

    async def call(self, message, timeout=1.0):
        self.calls.append(message)
        return self.response(message)


def make(state: FakeState, clock: Clock, responses, **options) -> Leadership:
    async def load():
        return None

    peers = [ScriptedPeer(f"n{i + 1}", a) for i, a in enumerate(responses)]
    lead = Leadership("n0", 3, peers, state, clock, load, lambda role: None, **options)
    clock.tick(QUORUM_LEASE_S * 2)
    lead.observe_leader_key({}, 0)
    return lead


def yes(message):
    return {"ok": True, "sok": True, "top": 0}


def no(message):
    return {"ok": False, "sok": True, "top": 0}


def silent(message):
    return None


def test_a_candidate_needs_a_majority(state: FakeState, clock: Clock):
    lead = make(state, clock, [no, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER and keys.LEADER_KEY not in state.keys


def test_the_fencing_token_is_the_version_of_the_leader_key(state: FakeState, clock: Clock):
    state.epoch = 40
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.valid()
    assert lead.fencing_token == state.keys[keys.LEADER_KEY][1] == 41


def test_a_peer_that_stands_still_does_not_delay_a_failover(state: FakeState, clock: Clock):
    # The former leader itself: its vote and its quorum lease were waited for, 0.7 and 1.5 s.
    class StandsStill(ScriptedPeer):
        async def call(self, message, timeout=1.0):
            await asyncio.sleep(timeout)

    async def fail_over() -> Leadership:
        lead = make(state, clock, [yes])
        lead.peers.insert(0, StandsStill("n2", None))
        async with asyncio.timeout(0.5):
            await lead.election.run_once()
        await asyncio.sleep(0)
        return lead

    lead = asyncio.run(fail_over())
    assert lead.role is Role.LEADER and lead.valid()


def test_a_leader_without_a_majority_is_invalid_before_its_quorum_leases_expire(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    clock.tick(QUORUM_LEASE_S * 0.98)
    assert lead.valid()
    clock.tick(QUORUM_LEASE_S * 0.02)
    assert not lead.valid()


def test_validity_counts_from_sending(state: FakeState, clock: Clock):
    def slow(message):
        clock.tick(2.0)
        return yes(message)

    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    before = clock()
    lead.peers[0].response = slow
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.quorum_acks["n1"] == before


def test_a_leader_whose_key_was_replaced_steps_down(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    lead.observe_leader_key({"node": "n2"}, lead.fencing_token + 5)
    assert lead.role is Role.FOLLOWER and not lead.valid()


def test_a_candidate_that_loses_the_race_for_the_key_does_not_lead(state: FakeState, clock: Clock):
    def racer(message):
        if message["t"] == "vote":
            state.epoch += 1
            state.keys[keys.LEADER_KEY] = ({"node": "n2"}, state.epoch)
        return yes(message)

    lead = make(state, clock, [racer, yes])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER


def test_a_restarted_node_replaces_its_earlier_self_at_once(state: FakeState, clock: Clock):
    state.epoch = 3
    state.keys[keys.LEADER_KEY] = ({"node": "n0"}, 3)
    lead = make(state, clock, [yes, yes])
    lead.vote_grant.started_at = clock()
    lead.observe_leader_key({"node": "n0"}, 3)
    assert lead.election.may_start()
    lead.observe_leader_key({"node": "n1"}, 4)
    assert not lead.election.may_start()


def test_nodes_that_do_not_reach_each_other_are_led_by_session_lease(state: FakeState, clock: Clock):
    """A packet filter between the nodes left everything else working, and nobody led for a whole day."""
    lead = make(state, clock, [silent, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER, "those who may reach each other come first"
    clock.tick(LEAD_WITHOUT_QUORUM_AFTER_S + 1)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.lease_mode is LeaseMode.SESSION_LEASE and lead.valid()
    clock.tick(SHORT_SESSION_LEASE_S)
    assert not lead.valid()


def test_a_peer_that_responds_prevents_leading_by_session_lease(state: FakeState, clock: Clock):
    lead = make(state, clock, [no, silent])
    clock.tick(60.0)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER


def test_a_leader_by_session_lease_is_not_replaced_before_its_key_is_gone(state: FakeState, clock: Clock):
    state.epoch = 9
    state.keys[keys.LEADER_KEY] = ({"node": "n2", "mode": "hold"}, 9)
    lead = make(state, clock, [yes, yes])
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(60.0)
    assert not lead.election.may_start()
    # Also when this node had only known of an older key.
    lead.observe_leader_key({"node": "n2"}, 9)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER and state.keys[keys.LEADER_KEY][1] == 9


def test_a_leader_without_majority_removes_its_key(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    clock.tick(NO_QUORUM_STEP_DOWN_S + 0.5)
    asyncio.run(lead.leadership_transfer.check_fitness(clock(), True))
    assert lead.role is Role.FOLLOWER and keys.LEADER_KEY not in state.keys


def test_in_a_shared_store_outage_no_leadership_is_transferred(state: FakeState, clock: Clock):
    def deaf(message):
        return {"ok": True, "sok": False, "top": 0}

    lead = make(state, clock, [yes, yes])
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
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    assert not lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"]


@pytest.mark.parametrize("message", [{}, {"t": "ping"}, {"t": "ping", "n": 3}, {"t": "release", "n": "n1", "tok": "x"}])
def test_a_malformed_message_gets_a_response(state: FakeState, clock: Clock, message):
    assert "ok" in make(state, clock, [yes, yes]).handle_peer_message(message)


# -- what a node may conclude from the leader key ----------------------------------------------------


def test_a_late_answer_that_the_key_is_absent_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    """A read from before the key was written is answered after the watch has shown the key."""
    lead = make(state, clock, [yes, yes])
    lead.observe_leader_key({"node": "n1"}, 12)
    lead.observe_leader_key({}, 0, 11)
    assert lead.leader_key.version == 12 and not lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({}, 0, 13)
    assert lead.leader_key.version == 0 and lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({"node": "n0"}, 12)
    assert lead.leader_key.version == 0, "nor does a late response undo that the key is gone"


def test_a_probe_that_is_answered_late_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
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


# -- votes and leases while a key is replaced -------------------------------------------------------


def test_a_voter_for_a_replacement_never_grants_the_former_leader_a_lease_again(grant: VoteGrant, clock: Clock):
    """The candidate's write may be carried out after any time; the vote itself expires after VOTE_GRANT_S."""
    grant.renew_lease("n1", 7)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert grant.grant_vote("n2", replaces_version=7)
    clock.tick(VOTE_GRANT_S + 0.01)
    assert not grant.renew_lease("n1", 7)
    assert grant.renew_lease("n2", 8)


def test_an_abandoned_election_lets_the_former_leader_get_leases_again(grant: VoteGrant, clock: Clock):
    grant.grant_vote("n2", replaces_version=7, election_id=21)
    clock.tick(VOTE_GRANT_S + 0.01)
    grant.grant_vote("n0", replaces_version=7, election_id=1)
    clock.tick(VOTE_GRANT_S + 0.01)
    grant.clear_replacement("n2", 21)
    assert not grant.renew_lease("n1", 7), "another candidate may still replace it"
    grant.clear_replacement("n0", 2)
    assert not grant.renew_lease("n1", 7), "it is about another election"
    grant.clear_replacement("n0", 1)
    assert grant.renew_lease("n1", 7)


def test_an_abandoned_election_says_nothing_of_a_later_one(grant: VoteGrant, clock: Clock):
    """The first election certainly failed and says so late; the write of the second may still be carried out."""
    grant.grant_vote("n2", replaces_version=7, election_id=21)
    clock.tick(VOTE_GRANT_S + 0.01)
    grant.grant_vote("n2", replaces_version=7, election_id=22)
    clock.tick(VOTE_GRANT_S + 0.01)
    grant.clear_replacement("n2", 21)
    assert not grant.renew_lease("n1", 7)


def abandoned_elections(lead: Leadership) -> list[object]:
    return [m["unwritten"] for p in lead.peers for m in p.calls if "unwritten" in m]


@pytest.mark.parametrize("mode", ["lost", "ghost"])
def test_a_write_without_a_response_leaves_the_former_leader_without_lease(state: FakeState, clock: Clock, mode):
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make(state, clock, [yes, silent])
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(QUORUM_LEASE_S * 2)
    commit = state.commit

    async def without_response(*args, **options):
        state.mode = mode
        try:
            return await commit(*args, **options)
        finally:
            state.mode = "ok"

    state.commit = without_response

    async def hold_election():
        await lead.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(hold_election())
    clock.tick(VOTE_GRANT_S + 0.01)
    assert lead.role is Role.FOLLOWER and abandoned_elections(lead) == []
    assert not lead.vote_grant.renew_lease("n1", 7)
    assert "drop" in state.requests, "once its session lease has ended the write can't happen any more"
    # The next election certainly fails, but the first write may still be on its way.
    state.commit, state.mode = reject, "ok"
    lead.next_election_at = 0.0
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    asyncio.run(lead.election.run_once())
    assert abandoned_elections(lead) == [] and not lead.vote_grant.renew_lease("n1", 7)


async def reject(*args, **options):
    raise RequestRejectedError("503")


@pytest.mark.parametrize("responses", [[no, silent], [yes, silent]])
def test_a_candidate_that_certainly_failed_announces_it(state: FakeState, clock: Clock, responses):
    """Too few votes, or a write that was rejected."""
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make(state, clock, responses)
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(QUORUM_LEASE_S * 2)
    state.commit = reject

    async def hold_election():
        await lead.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(hold_election())
    asked = [m for p in lead.peers for m in p.calls if m["t"] == "vote"]
    assert [m["replaces"] for m in asked] == [7, 7]
    assert abandoned_elections(lead) == [m["campaign"] for m in asked]
    clock.tick(VOTE_GRANT_S + 0.01)
    assert lead.vote_grant.renew_lease("n1", 7)


def test_a_leader_that_a_voter_refuses_for_good_gets_a_new_fencing_token(state: FakeState, clock: Clock):
    """The voter would refuse it leases for as long as it led with that token."""
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    before = lead.fencing_token
    lead.peers[0].response = (
        lambda message: {"ok": True, "top": 0}
        if message.get("tok") != before
        else {"ok": False, "top": 0, "replaced": True}
    )
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.role is Role.FOLLOWER and lead.election.may_start()
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.fencing_token > before


def test_a_leader_that_granted_its_lease_to_another_node_is_not_valid(state: FakeState, clock: Clock):
    """Its vote for itself had expired while the key was written; for up to a second two nodes were valid."""
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    assert lead.valid()
    lead.vote_grant.holder = "n1"
    assert not lead.valid()


def test_a_leader_whose_own_quorum_lease_has_expired_is_not_valid(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    lead.vote_grant.expires_at = clock()
    assert not lead.valid()


def test_an_own_key_from_a_late_write_does_not_prove_that_nobody_leads(state: FakeState, clock: Clock):
    """The former leader may have its quorum leases again; a node cut off from its peers led at once."""
    lead = make(state, clock, [silent, silent])
    state.epoch = 9
    state.keys[keys.LEADER_KEY] = ({"node": "n0", "incarnation": lead.incarnation}, 9)
    clock.tick(60.0)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER and state.keys[keys.LEADER_KEY][1] == 9
    assert all(m["dead"] is False for p in lead.peers for m in p.calls if m["t"] == "vote")
    # An earlier process's key does.
    state.keys[keys.LEADER_KEY] = ({"node": "n0", "incarnation": lead.incarnation + 1}, 9)
    lead.next_election_at = 0.0
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.lease_mode is LeaseMode.SESSION_LEASE


def test_a_restarted_voter_does_not_mistake_a_late_key_for_that_of_an_earlier_process(clock: Clock):
    grant = VoteGrant("n2", clock)
    grant.observed_key = ObservedLeaderKey("n0", 9)
    assert not grant.grant_vote("n0", replaces_version=9, proves_leader_gone=False)
    assert grant.grant_vote("n0", replaces_version=9)


def test_a_restarted_voter_rejects_a_key_that_proves_nothing(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    lead.vote_grant.started_at = clock()
    lead.observe_leader_key({"node": "n1"}, 9)
    assert not lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 9, "dead": False})["ok"]
    assert lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"], "older programs don't report that"


def test_a_vote_request_names_the_version_that_it_replaces(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    clock.tick(QUORUM_LEASE_S * 2)
    assert lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 7, "campaign": 31})["ok"]
    clock.tick(VOTE_GRANT_S + 0.01)
    response = lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})
    assert not response["ok"] and response["replaced"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 7})
    assert not lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 31})
    assert lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]


def test_a_validity_lapse_is_reported_before_a_quorum_lease_extends_validity(state: FakeState, clock: Clock):
    """Another node may have renewed workers' leases meanwhile, so those count from when it is valid again."""
    lapses = []
    lead = make(state, clock, [yes, silent], on_validity_lapse=lambda: lapses.append(clock()))
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
    lead = make(state, clock, [yes, silent], on_validity_lapse=lambda: lapses.append(clock()))
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
