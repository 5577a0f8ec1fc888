"""Numbers that tell processes and elections apart, also across restarts and nodes."""

import random

RANDOM_ID_BITS = 48


def random_id() -> int:
    """A number that no other process or election has, for all practical purposes."""
    return random.SystemRandom().getrandbits(RANDOM_ID_BITS)
