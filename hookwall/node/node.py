"""One controller node: runs the process and the loops of the subsystems that `composition` builds."""

import logging

from hookwall.api import server
from hookwall.config.platform import parse_address
from hookwall.leadership import peer_transport
from hookwall.node.composition import NodeComposition
from hookwall.node.supervision import Loop, run_supervised
from hookwall.workers.heartbeat_router import HeartbeatReply

log = logging.getLogger(__name__)


class Node(NodeComposition):
    """One controller node of a deployment."""

    async def respond_to_heartbeat(self, body: bytes) -> HeartbeatReply:
        """Return the response to a worker's heartbeat, for callers that can await it."""
        reply = self.heartbeat_router.respond(body)
        return reply if isinstance(reply, HeartbeatReply) else await reply

    def is_healthy(self) -> bool:
        """Whether this node can serve users, or knows that no other node can serve them either."""
        if not self.watch_progress.loaded:
            return False
        return self.store.healthy() or self.leadership.peer_observations.store_outage_is_shared()

    async def run(self) -> None:
        """Listen on the peer and public addresses and run all loops until the process ends.

        Raises:
            OSError: an address can't be listened on.
        """
        await self.store.open()
        await self.cloud_client.open()
        await peer_transport.serve_peers(self.settings.peer_listen, self.leadership.handle_peer_message)
        host, port = parse_address(self.settings.public_addr, "public_addr")
        http_server = server.HttpServer(
            self.job_service,
            self.heartbeat_router.respond,
            self.is_healthy,
            self.params.machine_limits.sockets,
            self.params.workers.report_s,
            self.clock,
        )
        await server.listen(http_server, host, port)
        log.info("node listening: node=%s", self.settings.node_name)
        await self.run_loops({"connection limit": http_server.run})

    async def run_loops(self, extra_loops: dict[str, Loop] | None = None) -> None:
        """Run all loops of this node and `extra_loops`, which maps names to loops, until the task is cancelled."""
        leadership = self.leadership
        loops: dict[str, Loop] = {
            "key watch": self.watch.run,
            "read confirmation": self.read_confirmation.run,
            "job writer": self.job_writer.run,
            "storage version": self.storage_version.run,
            "rounds": self.round_loop.run,
            "peer heartbeat": leadership.peer_heartbeat.run,
            "store probe": leadership.store_probe.run,
            **({"vote fence": leadership.vote_fence.establish} if leadership.vote_fence is not None else {}),
            "leadership": lambda: leadership.run(lambda: bool(self.fleet.machines)),
            "lease delegate": self.lease_delegate.run,
            "inventory": lambda: self.scale_out.inventory.run(leadership.valid),
            "drains": lambda: self.drains.run(leadership.valid),
            "scale-out": lambda: self.scale_out.run(leadership.valid, lambda: leadership.fencing_token),
            **(extra_loops or {}),
        }
        await run_supervised(loops)
