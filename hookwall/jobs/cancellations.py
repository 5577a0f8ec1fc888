"""Tracks which nodes know of a cancellation, and whether this node may renew leases without knowing of every one.

A user whose cancellation was confirmed relies on the job's tasks being gone within `cancel_s`. The node that renews
leases may be cut off from the key-value store that holds the cancellation, and an outage of the store for all nodes may
follow. Therefore two invariants hold:

- **Bounded staleness.** No node renews a lease if its knowledge of cancellations is older than `cancel_s` minus the
  duration of a lease. So even for a cancellation that the node does not know of, the last renewed lease ends in time.
- **Propagation.** A cancellation is confirmed to the user only once a valid leader or a majority of nodes knows of it.
  Any quorum of a leader shares at least one node with that majority, and each vote carries the cancellations that the
  leader has not shown to know. So a leader with a quorum lease stays current during an outage of the store.

Every later leader knows what a valid leader knew at any earlier time, because it reads the records after its own leader
key was written. So a cancellation is *settled*, and needs no propagation, once its version is not above the revision up
to which a valid leader has read the records. The leader's heartbeats carry that revision. (A newer stored leader key is
not enough: its write may have been applied late, for a candidate that gave up, while the earlier leader has a quorum
again.)

A leader that is valid by its session lease stays valid only for a short time after the store last answered it. It
relies on bounded staleness alone. Under such a leader, a cancellation is confirmed if the leader key is unchanged after
the cancellation was stored.
"""

import asyncio
import logging
from collections.abc import Callable

from hookwall.config.clock_bounds import DISTANT_PAST, MAX_CLOCK_DRIFT
from hookwall.config.platform import WorkerTimings
from hookwall.jobs.leadership_view import PeerLeadershipView
from hookwall.leadership.roles import LeaseMode
from hookwall.protocol.peer_messages import KnownCancellations, MessageKind, PeerMessage
from hookwall.storage import keys
from hookwall.storage.client import KeyValueClient
from hookwall.storage.entries import Precondition
from hookwall.storage.errors import OutcomeUnknownError, PreconditionFailedError, RequestRejectedError

log = logging.getLogger(__name__)

SAFETY_MARGIN_S = 1.0  # covers timer delays and a worker that kills its tasks late
PEER_TIMEOUT_S = 0.7  # time-out of a peer's acknowledgement of a cancellation
MAX_CANCELLATIONS_PER_MESSAGE = 2000


