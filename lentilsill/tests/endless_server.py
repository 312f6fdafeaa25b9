"""HTTP server for tests that sends bytes until the client disconnects."""

import asyncio

__all__ = ["EndlessServer"]


class EndlessServer:
    """Answers each request with `answer`, followed by `filler` without end.

    From the second connection on, `later_answer` replaces `answer` if it is set.
    `sent_bytes` counts the bytes of `filler` for each connection; `pause_s` is the
    pause after each `filler`.
    """

    def __init__(self) -> None:
        self.answer, self.later_answer, self.filler = b"", b"", b""
        self.pause_s = 0.0
        self.sent_bytes: list[int] = []
        self.closed = asyncio.Event()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.sent_bytes.append(0)
            writer.write(
                self.later_answer
                if len(self.sent_bytes) > 1 and self.later_answer
                else self.answer
            )
            while self.filler:
                writer.write(self.filler)
                self.sent_bytes[-1] += len(self.filler)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()
