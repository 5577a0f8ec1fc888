"""The stored value of a lease delegate's key: the machines whose leases the node renews, in one of three forms.

Invariant: a value that can't be decoded stands for any machine, so that no lease that a follower renews counts as
expired.
"""

import logging
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from hookwall.storage import compression
from hookwall.storage.errors import MalformedRecordError
from hookwall.storage.job_records import json_bytes
from hookwall.workers import name_codec

log = logging.getLogger(__name__)

# Stored field names.
_FENCING_TOKEN = "token"
_MACHINES = "machines"
_PACKED = "packed"
_NUMBERED = "numbered"


class NameForm(Enum):
    """The most compact form of machine names that all nodes can read. Lists that fit in plain form stay plain."""

    PLAIN = "plain"
    PACKED = "packed"
    NUMBERED = "numbered"


class EncodedDelegation(NamedTuple):
    """A value within the size limit, and the machines that it names."""

    value: dict[str, object]
    machines: list[str]


def encode_machines(fencing_token: int, machines: Sequence[str], form: NameForm, max_bytes: int) -> EncodedDelegation:
    """Encode the machine names; drop names from the end of the list until the value fits into `max_bytes`."""
    names = list(machines)
    value = _encode_if_fits(fencing_token, names, form, max_bytes)
    while value is None:
        del names[len(names) * 3 // 4 :]
        value = _encode_if_fits(fencing_token, names, form, max_bytes)
    if len(names) < len(machines):
        log.error("lease delegation truncated to the value limit: named=%d requested=%d", len(names), len(machines))
    return EncodedDelegation(value, names)


def _encode_if_fits(fencing_token: int, names: list[str], form: NameForm, max_bytes: int) -> dict[str, object] | None:
    """Return the names in plain form if that fits into `max_bytes`, else in `form` if that fits, else None."""
    value: dict[str, object] = {_FENCING_TOKEN: fencing_token, _MACHINES: names}
    if json_bytes(value) <= max_bytes:
        return value
    if form is NameForm.PLAIN:
        return None
    if form is NameForm.NUMBERED:
        value = {_FENCING_TOKEN: fencing_token, _NUMBERED: name_codec.encode(names)}
    else:
        value = {_FENCING_TOKEN: fencing_token, _PACKED: compression.compress(names)}
    return value if json_bytes(value) <= max_bytes else None


def decode_machines(value: object) -> frozenset[str] | None:
    """Return the machines that a stored value names, or None, which stands for any machine, if it is malformed."""
    if not isinstance(value, dict):
        log.error("malformed lease delegation: reason=not an object")
        return None
    names = value.get(_MACHINES)
    try:
        if isinstance(value.get(_PACKED), str):
            names = compression.decompress(value[_PACKED], list[str])
        elif _NUMBERED in value:
            names = name_codec.decode(value[_NUMBERED])
    except MalformedRecordError as error:
        log.error("malformed lease delegation: reason=%s", error)
        return None
    if not isinstance(names, list):
        log.error("malformed lease delegation: reason=no list of machines")
        return None
    return frozenset(str(name) for name in names)
