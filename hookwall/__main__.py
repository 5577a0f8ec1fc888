"""`python -m hookwall`: the command line."""

import sys

from hookwall.cli import main

if __name__ == "__main__":
    sys.exit(main())
