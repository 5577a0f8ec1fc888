"""Types of the messages between nodes. Their short wire names appear only here (`peer_transport` carries the messages).

Programs of all storage versions exchange messages. So each field that may be missing has a default, unknown fields are
ignored, and a field that can't be decoded counts as missing. A field of type `object` is checked by the code that
applies it.
"""

from enum import StrEnum
from typing import TypeVar

import msgspec


class MessageKind(StrEnum):
    """The purpose of a message."""

    HEARTBEAT = "ping"  # a leader requests its quorum lease; a follower shows that it is alive
    VOTE = "vote"  # a candidate requests a vote before it replaces the leader key
    RELEASE_VOTE = "release"  # a leader or candidate releases a vote or a quorum lease
    STORE_CONTACT = "fit"  # a leader asks whether the key-value store responds to a peer
    CANCELLATIONS = "cancelled"  # a node announces cancellations before it confirms them to a user


class PeerStatus(msgspec.Struct, frozen=True):
    """What a node reports about itself in its heartbeats and responses; older programs report nothing."""

    storage_version: int | None = None  # the newest storage version that its program supports
    limits_lowered: bool | None = None  # whether it has seen the store's upcoming limits in force


class PeerMessage(msgspec.Struct, kw_only=True):
    """A request from one node to another."""

    kind: str = msgspec.field(name="t")  # a `MessageKind`, or a kind that only newer programs know
    sender: str = msgspec.field(name="n")
    # Whether the key-value store responds to the sender.
    store_reachable: bool | None = msgspec.field(name="sok", default=None)
    # The fencing token of the sender's leadership; 0: the sender does not lead.
    fencing_token: int | None = msgspec.field(name="tok", default=None)
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    # The revision up to which the sender, a valid leader, has read the records.
    revision: int | None = msgspec.field(name="pos", default=None)
    # Cached images and arrival rates, for the node that leads next.
    successor_hint: object = msgspec.field(name="hint", default=None)
    # Requests and changes a second that the leader lends to the receiver.
    lent_rates: object = msgspec.field(name="lent", default=None)
    # The version of the leader key that is to be replaced.
    replaces_version: int | None = msgspec.field(name="replaces", default=None)
    # Whether a leader key that names the candidate proves that the leader is gone.
    proves_leader_gone: bool | None = msgspec.field(name="dead", default=None)
    election: int | None = msgspec.field(name="campaign", default=None)
    # An election whose leader key was not written and never will be.
    abandoned_election: int | None = msgspec.field(name="unwritten", default=None)
    transfer_to: str | None = msgspec.field(name="resign", default=None)  # the node that is to lead next
    cancellations: object = msgspec.field(name="jobs", default=None)  # pairs of job id and version

    def sender_status(self) -> PeerStatus:
        """Return what the sender reports about itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class PeerResponse(msgspec.Struct, kw_only=True):
    """The response to a `PeerMessage`."""

    granted: bool = msgspec.field(name="ok", default=False)
    store_reachable: bool = msgspec.field(name="sok", default=False)
    # The highest fencing token for which the peer has granted a lease or vote.
    highest_token: int | None = msgspec.field(name="top", default=None)
    # The number of heartbeats that the peer has received from workers; 0 if none came recently.
    heartbeat_count: int | None = msgspec.field(name="beats", default=None)
    # Requests and changes a second that the peer needs of the key-value store.
    wanted_rates: object = msgspec.field(name="want", default=None)
    storage_version: int | None = msgspec.field(name="format", default=None)
    limits_lowered: bool | None = msgspec.field(name="lowered", default=None)
    # Whether the peer has voted to replace the requesting leader's key.
    voted_to_replace: bool | None = msgspec.field(name="replaced", default=None)
    # The version of the key that fences the peer's votes.
    fence_version: int | None = msgspec.field(name="fence", default=None)
    # Seconds since the key-value store last responded to the peer.
    store_contact_age_s: float | None = msgspec.field(name="age", default=None)
    # Cancellations above the leader's `revision`, which the leader may not know: pairs of job id and version.
    cancellations: object = msgspec.field(name="cancelled", default=None)
    # Whether `cancellations` holds all of these cancellations that the peer knows.
    cancellations_complete: bool | None = msgspec.field(name="complete", default=None)
    # Whether the peer has applied the cancellations that it was sent.
    cancellations_applied: bool | None = msgspec.field(name="knows", default=None)
    is_leader: bool | None = msgspec.field(name="leads", default=None)  # whether the peer is a valid leader

    def sender_status(self) -> PeerStatus:
        """Return what the peer reports about itself."""
        return PeerStatus(self.storage_version, self.limits_lowered)


class KnownCancellations(msgspec.Struct, frozen=True):
    """The cancellations that a follower sends its leader with a quorum lease, and whether these are all it knows."""

    cancellations: object  # pairs of job id and version
    complete: bool


Message = TypeVar("Message", PeerMessage, PeerResponse)


def encode_message(message: PeerMessage | PeerResponse) -> dict[str, object]:
    """Encode a message for the wire, with all fields that are set."""
    return {
        field.encode_name: value
        for field in msgspec.structs.fields(message)
        if (value := getattr(message, field.name)) is not None
    }


def decode_message(raw: dict[str, object]) -> PeerMessage | None:
    """Decode a peer's request; return None if the kind or the sender is missing."""
    return _decode(raw, PeerMessage)


def decode_response(raw: dict[str, object]) -> PeerResponse:
    """Decode a peer's response; one that can't be decoded grants nothing."""
    return _decode(raw, PeerResponse) or PeerResponse()


def _decode(raw: dict[str, object], kind: type[Message]) -> Message | None:
    """Decode a message without the fields that can't be decoded; return None if a required field is missing."""
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError:
        fields = msgspec.structs.fields(kind)
        decodable = {field.encode_name: raw[field.encode_name] for field in fields if _is_decodable(raw, field)}
    try:
        return msgspec.convert(decodable, kind)
    except msgspec.ValidationError:
        return None


def _is_decodable(raw: dict[str, object], field: msgspec.structs.FieldInfo) -> bool:
    """Whether a field is present and can be decoded."""
    if field.encode_name not in raw:
        return False
    try:
        msgspec.convert(raw[field.encode_name], field.type)
    except msgspec.ValidationError:
        return False
    return True
