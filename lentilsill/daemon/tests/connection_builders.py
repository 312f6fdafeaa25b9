"""Builders of servers and requests for tests of callers' connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.documents import CallerLimits
from lentilsill.outcomes import Answer

__all__ = ["TIMEOUT_S", "DelayedCalls", "get", "read_until_closed", "running_server"]

TIMEOUT_S = 5.0
MAX_BODY_BYTES = 1024


def get(name, extra=b"") -> bytes:
    """Return a request for ``/s/<name>``; `extra` holds further header lines."""
    return b"GET /s/%s HTTP/1.1\r\nHost: x\r\n%s\r\n" % (str(name).encode(), extra)


class DelayedCalls:
    """Answers each call with its path after `delay_s`.

    Calls of ``/cancelled`` end in CancelledError, those of ``/failed`` in an exception.
    `body_bytes` is the size of the filler behind the path.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.body_bytes = 0
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
    """Return what arrives until the connection closes or the time is over."""
    data = b""
    with suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65536):
                data += chunk
    return data
