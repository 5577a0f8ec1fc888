"""Keys as read, compared and written: the arguments and results of requests to the key-value store.

A *version* is the revision at which a key was last written; 0 stands for a key that is absent. A *revision* counts the
changes of the whole store, so versions of all keys are comparable.
"""

from dataclasses import dataclass
from typing import NamedTuple


class Precondition(NamedTuple):
    """A transaction is executed only if the key has this version, or, for version 0, only if the key is absent."""

    key: str
    version: int


class Put(NamedTuple):
    """A key to be written with this value."""

    key: str
    value: object


class StoredValue(NamedTuple):
    """A key's value and version."""

    value: object
    version: int


class KeyValueEntry(NamedTuple):
    """A key as it was read, or as a change has set it."""

    key: str
    value: object
    version: int


class DeletedKey(NamedTuple):
    """A key that was deleted at this revision."""

    key: str
    revision: int


class ScanResult(NamedTuple):
    """All keys below a prefix. A watch that starts at this revision misses no later change."""

    entries: list[KeyValueEntry]
    revision: int


class ChangeBatch(NamedTuple):
    """Changes in the order in which they happened, and the revision up to which the batch is complete."""

    changes: list[KeyValueEntry | DeletedKey]
    revision: int


@dataclass(slots=True, frozen=True)
class VersionedValue:
    """A key as read: its value and version, or version 0 if the key was absent at this revision."""

    value: object
    version: int
    revision: int
