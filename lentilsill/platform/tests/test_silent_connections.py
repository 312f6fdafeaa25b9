"""Connections to the platform that go silent for good, while new ones work."""

import asyncio
import unittest

from lentilsill.platform import HttpObjectApi

REQUEST_TIMEOUT_S = 0.5
BODY = b'{"items":[],"has_more":false,"store_revision":9}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.conns: list[asyncio.StreamWriter] = []
        self.silent: set[asyncio.StreamWriter] = set()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.api = HttpObjectApi(f"http://127.0.0.1:{port}", REQUEST_TIMEOUT_S)
        self.addCleanup(self.api.close)

    async def serve(self, reader, writer):
        self.conns.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.02)
                if writer not in self.silent:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def test_each_silent_connection_costs_a_request_of_its_own(self):
        """Several connections were kept; only the first request may find one."""
        listings = await asyncio.gather(*(self.api.list("nodes") for _ in range(5)))
        self.assertTrue(all(listing.is_ok() for listing in listings))
        self.assertGreater(len(self.conns), 1)
        self.silent.update(self.conns)
        async with asyncio.timeout(4 * REQUEST_TIMEOUT_S):
            attempts = 1
            while (await self.api.list("nodes")).is_err():
                attempts += 1
        self.assertLessEqual(attempts, 2)
