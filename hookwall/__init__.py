"""hookwall: a cluster scheduler. See README.md for its modules and docs/design.md for how it works."""

__version__ = "0.2.0"
