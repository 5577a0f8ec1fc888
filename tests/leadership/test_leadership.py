"""Promises: two nodes must never both hold those of a majority."""

import asyncio

import pytest
from conftest import Clock, FakeState

from hookwall.leadership.election import LEAD_WITHOUT_QUORUM_AFTER_S, SHORT_SESSION_LEASE_S
from hookwall.leadership.leadership_transfer import NO_QUORUM_STEP_DOWN_S
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, VOTE_GRANT_S, ObservedLeaderKey, VoteGrant
from hookwall.storage import keys
from hookwall.storage.client import RequestRejectedError, VersionedValue


@pytest.fixture
def promise(clock: Clock) -> VoteGrant:
    p = VoteGrant("n0", clock)
    clock.tick(QUORUM_LEASE_S * 2)
    return p


def test_a_promise_binds_until_it_ends(promise: VoteGrant, clock: Clock):
    assert promise.renew_lease("n1", 7)
    assert not promise.grant_vote("n2") and not promise.renew_lease("n2", 8)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert promise.grant_vote("n2")


def test_an_older_token_is_never_supported_again(promise: VoteGrant, clock: Clock):
    assert promise.renew_lease("n1", 7)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert promise.renew_lease("n2", 8)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert not promise.renew_lease("n1", 7)


def test_a_restarted_node_contradicts_nothing_it_may_have_promised(clock: Clock):
    p = VoteGrant("n0", clock)
    p.observed_key = ObservedLeaderKey("n1", 7)
    assert not p.grant_vote("n2"), "it may have promised n1 just before it restarted"
    assert p.grant_vote("n1"), "n1 itself asks: the process that held the promise is gone"
    p = VoteGrant("n0", clock)
    p.observed_key = ObservedLeaderKey("n1", 7)
    assert not p.renew_lease("n2", 6)
    assert p.renew_lease("n1", 7)
    p = VoteGrant("n0", clock)
    p.observed_key = ObservedLeaderKey("n1", 7)
    clock.tick(QUORUM_LEASE_S * 1.1)
    assert p.grant_vote("n2")


def test_without_a_leader_key_a_fresh_node_may_vote_at_once(clock: Clock):
    p = VoteGrant("n0", clock)
    assert not p.grant_vote("n1"), "the key has not been read yet"
    p.observed_key = ObservedLeaderKey("", 0)
    assert p.grant_vote("n1")


def test_a_late_release_does_not_undo_a_newer_promise(promise: VoteGrant):
    promise.renew_lease("n1", 7)
    promise.renew_lease("n1", 9)
    promise.release("n1", 7)
    assert not promise.grant_vote("n2")
    promise.release("n1", 9)
    assert promise.grant_vote("n2")


class ScriptedPeer:
    def __init__(self, name, answer):
        self.name, self.answer, self.calls = name, answer, []

    async def call(self, message, timeout=1.0):
        self.calls.append(message)
        return self.answer(message)


def make(state: FakeState, clock: Clock, answers) -> Leadership:
    async def load():
        return None

    peers = [ScriptedPeer(f"n{i + 1}", a) for i, a in enumerate(answers)]
    lead = Leadership("n0", 3, peers, state, clock, load, lambda role: None)
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


def test_the_token_is_the_stamp_of_the_leader_key(state: FakeState, clock: Clock):
    state.epoch = 40
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.valid()
    assert lead.fencing_token == state.keys[keys.LEADER_KEY][1] == 41


def test_a_peer_that_stands_still_does_not_hold_up_a_take_over(state: FakeState, clock: Clock):
    # The old leader itself: its vote and its promise were waited for, 0.7 and 1.5 s.
    class StandsStill(ScriptedPeer):
        async def call(self, message, timeout=1.0):
            await asyncio.sleep(timeout)

    async def take_over() -> Leadership:
        lead = make(state, clock, [yes])
        lead.peers.insert(0, StandsStill("n2", None))
        async with asyncio.timeout(0.5):
            await lead.election.run_once()
        await asyncio.sleep(0)
        return lead

    lead = asyncio.run(take_over())
    assert lead.role is Role.LEADER and lead.valid()


