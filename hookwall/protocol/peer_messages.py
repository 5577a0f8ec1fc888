"""What nodes say to each other, as types. `peers` carries it; the short names on the wire stand only here.

Programs of all formats speak to each other, so whatever may be missing has a default, unknown fields are ignored, and a
field that can't be read counts as missing.
"""

from enum import StrEnum
from typing import Any, TypeVar

import msgspec


class MessageKind(StrEnum):
    """What a message is for."""

    HEARTBEAT = "ping"  # a leader asks for support; a follower says that it is there
    VOTE = "vote"  # a candidate asks for support before it replaces the leader key
    RELEASE_VOTE = "release"  # a leader or candidate gives support back
    STORE_CONTACT = "fit"  # a leader asks whether the state service answers a peer
    CANCELLATIONS = "cancelled"  # a node tells of cancellations for its user's sake


class PeerStatus(msgspec.Struct, frozen=True):
    """What a node says of itself in its pings and answers; older programs say nothing."""

    storage_version: int | None = None  # the newest format that its program knows
    limits_lowered: bool | None = None  # whether it has seen the state service's limits to come in force


class PeerMessage(msgspec.Struct, kw_only=True):
    """A request from one node to another."""

    kind: str = msgspec.field(name="t")  # a `Kind`, or one that a newer program knows
    sender: str = msgspec.field(name="n")
    store_reachable: bool | None = msgspec.field(name="sok", default=None)  # whether the state service answers it
    fencing_token: int | None = msgspec.field(name="tok", default=None)  # of the leadership; 0: it does not lead
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    revision: int | None = msgspec.field(name="pos", default=None)  # up to which a valid leader has read the records
    successor_hint: Any = msgspec.field(name="hint", default=None)  # what the next leader would want to know (hints.py)
    lent_rates: Any = msgspec.field(
        name="lent", default=None
    )  # requests and changes a second that the receiver may make beyond its share
    replaces_version: int | None = msgspec.field(
        name="replaces", default=None
    )  # stamp of the leader key that a candidate is to replace
    proves_leader_gone: bool | None = msgspec.field(
        name="dead", default=None
    )  # whether a key that names the candidate proves that its leader is gone
    election: int | None = msgspec.field(name="campaign", default=None)
    abandoned_election: int | None = msgspec.field(
        name="unwritten", default=None
    )  # a campaign whose key was not written and is not going to be
    transfer_to: str | None = msgspec.field(name="resign", default=None)  # who is to lead next
    cancellations: Any = msgspec.field(name="jobs", default=None)  # cancellations: pairs of job and stamp

    def sender_status(self) -> PeerStatus:
        """What the sender says of itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class PeerResponse(msgspec.Struct, kw_only=True):
    """The answer to a `PeerMessage`."""

    granted: bool = msgspec.field(name="ok", default=False)
    store_reachable: bool = msgspec.field(name="sok", default=False)
    highest_token: int | None = msgspec.field(
        name="top", default=None
    )  # the highest token that the peer has promised support to
    heartbeat_count: int | None = msgspec.field(name="beats", default=None)  # reports that reached it lately
    wanted_rates: Any = msgspec.field(
        name="want", default=None
    )  # requests and changes a second that it wants of the state service
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    voted_to_replace: bool | None = msgspec.field(
        name="replaced", default=None
    )  # whether it has voted to replace the asking leader's key
    fence_version: int | None = msgspec.field(name="fence", default=None)  # stamp of the key that fences its votes
    store_contact_age_s: float | None = msgspec.field(
        name="age", default=None
    )  # how long ago the state service last answered it
    cancellations: Any = msgspec.field(
        name="cancelled", default=None
    )  # cancellations that the leader has not shown to know: pairs of job and stamp
    cancellations_complete: bool | None = msgspec.field(
        name="complete", default=None
    )  # whether those are all that it knows
    cancellations_applied: bool | None = msgspec.field(
        name="knows", default=None
    )  # whether it has taken in the cancellations that it was told
    is_leader: bool | None = msgspec.field(name="leads", default=None)  # whether it leads validly

    def sender_status(self) -> PeerStatus:
        """What the peer says of itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class KnownCancellations(msgspec.Struct, frozen=True):
    """What a supporter tells its leader with a promise."""

    cancellations: Any  # pairs of job and stamp
    complete: bool


Message = TypeVar("Message", PeerMessage, PeerResponse)


def encode_message(message: PeerMessage | PeerResponse) -> dict[str, Any]:
    """What goes over the wire: all fields that say something."""
    return {
        field.encode_name: value
        for field in msgspec.structs.fields(message)
        if (value := getattr(message, field.name)) is not None
    }


def decode_message(raw: dict[str, Any]) -> PeerMessage | None:
    """A peer's request; None if it does not say what it is for and whom it is from."""
    return _decode(raw, PeerMessage)


def decode_response(raw: dict[str, Any]) -> PeerResponse:
    """A peer's answer."""
    return _decode(raw, PeerResponse) or PeerResponse()


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
