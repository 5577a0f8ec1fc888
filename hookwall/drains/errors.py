"""Errors of drains, as the operators' command tells them apart."""

from hookwall.errors import HookwallError


class DrainError(HookwallError):
    """A drain can't be previewed, started or changed as requested."""


class InvalidDrainRequestError(DrainError):
    """The request can't be meant; the text names the field and its allowed values."""


class DrainNotFoundError(DrainError):
    """No such drain, or no such machine in it."""


class ClusterUnavailableError(DrainError):
    """The cloud's inventory, which the command needs, can't be read."""


class SolverMissingError(DrainError):
    """The constraint solver is not installed."""


class TooFewWavesError(DrainError, ValueError):
    """The waves that were thought to be enough are not."""
