"""Replacement of the leader key: writes that may be executed late, and what voters grant in the meantime."""

import asyncio

import pytest
from conftest import FakeClock, ScriptedStore
from scripted_leadership import grants, make_leadership, refuses, silent

from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.vote_grant import QUORUM_LEASE_S, VOTE_GRANT_S
from hookwall.storage import keys
from hookwall.storage.errors import RequestRejectedError


def abandoned_elections(leadership: Leadership) -> list[object]:
    return [m["unwritten"] for p in leadership.peers for m in p.calls if "unwritten" in m]


@pytest.mark.parametrize("mode", ["request_lost", "response_lost"])
def test_after_a_write_without_a_response_the_former_leader_gets_no_lease(store: ScriptedStore, clock: FakeClock, mode):
    store.revision = 7
    store.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    leadership = make_leadership(store, clock, [grants, silent])
    leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    clock.advance(QUORUM_LEASE_S * 2)
    commit = store.commit

    async def without_response(*args, **options):
        store.mode = mode
        try:
            return await commit(*args, **options)
        finally:
            store.mode = "ok"

    store.commit = without_response

    async def hold_election():
        await leadership.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(hold_election())
    clock.advance(VOTE_GRANT_S + 0.01)
    assert leadership.role is Role.FOLLOWER and abandoned_elections(leadership) == []
    assert not leadership.vote_grant.renew_lease("n1", 7)
    assert "drop" in store.requests, "once its session lease has ended, the write can't be executed any more"
    # The next election certainly fails, but the first write may still be in flight.
    store.commit, store.mode = reject, "ok"
    leadership.next_election_at = 0.0
    store.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    asyncio.run(leadership.election.run_once())
    assert abandoned_elections(leadership) == [] and not leadership.vote_grant.renew_lease("n1", 7)


async def reject(*args, **options):
    raise RequestRejectedError("503")


@pytest.mark.parametrize("responses", [[refuses, silent], [grants, silent]])
def test_a_candidate_announces_an_election_that_certainly_failed(store: ScriptedStore, clock: FakeClock, responses):
    """The election fails for lack of votes or because its write is rejected."""
    store.revision = 7
    store.keys[keys.LEADER_KEY] = ({"node": "n1"}, 7)
    leadership = make_leadership(store, clock, responses)
    leadership.observe_leader_key(*store.keys[keys.LEADER_KEY])
    clock.advance(QUORUM_LEASE_S * 2)
    store.commit = reject

    async def hold_election():
        await leadership.election.run_once()
        await asyncio.sleep(0.01)

    asyncio.run(hold_election())
    vote_requests = [m for p in leadership.peers for m in p.calls if m["t"] == "vote"]
    assert [m["replaces"] for m in vote_requests] == [7, 7]
    assert abandoned_elections(leadership) == [m["campaign"] for m in vote_requests]
    clock.advance(VOTE_GRANT_S + 0.01)
    assert leadership.vote_grant.renew_lease("n1", 7)


def test_a_leader_that_a_voter_refuses_permanently_gets_a_new_fencing_token(store: ScriptedStore, clock: FakeClock):
    """The voter would refuse to grant it leases for as long as it led with its old token."""
    leadership = make_leadership(store, clock, [grants, grants])
    asyncio.run(leadership.election.run_once())
    before = leadership.fencing_token
    leadership.peers[0].response = (
        lambda message: {"ok": True, "top": 0}
        if message.get("tok") != before
        else {"ok": False, "top": 0, "replaced": True}
    )
    asyncio.run(leadership.peer_heartbeat.send(leadership.peers[0]))
    assert leadership.role is Role.FOLLOWER and leadership.election.may_start()
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.LEADER and leadership.fencing_token > before


def test_a_leader_that_granted_its_lease_to_another_node_is_not_valid(store: ScriptedStore, clock: FakeClock):
    """When its vote for itself had expired during the write of the key, two nodes were valid for up to a second."""
    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    assert leadership.valid()
    leadership.vote_grant.holder = "n1"
    assert not leadership.valid()


def test_a_leader_whose_own_quorum_lease_has_expired_is_not_valid(store: ScriptedStore, clock: FakeClock):
    leadership = make_leadership(store, clock, [grants, silent])
    asyncio.run(leadership.election.run_once())
    leadership.vote_grant.expires_at = clock()
    assert not leadership.valid()


def test_a_late_write_of_the_own_key_does_not_prove_that_no_node_leads(store: ScriptedStore, clock: FakeClock):
    """A node that reached no peer led immediately, although the former leader may have regained its quorum leases."""
    leadership = make_leadership(store, clock, [silent, silent])
    store.revision = 9
    store.keys[keys.LEADER_KEY] = ({"node": "n0", "incarnation": leadership.incarnation}, 9)
    clock.advance(60.0)
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.FOLLOWER and store.keys[keys.LEADER_KEY][1] == 9
    assert all(m["dead"] is False for p in leadership.peers for m in p.calls if m["t"] == "vote")
    # A key written by an earlier process does prove it.
    store.keys[keys.LEADER_KEY] = ({"node": "n0", "incarnation": leadership.incarnation + 1}, 9)
    leadership.next_election_at = 0.0
    asyncio.run(leadership.election.run_once())
    assert leadership.role is Role.LEADER and leadership.lease_mode is LeaseMode.SESSION_LEASE


def test_a_restarted_voter_refuses_a_candidate_that_can_not_prove_the_leader_gone(
    store: ScriptedStore, clock: FakeClock
):
    leadership = make_leadership(store, clock, [grants, grants])
    leadership.vote_grant.started_at = clock()
    leadership.observe_leader_key({"node": "n1"}, 9)
    assert not leadership.handle_peer_message({"t": "vote", "n": "n1", "replaces": 9, "dead": False})["ok"]
    assert leadership.handle_peer_message({"t": "vote", "n": "n1"})["ok"], "older programs don't report that"


def test_a_vote_blocks_leases_for_the_replaced_key_until_its_election_is_abandoned(
    store: ScriptedStore, clock: FakeClock
):
    leadership = make_leadership(store, clock, [grants, grants])
    clock.advance(QUORUM_LEASE_S * 2)
    assert leadership.handle_peer_message({"t": "vote", "n": "n1", "replaces": 7, "campaign": 31})["ok"]
    clock.advance(VOTE_GRANT_S + 0.01)
    response = leadership.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})
    assert not response["ok"] and response["replaced"]
    leadership.handle_peer_message({"t": "release", "n": "n1", "unwritten": 7})
    assert not leadership.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
    leadership.handle_peer_message({"t": "release", "n": "n1", "unwritten": 31})
    assert leadership.handle_peer_message({"t": "ping", "n": "n2", "tok": 7})["ok"]
