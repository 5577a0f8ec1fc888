"""The command line: the command that runs the daemon, and the operators' commands."""

import argparse
import gc
import logging
import os
import sys

from hookwall import __version__
from hookwall.config.checks import InvalidSettingsError
from hookwall.config.operations import load_operations
from hookwall.config.platform import load_settings

GC_THRESHOLD = 10_000  # the number of new objects after which a garbage collection starts

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser(with_operator_commands: bool = True) -> argparse.ArgumentParser:
    """Build the parser of all commands.

    Without `with_operator_commands` the operators' commands are left out, so that the daemon starts to listen sooner.
    """
    root_parser = argparse.ArgumentParser(prog="hookwall", description="A cluster scheduler.")
    root_parser.add_argument("--version", action="version", version=f"hookwall {__version__}")
    commands = root_parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run one controller node until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings file (TOML)")
    serve.add_argument("--operations", metavar="FILE", help="the operators' own settings: what is switched on (TOML)")
    serve.set_defaults(run=run_serve)
    if with_operator_commands:
        from hookwall.drains import arguments

        arguments.add_parser(commands)
    return root_parser


def log_to_stderr(level: str) -> None:
    """Send log lines of this level and above to standard error; raise InvalidSettingsError for an unknown level."""
    if level not in LEVELS:
        raise InvalidSettingsError(f"LOG_LEVEL: must be one of {', '.join(LEVELS)}, is {level!r}")
    logging.basicConfig(
        level=LEVELS[level], stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s", force=True
    )
    for library in ("asyncio", "aiohttp"):
        logging.getLogger(library).setLevel(logging.ERROR)


def run_serve(args: argparse.Namespace) -> int:
    """Run one controller node until it is killed; return the exit status."""
    log_to_stderr(os.environ.get("LOG_LEVEL") or "error")
    settings = load_settings(args.config)
    operations = load_operations(args.operations, settings.platform)
    # All connections are plain HTTP, but aiohttp reads every certificate of the machine when it is imported. That took
    # a third of the time until a node listens.
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
    # Imported late, so that invalid settings are reported without waiting for the import of the HTTP library.
    import uvloop

    from hookwall.node.node import Node

    async def main() -> None:
        await Node(settings, operations=operations).run()

    # Imported modules stay in memory and messages form no reference cycles, so the default garbage collection after
    # every 700 new objects would find nothing to free.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)

    try:
        uvloop.run(main())
    except KeyboardInterrupt:
        return 130
    except OSError as e:
        print(f"hookwall: cannot listen: {e.strerror}", file=sys.stderr)
        return 1
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit status."""
    command_line = sys.argv[1:] if argv is None else argv
    args = build_parser(with_operator_commands=command_line[:1] != ["serve"]).parse_args(command_line)
    try:
        return int(args.run(args))
    except InvalidSettingsError as e:
        print(f"hookwall: {e}", file=sys.stderr)
        return 2
