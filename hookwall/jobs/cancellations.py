"""Who knows of a cancellation, and who may renew leases without having heard of all.

A user who was told that a job is cancelled relies on its tasks being gone within `cancel_s`. Whoever
renews leases may be cut off from the state service in which the cancellation was stored, and an
outage for all may follow, so two things hold:

- **Backstop.** Nobody renews a lease on knowledge that is older than `cancel_s` less the lease. Then,
  whatever was not heard of, the lease that was renewed last ends in time.
- **Spread.** A user is told only once a valid leader knows, or a majority of nodes. A leader's
  majority of promises shares a node with that one, and each promise carries what the leader has not
  shown to know; so a leader with promises stays current through an outage of the state service.

What a valid leader knew at some moment, every later leader knows: it reads the records after its own
key was written. So a cancellation is *settled*, and need not be told to anybody, once its stamp is
not above the position up to which a valid leader has read the changes, which its pings tell. (That a
newer leader key is stored would not do: the write may have been carried out late, for a candidate that
gave up, while the earlier leader has promises again.)

A leader in hold mode is valid only shortly after the state service answered it; it relies on the
backstop alone, so there the user may be told if the key is unchanged after the cancellation.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.config.clock_bounds import DRIFT
from hookwall.config.platform import Workers
from hookwall.leadership.roles import Mode
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol.peer_messages import Kind, PeerMessage, ToldCancellations
from hookwall.storage import keys
from hookwall.storage.client import Conflict, Refused, Store, Unknown

log = logging.getLogger(__name__)

MARGIN_S = 1.0  # timers, and a worker that is late to kill its tasks
SPREAD_S = 0.7  # how long peers have to say that they know
MOST_TOLD = 2000  # in one message


class Cancellations:
    """One node's knowledge of cancellations that not every later leader is certain to have."""

    def __init__(
        self,
        workers: Workers,
        lead: Leadership,
        store: Store,
        clock: Callable[[], float],
        position: Callable[[], int],
        withdraw: Callable[[str, int], None],
    ) -> None:
        self.lead, self.store, self.clock = lead, store, clock
        self.position = position  # up to which change this node has read the records
        self.withdraw = withdraw
        # Where a lease outlasts `cancel_s` no silence could keep the promise, and answers stop with the next report.
        self.budget_s = max(workers.report_s, workers.cancel_s - workers.lease_s * (1 + DRIFT) - MARGIN_S)
        self.cancel_s = workers.cancel_s
        self.records_at = -1e9  # when the last request was sent whose answer showed the records as they were
        self.complete = False  # whether this process has read all records; one that has not may have forgotten
        self.told: dict[str, float] = {}  # when a ping was sent whose answer named all that the peer knows
        self.unsettled: dict[str, int] = {}
        self.spread: set[str] = set()  # those of them that a valid leader or a majority knows
        self.settled = 0

    # -- how current this node is ----------------------------------------------------------------

    def read(self, sent: float) -> None:
        """An answer to a request that was sent then has shown all changes of the records."""
        self.records_at = max(self.records_at, sent)

    def knows_until(self) -> float:
        """All that users were told before this time is known here."""
        if self.lead.role.leads() and self.lead.mode is Mode.PROMISE:
            return max(self.records_at, self.lead.majority_at(self.told))
        return self.records_at

    def may_renew(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation not heard of."""
        return self.clock() - self.knows_until() < self.budget_s

    def records_current(self) -> bool:
        """Whether all that users were told `cancel_s` ago or earlier is in the records as they are known here."""
        return self.clock() - self.records_at < self.cancel_s * (1 - DRIFT) - MARGIN_S

    # -- what is settled ---------------------------------------------------------------------------

    def learn(self, ref: str, stamp: int) -> None:
        """A cancellation that this node has stored, read or been told of."""
        if stamp > self.settled and stamp > self.unsettled.get(ref, 0):
            self.unsettled[ref] = stamp

    def settle(self, stamp: int) -> None:
        """Whoever leads from now on knows all that was stored up to this change."""
        if stamp <= self.settled:
            return
        self.settled = stamp
        self.unsettled = {ref: s for ref, s in self.unsettled.items() if s > stamp}
        self.spread &= self.unsettled.keys()

    # -- messages between nodes --------------------------------------------------------------------

    def say(self) -> int | None:
        """What a leader adds to its pings: its position, if it is valid at this moment."""
        if not self.lead.valid():
            return None
        position = self.position()
        self.settle(position)
        return position

    def reply(self, position: int | None) -> ToldCancellations:
        """What a node adds to its promise: all that the leader, by its position, has not shown to know."""
        if position is not None:
            self.settle(position)
        jobs = list(self.unsettled.items())
        return ToldCancellations(jobs[:MOST_TOLD], self.complete and len(jobs) <= MOST_TOLD)

    def on_reply(self, peer: str, sent: float, told: ToldCancellations) -> None:
        """A peer has promised; what it told counts only once it is applied here."""
        self.take(told.jobs)
        if told.complete:
            self.told[peer] = max(sent, self.told.get(peer, -1e9))

    def take(self, jobs: object) -> None:
        """Cancellations as a peer names them: pairs of job and stamp."""
        for pair in jobs if isinstance(jobs, list | tuple) else ():
            if isinstance(pair, list | tuple) and len(pair) == 2:
                ref, stamp = pair
                if isinstance(ref, str) and isinstance(stamp, int):
                    self.withdraw(ref, stamp)

    def on_told(self, jobs: object) -> bool:
        """A peer tells of cancellations for its user's sake. Returns whether this node, which knows them now, leads."""
        self.take(jobs)
        return self.lead.valid()

    # -- before a user is told ---------------------------------------------------------------------

    async def confirmed(self, ref: str, stamp: int) -> bool:
        """Whether a user may be told that this stored cancellation holds; peers are told first if need be."""
        self.learn(ref, stamp)
        if stamp <= self.settled or ref in self.spread:
            return True
        if await self._spread(ref, stamp):
            self.spread.add(ref)
            return True
        log.info("%s: neither the leader nor a majority could be told", ref)
        return False

    async def _spread(self, ref: str, stamp: int) -> bool:
        lead = self.lead
        if lead.valid() or lead.majority == 1:
            return True
        if lead.key.stamp and lead.key.mode is Mode.HOLD and await self._key_unchanged():
            return True
        return await self._tell(ref, stamp) or (not lead.key.stamp and await self._key_unchanged())

    async def _key_unchanged(self) -> bool:
        """Whether the leader key is still as it is known here, seen after the cancellation was stored."""
        try:
            await self.store.commit([(keys.LEADER, self.lead.key.stamp)], timeout=SPREAD_S)
        except (Conflict, Refused, Unknown):
            return False
        return True

    async def _tell(self, ref: str, stamp: int) -> bool:
        """Tell all peers; enough are one that leads validly, or a majority with this node."""
        message = PeerMessage(kind=Kind.CANCELLED, node=self.lead.me, jobs=[[ref, stamp]])
        know = 1
        for next_answer in asyncio.as_completed(self.lead.ask_all(message, SPREAD_S)):
            answer = await next_answer
            if answer is None or not answer.knows:
                continue
            know += 1
            if answer.leads or know >= self.lead.majority:
                return True
        return False
