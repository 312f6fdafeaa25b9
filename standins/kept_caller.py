"""Stand-in for callers that keep connections open and send requests ahead.

Each group of connections to a node sends at the same moment, rests within the idle
limit and sends again, until the node closes the connections.
"""

import asyncio
import json
import random
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

__all__ = ["KeptCaller", "SentRequest"]

GROUP_SIZE = 6
BATCH_SIZES = (1, 1, 2, 3, 5)
MAX_SERVICE_MS = 300
# Callers reuse a connection only within four fifths of the idle limit.
MAX_REST_SHARE = 0.8
REST_SHARES = (0.05, 0.3, 0.78, 0.78)
POST_SHARE = 0.3
SAYS_CLOSE_SHARE = 0.05
ENDS_SENDING_SHARE = 0.05
MAX_SEND_PAUSES_S = (0.0, 0.0, 0.03)
ANSWER_TIMEOUT_S = 20.0
# Time in which a connection is expected to end after an answer that says close.
CLOSE_TIMEOUT_S = 3.0
CONNECT_PAUSE_S = 0.1


@dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it; times are in seconds since the epoch.

    Parameters
    ----------
    place : str
        Number of the connection, and of the request on it.
    is_behind_close : bool
        Whether it was sent behind a request or an answer that says close.
    status : int
        Status of the answer, or 0 without one.
    outcome : str
        ``answered``, ``wrong_answer``, ``cut`` or what the node reported.
    """

    call_id: str
    node: str
    place: str
    path: str
    idempotent: bool
    says_close: bool
    sent_s: float = 0.0
    end_s: float = 0.0
    is_behind_close: bool = False
    status: int = 0
    outcome: str = "cut"
    reason: str = ""

    def encode(self, service_ms: int) -> bytes:
        """Return the bytes of the request."""
        return (
            f"{'GET' if self.idempotent else 'POST'} {self.path} HTTP/1.1\r\n"
            "Host: kept\r\nContent-Length: 0\r\n"
            f"X-Standin-Id: {self.call_id}\r\nX-Standin-Ms: {service_ms}\r\n"
            f"X-Standin-Idempotent: {int(self.idempotent)}\r\n"
            f"Connection: {'close' if self.says_close else 'keep-alive'}\r\n\r\n"
        ).encode()


@dataclass(eq=False)
class _KeptConnection:
    """One connection, used until it is no longer usable."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    request_count: int = 0
    last_used_s: float = field(default_factory=time.monotonic)
    is_over: bool = False

    def is_usable(self, idle_limit_s: float) -> bool:
        """Return whether it is open and was used recently enough."""
        has_ended = self.is_over or self.reader.at_eof() or self.reader.exception()
        idle_s = time.monotonic() - self.last_used_s
        return not has_ended and idle_s <= MAX_REST_SHARE * idle_limit_s

    async def exchange(self, batch: list[SentRequest], rng: random.Random) -> None:
        """Send requests ahead, and read their answers or the end of the connection."""
        max_pause_s = rng.choice(MAX_SEND_PAUSES_S)
        for req in batch:
            req.sent_s = time.time()
            self.writer.write(req.encode(rng.randrange(MAX_SERVICE_MS)))
            await asyncio.sleep(rng.uniform(0, max_pause_s))
        if has_ended := rng.random() < ENDS_SENDING_SHARE:
            self.is_over = True
            # The node may have closed the connection meanwhile.
            with suppress(OSError):
                self.writer.write_eof()
        try:
            await self._read_answers(batch)
        except (OSError, EOFError, TimeoutError) as exc:
            self.is_over = True
            for req in (req for req in batch if not req.status):
                req.end_s = time.time()
                req.reason = f"{type(exc).__name__}, ended sending: {has_ended}"
        self.last_used_s = time.monotonic()
        if self.is_over:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self.reader.read()
            self.writer.close()

    async def _read_answers(self, batch: list[SentRequest]) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT_S) as timeout:
            for index, req in enumerate(batch):
                if await self._read_answer(req) and not req.is_behind_close:
                    self.is_over = True
                    timeout.reschedule(
                        asyncio.get_running_loop().time() + CLOSE_TIMEOUT_S
                    )
                    for later in batch[index + 1 :]:
                        later.is_behind_close = True

    async def _read_answer(self, req: SentRequest) -> bool:
        """Read the answer to a request; return whether either of them says close."""
        status = 100
        while status < 200:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *lines = head.rstrip().split("\r\n")
            status = int(status_line.split()[1])
        pairs = (line.partition(":") for line in lines)
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        req.end_s = time.time()
        req.status = status
        req.outcome = fields.get("lentilsill-outcome", "")
        req.reason = body.decode("utf-8", "replace")[:200]
        if not req.outcome:
            is_own = req.status == 200 and json.loads(body).get("id") == req.call_id
            req.outcome = "answered" if is_own else "wrong_answer"
        return req.says_close or fields.get("connection", "").lower() == "close"


@dataclass
class KeptCaller:
    """Groups of kept connections to nodes.

    Parameters
    ----------
    services : sequence of str
        First parts of the paths of the requests.
    idle_limit_s : float
        Time after which the nodes close an idle connection.
    """

    services: Sequence[str]
    rng: random.Random
    idle_limit_s: float
    requests: list[SentRequest] = field(default_factory=list)
    is_stopped: bool = False

    def __post_init__(self) -> None:
        self._connection_numbers = count(1)

    async def keep(self, node: str) -> None:
        """Keep a group of connections to a node (``ip:port``) until stopped."""
        host, _, port = node.rpartition(":")
        conns: list[_KeptConnection] = []
        while not self.is_stopped:
            for conn in conns:
                if not conn.is_usable(self.idle_limit_s):
                    conn.is_over = True
                    conn.writer.close()
            conns = [conn for conn in conns if not conn.is_over]
            try:
                while len(conns) < GROUP_SIZE:
                    streams = await asyncio.open_connection(host, int(port))
                    conns.append(
                        _KeptConnection(next(self._connection_numbers), *streams)
                    )
            except OSError:
                await asyncio.sleep(CONNECT_PAUSE_S)
            await asyncio.gather(
                *(c.exchange(self._make_batch(c, node), self.rng) for c in conns)
            )
            rest_s = self.rng.choice(REST_SHARES) * self.idle_limit_s
            first_used_s = min((conn.last_used_s for conn in conns), default=0.0)
            await asyncio.sleep(max(0.0, first_used_s + rest_s - time.monotonic()))
        for conn in conns:
            conn.writer.close()

    def _make_batch(self, conn: _KeptConnection, node: str) -> list[SentRequest]:
        rng, batch = self.rng, []
        for _ in range(rng.choice(BATCH_SIZES)):
            conn.request_count += 1
            is_get = rng.random() >= POST_SHARE
            req = SentRequest(
                f"kept-{conn.number}-{conn.request_count}",
                node,
                f"request {conn.request_count} of connection {conn.number} at {node}",
                f"/{rng.choice(self.services)}/{'lookup/1' if is_get else 'book'}",
                is_get,
                rng.random() < SAYS_CLOSE_SHARE,
            )
            batch.append(req)
        self.requests += batch
        return batch
