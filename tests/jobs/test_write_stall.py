"""Remedies of a leader whose transactions are all refused."""

import logging

import pytest
from harness.fake_clock import FakeClock

from hookwall.jobs.write_stall import (
    FULL_READ_AFTER_S,
    LONGEST_PAUSE_S,
    MIN_REFUSALS,
    RESIGN_AFTER_S,
    StallRemedy,
    WriteStallMonitor,
)

KEY = "hookwall/keep/n1"
INTERVAL_S = 0.25


@pytest.fixture
def monitor(clock: FakeClock) -> WriteStallMonitor:
    return WriteStallMonitor(clock)


def refuse_for(monitor: WriteStallMonitor, clock: FakeClock, duration_s: float, interval_s: float = INTERVAL_S):
    """Refuse a transaction every `interval_s`; return the remedies with the time at which each was due."""
    began_at = clock()
    due: list[tuple[float, StallRemedy]] = []
    while clock() <= began_at + duration_s:
        remedy = monitor.record_refusal([KEY])
        if remedy is not StallRemedy.NONE:
            due.append((clock() - began_at, remedy))
        clock.advance(interval_s)
    return due


def test_a_leader_reads_all_keys_again_and_then_resigns(
    monitor: WriteStallMonitor, clock: FakeClock, caplog: pytest.LogCaptureFixture
):
    assert refuse_for(monitor, clock, RESIGN_AFTER_S) == [
        (FULL_READ_AFTER_S, StallRemedy.FULL_READ),
        (RESIGN_AFTER_S, StallRemedy.RESIGN),
    ]
    errors = [record.getMessage() for record in caplog.records if record.levelno == logging.ERROR]
    assert len(errors) == 2 and all(
        line.startswith("leader stores nothing: ") and f"keys={KEY}" in line for line in errors
    )


def test_a_transaction_that_is_executed_ends_the_stall(
    monitor: WriteStallMonitor, clock: FakeClock, caplog: pytest.LogCaptureFixture
):
    for _ in range(10):
        assert not refuse_for(monitor, clock, FULL_READ_AFTER_S - 2 * INTERVAL_S)
        monitor.record_success()
    assert not caplog.records
    refuse_for(monitor, clock, FULL_READ_AFTER_S)
    monitor.record_success()
    assert caplog.messages[-1].startswith("leader stores again: ")


def test_single_refusals_far_apart_are_no_stall(monitor: WriteStallMonitor, clock: FakeClock):
    """Guards against the resignation of a leader that seldom has something to store."""
    assert not refuse_for(monitor, clock, 10 * RESIGN_AFTER_S, interval_s=LONGEST_PAUSE_S + 0.1)


def test_a_few_slow_refusals_are_no_stall(monitor: WriteStallMonitor, clock: FakeClock):
    interval_s = LONGEST_PAUSE_S - 0.1
    assert not refuse_for(monitor, clock, (MIN_REFUSALS - 2) * interval_s, interval_s)


def test_the_next_leadership_of_the_node_begins_without_a_stall(monitor: WriteStallMonitor, clock: FakeClock):
    refuse_for(monitor, clock, RESIGN_AFTER_S)
    assert refuse_for(monitor, clock, FULL_READ_AFTER_S) == [(FULL_READ_AFTER_S, StallRemedy.FULL_READ)]
