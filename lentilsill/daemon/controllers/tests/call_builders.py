"""Builders of nodes, upstreams and relays on loopback."""

import asyncio
import os
import random
import socket
import time
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from lentilsill.daemon.blackboard import Blackboard
from lentilsill.daemon.context import Context
from lentilsill.daemon.controllers.destination import DestinationController
from lentilsill.daemon.controllers.entry import EntryController
from lentilsill.daemon.interfaces import CallRequest
from lentilsill.documents import (
    HedgePolicy,
    Limits,
    RetryPolicy,
    Route,
    RouteTarget,
    ServiceDocument,
    UpstreamSet,
)
from lentilsill.membership import NodeRecord, NodeState, UpstreamRecord, UpstreamState
from lentilsill.settings import NodeSettings
from lentilsill.versioning import Snapshot
from lentilsill.wire import (
    CALLS,
    PROTOCOL_VERSION,
    Hello,
    Link,
    Message,
    PeerLinks,
    decode,
    encode,
)
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Call, make_unpacker

HOST = "127.0.0.1"


def make_document(
    leaving: bool = False, hedge: HedgePolicy | None = None
) -> ServiceDocument:
    """Return a document of service `slots`: GET is idempotent, POST is not."""
    targets = (RouteTarget("slots", "all", 1),)
    policy = RetryPolicy(3, 10.0)
    routes = (
        Route("get", "/", frozenset({"GET"}), True, 3000, targets, policy, hedge),
        Route("post", "/", frozenset({"POST"}), False, 3000, targets, policy, None),
    )
    sets = {"all": UpstreamSet("all", (), leaving)}
    return ServiceDocument(
        "slots", 1, MappingProxyType(sets), routes, Limits(6, 12), ()
    )


def make_request(
    method: str = "GET", path: str = "/a", body: bytes = b"", deadline_ms: int = 0
):
    return CallRequest("slots", method, path, (), body, "", deadline_ms)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class FakeUpstream(TCPServer):
    """HTTP upstream that answers each request with its path.

    `gates` maps paths to events that are awaited before the answer. `raw_answers` maps
    paths to bytes that are written instead, before the connection is closed.
    `extra_head` has further header lines of all other answers. `seen_at` has the time
    of each request, in seconds of the loop's clock, and `heads` its head.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[str] = []
        self.seen_at: list[float] = []
        self.heads: list[bytes] = []
        self.extra_head = b""
        self.cancelled: list[str] = []
        self.streams: set = set()
        self.raw_answers: dict[str, bytes] = {}
        self.gates: dict[str, asyncio.Event] = {}
        self.port = free_port()
        self.listen(self.port, HOST)

    def close_idle(self) -> None:
        """Close all connections, as an upstream with a short idle timeout does."""
        for stream in list(self.streams):
            stream.close()

    async def handle_stream(self, stream, address) -> None:
        self.streams.add(stream)
        try:
            while True:
                head = await stream.read_until(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await stream.read_bytes(int(line.split(b":")[1]))
                self.seen.append(path)
                self.heads.append(head)
                self.seen_at.append(asyncio.get_running_loop().time())
                if path in self.gates:
                    stream.set_close_callback(partial(self.cancelled.append, path))
                    await self.gates[path].wait()
                    stream.set_close_callback(None)
                if path in self.raw_answers:
                    await stream.write(self.raw_answers[path])
                    stream.close()
                    return
                body = path.encode()
                await stream.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s"
                    % (len(body), self.extra_head, body)
                )
        except StreamClosedError:
            pass
        finally:
            self.streams.discard(stream)


class FakeNode:
    """Node with only the controllers of the call path."""

    def __init__(
        self, name: str, silent_link_s: float = 1.0, port: int = 0, guard=None
    ) -> None:
        self.port = port or free_port()
        cfg = NodeSettings.model_validate(
            {
                "node": name,
                "domain": "lahore",
                "bind_ip": HOST,
                "peer_address": f"{HOST}:{self.port}",
                "caller_address": f"{HOST}:1",
                "admin_address": f"{HOST}:1",
                "platform": {"url": "http://127.0.0.1:1"},
                "calls": {"silent_link_s": silent_link_s},
            }
        )
        links = PeerLinks(Identity(name, f"i-{name}", "lahore", cfg.peer_address), HOST)
        links.listen(cfg.peer_address)
        board = Blackboard(Snapshot({"slots": make_document()}, 1), ready=True)
        self.ctx = Context(cfg, board, links, None, random.Random(1))
        self.destination = DestinationController(self.ctx, guard)
        self.entry = EntryController(self.ctx, self.destination, None, guard)
        self.destination.start()
        self.entry.start()

    def add_upstream(self, upstream: str, port: int) -> None:
        """Add a ready upstream of service `slots` to the node."""
        self.ctx.board.upstreams[upstream] = UpstreamRecord(
            upstream, "slots", f"{HOST}:{port}", 6, (), UpstreamState.READY
        )
        self.destination.refresh()

    def record(self, address: str = "") -> NodeRecord:
        """Return the node's record; `address` replaces its peer address."""
        cfg = self.ctx.cfg
        return NodeRecord(
            cfg.node,
            cfg.domain,
            f"i-{cfg.node}",
            1,
            1,
            address or cfg.peer_address,
            cfg.caller_address,
            NodeState.READY,
            tuple(self.ctx.board.upstreams.values()),
        )

    def set_members(self, *records: NodeRecord) -> None:
        """Replace the members that the node knows."""
        self.ctx.board.members = {record.node: record for record in records}
        self.entry.refresh()

    def close(self) -> None:
        for task in list(self.ctx.tasks):
            task.cancel()
        self.ctx.links.close()


