"""Messages of one link that have arrived and are not decoded yet."""

from collections.abc import Iterator
from itertools import chain
from typing import Any

from .compression import Decompressor
from .messages import make_unpacker

__all__ = ["ReceivedMessages"]


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
        self._unpacker = make_unpacker()
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
        self._unpacker = make_unpacker()
        self._pieces = iter(())

    def __iter__(self) -> "ReceivedMessages":
        return self

    def __next__(self) -> Any:
        while True:
            try:
                return next(self._unpacker)
            except StopIteration:
                # Raises StopIteration when no piece is left.
                piece = next(self._pieces)
            self._unpacker.feed(piece)
