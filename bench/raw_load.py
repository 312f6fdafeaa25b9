"""Caller with little CPU per call: kept connections on raw sockets."""

import selectors
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from lentilsill.wire.links import split_address

__all__ = ["Samples", "make_request", "run_load"]

CALL_BOUND_S = 5.0


@dataclass
class Samples:
    """Latencies in microseconds and statuses of one load."""

    hist: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10_000_000, 3))
    statuses: dict[int, int] = field(default_factory=dict)
    elapsed_s: float = 0.0

    def percentile_ms(self, percent: float) -> float:
        """Latency in ms that `percent` of the calls don't exceed."""
        return self.hist.get_value_at_percentile(percent) / 1000

    @property
    def calls(self) -> int:
        """Number of measured calls."""
        return self.hist.total_count


def make_request(method: str, path: str, host: str, key: str = "") -> bytes:
    """Make the bytes of a request as an ordinary client sends it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nUser-Agent: bench\r\n"
    head += "Accept: */*\r\nX-Request-Id: 0123456789abcdef\r\n"
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    body = b"y" * 100 if method == "POST" else b""
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class _Caller:
    """One connection with at most one call on it."""

    def __init__(self, address: str) -> None:
        self.sock = socket.create_connection(split_address(address), CALL_BOUND_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.started_ns = 0

    def send(self, request: bytes) -> None:
        self.buffer = b""
        self.started_ns = time.perf_counter_ns()
        self.sock.sendall(request)

    def receive(self) -> int:
        """Take what has arrived; give the status of a whole answer, or 0."""
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("connection closed by the peer")
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return 0
        tail = head.lower().partition(b"content-length:")[2]
        if len(body) < int(tail.split(b"\r\n", 1)[0]):
            return 0
        return int(head[9:12])


def run_load(
    address: str, requests: Iterator[bytes], concurrency: int, time_s: float
) -> Samples:
    """Make calls over `concurrency` connections, closed loop, for `time_s`."""
    samples = Samples()
    selector = selectors.DefaultSelector()
    callers = [_Caller(address) for _ in range(concurrency)]
    start = time.perf_counter()
    end = start + time_s
    try:
        for caller in callers:
            selector.register(caller.sock, selectors.EVENT_READ, caller)
            caller.send(next(requests))
        left = concurrency
        while left:
            ready = selector.select(CALL_BOUND_S)
            if not ready:
                raise TimeoutError(f"no answer from {address}")
            for entry, _ in ready:
                status = entry.data.receive()
                if not status:
                    continue
                taken_ns = time.perf_counter_ns() - entry.data.started_ns
                samples.hist.record_value(taken_ns // 1000)
                samples.statuses[status] = samples.statuses.get(status, 0) + 1
                request = next(requests, None) if time.perf_counter() < end else None
                if request is None:
                    left -= 1
                else:
                    entry.data.send(request)
    finally:
        samples.elapsed_s = time.perf_counter() - start
        for caller in callers:
            caller.sock.close()
        selector.close()
    return samples
