"""HTTP request of a caller, and its response."""

import asyncio
import json
from collections.abc import Awaitable
from http.client import responses
from typing import Protocol

import structlog
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from lentilsill.outcomes import Answer, CallResult, Outcome, Refused

from .connection_close import CloseReason
from .controllers.reasons import NO_ROUTE, OVER_QUOTA, UNKNOWN_KEY
from .controllers.upstream_client import HOP_BY_HOP
from .header_numbers import parse_count
from .held_bytes import HeldBytes
from .integration import Integration
from .interfaces import CallRequest
from .outgoing_headers import OutgoingHeaders
from .request_stream import PipelinedDelegate, RequestStream

__all__ = ["CallerRequest", "RequestServer", "call_response", "json_response"]

OUTCOME_HEADER = "Lentilsill-Outcome"
# About the time of a call, after which its body is freed.
BODY_RETRY_AFTER_S = 0.1
OUTCOME_STATUS = {
    Outcome.NOT_RUN: 503,
    Outcome.RUN_ANSWER_LOST: 502,
    Outcome.UNKNOWN: 504,
}

# Statuses of refusals whose reason tells callers more than the outcome.
REASON_STATUS = {NO_ROUTE: 404, UNKNOWN_KEY: 401, OVER_QUOTA: 429}

Response = tuple[int, tuple[tuple[str, str], ...], bytes]

log = structlog.get_logger()


