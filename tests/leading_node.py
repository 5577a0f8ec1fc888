"""The old place of `harness.leading_node`."""

from harness.leading_node import leading as leading
from harness.leading_node import report as report
