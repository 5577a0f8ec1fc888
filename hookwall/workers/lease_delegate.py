"""Renewal of worker leases by a follower, on behalf of a leader that the workers can't reach.

In a zone partitioned from the leader, workers may still reach a follower. It may answer their heartbeats, so that they
keep their tasks, if the leader can learn of it: before its first response to a worker, the follower writes the
machine's name into a key of its own. The write is conditional on an unchanged leader key, and the key is attached to a
short session lease. Each write of the leader has the keys of all lease delegates, in versions known to the leader, as
preconditions. So if a write succeeds, a lease that the leader considers expired can't have been renewed meanwhile, and
decisions based on outdated knowledge are never stored. The follower sends only commands to stop cancelled tasks.

Invariant: a worker is answered only while the stored key names its machine and the session lease can't have ended.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.leadership import Leadership
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.workers import cancelled_tasks
from hookwall.workers.delegation_record import EncodedDelegation, NameForm, encode_machines
from hookwall.workers.redirect_schedule import RedirectSchedule

log = logging.getLogger(__name__)

SESSION_LEASE_S = 6.0
RENEWAL_PERIOD_S = 1.5
LEADER_CONTACT_TIMEOUT_S = 3.0  # leases are renewed here after this time without a message from the leader
MAX_DELEGATION_S = 60.0  # longest time for a worker, so that it does not stay with a node that can't place work on it


class StoredDelegation(NamedTuple):
    """A successful write of this node's key."""

    fencing_token: int  # the version of the leader key on which the write was conditional
    key_version: int
    session_lease: int
    sent_at: float  # before the session lease was granted
    machines: list[str]


def _not_supported() -> bool:
    """Return False; the default while not all nodes are known to read a compact form of machine names."""
    return False


