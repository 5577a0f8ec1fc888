"""Keeping the leases of workers that can't reach the leader.

In a zone that is cut off from the leader, workers still reach a node that follows. It may answer
their reports, so that they keep their tasks, if the leader can know: before its first answer to a
worker the node writes the machine's name into a key of its own, on the condition that the leader key
is unchanged, and attached to a short hold. Each write of the leader has these keys, as it knows them,
as conditions. So a lease that the leader believes to be over can't have been kept meanwhile, and what
it decided on a stale belief is never stored. The node commands nothing but the stop of cancelled
tasks, and answers only while its hold can't have ended.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT, TIMER_SLACK_S
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import LeaseMode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Command, Heartbeat
from hookwall.storage import job_records, keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError
from hookwall.workers import name_codec

log = logging.getLogger(__name__)

SESSION_LEASE_S = 6.0
RENEWAL_PERIOD_S = 1.5
LEADER_SILENCE_S = 3.0  # so long without a word from the leader, its workers are kept
REDIRECT_PERIOD_S = 20.0  # how often a kept worker may be sent to a leader that it has not met
MAX_DELEGATION_S = 60.0  # and no longer than this, lest a worker stay with a node that can't use it


class LeaseDelegate:
    """One node's part in keeping other leaders' workers."""

    def __init__(
        self,
        me: str,
        lead: Leadership,
        store: KeyValueClient,
        table: JobTable,
        may_renew: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.cancellations_current = may_renew  # the knowledge of cancellations is recent enough (cancellations.py)
        self.key = keys.LEASE_DELEGATE_PREFIX + me
        self.leadership, self.store, self.table, self.clock = lead, store, table, clock
        self.fencing_token = 0
        self.key_version: int | None = None  # of the own key; None: not known
        self.session_lease: int | None = None
        self.valid_until = -1e9
        self.delegated: set[str] = set()
        self.requested: set[str] = set()
        self.delegated_since: dict[str, float] = {}
        self.first_fencing_token: dict[
            str, int
        ] = {}  # token with which each first came: our answers bring it the leader's
        self.redirected_at: dict[str, float] = {}  # when each was sent to the leader
        self.redirected_during_write: set[str] = set()  # those sent since the last write began
        self.shrink_pending = False  # whether the stored key names machines that are kept no more
        self.lock = asyncio.Lock()
        self.packed_names: Callable[[], bool] = lambda: False  # whether all nodes read names in the packed form
        self.numbered_names: Callable[[], bool] = lambda: False  # and machines by their numbers

    def may_renew_for(self, b: Heartbeat) -> bool:
        """Whether this worker has lost a leader who, as far as the store says, leads.

        Its token may be older: a leader that it never met took over on the other side of a cut.
        """
        lead = self.leadership
        return (
            lead.role in (Role.FOLLOWER, Role.CANDIDATE)  # cut off, it campaigns in vain all the time
            and lead.leader_key.version > 0
            and lead.leader_key.leader != lead.node_name
            and b.fencing_token <= lead.leader_key.version
            and bool(b.tasks)
            and self.store.has_recent_response()
            and self.cancellations_current()
            and self.clock() - lead.leader_contact_at > LEADER_SILENCE_S
            and self.clock() - self.delegated_since.get(b.machine, self.clock()) < MAX_DELEGATION_S
        )

    def covers(self, machine: str) -> bool:
        """Whether an answer to this machine is covered by what is stored."""
        return (
            machine in self.delegated
            and self.fencing_token == self.leadership.leader_key.version
            and self.clock() < self.valid_until
        )

    def redirect_target(self, b: Heartbeat) -> str | None:
        """The leader to whom a worker with a fresh lease goes now, or None.

        Where only the connections between nodes are refused, a leader in hold mode can't be heard by
        this node, but workers reach it. Those that came here before it led stayed for as long as the
        filter did, and the leader had 85 machines of 419. One that finds no leader there comes back.
        """
        lead, now = self.leadership, self.clock()
        if lead.leader_key.lease_mode is not LeaseMode.SESSION_LEASE or not self.covers(b.machine):
            return None
        if (
            self.first_fencing_token[b.machine] >= lead.leader_key.version
            or now - self.redirected_at.get(b.machine, -1e9) < REDIRECT_PERIOD_S
        ):
            return None
        self.redirected_at[b.machine] = now
        self.delegated.discard(b.machine)
        self.redirected_during_write.add(b.machine)
        self.shrink_pending = True
        return lead.leader_key.leader

    async def renew_lease(self, b: Heartbeat) -> list[Command] | None:
        """The answer's commands, or None if the worker can't be kept."""
        if not self.may_renew_for(b):
            return None
        self.delegated_since.setdefault(b.machine, self.clock())
        self.first_fencing_token.setdefault(b.machine, b.fencing_token)
        if not self.covers(b.machine):
            self.requested.add(b.machine)
            await self._write()
        if not (self.covers(b.machine) and self.may_renew_for(b)):
            return None
        orders = []
        for t in b.tasks:
            parts = heartbeat_messages.parse_task_id(t.task_id)
            if parts is not None and self.table.is_cancelled(parts[0]) and t.phase != "exited":
                orders.append(heartbeat_messages.stop_command(t.task_id, t.attempt, 0.0))
        return orders

    async def _write(self, shrink: bool = False) -> None:
        """Store which machines are kept, under the leader's stamp."""
        async with self.lock:
            current = self.fencing_token == self.leadership.leader_key.version and self.clock() < self.valid_until
            if self.requested <= self.delegated and current and not shrink:
                return
            token = self.leadership.leader_key.version
            self.redirected_during_write.clear()
            kept = self.delegated if token == self.fencing_token else set()
            names = [*sorted(kept), *sorted(self.requested - kept)]
            try:
                if self.key_version is None:
                    got = await self.store.get(self.key)
                    self.key_version = got[1] if got is not None else 0
                sent = self.clock()
                hold = await self.store.grant_session_lease(SESSION_LEASE_S)
                value = self._value(token, names)
                # Who is not named any more is not answered any more, from before that is stored.
                self.delegated &= set(names)
                conditions = [(keys.LEADER_KEY, token), (self.key, self.key_version)]
                stamp = await self.store.commit(conditions, [(self.key, value)], hold)
            except RequestRejectedError as e:
                # Not executed, so what is stored is as it was. A fleet that came all at once used up this
                # node's changes, and each refusal ended the keeping of those that had been stored.
                log.debug("could not keep %d machines: %s", len(names), e)
                return
            except (PreconditionFailedError, OutcomeUnknownError) as e:
                log.debug("could not keep %d machines: %s", len(names), type(e).__name__)
                # The write may still happen and tie the key to a hold that nobody renews, so what
                # was kept before can't be relied on either. The leader's view errs on the safe side.
                self.delegated, self.valid_until, self.key_version = set(), -1e9, None
                return
            if not self.delegated:
                log.info("keeps the leases of workers that lost %s", self.leadership.leader_key.leader)
            self.fencing_token, self.key_version, self.session_lease = token, stamp, hold
            self.valid_until = sent + SESSION_LEASE_S * (1 - MAX_CLOCK_DRIFT) - TIMER_SLACK_S
            # Who was sent away while this was written stays away.
            self.delegated = set(names) - self.redirected_during_write
            self.shrink_pending = bool(self.redirected_during_write)
            # Not all of them: a name that was added while this write was under way still waits for its own.
            self.requested -= self.delegated

    def _value(self, token: int, names: list[str]) -> dict:
        """The key's value. Where it would be too large it names only some of the machines; the rest is not kept."""
        wanted = len(names)
        value = self._fitting(token, names)
        while value is None:
            del names[len(names) * 3 // 4 :]
            value = self._fitting(token, names)
        if len(names) < wanted:
            log.error("one key names %d of %d machines: the leases of the others are not kept", len(names), wanted)
        return value

    def _fitting(self, token: int, names: list[str]) -> dict | None:
        """The first form that all nodes read and that is small enough, or None."""
        value: dict[str, object] = {"token": token, "machines": names}
        if not self.packed_names():
            return value if job_records.json_bytes(value) <= self.store.max_plain_value_bytes() else None
        limit = self.store.max_value_bytes
        if job_records.json_bytes(value) <= limit:
            return value
        if self.numbered_names():
            value = {"token": token, "numbered": name_codec.encode(names)}
        else:
            value = {"token": token, "packed": job_records.compress(names)}
        return value if job_records.json_bytes(value) <= limit else None

    async def _stop(self, why: str) -> None:
        """Answer no more, and only then say so."""
        hold, self.session_lease = self.session_lease, None
        self.delegated = set()
        self.requested.clear()
        self.delegated_since.clear()
        self.first_fencing_token.clear()
        self.redirected_at.clear()
        self.shrink_pending = False
        self.valid_until, self.key_version = -1e9, None
        log.info("keeps no leases any more: %s", why)
        if hold is not None:
            try:
                await self.store.revoke_session_lease(hold)
            except (RequestRejectedError, OutcomeUnknownError) as e:
                log.debug("could not drop the hold: %s", type(e).__name__)

    async def run(self) -> None:
        """Renew the hold while there is reason to keep; let go when the leader is heard again."""
        while True:
            await asyncio.sleep(RENEWAL_PERIOD_S)
            if not self.delegated:
                if self.shrink_pending:
                    await self._stop("all have gone to the leader")
                continue
            lead, now = self.leadership, self.clock()
            heard = now - lead.leader_contact_at < LEADER_SILENCE_S
            if lead.role.holds_leader_key() or lead.leader_key.version != self.fencing_token:
                await self._stop("another leader")
                continue
            if heard or now >= self.valid_until:
                await self._stop("the leader is heard" if heard else "the hold was not renewed in time")
                continue
            if self.shrink_pending:
                await self._write(shrink=True)
                continue
            hold = self.session_lease
            try:
                alive = hold is not None and await self.store.renew_session_lease(hold)
            except (RequestRejectedError, OutcomeUnknownError):
                continue
            if not alive:
                await self._stop("the hold has ended")
            elif hold == self.session_lease:
                self.valid_until = now + SESSION_LEASE_S * (1 - MAX_CLOCK_DRIFT) - TIMER_SLACK_S
