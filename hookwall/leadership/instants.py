"""Two instants outside the range of every clock, so that comparisons of deadlines need no special case."""

import math

DISTANT_PAST = -math.inf  # the time of an event that has not happened, or a deadline that has passed
DISTANT_FUTURE = math.inf
