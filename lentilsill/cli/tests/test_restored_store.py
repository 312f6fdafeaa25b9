"""Edits of documents in a store that comes back from an older copy of itself."""

import unittest

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilsill.cli.edits import apply_document, show_document
from lentilsill.cli.exits import ExitCode
from lentilsill.cli.reports import Target
from lentilsill.platform import HttpObjectApi
from lentilsill.versioning import make_position
from standins.platform import Platform, make_app
from standins.store import Store

from .builders import make_document


class RestoredStoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now_s = 0.0
        self.store = Store(era=1, clock=lambda: self.now_s)
        server = HTTPServer(make_app(Platform(self.store)))
        [sock] = bind_sockets(0, "127.0.0.1")
        server.add_socket(sock)
        self.addCleanup(server.stop)
        self.api = HttpObjectApi(f"http://127.0.0.1:{sock.getsockname()[1]}", 2.0)
        self.addCleanup(self.api.close)
        self.lines: list = []

    async def test_edit_of_a_lost_version_overwrites_another(self):
        """Guards against an edit whose version was given out again."""
        self.store.put("service", "slots", make_document(), 0)
        self.now_s = 1.0
        self.store.put("service", "slots", make_document(deadline_ms=900), None)
        await show_document(self.api, "slots", self.lines.append)
        [edited] = self.lines
        self.assertTrue(edited.startswith("// version: 1-2\n"))
        self.store.restore(0.5)
        self.store.put("service", "slots", make_document(deadline_ms=700), None)
        edited = edited.replace("900", "950")
        echo = self.lines.append
        exit_code = await apply_document(self.api, edited, "slots.json5", None, echo)
        self.assertEqual(exit_code, ExitCode.CONFLICT)
        self.assertIn(
            "slots: conflict: edited version 1-2, the platform holds version 2-2",
            self.lines,
        )
        self.assertEqual(
            self.store.objects["service", "slots"].value,
            make_document(deadline_ms=700),
        )

    def test_version_with_an_era_can_not_be_waited_for(self):
        """Guards against a version that `apply` prints and --wait refuses."""
        target = Target.parse("slots@2-41")
        self.assertEqual(target, Target("slots", make_position(2, 41)))
        for text in ("slots@", "slots@-4", "slots@1-2-3", "slots@x"):
            with self.assertRaises(ValueError):
                Target.parse(text)
