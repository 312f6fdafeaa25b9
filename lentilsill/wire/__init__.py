"""Message streams between nodes."""

from .links import Link, PeerLinks
from .messages import (
    CALLS,
    CONTROL,
    PROTOCOL_VERSION,
    Hello,
    Message,
    WireError,
    decode,
    encode,
)

__all__ = [
    "CALLS",
    "CONTROL",
    "PROTOCOL_VERSION",
    "Hello",
    "Link",
    "Message",
    "PeerLinks",
    "WireError",
    "decode",
    "encode",
]
