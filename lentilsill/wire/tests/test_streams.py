"""`ProtocolStream` limits its buffers and ends pending operations on close."""

import asyncio
import contextlib
import socket
import struct
import unittest

from tornado.iostream import (
    StreamBufferFullError,
    StreamClosedError,
    UnsatisfiableReadError,
)

from lentilsill.wire.buffered_reads import MAX_READS_PER_TURN
from lentilsill.wire.streams import MAX_UNREAD_BYTES, ProtocolStream

TIMEOUT_S = 5


class StreamTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peer, sock = socket.socketpair()
        self.peer.setblocking(False)
        self.addCleanup(self.peer.close)
        self.loop = asyncio.get_running_loop()
        _, self.stream = await self.loop.create_connection(
            lambda: ProtocolStream(max_write_buffer_size=1 << 20), sock=sock
        )
        self.addCleanup(self.stream.close)

    async def test_bytes_before_a_close_can_be_read(self):
        """Guards against losing an answer whose connection closes right after it."""
        closed = asyncio.Event()
        self.stream.set_close_callback(closed.set)
        self.peer.send(b"head\r\n\r\nbody")
        self.peer.close()
        await asyncio.wait_for(closed.wait(), TIMEOUT_S)
        self.assertFalse(self.stream.is_open_without_input())
        head = await self.stream.read_until_regex(b"\r?\n\r?\n", 100)
        body = await self.stream.read_bytes(10, partial=True)
        self.assertEqual((head, body), (b"head\r\n\r\n", b"body"))
        with self.assertRaises(StreamClosedError):
            await self.stream.read_bytes(1)

    async def test_tiny_reads_of_one_connection_delay_all_others(self):
        """A peer's tiny pieces are read in one turn of the event loop."""
        self.peer.send(b"x" * 20_000)
        await self.stream.read_bytes(1)
        turn = reads = 0
        reads_by_turn: dict[int, int] = {}

        async def count_turns():
            nonlocal turn
            while True:
                await asyncio.sleep(0)
                turn += 1

        counting = asyncio.ensure_future(count_turns())
        while reads < 10_000:
            await self.stream.read_bytes(1)
            reads += 1
            reads_by_turn[turn] = reads_by_turn.get(turn, 0) + 1
        counting.cancel()
        self.assertLessEqual(max(reads_by_turn.values()), 2 * MAX_READS_PER_TURN)

    async def test_deferred_read_loses_bytes_before_a_close(self):
        """The connection closes while a read waits for the next turn."""
        closed = asyncio.Event()
        self.stream.set_close_callback(closed.set)
        self.peer.send(b"x" * (2 * MAX_READS_PER_TURN))
        await self.stream.read_bytes(1)
        for _ in range(MAX_READS_PER_TURN):
            await self.stream.read_bytes(1)
        read = self.stream.read_bytes(1)
        self.assertFalse(read.done())
        self.peer.close()
        self.stream.connection_lost(None)
        self.assertEqual(await read, b"x")

    async def test_bytes_that_arrived_are_read_after_an_abort(self):
        """A request was given up, and the rest of its answer is still parsed."""
        self.peer.send(b"x" * 1000)
        await self.stream.read_bytes(1)
        self.stream.close()
        with self.assertRaises(StreamClosedError):
            await self.stream.read_bytes(1)

    async def test_reads_in_small_pieces_stop_the_limit_of_unread_bytes(self):
        """Bytes arrive faster than tiny reads take them."""
        await self.send_until_blocked()
        await self.stream.read_bytes(1)
        for _ in range(20 * MAX_READS_PER_TURN):
            await self.stream.read_bytes(1)
            with contextlib.suppress(BlockingIOError):
                self.peer.send(b"x" * 65536)
        self.assertLess(len(self.stream._reads.buffer), 3 * MAX_UNREAD_BYTES)

    async def test_head_over_the_limit_fails_its_read_and_is_not_buffered(self):
        """Guards against buffering headers without a limit."""
        read = self.stream.read_until_regex(b"\r\n\r\n", 10)
        self.peer.send(b"x" * 11)
        with self.assertRaises(UnsatisfiableReadError):
            await asyncio.wait_for(read, TIMEOUT_S)
        self.assertLess(await self.send_until_blocked(), 16 * MAX_UNREAD_BYTES)

    async def test_unread_bytes_stop_the_stream_from_reading(self):
        """Guards against a caller that fills the memory of the node.

        The caller sends faster than the node reads.
        """
        sent = await self.send_until_blocked()
        self.assertLess(sent, 16 * MAX_UNREAD_BYTES)
        unread = sent
        while unread > 0:
            part = self.stream.read_bytes(unread, partial=True)
            unread -= len(await asyncio.wait_for(part, TIMEOUT_S))
        self.assertEqual(unread, 0)

    async def test_connection_that_is_being_closed_counts_as_open(self):
        """Guards against a request on a connection whose reset was read this turn."""
        transport = self.stream._transport
        assert transport is not None
        transport.abort()
        self.assertFalse(self.stream.is_open_without_input())

    async def send_until_blocked(self):
        sent = 0
        data = b"x" * 65536
        while sent < 64 * MAX_UNREAD_BYTES:
            try:
                sent += await asyncio.wait_for(self.send_some(data), 0.2)
            except TimeoutError:
                break
        return sent

    async def send_some(self, data):
        while True:
            try:
                return self.peer.send(data)
            except BlockingIOError:
                await asyncio.sleep(0.005)

    async def test_writes_to_a_slow_peer_are_buffered_up_to_the_limit(self):
        """Guards against unlimited buffering of writes, and against early completion.

        A write is done only when the kernel has accepted its bytes.
        """
        last = self.stream.write(b"x" * (1 << 20))
        self.assertFalse(last.done())
        with self.assertRaises(StreamBufferFullError):
            self.stream.write(b"x" * (1 << 20))
        while not last.done():
            try:
                self.peer.recv(1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0)
        self.assertIsNone(last.result())

    async def test_close_ends_reads_and_writes(self):
        """Guards against a call that waits forever on a connection closed locally."""
        write = self.stream.write(b"x" * (1 << 20))
        read = self.stream.read_bytes(1)
        self.stream.close()
        for fut in (read, write):
            with self.assertRaises(StreamClosedError):
                await asyncio.wait_for(fut, TIMEOUT_S)
        with self.assertRaises(StreamClosedError):
            self.stream.write(b"x")

    async def test_reset_connection_is_released_by_its_close(self):
        """Guards against a descriptor that is kept for each caller that has left.

        The caller ended its stream, so that the event loop does not read any more, and
        then reset the connection (review/6). Shutting down such a socket fails.
        """
        with socket.create_server(("127.0.0.1", 0)) as server:
            caller = socket.create_connection(server.getsockname())
            sock, _ = server.accept()
        sock.setblocking(False)
        transport, stream = await self.loop.create_connection(ProtocolStream, sock=sock)
        stream.set_eof_callback(lambda: True)
        closed = asyncio.Event()
        stream.set_close_callback(closed.set)
        caller.shutdown(socket.SHUT_WR)
        while not stream.has_received_eof:
            await asyncio.sleep(0.005)
        # Linger of 0 s: the close resets the connection.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()
        await asyncio.sleep(0.05)
        stream.close_gracefully()
        await asyncio.wait_for(closed.wait(), TIMEOUT_S)
        self.assertTrue(transport.is_closing())
