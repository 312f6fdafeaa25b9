"""Builders of upstreams that run beside the event loop, and of clients for them."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import CallResult

__all__ = [
    "HOST",
    "answer",
    "read_request",
    "reset",
    "running_upstream",
    "send",
    "stall",
]

HOST = "127.0.0.1"
TIMEOUT_S = 5.0

Serve = Callable[[socket.socket, int], None]


def answer(body: bytes = b"ok", extra: bytes = b"") -> bytes:
    """Return an answer of status 200; `extra` holds further header lines."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s" % (
        len(body),
        extra,
        body,
    )


def read_request(conn: socket.socket) -> bytes:
    """Return the head of a request, or no bytes at the end of the stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(65536)
        if not chunk:
            return b""
        data += chunk
    return data


def reset(conn: socket.socket) -> None:
    """Reset a connection."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


@contextmanager
def running_upstream(serve: Serve) -> Iterator[int]:
    """Run an upstream in threads and yield its port.

    It goes on while the event loop of the test is blocked. `serve` is called with
    each connection and its number, beginning with 1.
    """
    listener = socket.create_server((HOST, 0))

    def serve_one(conn: socket.socket, number: int) -> None:
        conn.settimeout(TIMEOUT_S)
        with conn, suppress(OSError):
            serve(conn, number)

    def accept() -> None:
        number = 0
        with suppress(OSError):
            while True:
                conn, _ = listener.accept()
                number += 1
                threading.Thread(
                    target=serve_one, args=(conn, number), daemon=True
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


async def send(
    client: UpstreamClient, idempotent: bool, attempt_id: str = "a1"
) -> CallResult:
    """Send a request with its own exchange."""
    async with asyncio.timeout(TIMEOUT_S):
        return await client.send(
            Exchange(), "GET", "/", (), b"", idempotent, attempt_id
        )


def stall(seconds: float) -> None:
    """Block the event loop, as a process without processor time is."""
    time.sleep(seconds)
