"""Promises: two nodes must never both hold those of a majority."""

import asyncio

import pytest
from conftest import Clock, FakeState

from hookwall.leadership.election import ALONE_S, SHORT_HOLD_S
from hookwall.leadership.leadership_transfer import LONELY_S
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import PROMISE_S, VOTE_S, Promise
from hookwall.storage import keys
from hookwall.storage.client import KeyState, Refused


@pytest.fixture
def promise(clock: Clock) -> Promise:
    p = Promise("n0", clock)
    clock.tick(PROMISE_S * 2)
    return p


def test_a_promise_binds_until_it_ends(promise: Promise, clock: Clock):
    assert promise.renew("n1", 7)
    assert not promise.vote("n2") and not promise.renew("n2", 8)
    clock.tick(PROMISE_S + 0.01)
    assert promise.vote("n2")


def test_an_older_token_is_never_supported_again(promise: Promise, clock: Clock):
    assert promise.renew("n1", 7)
    clock.tick(PROMISE_S + 0.01)
    assert promise.renew("n2", 8)
    clock.tick(PROMISE_S + 0.01)
    assert not promise.renew("n1", 7)


def test_a_restarted_node_contradicts_nothing_it_may_have_promised(clock: Clock):
    p = Promise("n0", clock)
    p.seen_key = ("n1", 7)
    assert not p.vote("n2"), "it may have promised n1 just before it restarted"
    assert p.vote("n1"), "n1 itself asks: the process that held the promise is gone"
    p = Promise("n0", clock)
    p.seen_key = ("n1", 7)
    assert not p.renew("n2", 6)
    assert p.renew("n1", 7)
    p = Promise("n0", clock)
    p.seen_key = ("n1", 7)
    clock.tick(PROMISE_S * 1.1)
    assert p.vote("n2")


def test_without_a_leader_key_a_fresh_node_may_vote_at_once(clock: Clock):
    p = Promise("n0", clock)
    assert not p.vote("n1"), "the key has not been read yet"
    p.seen_key = ("", 0)
    assert p.vote("n1")


def test_a_late_release_does_not_undo_a_newer_promise(promise: Promise):
    promise.renew("n1", 7)
    promise.renew("n1", 9)
    promise.release("n1", 7)
    assert not promise.vote("n2")
    promise.release("n1", 9)
    assert promise.vote("n2")


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
    clock.tick(PROMISE_S * 2)
    lead.saw_key({}, 0)
    return lead


def yes(message):
    return {"ok": True, "sok": True, "top": 0}


def no(message):
    return {"ok": False, "sok": True, "top": 0}


def silent(message):
    return None


def test_a_candidate_needs_a_majority(state: FakeState, clock: Clock):
    lead = make(state, clock, [no, silent])
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER and keys.LEADER not in state.keys


def test_the_token_is_the_stamp_of_the_leader_key(state: FakeState, clock: Clock):
    state.epoch = 40
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.LEADER and lead.valid()
    assert lead.token == state.keys[keys.LEADER][1] == 41


def test_a_peer_that_stands_still_does_not_hold_up_a_take_over(state: FakeState, clock: Clock):
    # The old leader itself: its vote and its promise were waited for, 0.7 and 1.5 s.
    class StandsStill(ScriptedPeer):
        async def call(self, message, timeout=1.0):
            await asyncio.sleep(timeout)

    async def take_over() -> Leadership:
        lead = make(state, clock, [yes])
        lead.peers.insert(0, StandsStill("n2", None))
        async with asyncio.timeout(0.5):
            await lead.campaign.run()
        await asyncio.sleep(0)
        return lead

    lead = asyncio.run(take_over())
    assert lead.role is Role.LEADER and lead.valid()


