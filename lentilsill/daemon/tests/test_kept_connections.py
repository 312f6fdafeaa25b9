"""Requests on kept connections that are passed on get their answers."""

import asyncio
import socket
import time
import unittest
from contextlib import suppress

from lentilsill.daemon.controllers.tests.call_builders import stop_process
from lentilsill.wire.streams import LINGER_S

from .connection_builders import (
    TIMEOUT_S,
    connect_with_small_buffers,
    get,
    read_available,
    read_slowly,
    read_until_closed,
    running_server,
)

CONNECTION_COUNT = 10
TOO_LARGE = b"POST /s/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
IDLE_S = 1.0
LARGE_BODY_BYTES = 2 * 1024 * 1024


def connect(port):
    return asyncio.open_connection("127.0.0.1", port)


class IdleCloseTests(unittest.IsolatedAsyncioTestCase):
    async def test_idle_timer_after_a_stall_closes_before_the_answer(self):
        """The loop stalls while requests arrive within the idle limit."""
        async with running_server(0.02, IDLE_S) as (calls, _, port):
            socks = [
                socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
                for _ in range(CONNECTION_COUNT)
            ]
            for sock in socks:
                self.addCleanup(sock.close)
                sock.sendall(get(1))
            for sock in socks:
                await asyncio.to_thread(sock.recv, 9999)
            calls.passed_on.clear()
            time.sleep(0.5 * IDLE_S)
            for sock in socks:
                sock.sendall(get(2))
            time.sleep(0.8 * IDLE_S)
            answers = [await asyncio.to_thread(sock.recv, 9999) for sock in socks]
        self.assertEqual(len(calls.passed_on), CONNECTION_COUNT)
        self.assertEqual([b"whole /2" in data for data in answers], [True] * 10)

    async def test_idle_time_starts_before_a_slow_answer_has_ended(self):
        """An answer takes longer than the idle limit; the next request follows it."""
        async with running_server(1.5 * IDLE_S, IDLE_S) as (_, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            for number in range(2):
                writer.write(get(number))
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.readuntil(b"whole /%d" % number)
                await asyncio.sleep(0.7 * IDLE_S)

    async def test_idle_timer_after_a_stall_drops_answers_held_behind_the_first(self):
        """The loop stalls until the first of three requests is answered."""
        async with running_server(0.01, IDLE_S) as (calls, _, port):
            calls.stall_s = 1.5 * IDLE_S
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get("stalled") + get(1) + get(2))
            data = await read_until_closed(reader)
        self.assertEqual(len(calls.passed_on), 3)
        self.assertEqual(data.count(b"whole"), 3)

    async def test_request_whose_body_never_comes_keeps_its_connection(self):
        async with running_server(0.01, 0.3) as (calls, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1, b"Content-Length: 10\r\n") + b"body")
            async with asyncio.timeout(TIMEOUT_S):
                await reader.read()
        self.assertEqual(calls.passed_on, [])


class PipelinedCloseTests(unittest.IsolatedAsyncioTestCase):
    async def test_planned_stop_announces_the_close_before_the_last_answer(self):
        """A caller that obeys the first `Connection: close` loses later answers."""
        async with running_server(0.2) as (calls, server, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(b"".join(get(number) for number in range(4)))
            await asyncio.sleep(0.1)
            stop = asyncio.ensure_future(server.close())
            data = await read_until_closed(reader)
            await stop
        answers = data.lower().split(b"http/1.1 ")[1:]
        self.assertEqual(len(answers), len(calls.passed_on))
        says_close = [b"connection: close" in answer for answer in answers]
        self.assertEqual(says_close, [False, False, False, True])

    async def test_request_during_a_stop_is_neither_read_nor_told_of_the_close(self):
        """The stop begins while the first request is unread; the second follows it."""
        async with running_server(0.3) as (calls, server, port):
            sock = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
            self.addCleanup(sock.close)
            while not server._connections:
                await asyncio.sleep(0.005)
            sock.sendall(get(1))
            stop = asyncio.ensure_future(server.close())
            await asyncio.sleep(0.1)
            sock.sendall(get(2))
            data = b""
            while chunk := await asyncio.to_thread(sock.recv, 9999):
                data += chunk
            await stop
        answers = data.lower().split(b"http/1.1 ")[1:]
        self.assertTrue(
            b"connection: close" in answers[0] or calls.passed_on == ["/1", "/2"],
            (data, calls.passed_on),
        )

    async def test_oversized_head_closes_before_earlier_answers(self):
        async with running_server(0.3) as (calls, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1))
            await asyncio.sleep(0.05)
            writer.write(get("a" * 70_000))
            data = await read_until_closed(reader)
        self.assertEqual(calls.passed_on, ["/1"])
        answers = data.split(b"HTTP/1.1 ")[1:]
        self.assertEqual([answer[:3] for answer in answers], [b"200", b"431"])
        self.assertIn(b"whole /1", answers[0])

    async def test_oversized_head_after_the_last_request_raises_in_a_callback(self):
        errors: list = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        async with running_server(2.0) as (_, server, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1))
            await asyncio.sleep(0.1)
            stop = asyncio.ensure_future(server.close())
            await asyncio.sleep(1.3)
            writer.write(get("a" * 70_000))
            data = await read_until_closed(reader)
            await stop
        self.assertIn(b"whole /1", data)
        self.assertEqual(errors, [])

    async def test_request_behind_connection_close_is_passed_on(self):
        async with running_server(0.05) as (calls, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1) + get(2, b"Connection: close\r\n") + get(3))
            data = await read_until_closed(reader)
        self.assertEqual(calls.passed_on, ["/1", "/2"])
        self.assertEqual(data.count(b"whole"), 2)


