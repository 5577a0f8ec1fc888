"""Assumptions about clocks and timers, used where a duration on one node's clock must cover one on another's.

Times of events are seconds on the clock of one node.
"""

MAX_CLOCK_DRIFT = 0.002  # seconds a second: twice the drift between two clocks, plus a margin
TIMER_SLACK_S = 0.05  # timers have a limited resolution, so they may fire this late
DISTANT_PAST = -1e9  # earlier than any time of a clock: the time of an event that has not happened
