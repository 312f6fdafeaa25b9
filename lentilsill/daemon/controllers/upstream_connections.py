"""Connections to one upstream: opened, kept while idle, and closed for a reason."""

import asyncio
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from tornado.iostream import StreamClosedError

from lentilsill.daemon.deadlines import run_after_reading
from lentilsill.wire.addresses import split_address
from lentilsill.wire.streams import ProtocolStream

__all__ = [
    "MAX_IDLE_S",
    "Exchange",
    "OnUpstreamClosed",
    "UpstreamClose",
    "UpstreamCloseReason",
    "UpstreamConnections",
    "ignore_upstream_close",
]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 32
# Servers commonly close idle connections after 5 s or more.
MAX_IDLE_S = 4.0
# Connections are used up to this share of the shortest idle time after which the
# upstream has closed or forgotten one.
SAFE_IDLE_SHARE = 0.5
# After a shorter idle time, a close has other causes than idleness.
MIN_LEARNED_IDLE_S = 0.1
# The limit is forgotten after this time, as a close may have had another cause.
LEARNED_LIMIT_S = 60.0


class UpstreamCloseReason(StrEnum):
    """Why a connection to an upstream was closed.

    In the first three cases the upstream closed it first.
    """

    CLOSED_UNUSED = "closed_unused"
    CLOSED_IDLE = "closed_idle"
    CLOSED_IN_REQUEST = "closed_in_request"
    ABORTED = "aborted"
    BAD_ANSWER = "bad_answer"
    REQUESTED = "requested"
    IDLE = "idle"
    SURPLUS = "surplus"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class UpstreamClose:
    """The end of one connection to an upstream.

    Parameters
    ----------
    reason : UpstreamCloseReason
    address : str
        Address of the upstream.
    idle_s : float
        Time for which the connection was idle before its close, or before the
        request that was on it, in seconds.
    has_request : bool
        Whether a request was on the connection whose answer had not ended.
    attempt_id : str
        Attempt id of the last request, if it had one.
    detail : str
        Why the request was aborted, if it was.
    """

    reason: UpstreamCloseReason
    address: str
    idle_s: float = 0.0
    has_request: bool = False
    attempt_id: str = ""
    detail: str = ""


# Callback that receives each connection that has closed.
OnUpstreamClosed = Callable[[UpstreamClose], None]


def ignore_upstream_close(close: UpstreamClose) -> None:
    """Do nothing; the default for `OnUpstreamClosed`."""


class Exchange:
    """One request on its connection; `abort` closes the connection.

    `stream` is set while the request is on the connection.
    """

    __slots__ = ("abort_reason", "connecting", "idle_s", "stream")

    def __init__(self) -> None:
        self.abort_reason = ""
        self.stream: ProtocolStream | None = None
        self.connecting: asyncio.Future | None = None
        # Idle time of the connection before the request, in seconds.
        self.idle_s = 0.0

    def abort(self, reason: str) -> None:
        """Stop waiting for the answer."""
        self.abort_reason = reason
        if self.connecting is not None:
            self.connecting.cancel()
        if self.stream is not None:
            self.stream.close()

    def drop_held_bytes(self) -> None:
        """Abort, since the answers that are being read take too much memory."""
        self.abort("answers that are being read exceed their limit")

    def abort_at_deadline(self) -> None:
        """Abort, after bytes that have arrived are read."""
        run_after_reading(
            lambda: self.stream is not None and self.stream.has_unread_input(),
            lambda: self.abort("deadline passed"),
        )


@dataclass(slots=True)
class _IdleConnection:
    """A kept connection; it is not used for a request after `expires_at_s`."""

    stream: ProtocolStream
    kept_at_s: float
    expires_at_s: float


