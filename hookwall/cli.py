"""The command line: the daemon, and the operators' commands beside it."""

import argparse
import gc
import logging
import os
import sys

from hookwall import __version__
from hookwall.config.checks import InvalidSettingsError
from hookwall.config.operations import load_operations
from hookwall.config.platform import load_settings

GC_EVERY = 10_000  # new objects

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser(with_tools: bool = True) -> argparse.ArgumentParser:
    """All commands; without the operators' tools where only the daemon is to start, which should listen soon."""
    p = argparse.ArgumentParser(prog="hookwall", description="A cluster scheduler.")
    p.add_argument("--version", action="version", version=f"hookwall {__version__}")
    commands = p.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run one controller node until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings file (TOML)")
    serve.add_argument("--operations", metavar="FILE", help="the operators' own settings: what is switched on (TOML)")
    serve.set_defaults(run=run_serve)
    if with_tools:
        from hookwall.drains import arguments

        arguments.add_parser(commands)
    return p


def log_to_stderr(level: str) -> None:
    """Log lines of this level and above go to standard error; InvalidSettingsError for an unknown level."""
    if level not in LEVELS:
        raise InvalidSettingsError(f"LOG_LEVEL: must be one of {', '.join(LEVELS)}, is {level!r}")
    logging.basicConfig(
        level=LEVELS[level], stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s", force=True
    )
    for noisy in ("asyncio", "aiohttp"):
        logging.getLogger(noisy).setLevel(logging.ERROR)


def run_serve(args: argparse.Namespace) -> int:
    """Run one controller node until it is killed; returns the exit status."""
    log_to_stderr(os.environ.get("LOG_LEVEL") or "error")
    settings = load_settings(args.config)
    operations = load_operations(args.operations, settings.platform)
    # All is plain HTTP here, and aiohttp reads every certificate of the machine as it is imported: a third of the
    # time until a node listens.
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
    # Imported late: bad settings are told without waiting for the HTTP library.
    import uvloop

    from hookwall.node.node import Node

    async def main() -> None:
        await Node(settings, operations=operations).run()

    # What was imported stays, and messages make no cycles: looking through all that every 700 objects finds nothing.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_EVERY)

    try:
        uvloop.run(main())
    except KeyboardInterrupt:
        return 130
    except OSError as e:
        print(f"hookwall: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


def main(argv: list[str] | None = None) -> int:
    """Entry point: run a command and return its exit status."""
    words = sys.argv[1:] if argv is None else argv
    args = parser(with_tools=words[:1] != ["serve"]).parse_args(words)
    try:
        return int(args.run(args))
    except InvalidSettingsError as e:
        print(f"hookwall: {e}", file=sys.stderr)
        return 2
