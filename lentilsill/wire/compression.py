"""Compression of the byte stream of a link.

Bandwidth between domains is scarce and expensive, and most bytes of a call repeat those
of the previous call. Documents are repetitive texts of about 100 KB, which a host with
a slow network link forwards to several nodes. Each direction of a link has one deflate
stream for all its messages, so that a message can refer to bytes of earlier ones. Calls
within a domain are not compressed: processor time matters more than bandwidth there.
"""

import zlib
from collections.abc import Iterator

from .messages import CALLS, CONTROL, MAX_MESSAGE_BYTES, Hello, WireError

__all__ = ["COMPRESSION", "Compressor", "Decompressor", "uses_compression"]

# Name of the compression method in `Hello`.
COMPRESSION = "deflate"
# A node keeps links to many others: a window of 8 KB and this memory level take 83 KB
# per link end (`bench.links`), while the defaults of zlib take about 300 KB. Level 5
# saves 11 KB, but answers of 7 KB took 1.4% more bytes, which are dear between domains.
WINDOW_BITS = -13
MEMORY_LEVEL = 6
# Links for control carry documents whose lines repeat within some hundred bytes, so
# that half of the window and of the memory is enough for them. With level 5, the bundle
# of 2,440 routes took 1.4% fewer bytes, and a link end 8 KB more.
CONTROL_WINDOW_BITS = -12
CONTROL_MEMORY_LEVEL = 4
# Headers repeat byte for byte, which the fastest level detects.
LEVEL = 1
# Limit on the memory that a piece of decompressed data takes, whatever a peer sends.
MAX_PIECE_BYTES = MAX_MESSAGE_BYTES


def uses_compression(own: Hello, peer: Hello) -> bool:
    """Return whether both sides of a link compress the messages after `Hello`.

    Examples
    --------
    >>> a = Hello(1, "n1", "i1", "lahore", "calls", "127.0.0.1:1", ("deflate",))
    >>> b = Hello(1, "n2", "i2", "multan", "calls", "127.0.0.1:2", ("deflate",))
    >>> c = Hello(1, "n3", "i3", "multan", "calls", "127.0.0.1:3")
    >>> uses_compression(a, b), uses_compression(b, b), uses_compression(a, c)
    (True, False, False)
    """
    is_supported = COMPRESSION in own.compression and COMPRESSION in peer.compression
    return is_supported and (own.domain != peer.domain or own.purpose == CONTROL)


class Compressor:
    """Compresses the messages of one direction of a link.

    The receiver can decompress each message as soon as its bytes have arrived.
    `purpose` is that of the link.
    """

    def __init__(self, purpose: str = CALLS) -> None:
        is_control = purpose == CONTROL
        # The peer reads any window up to `WINDOW_BITS`.
        self._deflate = zlib.compressobj(
            LEVEL,
            zlib.DEFLATED,
            CONTROL_WINDOW_BITS if is_control else WINDOW_BITS,
            CONTROL_MEMORY_LEVEL if is_control else MEMORY_LEVEL,
        )

    def compress(self, data: bytes) -> bytes:
        """Return the bytes to send for `data`.

        Examples
        --------
        >>> compressor, decompressor = Compressor(), Decompressor()
        >>> sizes = [len(compressor.compress(b"GET /a HTTP/1.1" * 9)) for _ in range(2)]
        >>> sizes[1] < sizes[0]
        True
        """
        return self._deflate.compress(data) + self._deflate.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Decompresses the stream that a `Compressor` has produced."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes) -> Iterator[bytes]:
        """Decompress the next bytes of the stream into pieces of bounded size.

        Raises
        ------
        WireError
            The bytes are not a valid deflate stream, or the stream has ended.

        Examples
        --------
        >>> compressor, decompressor = Compressor(), Decompressor()
        >>> b"".join(decompressor.decompress(compressor.compress(b"abc")))
        b'abc'
        """
        while data:
            try:
                piece = self._inflate.decompress(data, MAX_PIECE_BYTES)
            except zlib.error as exc:
                raise WireError(f"not a compressed stream: {exc}") from exc
            if piece:
                yield piece
            if self._inflate.eof:
                raise WireError("compressed stream has ended")
            data = self._inflate.unconsumed_tail
