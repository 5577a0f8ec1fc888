"""Random histories of failures, drawn from fixed seeds so that every run plays the same ones.

`tests/histories.py`, `tests/pipeline_histories.py` and `tests/drain_histories.py` describe what they check.
"""

import drain_histories
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
