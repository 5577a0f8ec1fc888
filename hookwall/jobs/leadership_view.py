"""Interfaces through which job writes and cancellations use the leadership of their node."""

import asyncio
from typing import Protocol

from hookwall.leadership.roles import LeaseMode, Role
from hookwall.protocol.peer_messages import PeerMessage, PeerResponse


class LeaderKeyView(Protocol):
    """The leader key as this node knows it."""

    @property
    def version(self) -> int:
        """The version of the key; 0 if there is none."""

    @property
    def lease_mode(self) -> LeaseMode:
        """The kind of lease by which the leader named in the key is valid."""


class LeadershipView(Protocol):
    """This node's role, its validity as leader and its fencing token."""

    @property
    def role(self) -> Role:
        """This node's leadership role."""

    @property
    def fencing_token(self) -> int:
        """The version of the leader key at which this node wrote it."""

    def valid(self) -> bool:
        """Whether this node may act as leader at this moment."""

    def step_down(self, reason: str) -> None:
        """Stop leading, for the given reason."""

    async def resign(self, reason: str) -> None:
        """Stop leading, for the given reason, and leave the leadership to another node if there is one."""


class PeerLeadershipView(LeadershipView, Protocol):
    """A `LeadershipView` with the quorum of the nodes and messages to peers."""

    @property
    def node_name(self) -> str:
        """This node's name."""

    @property
    def quorum(self) -> int:
        """The number of nodes that form a majority."""

    @property
    def lease_mode(self) -> LeaseMode:
        """The kind of lease by which this node is valid while it leads."""

    @property
    def leader_key(self) -> LeaderKeyView:
        """The leader key as this node knows it."""

    def quorum_reached_at(self, sent_at: dict[str, float], /) -> float:
        """The latest time such that a majority of nodes has answered requests that were sent at that time or later.

        `sent_at` maps each peer to the send time of the last request that it answered.
        """

    def call_all_peers(self, message: PeerMessage, timeout_s: float) -> list[asyncio.Task[PeerResponse | None]]:
        """Send a message to all peers; return one task for each peer, which gives None if there was no response."""
