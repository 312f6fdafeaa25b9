"""Standard output for logs: bounded in memory, and never waited for."""

import os
from collections import deque
from contextlib import suppress

__all__ = ["LogOutput"]

# Lines that wait while the reader of the output is slow; later ones are dropped.
MAX_WAITING_BYTES = 1024 * 1024


class LogOutput:
    """Writes lines to a file descriptor that it makes non-blocking.

    What the reader does not take at once waits for the next line. `dropped`
    counts the lines that found no room.
    """

    def __init__(self, fd: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        self._fd = fd
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0
        with suppress(OSError):
            os.set_blocking(fd, False)

    def write_line(self, text: str) -> None:
        """Write a line, keep it for later, or drop it."""
        self.flush()
        data = text.encode("utf-8", "backslashreplace") + b"\n"
        if self._waiting_bytes + len(data) > self._max_waiting_bytes:
            self.dropped += 1
            return
        if self.dropped and not self._waiting:
            note = b'{"event": "log_lines_dropped", "count": %d}\n' % self.dropped
            self.dropped = 0
            self._keep(note)
        self._keep(data)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            data = self._waiting.popleft()
            self._waiting_bytes -= len(data)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no place left to report it.
                self.dropped += 1
                return
            if written < len(data):
                rest = data[written:]
                self._waiting.appendleft(rest)
                self._waiting_bytes += len(rest)
                return

    def _keep(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)
