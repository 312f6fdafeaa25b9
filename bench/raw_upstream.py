"""Upstream with a fixed answer and little CPU per request, which announces itself.

It runs `slots` requests at once for `service_ms` each. Others wait in an unbounded
queue, as in a worker without admission control. ``GET /set?ms=<ms>&fail=<mode>`` sets
the service time and the failure mode (``status``: status 500 for all, ``close``: close
the connection without an answer), and ``reset=1`` clears the queue; the answer is the
number of executions so far. A connection that the client closes cancels its request.
"""

import asyncio
import json
from collections import deque
from typing import Annotated
from urllib.parse import parse_qs

import typer
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

__all__ = ["RawUpstream", "main"]

ANNOUNCE_INTERVAL_S = 1.0
BODY = b"x" * 200


class RawUpstream:
    """Slots and request queue shared by all connections."""

    def __init__(self, name: str, slots: int, service_ms: float) -> None:
        self.name = name
        self.slots = slots
        self.service_ms = service_ms
        self.failure_mode = ""
        self.running_count = 0
        self.execution_count = 0
        self.queue: deque[_Connection] = deque()

    def submit(self, conn: "_Connection") -> None:
        """Run a request now if a slot is free, else queue it."""
        if self.running_count < self.slots:
            self._start(conn)
        else:
            self.queue.append(conn)

    def configure(self, query: str) -> None:
        """Apply the parameters ``ms``, ``fail`` and ``reset`` of a query."""
        values = parse_qs(query)
        self.service_ms = float(values.get("ms", [self.service_ms])[0])
        self.failure_mode = values.get("fail", [self.failure_mode])[0]
        if "reset" in values:
            self.queue.clear()

    def _start(self, conn: "_Connection") -> None:
        self.execution_count += 1
        if self.service_ms <= 0:
            conn.answer()
            return
        self.running_count += 1
        loop = asyncio.get_running_loop()
        conn.timer = loop.call_later(self.service_ms / 1000, self._finish, conn)

    def cancel(self, conn: "_Connection") -> None:
        """Cancel the request of a closed connection."""
        if conn in self.queue:
            self.queue.remove(conn)
        if conn.timer is not None:
            conn.timer.cancel()
            conn.timer = None
            self._free_slot()

    def _finish(self, conn: "_Connection") -> None:
        conn.timer = None
        conn.answer()
        self._free_slot()

    def _free_slot(self) -> None:
        self.running_count -= 1
        if self.queue:
            self._start(self.queue.popleft())


class _Connection(asyncio.Protocol):
    def __init__(self, upstream: RawUpstream) -> None:
        self.upstream = upstream
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.cancel(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, header_end, body = self.buffer.partition(b"\r\n\r\n")
        if not header_end:
            return
        _, separator, tail = head.lower().partition(b"content-length:")
        if separator and len(body) < int(tail.split(b"\r\n", 1)[0]):
            return
        self.buffer = b""
        path = head.split(b" ", 2)[1].decode()
        if path.startswith("/set?"):
            self.upstream.configure(path.partition("?")[2])
            self._write(b"200 OK", b"%d" % self.upstream.execution_count)
        else:
            self.upstream.submit(self)

    def answer(self) -> None:
        if self.upstream.failure_mode == "close" and self.transport is not None:
            self.transport.close()
            return
        status = b"500 Error" if self.upstream.failure_mode == "status" else b"200 OK"
        self._write(status, self.upstream.name.encode() + b" " + BODY)

    def _write(self, status: bytes, body: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n" % (status, len(body))
            self.transport.write(head + b"Content-Type: text/plain\r\n\r\n" + body)


async def _serve(upstream: RawUpstream, service: str, address: str, admin: str) -> None:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: _Connection(upstream), host, int(port))
    body = json.dumps(
        {
            "service": service,
            "address": address,
            "slots": upstream.slots,
            "labels": {},
            "state": "ready",
        }
    )
    client = SimpleAsyncHTTPClient(force_instance=True)
    url = f"http://{admin}/lentilsill/upstreams/{upstream.name}"
    while True:
        await client.fetch(HTTPRequest(url, method="PUT", body=body), raise_error=False)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


def main(
    service: Annotated[str, typer.Option()],
    address: Annotated[str, typer.Option(help="ip:port")],
    admin: Annotated[str, typer.Option(help="Admin address of the node")],
    name: Annotated[str, typer.Option()],
    slots: Annotated[int, typer.Option()] = 64,
    service_ms: Annotated[float, typer.Option()] = 0.0,
) -> None:
    """Run the upstream until it is killed."""
    asyncio.run(_serve(RawUpstream(name, slots, service_ms), service, address, admin))


if __name__ == "__main__":
    typer.run(main)
