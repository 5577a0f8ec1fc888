"""Workers' reports as they reach a node: a leader answers, a follower keeps a lease or names the leader."""

import logging
from collections.abc import Awaitable, Callable

import msgspec

from hookwall.jobs.cancellations import Cancellations
from hookwall.leadership.state_machine import Leadership
from hookwall.protocol import heartbeat_messages
from hookwall.protocol.heartbeat_messages import Beat
from hookwall.protocol.json_messages import BadMessage
from hookwall.workers.fleet import Fleet
from hookwall.workers.lease_delegate import Keeper

log = logging.getLogger(__name__)

BeatAnswer = tuple[int, bytes]
UNAVAILABLE: BeatAnswer = (503, b"{}")


class BeatHandler:
    """Decides which answer a report gets on this node."""

    def __init__(
        self,
        leadership: Leadership,
        fleet: Fleet,
        keeper: Keeper,
        cancellations: Cancellations,
        clock: Callable[[], float],
    ) -> None:
        self.leadership, self.fleet, self.keeper = leadership, fleet, keeper
        self.cancellations, self.clock = cancellations, clock
        self.on_report: Callable[[], None] = lambda: None  # a report has changed what is known

    def take(self, body: bytes) -> BeatAnswer | Awaitable[BeatAnswer]:
        """A worker's report. A leader knows the answer at once; one that keeps a lease may have to store that first."""
        try:
            beat = heartbeat_messages.decode_beat(body)
        except BadMessage as error:
            log.info("malformed report: %s", error)
            return 400, b'{"error":"malformed"}'
        lead = self.leadership
        lead.beats_seen += 1
        lead.last_beat = self.clock()
        if not lead.valid():
            if lead.role.leads():
                return UNAVAILABLE
            name = self.keeper.sends(beat)
            return self._elsewhere(name) if name is not None else self._keep_lease(beat)
        if not self.cancellations.may_renew():
            return UNAVAILABLE  # too long without news of cancellations: this lease has to end in time
        self.fleet.begin(self.clock())
        orders = self.fleet.report(beat)
        if orders is None:
            return UNAVAILABLE
        self.on_report()
        return 200, msgspec.json.encode(heartbeat_messages.BeatAnswer(lead.token, orders))

    def _elsewhere(self, name: str | None) -> BeatAnswer:
        """Send a worker to the leader, if one is known."""
        return 421, msgspec.json.encode({"overseer": name} if name and name != self.leadership.me else {})

    async def _keep_lease(self, beat: Beat) -> BeatAnswer:
        """Keep the lease of a worker that has lost its leader, or send it there."""
        orders = await self.keeper.keep(beat)
        if orders is None:
            return self._elsewhere(self.leadership.leader_name())
        return 200, msgspec.json.encode(heartbeat_messages.BeatAnswer(self.keeper.token, orders))