def test_a_leader_without_a_majority_falls_silent_before_the_promises_end(state: FakeState, clock: Clock):
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
    lead.peers[0].answer = slow
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.quorum_acks["n1"] == before


def test_a_leader_whose_key_was_replaced_steps_down(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    lead.observe_leader_key({"node": "n2"}, lead.fencing_token + 5)
    assert lead.role is Role.FOLLOWER and not lead.valid()


def test_a_lost_race_for_the_key_is_no_leadership(state: FakeState, clock: Clock):
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


def test_nodes_that_do_not_reach_each_other_are_led_by_the_hold_alone(state: FakeState, clock: Clock):
    """A packet filter between the nodes left everything else working, and nobody led for a whole day."""
    lead = make(state, clock, [silent, silent])
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER, "those who may reach each other come first"
    clock.tick(LEAD_WITHOUT_QUORUM_AFTER_S + 1)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.lease_mode is LeaseMode.SESSION_LEASE and lead.valid()
    clock.tick(SHORT_SESSION_LEASE_S)
    assert not lead.valid()


def test_a_peer_that_answers_prevents_leading_alone(state: FakeState, clock: Clock):
    lead = make(state, clock, [no, silent])
    clock.tick(60.0)
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.FOLLOWER


def test_a_leader_by_hold_is_not_replaced_before_its_key_is_gone(state: FakeState, clock: Clock):
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


def test_in_an_outage_nobody_resigns_to_a_peer_that_is_as_badly_off(state: FakeState, clock: Clock):
    def deaf(message):
        return {"ok": True, "sok": False, "top": 0}

    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    for p in lead.peers:
        p.answer = deaf
    state.mode, state.failing_since = "down", clock()
    for _ in range(4):
        clock.tick(1.0)
        asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
        asyncio.run(lead.peer_heartbeat.send(lead.peers[1]))
        asyncio.run(lead.leadership_transfer.check_fitness(clock(), False))
    assert lead.valid()


def test_a_leader_refuses_to_vote(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    assert not lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"]


@pytest.mark.parametrize("message", [{}, {"t": "ping"}, {"t": "ping", "n": 3}, {"t": "release", "n": "n1", "tok": "x"}])
def test_nonsense_from_a_peer_is_survived(state: FakeState, clock: Clock, message):
    assert "ok" in make(state, clock, [yes, yes]).handle_peer_message(message)


# -- what a node may conclude from the leader key ----------------------------------------------------


def test_a_late_answer_that_the_key_is_absent_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    """A read from before the key was written is answered after the watch has told of the key."""
    lead = make(state, clock, [yes, yes])
    lead.observe_leader_key({"node": "n1"}, 12)
    lead.observe_leader_key({}, 0, 11)
    assert lead.leader_key.version == 12 and not lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({}, 0, 13)
    assert lead.leader_key.version == 0 and lead.leader_key.shows_no_other_leader(lead.node_name)
    lead.observe_leader_key({"node": "n0"}, 12)
    assert lead.leader_key.version == 0, "nor does a late answer undo that the key is gone"


def test_a_probe_that_is_answered_late_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    state.epoch = 11

    async def read(key):
        lead.observe_leader_key({"node": "n1"}, 12)
        lead.probe_requested.clear()
        state.last_response_at = clock()
        return VersionedValue(None, 0, 11)

    async def probe():
        state.read = read
        lead.probe_requested.set()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await lead.probe_store()

    asyncio.run(probe())
    assert lead.leader_key.version == 12


# -- votes and promises while a key is replaced -------------------------------------------------------


def test_who_voted_to_replace_a_key_never_supports_its_leader_again(promise: VoteGrant, clock: Clock):
    """The candidate's write may be carried out after any time; the vote itself ends after VOTE_S."""
    promise.renew_lease("n1", 7)
    clock.tick(QUORUM_LEASE_S + 0.01)
    assert promise.grant_vote("n2", replaces_version=7)
    clock.tick(VOTE_GRANT_S + 0.01)
    assert not promise.renew_lease("n1", 7)
    assert promise.renew_lease("n2", 8)


def test_a_candidate_that_wrote_nothing_lets_the_former_leader_be_supported(promise: VoteGrant, clock: Clock):
    promise.grant_vote("n2", replaces_version=7, election_id=21)
    clock.tick(VOTE_GRANT_S + 0.01)
    promise.grant_vote("n0", replaces_version=7, election_id=1)
    clock.tick(VOTE_GRANT_S + 0.01)
    promise.clear_replacement("n2", 21)
    assert not promise.renew_lease("n1", 7), "another candidate may still replace it"
    promise.clear_replacement("n0", 2)
    assert not promise.renew_lease("n1", 7), "it speaks of another campaign"
    promise.clear_replacement("n0", 1)
    assert promise.renew_lease("n1", 7)


def test_that_nothing_was_written_is_not_believed_of_a_later_campaign(promise: VoteGrant, clock: Clock):
    """The first campaign failed for certain and said so, late; the write of the second may still be carried out."""
    promise.grant_vote("n2", replaces_version=7, election_id=21)
    clock.tick(VOTE_GRANT_S + 0.01)
    promise.grant_vote("n2", replaces_version=7, election_id=22)
    clock.tick(VOTE_GRANT_S + 0.01)
    promise.clear_replacement("n2", 21)
    assert not promise.renew_lease("n1", 7)


def unwritten(lead: Leadership) -> list[object]:
    return [m["unwritten"] for p in lead.peers for m in p.calls if "unwritten" in m]


@pytest.mark.parametrize("mode", ["lost", "ghost"])
def test_a_write_without_an_answer_leaves_the_former_leader_without_support(state: FakeState, clock: Clock, mode):
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make(state, clock, [yes, silent])
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(QUORUM_LEASE_S * 2)
    commit = state.commit

    async def unanswered(*args, **options):
        state.mode = mode
        try:
            return await commit(*args, **options)
        finally:
            state.mode = "ok"

    state.commit = unanswered

    async def campaign():
        await lead.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(campaign())
    clock.tick(VOTE_GRANT_S + 0.01)
    assert lead.role is Role.FOLLOWER and unwritten(lead) == []
    assert not lead.vote_grant.renew_lease("n1", 7)
    assert "drop" in state.requests, "once its hold has ended the write can't happen any more"
    # The next campaign fails for certain, but the first write may still be on its way.
    state.commit, state.mode = refused, "ok"
    lead.next_election_at = 0.0
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    asyncio.run(lead.election.run_once())
    assert unwritten(lead) == [] and not lead.vote_grant.renew_lease("n1", 7)


async def refused(*args, **options):
    raise RequestRejectedError("503")


@pytest.mark.parametrize("answers", [[no, silent], [yes, silent]])
def test_a_candidate_that_fails_for_certain_says_so(state: FakeState, clock: Clock, answers):
    """Too few votes, or a write that was refused."""
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make(state, clock, answers)
    lead.observe_leader_key(*state.keys[keys.LEADER_KEY])
    clock.tick(QUORUM_LEASE_S * 2)
    state.commit = refused

    async def campaign():
        await lead.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(campaign())
    asked = [m for p in lead.peers for m in p.calls if m["t"] == "vote"]
    assert [m["replaces"] for m in asked] == [7, 7]
    assert unwritten(lead) == [m["campaign"] for m in asked]
    clock.tick(VOTE_GRANT_S + 0.01)
    assert lead.vote_grant.renew_lease("n1", 7)


def test_a_leader_that_a_voter_never_supports_again_takes_a_new_token(state: FakeState, clock: Clock):
    """The voter would count it as unheard for as long as it led with that token."""
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.election.run_once())
    before = lead.fencing_token
    lead.peers[0].answer = (
        lambda message: {"ok": True, "top": 0}
        if message.get("tok") != before
        else {"ok": False, "top": 0, "replaced": True}
    )
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.role is Role.FOLLOWER and lead.election.may_start()
    asyncio.run(lead.election.run_once())
    assert lead.role is Role.LEADER and lead.fencing_token > before


def test_a_leader_whose_own_promise_is_with_another_node_is_not_valid(state: FakeState, clock: Clock):
    """Its vote for itself had ended while the key was written; for up to a second two nodes were valid."""
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    assert lead.valid()
    lead.vote_grant.holder = "n1"
    assert not lead.valid()


def test_a_leader_whose_own_promise_has_ended_is_not_valid(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.election.run_once())
    lead.vote_grant.expires_at = clock()
    assert not lead.valid()


def test_a_key_from_a_late_write_of_one_s_own_does_not_prove_that_nobody_leads(state: FakeState, clock: Clock):
    """The former leader may have its promises again; a node cut off from its peers took over at once."""
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


def test_a_restarted_voter_does_not_take_a_late_key_for_that_of_an_earlier_process(clock: Clock):
    promise = VoteGrant("n2", clock)
    promise.observed_key = ObservedLeaderKey("n0", 9)
    assert not promise.grant_vote("n0", replaces_version=9, proves_leader_gone=False)
    assert promise.grant_vote("n0", replaces_version=9)


def test_a_restarted_voter_hears_that_a_key_proves_nothing(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    lead.vote_grant.started_at = clock()
    lead.observe_leader_key({"node": "n1"}, 9)
    assert not lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 9, "dead": False})["ok"]
    assert lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"], "older programs don't say"


