"""Compression of links saves bytes and loses no message."""

import asyncio
import unittest

from lentilsill.wire import CALLS, CONTROL, PeerLinks, encode
from lentilsill.wire.compression import Compressor, Decompressor
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import Answer, Hello, Ping, Pong, WireError
from lentilsill.wire.tests.test_links import HOST, free_address

HEADERS = (("Content-Type", "application/json"), ("X-Digest", "0123456789abcdef"))


def make_answer(call_id: int, size: int = 300) -> Answer:
    return Answer(call_id, 200, HEADERS, b"x" * size, size, 0)


class CompressedLinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = self.make_links("far", "multan")
        self.address = self.server.identity.peer_address
        self.server.listen(self.address)
        self.answers: list = []
        self.server.on(Answer, lambda link, msg: self.answers.append(msg))
        self.server.on(Ping, lambda link, msg: link.send(Pong(msg.token)))

    def make_links(self, node: str, domain: str) -> PeerLinks:
        links = PeerLinks(Identity(node, node * 2, domain, free_address()), HOST)
        self.addCleanup(links.close)
        return links

    async def connect(self, domain: str, purpose: str = CALLS):
        links = self.make_links("near", domain)
        pongs: asyncio.Queue = asyncio.Queue()
        links.on(Pong, lambda link, msg: pongs.put_nowait(msg.token))
        return await links.connect(self.address, purpose), links, pongs

    async def exchange(self, domain: str, purpose: str = CALLS) -> int:
        """Send fifty answers and a ping; return the number of bytes sent."""
        link, links, pongs = await self.connect(domain, purpose)
        for call_id in range(50):
            self.assertTrue(link.send(make_answer(call_id)))
        link.send(Ping(7))
        self.assertEqual(await asyncio.wait_for(pongs.get(), 5), 7)
        self.assertEqual(self.answers, [make_answer(call_id) for call_id in range(50)])
        self.answers.clear()
        return links.traffic[purpose].sent_bytes

    async def test_calls_to_another_domain_take_fewer_bytes(self):
        """Guards against repeated headers being sent in full between domains."""
        local, remote = await self.exchange("multan"), await self.exchange("lahore")
        self.assertLess(remote, local / 4)

    async def test_control_links_within_a_domain_take_fewer_bytes(self):
        """Guards against documents that saturate the slow network link of a host."""
        calls = await self.exchange("multan")
        self.assertLess(await self.exchange("multan", CONTROL), calls / 4)

    async def test_peer_without_compression_receives_plain_messages(self):
        """Guards against compressed bytes for an older node that can't read them."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(Hello(1, "old", "o", "lahore", CALLS, "127.0.0.1:1")))
        writer.write(encode(Ping(3)))
        data = b""
        while encode(Pong(3)) not in data:
            data += await asyncio.wait_for(reader.read(1000), 5)
        writer.close()

    async def test_link_works_after_a_message_that_found_the_buffer_full(self):
        """Guards against a compressed stream that refers to bytes that were never sent.

        This happens when a message is compressed before the buffer turns out full.
        """
        link, _, pongs = await self.connect("lahore")
        link.stream.has_room = lambda size: False
        self.assertFalse(link.send(make_answer(1)))
        del link.stream.has_room
        self.assertTrue(link.send(make_answer(2)))
        link.send(Ping(1))
        await asyncio.wait_for(pongs.get(), 5)
        self.assertEqual(self.answers, [make_answer(2)])

    async def test_large_message_arrives_complete(self):
        """Guards against truncating a message at the size limit of a piece."""
        link, _, pongs = await self.connect("lahore")
        link.send(make_answer(1, 7 * 1024 * 1024))
        link.send(Ping(1))
        await asyncio.wait_for(pongs.get(), 5)
        self.assertEqual(self.answers[0].body_length, 7 * 1024 * 1024)


class DecompressorTests(unittest.TestCase):
    def test_invalid_stream_raises_wire_error(self):
        """Guards against an uncaught zlib error that ends the node's event loop."""
        with self.assertRaises(WireError):
            list(Decompressor().decompress(b"\xff" * 50))

    def test_stream_can_arrive_byte_by_byte(self):
        """Guards against losing a message whose bytes arrive one by one."""
        compressor, decompressor = Compressor(), Decompressor()
        data = compressor.compress(b"abc" * 1000) + compressor.compress(b"def" * 1000)
        found = b"".join(
            piece
            for i in range(len(data))
            for piece in decompressor.decompress(data[i : i + 1])
        )
        self.assertEqual(found, b"abc" * 1000 + b"def" * 1000)
