"""Reading and validation that both settings files share."""

import math
import tomllib
from pathlib import Path

from hookwall.errors import HookwallError


class InvalidSettingsError(HookwallError):
    """The settings can't be used; the text names the field."""


def read_toml(path: str, option: str) -> dict[str, object]:
    """Read the settings file that a command-line option names, without checking its fields.

    Raises:
        InvalidSettingsError: the file can't be read or is not TOML.
    """
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidSettingsError(f"{option}: cannot read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidSettingsError(f"{option}: {path} is not TOML: {error}") from error


def require_positive(field: str, value: float) -> None:
    """Refuse a number that is not finite and above 0."""
    if not (math.isfinite(value) and value > 0):
        raise InvalidSettingsError(f"{field} must be a positive number, is {value}")
