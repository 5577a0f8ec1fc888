"""Workers' reports as they reach a node: a leader answers, a follower keeps a lease or names the leader."""

import logging
from collections.abc import Awaitable, Callable

import msgspec

from hookwall.jobs.cancellations import CancellationLedger
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Heartbeat
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.workers.fleet import Fleet
from hookwall.workers.lease_delegate import LeaseDelegate

log = logging.getLogger(__name__)

HeartbeatReply = tuple[int, bytes]
UNAVAILABLE: HeartbeatReply = (503, b"{}")


class HeartbeatRouter:
    """Decides which answer a report gets on this node."""

    def __init__(
        self,
        leadership: Leadership,
        fleet: Fleet,
        keeper: LeaseDelegate,
        cancellations: CancellationLedger,
        clock: Callable[[], float],
    ) -> None:
        self.leadership, self.fleet, self.lease_delegate = leadership, fleet, keeper
        self.cancellations, self.clock = cancellations, clock
        self.on_heartbeat_processed: Callable[[], None] = lambda: None  # a report has changed what is known

    def respond(self, body: bytes) -> HeartbeatReply | Awaitable[HeartbeatReply]:
        """A worker's report. A leader knows the answer at once; one that keeps a lease may have to store that first."""
        try:
            beat = heartbeat_messages.decode_heartbeat(body)
        except MalformedMessageError as error:
            log.info("malformed report: %s", error)
            return 400, b'{"error":"malformed"}'
        lead = self.leadership
        lead.worker_heartbeats_seen += 1
        lead.last_worker_heartbeat_at = self.clock()
        if not lead.valid():
            if lead.role.holds_leader_key():
                return UNAVAILABLE
            name = self.lease_delegate.redirect_target(beat)
            return self._elsewhere(name) if name is not None else self._keep_lease(beat)
        if not self.cancellations.may_renew_leases():
            return UNAVAILABLE  # too long without news of cancellations: this lease has to end in time
        self.fleet.begin_validity(self.clock())
        orders = self.fleet.process_heartbeat(beat)
        if orders is None:
            return UNAVAILABLE
        self.on_heartbeat_processed()
        return 200, msgspec.json.encode(heartbeat_messages.HeartbeatResponse(lead.fencing_token, orders))

    def _elsewhere(self, name: str | None) -> HeartbeatReply:
        """Send a worker to the leader, if one is known."""
        return 421, msgspec.json.encode({"overseer": name} if name and name != self.leadership.node_name else {})

    async def _keep_lease(self, beat: Heartbeat) -> HeartbeatReply:
        """Keep the lease of a worker that has lost its leader, or send it there."""
        orders = await self.lease_delegate.renew_lease(beat)
        if orders is None:
            return self._elsewhere(self.leadership.leader_name())
        return 200, msgspec.json.encode(heartbeat_messages.HeartbeatResponse(self.lease_delegate.fencing_token, orders))
