"""Messages of one link that have arrived and are not decoded yet."""

from collections.abc import Iterator
from itertools import chain
from typing import Any

import msgpack

from .compression import Decompressor
from .messages import make_unpacker

__all__ = ["ReceivedMessages"]

# An unpacker takes 28 KB and a node has hundreds of links, so a link holds one only
# while it has bytes of a message. A few are kept for the next links.
MAX_SPARE_UNPACKERS = 8
# The buffer of an unpacker grows with its input and does not shrink.
MAX_SPARE_FED_BYTES = 256 * 1024

_spare_unpackers: list[tuple[msgpack.Unpacker, int]] = []


class ReceivedMessages:
    """Iterator over the unpacked messages of a link's byte stream.

    The iteration pauses when the last complete message was returned, and continues when
    further bytes are fed. Bytes are decompressed and unpacked only as far as they are
    iterated over.

    Examples
    --------
    >>> import msgpack
    >>> received = ReceivedMessages(None)
    >>> received.feed(msgpack.packb([1]) + msgpack.packb([2])[:1])
    >>> list(received)
    [[1]]
    >>> received.feed(msgpack.packb([2])[1:])
    >>> next(received)
    [2]
    """

    def __init__(self, decompressor: Decompressor | None) -> None:
        # Unpacker with unread bytes, and the number of bytes that were fed to it.
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0
        self._decompressor = decompressor
        self._pieces: Iterator[bytes] = iter(())

    def feed(self, chunk: bytes) -> None:
        """Add bytes that have arrived."""
        new_pieces = (
            self._decompressor.decompress(chunk) if self._decompressor else (chunk,)
        )
        self._pieces = chain(self._pieces, new_pieces)

    def clear(self) -> None:
        """Drop all messages that were not returned."""
        self._unpacker = None
        self._pieces = iter(())

    def __iter__(self) -> "ReceivedMessages":
        return self

    def __next__(self) -> Any:
        while True:
            if self._unpacker is not None:
                try:
                    message = next(self._unpacker)
                except StopIteration:
                    # The unpacker has the beginning of a message, or no bytes.
                    pass
                else:
                    if self._unpacker.tell() == self._fed_bytes:
                        self._release_unpacker()
                    return message
            # Raises StopIteration when no piece is left.
            piece = next(self._pieces)
            if self._unpacker is None:
                self._take_unpacker()
            assert self._unpacker is not None
            self._unpacker.feed(piece)
            self._fed_bytes += len(piece)

    def _take_unpacker(self) -> None:
        if _spare_unpackers:
            self._unpacker, self._fed_bytes = _spare_unpackers.pop()
        else:
            self._unpacker, self._fed_bytes = make_unpacker(), 0

    def _release_unpacker(self) -> None:
        """Give up an unpacker whose bytes are all read."""
        if (
            len(_spare_unpackers) < MAX_SPARE_UNPACKERS
            and self._fed_bytes < MAX_SPARE_FED_BYTES
        ):
            _spare_unpackers.append((self._unpacker, self._fed_bytes))
        self._unpacker = None
