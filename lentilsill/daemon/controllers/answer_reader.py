"""Reading of one answer of an upstream, and what it proves."""

import asyncio
from collections.abc import Callable

import structlog
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from lentilsill.daemon.header_numbers import parse_count
from lentilsill.daemon.integration import Integration
from lentilsill.outcomes import (
    Answer,
    CallResult,
    Outcome,
    Refused,
    is_answer_status,
)
from lentilsill.wire.streams import ProtocolStream

from .reasons import MISDIRECTED, REFUSED_BY_UPSTREAM
from .upstream_connections import MAX_IDLE_S

__all__ = ["HOP_BY_HOP", "AnswerReader", "answer_lost", "unknown_outcome"]

# A connection is reused only within this share of the upstream's keep-alive timeout,
# as the upstream may close it while a request is on its way.
KEEP_ALIVE_SHARE = 0.5
# Names of headers in answers that are logged when a process first sees them.
MAX_LOGGED_HEADERS = 64
MAX_LOGGED_VALUE_CHARS = 64
# Statuses that callers take as a promise that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED_STATUS = 421
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

log = structlog.get_logger()

_logged_headers: set[str] = set()


def _log_new_headers(address: str, headers: HTTPHeaders) -> None:
    """Log the headers whose names this process sees for the first time."""
    for name, value in headers.get_all():
        if name not in _logged_headers and len(_logged_headers) < MAX_LOGGED_HEADERS:
            _logged_headers.add(name)
            log.info(
                "answer_header_seen",
                upstream=address,
                name=name,
                value=value[:MAX_LOGGED_VALUE_CHARS],
            )


class AnswerReader(HTTPMessageDelegate):
    """Collects one answer to a request."""

    def __init__(
        self,
        method: str,
        stream: ProtocolStream,
        integration: Integration,
        sent_attempt_id: str,
        address: str,
        is_reused: bool,
        on_bytes: Callable[[int], None],
    ) -> None:
        self.address = address
        # Called with the number of bytes of each piece of the body.
        self._on_bytes = on_bytes
        self.method = method
        self.stream = stream
        self.integration = integration
        # A repeat of an earlier answer comes only on a reused connection.
        self.is_reused = is_reused
        # Empty when the integration's answers don't repeat the attempt id.
        self.sent_attempt_id = sent_attempt_id
        self.status = 0
        # Status that can't be that of an answer; the connection is closed then.
        self.odd_status: int | None = None
        self.headers: HTTPHeaders | None = None
        self.headed_at = 0.0
        # Many small pieces take far more memory in a list than their bytes.
        self.body = bytearray()
        self.is_complete = False
        self.can_reuse_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        if not is_answer_status(start_line.code):
            self.odd_status = start_line.code
            raise HTTPInputError(f"status {start_line.code:03} is no answer")
        self.status = start_line.code
        self.headers = headers
        self.headed_at = asyncio.get_running_loop().time()
        _log_new_headers(self.address, headers)
        options = headers.get("Connection", "").lower().split(",")
        self.can_reuse_connection = start_line.version == "HTTP/1.1" and not any(
            option.strip() == "close" for option in options
        )

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk
        self._on_bytes(len(chunk))

    def finish(self) -> None:
        self.is_complete = self.status > 0 and self._is_delimited()

    def on_connection_close(self) -> None:
        self.is_complete = False

    def _is_delimited(self) -> bool:
        """Return whether the body's end is distinguishable from a lost connection."""
        assert self.headers is not None
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in (204, 304)
            or self.method == "HEAD"
            or (
                self.integration.accepts_unframed_answers
                and self.stream.has_received_eof
            )
        )

    @property
    def is_stray(self) -> bool:
        """Whether this answer is complete and belongs to an earlier request."""
        if not self.sent_attempt_id or not self.is_complete or self.headers is None:
            return False
        answered_attempt_id = self.headers.get(
            self.integration.headers.attempt_id, self.sent_attempt_id
        )
        return answered_attempt_id != self.sent_attempt_id

    @property
    def names_attempt(self) -> bool:
        """Whether the answer names a request, if answers of the integration do."""
        assert self.headers is not None
        attempt_id = self.integration.headers.attempt_id
        return not self.sent_attempt_id or attempt_id in self.headers

    @property
    def is_own(self) -> bool:
        """Whether the answer was written by the upstream that the request is for."""
        return self.names_attempt and self.status != MISDIRECTED_STATUS

    def idle_limit_s(self) -> float:
        """Return how long the connection may be idle before its next request."""
        assert self.headers is not None
        _, _, text = self.headers.get("Keep-Alive", "").partition("timeout=")
        seconds = parse_count(text.partition(",")[0].strip())
        if seconds is None:
            return MAX_IDLE_S
        return min(MAX_IDLE_S, KEEP_ALIVE_SHARE * seconds)

    def result(self) -> CallResult:
        """Return what a complete answer proves about the execution."""
        assert self.headers is not None
        names = self.integration.headers
        proves_not_run = bool(names.not_run) and names.not_run in self.headers
        is_misdirected = (
            bool(names.target_upstream) and self.status == MISDIRECTED_STATUS
        )
        if (
            (proves_not_run or is_misdirected)
            and self.is_reused
            and not self.names_attempt
        ):
            return unknown_outcome("refusal names no request")
        if is_misdirected:
            return Refused(Outcome.NOT_RUN, MISDIRECTED, arrived=True)
        if proves_not_run:
            return Refused(Outcome.NOT_RUN, REFUSED_BY_UPSTREAM, arrived=True)
        if not self.names_attempt:
            return answer_lost("answer names no request")
        if names.not_run and self.status in NOT_RUN_STATUSES:
            return unknown_outcome(f"status {self.status} without a proof")
        is_success = 200 <= self.status < 300
        has_digest = not names.answer_digest or names.answer_digest in self.headers
        if is_success and not has_digest:
            return answer_lost("answer has no digest")
        return self.answer()

    def answer(self) -> Answer:
        assert self.headers is not None
        headers = tuple(
            (name, value)
            for name, value in self.headers.get_all()
            if name.lower() not in HOP_BY_HOP
        )
        return Answer(self.status, headers, bytes(self.body))


def unknown_outcome(reason: str) -> Refused:
    """Return a refusal for a request that may have run."""
    return Refused(Outcome.UNKNOWN, reason, arrived=True)


def answer_lost(reason: str) -> Refused:
    """Return a refusal for a request that ran and whose answer is lost."""
    return Refused(Outcome.RUN_ANSWER_LOST, reason, arrived=True)
