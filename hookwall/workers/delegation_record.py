"""The value of a lease delegate's key: the machines whose leases the node renews, in three forms.

Invariant: what can't be read stands for any machine, so that no lease that a follower renews counts as expired.
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
    """The most compact form of machine names that all nodes read. Short lists stay plain in each."""

    PLAIN = "plain"
    PACKED = "packed"
    NUMBERED = "numbered"


class EncodedDelegation(NamedTuple):
    """A value that fits, and the machines that it names."""

    value: dict[str, object]
    machines: list[str]


def encode_machines(fencing_token: int, machines: Sequence[str], form: NameForm, max_bytes: int) -> EncodedDelegation:
    """The value that names the machines; where it would exceed `max_bytes`, as many of the first ones as fit."""
    names = list(machines)
    value = _encode_all(fencing_token, names, form, max_bytes)
    while value is None:
        del names[len(names) * 3 // 4 :]
        value = _encode_all(fencing_token, names, form, max_bytes)
    if len(names) < len(machines):
        log.error("lease delegation truncated to the value limit: named=%d requested=%d", len(names), len(machines))
    return EncodedDelegation(value, names)


def _encode_all(fencing_token: int, names: list[str], form: NameForm, max_bytes: int) -> dict[str, object] | None:
    """The first form that is small enough, or None."""
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
    """The machines that a stored value names; None, which stands for any, where that can't be read."""
    if not isinstance(value, dict):
        log.error("malformed lease delegation reason=not an object")
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
        log.error("malformed lease delegation reason=no machines")
        return None
    return frozenset(str(name) for name in names)
