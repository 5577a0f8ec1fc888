"""The leadership of one node whose peers give the responses that a test prescribes."""

from collections.abc import Callable
from typing import Any

from conftest import FakeClock, ScriptedStore

from hookwall.leadership.leadership import Leadership
from hookwall.leadership.vote_grant import QUORUM_LEASE_S

Message = dict[str, Any]


class ScriptedPeer:
    """A peer that responds with the result of a function and records the messages that it receives."""

    def __init__(self, name: str, response: Callable[[Message], Message | None]) -> None:
        self.name = name
        self.response = response
        self.calls: list[Message] = []

    async def call(self, message: Message, timeout: float = 1.0) -> Message | None:
        """Return the prescribed response without delay."""
        self.calls.append(message)
        return self.response(message)


def make_leadership(
    store: ScriptedStore, clock: FakeClock, responses: list[Callable[[Message], Message | None]], **options: Any
) -> Leadership:
    """Return the leadership of a node that started long ago and has observed that there is no leader key."""

    async def rebuild_state() -> None:
        return None

    peers = [ScriptedPeer(f"n{number}", response) for number, response in enumerate(responses, 1)]
    leadership = Leadership("n0", 3, peers, store, clock, rebuild_state, lambda role: None, **options)
    clock.advance(QUORUM_LEASE_S * 2)
    leadership.observe_leader_key({}, 0)
    return leadership


def grants(message: Message) -> Message:
    """Respond as a peer that grants every vote and lease."""
    return {"ok": True, "sok": True, "top": 0}


def refuses(message: Message) -> Message:
    """Respond as a peer that grants nothing."""
    return {"ok": False, "sok": True, "top": 0}


def silent(message: Message) -> None:
    """Give no response, as a peer that can't be reached."""
