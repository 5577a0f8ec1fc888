"""What is assumed of clocks and timers, wherever one node's time has to cover another's."""

MAX_CLOCK_DRIFT = 0.002  # seconds a second: twice the drift between two clocks, and some more
TIMER_SLACK_S = 0.05  # timers fire in steps
