"""Keeps what a node knows about each stored key from going back to an older state.

A node learns of a key from full reads, from reads of the key alone, from the watch and from its own writes. The
responses may arrive in another order than the one in which the store executed the requests: a full read may have been
executed before a change that the watch has delivered in the meantime. So each state of a key, including its absence, is
applied together with the revision of the store at which the key had it, and only if no newer state was applied before.

Invariant: the state of each key in memory is one that the store had at the complete revision or later, whichever
request returned it. Deleted keys need no record of their own: every change up to the complete revision has been
applied, so an older state of any key is outdated, whether the key exists or not. Only states that are newer than this
revision are recorded key by key. The watch still has to deliver all changes after the complete revision.
"""

import logging
from collections.abc import Callable

from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import VersionedValue

log = logging.getLogger(__name__)


class KeyOrder:
    """Decides whether an observed state of a key may be applied."""

    def __init__(self, complete_revision: Callable[[], int]) -> None:
        """Begin without any applied state; `complete_revision` returns up to which all changes have been applied."""
        self.complete_revision = complete_revision
        # By key: the revision of the newest applied state, if that is newer than the complete revision.
        self._newer_revisions: dict[str, int] = {}

    def applied_revision(self, key: str) -> int:
        """The revision as of which the state of a key is known."""
        return max(self.complete_revision(), self._newer_revisions.get(key, 0))

    def admit(self, key: str, revision: int) -> bool:
        """Whether the state that a key had at `revision` may be applied. If so, record that it is applied."""
        applied_revision = self.applied_revision(key)
        if revision < applied_revision:
            log.debug("outdated state ignored: key=%s revision=%d applied_revision=%d", key, revision, applied_revision)
            return False
        if revision > self.complete_revision():
            self._newer_revisions[key] = revision
        return True

    def discard_completed(self) -> None:
        """Forget the revisions of single keys that the complete revision has reached."""
        complete = self.complete_revision()
        self._newer_revisions = {key: known for key, known in self._newer_revisions.items() if known > complete}


async def read_ordered(store: KeyValueClient, key_order: KeyOrder, key: str) -> VersionedValue | None:
    """Read one key; return None if a newer state of the key was applied while the read was under way.

    The store executes the read after it has executed everything that this node knows when it sends the request. So the
    result is at least as new as the complete revision of that moment, even if the key was last written long before.

    Raises:
        RequestRejectedError: the store did not execute the request.
        OutcomeUnknownError: the store gave no usable response.
    """
    complete_when_sent = key_order.complete_revision()
    stored = await store.read(key)
    return stored if key_order.admit(key, max(stored.revision, complete_when_sent)) else None
