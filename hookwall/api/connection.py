"""One HTTP connection, on aiohttp's parser.

Invariant: the requests on a connection are answered one at a time and in order, each only once its body has been
received completely. A request never closes another connection and never ends the node.
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

MAX_QUEUED_REQUESTS = 8  # pipelined requests on one connection; a connection with more of them is closed
READ_BUFFER_BYTES = 64 * 1024

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
    """The part of the server that a connection calls."""

    body_timeout_s: float

    def route(self, method: str, path: str, body: bytes) -> HttpResponse | Awaitable[HttpResponse]:
        """Return the response to a request, or an awaitable that gives the response."""

    def mark_used(self, connection: "Connection") -> None:
        """Record that data was received on the connection."""

    def forget(self, connection: "Connection") -> None:
        """Remove a connection that is closed."""


class Connection(BaseProtocol):
    """One connection.

    It is idle, reading a body (`body_timer` is set), or responding to a request (`active_response` is set).
    """

    __slots__ = ("active_response", "body_timer", "handler", "parser", "queued_requests")

    def __init__(self, handler: RequestHandler, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection whose requests `handler` routes."""
        super().__init__(loop)
        self.handler = handler
        self.parser = HttpRequestParser(self, loop, READ_BUFFER_BYTES, auto_decompress=False)
        self.queued_requests: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self.active_response: asyncio.Task[None] | None = None
        self.body_timer: asyncio.TimerHandle | None = None

    # -- transport callbacks -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the opened connection."""
        super().connection_made(transport)
        self.handler.mark_used(self)

    def connection_lost(self, error: BaseException | None) -> None:
        """Drop the queued requests of the closed connection without answering them."""
        super().connection_lost(error)
        self.handler.forget(self)
        self._stop_body_timer()
        self.queued_requests.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, which may hold a part of a request or several requests."""
        self.handler.mark_used(self)
        try:
            messages, _, _ = self.parser.feed_data(data)
        except HttpProcessingError as error:
            log.info("malformed request: error=%s", type(error).__name__)
            self._send(MALFORMED, close=True)
            return
        self.queued_requests.extend(messages)
        if len(self.queued_requests) > MAX_QUEUED_REQUESTS:
            self.close()
            return
        self._answer_queued()

    def close(self) -> None:
        """Close the connection without a response."""
        self.handler.forget(self)
        if self.transport is not None:
            self.transport.close()

    # -- requests ----------------------------------------------------------------------------------

    def _answer_queued(self) -> None:
        """Answer the queued requests whose bodies are complete, in order."""
        while self.queued_requests and self.active_response is None and self.transport is not None:
            message, payload = self.queued_requests[0]
            if _is_too_large(message, payload):
                # A request that is too large is refused without reading its body.
                self._send(TOO_LARGE, close=True)
                return
            if not payload.is_eof():
                self._start_body_timer()
                return
            self._stop_body_timer()
            self.queued_requests.popleft()
            self._answer(message, payload.read_nowait())

    def _start_body_timer(self) -> None:
        """Limit the time within which the rest of a body must arrive."""
        if self.body_timer is None:
            self.body_timer = self._loop.call_later(self.handler.body_timeout_s, self._send, BODY_TIMED_OUT, True)

    def _stop_body_timer(self) -> None:
        """Stop the timer because the body is complete or no longer awaited."""
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _answer(self, message: RawRequestMessage, body: bytes) -> None:
        """Answer one request: at once if its response is available, otherwise in a task."""
        try:
            response = self.handler.route(message.method, message.path, body)
        except Exception:  # an unexpected error in one request must not end the node
            log.exception("request failed: method=%s path=%s", message.method, message.path)
            response = INTERNAL_ERROR
        if isinstance(response, tuple):
            self._send(response, message.should_close)
        else:
            self.active_response = self._loop.create_task(self._answer_later(response, message))

    async def _answer_later(self, pending: Awaitable[HttpResponse], message: RawRequestMessage) -> None:
        """Answer a request once its response is available, then the requests that arrived in the meantime."""
        try:
            response = await pending
        except Exception:  # outermost handler of this request's task
            log.exception("request failed: method=%s path=%s", message.method, message.path)
            response = INTERNAL_ERROR
        self.active_response = None
        self._send(response, message.should_close)
        self._answer_queued()

    def _send(self, response: HttpResponse, close: bool) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        status, body, headers = response
        extra_headers = "".join([f"\r\n{name}: {value}" for name, value in (headers or NO_HEADERS).items()])
        if close:
            extra_headers += "\r\nConnection: close"
        transport.write(b"%b%d%b\r\n\r\n%b" % (RESPONSE_HEADS[status], len(body), extra_headers.encode(), body))
        if close:
            self.close()


def _is_too_large(message: RawRequestMessage, payload: StreamReader) -> bool:
    """Whether a body is over the limit, by its Content-Length header or by the bytes received so far."""
    if payload.total_bytes > json_messages.MAX_BODY_BYTES:
        return True
    length = message.headers.get("Content-Length", "0")
    return length.isdigit() and int(length) > json_messages.MAX_BODY_BYTES
