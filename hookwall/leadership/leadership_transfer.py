"""How a leader gives way where another node could lead better."""

import asyncio
import logging
from typing import TYPE_CHECKING

from hookwall.leadership.roles import LeaseMode
from hookwall.leadership.vote_grant import QUORUM_LEASE_S
from hookwall.protocol.peer_messages import MessageKind, PeerMessage
from hookwall.storage.client import OutcomeUnknownError, RequestRejectedError

if TYPE_CHECKING:
    from hookwall.leadership.state_machine import Leadership

log = logging.getLogger(__name__)

NO_QUORUM_STEP_DOWN_S = 3.0  # so long without a majority, a leader gives way to those who may have one
FIT_S = 0.25  # so recently the state service must have answered a node that is to take over
FIT_WAIT_S = 0.5  # for a peer to say whether it is fit
ASK_AGAIN_S = 0.1
RECENT_S = 1.6  # what a peer said so long ago still counts
REFUSED_S = 2.5  # so long refused by the state service, a leader looks for one that is not
NO_REPORT_S = 4.0  # so long without a report, it looks for one that workers reach
MAJORITY_BACK_S = 5.0  # so long a majority answers before a leader in hold mode gives the key back
RESIGNED_S = 4.0  # pause before the next campaign


class LeadershipTransfer:
    """One leader's reasons to stop leading."""

    def __init__(self, lead: "Leadership") -> None:
        self.lead = lead
        self.quorum_since: float | None = None  # in hold mode

    async def check_fitness(self, now: float, machines_expected: bool) -> None:
        """Give way where another node could lead better."""
        lead = self.lead
        majority = lead.quorum_lease_until() - now > QUORUM_LEASE_S - NO_QUORUM_STEP_DOWN_S
        if (
            lead.lease_mode is LeaseMode.QUORUM_LEASE
            and not majority
            and now - lead.leader_since > NO_QUORUM_STEP_DOWN_S
        ):
            if lead.store.has_recent_response():
                await self._give_up_key("no majority answers", pause=1.0)
            return
        if lead.lease_mode is LeaseMode.SESSION_LEASE:
            await self._look_after_hold(now, majority)
            return
        bad = lead.store.failing_since
        if bad is not None and now - bad > REFUSED_S:
            fit = await self._fit([n for n, t in lead.peer_store_healthy_at.items() if now - t < RECENT_S])
            if fit and lead.store.failing_since is not None:
                await self.transfer_to(min(fit), "only this node lacks the state service")
                return
        if (
            machines_expected
            and now - lead.last_worker_heartbeat_at > NO_REPORT_S
            and now - lead.leader_since > NO_REPORT_S
        ):
            fit = [n for n, (t, k) in lead.peer_worker_heartbeats.items() if now - t < RECENT_S and k > 0]
            if fit:
                await self.transfer_to(min(fit), "no worker reaches this node")

    async def _look_after_hold(self, now: float, majority: bool) -> None:
        """In hold mode: the key goes back once a majority answers again."""
        if not majority:
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now
        elif now - self.quorum_since > MAJORITY_BACK_S:
            await self._give_up_key("a majority answers again", pause=0.0)

    async def transfer_to(self, to: str, why: str) -> None:
        """Stop commanding first, then say so, so that the successor need not wait for a promise."""
        lead = self.lead
        lead.step_down(f"resigns: {why}")
        lead.next_election_at = lead.clock() + RESIGNED_S
        lead.broadcast(
            PeerMessage(
                kind=MessageKind.RELEASE_VOTE, sender=lead.node_name, fencing_token=lead.fencing_token, transfer_to=to
            )
        )

    async def _fit(self, names: list[str]) -> list[str]:
        """Those of the peers whom the state service answers at this moment: they are made to ask it.

        What they last said may be a second old. A leader that was refused alone resigned to a peer just
        when the service was down for everybody, so nobody led and all leases ended in the outage.
        """
        peers = [p for p in self.lead.peers if p.name in names]
        fit: list[str] = []
        message = PeerMessage(kind=MessageKind.STORE_CONTACT, sender=self.lead.node_name)
        for _ in range(2):  # the first makes them ask, the second tells what came of it
            answers = await asyncio.gather(*(self.lead.call_peer(peer, message, FIT_WAIT_S) for peer in peers))
            ages = {
                peer.name: answer.store_contact_age_s
                for peer, answer in zip(peers, answers, strict=True)
                if answer is not None
            }
            fit = [name for name, age in ages.items() if age is not None and age < FIT_S]
            if fit or not peers:
                break
            await asyncio.sleep(ASK_AGAIN_S)
        return fit

    async def _give_up_key(self, why: str, pause: float) -> None:
        """Stop commanding, then remove the key, so that whoever can lead need not wait."""
        lead = self.lead
        hold = lead.session_lease
        lead.step_down(why)
        lead.next_election_at = lead.clock() + pause
        if hold is not None:
            try:
                await lead.store.revoke_session_lease(hold)
            except (RequestRejectedError, OutcomeUnknownError) as e:
                log.debug("could not drop the hold: %s", e)
