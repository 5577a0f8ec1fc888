"""The former location of `harness.leading_node`, for tests that import it by this name."""

from harness.leading_node import leading as leading
from harness.leading_node import report as report
