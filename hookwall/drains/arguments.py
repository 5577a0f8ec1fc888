"""The arguments of `hookwall drain`.

Invariant: the module that implements the command is imported only when the command runs, so that other commands start
without it.
"""

import argparse
from typing import TYPE_CHECKING

from hookwall.drains.records import DeadlinePolicy, EmptyMachinePolicy

if TYPE_CHECKING:
    from argparse import _SubParsersAction as Subcommands


def run_drain(args: argparse.Namespace) -> int:
    """Run the command and return its exit code."""
    from hookwall.drains import command_line

    return command_line.run(args)


def add_parser(commands: "Subcommands[argparse.ArgumentParser]") -> None:
    """Add the command and its actions to the parser."""
    drain = commands.add_parser("drain", help="empty machines in steps, within each team's disruption budget")
    actions = drain.add_subparsers(dest="action", required=True, metavar="ACTION")
    plan = _add_action(actions, "plan", "show what a drain would disrupt; changes nothing")
    _add_request_arguments(plan)
    plan.add_argument("--fewest", action="store_true", help="also compute the fewest waves (needs hookwall[plan])")
    start = _add_action(actions, "start", "ask for a drain")
    start.add_argument("name", metavar="NAME", help="a new name; the same request under the same name is no new drain")
    _add_request_arguments(start)
    status = _add_action(actions, "status", "show drains and budgets")
    status.add_argument("name", nargs="?", metavar="NAME")
    status.add_argument("--wait", type=float, default=0.0, metavar="SECONDS", help="wait until the drain has ended")
    for action, text in (
        ("abort", "end a drain; machines that are not empty go back in service"),
        ("resume", "go on with an aborted drain"),
    ):
        _add_action(actions, action, text).add_argument("name", metavar="NAME")
    release = _add_action(actions, "release", "put empty machines back in service (drains with --then hold)")
    release.add_argument("name", metavar="NAME")
    release.add_argument("machines", nargs="+", metavar="MACHINE")
    drain.set_defaults(run=run_drain)


def _add_action(actions: "Subcommands[argparse.ArgumentParser]", name: str, text: str) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text)
    parser.add_argument("--config", required=True, metavar="FILE", help="the platform's settings file of any node")
    parser.add_argument("--operations", metavar="FILE", help="the operators' file with the budgets")
    parser.add_argument("--json", action="store_true", help="print one JSON value")
    return parser


def _add_request_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--machine", action="append", default=[], metavar="NAME", help="a machine; may be repeated")
    parser.add_argument("--type", metavar="TYPE", help="all machines of a type")
    parser.add_argument("--zone", metavar="ZONE", help="all machines of a zone")
    parser.add_argument("--share", type=float, metavar="X", help="this share of them, those with the fewest tasks")
    parser.add_argument("--batch", type=int, default=1, metavar="N", help="machines at a time")
    parser.add_argument("--finish", type=float, default=0.0, metavar="SECONDS", help="let tasks end by themselves")
    parser.add_argument("--deadline", type=float, metavar="SECONDS")
    parser.add_argument(
        "--at-deadline", choices=[policy.value for policy in DeadlinePolicy], default=DeadlinePolicy.CONTINUE.value
    )
    parser.add_argument(
        "--then", choices=[policy.value for policy in EmptyMachinePolicy], default=EmptyMachinePolicy.DELETE.value
    )
    parser.add_argument("--unbudgeted", action="store_true", help="don't limit teams that have no budget")
