"""Entries of other writers that can't be read cost no other entry."""

import json
import socket
import time
import unittest

import structlog
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilsill.platform import HttpObjectApi, RateLimited
from lentilsill.platform.configuration import ConfigurationDecoder

from .builders import configuration


def entry(spec, metadata='"name":"odd","revision":6'):
    """Return the text of an entry."""
    return '{"metadata":{' + metadata + '},"spec":' + spec + "}"


def page(field, entries):
    """Return the text of an answer with a list of entries."""
    return '{"' + field + '":[' + ",".join(entries) + '],"store_revision":9}'


ODD_OBJECTS = {
    "nested": entry("[" * 5000 + "1" + "]" * 5000),
    "nested deeply": entry('{"a":' * 50_000 + "1" + "}" * 50_000),
    "long number": entry("9" * 5000),
    "text as revision": entry("1", '"name":"odd","revision":"x"'),
    "large revision": entry("1", f'"name":"odd","revision":{2**70}'),
    "no name": entry('"]}[{\\""', '"revision":6'),
    "a list": "[[1]]",
    "a number": "7",
    "null": "null",
}
GOOD = entry('{"items":[1]}', '"name":"good","revision":5')


class OddEntryTests(unittest.IsolatedAsyncioTestCase):
    def serve(self, text, status=200, headers=(), decoders=None):
        """Serve `text` on all paths and return a client for it."""

        class Page(RequestHandler):
            def get(self, path) -> None:
                self.set_status(status)
                for name, value in headers:
                    self.set_header(name, value)
                self.finish(text)

        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        server = HTTPServer(Application([("/(.*)", Page)]))
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        port = sockets[0].getsockname()[1]
        api = HttpObjectApi(f"http://127.0.0.1:{port}", 5.0, decoders)
        self.addCleanup(api.close)
        return api

    async def test_listing_is_lost_with_one_unreadable_entry(self):
        """Guards against nodes that find no peers while one entry can't be read."""
        for kind, odd in ODD_OBJECTS.items():
            for items in ([GOOD, odd], [odd, GOOD], [odd, GOOD, odd]):
                api = self.serve(page("items", items))
                listing = (await api.list("nodes")).unwrap()
                self.assertEqual([o.name for o in listing.objects], ["good"], kind)
                self.assertEqual(listing.revision, 9)

    async def test_watch_stops_at_one_unreadable_event(self):
        """Guards against a configuration that is never followed again."""
        for kind, odd in ODD_OBJECTS.items():
            events = ['{"object":' + text + "}" for text in (odd, GOOD)]
            api = self.serve(page("events", events))
            batch = (await api.watch("config", 4, 1.0)).unwrap()
            self.assertEqual([o.name for o in batch.changes], ["good"], kind)
            self.assertEqual(batch.revision, 9)

    async def test_configuration_that_can_not_be_decoded_ends_the_watch(self):
        """Guards against a number that raises where only `ValueError` is expected."""
        spec = json.dumps(configuration())
        for old, new in (
            ('"timeout_ms": ', '"timeout_ms": 1e999, "other": '),
            ('"target_latency_ms": ', '"target_latency_ms": 1e999, "other": '),
        ):
            self.assertIn(old, spec)
            text = page("items", [entry(spec.replace(old, new, 1))])
            api = self.serve(text, decoders={"config": ConfigurationDecoder()})
            with structlog.testing.capture_logs() as logs:
                (obj,) = (await api.list("config")).unwrap().objects
            # The route with the number refuses its requests; the other one holds.
            odd, good = obj.value["documents"][-1]["routes"]
            self.assertEqual([target["weight"] for target in odd["targets"]], [0])
            self.assertEqual((good["name"], good["deadline_ms"]), ("r-2", 800))
            (event,) = [e for e in logs if e["event"].startswith("configuration_")]
            field = old.partition(":")[0].strip('"')
            place = f"virtual_hosts.0.path_routes.0.{field}: "
            self.assertIn(place, event["findings"][0])

    async def test_endless_retry_after_stops_the_reads(self):
        """Guards against a wait without end for a platform that is busy."""
        for value in ("inf", "1e999", "nan", "-5", "1e9"):
            api = self.serve("", 429, [("Retry-After", value)])
            error = (await api.list("config")).unwrap_err()
            self.assertIsInstance(error, RateLimited)
            self.assertLessEqual(error.retry_after_s, 30.0, value)
            self.assertGreaterEqual(error.retry_after_s, 0.0, value)

    async def test_many_unreadable_entries_take_little_time(self):
        """Guards against a search whose time grows with the square of the answer."""
        items = [ODD_OBJECTS["text as revision"]] * 5000 + [GOOD]
        api = self.serve(page("items", items))
        began = time.perf_counter()
        listing = (await api.list("nodes")).unwrap()
        self.assertEqual(len(listing.objects), 1)
        self.assertLess(time.perf_counter() - began, 5.0)
