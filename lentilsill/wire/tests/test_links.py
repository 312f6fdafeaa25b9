"""Links deliver messages in order and are closed when a peer is faulty."""

import asyncio
import socket
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import structlog
from tornado.tcpclient import TCPClient

from lentilsill.wire import CALLS, CONTROL, Hello, Link, PeerLinks, encode
from lentilsill.wire.dispatch import MAX_MESSAGES_PER_TURN
from lentilsill.wire.links import Identity, LinkError
from lentilsill.wire.messages import MAX_MESSAGE_BYTES, Ping, Pong

HOST = "127.0.0.1"


def free_address() -> str:
    """Return an address on which nothing listens now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = self.make_links("server")
        self.client = self.make_links("client")
        self.address = self.server.identity.peer_address
        self.server.listen(self.address)
        self.received: asyncio.Queue = asyncio.Queue()
        self.server.on(Ping, lambda link, msg: link.send(Pong(msg.token)))
        self.client.on(Pong, lambda link, msg: self.received.put_nowait(msg.token))
        self.log_capture = structlog.testing.capture_logs()
        self.log_entries = self.log_capture.__enter__()

    async def asyncTearDown(self):
        self.log_capture.__exit__(None, None, None)
        self.client.close()
        self.server.close()

    def make_links(self, node: str) -> PeerLinks:
        return PeerLinks(Identity(node, node * 2, "lahore", free_address()))

    def listen_again(self) -> str:
        """Let the server listen on one more free port, and return the address."""
        self.server.listen(f"{HOST}:0")
        return f"{HOST}:{self.server.port}"

    async def raw_exchange(self, data: bytes) -> bytes:
        """Send bytes to the server; return everything it sends until it closes."""
        host, port = self.address.split(":")
        stream = await TCPClient().connect(host, int(port))
        stream.write(data)
        return await asyncio.wait_for(stream.read_until_close(), 5)

    async def test_messages_keep_their_order(self):
        """Guards against messages that overtake each other on one link."""
        link = await self.client.connect(self.address, CALLS)
        for token in range(100):
            link.send(Ping(token))
        tokens = [
            await asyncio.wait_for(self.received.get(), 5) for token in range(100)
        ]
        self.assertEqual(tokens, list(range(100)))

    async def test_many_small_messages_of_one_link_delay_all_others(self):
        """All messages of a received buffer are dispatched in one turn."""
        link = await self.client.connect(self.address, CALLS)
        turn = 0
        turns = []
        self.server.on(Pong, lambda link, msg: turns.append(turn))
        link.stream.write(encode(Pong(1)) * 5_000)
        async with asyncio.timeout(5):
            while len(turns) < 5_000:
                await asyncio.sleep(0)
                turn += 1
        most = max(Counter(turns).values())
        self.assertLessEqual(most, 2 * MAX_MESSAGES_PER_TURN)

    async def test_messages_that_wait_for_a_turn_are_lost_with_their_link(self):
        """The sender closes its link right after an answer."""
        tokens = []
        closed = asyncio.Event()
        self.server.on(Pong, lambda link, msg: tokens.append(msg.token))
        self.server.close_handlers.append(lambda link: closed.set())
        link = await self.client.connect(self.address, CALLS)
        for token in range(1_000):
            link.send(Pong(token))
        self.client.close()
        await asyncio.wait_for(closed.wait(), 5)
        self.assertEqual(tokens, list(range(1_000)))

    async def test_messages_that_wait_for_a_turn_do_not_count_as_unread(self):
        """An answer among them would be given up at its deadline."""
        link = await self.client.connect(self.address, CALLS)
        has_unread_input = []

        def check(link, msg):
            has_unread_input.append(link.has_unread_input())

        self.server.on(Pong, check)
        link.stream.write(encode(Pong(1)) * (MAX_MESSAGES_PER_TURN + 2))
        async with asyncio.timeout(5):
            while len(has_unread_input) < MAX_MESSAGES_PER_TURN + 2:
                await asyncio.sleep(0)
        self.assertTrue(has_unread_input[-2])

    async def test_simultaneous_connects_share_one_link(self):
        """Guards against many connections at once from one node to another."""
        links = await asyncio.gather(
            *(self.client.connect(self.address, CALLS) for _ in range(20))
        )
        self.assertEqual(len({id(link) for link in links}), 1)

    async def test_handshake_that_ends_after_close_opens_no_link(self):
        """Guards against a stopped node that continues to answer probes.

        Its peers then never declared it dead (seen in SpreadTests on a busy host).
        """
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        self.server.close()
        writer.write(encode(Hello(1, "n", "i", "lahore", CALLS, "127.0.0.1:1")))
        writer.write(encode(Ping(3)))
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.server.accepted, set())

    async def test_connect_after_close_raises_link_error(self):
        """Guards against links of a stopped node that are never closed."""
        self.client.close()
        with self.assertRaises(LinkError):
            await self.client.connect(self.address, CALLS)

    async def test_other_protocol_version_is_refused(self):
        """Guards against misreading messages of another protocol version."""
        hello = Hello(99, "n", "i", "lahore", CALLS, "127.0.0.1:1")
        self.assertEqual(await self.raw_exchange(encode(hello)), b"")
        self.assertIn("protocol version 99", self.log_entries[0]["error"])

    async def test_bytes_of_another_protocol_close_the_link(self):
        """Guards against an uncaught error when a peer speaks, for example, HTTP."""
        self.assertEqual(await self.raw_exchange(b"GET / HTTP/1.1\r\n\r\n"), b"")
        self.assertEqual(self.log_entries[0]["event"], "peer_handshake_failed")

    async def test_message_over_the_limit_closes_the_link(self):
        """Guards against a peer that makes the node buffer without bound."""
        hello = Hello(1, "n", "i", "lahore", CALLS, "127.0.0.1:1")
        huge = b"\xc6" + (MAX_MESSAGE_BYTES * 2).to_bytes(4, "big")
        data = encode(hello) + huge + bytes(MAX_MESSAGE_BYTES + 1)
        reply = await self.raw_exchange(data)
        self.assertIn(b"server", reply)
        self.assertEqual(self.log_entries[-1]["event"], "peer_protocol_error")
        self.assertEqual(self.server.accepted, set())

    async def test_unreachable_peer_raises_link_error(self):
        """Guards against an unhandled socket error when a peer is gone."""
        with self.assertRaises(LinkError):
            await self.client.connect(free_address(), CALLS)

    async def test_closed_link_is_dialed_again(self):
        """Guards against `connect` returning a closed link forever."""
        first: Link = await self.client.connect(self.address, CALLS)
        first.close()
        second = await self.client.connect(self.address, CALLS)
        self.assertTrue(second.is_open)

    async def test_idle_control_links_are_bounded(self):
        """Guards against keeping a connection to each of 511 members."""
        client = PeerLinks(self.client.identity, max_control_links=3, min_idle_s=0.0)
        client.on(Pong, lambda link, msg: self.received.put_nowait(msg.token))
        self.addCleanup(client.close)
        addresses = [self.address, *(self.listen_again() for _ in range(7))]
        await client.connect(self.address, CALLS)
        for token, address in enumerate(addresses):
            client.send(address, CONTROL, Ping(token))
            self.assertEqual(await asyncio.wait_for(self.received.get(), 5), token)
            found = [a for a in addresses if client.find(a, CONTROL)]
            self.assertLessEqual(len(found), 3)
        self.assertEqual(found, addresses[-3:])
        self.assertEqual(client.traffic[CONTROL].dials, len(addresses))
        self.assertIsNotNone(client.find(self.address, CALLS))

    async def test_idle_call_links_to_other_domains_are_bounded(self):
        """Guards against keeping a compressed link to each upstream of a large fleet.

        A link on which an answer is due stays open.
        """
        identity = replace(self.client.identity, domain="multan")
        client = PeerLinks(identity, min_idle_s=0.0, max_compressed_call_links=3)
        self.addCleanup(client.close)
        addresses = [self.address, *(self.listen_again() for _ in range(7))]
        used = await client.connect(self.address, CALLS)
        client.is_awaiting_answer = lambda link: link is used
        for address in addresses[1:]:
            await client.connect(address, CALLS)
            await asyncio.sleep(0.01)
            found = [a for a in addresses if client.find(a, CALLS)]
            self.assertLessEqual(len(found), 3)
        self.assertEqual(found, [self.address, *addresses[-2:]])

    async def test_link_with_queued_bytes_is_kept(self):
        """Guards against truncating a message to make room for another link."""
        client = PeerLinks(self.client.identity, max_control_links=1, min_idle_s=0.0)
        self.addCleanup(client.close)
        link = await client.connect(self.address, CONTROL)
        other = free_address()
        self.server.listen(other)
        with mock.patch.object(link.stream, "writing", return_value=True):
            await client.connect(other, CONTROL)
        self.assertTrue(link.is_open)

    async def test_unsent_message_is_reported(self):
        """Guards against a push that waits 2 s for a dead or silent peer."""
        silent = socket.create_server((HOST, 0))
        self.addCleanup(silent.close)
        for address in (free_address(), f"{HOST}:{silent.getsockname()[1]}"):
            unsent = asyncio.Event()
            self.client.send_with_callback(address, CONTROL, Ping(1), unsent.set)
            await asyncio.wait_for(unsent.wait(), 1.0)
