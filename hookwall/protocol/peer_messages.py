"""What nodes say to each other, as types. `peers` carries it; the short names on the wire stand only here.

Programs of all formats speak to each other, so whatever may be missing has a default, unknown fields are ignored, and a
field that can't be read counts as missing.
"""

from enum import StrEnum
from typing import Any, TypeVar

import msgspec


class Kind(StrEnum):
    """What a message is for."""

    PING = "ping"  # a leader asks for support; a follower says that it is there
    VOTE = "vote"  # a candidate asks for support before it replaces the leader key
    RELEASE = "release"  # a leader or candidate gives support back
    FIT = "fit"  # a leader asks whether the state service answers a peer
    CANCELLED = "cancelled"  # a node tells of cancellations for its user's sake


class About(msgspec.Struct, frozen=True):
    """What a node says of itself in its pings and answers; older programs say nothing."""

    format: int | None = None  # the newest format that its program knows
    lowered: bool | None = None  # whether it has seen the state service's limits to come in force


class PeerMessage(msgspec.Struct, kw_only=True):
    """A request from one node to another."""

    kind: str = msgspec.field(name="t")  # a `Kind`, or one that a newer program knows
    node: str = msgspec.field(name="n")
    state_ok: bool | None = msgspec.field(name="sok", default=None)  # whether the state service answers it
    token: int | None = msgspec.field(name="tok", default=None)  # of the leadership; 0: it does not lead
    format: int | None = None
    lowered: bool | None = None
    position: int | None = msgspec.field(name="pos", default=None)  # up to which a valid leader has read the records
    hint: Any = None  # what the next leader would want to know (hints.py)
    lent: Any = None  # requests and changes a second that the receiver may make beyond its share
    replaces: int | None = None  # stamp of the leader key that a candidate is to replace
    dead: bool | None = None  # whether a key that names the candidate proves that its leader is gone
    campaign: int | None = None
    unwritten: int | None = None  # a campaign whose key was not written and is not going to be
    resign: str | None = None  # who is to lead next
    jobs: Any = None  # cancellations: pairs of job and stamp

    def about(self) -> About:
        """What the sender says of itself."""
        return About(self.format, self.lowered)


class PeerAnswer(msgspec.Struct, kw_only=True):
    """The answer to a `PeerMessage`."""

    ok: bool = False
    state_ok: bool = msgspec.field(name="sok", default=False)
    top: int | None = None  # the highest token that the peer has promised support to
    beats: int | None = None  # reports that reached it lately
    want: Any = None  # requests and changes a second that it wants of the state service
    format: int | None = None
    lowered: bool | None = None
    replaced: bool | None = None  # whether it has voted to replace the asking leader's key
    fence: int | None = None  # stamp of the key that fences its votes
    age: float | None = None  # how long ago the state service last answered it
    cancelled: Any = None  # cancellations that the leader has not shown to know: pairs of job and stamp
    complete: bool | None = None  # whether those are all that it knows
    knows: bool | None = None  # whether it has taken in the cancellations that it was told
    leads: bool | None = None  # whether it leads validly

    def about(self) -> About:
        """What the peer says of itself."""
        return About(self.format, self.lowered)


class ToldCancellations(msgspec.Struct, frozen=True):
    """What a supporter tells its leader with a promise."""

    jobs: Any  # pairs of job and stamp
    complete: bool


Message = TypeVar("Message", PeerMessage, PeerAnswer)


def encode(message: PeerMessage | PeerAnswer) -> dict[str, Any]:
    """What goes over the wire: all fields that say something."""
    return {
        field.encode_name: value
        for field in msgspec.structs.fields(message)
        if (value := getattr(message, field.name)) is not None
    }


def decode_message(raw: dict[str, Any]) -> PeerMessage | None:
    """A peer's request; None if it does not say what it is for and whom it is from."""
    return _decode(raw, PeerMessage)


def decode_answer(raw: dict[str, Any]) -> PeerAnswer:
    """A peer's answer."""
    return _decode(raw, PeerAnswer) or PeerAnswer()


def _decode(raw: dict[str, Any], kind: type[Message]) -> Message | None:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        readable = {f.encode_name: raw[f.encode_name] for f in msgspec.structs.fields(kind) if _fits(raw, f)}
    try:
        return msgspec.convert(readable, kind)
    except msgspec.ValidationError:
        return None


def _fits(raw: dict[str, Any], field: msgspec.structs.FieldInfo) -> bool:
    """Whether a field is there and can be read."""
    if field.encode_name not in raw:
        return False
    try:
        msgspec.convert(raw[field.encode_name], field.type)
    except msgspec.ValidationError:
        return False
    return True
