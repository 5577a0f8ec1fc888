"""While the leader key is replaced: a write that may be carried out late, and what voters grant meanwhile."""

import asyncio

import pytest
from conftest import Clock, FakeState
from scripted_leadership import grants, make_leadership, refuses, silent

from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, VOTE_GRANT_S
from hookwall.storage import keys
from hookwall.storage.errors import RequestRejectedError


def abandoned_elections(lead: Leadership) -> list[object]:
    return [m["unwritten"] for p in lead.peers for m in p.calls if "unwritten" in m]


@pytest.mark.parametrize("mode", ["lost", "ghost"])
def test_a_write_without_a_response_leaves_the_former_leader_without_lease(state: FakeState, clock: Clock, mode):
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make_leadership(state, clock, [grants, silent])
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


@pytest.mark.parametrize("responses", [[refuses, silent], [grants, silent]])
def test_a_candidate_that_certainly_failed_announces_it(state: FakeState, clock: Clock, responses):
    """Too few votes, or a write that was rejected."""
    state.epoch = 7
    state.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    lead = make_leadership(state, clock, responses)
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
    lead = make_leadership(state, clock, [grants, grants])
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
    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    assert lead.valid()
    lead.vote_grant.holder = "n1"
    assert not lead.valid()


def test_a_leader_whose_own_quorum_lease_has_expired_is_not_valid(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, silent])
    asyncio.run(lead.election.run_once())
    lead.vote_grant.expires_at = clock()
    assert not lead.valid()


def test_an_own_key_from_a_late_write_does_not_prove_that_nobody_leads(state: FakeState, clock: Clock):
    """The former leader may have its quorum leases again; a node cut off from its peers led at once."""
    lead = make_leadership(state, clock, [silent, silent])
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


def test_a_restarted_voter_rejects_a_key_that_proves_nothing(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, grants])
    lead.vote_grant.started_at = clock()
    lead.observe_leader_key({"node": "n1"}, 9)
    assert not lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 9, "dead": False})["ok"]
    assert lead.handle_peer_message({"t": "vote", "n": "n1"})["ok"], "older programs don't report that"


def test_a_vote_request_names_the_version_that_it_replaces(state: FakeState, clock: Clock):
    lead = make_leadership(state, clock, [grants, grants])
    clock.tick(QUORUM_LEASE_S * 2)
    assert lead.handle_peer_message({"t": "vote", "n": "n1", "replaces": 7, "campaign": 31})["ok"]
    clock.tick(VOTE_GRANT_S + 0.01)
    response = lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})
    assert not response["ok"] and response["replaced"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 7})
    assert not lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
    lead.handle_peer_message({"t": "release", "n": "n1", "unwritten": 31})
    assert lead.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
