"""Tests of the rules that the relay applies to connections."""

import asyncio
import unittest
from contextlib import suppress

from standins.relay import Listener, Relay, RelaySettings, Rule

EXCHANGE_TIMEOUT_S = 5.0
SILENCE_S = 0.05


class _Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a rule that affects connections between other domains."""

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        echo = await loop.create_server(_Echo, "127.0.0.1", 0)
        port = echo.sockets[0].getsockname()[1]
        listener = Listener(
            listen="127.0.0.1:0", target=f"127.0.0.1:{port}", domain="multan"
        )
        sources = {"127.0.0.1": "lahore", "127.0.0.2": "faisalabad"}
        self.relay = Relay(RelaySettings(listeners=[listener], sources=sources))
        (server,) = await self.relay.start()
        self.port = server.sockets[0].getsockname()[1]

    async def connect(
        self, ip: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        conn = await asyncio.open_connection("127.0.0.1", self.port, local_addr=(ip, 0))
        self.addCleanup(conn[1].close)
        return conn

    async def exchange(
        self, conn: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> bytes:
        conn[1].write(b"x")
        with suppress(ConnectionError):
            return await asyncio.wait_for(conn[0].read(1), EXCHANGE_TIMEOUT_S)
        return b""

    async def test_swallow_affects_only_existing_connections(self) -> None:
        """Guards against a swallow rule that closes connections or affects new ones."""
        old, other = await self.connect("127.0.0.1"), await self.connect("127.0.0.2")
        await self.exchange(old)
        await self.exchange(other)
        rule = Rule.model_validate(
            {"from": "lahore", "to": "multan", "action": "swallow"}
        )
        self.relay.set_rule(rule)
        old[1].write(b"x")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(old[0].read(1), SILENCE_S)
        self.assertEqual(await self.exchange(other), b"x")
        self.assertEqual(await self.exchange(await self.connect("127.0.0.1")), b"x")

    async def test_cut_closes_and_refuses_connections_until_open(self) -> None:
        """Guards against a partition that lets bytes through, or outlasts its rule.

        A cut must close existing connections and refuse new ones.
        """
        old = await self.connect("127.0.0.1")
        await self.exchange(old)
        cut = {"from": "lahore", "to": "multan", "action": "cut"}
        self.relay.set_rule(Rule.model_validate(cut))
        self.assertEqual(await self.exchange(old), b"")
        self.assertEqual(await self.exchange(await self.connect("127.0.0.1")), b"")
        self.relay.set_rule(Rule.model_validate(cut | {"action": "open"}))
        self.assertEqual(await self.exchange(await self.connect("127.0.0.1")), b"x")