class BlackholeRelay(TCPServer):
    """TCP relay to port `target` that can drop the traffic of open connections."""

    def __init__(self, target: int) -> None:
        super().__init__()
        self.target = target
        self.dropped_flows: set = set()
        self.open: set = set()
        self.tasks: list[asyncio.Task] = []
        self.port = free_port()
        self.listen(self.port, HOST)

    def blackhole(self, directions: tuple[str, ...] = ("up", "down")) -> None:
        """Drop further bytes on the connections that are open now; they stay open."""
        self.dropped_flows |= {
            (key, direction) for key in self.open for direction in directions
        }

    async def handle_stream(self, stream, address) -> None:
        other = await TCPClient().connect(HOST, self.target)
        key = object()
        self.open.add(key)
        for source, sink, direction in ((stream, other, "up"), (other, stream, "down")):
            self.tasks.append(
                asyncio.ensure_future(self._copy(source, sink, (key, direction)))
            )

    async def _copy(self, source, sink, flow) -> None:
        try:
            while True:
                data = await source.read_bytes(65536, partial=True)
                if flow not in self.dropped_flows:
                    await sink.write(data)
        except StreamClosedError:
            sink.close()


class FreezableRelay(BlackholeRelay):
    """TCP relay that can hold all bytes back, like a node that is stopped."""

    def __init__(self, target: int) -> None:
        super().__init__(target)
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Accept connections and bytes without passing anything on."""
        self._running.clear()

    def resume(self) -> None:
        """Pass on what was held back, and all further bytes."""
        self._running.set()

    async def _copy(self, source, sink, flow) -> None:
        try:
            while True:
                data = await source.read_bytes(65536, partial=True)
                await self._running.wait()
                await sink.write(data)
        except StreamClosedError:
            await self._running.wait()
            sink.close()


class RawPeer:
    """Node with the upstream `w1` that uses blocking sockets and answers by hand."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.conn: socket.socket | None = None

    def record(self) -> NodeRecord:
        """Return the node's record."""
        upstream = UpstreamRecord("w1", "slots", "", 6, (), UpstreamState.READY)
        return NodeRecord(
            "raw",
            "lahore",
            "i-raw",
            1,
            1,
            self.address,
            "",
            NodeState.READY,
            (upstream,),
        )

    def receive_call(self) -> int:
        """Accept a link, and return the id of its first call."""
        self.conn, _ = self.listener.accept()
        unpacker = make_unpacker()
        hello = Hello(PROTOCOL_VERSION, "raw", "i-raw", "lahore", CALLS, self.address)
        self.conn.sendall(encode(hello))
        while True:
            unpacker.feed(self.conn.recv(65536))
            for message in map(decode, unpacker):
                if isinstance(message, Call):
                    return message.call_id

    def send_and_close(self, message: Message) -> None:
        """Send a message and exit."""
        assert self.conn is not None
        self.conn.sendall(encode(message))
        self.close()

    def close(self) -> None:
        """Close the link, and accept no other."""
        self.listener.close()
        if self.conn is not None:
            self.conn.close()


def stop_process(stall_s: float, meanwhile: Callable[[], object]) -> None:
    """Stall the event loop like SIGSTOP and SIGCONT; call `meanwhile` in the stall.

    When epoll is interrupted and its time limit has passed, Python reports no events,
    so that timers run before bytes that have arrived are read.
    """
    selector = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]
    select = selector.select

    def select_nothing(timeout: float | None) -> list:
        selector.select = select
        meanwhile()
        time.sleep(stall_s)
        return []

    selector.select = select_nothing


def send_unread(link: Link, message: Message) -> None:
    """Send a message directly to the kernel, without a turn of the event loop."""
    sock = link.stream._transport.get_extra_info("socket")  # type: ignore[union-attr]
    os.write(sock.fileno(), encode(message))


async def wait_for(condition, timeout_s: float = 5.0) -> None:
    """Wait until `condition()` is true; fail after `timeout_s` seconds."""

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.005)

    await asyncio.wait_for(poll(), timeout_s)
