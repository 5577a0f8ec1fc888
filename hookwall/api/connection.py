"""One HTTP connection, on aiohttp's parser.

Invariant: requests are answered one after the other, in their order, each once its body has come whole. No request ends
another's connection, or the node.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable
from http import HTTPStatus
from typing import Protocol

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from hookwall.api.responses import RETRY_LATER, HttpResponse
from hookwall.protocol import json_messages

log = logging.getLogger(__name__)

MAX_QUEUED_REQUESTS = 8  # on one connection, that came before the first was answered
READ_BYTES = 64 * 1024

NO_HEADERS: dict[str, str] = {}
TOO_LARGE = HttpResponse(413, b'{"error":"too large"}')
BODY_TIMED_OUT = HttpResponse(408, b'{"error":"the body did not come"}', RETRY_LATER)
MALFORMED = HttpResponse(400, b'{"error":"malformed"}')
INTERNAL_ERROR = HttpResponse(503, b'{"error":"internal"}', RETRY_LATER)
RESPONSE_HEADS = {
    status.value: (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\nContent-Length: ".encode()
    )
    for status in HTTPStatus
}


class RequestHandler(Protocol):
    """What a connection asks of its server."""

    body_timeout_s: float

    def route(self, method: str, path: str, body: bytes) -> HttpResponse | Awaitable[HttpResponse]:
        """The response to a request, or what it is to be waited for."""

    def mark_used(self, connection: "Connection") -> None:
        """Something was received on the connection."""

    def forget(self, connection: "Connection") -> None:
        """The connection is closed."""


class Connection(BaseProtocol):
    """One connection. It is idle, reads a body (`body_timer`), or answers a request (`answering`)."""

    __slots__ = ("answering", "body_timer", "handler", "parser", "queue")

    def __init__(self, handler: RequestHandler, loop: asyncio.AbstractEventLoop) -> None:
        """A connection whose requests `handler` answers."""
        super().__init__(loop)
        self.handler = handler
        self.parser = HttpRequestParser(self, loop, READ_BYTES, auto_decompress=False)
        self.queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self.answering: asyncio.Task[None] | None = None
        self.body_timer: asyncio.TimerHandle | None = None

    # -- events of the transport -------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        super().connection_made(transport)
        self.handler.mark_used(self)

    def connection_lost(self, error: BaseException | None) -> None:
        """The connection is closed: what is queued is not answered any more."""
        super().connection_lost(error)
        self.handler.forget(self)
        self._stop_body_timer()
        self.queue.clear()

    def data_received(self, data: bytes) -> None:
        """Bytes have come: parts of requests, or several."""
        self.handler.mark_used(self)
        try:
            messages, _, _ = self.parser.feed_data(data)
        except HttpProcessingError as error:
            log.info("malformed request: error=%s", type(error).__name__)
            self._send(MALFORMED, close=True)
            return
        self.queue.extend(messages)
        if len(self.queue) > MAX_QUEUED_REQUESTS:
            self.close()
            return
        self._answer_queued()

    def close(self) -> None:
        """Close without a response."""
        self.handler.forget(self)
        if self.transport is not None:
            self.transport.close()

    # -- requests ----------------------------------------------------------------------------------

    def _answer_queued(self) -> None:
        """Answer what has come whole, in its order."""
        while self.queue and self.answering is None and self.transport is not None:
            message, payload = self.queue[0]
            if _is_too_large(message, payload):
                # A large one is not read first.
                self._send(TOO_LARGE, close=True)
                return
            if not payload.is_eof():
                self._start_body_timer()
                return
            self._stop_body_timer()
            self.queue.popleft()
            self._answer(message, payload.read_nowait())

    def _start_body_timer(self) -> None:
        """Limit the time that the rest of a body has to come."""
        if self.body_timer is None:
            self.body_timer = self._loop.call_later(self.handler.body_timeout_s, self._send, BODY_TIMED_OUT, True)

    def _stop_body_timer(self) -> None:
        """A body has come whole, or is not waited for any more."""
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _answer(self, message: RawRequestMessage, body: bytes) -> None:
        """Answer one request, now or in a task."""
        try:
            response = self.handler.route(message.method, message.path, body)
        except Exception:  # an unexpected error in one request must not end the node
            log.exception("request failed: method=%s path=%s", message.method, message.path)
            response = INTERNAL_ERROR
        if isinstance(response, tuple):
            self._send(response, message.should_close)
        else:
            self.answering = self._loop.create_task(self._answer_later(response, message))

    async def _answer_later(self, pending: Awaitable[HttpResponse], message: RawRequestMessage) -> None:
        """Answer a request once its response is there, then those that came meanwhile."""
        try:
            response = await pending
        except Exception:  # the top of this request's task
            log.exception("request failed: method=%s path=%s", message.method, message.path)
            response = INTERNAL_ERROR
        self.answering = None
        self._send(response, message.should_close)
        self._answer_queued()

    def _send(self, response: HttpResponse, close: bool) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        status, body, headers = response
        more = "".join([f"\r\n{name}: {value}" for name, value in (headers or NO_HEADERS).items()])
        if close:
            more += "\r\nConnection: close"
        transport.write(b"%b%d%b\r\n\r\n%b" % (RESPONSE_HEADS[status], len(body), more.encode(), body))
        if close:
            self.close()


def _is_too_large(message: RawRequestMessage, payload: StreamReader) -> bool:
    """Whether a body is over the limit, by its stated length or by what has come."""
    if payload.total_bytes > json_messages.MAX_BODY_BYTES:
        return True
    length = message.headers.get("Content-Length", "0")
    return length.isdigit() and int(length) > json_messages.MAX_BODY_BYTES
