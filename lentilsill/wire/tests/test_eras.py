"""Nodes of two releases side by side, of which one knows no eras of the store."""

import asyncio
import unittest

from lentilsill.versioning import make_position
from lentilsill.wire import CONTROL, PeerLinks
from lentilsill.wire.links import Identity
from lentilsill.wire.messages import (
    Applied,
    Delta,
    DeltaRequest,
    Digest,
    Hello,
    Ping,
    Pong,
    Probe,
    decode,
    encode,
    make_unpacker,
)

ERA = 1
HELLO = Hello(1, "old", "i-old", "lahore", CONTROL, "127.0.0.1:1")


class OldPeerTests(unittest.IsolatedAsyncioTestCase):
    """A peer of the release before, which sends and reads plain revisions."""

    async def asyncSetUp(self):
        self.links = PeerLinks(Identity("new", "i-new", "lahore", "127.0.0.1:1"))
        self.addCleanup(self.links.close)
        self.links.listen("127.0.0.1:0")
        self.links.era_of_old_peers = lambda: self.era
        self.era: int | None = ERA
        self.received: list = []
        for message_type in (Delta, DeltaRequest, Digest, Probe):
            self.links.on(message_type, self.receive)
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.links.port
        )
        self.addCleanup(self.writer.close)
        self.unpacker = make_unpacker()
        self.writer.write(encode(HELLO))
        self.assertIsInstance(await self.read(), Hello)

    def receive(self, link, message):
        self.received.append(message)

    async def read(self):
        async with asyncio.timeout(2):
            while True:
                for obj in self.unpacker:
                    return decode(obj)
                self.unpacker.feed(await self.reader.read(65536))

    async def exchange(self, message):
        """Send a message, and wait until it has been handled."""
        self.writer.write(encode(message) + encode(Ping(1)))
        self.assertIsInstance(await self.read(), Pong)

    async def test_old_peer_takes_a_position_for_a_revision(self):
        """Guards against a node that reads nothing more from its store (G9)."""
        await self.exchange(Digest(7, 1, 0))
        [link] = self.links.accepted
        position = make_position(ERA, 60)
        for message, plain in (
            (Digest(position, 1, 0), Digest(60, 1, 0)),
            (DeltaRequest(position, position), DeltaRequest(60, 60)),
            (
                Delta(position, position, False, (("main", position, False, "{}"),)),
                Delta(60, 60, False, (("main", 60, False, "{}"),)),
            ),
            (
                Delta(0, 0, False, (), patches=(("main", position, position, 1, ()),)),
                Delta(0, 0, False, (), patches=(("main", 60, 60, 1, ()),)),
            ),
            (
                Applied(position, (("main", position),)),
                Applied(60, (("main", 60),)),
            ),
            (Probe(1, (position, 1, 2)), Probe(1, (60, 1, 2))),
        ):
            link.send(message)
            self.assertEqual(await self.read(), plain)

    async def test_revision_of_an_old_peer_counts_as_of_no_era(self):
        """Guards against versions of old peers that all are older (G9)."""
        await self.exchange(DeltaRequest(57, 50))
        await self.exchange(Probe(1, (0, 0, 0)))
        request, probe = self.received
        self.assertEqual(request.complete_as_of, make_position(ERA, 57))
        self.assertEqual(request.held, make_position(ERA, 50))
        self.assertEqual(probe.digest, (0, 0, 0))

    async def test_revision_from_before_a_loss_counts_as_of_the_new_era(self):
        """Guards against an older version from a peer that knows no eras (G1)."""
        self.era = None
        rows = (("main", 57, False, "{}"),)
        for message in (Delta(0, 57, False, rows), Digest(57, 1, 0)):
            await self.exchange(message)
        self.assertEqual(self.received, [])