class CancellationLedger:
    """The cancellations of which one node knows, but a later leader may not know.

    Times are seconds on the node's clock.
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
        """Create the ledger of a node that has read no records yet.

        `read_revision` returns the revision up to which this node has read the records; `apply_cancellation` is called
        with the job id and version of each cancellation that a peer reports.
        """
        self.leadership = leadership
        self.store = store
        self.clock = clock
        self.read_revision = read_revision
        self.apply_cancellation = apply_cancellation
        self.cancel_s = timings.cancel_s
        # If a lease can outlast `cancel_s`, no bound is sufficient; leases are then renewed only while the knowledge is
        # less than one heartbeat interval old.
        longest_lease_s = timings.lease_s * (1 + MAX_CLOCK_DRIFT)
        self.max_staleness_s = max(timings.report_s, timings.cancel_s - longest_lease_s - SAFETY_MARGIN_S)
        # Up to this time all changes of the records are known here. It is the time at which the latest request was sent
        # whose response showed these changes.
        self.records_current_at = DISTANT_PAST
        self.all_records_read = False  # until all records are read, cancellations known before a restart may be missing
        # By peer: when the last heartbeat was sent that the peer answered with all cancellations that it knows.
        self.peer_reports_sent_at: dict[str, float] = {}
        self.unsettled_versions: dict[str, int] = {}  # by job id
        self.propagated_jobs: set[str] = set()  # unsettled jobs that a valid leader or a majority knows of
        self.settled_revision = 0

    # -- staleness of this node's knowledge ------------------------------------------------------

    def confirm_records_read(self, sent_at: float) -> None:
        """Record that the response to a request sent at `sent_at` has shown all changes of the records."""
        self.records_current_at = max(self.records_current_at, sent_at)

    def cancellations_current_at(self) -> float:
        """The time up to which this node knows of all cancellations that were confirmed to users."""
        if self.leadership.role.holds_leader_key() and self.leadership.lease_mode is LeaseMode.QUORUM_LEASE:
            return max(self.records_current_at, self.leadership.quorum_reached_at(self.peer_reports_sent_at))
        return self.records_current_at

    def may_renew_leases(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation that this node does not know of."""
        return self.clock() - self.cancellations_current_at() < self.max_staleness_s

    def records_are_current(self) -> bool:
        """Whether the records known here show all cancellations that were confirmed at least `cancel_s` ago."""
        return self.clock() - self.records_current_at < self.cancel_s * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_S

    # -- settled cancellations -----------------------------------------------------------------------

    def add_cancellation(self, job_id: str, version: int) -> None:
        """Add a cancellation that this node has stored, read or received from a peer."""
        if version > self.settled_revision and version > self.unsettled_versions.get(job_id, 0):
            self.unsettled_versions[job_id] = version

    def settle_up_to(self, revision: int) -> None:
        """Settle the cancellations up to this revision, of which every leader knows from now on."""
        if revision <= self.settled_revision:
            return
        self.settled_revision = revision
        self.unsettled_versions = {
            job_id: version for job_id, version in self.unsettled_versions.items() if version > revision
        }
        self.propagated_jobs &= self.unsettled_versions.keys()

    # -- messages between nodes --------------------------------------------------------------------

    def records_revision(self) -> int | None:
        """The revision up to which this leader has read the records, for its heartbeats; None if it is not valid."""
        if not self.leadership.valid():
            return None
        revision = self.read_revision()
        self.settle_up_to(revision)
        return revision

    def known_cancellations(self, revision: int | None) -> KnownCancellations:
        """The unsettled cancellations that a node adds to its vote.

        Cancellations up to `revision`, up to which the leader has read the records, are settled first. None means that
        this revision is not known.
        """
        if revision is not None:
            self.settle_up_to(revision)
        unsettled = list(self.unsettled_versions.items())
        complete = self.all_records_read and len(unsettled) <= MAX_CANCELLATIONS_PER_MESSAGE
        return KnownCancellations(unsettled[:MAX_CANCELLATIONS_PER_MESSAGE], complete)

    def on_known_cancellations(self, peer: str, sent_at: float, known: KnownCancellations) -> None:
        """Process a peer's answer to the heartbeat sent at `sent_at`.

        The answer counts towards staleness only after its cancellations have been applied here.
        """
        self.apply_cancellations(known.cancellations)
        if known.complete:
            self.peer_reports_sent_at[peer] = max(sent_at, self.peer_reports_sent_at.get(peer, DISTANT_PAST))

    def apply_cancellations(self, cancellations: object) -> None:
        """Apply cancellations from a peer, which are pairs of job id and version; ignore anything else."""
        for pair in cancellations if isinstance(cancellations, list | tuple) else ():
            if isinstance(pair, list | tuple) and len(pair) == 2:
                job_id, version = pair
                if isinstance(job_id, str) and isinstance(version, int):
                    self.apply_cancellation(job_id, version)

    def on_cancellations_announced(self, cancellations: object) -> bool:
        """Apply cancellations that a peer announces before it confirms them.

        Return True if this node is a valid leader.
        """
        self.apply_cancellations(cancellations)
        return self.leadership.valid()

    # -- confirmation to users ---------------------------------------------------------------------

    async def confirm_cancellation(self, job_id: str, version: int) -> bool:
        """Inform peers of a stored cancellation if necessary; return True if it may be confirmed to its user."""
        self.add_cancellation(job_id, version)
        if version <= self.settled_revision or job_id in self.propagated_jobs:
            return True
        if await self._propagate(job_id, version):
            self.propagated_jobs.add(job_id)
            return True
        log.info("cancellation not confirmed, neither leader nor majority informed: job=%s version=%d", job_id, version)
        return False

    async def _propagate(self, job_id: str, version: int) -> bool:
        """Ensure that any node that renews leases knows of a cancellation, unless bounded staleness is sufficient.

        Return True if one of the two holds.
        """
        leadership = self.leadership
        leader_key = leadership.leader_key
        if leadership.valid() or leadership.quorum == 1:
            return True
        leader_has_session_lease = leader_key.version and leader_key.lease_mode is LeaseMode.SESSION_LEASE
        if leader_has_session_lease and await self._leader_key_unchanged():
            return True
        if await self._inform_peers(job_id, version):
            return True
        return not leader_key.version and await self._leader_key_unchanged()

    async def _leader_key_unchanged(self) -> bool:
        """Whether the leader key, read after the cancellation was stored, still has the version known here."""
        unchanged = Precondition(keys.LEADER_KEY, self.leadership.leader_key.version)
        try:
            await self.store.commit([unchanged], timeout=PEER_TIMEOUT_S)
        except (PreconditionFailedError, RequestRejectedError, OutcomeUnknownError):
            return False
        return True

    async def _inform_peers(self, job_id: str, version: int) -> bool:
        """Send a cancellation to all peers.

        Return True once a peer that is a valid leader has applied it, or once a majority of nodes, including this node,
        knows of it.
        """
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
