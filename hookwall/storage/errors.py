"""Errors of the key-value store: rejected means not executed, unknown means that it may have been, or may be later."""

from hookwall.errors import HookwallError


class KeyValueStoreError(HookwallError):
    """A request to the key-value store did not give what was asked for."""


class RequestRejectedError(KeyValueStoreError):
    """The store did not execute the request (503, 429), or this node's own rate limit did not let it through."""


class RequestTooLargeError(RequestRejectedError):
    """A value or a transaction is over the store's limits; it was not executed."""


class OutcomeUnknownError(KeyValueStoreError):
    """No usable response: the request may have been executed, or may be later."""


class RevisionCompactedError(KeyValueStoreError):
    """The store no longer has the changes asked for; read the keys again."""


class PreconditionFailedError(KeyValueStoreError):
    """A transaction was not executed because some keys had other versions.

    Attributes:
        keys: the keys that the store names; it may name only some.
        revision: at which the store compared the versions; 0: not stated.
    """

    def __init__(self, keys: list[str], revision: int = 0) -> None:
        """Name the keys and the revision of the comparison."""
        super().__init__(f"changed keys: {', '.join(keys)}")
        self.keys = keys
        self.revision = revision


class RecordError(HookwallError):
    """A stored record can't be read or written."""


class MalformedRecordError(RecordError):
    """A stored record can't be read."""


class RecordTooLargeError(RecordError):
    """No form of the record fits the store's limits."""


class MissingChunksError(RecordError):
    """The record names chunks that are not known (yet).

    Attributes:
        keys: the keys of those chunks.
    """

    def __init__(self, keys: list[str]) -> None:
        """Name the keys."""
        super().__init__(f"unknown chunks: {', '.join(keys)}")
        self.keys = keys
