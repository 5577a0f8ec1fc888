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

from hookwall.config.clock_bounds import DRIFT, SLACK_S
from hookwall.jobs.job_table import JobTable
from hookwall.leadership.roles import Mode, Role
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Beat, Order
from hookwall.storage import job_records, keys
from hookwall.storage.client import Conflict, Refused, Store, Unknown
from hookwall.workers import name_codec

log = logging.getLogger(__name__)

HOLD_S = 6.0
RENEW_S = 1.5
UNHEARD_S = 3.0  # so long without a word from the leader, its workers are kept
SEND_EVERY_S = 20.0  # how often a kept worker may be sent to a leader that it has not met
MOST_S = 60.0  # and no longer than this, lest a worker stay with a node that can't use it


class Keeper:
    """One node's part in keeping other leaders' workers."""

    def __init__(
        self,
        me: str,
        lead: Leadership,
        store: Store,
        table: JobTable,
        may_renew: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.may_renew = may_renew  # the knowledge of cancellations is recent enough (cancellations.py)
        self.key = keys.KEEP + me
        self.lead, self.store, self.table, self.clock = lead, store, table, clock
        self.token = 0
        self.stamp: int | None = None  # of the own key; None: not known
        self.hold: int | None = None
        self.until = -1e9
        self.kept: set[str] = set()
        self.wanted: set[str] = set()
        self.since: dict[str, float] = {}
        self.unmet: dict[str, int] = {}  # token with which each first came: our answers bring it the leader's
        self.sent: dict[str, float] = {}  # when each was sent to the leader
        self.away: set[str] = set()  # those sent since the last write began
        self.shrunk = False  # whether the stored key names machines that are kept no more
        self.lock = asyncio.Lock()
        self.packs: Callable[[], bool] = lambda: False  # whether all nodes read names in the packed form
        self.numbers: Callable[[], bool] = lambda: False  # and machines by their numbers

    def may(self, b: Beat) -> bool:
        """Whether this worker has lost a leader who, as far as the store says, leads.

        Its token may be older: a leader that it never met took over on the other side of a cut.
        """
        lead = self.lead
        return (
            lead.role in (Role.FOLLOWER, Role.CANDIDATE)  # cut off, it campaigns in vain all the time
            and lead.key.stamp > 0
            and lead.key.node != lead.me
            and b.token <= lead.key.stamp
            and bool(b.tasks)
            and self.store.fresh()
            and self.may_renew()
            and self.clock() - lead.leader_heard > UNHEARD_S
            and self.clock() - self.since.get(b.machine, self.clock()) < MOST_S
        )

    def valid(self, machine: str) -> bool:
        """Whether an answer to this machine is covered by what is stored."""
        return machine in self.kept and self.token == self.lead.key.stamp and self.clock() < self.until

    def sends(self, b: Beat) -> str | None:
        """The leader to whom a worker with a fresh lease goes now, or None.

        Where only the connections between nodes are refused, a leader in hold mode can't be heard by
        this node, but workers reach it. Those that came here before it led stayed for as long as the
        filter did, and the leader had 85 machines of 419. One that finds no leader there comes back.
        """
        lead, now = self.lead, self.clock()
        if lead.key.mode is not Mode.HOLD or not self.valid(b.machine):
            return None
        if self.unmet[b.machine] >= lead.key.stamp or now - self.sent.get(b.machine, -1e9) < SEND_EVERY_S:
            return None
        self.sent[b.machine] = now
        self.kept.discard(b.machine)
        self.away.add(b.machine)
        self.shrunk = True
        return lead.key.node

    async def keep(self, b: Beat) -> list[Order] | None:
        """The answer's commands, or None if the worker can't be kept."""
        if not self.may(b):
            return None
        self.since.setdefault(b.machine, self.clock())
        self.unmet.setdefault(b.machine, b.token)
        if not self.valid(b.machine):
            self.wanted.add(b.machine)
            await self._write()
        if not (self.valid(b.machine) and self.may(b)):
            return None
        orders = []
        for t in b.tasks:
            parts = heartbeat_messages.split_task(t.piece)
            if parts is not None and self.table.withdrawn(parts[0]) and t.phase != "exited":
                orders.append(heartbeat_messages.stop(t.piece, t.attempt, 0.0))
        return orders

    async def _write(self, shrink: bool = False) -> None:
        """Store which machines are kept, under the leader's stamp."""
        async with self.lock:
            current = self.token == self.lead.key.stamp and self.clock() < self.until
            if self.wanted <= self.kept and current and not shrink:
                return
            token = self.lead.key.stamp
            self.away.clear()
            kept = self.kept if token == self.token else set()
            names = [*sorted(kept), *sorted(self.wanted - kept)]
            try:
                if self.stamp is None:
                    got = await self.store.get(self.key)
                    self.stamp = got[1] if got is not None else 0
                sent = self.clock()
                hold = await self.store.hold(HOLD_S)
                value = self._value(token, names)
                # Who is not named any more is not answered any more, from before that is stored.
                self.kept &= set(names)
                conditions = [(keys.LEADER, token), (self.key, self.stamp)]
                stamp = await self.store.commit(conditions, [(self.key, value)], hold)
            except Refused as e:
                # Not executed, so what is stored is as it was. A fleet that came all at once used up this
                # node's changes, and each refusal ended the keeping of those that had been stored.
                log.debug("could not keep %d machines: %s", len(names), e)
                return
            except (Conflict, Unknown) as e:
                log.debug("could not keep %d machines: %s", len(names), type(e).__name__)
                # The write may still happen and tie the key to a hold that nobody renews, so what
                # was kept before can't be relied on either. The leader's view errs on the safe side.
                self.kept, self.until, self.stamp = set(), -1e9, None
                return
            if not self.kept:
                log.info("keeps the leases of workers that lost %s", self.lead.key.node)
            self.token, self.stamp, self.hold = token, stamp, hold
            self.until = sent + HOLD_S * (1 - DRIFT) - SLACK_S
            # Who was sent away while this was written stays away.
            self.kept = set(names) - self.away
            self.shrunk = bool(self.away)
            # Not all of them: a name that was added while this write was under way still waits for its own.
            self.wanted -= self.kept

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
        if not self.packs():
            return value if job_records.size(value) <= self.store.plain_limit() else None
        limit = self.store.value_limit
        if job_records.size(value) <= limit:
            return value
        if self.numbers():
            value = {"token": token, "numbered": name_codec.encode(names)}
        else:
            value = {"token": token, "packed": job_records.compress(names)}
        return value if job_records.size(value) <= limit else None

    async def _stop(self, why: str) -> None:
        """Answer no more, and only then say so."""
        hold, self.hold = self.hold, None
        self.kept = set()
        self.wanted.clear()
        self.since.clear()
        self.unmet.clear()
        self.sent.clear()
        self.shrunk = False
        self.until, self.stamp = -1e9, None
        log.info("keeps no leases any more: %s", why)
        if hold is not None:
            try:
                await self.store.drop(hold)
            except (Refused, Unknown) as e:
                log.debug("could not drop the hold: %s", type(e).__name__)

    async def run(self) -> None:
        """Renew the hold while there is reason to keep; let go when the leader is heard again."""
        while True:
            await asyncio.sleep(RENEW_S)
            if not self.kept:
                if self.shrunk:
                    await self._stop("all have gone to the leader")
                continue
            lead, now = self.lead, self.clock()
            heard = now - lead.leader_heard < UNHEARD_S
            if lead.role.leads() or lead.key.stamp != self.token:
                await self._stop("another leader")
                continue
            if heard or now >= self.until:
                await self._stop("the leader is heard" if heard else "the hold was not renewed in time")
                continue
            if self.shrunk:
                await self._write(shrink=True)
                continue
            hold = self.hold
            try:
                alive = hold is not None and await self.store.extend(hold)
            except (Refused, Unknown):
                continue
            if not alive:
                await self._stop("the hold has ended")
            elif hold == self.hold:
                self.until = now + HOLD_S * (1 - DRIFT) - SLACK_S