class LeaseDelegate:
    """Renews worker leases on one node while another node leads."""

    def __init__(
        self,
        node_name: str,
        leadership: Leadership,
        store: KeyValueClient,
        table: JobTable,
        cancellations_current: Callable[[], bool],  # whether knowledge of cancellations is recent enough for renewals
        clock: Callable[[], float],
        packed_names: Callable[[], bool] = _not_supported,  # whether all nodes can read names in packed form
        numbered_names: Callable[[], bool] = _not_supported,  # whether all nodes can read names in numbered form
        watched_revision: Callable[[], int] = lambda: 0,  # up to which this node has seen all changes of the leader key
    ) -> None:
        """Start without any delegation."""
        self.key = keys.LEASE_DELEGATE_PREFIX + node_name
        self.leadership = leadership
        self.store = store
        self.table = table
        self.cancellations_current = cancellations_current
        self.clock = clock
        self.packed_names = packed_names
        self.numbered_names = numbered_names
        self.watched_revision = watched_revision
        self.fencing_token = 0
        self.key_version: int | None = None  # version of this node's key; None: unknown
        self.session_lease: int | None = None
        self.valid_until: float | None = None  # None: no session lease is known to be valid
        self.delegated: set[str] = set()
        self.requested: set[str] = set()
        self.delegated_since: dict[str, float] = {}
        self.redirects = RedirectSchedule()
        self.redirected_during_write: set[str] = set()  # machines redirected since the last write began
        self.shrink_pending = False  # whether the stored key names machines that are no longer answered
        self.lock = asyncio.Lock()

    # -- heartbeats ----------------------------------------------------------------------------

    def may_renew_for(self, heartbeat: Heartbeat) -> bool:
        """Whether a worker has lost contact with a leader that still leads according to the key-value store.

        The worker's token may be older than the leader key, because a leader that the worker never contacted may have
        taken over on the other side of a partition. A newer token is one of the same leader (`command_tokens`) if this
        node has watched all changes up to it; otherwise it may be one of a later leader.
        """
        leadership = self.leadership
        leader_key = leadership.leader_key
        now = self.clock()
        return (
            leadership.role in (Role.FOLLOWER, Role.CANDIDATE)  # a partitioned node stands in elections it can't win
            and leader_key.version > 0
            and leader_key.leader != leadership.node_name
            and heartbeat.fencing_token <= max(leader_key.version, self.watched_revision())
            and bool(heartbeat.tasks)
            and self.store.has_recent_response()
            and self.cancellations_current()
            and now - leadership.leader_contact_at > LEADER_CONTACT_TIMEOUT_S
            and now - self.delegated_since.get(heartbeat.machine, now) < MAX_DELEGATION_S
        )

    def covers(self, machine: str) -> bool:
        """Whether the stored delegation names this machine and still holds, so that its worker may be answered."""
        return machine in self.delegated and self._is_current()

    def _is_current(self) -> bool:
        """Whether the stored key belongs to the current leadership and its session lease can't have ended."""
        return (
            self.fencing_token == self.leadership.leader_key.version
            and self.valid_until is not None
            and self.clock() < self.valid_until
        )

    def redirect_target(self, heartbeat: Heartbeat) -> str | None:
        """Return the leader to which a worker with a freshly renewed lease is redirected now, or None.

        If only connections between nodes are blocked, workers can reach a leader that leads by session lease, but this
        node can't. Without redirects, workers that had come here before that leader took over stayed until connections
        were restored, leaving the leader with 85 of 419 machines. A worker that finds no leader there comes back.
        """
        leader_key = self.leadership.leader_key
        machine = heartbeat.machine
        if leader_key.lease_mode is not LeaseMode.SESSION_LEASE or not self.covers(machine):
            return None
        if not self.redirects.begin_redirect_if_due(machine, leader_key.version, self.clock()):
            return None
        self.delegated.discard(machine)
        self.redirected_during_write.add(machine)
        self.shrink_pending = True
        return leader_key.leader

    async def renew_lease(self, heartbeat: Heartbeat) -> list[Command] | None:
        """Return the commands of the response, or None if the worker's lease can't be renewed here."""
        if not self.may_renew_for(heartbeat):
            return None
        machine = heartbeat.machine
        self.delegated_since.setdefault(machine, self.clock())
        self.redirects.record_first_token(machine, heartbeat.fencing_token)
        if not self.covers(machine):
            self.requested.add(machine)
            await self.store_delegation()
        if not (self.covers(machine) and self.may_renew_for(heartbeat)):
            return None
        return cancelled_tasks.stop_commands(heartbeat, self.table.is_cancelled)

    def response_token(self, heartbeat: Heartbeat) -> int:
        """Return the token of a response that renews a lease: not lower than any that the worker has seen."""
        return max(self.fencing_token, heartbeat.fencing_token)

    # -- this node's key -----------------------------------------------------------------------

    async def store_delegation(self, shrink: bool = False) -> None:
        """Store the names of the machines whose leases are renewed here, on condition of an unchanged leader key."""
        async with self.lock:
            # With `shrink`, the key is written even if no further machines are requested.
            if self.requested <= self.delegated and self._is_current() and not shrink:
                return
            token = self.leadership.leader_key.version
            self.redirected_during_write.clear()
            delegated = self.delegated if token == self.fencing_token else set()
            machines = [*sorted(delegated), *sorted(self.requested - delegated)]
            try:
                stored = await self._commit(token, machines)
            except RequestRejectedError as error:
                # Nothing was written, so the stored delegation stays valid. When it was dropped here, a fleet arriving
                # at once used up this node's share of changes, and each rejection ended renewals for stored machines.
                log.debug("lease delegation rejected: machines=%d reason=%s", len(machines), error)
                return
            except (PreconditionFailedError, OutcomeUnknownError) as error:
                log.debug("lease delegation not stored: machines=%d reason=%s", len(machines), type(error).__name__)
                # The write may still attach the key to a session lease that is never renewed, so earlier delegations
                # can't be relied on either. The leader may count too many machines as delegated, which is safe.
                self._invalidate()
                return
            self._apply_stored(stored)

    async def _commit(self, token: int, machines: list[str]) -> StoredDelegation:
        """Write the key under a new session lease. Raise the errors of the store's client if a request fails."""
        if self.key_version is None:
            entry = await self.store.get(self.key)
            self.key_version = entry.version if entry is not None else 0
        sent_at = self.clock()
        session_lease = await self.store.grant_session_lease(SESSION_LEASE_S)
        encoded = self.encode(token, machines)
        # From now on, even before the new value is stored, machines that it does not name must not be answered.
        self.delegated &= set(encoded.machines)
        preconditions = [Precondition(keys.LEADER_KEY, token), Precondition(self.key, self.key_version)]
        version = await self.store.commit(preconditions, [Put(self.key, encoded.value)], session_lease)
        return StoredDelegation(token, version, session_lease, sent_at, encoded.machines)

    def _apply_stored(self, stored: StoredDelegation) -> None:
        """Apply a successful write: workers on the stored machines are answered from now on."""
        if not self.delegated:
            log.info("lease delegation begins: leader=%s", self.leadership.leader_key.leader)
        self.fencing_token = stored.fencing_token
        self.key_version = stored.key_version
        self.session_lease = stored.session_lease
        self.valid_until = _session_valid_until(stored.sent_at)
        # Machines that were redirected during the write are not answered, although the stored key names them.
        self.delegated = set(stored.machines) - self.redirected_during_write
        self.shrink_pending = bool(self.redirected_during_write)
        # Machines that were requested during the write are not stored yet, so they stay requested for the next write.
        self.requested -= self.delegated

    def _invalidate(self) -> None:
        """Stop relying on the stored key and its session lease."""
        self.delegated = set()
        self.valid_until = None
        self.key_version = None

    def encode(self, token: int, machines: list[str]) -> EncodedDelegation:
        """Encode the key's value in the most compact form that all nodes can read."""
        if not self.packed_names():
            return encode_machines(token, machines, NameForm.PLAIN, self.store.max_plain_value_bytes())
        form = NameForm.NUMBERED if self.numbered_names() else NameForm.PACKED
        return encode_machines(token, machines, form, self.store.max_value_bytes)

    # -- the session lease ---------------------------------------------------------------------

    async def run(self) -> None:
        """Renew the session lease periodically, and end the delegation when the leader is in contact again.

        The delegation also ends if the leader changes, the session lease is lost, or no delegated machines are left.
        """
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            if self.delegated:
                await self._maintain()
            elif self.shrink_pending:
                await self._end_delegation("all machines redirected")

    async def _maintain(self) -> None:
        """End the delegation, shrink it, or renew its session lease; called once per period."""
        now = self.clock()
        reason = self._reason_to_end(now)
        if reason is not None:
            await self._end_delegation(reason)
        elif self.shrink_pending:
            await self.store_delegation(shrink=True)
        else:
            await self._renew_session_lease(now)

    def _reason_to_end(self, now: float) -> str | None:
        """Return why leases must no longer be renewed here, or None if they may be."""
        leadership = self.leadership
        if leadership.role.holds_leader_key() or leadership.leader_key.version != self.fencing_token:
            return "leader changed"
        if now - leadership.leader_contact_at < LEADER_CONTACT_TIMEOUT_S:
            return "leader in contact"
        if self.valid_until is None or now >= self.valid_until:
            return "session lease not renewed in time"
        return None

    async def _renew_session_lease(self, now: float) -> None:
        """Renew the session lease. A concurrent write may replace the session lease during the renewal."""
        session_lease = self.session_lease
        try:
            alive = session_lease is not None and await self.store.renew_session_lease(session_lease)
        except (RequestRejectedError, OutcomeUnknownError):
            return
        if not alive:
            await self._end_delegation("session lease expired")
        elif session_lease == self.session_lease:
            self.valid_until = _session_valid_until(now)

    async def _end_delegation(self, reason: str) -> None:
        """Stop answering workers first, then revoke the session lease, which deletes the key."""
        session_lease = self.session_lease
        self.session_lease = None
        self._invalidate()
        self.requested.clear()
        self.delegated_since.clear()
        self.redirects.clear()
        self.shrink_pending = False
        log.info("lease delegation ended: reason=%s", reason)
        if session_lease is not None:
            try:
                await self.store.revoke_session_lease(session_lease)
            except (RequestRejectedError, OutcomeUnknownError) as error:
                log.debug("session lease not revoked: reason=%s", type(error).__name__)


def _session_valid_until(sent_at: float) -> float:
    """Return the time until which a session lease can't have ended if it was requested or renewed at `sent_at`."""
    return sent_at + SESSION_LEASE_S * (1 - MAX_CLOCK_DRIFT) - TIMER_SLACK_S
