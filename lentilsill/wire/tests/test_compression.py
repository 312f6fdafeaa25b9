"""Links between domains are compressed, and lose nothing by it."""

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
        self.far = self.make_links("far", "multan")
        self.address = self.far.identity.peer_address
        self.far.listen(self.address)
        self.got: list = []
        self.far.on(Answer, lambda link, msg: self.got.append(msg))
        self.far.on(Ping, lambda link, msg: link.send(Pong(msg.token)))

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
        """Send fifty answers and a ping; give the bytes that were sent."""
        link, links, pongs = await self.connect(domain, purpose)
        for call_id in range(50):
            self.assertTrue(link.send(make_answer(call_id)))
        link.send(Ping(7))
        self.assertEqual(await asyncio.wait_for(pongs.get(), 5), 7)
        self.assertEqual(self.got, [make_answer(call_id) for call_id in range(50)])
        self.got.clear()
        return links.traffic[purpose].sent_bytes

    async def test_other_domain_costs_fewer_bytes(self):
        """Guards against repeated headers that are sent in full between domains."""
        near, far = await self.exchange("multan"), await self.exchange("lahore")
        self.assertLess(far, near / 4)

    async def test_documents_cost_fewer_bytes_in_a_domain_too(self):
        """Guards against documents that fill the thin network link of a host."""
        calls = await self.exchange("multan")
        self.assertLess(await self.exchange("multan", CONTROL), calls / 4)

    async def test_peer_without_compression_is_understood(self):
        """Guards against a link that an older node can't read."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(Hello(1, "old", "o", "lahore", CALLS, "127.0.0.1:1")))
        writer.write(encode(Ping(3)))
        data = b""
        while encode(Pong(3)) not in data:
            data += await asyncio.wait_for(reader.read(1000), 5)
        writer.close()

    async def test_message_that_finds_no_room_breaks_nothing(self):
        """Guards against a stream that refers to bytes which were never sent."""
        link, _, pongs = await self.connect("lahore")
        link.stream.has_room = lambda size: False
        self.assertFalse(link.send(make_answer(1)))
        del link.stream.has_room
        self.assertTrue(link.send(make_answer(2)))
        link.send(Ping(1))
        await asyncio.wait_for(pongs.get(), 5)
        self.assertEqual(self.got, [make_answer(2)])

    async def test_large_message_passes(self):
        """Guards against a bound on one step that cuts a message."""
        link, _, pongs = await self.connect("lahore")
        link.send(make_answer(1, 7 * 1024 * 1024))
        link.send(Ping(1))
        await asyncio.wait_for(pongs.get(), 5)
        self.assertEqual(self.got[0].body_length, 7 * 1024 * 1024)


class DecompressorTests(unittest.TestCase):
    def test_garbage_is_refused(self):
        """Guards against an error of the library that ends the node's loop."""
        with self.assertRaises(WireError):
            list(Decompressor().decompress(b"\xff" * 50))

    def test_stream_in_pieces(self):
        """Guards against a message that is lost when its bytes come one by one."""
        there, back = Compressor(), Decompressor()
        data = there.compress(b"abc" * 1000) + there.compress(b"def" * 1000)
        found = b"".join(
            piece
            for i in range(len(data))
            for piece in back.decompress(data[i : i + 1])
        )
        self.assertEqual(found, b"abc" * 1000 + b"def" * 1000)
