"""Entry point of a deployed node: dependencies come from `target/deps`, which the build step fills."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))

from hookwall.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
