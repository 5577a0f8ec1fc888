"""Requests to the cloud's API.

Invariant: requests are paced below the rate that the cloud allows. Every unusable response leads to a
`CloudUnavailableError`, so that the caller repeats the request under the same name.
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

POLL_INTERVAL_S = 0.3  # interval at which a loop checks whether a request to the cloud is due
RETRY_DELAY_S = 0.7  # delay of such a loop after a failed request
REQUEST_TIMEOUT_S = 4.0
MAX_CONNECTIONS = 8
RATE_SHARE = 0.9  # share of the rate that the cloud allows
BURST_S = 1.5  # a burst may contain as many requests as the cloud allows within this time


class CloudError(HookwallError):
    """A request to the cloud did not succeed."""


class CloudUnavailableError(CloudError):
    """The cloud gave no usable response, so it is unknown whether it executed the request. The text says why."""


class NoCapacityError(CloudError):
    """The cloud currently has no machine of the requested kind."""


class CloudClient:
    """Sends requests to the cloud, paced below its rate limit."""

    page_size = 500  # maximum number of machines on one page of the machine list

    def __init__(self, address: str, rps: float, clock: Callable[[], float]) -> None:
        """`rps` is the number of requests per second that the cloud allows."""
        self.base_url = f"http://{address}"
        self.session: aiohttp.ClientSession | None = None
        self.send_request = request_json  # tests replace this
        self.bucket = TokenBucket(rps * RATE_SHARE, max(1.0, rps * BURST_S), clock)

    async def open(self) -> None:
        """Open the HTTP session; must be called before the first request."""
        self.session = open_session(MAX_CONNECTIONS)

    async def fetch_catalog(self) -> Catalog:
        """Return the machine types with their prices. Raise CloudUnavailableError without a usable response."""
        status, body = await self._send("GET", "/catalog")
        _require_ok(status)
        return _convert(body, Catalog)

    async def machines(self) -> list[ListedMachine]:
        """Return the machine list, fetched page by page; other requests may be sent between two pages.

        Raise CloudUnavailableError without a usable response.
        """
        machines: list[ListedMachine] = []
        after = ""
        while True:
            cursor = f"after={after}&" if after else ""
            status, body = await self._send("GET", f"/hosts?{cursor}most={self.page_size}")
            _require_ok(status)
            page = _convert(body, MachineListPage)
            machines.extend(page.machines)
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].name

    async def provision(self, request_name: str, type_: str, zone: str, spot: bool, count: int) -> list[str]:
        """Request `count` machines and return the names of those that the cloud starts, which may be fewer.

        The request is idempotent: repeating it with the same `request_name` starts no further machines. Raise
        NoCapacityError if the cloud has no such machine, and CloudUnavailableError without a usable response.
        """
        body = {"hire": request_name, "hull": type_, "yard": zone, "loaners": spot, "count": count}
        status, response = await self._send("POST", "/hosts", body)
        is_refusal = isinstance(response, dict) and response.get("error") == "no capacity"
        if status == HTTPStatus.SERVICE_UNAVAILABLE and is_refusal:
            raise NoCapacityError
        _require_ok(status)
        return _convert(response, ProvisionedMachines).machines

    async def delete_machines(self, names: list[str]) -> None:
        """Delete machines; on return, the cloud has confirmed their deletion.

        Raise CloudUnavailableError without a usable response.
        """
        status, _ = await self._send("POST", "/hosts/delete", {"hosts": names})
        _require_ok(status)

    async def _send(self, method: str, path: str, body: object = None) -> tuple[int, object]:
        """Send a request as soon as the rate limit allows it, and return the status and the decoded response body."""
        delay_s = self.bucket.reserve(1.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        try:
            status, raw = await self.send_request(self.session, method, self.base_url + path, body, REQUEST_TIMEOUT_S)
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