class RefusedBodyTests(unittest.IsolatedAsyncioTestCase):
    async def test_connection_stays_open_after_its_body_is_refused(self):
        """The caller waits for the answer before it sends the body."""
        async with running_server(0.01) as (_, _, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            self.addCleanup(writer.close)
            writer.write(TOO_LARGE)
            async with asyncio.timeout(1.0):
                data = await reader.read()
        self.assertIn(b" 413 ", data)

    async def test_request_behind_a_refused_body_gets_no_answer(self):
        """The answer doesn't say that the connection closes; it must stay usable."""
        async with running_server(0.01) as (_, _, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            self.addCleanup(writer.close)
            writer.write(TOO_LARGE)
            data = await reader.read(9999)
            writer.write(get(2))
            data += await read_until_closed(reader)
            is_closed = reader.at_eof()
        self.assertIn(b" 413 ", data)
        self.assertTrue(is_closed or b"whole /2" in data, data)


class CallerEndTests(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_ends_its_sending_side_gets_no_answer(self):
        async with running_server(0.3) as (calls, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1) + get(2))
            await asyncio.sleep(0.02)
            writer.write_eof()
            data = await read_until_closed(reader)
        self.assertEqual(calls.passed_on, ["/1", "/2"])
        self.assertEqual(data.count(b"whole"), 2)

    async def test_call_of_a_caller_that_has_closed_goes_on(self):
        """A full close looks like the end of the sending side until bytes are sent."""
        async with running_server(TIMEOUT_S) as (calls, _, port):
            _, writer = await connect(port)
            writer.write(get(1))
            await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(0.5):
                while not calls.cancelled:
                    await asyncio.sleep(0.01)


class FailedCallTests(unittest.IsolatedAsyncioTestCase):
    async def test_cancelled_call_is_not_answered_and_holds_back_others(self):
        async with running_server(0.05) as (calls, _, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            last = get("failed", b"Connection: close\r\n")
            writer.write(get(0) + get("cancelled") + get(2) + last)
            data = await read_until_closed(reader, 1.0)
        self.assertEqual(len(calls.passed_on), 4)
        statuses = [answer[:3] for answer in data.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"200", b"504", b"200", b"504"])


class UnsentBytesTests(unittest.IsolatedAsyncioTestCase):
    async def test_close_drops_the_end_of_a_held_answer_to_a_slow_reader(self):
        async with running_server(0.01) as (calls, server, port):
            calls.body_bytes = LARGE_BODY_BYTES
            sock = await connect_with_small_buffers(server, port)
            self.addCleanup(sock.close)
            sock.sendall(get(1) + get(2, b"Connection: close\r\n"))
            data = await read_slowly(sock)
        self.assertTrue(data.endswith(b"end"), f"{len(data)} bytes")

    async def test_planned_stop_drops_the_end_of_an_answer_to_a_slow_reader(self):
        async with running_server(0.01) as (calls, server, port):
            calls.body_bytes = LARGE_BODY_BYTES
            sock = await connect_with_small_buffers(server, port)
            self.addCleanup(sock.close)
            sock.sendall(get(1))
            await asyncio.sleep(0.1)
            reading = asyncio.ensure_future(read_slowly(sock))
            await server.close()
            # The process ends here: bytes that the kernel doesn't have are lost.
            for conn in list(server._connections):
                conn.stream.close()
            data = await reading
        self.assertTrue(data.endswith(b"end"), f"{len(data)} bytes")

    async def test_planned_stop_cuts_a_request_that_arrives_behind_another(self):
        async with running_server(0.3) as (calls, server, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            writer.write(get(1))
            await asyncio.sleep(0.1)
            stop = asyncio.ensure_future(server.close())
            await asyncio.sleep(0.1)
            calls.delay_s = 1.2
            writer.write(get(2))
            data = await read_until_closed(reader)
            await stop
        self.assertEqual(calls.passed_on, ["/1", "/2"])
        self.assertEqual(data.count(b"whole"), 2)

    async def test_caller_that_sends_without_a_pause_delays_a_planned_stop(self):
        async with running_server(0.1) as (calls, server, port):
            reader, writer = await connect(port)
            self.addCleanup(writer.close)
            reading = asyncio.ensure_future(read_until_closed(reader))
            writer.write(get(0) + get(0))
            stop = asyncio.ensure_future(server.close())
            async with asyncio.timeout(0.6 * TIMEOUT_S):
                while not stop.done():
                    writer.write(get(1))
                    await asyncio.sleep(0.02)
            data = await reading
        self.assertEqual(data.count(b"whole"), len(calls.passed_on))


class StoppedProcessTests(unittest.IsolatedAsyncioTestCase):
    """The process is stopped and continued; timers run before unread bytes."""

    async def test_planned_stop_drops_a_request_whose_rest_waits_unread(self):
        async with running_server(0.01) as (_, server, port):
            sock = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
            self.addCleanup(sock.close)
            request = get(1)
            sock.sendall(request[:10])
            await asyncio.sleep(0.05)
            stop = asyncio.ensure_future(server.close())
            await asyncio.sleep(0.05)
            stop_process(0.3, lambda: sock.sendall(request[10:]))
            data = await asyncio.to_thread(sock.recv, 9999)
            await stop
        self.assertIn(b"whole /1", data)

    async def test_close_drops_the_end_of_an_answer_that_was_being_read(self):
        async with running_server(0.01) as (calls, server, port):
            calls.body_bytes = LARGE_BODY_BYTES
            sock = await connect_with_small_buffers(server, port)
            self.addCleanup(sock.close)
            sock.sendall(get(1) + get(2, b"Connection: close\r\n"))
            (conn,) = server._connections
            received = []
            while not conn.stream.closed():
                received.append(read_available(sock))
                await asyncio.sleep(0.005)
            await asyncio.sleep(1.3 * LINGER_S)
            stop_process(LINGER_S, lambda: received.append(read_available(sock)))
            await asyncio.sleep(0.05)
            received.append(await read_slowly(sock))
        self.assertTrue(b"".join(received).endswith(b"end"))

    async def test_planned_stop_drops_an_answer_that_was_being_read(self):
        async with running_server(0.01) as (calls, server, port):
            calls.body_bytes = LARGE_BODY_BYTES
            sock = await connect_with_small_buffers(server, port)
            self.addCleanup(sock.close)
            sock.sendall(get(1))
            await asyncio.sleep(0.1)
            stop = asyncio.ensure_future(server.close())
            await asyncio.sleep(0.1)
            received = []
            stop_process(1.0, lambda: received.append(read_available(sock)))
            await asyncio.sleep(0.02)
            self.assertFalse(stop.done())
            received.append(await read_slowly(sock))
            await stop
        self.assertTrue(b"".join(received).endswith(b"end"))

    async def read_after_stall(self, unread):
        """Return an answer that is read after a stall in which `unread` arrived."""
        async with running_server(0.01) as (calls, server, port):
            calls.body_bytes = 128 * 1024
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
            sock.connect(("127.0.0.1", port))
            sock.sendall(get(1, b"Connection: close\r\n"))
            while not server._connections:
                await asyncio.sleep(0.005)
            (conn,) = server._connections
            while not conn.stream.closed():
                await asyncio.sleep(0.005)
            self.assertEqual(conn.unsent_byte_count, 0)
            stop_process(LINGER_S + 0.2, lambda: sock.sendall(unread))
            await asyncio.sleep(0.05)
            data = b""
            with suppress(ConnectionError):
                while chunk := await asyncio.to_thread(sock.recv, 9999):
                    data += chunk
            return data

    async def test_answer_without_unread_bytes_is_whole_after_a_stall(self):
        data = await self.read_after_stall(b"")
        self.assertTrue(data.endswith(b"end"), f"{len(data)} bytes")

    async def test_end_of_an_answer_is_reset_after_a_stall(self):
        """Unread bytes of the caller are in the kernel when lingering ends."""
        data = await self.read_after_stall(get(2))
        self.assertTrue(data.endswith(b"end"), f"{len(data)} bytes")
