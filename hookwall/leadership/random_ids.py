"""Random IDs that distinguish processes and elections, even across restarts and nodes."""

import random

RANDOM_ID_BITS = 48


def random_id() -> int:
    """Return an ID that, for all practical purposes, no other process or election has."""
    return random.SystemRandom().getrandbits(RANDOM_ID_BITS)
