"""Links to other nodes: dialing and accepting them, and dispatching messages."""

import asyncio
import socket
from collections import defaultdict
from collections.abc import Callable
from typing import TypeVar

import msgspec
import structlog
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from .addresses import split_address
from .compression import (
    COMPRESSION,
    Compressor,
    Decompressor,
    uses_compression,
)
from .dispatch import Handler, LinkDispatch
from .handshake import read_hello
from .idle_links import select_idle
from .link import Identity, Link, LinkCloseReason, LinkError, Traffic
from .link_checks import LinkChecks
from .link_stream import LinkStream
from .messages import (
    CONTROL,
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Hello,
    Message,
    Ping,
    Pong,
    SentMessage,
    WireError,
    encode,
)
from .streams import ProtocolStream

__all__ = ["Identity", "Link", "LinkError", "PeerLinks", "Traffic", "split_address"]

CONNECT_TIMEOUT_S = 2.0
# Two complete sets of documents of the largest size may be buffered for a slow peer.
MAX_WRITE_BUFFER_BYTES = 2 * MAX_MESSAGE_BYTES
# A node probes a random peer each second; without a limit, it would keep links to all
# 511 peers.
MAX_CONTROL_LINKS = 64
# Links for calls are compressed between domains; each end takes about 80 KB.
MAX_COMPRESSED_CALL_LINKS = 32
# An answer may still be in transit on a link that was used more recently.
MIN_IDLE_S = 5.0
# Dead hosts don't refuse dials; all nodes must learn of leaving upstreams within 2 s.
UNSENT_TIMEOUT_S = 0.4

log = structlog.get_logger()


M = TypeVar("M", bound=msgspec.Struct)


