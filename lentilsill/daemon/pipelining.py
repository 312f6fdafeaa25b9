"""Several requests at once on one connection of a caller.

Tornado reads the next request after the response to the one before. Here each
request gets an `HTTP1Connection` of its own over a view of the stream, so that
the next one is read while the ones before it still run. Responses are written
in the order of the requests.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPMessageDelegate
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from lentilsill.wire.streams import ProtocolStream

__all__ = [
    "ARRIVAL_BOUND_S",
    "OnHeld",
    "PipelinedConnection",
    "PipelinedDelegate",
    "ignore_held",
]

# Takes the time in seconds that an answer waited for those before it.
OnHeld = Callable[[float], None]

# More requests are left in the kernel's buffer until the oldest is answered.
MAX_PIPELINED = 32
# A connection that closes waits so long, in seconds, for the rest of a request whose
# first bytes have arrived.
ARRIVAL_BOUND_S = 0.2


def ignore_held(held_s: float) -> None:
    """Stand for `OnHeld` where nobody asks."""


class PipelinedDelegate(HTTPMessageDelegate):
    """Takes one request; `received` is done when its last byte has arrived."""

    received: "asyncio.Future[None]"


class _View:
    """The stream as one request sees it: it reads on, and writes in its turn."""

    def __init__(self, owner: "PipelinedConnection") -> None:
        self._owner = owner
        self._stream = owner.stream
        self._waiting: list[tuple[bytes, asyncio.Future[None]]] = []
        self._held_since = 0.0
        self.on_close: Callable[[], None] | None = None
        self.is_done = False
        self.closes = False
        self.max_buffer_size = owner.stream.max_buffer_size
        self.read_bytes = owner.stream.read_bytes
        self.read_until = owner.stream.read_until
        self.read_until_regex = owner.stream.read_until_regex

    @property
    def io_loop(self) -> IOLoop:
        return IOLoop.current()

    def write(self, data: bytes) -> "asyncio.Future[None]":
        """Write now, or when the responses before this one are written."""
        if self._owner.is_next(self):
            return self._stream.write(data)
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[None] = loop.create_future()
        if not self._waiting:
            self._held_since = loop.time()
        self._waiting.append((data, fut))
        return fut

    def flush(self) -> None:
        """Write what has waited for the responses before this one."""
        waiting, self._waiting = self._waiting, []
        if waiting:
            now = asyncio.get_running_loop().time()
            self._owner.on_held(now - self._held_since)
        for data, fut in waiting:
            try:
                self._stream.write(data)
            except StreamClosedError:
                self.abandon()
                return
            if not fut.done():
                fut.set_result(None)

    @property
    def has_waiting(self) -> bool:
        """Whether an answer waits for those before it."""
        return bool(self._waiting)

    def abandon(self) -> None:
        """Tell the request that the connection has closed."""
        for _, fut in self._waiting:
            if not fut.done():
                fut.set_exception(StreamClosedError())
                fut.exception()
        self._waiting.clear()
        callback, self.on_close = self.on_close, None
        if callback is not None:
            callback()

    def close(self) -> None:
        """Close the connection when the responses before this one are written."""
        self.closes = True
        if self._owner.is_next(self):
            self._owner.close()

    def closed(self) -> bool:
        return self._stream.closed()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        self.on_close = callback

    def set_nodelay(self, value: bool) -> None:
        """Do nothing, as `ProtocolStream` does."""


class PipelinedConnection:
    """A caller's connection.

    Parameters
    ----------
    stream : ProtocolStream
    params : HTTP1ConnectionParameters
    make_delegate : callable
        Makes the delegate of a request from the `HTTP1Connection` that it
        answers on and this connection.
    on_closed : callable
        Called once when the connection has closed.
    on_held : OnHeld
    """

    def __init__(
        self,
        stream: ProtocolStream,
        params: HTTP1ConnectionParameters,
        make_delegate: Callable[
            [HTTP1Connection, "PipelinedConnection"], PipelinedDelegate
        ],
        on_closed: Callable[["PipelinedConnection"], None],
        on_held: OnHeld = ignore_held,
    ) -> None:
        self.stream = stream
        self.on_held = on_held
        self.used_at = asyncio.get_running_loop().time()
        self.is_leaving = False
        self._params = params
        self._make_delegate = make_delegate
        self._on_closed = on_closed
        self._views: deque[_View] = deque()
        # Requests whose last byte has arrived and that have no whole response.
        self.unanswered = 0
        stream.set_close_callback(self._closed)

    async def run(self) -> None:
        """Read requests until the connection closes."""
        while not self.stream.closed() and not self._is_done:
            if len(self._views) >= MAX_PIPELINED:
                await self._room()
                continue
            view = _View(self)
            self._views.append(view)
            # tornado types the stream as an `IOStream`, of which it uses a part.
            conn = HTTP1Connection(view, False, self._params)  # type: ignore[arg-type]
            request = self._make_delegate(conn, self)
            reading = asyncio.ensure_future(conn.read_response(request))
            reading.add_done_callback(partial(self._answered, view, request))
            await request.received
            self.used_at = asyncio.get_running_loop().time()

    def is_next(self, view: _View) -> bool:
        """Whether all responses before that of `view` are written."""
        return bool(self._views) and self._views[0] is view

    def leave(self) -> None:
        """Close when no request is unanswered; only what has arrived is read.

        A request whose bytes are at the host would otherwise end without an answer.
        """
        self.is_leaving = True
        if self._is_done and not self.owes_answers:
            self.close()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(ARRIVAL_BOUND_S, self._leave_unread)

    @property
    def owes_answers(self) -> bool:
        """Whether requests run, or their answers have not all left this process."""
        if self.stream.closed():
            return False
        waits = any(view.has_waiting for view in self._views)
        return bool(self.unanswered) or waits or self.stream.writing()

    @property
    def is_reading(self) -> bool:
        """Whether bytes of the caller have arrived that are not taken yet."""
        return not self.stream.closed() and not self.stream.is_open_without_input()

    @property
    def _is_done(self) -> bool:
        """Whether the connection closes and nothing that has arrived is unread."""
        return self.is_leaving and self.stream.is_open_without_input()

    def _leave_unread(self) -> None:
        """Close a connection whose last request has not arrived as a whole."""
        if not self.owes_answers:
            self.close()

    def close(self) -> None:
        """Close after what has been written is sent."""
        self.stream.close_gracefully()

    async def _room(self) -> None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiter = waiter
        await waiter

    _waiter: "asyncio.Future[None] | None" = None

    def _answered(
        self, view: _View, request: PipelinedDelegate, reading: "asyncio.Future[bool]"
    ) -> None:
        """Go on after a request's response has been written or given up."""
        if not reading.cancelled():
            exc = reading.exception()
            if exc is not None and not isinstance(
                exc, StreamClosedError | UnsatisfiableReadError
            ):
                asyncio.get_running_loop().call_exception_handler(
                    {"message": "request handling failed", "exception": exc}
                )
                self.stream.close()
        view.is_done = True
        if not request.received.done():
            request.received.set_result(None)
        while self._views and self._views[0].is_done:
            done = self._views.popleft()
            if done.closes:
                self.close()
                break
            if self._views:
                self._views[0].flush()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._is_done and not self.owes_answers:
            self.close()

    def _closed(self) -> None:
        for view in list(self._views):
            view.abandon()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._on_closed(self)
