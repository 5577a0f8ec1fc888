"""Who knows of a cancellation, and who may renew leases without knowing of all.

A user whose cancellation was confirmed relies on the job's tasks being gone within `cancel_s`. Whoever renews leases
may be cut off from the key-value store in which the cancellation was stored, and an outage for all may follow. So there
are two invariants:

- **Bounded staleness.** No node renews a lease on knowledge that is older than `cancel_s` less the lease. So whatever
  it does not know of, the lease that was renewed last ends in time.
- **Propagation.** A user gets the confirmation only once a valid leader knows of the cancellation, or a majority of
  nodes. A leader's quorum shares a node with that majority, and each vote carries what the leader has not shown to
  know; so a leader with a quorum lease stays current through an outage of the store.

What a valid leader knew at some moment, every later leader knows: it reads the records after its own key was written.
So a cancellation is *settled*, and needs no propagation, once its version is not above the revision up to which a valid
leader has read the records, which its heartbeats carry. (That a newer leader key is stored would not do: the write may
have been carried out late, for a candidate that gave up, while the earlier leader has a quorum again.)

A leader that is valid by its session lease is so only shortly after the store has answered it. It relies on bounded
staleness alone, so there a user gets the confirmation if the leader key is unchanged after the cancellation.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.config.clock_bounds import MAX_CLOCK_DRIFT
from hookwall.config.platform import WorkerTimings
from hookwall.jobs.allocation import NEVER
from hookwall.jobs.leadership_view import PeerLeadershipView
from hookwall.leadership.roles import LeaseMode
from hookwall.protocol.peer_messages import KnownCancellations, MessageKind, PeerMessage
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

SAFETY_MARGIN_S = 1.0  # timers, and a worker that is late to kill its tasks
PEER_TIMEOUT_S = 0.7  # how long peers have to answer that they know of a cancellation
MAX_PER_MESSAGE = 2000  # cancellations


class CancellationLedger:
    """One node's knowledge of cancellations that not every later leader is certain to have.

    Times are readings of the node's clock in seconds.
    """

    def __init__(
        self,
        timings: WorkerTimings,
        leadership: PeerLeadershipView,
        store: KeyValueClient,
        clock: Callable[[], float],
        read_revision: Callable[[], int],
        apply_cancellation: Callable[[str, int], None],
    ) -> None:
        """A node that has read no records yet.

        `read_revision` gives the revision up to which this node has read the records; `apply_cancellation` is called
        with the job id and version of each cancellation that a peer names.
        """
        self.leadership = leadership
        self.store = store
        self.clock = clock
        self.read_revision = read_revision
        self.apply_cancellation = apply_cancellation
        self.cancel_s = timings.cancel_s
        # Where a lease outlasts `cancel_s` no bound would do, and renewals stop with the next heartbeat.
        longest_lease_s = timings.lease_s * (1 + MAX_CLOCK_DRIFT)
        self.max_knowledge_age_s = max(timings.report_s, timings.cancel_s - longest_lease_s - SAFETY_MARGIN_S)
        self.records_current_at = NEVER  # when the last request was sent whose answer showed the records as they were
        self.all_records_read = False  # a process that has not read all records may have forgotten a cancellation
        self.peer_reports_sent_at: dict[str, float] = {}  # when a heartbeat was sent that the peer answered completely
        self.unsettled_versions: dict[str, int] = {}  # by job id
        self.known_widely: set[str] = set()  # those of them that a valid leader or a majority knows
        self.settled_revision = 0

    # -- how current this node is ----------------------------------------------------------------

    def confirm_records_read(self, sent_at: float) -> None:
        """Note that the answer to a request that was sent then has shown all changes of the records."""
        self.records_current_at = max(self.records_current_at, sent_at)

    def knowledge_current_at(self) -> float:
        """The time up to which all that was confirmed to users is known here."""
        if self.leadership.role.holds_leader_key() and self.leadership.lease_mode is LeaseMode.QUORUM_LEASE:
            return max(self.records_current_at, self.leadership.quorum_reached_at(self.peer_reports_sent_at))
        return self.records_current_at

    def may_renew_leases(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation that is not known here."""
        return self.clock() - self.knowledge_current_at() < self.max_knowledge_age_s

    def records_are_current(self) -> bool:
        """Whether all that was confirmed to users `cancel_s` ago or earlier is in the records as known here."""
        return self.clock() - self.records_current_at < self.cancel_s * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_S

    # -- what is settled ---------------------------------------------------------------------------

    def add_cancellation(self, job_id: str, version: int) -> None:
        """Add a cancellation that this node has stored, read or got from a peer."""
        if version > self.settled_revision and version > self.unsettled_versions.get(job_id, 0):
            self.unsettled_versions[job_id] = version

    def settle_up_to(self, revision: int) -> None:
        """Whoever leads from now on knows all that was stored up to this revision."""
        if revision <= self.settled_revision:
            return
        self.settled_revision = revision
        self.unsettled_versions = {
            job_id: version for job_id, version in self.unsettled_versions.items() if version > revision
        }
        self.known_widely &= self.unsettled_versions.keys()

    # -- messages between nodes --------------------------------------------------------------------

    def records_revision(self) -> int | None:
        """What a leader adds to its heartbeats: the revision up to which it knows the records, if it is valid now."""
        if not self.leadership.valid():
            return None
        revision = self.read_revision()
        self.settle_up_to(revision)
        return revision

    def known_cancellations(self, revision: int | None) -> KnownCancellations:
        """What a node adds to its vote: all that the leader, by its records revision, has not shown to know."""
        if revision is not None:
            self.settle_up_to(revision)
        unsettled = list(self.unsettled_versions.items())
        complete = self.all_records_read and len(unsettled) <= MAX_PER_MESSAGE
        return KnownCancellations(unsettled[:MAX_PER_MESSAGE], complete)

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations) -> None:
        """A peer has answered the heartbeat of `sent_at`; what it knows counts only once it is applied here."""
        self.apply_cancellations(known.cancellations)
        if known.complete:
            self.peer_reports_sent_at[peer] = max(sent_at, self.peer_reports_sent_at.get(peer, NEVER))

    def apply_cancellations(self, cancellations: object) -> None:
        """Apply cancellations as a peer names them: pairs of job id and version. Anything else is ignored."""
        for pair in cancellations if isinstance(cancellations, list | tuple) else ():
            if isinstance(pair, list | tuple) and len(pair) == 2:
                job_id, version = pair
                if isinstance(job_id, str) and isinstance(version, int):
                    self.apply_cancellation(job_id, version)

    def on_cancellations_announced(self, cancellations: object) -> bool:
        """A peer asks this node to know of cancellations before it confirms them; gives whether this node leads."""
        self.apply_cancellations(cancellations)
        return self.leadership.valid()

    # -- before a user gets the confirmation -------------------------------------------------------

    async def confirm_cancellation(self, job_id: str, version: int) -> bool:
        """Whether a stored cancellation may be confirmed to its user; peers are informed first if need be."""
        self.add_cancellation(job_id, version)
        if version <= self.settled_revision or job_id in self.known_widely:
            return True
        if await self._propagate(job_id, version):
            self.known_widely.add(job_id)
            return True
        log.info("cancellation not confirmed, neither leader nor majority informed: job=%s version=%d", job_id, version)
        return False

    async def _propagate(self, job_id: str, version: int) -> bool:
        """See to it that whoever renews leases knows of a cancellation, or that bounded staleness is enough."""
        leadership = self.leadership
        leader_key = leadership.leader_key
        if leadership.valid() or leadership.quorum == 1:
            return True
        by_session_lease = leader_key.version and leader_key.lease_mode is LeaseMode.SESSION_LEASE
        if by_session_lease and await self._leader_key_unchanged():
            return True
        if await self._inform_peers(job_id, version):
            return True
        return not leader_key.version and await self._leader_key_unchanged()

    async def _leader_key_unchanged(self) -> bool:
        """Whether the leader key is still as it is known here, read after the cancellation was stored."""
        unchanged = Precondition(keys.LEADER_KEY, self.leadership.leader_key.version)
        try:
            await self.store.commit([unchanged], timeout=PEER_TIMEOUT_S)
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError):
            return False
        return True

    async def _inform_peers(self, job_id: str, version: int) -> bool:
        """Send a cancellation to all peers; True once one that leads validly knows, or a majority with this node."""
        message = PeerMessage(
            kind=MessageKind.CANCELLATIONS, sender=self.leadership.node_name, cancellations=[[job_id, version]]
        )
        informed = 1
        for next_response in asyncio.as_completed(self.leadership.call_all_peers(message, PEER_TIMEOUT_S)):
            response = await next_response
            if response is None or not response.cancellations_applied:
                continue
            informed += 1
            if response.is_leader or informed >= self.leadership.quorum:
                return True
        return False
