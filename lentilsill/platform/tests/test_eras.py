"""Answers and writes of a store that comes back from an older copy of itself."""

import json
import unittest

from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from lentilsill.platform import (
    AnswerLost,
    Compacted,
    Conflict,
    HttpObjectApi,
    Unavailable,
)
from lentilsill.platform.eras import StoreEras
from lentilsill.versioning import era_of, make_position
from standins.platform import Platform, make_app
from standins.store import Store

REQUEST_TIMEOUT_S = 2.0


def serve(case, app):
    """Serve an application and return a client for it."""
    [sock] = bind_sockets(0, "127.0.0.1")
    server = HTTPServer(app)
    server.add_socket(sock)
    case.addCleanup(server.stop)
    port = sock.getsockname()[1]
    api = HttpObjectApi(f"http://127.0.0.1:{port}", REQUEST_TIMEOUT_S)
    case.addCleanup(api.close)
    return api


class ScriptedAnswers:
    """Answers with the next (era, body) of a list; the last one is repeated."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.queries = []

    def make_app(self):
        script = self

        class Handler(RequestHandler):
            def get(self, path):
                script.queries.append(self.request.query)
                era, body = script.answers[0]
                if len(script.answers) > 1:
                    del script.answers[0]
                if era is not None:
                    self.set_header("Store-Era", era)
                self.finish(json.dumps(body))

            put = get

        return Application([("(.*)", Handler)], log_function=lambda handler: None)


def listing(revision, names="", has_more=False):
    items = [{"metadata": {"name": name, "revision": revision}} for name in names]
    return {"items": items, "has_more": has_more, "store_revision": revision}


class AnswerTests(unittest.IsolatedAsyncioTestCase):
    async def list_all(self, *answers):
        api = serve(self, ScriptedAnswers(*answers).make_app())
        return [await api.list("service") for _ in answers]

    async def test_late_answer_of_an_earlier_era_is_used(self):
        """Guards against documents that go back by a delayed answer (G1)."""
        first, late, next_ = await self.list_all(
            ("2", listing(5)), ("1", listing(9)), ("2", listing(6))
        )
        self.assertEqual(first.unwrap().revision, make_position(2, 5))
        self.assertIsInstance(late.unwrap_err(), Unavailable)
        self.assertEqual(next_.unwrap().revision, make_position(2, 6))

    async def test_pages_of_two_eras_make_one_listing(self):
        """Guards against a listing that mixes two states of the store (G1)."""
        result, again = await self.list_all(
            ("1", listing(9, "a", has_more=True)), ("2", listing(4, "b"))
        )
        self.assertIsInstance(result.unwrap_err(), Unavailable)
        self.assertEqual(len(again.unwrap().objects), 1)

    async def test_era_that_can_not_be_read_ends_the_reads(self):
        """Guards against a node that reads nothing more for an odd header (G9)."""
        odd = ("", "x", "-1", "1.5", "9" * 30, "²", None)
        answers = [("3", listing(5)), *((era, listing(6)) for era in odd)]
        _, *results = await self.list_all(*answers)
        for result in results:
            self.assertEqual(result.unwrap().revision, make_position(3, 6))

    async def test_watch_goes_on_in_another_history(self):
        """Guards against a watch from a revision that was given out again (G9)."""
        script = ScriptedAnswers(("2", {"events": [], "store_revision": 60}))
        api = serve(self, script.make_app())
        since = make_position(1, 50)
        self.assertEqual(await api.watch("service", since, 0.0), Err(Compacted()))
        self.assertEqual(await api.watch("service", since, 0.0), Err(Compacted()))
        self.assertEqual(len(script.queries), 1)
        batch = await api.watch("service", make_position(2, 60), 0.0)
        self.assertEqual(batch.unwrap().revision, make_position(2, 60))

    async def test_watch_of_a_store_behind_the_known_era_is_used(self):
        """Guards against an answer older than what peers have told (G1)."""
        api = serve(
            self, ScriptedAnswers(("1", {"events": [], "store_revision": 9})).make_app()
        )
        result = await api.watch("service", make_position(2, 5), 0.0)
        self.assertIsInstance(result.unwrap_err(), Unavailable)


class WriteTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now_s = 0.0
        self.store = Store(era=1, clock=lambda: self.now_s)
        self.api = serve(self, make_app(Platform(self.store)))

    async def write_and_lose(self):
        """Write one object and lose it; its revision names another one afterwards."""
        self.now_s = 1.0
        version = (await self.api.put("service", "a", {"x": 1}, 0)).unwrap()
        self.store.restore(1.5)
        self.now_s = 2.0
        self.store.put("service", "a", {"x": "other"}, 0)
        return version

    async def test_revision_of_an_earlier_era_conditions_a_write(self):
        """Guards against an edit that overwrites a state its author has not seen."""
        version = await self.write_and_lose()
        self.assertEqual(era_of(version), 1)
        await self.api.list("service")
        stale = await self.api.put("service", "a", {"x": 2}, version)
        self.assertEqual(stale, Err(Conflict(0)))
        stale = await self.api.delete("service", "a", version)
        self.assertEqual(stale, Err(Conflict(0)))
        self.assertEqual(self.store.objects["service", "a"].value, {"x": "other"})

    async def test_write_across_the_return_counts_as_done(self):
        """Guards against trust in a condition that the store met by chance."""
        version = await self.write_and_lose()
        result = await self.api.put("service", "a", {"x": 2}, version)
        self.assertIsInstance(result.unwrap_err(), AnswerLost)

    async def test_conflict_names_the_position_of_the_object(self):
        """Guards against a conflict whose version no later write can name."""
        await self.write_and_lose()
        current = make_position(2, 1)
        result = await self.api.put("service", "a", {"x": 2}, 0)
        self.assertEqual(result, Err(Conflict(current)))
        result = await self.api.put("service", "a", {"x": 2}, current)
        self.assertEqual(result, Ok(make_position(2, 2)))


class EraTests(unittest.TestCase):
    def test_era_of_many_digits_counts_as_the_latest_one(self):
        """Guards against a ValueError of the conversion, which ended the read. Python
        converts no text of more than 4,300 digits."""
        eras = StoreEras()
        eras.read({"Store-Era": "7"})
        for text in ("9" * 41, "9" * 5000, "0" * 5000 + "3"):
            self.assertEqual(eras.read({"Store-Era": text}), 7)
        self.assertEqual(eras.latest, 7)

    def test_era_with_leading_zeros_is_read(self):
        """Guards against a limit on the length that rejects eras in range."""
        self.assertEqual(StoreEras().read({"Store-Era": "0000000003"}), 3)
