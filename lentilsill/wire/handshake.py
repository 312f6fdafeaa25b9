"""First message of a peer on a new link."""

import msgpack

from .messages import CALLS, CONTROL, PROTOCOL_VERSION, Hello, WireError, decode
from .streams import ProtocolStream

__all__ = ["READ_CHUNK_BYTES", "read_hello"]

READ_CHUNK_BYTES = 65536


async def read_hello(
    stream: ProtocolStream, unpacker: msgpack.Unpacker
) -> tuple[Hello, list]:
    """Read up to and including `Hello`; also give what came after it."""
    objs: list = []
    while not objs:
        unpacker.feed(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        try:
            objs = list(unpacker)
        except (msgpack.UnpackException, ValueError) as exc:
            raise WireError(f"not a message stream: {exc}") from exc
    hello = decode(objs[0])
    if not isinstance(hello, Hello):
        raise WireError(f"expected Hello, got {type(hello).__name__}")
    if hello.protocol_version != PROTOCOL_VERSION:
        raise WireError(
            f"protocol version {hello.protocol_version}, expected {PROTOCOL_VERSION}"
        )
    if hello.purpose not in (CONTROL, CALLS):
        raise WireError(f"unknown link purpose {hello.purpose!r}")
    return hello, objs[1:]
