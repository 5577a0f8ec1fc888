"""Random histories of failures, drawn from fixed seeds so that every run plays the same ones.

The modules `histories`, `pipeline_histories`, `drain_histories`, `failover_histories` and `mixed_histories` beside this
folder describe what they check.
"""

import drain_histories
import failover_histories
import mixed_histories
import pipeline_histories
import pytest
from histories import violations_of_seed

SEEDS = range(48)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_history_breaks_an_invariant(seed):
    _, violations, log = violations_of_seed(seed, quiet=False)
    assert not violations, log


@pytest.mark.parametrize("seed", range(20))
def test_no_history_of_pipelines_and_upgrades_breaks_a_rule(seed):
    _, violations, log = pipeline_histories.violations_of_seed(seed, quiet=False)
    assert not violations, log


@pytest.mark.parametrize("seed", [*range(40), 1000, 1081])
def test_no_history_of_drains_breaks_a_rule_or_a_budget(seed):
    _, violations, log = drain_histories.violations_of_seed(seed, quiet=False)
    assert not violations, log


# Seeds that met a wrong state of a key before the states were ordered (`storage/key_order`), and a few others.
FAILOVER_SEEDS = [*range(8), 27, 28, 30, 81, 82]


@pytest.mark.parametrize("seed", FAILOVER_SEEDS)
def test_no_history_of_failovers_leaves_a_node_with_a_wrong_state_of_a_key(seed):
    _, violations, log = failover_histories.violations_of_seed(seed, quiet=False)
    assert not violations, log


@pytest.mark.parametrize("seed", [*range(24), 73, 308])
def test_no_history_of_late_results_copies_and_long_fetches_breaks_a_rule(seed):
    _, violations, log = mixed_histories.violations_of_seed(seed, quiet=False)
    assert not violations, log
