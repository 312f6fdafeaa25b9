"""Compares ways to send HTTP requests to an upstream.

Run as ``python -m bench.upstream_clients PORT [CALLS]``. The upstream is a stand-in in
a process of its own, which is started with ``--serve PORT`` beforehand.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable

from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import Answer

__all__ = ["BODY", "FixedUpstream", "main"]

HOST = "127.0.0.1"
BODY = b"x" * 200
HEADERS = (("Lentilsill-Deadline-Ms", "800"), ("X-Request", "1"))
ROUNDS = 3


class FixedUpstream(TCPServer):
    """Answers each request, which must have no body, with the same 200 bytes."""

    async def handle_stream(self, stream, address) -> None:
        stream.set_nodelay(True)
        try:
            while True:
                await stream.read_until(b"\r\n\r\n")
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
                await stream.write(head + BODY)
        except StreamClosedError:
            pass


async def _serve(port: int) -> None:
    FixedUpstream().listen(port, HOST)
    await asyncio.Event().wait()


async def _measure(name: str, calls: int, send: Callable[[], Awaitable[None]]) -> None:
    latencies_us = HdrHistogram(1, 10_000_000, 3)
    for _ in range(100):
        await send()
    cpu_s = time.process_time()
    for _ in range(calls):
        start_ns = time.perf_counter_ns()
        await send()
        latencies_us.record_value((time.perf_counter_ns() - start_ns) // 1000)
    cpu_s = time.process_time() - cpu_s
    p50, p99 = (latencies_us.get_value_at_percentile(p) for p in (50, 99))
    print(
        f"{name:24} p50 {p50} us, p99 {p99} us, {cpu_s / calls * 1e6:.0f} us CPU/call"
    )


async def _compare(port: int, calls: int) -> None:
    curl_client = CurlAsyncHTTPClient(force_instance=True)
    client = UpstreamClient(f"{HOST}:{port}")

    async def send_by_curl(is_fresh: bool) -> None:
        req = HTTPRequest(
            f"http://{HOST}:{port}/a",
            headers=dict(HEADERS),
            prepare_curl_callback=lambda handle: handle.setopt(
                handle.FRESH_CONNECT, int(is_fresh)
            ),
        )
        assert (await curl_client.fetch(req)).body == BODY

    async def send_by_streams(is_idempotent: bool) -> None:
        result = await client.send(Exchange(), "GET", "/a", HEADERS, b"", is_idempotent)
        assert isinstance(result, Answer) and result.body == BODY

    for _ in range(ROUNDS):
        await _measure("curl, kept", calls, lambda: send_by_curl(False))
        await _measure("curl, FRESH_CONNECT", calls, lambda: send_by_curl(True))
        await _measure("HTTP1Connection, kept", calls, lambda: send_by_streams(True))
        await _measure("HTTP1Connection, fresh", calls, lambda: send_by_streams(False))


def main(argv: list[str]) -> None:
    """Serve (``--serve PORT``) or compare the clients (``PORT [CALLS]``)."""
    if argv[0] == "--serve":
        asyncio.run(_serve(int(argv[1])))
    else:
        asyncio.run(_compare(int(argv[0]), int(argv[1]) if argv[1:] else 2000))


if __name__ == "__main__":
    main(sys.argv[1:])