class UpstreamConnections:
    """Opens connections to the upstream at `address`, and keeps idle ones."""

    def __init__(self, address: str, on_closed: OnUpstreamClosed) -> None:
        self.address = address
        self._on_closed = on_closed
        self._idle: deque[_IdleConnection] = deque()
        self._learned_limit_s = MAX_IDLE_S
        self._learned_at_s = 0.0

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._drop(self._idle.pop(), UpstreamCloseReason.REMOVED)

    def take(self, exchange: Exchange, max_idle_s: float) -> ProtocolStream | None:
        """Take the most recently used connection, unless it was idle for too long."""
        now = time.monotonic()
        if now - self._learned_at_s > LEARNED_LIMIT_S:
            self._learned_limit_s = MAX_IDLE_S
        limit_s = self._learned_limit_s
        while self._idle:
            conn = self._idle[-1]
            if conn.expires_at_s < now or now - conn.kept_at_s > limit_s:
                while self._idle:
                    self._drop(self._idle.pop(), UpstreamCloseReason.IDLE)
            elif conn.expires_at_s < now + MAX_IDLE_S - max_idle_s:
                break
            else:
                self._idle.pop()
                if conn.stream.is_open_without_input():
                    exchange.idle_s = now - conn.kept_at_s
                    return conn.stream
                self.learn_idle_limit(now - conn.kept_at_s)
                self._drop(conn, UpstreamCloseReason.CLOSED_IDLE)
        return None

    def learn_idle_limit(self, idle_s: float) -> None:
        """Record that the upstream closed or forgot a connection by this idle time."""
        limit_s = SAFE_IDLE_SHARE * idle_s
        if idle_s >= MIN_LEARNED_IDLE_S and limit_s < self._learned_limit_s:
            self._learned_limit_s = limit_s
            self._learned_at_s = time.monotonic()

    def keep(self, stream: ProtocolStream, idle_limit_s: float) -> None:
        """Keep a connection that has become idle, for at most `idle_limit_s`."""
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            self._drop(self._idle.popleft(), UpstreamCloseReason.SURPLUS)
        now = time.monotonic()
        self._idle.append(_IdleConnection(stream, now, now + idle_limit_s))

    def record_close(
        self,
        reason: UpstreamCloseReason,
        exchange: Exchange,
        attempt_id: str,
        has_request: bool,
    ) -> None:
        """Report a connection that closed with a request, or right after its answer."""
        if exchange.abort_reason:
            reason = UpstreamCloseReason.ABORTED
        self._on_closed(
            UpstreamClose(
                reason,
                self.address,
                exchange.idle_s,
                has_request,
                attempt_id,
                exchange.abort_reason,
            )
        )

    def _drop(self, conn: _IdleConnection, reason: UpstreamCloseReason) -> None:
        idle_s = time.monotonic() - conn.kept_at_s
        conn.stream.close()
        self._on_closed(UpstreamClose(reason, self.address, idle_s))

    async def connect(self, exchange: Exchange) -> ProtocolStream:
        """Open a connection for a request.

        Raises
        ------
        TimeoutError
            The connection was not established in time, or the request was aborted.
        StreamClosedError
            The request was aborted before.
        ConnectionResetError
            The upstream accepted the connection and closed it, as a full one does.
        OSError
            The upstream refused the connection, or its address is invalid.
        """
        if exchange.abort_reason:
            raise StreamClosedError()
        target = split_address(self.address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        connecting = asyncio.ensure_future(_open(sock, target))
        # A task that is cancelled before its first step closes nothing.
        connecting.add_done_callback(
            lambda task: sock.close() if task.cancelled() else None
        )
        exchange.connecting = connecting
        try:
            while not connecting.done():
                done, _ = await asyncio.wait([connecting], timeout=CONNECT_TIMEOUT_S)
                if not done and not _has_outcome(sock):
                    connecting.cancel()
        except asyncio.CancelledError:
            connecting.cancel()
            connecting.add_done_callback(_close_unused_connection)
            raise
        finally:
            exchange.connecting = None
        if connecting.cancelled():
            raise TimeoutError("no connection in time")
        stream = connecting.result()
        if exchange.abort_reason:
            # The abort came too late to cancel the connect.
            stream.close()
            raise TimeoutError("request was aborted")
        if not stream.is_open_without_input():
            stream.close()
            raise ConnectionResetError("connection was closed before the request")
        exchange.stream = stream
        exchange.idle_s = 0.0
        return stream


async def _open(sock: socket.socket, target: tuple[str, int]) -> ProtocolStream:
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(sock, target)
    except BaseException:
        sock.close()
        raise
    _, stream = await loop.create_connection(ProtocolStream, sock=sock)
    return stream


def _has_outcome(sock: socket.socket) -> bool:
    """Return whether the kernel has established or refused the connection.

    After a stall, the timeout can run before the event loop has processed either.
    """
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))


def _close_unused_connection(connecting: asyncio.Future[ProtocolStream]) -> None:
    """Close a connection that was established after its request was cancelled."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()
