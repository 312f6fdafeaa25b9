"""Non-blocking output for logs, with a bounded buffer."""

import os
from collections import deque
from contextlib import suppress

__all__ = ["LogOutput"]

# Buffer for lines while the reader of the output is slow; further lines are dropped.
MAX_BUFFERED_BYTES = 1024 * 1024


class LogOutput:
    """Writes lines to a file descriptor that it makes non-blocking.

    Bytes that can't be written at once are buffered until the next write.
    `dropped_lines` counts the lines lost since the last ``log_lines_dropped`` event.
    """

    def __init__(self, fd: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0
        with suppress(OSError):
            os.set_blocking(fd, False)

    def write_line(self, text: str) -> None:
        """Write a line, buffer it, or drop it when the buffer is full."""
        self.flush()
        data = text.encode("utf-8", "backslashreplace") + b"\n"
        if self._buffered_bytes + len(data) > self._max_buffered_bytes:
            self.dropped_lines += 1
            return
        if self.dropped_lines and not self._buffer:
            event = (
                b'{"event": "log_lines_dropped", "count": %d}\n' % self.dropped_lines
            )
            self.dropped_lines = 0
            self._add_to_buffer(event)
        self._add_to_buffer(data)
        self.flush()

    def flush(self) -> None:
        """Write the buffered bytes that the descriptor accepts without blocking."""
        while self._buffer:
            data = self._buffer.popleft()
            self._buffered_bytes -= len(data)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, and no other output can report it.
                self.dropped_lines += 1
                return
            if written < len(data):
                remainder = data[written:]
                self._buffer.appendleft(remainder)
                self._buffered_bytes += len(remainder)
                return

    def _add_to_buffer(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)
