"""Compression of the byte stream of a link.

Bytes between domains are scarce and dear, and most of a call repeats the one before.
Documents are text of some 100 KB that repeats itself, and a host with a thin network
link passes them on to several nodes. One deflate stream runs over all messages of a
link and direction, so that a message is compressed against earlier ones. Calls within a
domain go as they are: there processor time counts for more than bytes.
"""

import zlib
from collections.abc import Iterator

from .messages import CONTROL, MAX_MESSAGE_BYTES, Hello, WireError

__all__ = ["COMPRESSION", "Compressor", "Decompressor", "uses_compression"]

# Name of the method in `Hello`.
COMPRESSION = "deflate"
# A node keeps links to many others: a window of 8 KB and this level take 64 KB per
# link end (`bench.links`), where the defaults of zlib take about 300 KB.
WINDOW_BITS = -13
MEMORY_LEVEL = 6
# Header bytes repeat exactly, which the fastest level finds.
LEVEL = 1
# A peer can't make a node hold more than this per step of decompression.
MAX_STEP_BYTES = MAX_MESSAGE_BYTES


def uses_compression(own: Hello, peer: Hello) -> bool:
    """Whether both sides of a link compress what they send after `Hello`.

    Examples
    --------
    >>> a = Hello(1, "n1", "i1", "lahore", "calls", "127.0.0.1:1", ("deflate",))
    >>> b = Hello(1, "n2", "i2", "multan", "calls", "127.0.0.1:2", ("deflate",))
    >>> c = Hello(1, "n3", "i3", "multan", "calls", "127.0.0.1:3")
    >>> uses_compression(a, b), uses_compression(b, b), uses_compression(a, c)
    (True, False, False)
    """
    both = COMPRESSION in own.compression and COMPRESSION in peer.compression
    return both and (own.domain != peer.domain or own.purpose == CONTROL)


class Compressor:
    """Compresses messages of one link, each so that it can be read at once."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, data: bytes) -> bytes:
        """Give the bytes that stand for `data` in the stream.

        Examples
        --------
        >>> there, back = Compressor(), Decompressor()
        >>> sizes = [len(there.compress(b"GET /a HTTP/1.1" * 9)) for _ in range(2)]
        >>> sizes[1] < sizes[0]
        True
        """
        return self._deflate.compress(data) + self._deflate.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Reads what a `Compressor` has written."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes) -> Iterator[bytes]:
        """Give what `data` stands for, in pieces of bounded size.

        Raises
        ------
        WireError
            The bytes are no such stream.

        Examples
        --------
        >>> there, back = Compressor(), Decompressor()
        >>> b"".join(back.decompress(there.compress(b"abc")))
        b'abc'
        """
        while data:
            try:
                piece = self._inflate.decompress(data, MAX_STEP_BYTES)
            except zlib.error as exc:
                raise WireError(f"not a compressed stream: {exc}") from exc
            if piece:
                yield piece
            if self._inflate.eof:
                raise WireError("compressed stream has ended")
            data = self._inflate.unconsumed_tail
