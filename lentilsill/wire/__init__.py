"""Message streams between nodes.

A link is one stream to another node, either for control messages or for calls.
"""

from .link import LinkCloseReason
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
    "LinkCloseReason",
    "Message",
    "PeerLinks",
    "WireError",
    "decode",
    "encode",
]
