"""A follower renews leases for the leader where workers can't reach it.

In a zone that is cut off from the leader, workers still reach a node that follows. It may answer their heartbeats, so
that they keep their tasks, if the leader can know: before its first response to a worker the node writes the machine's
name into a key of its own, on the precondition that the leader key is unchanged, and attached to a short session
lease. Each write of the leader has these keys, in the versions that it knows, as preconditions. So a lease that the
leader believes to have expired can't have been renewed meanwhile, and what it decided on a stale belief is never
stored. The node commands nothing but the stop of cancelled tasks.

Invariant: a worker is answered only while the stored key names its machine and the session lease can't have ended.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition, Put
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.workers.delegation_record import EncodedDelegation, NameForm, encode_machines
from hookwall.workers.redirect_schedule import RedirectSchedule

log = logging.getLogger(__name__)

SESSION_LEASE_S = 6.0
RENEWAL_PERIOD_S = 1.5
LEADER_SILENCE_S = 3.0  # so long without a message from the leader, its workers' leases are renewed here
MAX_DELEGATION_S = 60.0  # no longer than this for one worker, lest it stay with a node that can't use it


class StoredDelegation(NamedTuple):
    """A write of the own key that succeeded."""

    fencing_token: int  # the version of the leader key on which it was conditional
    key_version: int
    session_lease: int
    sent_at: float  # before the session lease was granted
    machines: list[str]


def _not_supported() -> bool:
    """Until all nodes are known to read a form of names."""
    return False


class LeaseDelegate:
    """One node's renewals for whatever other node leads."""

    def __init__(
        self,
        node_name: str,
        leadership: Leadership,
        store: KeyValueClient,
        table: JobTable,
        cancellations_current: Callable[[], bool],
        clock: Callable[[], float],
        packed_names: Callable[[], bool] = _not_supported,
        numbered_names: Callable[[], bool] = _not_supported,
    ) -> None:
        """Renews nothing yet.

        `cancellations_current` says whether this node knows of cancellations recently enough to renew leases;
        `packed_names` and `numbered_names` whether all nodes read machine names in these forms.
        """
        self.key = keys.LEASE_DELEGATE_PREFIX + node_name
        self.leadership = leadership
        self.store = store
        self.table = table
        self.cancellations_current = cancellations_current
        self.clock = clock
        self.packed_names = packed_names
        self.numbered_names = numbered_names
        self.fencing_token = 0
        self.key_version: int | None = None  # of the own key; None: not known
        self.session_lease: int | None = None
        self.valid_until: float | None = None  # None: no session lease that can be relied on
        self.delegated: set[str] = set()
        self.requested: set[str] = set()
        self.delegated_since: dict[str, float] = {}
        self.redirects = RedirectSchedule()
        self.redirected_during_write: set[str] = set()  # since the last write began
        self.shrink_pending = False  # whether the stored key names machines that are no longer answered
        self.lock = asyncio.Lock()

    # -- heartbeats ----------------------------------------------------------------------------

    def may_renew_for(self, heartbeat: Heartbeat) -> bool:
        """Whether this worker has lost a leader who, as far as the key-value store says, leads.

        Its token may be older: a leader that it never met took over on the other side of a partition.
        """
        leadership = self.leadership
        leader_key = leadership.leader_key
        now = self.clock()
        return (
            leadership.role in (Role.FOLLOWER, Role.CANDIDATE)  # partitioned, it stands for election in vain
            and leader_key.version > 0
            and leader_key.leader != leadership.node_name
            and heartbeat.fencing_token <= leader_key.version
            and bool(heartbeat.tasks)
            and self.store.has_recent_response()
            and self.cancellations_current()
            and now - leadership.leader_contact_at > LEADER_SILENCE_S
            and now - self.delegated_since.get(heartbeat.machine, now) < MAX_DELEGATION_S
        )

    def covers(self, machine: str) -> bool:
        """Whether a response to this machine is covered by what is stored."""
        return machine in self.delegated and self._is_current()

    def _is_current(self) -> bool:
        """Whether the stored key holds under the present leader and its session lease can't have ended."""
        return (
            self.fencing_token == self.leadership.leader_key.version
            and self.valid_until is not None
            and self.clock() < self.valid_until
        )

    def redirect_target(self, heartbeat: Heartbeat) -> str | None:
        """The leader to whom a worker with a fresh lease is redirected now, or None.

        Where only the connections between nodes are refused, a leader by session lease has no contact with this node,
        but workers reach it. Those that came here before it led stayed for as long as the filter did, and the leader
        had 85 machines of 419. One that finds no leader there comes back.
        """
        leader_key = self.leadership.leader_key
        machine = heartbeat.machine
        if leader_key.lease_mode is not LeaseMode.SESSION_LEASE or not self.covers(machine):
            return None
        if not self.redirects.begin_if_due(machine, leader_key.version, self.clock()):
            return None
        self.delegated.discard(machine)
        self.redirected_during_write.add(machine)
        self.shrink_pending = True
        return leader_key.leader

    async def renew_lease(self, heartbeat: Heartbeat) -> list[Command] | None:
        """The response's commands, or None if the worker's lease can't be renewed here."""
        if not self.may_renew_for(heartbeat):
            return None
        machine = heartbeat.machine
        self.delegated_since.setdefault(machine, self.clock())
        self.redirects.record_arrival(machine, heartbeat.fencing_token)
        if not self.covers(machine):
            self.requested.add(machine)
            await self.store_delegation()
        if not (self.covers(machine) and self.may_renew_for(heartbeat)):
            return None
        return self._stop_commands(heartbeat)

    def _stop_commands(self, heartbeat: Heartbeat) -> list[Command]:
        """Stops of the reported tasks whose jobs are cancelled."""
        commands = []
        for status in heartbeat.tasks:
            task_id = heartbeat_messages.parse_task_id(status.task_id)
            if task_id is not None and self.table.is_cancelled(task_id.job_id) and status.phase != "exited":
                commands.append(heartbeat_messages.stop_command(status.task_id, status.attempt, 0.0))
        return commands

    # -- the own key ---------------------------------------------------------------------------

    async def store_delegation(self, shrink: bool = False) -> None:
        """Store whose leases are renewed, under the leader key. `shrink`: even if nothing new is requested."""
        async with self.lock:
            if self.requested <= self.delegated and self._is_current() and not shrink:
                return
            token = self.leadership.leader_key.version
            self.redirected_during_write.clear()
            delegated = self.delegated if token == self.fencing_token else set()
            machines = [*sorted(delegated), *sorted(self.requested - delegated)]
            try:
                stored = await self._commit(token, machines)
            except RequestRejectedError as error:
                # Not executed, so what is stored is as it was. A fleet that came all at once used up this
                # node's changes, and each refusal ended the renewals for those that had been stored.
                log.debug("lease delegation rejected: machines=%d reason=%s", len(machines), error)
                return
            except (PreconditionFailedError, OutcomeUnknownError) as error:
                log.debug("lease delegation not stored: machines=%d reason=%s", len(machines), type(error).__name__)
                # The write may still happen and tie the key to a session lease that nobody renews, so what was
                # delegated before can't be relied on either. The leader's view errs on the safe side.
                self._invalidate()
                return
            self._apply_stored(stored)

    async def _commit(self, token: int, machines: list[str]) -> StoredDelegation:
        """Write the key under a new session lease; the errors of the store are the caller's."""
        if self.key_version is None:
            found = await self.store.get(self.key)
            self.key_version = found.version if found is not None else 0
        sent_at = self.clock()
        session_lease = await self.store.grant_session_lease(SESSION_LEASE_S)
        encoded = self.encode(token, machines)
        # Who is not named any more is not answered any more, from before that is stored.
        self.delegated &= set(encoded.machines)
        preconditions = [Precondition(keys.LEADER_KEY, token), Precondition(self.key, self.key_version)]
        version = await self.store.commit(preconditions, [Put(self.key, encoded.value)], session_lease)
        return StoredDelegation(token, version, session_lease, sent_at, encoded.machines)

    def _apply_stored(self, stored: StoredDelegation) -> None:
        """The key is stored: its machines are answered from now on."""
        if not self.delegated:
            log.info("lease delegation begins: leader=%s", self.leadership.leader_key.leader)
        self.fencing_token = stored.fencing_token
        self.key_version = stored.key_version
        self.session_lease = stored.session_lease
        self.valid_until = _session_valid_until(stored.sent_at)
        # Who was redirected while this was written stays away.
        self.delegated = set(stored.machines) - self.redirected_during_write
        self.shrink_pending = bool(self.redirected_during_write)
        # Not all of them: a name that was added while this write was under way still waits for its own.
        self.requested -= self.delegated

    def _invalidate(self) -> None:
        """Nothing that is stored can be relied on."""
        self.delegated = set()
        self.valid_until = None
        self.key_version = None

    def encode(self, token: int, machines: list[str]) -> EncodedDelegation:
        """The key's value in the most compact form that all nodes read."""
        if not self.packed_names():
            return encode_machines(token, machines, NameForm.PLAIN, self.store.max_plain_value_bytes())
        form = NameForm.NUMBERED if self.numbered_names() else NameForm.PACKED
        return encode_machines(token, machines, form, self.store.max_value_bytes)

    # -- the session lease ---------------------------------------------------------------------

    async def run(self) -> None:
        """Renew the session lease while there is reason to; end when the leader is in contact again."""
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            if self.delegated:
                await self._maintain()
            elif self.shrink_pending:
                await self._end("all machines redirected")

    async def _maintain(self) -> None:
        """One period while some machine is delegated."""
        now = self.clock()
        reason = self._reason_to_end(now)
        if reason is not None:
            await self._end(reason)
        elif self.shrink_pending:
            await self.store_delegation(shrink=True)
        else:
            await self._renew_session(now)

    def _reason_to_end(self, now: float) -> str | None:
        """Why leases must not be renewed here any more, if so."""
        leadership = self.leadership
        if leadership.role.holds_leader_key() or leadership.leader_key.version != self.fencing_token:
            return "leader changed"
        if now - leadership.leader_contact_at < LEADER_SILENCE_S:
            return "leader in contact"
        if self.valid_until is None or now >= self.valid_until:
            return "session lease not renewed in time"
        return None

    async def _renew_session(self, now: float) -> None:
        """Renew the session lease; a write meanwhile may have replaced it."""
        session_lease = self.session_lease
        try:
            alive = session_lease is not None and await self.store.renew_session_lease(session_lease)
        except (RequestRejectedError, OutcomeUnknownError):
            return
        if not alive:
            await self._end("session lease expired")
        elif session_lease == self.session_lease:
            self.valid_until = _session_valid_until(now)

    async def _end(self, reason: str) -> None:
        """Answer no more, and only then have the key deleted with its session lease."""
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
    """Until when a session lease that was granted or renewed after `sent_at` can't have ended."""
    return sent_at + SESSION_LEASE_S * (1 - MAX_CLOCK_DRIFT) - TIMER_SLACK_S
