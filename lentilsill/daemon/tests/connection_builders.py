"""Builders of servers and requests for tests of callers' connections."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.documents import CallerLimits
from lentilsill.outcomes import Answer

__all__ = [
    "TIMEOUT_S",
    "DelayedCalls",
    "connect_with_small_buffers",
    "get",
    "read_available",
    "read_slowly",
    "read_until_closed",
    "running_server",
]

TIMEOUT_S = 5.0
SOCKET_BUFFER_BYTES = 64 * 1024
SLOW_READ_PAUSE_S = 0.08
MAX_BODY_BYTES = 1024


def get(name, extra=b"") -> bytes:
    """Return a request for ``/s/<name>``; `extra` holds further header lines."""
    return b"GET /s/%s HTTP/1.1\r\nHost: x\r\n%s\r\n" % (str(name).encode(), extra)


class DelayedCalls:
    """Answers each call with its path after `delay_s`.

    Calls of ``/cancelled`` end in CancelledError, those of ``/failed`` in an exception.
    Those of ``/stalled`` take longer and stall the event loop for `stall_s` seconds.
    `body_bytes` is the size of the filler behind the path.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.body_bytes = 0
        self.stall_s = 0.0
        self.passed_on: list[str] = []
        self.cancelled: list[str] = []

    async def handle(self, req) -> Answer:
        self.passed_on.append(req.path)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled.append(req.path)
            raise
        match req.path:
            case "/stalled":
                await asyncio.sleep(10 * self.delay_s)
                time.sleep(self.stall_s)
            case "/cancelled":
                raise asyncio.CancelledError
            case "/failed":
                raise RuntimeError("call failed")
        filler = b"x" * self.body_bytes
        return Answer(200, (), b"whole " + req.path.encode() + filler + b"end")


@asynccontextmanager
async def running_server(
    delay_s: float, idle_s: float | None = None
) -> AsyncIterator[tuple[DelayedCalls, CallerServer, int]]:
    """Run a server for callers; yield its calls, the server and its port."""
    calls = DelayedCalls(delay_s)
    limits = None
    if idle_s is not None:
        limits = CallerLimits(idle_timeout_ms=int(idle_s * 1000))
    server = CallerServer(calls, MAX_BODY_BYTES, limits=lambda: limits)
    port = server.listen("127.0.0.1:0")
    try:
        yield calls, server, port
    finally:
        await asyncio.wait_for(server.close(), TIMEOUT_S)


async def read_until_closed(
    reader: asyncio.StreamReader, timeout_s: float = TIMEOUT_S
) -> bytes:
    """Return what arrives until the connection closes, which it must in time."""
    data = b""
    with suppress(ConnectionError):
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65536):
                data += chunk
    return data


async def connect_with_small_buffers(server: CallerServer, port: int) -> socket.socket:
    """Connect so that the kernel holds only a small part of a large answer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    known = set(server._connections)
    sock.connect(("127.0.0.1", port))
    while not server._connections.keys() - known:
        await asyncio.sleep(0.005)
    for conn in server._connections:
        transport = conn.stream._transport
        assert transport is not None
        accepted = transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return sock


def read_available(sock: socket.socket) -> bytes:
    """Return the bytes that have arrived, without waiting."""
    data = b""
    with suppress(BlockingIOError):
        while chunk := sock.recv(SOCKET_BUFFER_BYTES, socket.MSG_DONTWAIT):
            data += chunk
    return data


async def read_slowly(sock: socket.socket) -> bytes:
    """Read to the end, over a longer time than a closed stream lingers."""
    data = b""
    async with asyncio.timeout(4 * TIMEOUT_S):
        while chunk := await asyncio.to_thread(sock.recv, SOCKET_BUFFER_BYTES):
            data += chunk
            await asyncio.sleep(SLOW_READ_PAUSE_S)
    return data
