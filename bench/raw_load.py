"""Load generator with little CPU per call: raw sockets and persistent connections."""

import selectors
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from lentilsill.wire.links import split_address

__all__ = ["Samples", "make_request", "run_load"]

CALL_TIMEOUT_S = 5.0


@dataclass
class Samples:
    """Latencies in microseconds, and the number of answers by status, of one load."""

    latencies_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 10_000_000, 3)
    )
    status_counts: dict[int, int] = field(default_factory=dict)
    elapsed_s: float = 0.0

    def percentile_ms(self, percent: float) -> float:
        """Return the latency in ms that `percent` of the calls don't exceed."""
        return self.latencies_us.get_value_at_percentile(percent) / 1000

    @property
    def calls(self) -> int:
        """Number of measured calls."""
        return self.latencies_us.total_count


def make_request(method: str, path: str, host: str, key: str = "") -> bytes:
    """Return the bytes of a request, with the headers of a typical client."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nUser-Agent: bench\r\n"
    head += "Accept: */*\r\nX-Request-Id: 0123456789abcdef\r\n"
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    body = b"y" * 100 if method == "POST" else b""
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class _CallerConnection:
    """A connection with at most one call in progress."""

    def __init__(self, address: str) -> None:
        self.sock = socket.create_connection(split_address(address), CALL_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.started_ns = 0

    def send(self, request: bytes) -> None:
        self.buffer = b""
        self.started_ns = time.perf_counter_ns()
        self.sock.sendall(request)

    def receive(self) -> int:
        """Read available data; return the status of a complete answer, or 0."""
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("connection closed by the peer")
        self.buffer += data
        head, header_end, body = self.buffer.partition(b"\r\n\r\n")
        if not header_end:
            return 0
        tail = head.lower().partition(b"content-length:")[2]
        if len(body) < int(tail.split(b"\r\n", 1)[0]):
            return 0
        return int(head[9:12])


def run_load(
    address: str, requests: Iterator[bytes], concurrency: int, duration_s: float
) -> Samples:
    """Make calls over `concurrency` connections in a closed loop for `duration_s`."""
    samples = Samples()
    selector = selectors.DefaultSelector()
    callers = [_CallerConnection(address) for _ in range(concurrency)]
    start_s = time.perf_counter()
    end_s = start_s + duration_s
    try:
        for caller in callers:
            selector.register(caller.sock, selectors.EVENT_READ, caller)
            caller.send(next(requests))
        active_count = concurrency
        while active_count:
            ready = selector.select(CALL_TIMEOUT_S)
            if not ready:
                raise TimeoutError(f"no answer from {address}")
            for selector_key, _ in ready:
                status = selector_key.data.receive()
                if not status:
                    continue
                latency_ns = time.perf_counter_ns() - selector_key.data.started_ns
                samples.latencies_us.record_value(latency_ns // 1000)
                samples.status_counts[status] = samples.status_counts.get(status, 0) + 1
                request = next(requests, None) if time.perf_counter() < end_s else None
                if request is None:
                    active_count -= 1
                else:
                    selector_key.data.send(request)
    finally:
        samples.elapsed_s = time.perf_counter() - start_s
        for caller in callers:
            caller.sock.close()
        selector.close()
    return samples
