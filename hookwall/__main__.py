"""Runs the command line for `python -m hookwall`."""

import sys

from hookwall.cli import main

if __name__ == "__main__":
    sys.exit(main())
