"""Nodes over a stand-in of the store that can come back from an older copy."""

import asyncio
import unittest

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilsill.platform import HttpObjectApi
from standins.platform import Platform, make_app
from standins.store import Store

from .spread_builders import start_node, wait_until

__all__ = ["IN_FORCE_S", "DrillCase", "bundle_value", "in_force"]

NAME = "main"
FIRST_ERA = 1
REQUEST_TIMEOUT_S = 1.0
# A change must be in force within this time after its acknowledgement.
IN_FORCE_S = 2.0


def bundle_value(number, service):
    """Return a version of the configuration with one document."""
    return {"version": number, "documents": [{"service": service}]}


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class DrillCase(unittest.IsolatedAsyncioTestCase):
    """A store of its own for each test, and nodes that read it."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.platform = Platform(Store(era=FIRST_ERA, clock=self.clock))
        server = HTTPServer(make_app(self.platform))
        [sock] = bind_sockets(0, "127.0.0.1")
        server.add_socket(sock)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{sock.getsockname()[1]}"

    @property
    def store(self):
        return self.platform.store

    def make_api(self):
        api = HttpObjectApi(self.url, REQUEST_TIMEOUT_S)
        self.addAsyncCleanup(close_api, api)
        return api

    def start(self, name, seeds=(), domain="lahore", **kwargs):
        kwargs = {"documents": "bundle", "in_force_s": IN_FORCE_S} | kwargs
        node = start_node(name, self.make_api(), seeds, domain, **kwargs)
        self.addCleanup(node.stop)
        return node

    def write(self, number, service, name=NAME, kind="service"):
        """Write a version one second after the last write; return its revision."""
        return self.write_value(bundle_value(number, service), name, kind)

    def write_value(self, value, name=NAME, kind="service"):
        self.clock.now_s += 1.0
        change = self.store.put(kind, name, value, None)
        self.platform.change_condition.notify_all()
        return change.version

    def write_others(self, count):
        """Let the counter of revisions run on by writes of another kind."""
        for _ in range(count):
            self.write_value({}, kind="other")

    def restore(self, age_s):
        """Lose the writes of the last `age_s` seconds, one for each second."""
        self.store.restore(age_s)
        self.platform.change_condition.notify_all()

    async def wait_in_force(self, service, *nodes, timeout_s=IN_FORCE_S):
        await wait_until(
            lambda: all(in_force(node) == service for node in nodes), timeout_s
        )


async def close_api(api):
    # Reads of nodes that have been stopped end in the next turn of the event loop.
    await asyncio.sleep(0)
    api.close()


def in_force(node):
    return ",".join(node.ctx.board.snapshot.documents)
