"""What is assumed of clocks and timers, wherever one node's time has to cover another's."""

DRIFT = 0.002  # twice the drift between two clocks, and some more
SLACK_S = 0.05  # timers fire in steps
