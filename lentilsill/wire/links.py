"""Links to other nodes: dialing, accepting and dispatching messages."""

import asyncio
import socket
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgpack
import msgspec
import structlog
from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from .messages import (
    CALLS,
    CONTROL,
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Hello,
    Message,
    WireError,
    decode,
    encode,
    make_unpacker,
)
from .streams import ProtocolStream

__all__ = ["Identity", "Link", "LinkError", "PeerLinks", "Traffic"]

READ_CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# Two whole documents sets of the largest size may wait for a slow peer.
MAX_WRITE_BUFFER_BYTES = 2 * MAX_MESSAGE_BYTES

log = structlog.get_logger()


class LinkError(Exception):
    """A link could not be made, or a peer broke the protocol."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is, as told to peers in `Hello`."""

    node: str
    instance: str
    domain: str
    peer_address: str


@dataclass(slots=True)
class Traffic:
    """Bytes and messages over all links of one purpose since the start."""

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0


@dataclass(eq=False, slots=True)
class Link:
    """One stream to a peer after both sides have sent `Hello`.

    `last_received` is in seconds of the event loop's clock.
    """

    stream: ProtocolStream
    hello: Hello
    address: str
    dialed: bool
    last_received: float
    traffic: Traffic
    on_close: list[Callable[["Link"], None]] = field(default_factory=list)
    is_closed: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the stream is still usable for writing."""
        return not self.stream.closed()

    def send(self, message: Message) -> bool:
        """Queue a message; False when the stream is closed or its buffer is full."""
        data = encode(message)
        try:
            self.stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            return False
        self.traffic.sent_bytes += len(data)
        self.traffic.sent_messages += 1
        return True

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


M = TypeVar("M", bound=msgspec.Struct)
Handler = Callable[[Link, Any], object]


class PeerLinks:
    """All links of a node, one per (address, purpose) that it dialed.

    Handlers are called with the link and the message, in the order of arrival
    on that link, and must not block.
    """

    def __init__(self, identity: Identity, bind_ip: str = "") -> None:
        self.identity = identity
        self.bind_ip = bind_ip
        self.handlers: dict[type, Handler] = {}
        self.close_handlers: list[Callable[[Link], None]] = []
        self.accepted: set[Link] = set()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)
        self._dialed: dict[tuple[str, str], asyncio.Future[Link]] = {}
        self._stop_accepting: list[Callable[[], None]] = []
        self.port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def on(self, message_type: type[M], handler: Callable[[Link, M], object]) -> None:
        """Register the handler of one message type."""
        self.handlers[message_type] = handler

    def listen(self, address: str) -> None:
        """Accept links on ``ip:port``."""
        host, port = split_address(address)
        for sock in bind_sockets(port, host):
            self.port = sock.getsockname()[1]
            remove = add_accept_handler(sock, self._accept)
            self._stop_accepting += [remove, sock.close]

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        self._spawn(self._open_accepted(sock, f"{address[0]}:{address[1]}"))

    async def _open_accepted(self, sock: socket.socket, address: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, stream = await loop.connect_accepted_socket(_make_stream, sock)
            await self._open(stream, address, "")
        except (OSError, LinkError) as exc:
            log.warning("peer_handshake_failed", error=str(exc))

    async def connect(self, address: str, purpose: str) -> Link:
        """Give the open link to `address`, dialing it when there is none.

        Raises
        ------
        LinkError
            The peer can't be reached within 2 s or breaks the protocol.
        """
        key = (address, purpose)
        fut = self._dialed.get(key)
        if fut is not None and fut.done() and not _is_open(fut):
            fut = None
        if fut is None:
            fut = asyncio.ensure_future(self._dial(address, purpose))
            self._dialed[key] = fut
        try:
            return await asyncio.shield(fut)
        except LinkError:
            if self._dialed.get(key) is fut:
                del self._dialed[key]
            raise

    def find(self, address: str, purpose: str) -> Link | None:
        """Give the open dialed link to `address`, or None."""
        fut = self._dialed.get((address, purpose))
        if fut is not None and fut.done() and _is_open(fut):
            return fut.result()
        return None

    def forget(self, address: str, purpose: str) -> None:
        """Drop the link, so that the next `connect` dials a new one."""
        link = self.find(address, purpose)
        self._dialed.pop((address, purpose), None)
        if link is not None:
            link.close()

    def send(self, address: str, purpose: str, message: Message) -> None:
        """Send without waiting; a message to an unreachable peer is dropped."""
        link = self.find(address, purpose)
        if link is not None:
            link.send(message)
            return
        self._spawn(self._send_later(address, purpose, message))

    async def flush(self, timeout_s: float) -> None:
        """Wait until queued messages are handed to the kernel, or the timeout."""
        links = [*self.accepted, *self._dialed_links()]
        pending = [link.stream.write(b"") for link in links if link.is_open]
        if pending:
            await asyncio.wait(pending, timeout=timeout_s)

    def _dialed_links(self) -> list[Link]:
        futs = [fut for fut in self._dialed.values() if fut.done() and _is_open(fut)]
        return [fut.result() for fut in futs]

    def close(self) -> None:
        """Stop accepting and close every link."""
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()
        for link in list(self.accepted):
            link.close()
        for address, purpose in list(self._dialed):
            self.forget(address, purpose)

    async def _send_later(self, address: str, purpose: str, message: Message) -> None:
        try:
            link = await self.connect(address, purpose)
        except LinkError:
            return
        link.send(message)

    def _spawn(self, coro) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _hello(self, purpose: str) -> Hello:
        me = self.identity
        return Hello(
            PROTOCOL_VERSION, me.node, me.instance, me.domain, purpose, me.peer_address
        )

    async def _dial(self, address: str, purpose: str) -> Link:
        host, port = split_address(address)
        try:
            _, stream = await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(
                    _make_stream,
                    host,
                    port,
                    local_addr=(self.bind_ip, 0) if self.bind_ip else None,
                ),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError) as exc:
            reason = str(exc) or "timed out"
            raise LinkError(f"no connection to {address}: {reason}") from exc
        return await self._open(stream, address, purpose)

    async def _open(self, stream: ProtocolStream, address: str, purpose: str) -> Link:
        """Exchange `Hello` and start reading; `purpose` is empty when accepting."""
        unpacker = make_unpacker()
        dialed = bool(purpose)
        try:
            if dialed:
                stream.write(encode(self._hello(purpose)))
            hello, pending = await asyncio.wait_for(
                _read_hello(stream, unpacker), CONNECT_TIMEOUT_S
            )
            if not dialed:
                stream.write(encode(self._hello(hello.purpose)))
        except (WireError, StreamClosedError, TimeoutError) as exc:
            stream.close()
            raise LinkError(f"handshake with {address} failed: {exc}") from exc
        loop = asyncio.get_running_loop()
        traffic = self.traffic[purpose or hello.purpose]
        link = Link(stream, hello, address, dialed, loop.time(), traffic)
        if not dialed:
            self.accepted.add(link)
        # Handlers must find the link, which is known when this method has ended.
        loop.call_soon(self._start, link, unpacker, pending)
        return link

    def _start(self, link: Link, unpacker: msgpack.Unpacker, pending: list) -> None:
        """Dispatch what came with `Hello`, and then what arrives."""
        stream = link.stream
        stream.set_close_callback(lambda: self._closed(link))
        try:
            for obj in pending:
                self._dispatch(link, decode(obj))
        except WireError as exc:
            self._fail(link, exc)
        stream.consume(lambda chunk: self._receive(link, unpacker, chunk))
        if stream.closed():
            # The connection was lost before its close callback was set.
            self._closed(link)

    def _receive(self, link: Link, unpacker: msgpack.Unpacker, chunk: bytes) -> None:
        link.last_received = asyncio.get_running_loop().time()
        link.traffic.received_bytes += len(chunk)
        try:
            unpacker.feed(chunk)
            for obj in unpacker:
                self._dispatch(link, decode(obj))
        except (WireError, msgpack.UnpackException, ValueError) as exc:
            self._fail(link, exc)
        except Exception:
            # A handler failed; the messages after this one can't be told apart
            # from those that it has taken.
            log.exception("peer_message_failed", peer=link.hello.node)
            link.close()

    def _fail(self, link: Link, exc: Exception) -> None:
        log.warning(
            "peer_protocol_error",
            peer=link.hello.node,
            address=link.address,
            error=str(exc),
        )
        link.close()

    def _dispatch(self, link: Link, message: Message) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            raise WireError(f"unexpected message {type(message).__name__}")
        link.traffic.received_messages += 1
        handler(link, message)

    def _closed(self, link: Link) -> None:
        if link.is_closed:
            return
        link.is_closed = True
        self.accepted.discard(link)
        for handler in [*link.on_close, *self.close_handlers]:
            handler(link)


def _make_stream() -> ProtocolStream:
    return ProtocolStream(MAX_WRITE_BUFFER_BYTES)


async def _read_hello(
    stream: ProtocolStream, unpacker: msgpack.Unpacker
) -> tuple[Hello, list]:
    """Read up to and including `Hello`; also give what came after it."""
    objs: list = []
    while not objs:
        unpacker.feed(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        try:
            objs = list(unpacker)
        except (msgpack.UnpackException, ValueError) as exc:
            raise WireError(f"not a message stream: {exc}") from exc
    hello = decode(objs[0])
    if not isinstance(hello, Hello):
        raise WireError(f"expected Hello, got {type(hello).__name__}")
    if hello.protocol_version != PROTOCOL_VERSION:
        raise WireError(
            f"protocol version {hello.protocol_version}, expected {PROTOCOL_VERSION}"
        )
    if hello.purpose not in (CONTROL, CALLS):
        raise WireError(f"unknown link purpose {hello.purpose!r}")
    return hello, objs[1:]


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Examples
    --------
    >>> split_address("127.0.0.1:7100")
    ('127.0.0.1', 7100)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_open(fut: "asyncio.Future[Link]") -> bool:
    return not fut.cancelled() and fut.exception() is None and fut.result().is_open
