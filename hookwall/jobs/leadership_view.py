"""What writes and cancellations ask of the leadership of their node."""

import asyncio
from typing import Protocol

from hookwall.leadership.roles import LeaseMode, Role
from hookwall.protocol.peer_messages import PeerMessage, PeerResponse


class LeaderKeyView(Protocol):
    """The leader key as this node knows it."""

    @property
    def version(self) -> int:
        """The version of the key; 0: there is none."""

    @property
    def lease_mode(self) -> LeaseMode:
        """By which lease the leader that it names is valid."""


class LeadershipView(Protocol):
    """Who leads as far as this node knows, and with what authority."""

    @property
    def role(self) -> Role:
        """This node's part in leading."""

    @property
    def fencing_token(self) -> int:
        """The version of the leader key as this node has written it."""

    def valid(self) -> bool:
        """Whether this node may command at this moment."""

    def step_down(self, why: str) -> None:
        """Stop leading."""


class PeerLeadershipView(LeadershipView, Protocol):
    """The same, with the quorum of the nodes and messages to them."""

    @property
    def node_name(self) -> str:
        """This node's name."""

    @property
    def quorum(self) -> int:
        """How many nodes are a majority."""

    @property
    def lease_mode(self) -> LeaseMode:
        """By which lease this node is valid while it leads."""

    @property
    def leader_key(self) -> LeaderKeyView:
        """The leader key as this node knows it."""

    def quorum_reached_at(self, sent_at: dict[str, float], /) -> float:
        """The latest time since which a majority was asked and has answered; by peer, when it was last asked."""

    def call_all_peers(self, message: PeerMessage, timeout_s: float) -> list[asyncio.Task[PeerResponse | None]]:
        """Send a message to all peers; their responses as they come, None for none."""
