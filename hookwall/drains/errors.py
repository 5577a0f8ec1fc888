"""Errors of drains, as the operators' command distinguishes them."""

from hookwall.errors import HookwallError


class DrainError(HookwallError):
    """A drain can't be previewed, started or changed as requested."""


class InvalidDrainRequestError(DrainError):
    """The request is invalid; the message names the field and its allowed values."""


class DrainNotFoundError(DrainError):
    """The drain does not exist, or the machine is not part of it."""


class ClusterUnavailableError(DrainError):
    """The cloud's inventory, which the command needs, can't be read."""


class SolverMissingError(DrainError):
    """The constraint solver is not installed."""


class TooFewWavesError(DrainError, ValueError):
    """The number of waves that was given as sufficient is too small."""
