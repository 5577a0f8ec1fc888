"""What nodes send each other, as types; the short names on the wire stand only here (`peer_transport` carries them).

Programs of all storage versions exchange messages, so whatever may be missing has a default, unknown fields are
ignored, and a field that can't be read counts as missing. What has type `object` is checked by whoever applies it.
"""

from enum import StrEnum
from typing import TypeVar

import msgspec


class MessageKind(StrEnum):
    """What a message is for."""

    HEARTBEAT = "ping"  # a leader asks for its quorum lease; a follower shows that it is there
    VOTE = "vote"  # a candidate asks for a vote before it replaces the leader key
    RELEASE_VOTE = "release"  # a leader or candidate releases a vote or a quorum lease
    STORE_CONTACT = "fit"  # a leader asks whether the key-value store answers a peer
    CANCELLATIONS = "cancelled"  # a node sends cancellations for its user's sake


class PeerStatus(msgspec.Struct, frozen=True):
    """What a node states of itself in its heartbeats and responses; older programs state nothing."""

    storage_version: int | None = None  # the newest that its program knows
    limits_lowered: bool | None = None  # whether it has seen the store's limits to come in force


class PeerMessage(msgspec.Struct, kw_only=True):
    """A request from one node to another."""

    kind: str = msgspec.field(name="t")  # a `MessageKind`, or one that a newer program knows
    sender: str = msgspec.field(name="n")
    store_reachable: bool | None = msgspec.field(name="sok", default=None)  # whether the store answers the sender
    fencing_token: int | None = msgspec.field(name="tok", default=None)  # of the leadership; 0: it does not lead
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    revision: int | None = msgspec.field(name="pos", default=None)  # up to which a valid leader has read the records
    successor_hint: object = msgspec.field(name="hint", default=None)  # what the next leader would want to know
    lent_rates: object = msgspec.field(name="lent", default=None)  # requests and changes a second that it may add
    replaces_version: int | None = msgspec.field(name="replaces", default=None)  # of the leader key to be replaced
    # Whether a key that names the candidate proves that its leader is gone.
    proves_leader_gone: bool | None = msgspec.field(name="dead", default=None)
    election: int | None = msgspec.field(name="campaign", default=None)
    # An election whose key was not written and is not going to be.
    abandoned_election: int | None = msgspec.field(name="unwritten", default=None)
    transfer_to: str | None = msgspec.field(name="resign", default=None)  # who is to lead next
    cancellations: object = msgspec.field(name="jobs", default=None)  # pairs of job and version

    def sender_status(self) -> PeerStatus:
        """What the sender states of itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class PeerResponse(msgspec.Struct, kw_only=True):
    """The response to a `PeerMessage`."""

    granted: bool = msgspec.field(name="ok", default=False)
    store_reachable: bool = msgspec.field(name="sok", default=False)
    highest_token: int | None = msgspec.field(name="top", default=None)  # that the peer has granted a lease or vote for
    heartbeat_count: int | None = msgspec.field(name="beats", default=None)  # from workers, that reached it lately
    wanted_rates: object = msgspec.field(name="want", default=None)  # requests and changes a second, of the store
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    # Whether it has voted to replace the asking leader's key.
    voted_to_replace: bool | None = msgspec.field(name="replaced", default=None)
    fence_version: int | None = msgspec.field(name="fence", default=None)  # of the key that fences its votes
    store_contact_age_s: float | None = msgspec.field(name="age", default=None)  # since the store last answered it
    # Cancellations that the leader has not shown to know: pairs of job and version.
    cancellations: object = msgspec.field(name="cancelled", default=None)
    cancellations_complete: bool | None = msgspec.field(name="complete", default=None)  # whether they are all it knows
    cancellations_applied: bool | None = msgspec.field(name="knows", default=None)  # those that it was sent
    is_leader: bool | None = msgspec.field(name="leads", default=None)  # validly

    def sender_status(self) -> PeerStatus:
        """What the peer states of itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class KnownCancellations(msgspec.Struct, frozen=True):
    """The cancellations that a follower sends its leader with a quorum lease, and whether they are all it knows."""

    cancellations: object  # pairs of job and version
    complete: bool


Message = TypeVar("Message", PeerMessage, PeerResponse)


def encode_message(message: PeerMessage | PeerResponse) -> dict[str, object]:
    """What goes over the wire: all fields that are set."""
    return {
        field.encode_name: value
        for field in msgspec.structs.fields(message)
        if (value := getattr(message, field.name)) is not None
    }


def decode_message(raw: dict[str, object]) -> PeerMessage | None:
    """A peer's request; None if it does not state what it is for and whom it is from."""
    return _decode(raw, PeerMessage)


def decode_response(raw: dict[str, object]) -> PeerResponse:
    """A peer's response; one that can't be read grants nothing."""
    return _decode(raw, PeerResponse) or PeerResponse()


def _decode(raw: dict[str, object], kind: type[Message]) -> Message | None:
    """A message; where some fields can't be read, one without them."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        fields = msgspec.structs.fields(kind)
        readable = {field.encode_name: raw[field.encode_name] for field in fields if _is_readable(raw, field)}
    try:
        return msgspec.convert(readable, kind)
    except msgspec.ValidationError:
        return None


def _is_readable(raw: dict[str, object], field: msgspec.structs.FieldInfo) -> bool:
    """Whether a field is there and can be read."""
    if field.encode_name not in raw:
        return False
    try:
        msgspec.convert(raw[field.encode_name], field.type)
    except msgspec.ValidationError:
        return False
    return True
