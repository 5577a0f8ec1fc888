"""Requests to the cloud's API.

Invariant: requests are paced below the rate that the cloud allows, and every response that is no usable answer ends in
a `CloudUnavailableError`, so that the caller repeats the request under the same name.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
import msgspec

from hookwall.errors import HookwallError
from hookwall.protocol import json_messages
from hookwall.protocol.cloud_messages import Catalog, ListedMachine, MachineListPage, ProvisionedMachines
from hookwall.protocol.errors import MalformedMessageError, NoResponseError
from hookwall.protocol.http_client import open_session, request_json
from hookwall.protocol.json_messages import Message
from hookwall.storage.rate_limit import TokenBucket

POLL_INTERVAL_S = 0.3  # between two looks of a loop at whether there is something to ask the cloud
RETRY_AFTER_S = 0.7  # such a loop waits this long after a failure
REQUEST_TIMEOUT_S = 4.0
MAX_CONNECTIONS = 8
RATE_SHARE = 0.9  # of the rate that the cloud allows
BURST_S = 1.5  # of that rate may go at once


class CloudError(HookwallError):
    """A request to the cloud did not give what it asked for."""


class CloudUnavailableError(CloudError):
    """The cloud gave no usable response; whether it carried the request out is not known. The text says why."""


class NoCapacityError(CloudError):
    """The cloud has no such machine now."""


class CloudClient:
    """Requests to the cloud, paced below its limit."""

    page_size = 500  # the most machines on one page of a list

    def __init__(self, address: str, rps: float, clock: Callable[[], float]) -> None:
        """`rps`: requests a second that the cloud allows."""
        self.base_url = f"http://{address}"
        self.session: aiohttp.ClientSession | None = None
        self.call = request_json  # tests put a stand-in here
        self.bucket = TokenBucket(rps * RATE_SHARE, max(1.0, rps * BURST_S), clock)

    async def open(self) -> None:
        """Open the connections; needed before the first request."""
        self.session = open_session(MAX_CONNECTIONS)

    async def fetch_catalog(self) -> Catalog:
        """The machine types, with their prices. Raises CloudUnavailableError."""
        status, body = await self._send("GET", "/catalog")
        _require_ok(status)
        return _convert(body, Catalog)

    async def machines(self) -> list[ListedMachine]:
        """The list, page after page; other requests go out in between. Raises CloudUnavailableError."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            start = f"after={after}&" if after else ""
            status, body = await self._send("GET", f"/hosts?{start}most={self.page_size}")
            _require_ok(status)
            page = _convert(body, MachineListPage)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name

    async def provision(self, request_name: str, type_: str, zone: str, spot: bool, count: int) -> list[str]:
        """The names of the machines that the cloud starts, `count` or fewer; idempotent under one `request_name`.

        Raises NoCapacityError if the cloud has none, and CloudUnavailableError.
        """
        body = {"hire": request_name, "hull": type_, "yard": zone, "loaners": spot, "count": count}
        status, response = await self._send("POST", "/hosts", body)
        is_refusal = isinstance(response, dict) and response.get("error") == "no capacity"
        if status == HTTPStatus.SERVICE_UNAVAILABLE and is_refusal:
            raise NoCapacityError
        _require_ok(status)
        return _convert(response, ProvisionedMachines).machines

    async def delete_machines(self, names: list[str]) -> None:
        """Delete machines; once this returns they are confirmed to be gone. Raises CloudUnavailableError."""
        status, _ = await self._send("POST", "/hosts/delete", {"hosts": names})
        _require_ok(status)

    async def _send(self, method: str, path: str, body: object = None) -> tuple[int, object]:
        """Send a request as soon as the rate allows it; status and decoded body of the response."""
        delay_s = self.bucket.reserve(1.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        try:
            status, raw = await self.call(self.session, method, self.base_url + path, body, REQUEST_TIMEOUT_S)
            return status, msgspec.json.decode(raw) if raw else {}
        except (NoResponseError, msgspec.DecodeError) as error:
            raise CloudUnavailableError(str(error)) from error


def _require_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        reason = f"status {status}"
        raise CloudUnavailableError(reason)


def _convert(body: object, kind: type[Message]) -> Message:
    try:
        return json_messages.convert_message(body, kind)
    except MalformedMessageError as error:
        reason = f"malformed: {error}"
        raise CloudUnavailableError(reason) from error
