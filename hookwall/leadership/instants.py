"""Two instants outside every clock, so that deadlines compare without a special case."""

import math

NEVER = -math.inf  # has not happened; a deadline that has passed
FOREVER = math.inf
