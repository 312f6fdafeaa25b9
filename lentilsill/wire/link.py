"""One link to another node, and traffic counters of links."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.iostream import StreamBufferFullError, StreamClosedError

from .compression import Compressor
from .messages import Hello, Message, encode
from .streams import ProtocolStream

__all__ = ["Identity", "Link", "LinkError", "Traffic"]

# Upper bound on the bytes that compression adds to a message of 8 MB.
MAX_EXPANSION_BYTES = 8 * 1024


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
    """

    stream: ProtocolStream
    hello: Hello
    address: str
    is_dialed: bool
    last_received_s: float
    traffic: Traffic
    on_close: list[Callable[["Link"], None]] = field(default_factory=list)
    compressor: Compressor | None = None
    last_sent_s: float = 0.0
    is_closed: bool = False

    @property
    def last_used_s(self) -> float:
        """Time of the event loop's clock when bytes were last sent or received."""
        return max(self.last_received_s, self.last_sent_s)

    @property
    def is_open(self) -> bool:
        """Whether the stream still accepts writes."""
        return not self.stream.closed()

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the stream is closed or the buffer full."""
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

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()
