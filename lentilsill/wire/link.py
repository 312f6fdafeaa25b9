"""One link to another node, and traffic counters of links."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from tornado.iostream import StreamBufferFullError, StreamClosedError

from lentilsill.versioning import revision_of

from .compression import Compressor
from .eras import map_positions
from .messages import Hello, Message, encode
from .streams import ProtocolStream

__all__ = ["Identity", "Link", "LinkCloseReason", "LinkError", "Traffic"]

# Upper bound on the bytes that compression adds to a message of 8 MB.
MAX_EXPANSION_BYTES = 8 * 1024


class LinkCloseReason(StrEnum):
    """Why a link was closed; `PEER` when the other end closed or reset it first."""

    PEER = "peer"
    IDLE = "idle"
    SILENT = "silent"
    PROTOCOL = "protocol"
    FAILED = "failed"
    STOP = "stop"


class LinkError(Exception):
    """A link could not be opened, or a peer violated the protocol."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process, as sent to peers in `Hello`."""

    node: str
    instance: str
    domain: str
    peer_address: str


@dataclass(slots=True)
class Traffic:
    """Counters over all links of one purpose since the process started.

    `dials` counts attempts to open a link, and `idle_closed` counts links that were
    closed because they were idle.
    """

    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    received_messages: int = 0
    dials: int = 0
    idle_closed: int = 0


@dataclass(eq=False, slots=True)
class Link:
    """One stream to a peer after both sides have sent `Hello`.

    `last_received_s` and `last_sent_s` are in seconds of the event loop's clock.
    `adapters` convert messages for a peer that lacks features of this node.
    `close_reason` and `idle_at_close_s` hold how the link was closed, once it is.
    """

    stream: ProtocolStream
    hello: Hello
    address: str
    is_dialed: bool
    last_received_s: float
    traffic: Traffic
    on_close: list[Callable[["Link"], None]] = field(default_factory=list)
    adapters: list[Callable[[Message], Message]] = field(default_factory=list)
    compressor: Compressor | None = None
    last_sent_s: float = 0.0
    is_closed: bool = False
    close_reason: LinkCloseReason | None = None
    idle_at_close_s: float = 0.0

    @property
    def last_used_s(self) -> float:
        """Time of the event loop's clock when bytes were last sent or received."""
        return max(self.last_received_s, self.last_sent_s)

    @property
    def is_open(self) -> bool:
        """Whether the stream still accepts writes."""
        return not self.stream.closed()

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the stream, wait to be read.

        After a stall, timers can run before the bytes that have arrived are read, so
        a decision that a peer is silent or late must check this first.
        """
        return self.is_open and not self.stream.is_open_without_input()

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the stream is closed or the buffer full."""
        for adapt in self.adapters:
            message = adapt(message)
        if not self.hello.has_eras:
            message = map_positions(message, revision_of)
        data = encode(message)
        if self.compressor is not None:
            # Compressed bytes must be sent, since later messages refer to them.
            if not self.stream.has_room(len(data) + MAX_EXPANSION_BYTES):
                return False
            data = self.compressor.compress(data)
        try:
            self.stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            return False
        self.traffic.sent_bytes += len(data)
        self.traffic.sent_messages += 1
        self.last_sent_s = asyncio.get_running_loop().time()
        return True

    def close(self, reason: LinkCloseReason = LinkCloseReason.SILENT) -> None:
        """Close the stream."""
        self.set_close_reason(reason)
        self.stream.close()

    def set_close_reason(self, reason: LinkCloseReason) -> None:
        """Keep the first reason, and the idle time at that moment."""
        if self.close_reason is None:
            self.close_reason = LinkCloseReason.PEER if not self.is_open else reason
            # No event loop runs when a node is closed after its loop has ended.
            self.idle_at_close_s = time.monotonic() - self.last_used_s
