"""Requests to the cloud."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import aiohttp
import msgspec

from hookwall.protocol import cloud_messages, json_messages
from hookwall.protocol.cloud_messages import Catalog, MachineListPage, ProvisionedMachines
from hookwall.protocol.http_client import NoResponseError, call, open_session
from hookwall.protocol.json_messages import MalformedMessageError
from hookwall.storage.rate_limit import TokenBucket

Message = TypeVar("Message")


class CloudUnavailableError(Exception):
    """The cloud gave no usable answer."""


class NoCapacityError(Exception):
    """The cloud has no such machine now."""


class CloudClient:
    """Requests to the cloud, paced below its limit."""

    page_size = 500  # the most machines in one answer to a list

    def __init__(self, address: str, rps: float, clock: Callable[[], float]) -> None:
        self.base_url = f"http://{address}"
        self.session: aiohttp.ClientSession | None = None
        self.call = call  # tests put a stand-in here
        self.bucket = TokenBucket(rps * 0.9, max(1.0, rps * 1.5), clock)

    async def open(self) -> None:
        self.session = open_session(8)

    async def _send(self, method: str, path: str, body: object = None, timeout: float = 4.0) -> tuple[int, object]:
        wait = self.bucket.reserve(1.0)
        if wait:
            await asyncio.sleep(wait)
        try:
            status, raw = await self.call(self.session, method, self.base_url + path, body, timeout)
            return status, msgspec.json.decode(raw) if raw else {}
        except (NoResponseError, msgspec.DecodeError) as e:
            raise CloudUnavailableError(str(e)) from None

    async def catalog(self) -> Catalog:
        status, body = await self._send("GET", "/catalog")
        if status != 200:
            raise CloudUnavailableError(f"status {status}")
        return _as(body, Catalog)

    async def machines(self) -> list[cloud_messages.ListedMachine]:
        """The list, page after page; other requests go out in between."""
        found: list[cloud_messages.ListedMachine] = []
        after = ""
        while True:
            start = f"after={after}&" if after else ""
            status, body = await self._send("GET", f"/hosts?{start}most={self.page_size}")
            if status != 200:
                raise CloudUnavailableError(f"status {status}")
            page = _as(body, MachineListPage)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name

    async def rent(self, hire: str, type_: str, zone: str, spot: bool, count: int) -> list[str]:
        body = {"hire": hire, "hull": type_, "yard": zone, "loaners": spot, "count": count}
        status, got = await self._send("POST", "/hosts", body)
        if status == 200:
            return _as(got, ProvisionedMachines).machines
        if status == 503 and isinstance(got, dict) and got.get("error") == "no capacity":
            raise NoCapacityError
        raise CloudUnavailableError(f"status {status}")

    async def delete(self, names: list[str]) -> None:
        status, _ = await self._send("POST", "/hosts/delete", {"hosts": names})
        if status != 200:
            raise CloudUnavailableError(f"status {status}")


def _as(body: object, kind: type[Message]) -> Message:
    try:
        return json_messages.convert_message(body, kind)
    except MalformedMessageError as e:
        raise CloudUnavailableError(f"malformed: {e}") from None
