"""What a leader does after the key-value store refused one of its transactions.

Invariant: a refusal on the leader key ends the leadership, and any other refusal updates this node's knowledge of the
keys whose preconditions failed. If that does not help, the remedies of `write_stall` follow.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from hookwall.jobs.leadership_view import LeadershipView
from hookwall.jobs.write_stall import StallRemedy, WriteStallMonitor
from hookwall.leadership.roles import Role
from hookwall.storage import keys
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)


class DelegationPreconditions(Protocol):
    """The writer's view of the keys of the lease delegates, on which its decisions depend."""

    delegation_keys: list[str]

    def preconditions(self) -> Sequence[tuple[str, int]]:
        """The keys with the versions that are known here."""

    async def handle_changed_keys(self, changed: list[str], revision: int) -> None:
        """Handle the failure of a write because these keys had changed, at `revision` or earlier."""


class ConflictResolver:
    """Updates what a leader knows of the keys on which its transactions were refused."""

    def __init__(
        self,
        leadership: LeadershipView,
        delegation_guard: DelegationPreconditions,
        reload_record: Callable[[str], Awaitable[None]],
        request_full_read: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """`reload_record` reads the record of a key again; `request_full_read` lets the watch read all keys again."""
        self.leadership = leadership
        self.delegation_guard = delegation_guard
        self.reload_record = reload_record
        self.request_full_read = request_full_read
        self.stall_monitor = WriteStallMonitor(clock)

    async def resolve(self, conflict: PreconditionFailedError) -> None:
        """Update this node's knowledge of the keys whose preconditions failed; step down if the leader key is one."""
        if keys.LEADER_KEY in conflict.keys:
            self.leadership.step_down("write rejected: the leader key has changed")
            return
        delegation_keys = [key for key in conflict.keys if key in self.delegation_guard.delegation_keys]
        if delegation_keys:
            await self.delegation_guard.handle_changed_keys(delegation_keys, conflict.revision)
        for key in conflict.keys:
            if key.startswith(keys.JOB_PREFIX):
                await self.try_reload(key)
        if self.leadership.role is Role.LEADER:
            await self.handle_refusal(conflict.keys)

    async def try_reload(self, key: str) -> None:
        """Reload a record. If it can't be read, its known state is kept."""
        try:
            await self.reload_record(key)
        except (RequestRejectedError, OutcomeUnknownError) as error:
            log.debug("job record not reloaded: job=%s error=%s", key[len(keys.JOB_PREFIX) :], error)

    async def handle_refusal(self, changed_keys: Sequence[str]) -> None:
        """Apply the remedy that is due after a refusal; `changed_keys` is empty if the transaction was too large."""
        remedy = self.stall_monitor.record_refusal(changed_keys)
        if remedy is StallRemedy.FULL_READ:
            self.request_full_read()
        elif remedy is StallRemedy.RESIGN:
            await self.leadership.resign("the store refuses each write")

    def record_success(self) -> None:
        """Record that a transaction was executed."""
        self.stall_monitor.record_success()
