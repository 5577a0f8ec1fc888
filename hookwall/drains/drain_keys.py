"""Construction and recognition of the stored keys of drains, in one place."""

from hookwall.storage import keys

PREFIXES = (keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX)


def is_drain_key(key: str) -> bool:
    """Whether a key belongs to a drain, to a cordoned machine or to the disruption ledger."""
    return key.startswith(PREFIXES)


def drain_key(name: str) -> str:
    """The key of a drain."""
    return keys.DRAIN_PREFIX + name


def step_key(machine: str) -> str:
    """The key of a machine's step."""
    return keys.CORDON_PREFIX + machine


def page_key(page: int) -> str:
    """The key of a page of the disruption ledger."""
    return f"{keys.DISRUPTION_PREFIX}{page}"


def page_number(key: str) -> int | None:
    """The number of the ledger page that is stored under a key; None for any other key."""
    number = key.removeprefix(keys.DISRUPTION_PREFIX)
    return int(number) if key.startswith(keys.DISRUPTION_PREFIX) and number.isdigit() else None
