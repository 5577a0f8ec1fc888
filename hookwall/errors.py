"""The root of all errors that this program raises itself; each subsystem derives its own from it."""


class HookwallError(Exception):
    """Base of the typed errors of all subsystems."""
