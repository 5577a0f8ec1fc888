"""Errors of messages and requests."""

from hookwall.errors import HookwallError


class ProtocolError(HookwallError):
    """A message can't be read, or a request got no response."""


class MalformedMessageError(ProtocolError):
    """A message is malformed; the text says how."""


class NoResponseError(ProtocolError):
    """No usable response arrived; the request may have been executed."""
