"""Definitions that all JSON messages share: amounts, limits and the error for malformed messages."""

from typing import Annotated, TypeVar

import msgspec

from hookwall.protocol.errors import MalformedMessageError

__all__ = ["MAX_BODY_BYTES", "Amount", "Count", "MalformedMessageError", "convert_message"]

MAX_BODY_BYTES = 64 * 1024

Message = TypeVar("Message")
Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


def convert_message(raw: object, kind: type[Message]) -> Message:
    """Convert a decoded body to a message of this type; raise MalformedMessageError if it is malformed."""
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from error
