"""The leader's knowledge of the leases that followers renew."""

import pytest
from conftest import FakeClock

from hookwall.workers.delegated_leases import DelegatedLeases


def test_unobserved_delegation_counts_as_renewal_for_every_machine(clock: FakeClock):
    delegated = DelegatedLeases(clock)
    delegated.record_missed_changes()
    assert delegated.last_possible_renewal("vm-9") == clock()


def test_newly_delegated_machines_are_reported(clock: FakeClock):
    reported: list[frozenset[str] | None] = []
    delegated = DelegatedLeases(clock, reported.append)
    delegated.apply_key("k", {"machines": ["vm-1"]}, 5)
    delegated.apply_key("k", {"machines": ["vm-1", "vm-2"]}, 6)
    delegated.apply_key("k", {"machines": ["vm-1"]}, 4)
    assert reported == [frozenset({"vm-1"}), frozenset({"vm-2"})]


@pytest.mark.parametrize("value", [{"packed": "no such text"}, {"machines": "vm-1"}, {}, None])
def test_malformed_delegation_stands_for_any_machine(clock: FakeClock, value):
    """A malformed value was once read as naming no machine, so leases that a follower renewed counted as expired."""
    reported: list[frozenset[str] | None] = []
    delegated = DelegatedLeases(clock, reported.append)
    delegated.apply_key("k", value, 5)
    assert delegated.is_delegated("vm-1") and reported == [None]
    clock.advance(1.0)
    delegated.apply_deletion("k")
    assert not delegated.is_delegated("vm-1") and delegated.last_possible_renewal("vm-1") == clock()
