"""Entry point of a deployed node: dependencies and compiled modules come from `target/`, which the build step fills."""

import os
import sys
from importlib.machinery import FileFinder, SourceFileLoader

ROOT = os.path.dirname(os.path.abspath(__file__))


class BuiltLoader(SourceFileLoader):
    """Finds what the build compiled.

    A node can't write beside its sources, so each start compiled them anew: a second on a sixth of a core,
    while nobody leads. Only our own modules are looked for there; the library's are compiled where they are.
    """

    def get_code(self, fullname: str) -> object:
        """The code of a module, from `target/pycache` where the build compiled it."""
        sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = None


def find(path: str) -> FileFinder:
    """A finder for the folders of our own package; other folders keep theirs."""
    package = os.path.join(ROOT, "hookwall")
    if path != package and not path.startswith(package + os.sep):
        raise ImportError
    return FileFinder(path, (BuiltLoader, [".py"]))


sys.path_hooks.insert(0, find)
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))

from hookwall.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
