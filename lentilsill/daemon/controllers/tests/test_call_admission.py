"""Calls are admitted by the API keys of the documents in force."""

import logging
import unittest
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

import structlog
from tornado.httpclient import AsyncHTTPClient
from tornado.tcpclient import TCPClient

from lentilsill.daemon.caller_server import CallerServer
from lentilsill.daemon.controllers.call_admission import Admission, CallAdmission
from lentilsill.daemon.controllers.local_upstream import Execution
from lentilsill.daemon.controllers.reasons import OVER_QUOTA
from lentilsill.daemon.integration import HeaderNames
from lentilsill.daemon.logs import _ForwardHandler
from lentilsill.documents import Organisation, Quota, key_digest
from lentilsill.outcomes import Outcome, Refused
from lentilsill.versioning import Snapshot
from lentilsill.wire.messages import Call

from .call_builders import HOST, FakeNode, FakeUpstream, make_document, make_request

KEY = "key-of-acme"
ACME = Organisation("acme", frozenset({key_digest(KEY.encode())}), 4, Quota(20.0, 5.0))
HEADERS = {"Authorization": f"Bearer {KEY}", "Lentilsill-Organisation": "other"}
UNKNOWN = {"Authorization": "Bearer wrong", "Lentilsill-Organisation": "acme"}


def put_in_force(node, *organisations, need_key=True):
    """Put a public and another route in force at a node with these organisations."""
    document = make_document()
    public = replace(document.routes[0], path_prefix="/open/", is_public=True)
    document = replace(document, routes=(public, *document.routes))
    by_name = {organisation.name: organisation for organisation in organisations}
    node.ctx.board.snapshot = Snapshot(
        {"slots": document}, 1, None, {}, by_name if need_key else None
    )
    node.entry.refresh()


class FakeQuotas:
    """Quota of two calls that waits for 0.5 s."""

    def __init__(self):
        self.tokens = 2

    async def take(self, organisation):
        self.tokens -= 1
        return None if self.tokens >= 0 else 0.5

    def give_back(self, organisation):
        self.tokens += 1


@contextmanager
def forwarded_logs():
    """Collect the log lines of the node and of its libraries."""
    handler = _ForwardHandler()
    root = logging.getLogger()
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    try:
        with structlog.testing.capture_logs() as logs:
            yield logs
    finally:
        root.removeHandler(handler)
        root.setLevel(level)


class CallAdmissionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = FakeUpstream()
        self.node = FakeNode("n1")
        self.addCleanup(self.node.close)
        self.node.ctx.cfg = self.node.ctx.cfg.model_copy(update={"organisations": True})
        self.node.add_upstream("w1", self.upstream.port)
        self.node.set_members(self.node.record())
        put_in_force(self.node, ACME)
        self.server = CallerServer(self.node.entry, 1000)
        self.port = self.server.listen(f"{HOST}:0")
        self.addAsyncCleanup(self.server.close)

    async def fetch(self, path, headers=None):
        return await AsyncHTTPClient().fetch(
            f"http://{HOST}:{self.port}/slots{path}", raise_error=False, headers=headers
        )

    async def admit(self, *headers):
        """Return the admission of a request with these headers."""
        req = replace(make_request(), headers=headers)
        route = self.node.ctx.board.snapshot.documents["slots"].routes[-1]
        return await self.node.entry.admission.admit(req, route)

    def last_head(self):
        return self.upstream.heads[-1].lower()

    async def test_calls_need_a_known_key(self):
        """Guards against calls of callers that have no key."""
        for headers in (None, UNKNOWN, {"Authorization": KEY}, {"X-Key": KEY}):
            got = await self.fetch("/a", headers)
            self.assertEqual(got.code, 401)
            self.assertEqual(got.headers["Lentilsill-Outcome"], "not_run")
            self.assertEqual(got.headers["WWW-Authenticate"], "Bearer")
        self.assertEqual(self.upstream.seen, [])
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 200)
        put_in_force(self.node)
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 401)

    async def test_missing_route_or_configuration_precedes_the_key(self):
        """Guards against 401 for a call that no key would admit."""
        url = f"http://{HOST}:{self.port}/nowhere/a"
        got = await AsyncHTTPClient().fetch(url, raise_error=False)
        self.assertEqual(got.code, 404)
        self.node.ctx.board.ready = False
        self.assertEqual((await self.fetch("/a")).code, 503)

    async def test_upstream_gets_the_organisation_and_no_key(self):
        """Guards against keys at upstreams, and organisations that callers name."""
        cases = (
            ("/a", HEADERS, b"\r\nlentilsill-organisation: acme\r\n"),
            ("/open/a", HEADERS, b"\r\nlentilsill-organisation: acme\r\n"),
            ("/open/a", UNKNOWN, None),
            ("/open/a", {"Lentilsill-Organisation": "acme"}, None),
        )
        for path, headers, expected in cases:
            with self.subTest(path=path, headers=headers):
                self.assertEqual((await self.fetch(path, headers)).code, 200)
                head = self.last_head()
                self.assertNotIn(b"authorization", head)
                self.assertEqual(
                    head.count(b"lentilsill-organisation"), expected is not None
                )
                self.assertIn(expected or b"", head)

    async def test_destination_passes_no_credentials_on(self):
        """Guards against keys that an entry node of an earlier release passes on."""
        headers = (*HEADERS.items(), ("X-Other", "1"))
        call = Call(1, "w1", "GET", "/a", headers, b"", 1000, True, "", "slots", 1)
        deadline = self.node.ctx.now() + 3
        await self.node.destination.execute(Execution(call, deadline))
        self.assertIn(b"x-other", self.last_head())
        self.assertNotIn(b"authorization", self.last_head())
        self.assertNotIn(b"lentilsill-organisation", self.last_head())

    async def test_without_organisations_credentials_are_forwarded(self):
        """Guards against upstreams that lose credentials which they check."""
        put_in_force(self.node, need_key=False)
        headers = (("X-A", "1"), ("authorization", "Basic x"), ("X-B", "2"))
        admission = await self.admit(*headers, ("Lentilsill-Organisation", "other"))
        self.assertEqual(admission.req.headers, headers)
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 200)
        self.assertIn(b"\r\nauthorization: bearer key-of-acme", self.last_head())
        self.assertNotIn(b"lentilsill-organisation", self.last_head())
        self.node.ctx.cfg = self.node.ctx.cfg.model_copy(
            update={"organisations": False}
        )
        put_in_force(self.node, ACME)
        self.assertEqual((await self.fetch("/a", UNKNOWN)).code, 200)
        self.assertIn(b"\r\nauthorization: bearer wrong", self.last_head())
        self.assertIn(b"lentilsill-organisation: acme", self.last_head())

    async def test_removed_key_holds_for_requests_that_have_not_started(self):
        """Guards against a key that is valid as long as its connection is open."""
        stream = await TCPClient().connect(HOST, self.port)
        self.addCleanup(stream.close)
        head = b"POST /slots/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
        head = head % KEY.encode() + b"Content-Length: 2\r\n\r\n"
        stream.write(head + b"ok")
        self.assertIn(b" 200 ", await stream.read_until(b"\r\n\r\n/a"))
        # A request that has been read in part, with another one behind it.
        stream.write(head + b"o")
        await self.fetch("/open/a")
        put_in_force(self.node, replace(ACME, key_digests=frozenset()))
        stream.write(b"k" + head + b"ok")
        for _ in range(2):
            self.assertIn(b" 401 ", await stream.read_until(b"\r\n\r\n"))
            await stream.read_until(b"}")
        self.assertEqual(self.upstream.seen, ["/a", "/open/a"])

    async def test_organisation_sets_priority_and_weight(self):
        """Guards against calls that wait in the order of another organisation."""
        bearer = ("Authorization", f"Bearer {KEY}")
        admission = await self.admit(bearer)
        self.assertEqual((admission.priority, admission.organisation), (4, "acme"))
        self.assertEqual(admission.weight, 20.0)
        put_in_force(self.node, replace(ACME, priority=None, quota=None))
        admission = await self.admit(bearer)
        self.assertEqual((admission.priority, admission.weight), (0, 0.0))

    async def test_form_of_the_credentials(self):
        """Guards against valid keys that are refused, and ambiguous ones that hold."""
        digest = key_digest("schlüssel".encode())
        put_in_force(self.node, replace(ACME, key_digests=frozenset({digest})))
        key = "schlüssel".encode().decode("latin-1")
        for value in (f"Bearer {key}", f"bearer  {key} ", f"BEARER {key}"):
            admission = await self.admit(("authorization", value))
            self.assertIsInstance(admission, Admission, value)
        twice = (("Authorization", f"Bearer {key}"),) * 2
        for headers in (twice, (("Authorization", "Bearer"),), ()):
            self.assertIsInstance(await self.admit(*headers), Refused)

    async def test_organisation_name_is_sent_as_utf_8(self):
        """Guards against calls that fail because of the name of an organisation."""
        put_in_force(self.node, replace(ACME, name="Größe 大"))
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 200)
        self.assertIn("Größe 大".encode(), self.upstream.heads[-1])

    async def test_calls_over_the_quota_are_refused(self):
        """Guards against a quota that is not asked, or that loses unused tokens."""
        self.node.entry.admission.quotas = quotas = FakeQuotas()
        await self.fetch("/a", HEADERS)
        await self.fetch("/a", HEADERS)
        got = await self.fetch("/a", HEADERS)
        self.assertEqual((got.code, got.headers["Retry-After"]), (429, "0.500"))
        self.assertIn(OVER_QUOTA.encode(), got.body)
        self.assertEqual((await self.fetch("/open/a")).code, 200)
        quotas.tokens = 1
        self.node.entry.guard = mock.Mock(is_quarantined=lambda fingerprint: True)
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 503)
        self.assertEqual(quotas.tokens, 1)
        self.node.entry.guard = None
        self.node.set_members()
        self.node.ctx.board.upstreams.clear()
        self.node.destination.refresh()
        self.node.entry.refresh()
        self.assertEqual((await self.fetch("/a", HEADERS)).code, 503)
        self.assertEqual(quotas.tokens, 1)

    async def test_key_appears_in_no_log_line_dump_or_metric(self):
        """Guards against keys that operators or other systems can read."""
        ctx = self.node.ctx
        with forwarded_logs() as logs:
            await self.fetch("/a", HEADERS)
            await self.fetch("/a", {"Authorization": f"Bearer {KEY}-unknown"})
            self.upstream.raw_answers["/a"] = b"HTTP/1.1 999 odd\r\n\r\n"
            await self.fetch("/a", HEADERS)
            for bad in ("Authorization: Bearer %s\x01", "%s : x", "%s", "\x00: %s"):
                stream = await TCPClient().connect(HOST, self.port)
                line = (bad % KEY).encode()
                stream.write(b"GET /slots/a HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n" % line)
                await stream.read_until_close()
        events = {entry["event"] for entry in logs}
        self.assertLessEqual({"library_message", "call_ended"}, events)
        dumps = {name: dump() for name, dump in ctx.board.dump_parts.items()}
        self.assertEqual(
            dumps["organisations"], {"needs_key": True, "organisations": 1, "keys": 1}
        )
        self.assertNotIn(KEY, repr(logs) + repr(dumps) + ctx.metrics.text().decode())

    async def test_index_follows_the_documents_in_force(self):
        """Guards against a lookup in the organisations of an older version."""
        admission = CallAdmission(self.node.ctx, HeaderNames())
        headers = (("Authorization", f"Bearer {KEY}"),)
        req = replace(make_request(), headers=headers)
        route = make_document().routes[0]
        other = replace(ACME, name="other")
        for first in (ACME, other):
            put_in_force(self.node, first, replace(ACME, name="later"))
            admitted = await admission.admit(req, route)
            assert isinstance(admitted, Admission)
            self.assertEqual(admitted.organisation, first.name)
        refused = await admission.admit(replace(req, headers=()), route)
        assert isinstance(refused, Refused)
        self.assertEqual(refused.outcome, Outcome.NOT_RUN)
