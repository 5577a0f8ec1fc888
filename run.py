"""Entry point of a deployed node. Dependencies and compiled modules are in `target/`, which the build step fills."""

import os
import sys
from importlib.machinery import FileFinder, SourceFileLoader

ROOT = os.path.dirname(os.path.abspath(__file__))


class PrecompiledLoader(SourceFileLoader):
    """Loads the bytecode that the build step compiled.

    A node can't write bytecode next to its sources, so without this loader each start compiled all sources again. That
    took a second on a sixth of a core, during which there was no leader. The loader serves hookwall's own modules only;
    the bytecode of libraries is next to their sources.
    """

    def get_code(self, fullname: str) -> object:
        """Return the code of a module, from `target/pycache` if the build step compiled it."""
        sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = None


def hookwall_finder(path: str) -> FileFinder:
    """Return a finder for the directories of the hookwall package.

    Raises ImportError for other directories, so that they keep their own finders.
    """
    package = os.path.join(ROOT, "hookwall")
    if path != package and not path.startswith(package + os.sep):
        raise ImportError
    return FileFinder(path, (PrecompiledLoader, [".py"]))


sys.path_hooks.insert(0, hookwall_finder)
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))

from hookwall.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
