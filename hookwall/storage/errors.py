"""Errors of the key-value store.

A rejected request was not executed; a request of unknown outcome may have been executed, or may still be executed.
"""

from hookwall.errors import HookwallError


class KeyValueStoreError(HookwallError):
    """A request to the key-value store did not return the requested result."""


class RequestRejectedError(KeyValueStoreError):
    """The store did not execute the request (503, 429), or this node's own rate limit did not let it through."""


class RequestTooLargeError(RequestRejectedError):
    """A value or a transaction exceeds the store's limits; the request was not executed."""


class OutcomeUnknownError(KeyValueStoreError):
    """The store gave no usable response: the request may have been executed, or may still be executed."""


class RevisionCompactedError(KeyValueStoreError):
    """The store no longer has the requested changes; the keys must be read again."""


class PreconditionFailedError(KeyValueStoreError):
    """A transaction was not executed because some keys had other versions.

    Attributes:
        keys: the keys that the store named; it may name only some of those that had other versions.
        revision: the revision at which the store compared the versions; 0 if the store did not state it.
    """

    def __init__(self, keys: list[str], revision: int = 0) -> None:
        """Create the error for these keys and the revision of the comparison."""
        super().__init__(f"precondition failed: keys={', '.join(keys)}")
        self.keys = keys
        self.revision = revision


class RecordError(HookwallError):
    """A stored record can't be read or written."""


class MalformedRecordError(RecordError):
    """A stored record can't be read."""


class RecordTooLargeError(RecordError):
    """The record fits the store's limits in none of its forms."""


class MissingChunksError(RecordError):
    """The record names chunks that are not available (yet).

    Attributes:
        keys: the keys of the missing chunks.
    """

    def __init__(self, keys: list[str]) -> None:
        """Create the error for the chunks with these keys."""
        super().__init__(f"chunks missing: keys={', '.join(keys)}")
        self.keys = keys
