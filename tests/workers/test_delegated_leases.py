"""What the leader knows of the leases that followers renew."""

import pytest
from conftest import Clock

from hookwall.workers.delegated_leases import DelegatedLeases


def test_a_key_that_came_and_went_unseen_counts_for_every_machine(clock: Clock):
    delegated = DelegatedLeases(clock)
    delegated.record_missed_changes()
    assert delegated.last_possible_renewal("vm-9") == clock()


def test_machines_that_a_key_names_anew_are_passed_on(clock: Clock):
    named: list[frozenset[str] | None] = []
    delegated = DelegatedLeases(clock, named.append)
    delegated.apply_key("k", {"machines": ["vm-1"]}, 5)
    delegated.apply_key("k", {"machines": ["vm-1", "vm-2"]}, 6)
    delegated.apply_key("k", {"machines": ["vm-1"]}, 4)
    assert named == [frozenset({"vm-1"}), frozenset({"vm-2"})]


@pytest.mark.parametrize("value", [{"packed": "no such text"}, {"machines": "vm-1"}, {}, None])
def test_a_key_that_can_t_be_read_stands_for_any_machine(clock: Clock, value):
    """It was read as naming none, so leases that a follower renewed counted as expired."""
    named: list[frozenset[str] | None] = []
    delegated = DelegatedLeases(clock, named.append)
    delegated.apply_key("k", value, 5)
    assert delegated.is_delegated("vm-1") and named == [None]
    clock.tick(1.0)
    delegated.apply_key("k", None, 0)
    assert not delegated.is_delegated("vm-1") and delegated.last_possible_renewal("vm-1") == clock()