class RequestServer(Protocol):
    """Part of the caller server that a request uses."""

    integration: Integration
    host_service: str

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that is accepted, in bytes."""
        ...

    @property
    def held_bytes(self) -> HeldBytes:
        """Bound on requests that are still arriving."""
        ...

    def start_call(self, request: "CallerRequest") -> None:
        """Start the call of a request that has arrived completely."""
        ...


class CallerRequest(PipelinedDelegate):
    """One request of a caller on its connection (tornado's message delegate)."""

    def __init__(
        self,
        server: RequestServer,
        http: HTTP1Connection,
        stream: RequestStream,
    ) -> None:
        self.server = server
        self.http = http
        self.stream = stream
        self.conn = stream.conn
        self.received: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.method = ""
        self.version = ""
        self.path = ""
        self.headers = HTTPHeaders()
        self.deadline_ms = 0
        self.body = bytearray()
        self.task: asyncio.Task[None] | None = None
        self.is_answered = False
        self.is_passed_on = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        if not self.stream.can_be_passed_on:
            # The caller gets no answer, and sends the request again.
            self.is_answered = True
            return None
        if _says_close(start_line, headers):
            self.conn.stop_reading(CloseReason.REQUESTED)
        self.method, self.path, self.version = start_line
        self.headers = headers
        length = parse_count(headers.get("Content-Length", "0")) or 0
        if length > self.server.max_body_bytes:
            self._refuse(413, "body is over the limit")
            return None
        name = self.server.integration.headers.deadline_ms
        deadline_ms = parse_count(headers.get(name, "0"))
        if deadline_ms is None:
            self._refuse(400, f"{name} is not a number")
        else:
            self.deadline_ms = deadline_ms
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.is_answered:
            return None
        if len(self.body) + len(chunk) > self.server.max_body_bytes:
            self._refuse(413, "body is over the limit")
        else:
            self.body += chunk
            self.server.held_bytes.add(self, len(chunk))
        return None

    def drop_held_bytes(self) -> None:
        """Refuse the request, since all arriving ones take too much memory."""
        self.conn.stop_reading(CloseReason.BAD_REQUEST)
        self.refuse_overload()
        self.conn.close_if_answered()

    def refuse_overload(self) -> None:
        """Refuse the request for the memory that all requests take."""
        reason = "too many bytes in requests"
        body = {"outcome": Outcome.NOT_RUN.value, "reason": reason}
        log.warning(
            "request_body_refused",
            attempt=self.attempt_id,
            size=self.size,
            arriving_bytes=self.server.held_bytes.total_bytes,
        )
        self._free_body()
        self.respond(*json_response(503, body, Outcome.NOT_RUN, BODY_RETRY_AFTER_S))

    def _free_body(self) -> None:
        self.server.held_bytes.remove(self)
        self.body.clear()

    def finish(self) -> None:
        self.server.held_bytes.remove(self)
        if self.is_answered:
            return
        if not self.stream.can_be_passed_on:
            self.is_answered = True
            return
        self.http.set_close_callback(self.on_connection_close)  # type: ignore
        self.is_passed_on = True
        self.server.start_call(self)
        if not self.received.done():
            self.received.set_result(None)

    def on_connection_close(self) -> None:
        if not self.is_answered:
            self.record_lost()
        self.is_answered = True
        self._free_body()
        if self.task is not None:
            self.task.cancel()

    @property
    def size(self) -> int:
        """Number of bytes of the head and of the body that has arrived."""
        return self.stream.head_size + len(self.body)

    @property
    def attempt_id(self) -> str:
        """Id of the caller's attempt; empty without one."""
        return self.headers.get(self.server.integration.headers.attempt_id, "")

    def record_lost(self) -> None:
        """Record that the caller gets no answer, if the request was passed on."""
        if self.is_passed_on:
            self.conn.record_lost(self.attempt_id)

    def call_request(self) -> CallRequest:
        """Build the call that the request describes; its body is moved to the call."""
        integration = self.server.integration
        body = bytes(self.body)
        self.body.clear()
        service, path = self._service_and_path(integration)
        return CallRequest(
            service,
            self.method,
            path,
            self.forwarded_headers(),
            body,
            self.headers.get(integration.headers.request_key, "")
            if integration.headers.request_key
            else "",
            self.deadline_ms,
            self.attempt_id,
            self.conn.stream.peer_ip,
        )

    def _service_and_path(self, integration: Integration) -> tuple[str, str]:
        if integration.routes_by_host:
            return _host_name(self.headers.get("Host", "")), self.path
        service, slash, remainder = self.path[1:].partition("/")
        if not slash:
            service, question_mark, query = service.partition("?")
            remainder = question_mark + query
        return service, "/" + remainder

    def forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are sent to the upstream."""
        integration = self.server.integration
        names = integration.headers
        dropped = HOP_BY_HOP | integration.own_headers
        connection = self.headers.get("Connection")
        if connection is not None and connection.lower() not in ("keep-alive", "close"):
            named = {name.strip().lower() for name in connection.split(",")}
            dropped = dropped | named
        fields = [
            (name, value)
            for name, value in self.headers.get_all()
            if name.lower() not in dropped
        ]
        if integration.routes_by_host:
            fields.insert(0, ("Host", self.headers.get("Host", "")))
        if names.caller_service:
            fields.append((names.caller_service, self.server.host_service))
        return tuple(fields)

    def _refuse(self, status: int, reason: str) -> None:
        """Refuse the request and close, since the rest of its body is not read."""
        body = {"outcome": Outcome.NOT_RUN.value, "reason": reason}
        self._free_body()
        self.conn.stop_reading(CloseReason.BAD_REQUEST)
        self.respond(*json_response(status, body, Outcome.NOT_RUN))
        self.conn.close_if_answered()

    def respond(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Write the complete response unless the caller has disconnected."""
        if self.is_answered:
            return
        self.is_answered = True
        length: int | None = len(body)
        if self.method == "HEAD" or status in (204, 304):
            body, length = b"", None
        fields = OutgoingHeaders(headers, length)
        if self.conn.ends_with(self.stream):
            fields["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "?"))
        try:
            fut = self.http.write_headers(start_line, fields, body)
            fut.add_done_callback(_ignore_closed)
            self.http.finish()
        except StreamClosedError:
            self.record_lost()
        except ValueError as exc:
            # Nothing has been written; without another answer, the caller would
            # keep waiting.
            log.warning("answer_not_written", path=self.path, error=str(exc))
            self.is_answered = False
            reason = "answer can't be written"
            self.respond(*call_response(Refused(Outcome.RUN_ANSWER_LOST, reason)))


def _host_name(host: str) -> str:
    """Return a host without its port; an IPv6 address is in brackets.

    Examples
    --------
    >>> _host_name("Slots.example:80"), _host_name("[::1]:80"), _host_name("[::1]")
    ('slots.example', '[::1]', '[::1]')
    """
    address, bracket, _ = host.partition("]")
    if host.startswith("[") and bracket:
        return address.lower() + bracket
    return host.partition(":")[0].lower()


def _says_close(start_line: RequestStartLine, headers: HTTPHeaders) -> bool:
    """Return whether the caller sends no further request on the connection."""
    options = headers.get("Connection", "").lower().split(",")
    tokens = {option.strip() for option in options}
    if start_line.version == "HTTP/1.0":
        return "keep-alive" not in tokens
    return "close" in tokens


def call_response(result: CallResult) -> Response:
    """Return the response for the result of a call."""
    match result:
        case Answer(status, headers, body):
            return status, headers, body
        case Refused(outcome, reason, retry_after_s):
            status = REASON_STATUS.get(reason, OUTCOME_STATUS[outcome])
            value = {"outcome": outcome.value, "reason": reason}
            response = json_response(status, value, outcome, retry_after_s)
            return _with_challenge(*response) if reason == UNKNOWN_KEY else response


def _with_challenge(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> Response:
    """Add the header that each answer with status 401 must have (RFC 9110, 11.6.1)."""
    return status, (*headers, ("WWW-Authenticate", "Bearer")), body


def json_response(
    status: int,
    value: dict,
    outcome: Outcome | None = None,
    retry_after_s: float = 0.0,
) -> Response:
    """Return a JSON response that the node itself generates."""
    headers = [("Content-Type", "application/json")]
    if outcome is not None:
        headers.append((OUTCOME_HEADER, outcome.value))
    if retry_after_s > 0:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return status, tuple(headers), json.dumps(value).encode()


def _ignore_closed(fut: "asyncio.Future[None]") -> None:
    """Keep asyncio from logging the error of a write to a disconnected caller."""
    if not fut.cancelled():
        fut.exception()
