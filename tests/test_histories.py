"""Random histories of overlapping troubles, the same in each run: `tests/histories.py` says what is checked."""

import pytest
from histories import broken_by

SEEDS = range(48)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_history_breaks_an_invariant(seed):
    _, broken, log = broken_by(seed, quiet=False)
    assert not broken, log