class PeerLinks:
    """All links of a node; it dials at most one per (address, purpose).

    Handlers are called with the link and the message, in the order in which messages
    arrive on that link, and must not block.
    """

    def __init__(
        self,
        identity: Identity,
        bind_ip: str = "",
        max_control_links: int = MAX_CONTROL_LINKS,
        min_idle_s: float = MIN_IDLE_S,
        max_compressed_call_links: int = MAX_COMPRESSED_CALL_LINKS,
    ) -> None:
        self.identity = identity
        self.max_control_links = max_control_links
        self.min_idle_s = min_idle_s
        self.max_compressed_call_links = max_compressed_call_links
        self.bind_ip = bind_ip
        self.handlers: dict[type, Handler] = {
            Ping: lambda link, message: link.send(Pong(message.token)),
            # Its arrival has already updated the time of the link.
            Pong: lambda link, message: None,
        }
        self.checks = LinkChecks()
        self.close_handlers: list[Callable[[Link], None]] = []
        self.accepted: set[Link] = set()
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)
        self._dialed: dict[tuple[str, str], asyncio.Future[Link]] = {}
        self._stop_accepting: list[Callable[[], None]] = []
        self.port = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False
        # The controller that sends calls over the links sets this callback.
        self.is_awaiting_answer: Callable[[Link], bool] = lambda link: False
        # What this node reads beyond the first release, as sent in `Hello`, and by the
        # same names the functions that convert messages for peers without it.
        self.features: tuple[str, ...] = ()
        self.adapters: dict[str, Callable[[SentMessage], SentMessage]] = {}
        # Era of the revisions of peers that know no eras; None if that is not known.
        self.era_of_old_peers: Callable[[], int | None] = lambda: 0

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
        self._start_task(self._open_accepted(sock, f"{address[0]}:{address[1]}"))

    async def _open_accepted(self, sock: socket.socket, address: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, stream = await loop.connect_accepted_socket(_make_stream, sock)
            await self._open(stream, address, "")
        except (OSError, LinkError) as exc:
            log.warning("peer_handshake_failed", error=str(exc))

    async def connect(self, address: str, purpose: str) -> Link:
        """Return the open link to `address`, dialing it when there is none.

        Raises
        ------
        LinkError
            The peer can't be reached within 2 s or violates the protocol.
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

    def dial_second(self, address: str, purpose: str) -> asyncio.Task[Link]:
        """Open a link beside the one to `address`, which stays in use.

        The task raises LinkError as `connect` does.
        """
        return asyncio.ensure_future(self._dial(address, purpose))

    def replace(self, address: str, purpose: str, dial: asyncio.Task[Link]) -> None:
        """Let `connect` and `find` return the link of `dial` for `address`."""
        self._dialed[address, purpose] = dial

    def find(self, address: str, purpose: str) -> Link | None:
        """Return the open dialed link to `address`, or None."""
        fut = self._dialed.get((address, purpose))
        if fut is not None and fut.done() and _is_open(fut):
            return fut.result()
        return None

    def disconnect(
        self,
        address: str,
        purpose: str,
        reason: LinkCloseReason = LinkCloseReason.SILENT,
    ) -> None:
        """Close the dialed link, so that the next `connect` dials a new one."""
        link = self.find(address, purpose)
        self._dialed.pop((address, purpose), None)
        if link is not None:
            link.close(reason)

    def send(self, address: str, purpose: str, message: Message) -> None:
        """Send without waiting; a message to an unreachable peer is dropped."""
        self.send_with_callback(address, purpose, message, None)

    def send_with_callback(
        self,
        address: str,
        purpose: str,
        message: Message,
        on_unsent: Callable[[], None] | None,
    ) -> None:
        """Send without waiting, and call `on_unsent` once when that fails.

        `on_unsent` is also called when the link is not open within 0.4 s; in that
        case the message may still be sent.
        """
        link = self.find(address, purpose)
        if link is None:
            self._start_task(self._dial_and_send(address, purpose, message, on_unsent))
        elif not link.send(message) and on_unsent is not None:
            on_unsent()

    def send_checked(
        self,
        address: str,
        purpose: str,
        message: Message,
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Send without waiting, and send again over a new link if this one is silent.

        The message may arrive twice. `on_unsent` is as in `send_with_callback`.
        """

        def send_again() -> None:
            if self._is_closed:
                return
            self._start_task(self._dial_and_send(address, purpose, message, on_unsent))

        link = self.find(address, purpose)
        if link is not None:
            self.checks.start(link, send_again)
        self.send_with_callback(address, purpose, message, on_unsent)

    async def flush(self, timeout_s: float) -> None:
        """Wait until the kernel has accepted all queued messages, or the timeout."""
        links = [*self.accepted, *self._dialed_links()]
        pending = [link.stream.write(b"") for link in links if link.is_open]
        if pending:
            await asyncio.wait(pending, timeout=timeout_s)

    def _dialed_links(self) -> list[Link]:
        futs = [fut for fut in self._dialed.values() if fut.done() and _is_open(fut)]
        return [fut.result() for fut in futs]

    def count_open_links(self) -> dict[str, int]:
        """Return the numbers of dialed and accepted links that are open now."""
        return {"dialed": len(self._dialed_links()), "accepted": len(self.accepted)}

    def close(self) -> None:
        """Stop accepting, close every link, and prevent new links."""
        self._is_closed = True
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()
        for link in list(self.accepted):
            link.close(LinkCloseReason.STOP)
        for address, purpose in list(self._dialed):
            self.disconnect(address, purpose, LinkCloseReason.STOP)

    async def _dial_and_send(
        self,
        address: str,
        purpose: str,
        message: Message,
        on_unsent: Callable[[], None] | None,
    ) -> None:
        dial = asyncio.ensure_future(self.connect(address, purpose))
        await asyncio.wait([dial], timeout=UNSENT_TIMEOUT_S if on_unsent else None)
        if not dial.done() and on_unsent is not None:
            on_unsent()
            on_unsent = None
        try:
            is_sent = (await dial).send(message)
        except LinkError:
            is_sent = False
        if not is_sent and on_unsent is not None:
            on_unsent()

    def _close_idle(self, purpose: str) -> None:
        """Make room for one more link by closing the least recently used ones.

        Links for calls count only if they are compressed; others take little memory.
        """
        now = asyncio.get_running_loop().time()
        links = {key: self.find(*key) for key in self._dialed if key[1] == purpose}
        counted = {
            key: link
            for key, link in links.items()
            if link is not None and (purpose == CONTROL or link.compressor is not None)
        }
        is_control = purpose == CONTROL
        limit = self.max_control_links if is_control else self.max_compressed_call_links
        excess = len(counted) + 1 - limit
        if excess <= 0:
            return
        used_before_s = now - self.min_idle_s
        for key in select_idle(counted, excess, used_before_s, self.is_awaiting_answer):
            self.traffic[purpose].idle_closed += 1
            self.disconnect(*key, LinkCloseReason.IDLE)

    def _start_task(self, coro) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_hello(self, purpose: str) -> Hello:
        me = self.identity
        return Hello(
            PROTOCOL_VERSION,
            me.node,
            me.instance,
            me.domain,
            purpose,
            me.peer_address,
            (COMPRESSION,),
            has_eras=True,
            features=self.features,
        )

    async def _dial(self, address: str, purpose: str) -> Link:
        self.traffic[purpose].dials += 1
        self._close_idle(purpose)
        try:
            host, port = split_address(address)
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
        is_dialed = bool(purpose)
        try:
            self._check_open()
            if is_dialed:
                stream.write(encode(self._make_hello(purpose)))
            hello, remainder = await asyncio.wait_for(
                read_hello(stream), CONNECT_TIMEOUT_S
            )
            self._check_open()
            if not is_dialed:
                stream.write(encode(self._make_hello(hello.purpose)))
        except (WireError, StreamClosedError, TimeoutError) as exc:
            stream.close()
            raise LinkError(f"handshake with {address} failed: {exc}") from exc
        loop = asyncio.get_running_loop()
        traffic = self.traffic[purpose or hello.purpose]
        link = Link(stream, hello, address, is_dialed, loop.time(), traffic)
        link.adapters = [
            adapt
            for feature, adapt in self.adapters.items()
            if feature not in hello.features
        ]
        decompressor = None
        if uses_compression(self._make_hello(hello.purpose), hello):
            link.compressor = Compressor(hello.purpose)
            decompressor = Decompressor()
        if not is_dialed:
            self.accepted.add(link)
        # Handlers must find the link: `find` returns it only after this method ends.
        loop.call_soon(self._start_dispatch, link, decompressor, remainder)
        return link

    def _check_open(self) -> None:
        if self._is_closed:
            raise StreamClosedError()

    def _start_dispatch(
        self, link: Link, decompressor: Decompressor | None, remainder: bytes
    ) -> None:
        """Dispatch messages that came with `Hello`, and then those that follow."""
        stream = link.stream
        dispatch = LinkDispatch(
            link, self.handlers, decompressor, lambda: self.era_of_old_peers()
        )
        stream.set_close_callback(lambda: self._handle_close(link, dispatch))
        dispatch.receive(remainder)
        stream.consume(dispatch.receive)
        if stream.closed():
            # The connection was lost before its close callback was set.
            self._handle_close(link, dispatch)

    def _handle_close(self, link: Link, dispatch: LinkDispatch) -> None:
        if link.is_closed:
            return
        # Results that arrived before the close are still delivered.
        dispatch.finish()
        link.is_closed = True
        link.set_close_reason(LinkCloseReason.PEER)
        self.accepted.discard(link)
        for handler in [*link.on_close, *self.close_handlers]:
            handler(link)


def _make_stream() -> LinkStream:
    return LinkStream(MAX_WRITE_BUFFER_BYTES)


def _is_open(fut: "asyncio.Future[Link]") -> bool:
    return not fut.cancelled() and fut.exception() is None and fut.result().is_open
