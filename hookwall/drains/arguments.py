"""The arguments of `hookwall drain`. The command itself is imported only when it is run."""

import argparse
from typing import Any

from hookwall.drains import request
from hookwall.drains.records import Afterwards, AtDeadline
from hookwall.drains.request import DrainRequest, Selection


def run_drain(args: argparse.Namespace) -> int:
    """Run the command."""
    from hookwall.drains.command import run

    return run(args)


def add_parser(commands: Any) -> None:
    """The command's arguments."""
    drain = commands.add_parser("drain", help="empty machines in steps, within each team's disruption budget")
    actions = drain.add_subparsers(dest="action", required=True, metavar="ACTION")
    plan = _action(actions, "plan", "show what a drain would disrupt; changes nothing")
    _request_arguments(plan)
    plan.add_argument("--fewest", action="store_true", help="also compute the fewest waves (needs hookwall[plan])")
    start = _action(actions, "start", "ask for a drain")
    start.add_argument("name", metavar="NAME", help="a new name; the same request under the same name is no new drain")
    _request_arguments(start)
    status = _action(actions, "status", "show drains and budgets")
    status.add_argument("name", nargs="?", metavar="NAME")
    status.add_argument("--wait", type=float, default=0.0, metavar="SECONDS", help="wait until the drain has ended")
    for action, text in (
        ("abort", "end a drain; machines that are not empty go back in service"),
        ("resume", "go on with an aborted drain"),
    ):
        _action(actions, action, text).add_argument("name", metavar="NAME")
    release = _action(actions, "release", "put empty machines back in service (drains with --then hold)")
    release.add_argument("name", metavar="NAME")
    release.add_argument("machines", nargs="+", metavar="MACHINE")
    drain.set_defaults(run=run_drain)


def _action(actions: Any, name: str, text: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(name, help=text)
    parser.add_argument("--config", required=True, metavar="FILE", help="the platform's settings file of any node")
    parser.add_argument("--operations", metavar="FILE", help="the operators' file with the budgets")
    parser.add_argument("--json", action="store_true", help="print one JSON value")
    return parser


def _request_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--machine", action="append", default=[], metavar="NAME", help="a machine; may be repeated")
    parser.add_argument("--type", metavar="TYPE", help="all machines of a type")
    parser.add_argument("--zone", metavar="ZONE", help="all machines of a zone")
    parser.add_argument("--share", type=float, metavar="X", help="this share of them, those with the fewest tasks")
    parser.add_argument("--batch", type=int, default=1, metavar="N", help="machines at a time")
    parser.add_argument("--finish", type=float, default=0.0, metavar="SECONDS", help="let tasks end by themselves")
    parser.add_argument("--deadline", type=float, metavar="SECONDS")
    parser.add_argument("--at-deadline", choices=[a.value for a in AtDeadline], default=AtDeadline.GO_ON.value)
    parser.add_argument("--then", choices=[a.value for a in Afterwards], default=Afterwards.RETURN.value)
    parser.add_argument("--unbudgeted", action="store_true", help="don't limit teams that have no budget")


def drain_request(args: argparse.Namespace) -> DrainRequest:
    """The request that the arguments describe, checked."""
    selection = Selection(machines=tuple(sorted(set(args.machine))), type=args.type, zone=args.zone, share=args.share)
    return request.check(
        DrainRequest(
            selection=selection, batch=args.batch, finish_s=args.finish, deadline_s=args.deadline,
            at_deadline=AtDeadline(args.at_deadline), afterwards=Afterwards(args.then), unbudgeted=args.unbudgeted,
        )
    )  # fmt: skip
