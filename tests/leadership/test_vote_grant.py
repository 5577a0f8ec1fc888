"""Votes and quorum leases: a node grants them to one leader or candidate at a time."""

import pytest
from conftest import FakeClock

from hookwall.leadership.vote_grant import QUORUM_LEASE_S, VOTE_GRANT_S, ObservedLeaderKey, VoteGrant


@pytest.fixture
def grant(clock: FakeClock) -> VoteGrant:
    grant = VoteGrant("n0", clock)
    clock.advance(QUORUM_LEASE_S * 2)
    return grant


def test_a_grant_excludes_other_nodes_until_it_expires(grant: VoteGrant, clock: FakeClock):
    assert grant.renew_lease("n1", 7)
    assert not grant.grant_vote("n2") and not grant.renew_lease("n2", 8)
    clock.advance(QUORUM_LEASE_S + 0.01)
    assert grant.grant_vote("n2")


def test_an_older_fencing_token_never_gets_a_quorum_lease_again(grant: VoteGrant, clock: FakeClock):
    assert grant.renew_lease("n1", 7)
    clock.advance(QUORUM_LEASE_S + 0.01)
    assert grant.renew_lease("n2", 8)
    clock.advance(QUORUM_LEASE_S + 0.01)
    assert not grant.renew_lease("n1", 7)


def test_a_restarted_node_grants_nothing_that_conflicts_with_a_forgotten_grant(clock: FakeClock):
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    assert not grant.grant_vote("n2"), "it may have granted n1 a lease just before it restarted"
    assert grant.grant_vote("n1"), "n1 itself asks, so the process of n1 that held the grant is gone"
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    assert not grant.renew_lease("n2", 6)
    assert grant.renew_lease("n1", 7)
    grant = VoteGrant("n0", clock)
    grant.observed_key = ObservedLeaderKey("n1", 7)
    clock.advance(QUORUM_LEASE_S * 1.1)
    assert grant.grant_vote("n2")


def test_without_a_leader_key_a_restarted_node_may_vote_at_once(clock: FakeClock):
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


def test_a_voter_for_a_replacement_never_grants_the_former_leader_a_lease_again(grant: VoteGrant, clock: FakeClock):
    """The candidate's write may be executed at any later time; the vote itself expires after VOTE_GRANT_S."""
    grant.renew_lease("n1", 7)
    clock.advance(QUORUM_LEASE_S + 0.01)
    assert grant.grant_vote("n2", replaces_version=7)
    clock.advance(VOTE_GRANT_S + 0.01)
    assert not grant.renew_lease("n1", 7)
    assert grant.renew_lease("n2", 8)


def test_an_abandoned_election_lets_the_former_leader_get_leases_again(grant: VoteGrant, clock: FakeClock):
    grant.grant_vote("n2", replaces_version=7, election_id=21)
    clock.advance(VOTE_GRANT_S + 0.01)
    grant.grant_vote("n0", replaces_version=7, election_id=1)
    clock.advance(VOTE_GRANT_S + 0.01)
    grant.clear_replacement("n2", 21)
    assert not grant.renew_lease("n1", 7), "another candidate may still replace it"
    grant.clear_replacement("n0", 2)
    assert not grant.renew_lease("n1", 7), "the message is about another election"
    grant.clear_replacement("n0", 1)
    assert grant.renew_lease("n1", 7)


def test_an_abandoned_election_does_not_clear_a_later_one(grant: VoteGrant, clock: FakeClock):
    """The late message says that the first election failed; the write of the second one may still be executed."""
    grant.grant_vote("n2", replaces_version=7, election_id=21)
    clock.advance(VOTE_GRANT_S + 0.01)
    grant.grant_vote("n2", replaces_version=7, election_id=22)
    clock.advance(VOTE_GRANT_S + 0.01)
    grant.clear_replacement("n2", 21)
    assert not grant.renew_lease("n1", 7)


def test_a_restarted_voter_does_not_mistake_a_late_key_for_that_of_an_earlier_process(clock: FakeClock):
    grant = VoteGrant("n2", clock)
    grant.observed_key = ObservedLeaderKey("n0", 9)
    assert not grant.grant_vote("n0", replaces_version=9, proves_leader_gone=False)
    assert grant.grant_vote("n0", replaces_version=9)
