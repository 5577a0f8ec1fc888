"""The stored keys of drains, in the one place where they are put together and recognised."""

from hookwall.storage import keys

PREFIXES = (keys.DRAIN_PREFIX, keys.CORDON_PREFIX, keys.DISRUPTION_PREFIX)


def is_drain_key(key: str) -> bool:
    """Whether a key belongs to a drain, to a cordoned machine or to the disruption ledger."""
    return key.startswith(PREFIXES)


def drain_key(name: str) -> str:
    """Where a drain is stored."""
    return keys.DRAIN_PREFIX + name


def step_key(machine: str) -> str:
    """Where the step of a machine is stored."""
    return keys.CORDON_PREFIX + machine


def page_key(page: int) -> str:
    """Where a page of the disruption ledger is stored."""
    return f"{keys.DISRUPTION_PREFIX}{page}"


def page_number(key: str) -> int | None:
    """The number of the ledger's page that a key stores; None for any other key."""
    number = key.removeprefix(keys.DISRUPTION_PREFIX)
    return int(number) if key.startswith(keys.DISRUPTION_PREFIX) and number.isdigit() else None
