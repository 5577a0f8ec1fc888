"""What all JSON messages have in common: amounts, limits and the error for a malformed one."""

from typing import Annotated, TypeVar

import msgspec

MAX_BODY_BYTES = 64 * 1024


Message = TypeVar("Message")


class MalformedMessageError(Exception):
    """A message is malformed; the text says how."""


Count = Annotated[int, msgspec.Meta(ge=0)]


Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


def convert_message(raw: object, kind: type[Message]) -> Message:
    """A decoded body as one of the kinds above, or BadMessage."""
    try:
        return msgspec.convert(raw, kind, strict=False)
    except msgspec.ValidationError as e:
        raise MalformedMessageError(str(e)) from None