def test_a_vote_is_asked_with_what_it_replaces(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    clock.tick(QUORUM_LEASE_S * 2)
    assert lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 7, "campaign": 31})["ok"]
    clock.tick(VOTE_GRANT_S + 0.01)
    answer = lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})
    assert not answer["ok"] and answer["replaced"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 7})
    assert not lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 31})
    assert lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]


def test_a_leader_that_was_not_valid_for_a_while_says_so(state: FakeState, clock: Clock):
    """Another node may have answered workers meanwhile, so their leases count from when it is valid again."""
    lead, lapses = make(state, clock, [yes, silent]), []
    asyncio.run(lead.election.run_once())
    lead.on_validity_lapse = lambda: lapses.append(clock())
    clock.tick(QUORUM_LEASE_S * 0.9)
    lead.vote_grant.renew_lease("n0", lead.fencing_token)
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.valid() and lapses == []
    clock.tick(QUORUM_LEASE_S)
    lead.vote_grant.renew_lease("n0", lead.fencing_token)
    asyncio.run(lead.peer_heartbeat.send(lead.peers[0]))
    assert lead.valid() and lapses == [clock()]


def test_a_renewed_hold_or_own_promise_after_a_lapse_says_so_too(state: FakeState, clock: Clock):
    lead, lapses = make(state, clock, [yes, silent]), []
    asyncio.run(lead.election.run_once())
    lead.on_validity_lapse = lambda: lapses.append(clock())
    lead.session_lease_until = clock()
    clock.tick(10.0)
    lead.quorum_acks["n1"] = clock()
    lead.vote_grant.expires_at = clock() + QUORUM_LEASE_S
    asyncio.run(lead._renew_hold(clock()))
    assert lapses == [clock()] and lead.valid()
    lead.vote_grant.expires_at = clock()

    async def one_turn():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.01):
                await lead.peer_heartbeat.run()

    asyncio.run(one_turn())
    assert lapses == [clock(), clock()] and lead.valid()
