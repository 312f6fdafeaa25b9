"""Reads and checks the first message of a peer on a new link."""

import msgpack

from .messages import (
    CALLS,
    CONTROL,
    PROTOCOL_VERSION,
    Hello,
    WireError,
    decode,
    make_unpacker,
)
from .streams import ProtocolStream

__all__ = ["READ_CHUNK_BYTES", "read_hello"]

READ_CHUNK_BYTES = 65536


async def read_hello(stream: ProtocolStream) -> tuple[Hello, bytes]:
    """Read `Hello` and check it; also return the bytes that were read after it.

    Raises
    ------
    WireError
        The first message is not a valid `Hello` of this protocol version.
    """
    unpacker = make_unpacker()
    data = b""
    while True:
        chunk = await stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        data += chunk
        try:
            unpacker.feed(chunk)
            obj = unpacker.unpack()
            break
        except msgpack.OutOfData:
            continue
        except (msgpack.UnpackException, ValueError) as exc:
            raise WireError(f"not a message stream: {exc}") from exc
    hello = decode(obj)
    if not isinstance(hello, Hello):
        raise WireError(f"expected Hello, got {type(hello).__name__}")
    if hello.protocol_version != PROTOCOL_VERSION:
        raise WireError(
            f"protocol version {hello.protocol_version}, expected {PROTOCOL_VERSION}"
        )
    if hello.purpose not in (CONTROL, CALLS):
        raise WireError(f"unknown link purpose {hello.purpose!r}")
    return hello, data[unpacker.tell() :]
