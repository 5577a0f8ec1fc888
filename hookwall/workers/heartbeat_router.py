"""Routes workers' heartbeats on a node: a leader answers them, a follower renews the lease or redirects the worker.

Invariant: a lease is renewed only by a valid leader, or by a lease delegate whose stored key names the machine, and
only while this node's knowledge of cancellations is recent enough.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from hookwall.jobs.cancellations import CancellationLedger
from hookwall.leadership.leadership import Leadership
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
    """Do nothing; the default for owners that store no decisions."""


class HeartbeatRouter:
    """Chooses the response to each heartbeat that reaches this node."""

    def __init__(
        self,
        leadership: Leadership,
        fleet: Fleet,
        lease_delegate: LeaseDelegate,
        cancellations: CancellationLedger,
        clock: Callable[[], float],
        on_heartbeat_processed: Callable[[], None] = _ignore_heartbeat,
    ) -> None:
        """`on_heartbeat_processed` is called after a heartbeat that may have caused changes to be stored."""
        self.leadership = leadership
        self.fleet = fleet
        self.lease_delegate = lease_delegate
        self.cancellations = cancellations
        self.clock = clock
        self.on_heartbeat_processed = on_heartbeat_processed

    def respond(self, body: bytes) -> HeartbeatReply | Awaitable[HeartbeatReply]:
        """Return the response to a heartbeat.

        A leader returns it immediately. A lease delegate may have to store its key first, so a follower may return an
        awaitable.
        """
        try:
            heartbeat = heartbeat_messages.decode_heartbeat(body)
        except MalformedMessageError as error:
            log.info("malformed heartbeat: reason=%s", error)
            return MALFORMED
        leadership = self.leadership
        leadership.worker_heartbeat_count += 1
        leadership.last_worker_heartbeat_at = self.clock()
        if leadership.valid():
            return self._respond_as_leader(heartbeat)
        if leadership.role.holds_leader_key():
            return UNAVAILABLE
        target = self.lease_delegate.redirect_target(heartbeat)
        return self._redirect(target) if target is not None else self._renew_lease(heartbeat)

    def _respond_as_leader(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Return the response of a valid leader."""
        if not self.cancellations.may_renew_leases():
            # This node's knowledge of cancellations is too old, so the worker's lease must be left to expire.
            return UNAVAILABLE
        self.fleet.begin_validity(self.clock())
        commands = self.fleet.process_heartbeat(heartbeat)
        if commands is None:
            return UNAVAILABLE
        self.on_heartbeat_processed()
        token = self.fleet.response_token(heartbeat.machine)
        return HeartbeatReply(200, msgspec.json.encode(HeartbeatResponse(token, commands)))

    async def _renew_lease(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Renew the lease of a worker that has lost contact with the leader, or redirect the worker."""
        commands = await self.lease_delegate.renew_lease(heartbeat)
        if commands is None:
            return self._redirect(self.leadership.leader_name())
        token = self.lease_delegate.response_token(heartbeat)
        return HeartbeatReply(200, msgspec.json.encode(HeartbeatResponse(token, commands)))

    def _redirect(self, leader: str | None) -> HeartbeatReply:
        """Return a redirect that names the leader, if another node is known to lead."""
        target = {"overseer": leader} if leader and leader != self.leadership.node_name else {}
        return HeartbeatReply(421, msgspec.json.encode(target))
