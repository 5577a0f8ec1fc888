"""The base class of all errors that this program itself raises; each subsystem derives its own errors from it."""


class HookwallError(Exception):
    """Base of the typed errors of all subsystems."""
