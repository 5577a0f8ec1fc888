"""hookwall: a cluster scheduler. Each module is one duty; see docs/design.md."""

__version__ = "0.1.0"
