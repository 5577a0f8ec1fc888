"""Workers' heartbeats as they reach a node: a leader answers, a follower renews a lease for it or redirects.

Invariant: a lease is renewed only by a valid leader or by a covered lease delegate, and only while this node's
knowledge of cancellations is recent enough.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from hookwall.jobs.cancellations import CancellationLedger
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.errors import MalformedMessageError
from hookwall.protocol.heartbeat_messages import Heartbeat, HeartbeatResponse
from hookwall.workers.fleet import Fleet
from hookwall.workers.lease_delegate import LeaseDelegate

log = logging.getLogger(__name__)


class HeartbeatReply(NamedTuple):
    """An HTTP response to a worker."""

    status: int
    body: bytes


MALFORMED = HeartbeatReply(400, b'{"error":"malformed"}')
UNAVAILABLE = HeartbeatReply(503, b"{}")


def _ignore_heartbeat() -> None:
    """For whoever writes no decisions."""


class HeartbeatRouter:
    """Decides which response a heartbeat gets on this node."""

    def __init__(
        self,
        leadership: Leadership,
        fleet: Fleet,
        lease_delegate: LeaseDelegate,
        cancellations: CancellationLedger,
        clock: Callable[[], float],
        on_heartbeat_processed: Callable[[], None] = _ignore_heartbeat,
    ) -> None:
        """`on_heartbeat_processed` is called when a heartbeat may have changed what has to be stored."""
        self.leadership = leadership
        self.fleet = fleet
        self.lease_delegate = lease_delegate
        self.cancellations = cancellations
        self.clock = clock
        self.on_heartbeat_processed = on_heartbeat_processed

    def respond(self, body: bytes) -> HeartbeatReply | Awaitable[HeartbeatReply]:
        """The response to a heartbeat. A leader has it at once; a lease delegate may have to store its key first."""
        try:
            heartbeat = heartbeat_messages.decode_heartbeat(body)
        except MalformedMessageError as error:
            log.info("malformed heartbeat: reason=%s", error)
            return MALFORMED
        leadership = self.leadership
        leadership.worker_heartbeats_seen += 1
        leadership.last_worker_heartbeat_at = self.clock()
        if leadership.valid():
            return self._respond_as_leader(heartbeat)
        if leadership.role.holds_leader_key():
            return UNAVAILABLE
        target = self.lease_delegate.redirect_target(heartbeat)
        return self._redirect(target) if target is not None else self._renew_lease(heartbeat)

    def _respond_as_leader(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """The response of a valid leader."""
        if not self.cancellations.may_renew_leases():
            return UNAVAILABLE  # too long without news of cancellations: this lease has to end in time
        self.fleet.begin_validity(self.clock())
        commands = self.fleet.process_heartbeat(heartbeat)
        if commands is None:
            return UNAVAILABLE
        self.on_heartbeat_processed()
        return HeartbeatReply(200, msgspec.json.encode(HeartbeatResponse(self.leadership.fencing_token, commands)))

    async def _renew_lease(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Renew the lease of a worker that has lost its leader, or redirect it."""
        commands = await self.lease_delegate.renew_lease(heartbeat)
        if commands is None:
            return self._redirect(self.leadership.leader_name())
        return HeartbeatReply(200, msgspec.json.encode(HeartbeatResponse(self.lease_delegate.fencing_token, commands)))

    def _redirect(self, leader: str | None) -> HeartbeatReply:
        """Name the leader to a worker, if one is known."""
        target = {"overseer": leader} if leader and leader != self.leadership.node_name else {}
        return HeartbeatReply(421, msgspec.json.encode(target))
