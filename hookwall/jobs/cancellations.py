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

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.config.platform import WorkerTimings
from hookwall.leadership.roles import LeaseMode
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol.peer_messages import KnownCancellations, MessageKind, PeerMessage
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient, OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

SAFETY_MARGIN_S = 1.0  # timers, and a worker that is late to kill its tasks
PEER_TIMEOUT_S = 0.7  # how long peers have to say that they know
MOST_TOLD = 2000  # in one message


class CancellationLedger:
    """One node's knowledge of cancellations that not every later leader is certain to have."""

    def __init__(
        self,
        workers: WorkerTimings,
        lead: Leadership,
        store: KeyValueClient,
        clock: Callable[[], float],
        position: Callable[[], int],
        withdraw: Callable[[str, int], None],
    ) -> None:
        self.leadership, self.store, self.clock = lead, store, clock
        self.read_revision = position  # up to which change this node has read the records
        self.apply_cancellation = withdraw
        # Where a lease outlasts `cancel_s` no silence could keep the promise, and answers stop with the next report.
        self.max_knowledge_age_s = max(
            workers.report_s, workers.cancel_s - workers.lease_s * (1 + MAX_CLOCK_DRIFT) - SAFETY_MARGIN_S
        )
        self.cancel_s = workers.cancel_s
        self.records_current_at = -1e9  # when the last request was sent whose answer showed the records as they were
        self.all_records_read = False  # whether this process has read all records; one that has not may have forgotten
        self.peer_reports_sent_at: dict[
            str, float
        ] = {}  # when a ping was sent whose answer named all that the peer knows
        self.unsettled_versions: dict[str, int] = {}
        self.known_widely: set[str] = set()  # those of them that a valid leader or a majority knows
        self.settled_revision = 0

    # -- how current this node is ----------------------------------------------------------------

    def confirm_records_read(self, sent: float) -> None:
        """An answer to a request that was sent then has shown all changes of the records."""
        self.records_current_at = max(self.records_current_at, sent)

    def knowledge_current_at(self) -> float:
        """All that users were told before this time is known here."""
        if self.leadership.role.holds_leader_key() and self.leadership.lease_mode is LeaseMode.QUORUM_LEASE:
            return max(self.records_current_at, self.leadership.quorum_reached_at(self.peer_reports_sent_at))
        return self.records_current_at

    def may_renew_leases(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation not heard of."""
        return self.clock() - self.knowledge_current_at() < self.max_knowledge_age_s

    def records_are_current(self) -> bool:
        """Whether all that users were told `cancel_s` ago or earlier is in the records as they are known here."""
        return self.clock() - self.records_current_at < self.cancel_s * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_S

    # -- what is settled ---------------------------------------------------------------------------

    def add_cancellation(self, ref: str, stamp: int) -> None:
        """A cancellation that this node has stored, read or been told of."""
        if stamp > self.settled_revision and stamp > self.unsettled_versions.get(ref, 0):
            self.unsettled_versions[ref] = stamp

    def settle_up_to(self, stamp: int) -> None:
        """Whoever leads from now on knows all that was stored up to this change."""
        if stamp <= self.settled_revision:
            return
        self.settled_revision = stamp
        self.unsettled_versions = {ref: s for ref, s in self.unsettled_versions.items() if s > stamp}
        self.known_widely &= self.unsettled_versions.keys()

    # -- messages between nodes --------------------------------------------------------------------

    def records_revision(self) -> int | None:
        """What a leader adds to its pings: its position, if it is valid at this moment."""
        if not self.leadership.valid():
            return None
        position = self.read_revision()
        self.settle_up_to(position)
        return position

    def known_cancellations(self, position: int | None) -> KnownCancellations:
        """What a node adds to its promise: all that the leader, by its position, has not shown to know."""
        if position is not None:
            self.settle_up_to(position)
        jobs = list(self.unsettled_versions.items())
        return KnownCancellations(jobs[:MOST_TOLD], self.all_records_read and len(jobs) <= MOST_TOLD)

    def on_known_cancellations(self, peer: str, sent: float, told: KnownCancellations) -> None:
        """A peer has promised; what it told counts only once it is applied here."""
        self.take(told.cancellations)
        if told.complete:
            self.peer_reports_sent_at[peer] = max(sent, self.peer_reports_sent_at.get(peer, -1e9))

    def take(self, jobs: object) -> None:
        """Cancellations as a peer names them: pairs of job and stamp."""
        for pair in jobs if isinstance(jobs, list | tuple) else ():
            if isinstance(pair, list | tuple) and len(pair) == 2:
                ref, stamp = pair
                if isinstance(ref, str) and isinstance(stamp, int):
                    self.apply_cancellation(ref, stamp)

    def on_cancellations_announced(self, jobs: object) -> bool:
        """A peer tells of cancellations for its user's sake. Returns whether this node, which knows them now, leads."""
        self.take(jobs)
        return self.leadership.valid()

    # -- before a user is told ---------------------------------------------------------------------

    async def confirm_cancellation(self, ref: str, stamp: int) -> bool:
        """Whether a user may be told that this stored cancellation holds; peers are told first if need be."""
        self.add_cancellation(ref, stamp)
        if stamp <= self.settled_revision or ref in self.known_widely:
            return True
        if await self._spread(ref, stamp):
            self.known_widely.add(ref)
            return True
        log.info("%s: neither the leader nor a majority could be told", ref)
        return False

    async def _spread(self, ref: str, stamp: int) -> bool:
        lead = self.leadership
        if lead.valid() or lead.quorum == 1:
            return True
        if (
            lead.leader_key.version
            and lead.leader_key.lease_mode is LeaseMode.SESSION_LEASE
            and await self._key_unchanged()
        ):
            return True
        return await self._tell(ref, stamp) or (not lead.leader_key.version and await self._key_unchanged())

    async def _key_unchanged(self) -> bool:
        """Whether the leader key is still as it is known here, seen after the cancellation was stored."""
        try:
            await self.store.commit([(keys.LEADER_KEY, self.leadership.leader_key.version)], timeout=PEER_TIMEOUT_S)
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError):
            return False
        return True

    async def _tell(self, ref: str, stamp: int) -> bool:
        """Tell all peers; enough are one that leads validly, or a majority with this node."""
        message = PeerMessage(
            kind=MessageKind.CANCELLATIONS, sender=self.leadership.node_name, cancellations=[[ref, stamp]]
        )
        know = 1
        for next_answer in asyncio.as_completed(self.leadership.call_all_peers(message, PEER_TIMEOUT_S)):
            answer = await next_answer
            if answer is None or not answer.cancellations_applied:
                continue
            know += 1
            if answer.is_leader or know >= self.leadership.quorum:
                return True
        return False
