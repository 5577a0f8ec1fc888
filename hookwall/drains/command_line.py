"""Execution of `hookwall drain` with parsed arguments.

Invariant: every failure that an operator can cause or encounter becomes an exit code and one line on standard error.
"""

import argparse
import asyncio
import sys
import time

from hookwall.autoscaling.cloud_client import CloudClient
from hookwall.config.operations import load_operations
from hookwall.config.platform import InvalidSettingsError, load_settings
from hookwall.drains import request
from hookwall.drains.command import DrainCommand, ExitCode
from hookwall.drains.errors import (
    ClusterUnavailableError,
    DrainNotFoundError,
    InvalidDrainRequestError,
    SolverMissingError,
)
from hookwall.drains.records import DeadlinePolicy, EmptyMachinePolicy
from hookwall.drains.request import DrainRequest, Selection
from hookwall.storage.client import KeyValueClient
from hookwall.storage.errors import (
    OutcomeUnknownError,
    PreconditionFailedError,
    RequestRejectedError,
    RequestTooLargeError,
)


def run(args: argparse.Namespace) -> int:
    """Run one action against the real store and cloud, and return the exit code."""
    try:
        return int(asyncio.run(_run(args)))
    except InvalidSettingsError as error:
        return int(_failed(ExitCode.BAD_INPUT, str(error)))


async def _run(args: argparse.Namespace) -> ExitCode:
    settings = load_settings(args.config)
    operations = load_operations(args.operations, settings.platform)
    platform = settings.platform
    store = KeyValueClient(settings.external.state, platform.state, platform.size, time.monotonic)
    client = CloudClient(settings.external.cloud, platform.cloud.rps, time.monotonic)
    await store.open()
    await client.open()
    try:
        return await execute(DrainCommand(settings, operations, store, client, json=args.json), args)
    finally:
        for session in (store.session, client.session):
            if session is not None:
                await session.close()


async def execute(command: DrainCommand, args: argparse.Namespace) -> ExitCode:
    """Run one action. A failure becomes an exit code and a line on standard error."""
    try:
        return await _run_action(command, args)
    except InvalidDrainRequestError as error:
        return _failed(ExitCode.BAD_INPUT, str(error))
    except SolverMissingError as error:
        return _failed(ExitCode.BAD_INPUT, f"--fewest: {error}")
    except DrainNotFoundError as error:
        return _failed(ExitCode.NOT_FOUND, str(error))
    except PreconditionFailedError as error:
        return _failed(ExitCode.CONFLICT, f"changed by somebody else meanwhile (409): {', '.join(error.keys)}")
    except RequestTooLargeError as error:
        return _failed(ExitCode.REFUSED, f"the state service calls it malformed or too large (400): {error}")
    except RequestRejectedError as error:
        return _failed(ExitCode.UNAVAILABLE, f"the state service does not serve requests now: {error}")
    except OutcomeUnknownError as error:
        return _failed(
            ExitCode.UNAVAILABLE, f"no answer from the state service, what was asked may still happen: {error}"
        )
    except ClusterUnavailableError as error:
        return _failed(ExitCode.UNAVAILABLE, str(error))


async def _run_action(command: DrainCommand, args: argparse.Namespace) -> ExitCode:
    """Run the action that the arguments name."""
    match args.action:
        case "plan":
            return await command.plan(requested_drain(args), args.fewest)
        case "start":
            return await command.start(args.name, requested_drain(args))
        case "status":
            return await command.status(args.name, args.wait)
        case "release":
            return await command.release(args.name, args.machines)
        case "abort":
            return await command.abort(args.name)
        case _:
            return await command.resume(args.name)


def requested_drain(args: argparse.Namespace) -> DrainRequest:
    """Return the request that the arguments describe, or raise InvalidDrainRequestError."""
    selection = Selection(
        machines=tuple(sorted(set(args.machine))), machine_type=args.type, zone=args.zone, share=args.share
    )
    return request.validate_request(
        DrainRequest(
            selection=selection,
            batch_size=args.batch,
            finish_grace_s=args.finish,
            deadline_s=args.deadline,
            deadline_policy=DeadlinePolicy(args.at_deadline),
            empty_machine_policy=EmptyMachinePolicy(args.then),
            allow_unbudgeted=args.unbudgeted,
        )
    )


def _failed(code: ExitCode, text: str) -> ExitCode:
    print(f"hookwall drain: {text}", file=sys.stderr)
    return code