def test_a_leader_without_a_majority_falls_silent_before_the_promises_end(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    clock.tick(PROMISE_S * 0.98)
    assert lead.valid()
    clock.tick(PROMISE_S * 0.02)
    assert not lead.valid()


def test_validity_counts_from_sending(state: FakeState, clock: Clock):
    def slow(message):
        clock.tick(2.0)
        return yes(message)

    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    before = clock()
    lead.peers[0].answer = slow
    asyncio.run(lead.heartbeat.ping(lead.peers[0]))
    assert lead.acks["n1"] == before


def test_a_leader_whose_key_was_replaced_steps_down(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.campaign.run())
    lead.saw_key({"node": "n2"}, lead.token + 5)
    assert lead.role is Role.FOLLOWER and not lead.valid()


def test_a_lost_race_for_the_key_is_no_leadership(state: FakeState, clock: Clock):
    def racer(message):
        if message["t"] == "vote":
            state.epoch += 1
            state.keys[keys.LEADER] = ({"node": "n2"}, state.epoch)
        return yes(message)

    lead = make(state, clock, [racer, yes])
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER


def test_a_restarted_node_replaces_its_earlier_self_at_once(state: FakeState, clock: Clock):
    state.epoch = 3
    state.keys[keys.LEADER] = ({"node": "n0"}, 3)
    lead = make(state, clock, [yes, yes])
    lead.promise.started = clock()
    lead.saw_key({"node": "n0"}, 3)
    assert lead.campaign.may_begin()
    lead.saw_key({"node": "n1"}, 4)
    assert not lead.campaign.may_begin()


def test_nodes_that_do_not_reach_each_other_are_led_by_the_hold_alone(state: FakeState, clock: Clock):
    """A packet filter between the nodes left everything else working, and nobody led for a whole day."""
    lead = make(state, clock, [silent, silent])
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER, "those who may reach each other come first"
    clock.tick(ALONE_S + 1)
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.LEADER and lead.mode is Mode.HOLD and lead.valid()
    clock.tick(SHORT_HOLD_S)
    assert not lead.valid()


def test_a_peer_that_answers_prevents_leading_alone(state: FakeState, clock: Clock):
    lead = make(state, clock, [no, silent])
    clock.tick(60.0)
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER


def test_a_leader_by_hold_is_not_replaced_before_its_key_is_gone(state: FakeState, clock: Clock):
    state.epoch = 9
    state.keys[keys.LEADER] = ({"node": "n2", "mode": "hold"}, 9)
    lead = make(state, clock, [yes, yes])
    lead.saw_key(*state.keys[keys.LEADER])
    clock.tick(60.0)
    assert not lead.campaign.may_begin()
    # Also when this node had only known of an older key.
    lead.saw_key({"node": "n2"}, 9)
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER and state.keys[keys.LEADER][1] == 9


def test_a_leader_without_majority_removes_its_key(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    clock.tick(LONELY_S + 0.5)
    asyncio.run(lead.handover.look_after(clock(), True))
    assert lead.role is Role.FOLLOWER and keys.LEADER not in state.keys


def test_in_an_outage_nobody_resigns_to_a_peer_that_is_as_badly_off(state: FakeState, clock: Clock):
    def deaf(message):
        return {"ok": True, "sok": False, "top": 0}

    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.campaign.run())
    for p in lead.peers:
        p.answer = deaf
    state.mode, state.bad_since = "down", clock()
    for _ in range(4):
        clock.tick(1.0)
        asyncio.run(lead.heartbeat.ping(lead.peers[0]))
        asyncio.run(lead.heartbeat.ping(lead.peers[1]))
        asyncio.run(lead.handover.look_after(clock(), False))
    assert lead.valid()


def test_a_leader_refuses_to_vote(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.campaign.run())
    assert not lead.handle({"t": "vote", "n": "n1"})["ok"]


@pytest.mark.parametrize("message", [{}, {"t": "ping"}, {"t": "ping", "n": 3}, {"t": "release", "n": "n1", "tok": "x"}])
def test_nonsense_from_a_peer_is_survived(state: FakeState, clock: Clock, message):
    assert "ok" in make(state, clock, [yes, yes]).handle(message)


# -- what a node may conclude from the leader key ----------------------------------------------------


def test_a_late_answer_that_the_key_is_absent_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    """A read from before the key was written is answered after the watch has told of the key."""
    lead = make(state, clock, [yes, yes])
    lead.saw_key({"node": "n1"}, 12)
    lead.saw_key({}, 0, 11)
    assert lead.key.stamp == 12 and not lead.key.unfenced(lead.me)
    lead.saw_key({}, 0, 13)
    assert lead.key.stamp == 0 and lead.key.unfenced(lead.me)
    lead.saw_key({"node": "n0"}, 12)
    assert lead.key.stamp == 0, "nor does a late answer undo that the key is gone"


def test_a_probe_that_is_answered_late_does_not_undo_a_newer_key(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    state.epoch = 11

    async def read(key):
        lead.saw_key({"node": "n1"}, 12)
        lead.probe_now.clear()
        state.last_ok = clock()
        return KeyState(None, 0, 11)

    async def probe():
        state.read = read
        lead.probe_now.set()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await lead.probe_loop()

    asyncio.run(probe())
    assert lead.key.stamp == 12


# -- votes and promises while a key is replaced -------------------------------------------------------


def test_who_voted_to_replace_a_key_never_supports_its_leader_again(promise: Promise, clock: Clock):
    """The candidate's write may be carried out after any time; the vote itself ends after VOTE_S."""
    promise.renew("n1", 7)
    clock.tick(PROMISE_S + 0.01)
    assert promise.vote("n2", replaces=7)
    clock.tick(VOTE_S + 0.01)
    assert not promise.renew("n1", 7)
    assert promise.renew("n2", 8)


def test_a_candidate_that_wrote_nothing_lets_the_former_leader_be_supported(promise: Promise, clock: Clock):
    promise.vote("n2", replaces=7, campaign=21)
    clock.tick(VOTE_S + 0.01)
    promise.vote("n0", replaces=7, campaign=1)
    clock.tick(VOTE_S + 0.01)
    promise.not_replaced("n2", 21)
    assert not promise.renew("n1", 7), "another candidate may still replace it"
    promise.not_replaced("n0", 2)
    assert not promise.renew("n1", 7), "it speaks of another campaign"
    promise.not_replaced("n0", 1)
    assert promise.renew("n1", 7)


def test_that_nothing_was_written_is_not_believed_of_a_later_campaign(promise: Promise, clock: Clock):
    """The first campaign failed for certain and said so, late; the write of the second may still be carried out."""
    promise.vote("n2", replaces=7, campaign=21)
    clock.tick(VOTE_S + 0.01)
    promise.vote("n2", replaces=7, campaign=22)
    clock.tick(VOTE_S + 0.01)
    promise.not_replaced("n2", 21)
    assert not promise.renew("n1", 7)


def unwritten(lead: Leadership) -> list[object]:
    return [m["unwritten"] for p in lead.peers for m in p.calls if "unwritten" in m]


@pytest.mark.parametrize("mode", ["lost", "ghost"])
def test_a_write_without_an_answer_leaves_the_former_leader_without_support(state: FakeState, clock: Clock, mode):
    state.epoch = 7
    state.keys[keys.LEADER] = ({"node": "n1"}, 7)
    lead = make(state, clock, [yes, silent])
    lead.saw_key(*state.keys[keys.LEADER])
    clock.tick(PROMISE_S * 2)
    commit = state.commit

    async def unanswered(*args, **options):
        state.mode = mode
        try:
            return await commit(*args, **options)
        finally:
            state.mode = "ok"

    state.commit = unanswered

    async def campaign():
        await lead.campaign.run()
        await asyncio.sleep(0.01)

    asyncio.run(campaign())
    clock.tick(VOTE_S + 0.01)
    assert lead.role is Role.FOLLOWER and unwritten(lead) == []
    assert not lead.promise.renew("n1", 7)
    assert "drop" in state.requests, "once its hold has ended the write can't happen any more"
    # The next campaign fails for certain, but the first write may still be on its way.
    state.commit, state.mode = refused, "ok"
    lead.next_try = 0.0
    state.keys[keys.LEADER] = ({"node": "n1"}, 7)
    asyncio.run(lead.campaign.run())
    assert unwritten(lead) == [] and not lead.promise.renew("n1", 7)


async def refused(*args, **options):
    raise Refused("503")


@pytest.mark.parametrize("answers", [[no, silent], [yes, silent]])
def test_a_candidate_that_fails_for_certain_says_so(state: FakeState, clock: Clock, answers):
    """Too few votes, or a write that was refused."""
    state.epoch = 7
    state.keys[keys.LEADER] = ({"node": "n1"}, 7)
    lead = make(state, clock, answers)
    lead.saw_key(*state.keys[keys.LEADER])
    clock.tick(PROMISE_S * 2)
    state.commit = refused

    async def campaign():
        await lead.campaign.run()
        await asyncio.sleep(0.01)

    asyncio.run(campaign())
    asked = [m for p in lead.peers for m in p.calls if m["t"] == "vote"]
    assert [m["replaces"] for m in asked] == [7, 7]
    assert unwritten(lead) == [m["campaign"] for m in asked]
    clock.tick(VOTE_S + 0.01)
    assert lead.promise.renew("n1", 7)


def test_a_leader_that_a_voter_never_supports_again_takes_a_new_token(state: FakeState, clock: Clock):
    """The voter would count it as unheard for as long as it led with that token."""
    lead = make(state, clock, [yes, yes])
    asyncio.run(lead.campaign.run())
    before = lead.token
    lead.peers[0].answer = (
        lambda message: {"ok": True, "top": 0}
        if message.get("tok") != before
        else {"ok": False, "top": 0, "replaced": True}
    )
    asyncio.run(lead.heartbeat.ping(lead.peers[0]))
    assert lead.role is Role.FOLLOWER and lead.campaign.may_begin()
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.LEADER and lead.token > before


def test_a_leader_whose_own_promise_is_with_another_node_is_not_valid(state: FakeState, clock: Clock):
    """Its vote for itself had ended while the key was written; for up to a second two nodes were valid."""
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    assert lead.valid()
    lead.promise.holder = "n1"
    assert not lead.valid()


def test_a_leader_whose_own_promise_has_ended_is_not_valid(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, silent])
    asyncio.run(lead.campaign.run())
    lead.promise.until = clock()
    assert not lead.valid()


def test_a_key_from_a_late_write_of_one_s_own_does_not_prove_that_nobody_leads(state: FakeState, clock: Clock):
    """The former leader may have its promises again; a node cut off from its peers took over at once."""
    lead = make(state, clock, [silent, silent])
    state.epoch = 9
    state.keys[keys.LEADER] = ({"node": "n0", "incarnation": lead.incarnation}, 9)
    clock.tick(60.0)
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.FOLLOWER and state.keys[keys.LEADER][1] == 9
    assert all(m["dead"] is False for p in lead.peers for m in p.calls if m["t"] == "vote")
    # An earlier process's key does.
    state.keys[keys.LEADER] = ({"node": "n0", "incarnation": lead.incarnation + 1}, 9)
    lead.next_try = 0.0
    asyncio.run(lead.campaign.run())
    assert lead.role is Role.LEADER and lead.mode is Mode.HOLD


def test_a_restarted_voter_does_not_take_a_late_key_for_that_of_an_earlier_process(clock: Clock):
    promise = Promise("n2", clock)
    promise.seen_key = ("n0", 9)
    assert not promise.vote("n0", replaces=9, dead=False)
    assert promise.vote("n0", replaces=9)


def test_a_restarted_voter_hears_that_a_key_proves_nothing(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    lead.promise.started = clock()
    lead.saw_key({"node": "n1"}, 9)
    assert not lead.handle({"t": "vote", "n": "n1", "replaces": 9, "dead": False})["ok"]
    assert lead.handle({"t": "vote", "n": "n1"})["ok"], "older programs don't say"


def test_a_vote_is_asked_with_what_it_replaces(state: FakeState, clock: Clock):
    lead = make(state, clock, [yes, yes])
    clock.tick(PROMISE_S * 2)
    assert lead.handle({"t": "vote", "n": "n1", "replaces": 7, "campaign": 31})["ok"]
    clock.tick(VOTE_S + 0.01)
    answer = lead.handle({"t": "ping", "n": "n2", "tok": 7})
    assert not answer["ok"] and answer["replaced"]
    lead.handle({"t": "release", "n": "n1", "unwritten": 7})
    assert not lead.handle({"t": "ping", "n": "n2", "tok": 7})["ok"]
    lead.handle({"t": "release", "n": "n1", "unwritten": 31})
    assert lead.handle({"t": "ping", "n": "n2", "tok": 7})["ok"]


def test_a_leader_that_was_not_valid_for_a_while_says_so(state: FakeState, clock: Clock):
    """Another node may have answered workers meanwhile, so their leases count from when it is valid again."""
    lead, lapses = make(state, clock, [yes, silent]), []
    asyncio.run(lead.campaign.run())
    lead.on_lapse = lambda: lapses.append(clock())
    clock.tick(PROMISE_S * 0.9)
    lead.promise.renew("n0", lead.token)
    asyncio.run(lead.heartbeat.ping(lead.peers[0]))
    assert lead.valid() and lapses == []
    clock.tick(PROMISE_S)
    lead.promise.renew("n0", lead.token)
    asyncio.run(lead.heartbeat.ping(lead.peers[0]))
    assert lead.valid() and lapses == [clock()]


def test_a_renewed_hold_or_own_promise_after_a_lapse_says_so_too(state: FakeState, clock: Clock):
    lead, lapses = make(state, clock, [yes, silent]), []
    asyncio.run(lead.campaign.run())
    lead.on_lapse = lambda: lapses.append(clock())
    lead.hold_until = clock()
    clock.tick(10.0)
    lead.acks["n1"] = clock()
    lead.promise.until = clock() + PROMISE_S
    asyncio.run(lead._renew_hold(clock()))
    assert lapses == [clock()] and lead.valid()
    lead.promise.until = clock()

    async def one_turn():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.01):
                await lead.heartbeat.run()

    asyncio.run(one_turn())
    assert lapses == [clock(), clock()] and lead.valid()
