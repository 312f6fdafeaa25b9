"""Byte stream of a link, which also reads what arrived before a failed write."""

import os

from .streams import ProtocolStream

__all__ = ["LinkStream"]

READ_BYTES = 64 * 1024


class LinkStream(ProtocolStream):
    """Stream that loses no received bytes when the peer has closed the connection.

    A write to such a connection fails, and asyncio then closes the transport although
    bytes that arrived before may be unread.
    """

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._read_remaining()
        super().connection_lost(exc)

    def _read_remaining(self) -> None:
        """Pass on what the kernel has received; the socket is still open."""
        assert self._transport is not None
        fileno = self._transport.get_extra_info("socket").fileno()
        while not self.closed():
            try:
                data = os.read(fileno, READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self.data_received(data)
