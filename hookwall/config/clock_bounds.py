"""Assumptions about clocks and timers, used where a duration on one node's clock must cover one on another's."""

MAX_CLOCK_DRIFT = 0.002  # seconds a second: twice the drift between two clocks, plus a margin
TIMER_SLACK_S = 0.05  # timers have a limited resolution, so they may fire this late
