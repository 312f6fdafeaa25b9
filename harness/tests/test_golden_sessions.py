"""Golden files of whole sessions with real nodes."""

import json
import unittest
import urllib.request

from approvaltests import verify

from harness.documents import make_document
from harness.layout import Layout
from harness.objects import write_object
from harness.processes import running_cluster, wait_until
from harness.recording import read_events
from harness.scenario import reserved_second_octet
from harness.tests.sessions import Session, normalised_log

BOUND_S = 15.0
LOGGED = (
    "node_started",
    "node_ready",
    "document_accepted",
    "document_rejected",
    "document_deleted",
    "upstream_announced",
    "upstream_dropped",
    "drain_started",
    "drain_ended",
    "node_stopped",
)


def put(url, value, method="PUT"):
    """Send JSON and give the JSON of the answer."""
    data = json.dumps(value).encode()
    req = urllib.request.Request(url, data, method=method)
    with urllib.request.urlopen(req, timeout=BOUND_S) as resp:
        return json.loads(resp.read())


class GoldenSessionTests(unittest.TestCase):
    """What operators and logs are shown must not change by accident."""

    maxDiff = None

    def setUp(self):
        base = self.enterContext(reserved_second_octet())
        layout = Layout(base, ("lahore",), 2)
        self.cluster = self.enterContext(running_cluster(layout))
        self.session = Session(self.cluster)

    def start_nodes(self):
        for host in self.cluster.layout.hosts:
            self.cluster.start_node(host)
        for host in self.cluster.layout.hosts:
            self.cluster.wait_ready(host)

    def write_file(self, name, value, base=None):
        head = "" if base is None else f"// version: {base}\n"
        path = self.cluster.folder / name
        path.write_text(head + json.dumps(value), encoding="utf-8")

    def apply(self, name):
        """Apply a file and name its version, in a way that is not shown twice."""
        shown = len(self.session.lines)
        output = self.session.run("lentilsill", "apply", name)
        version = output.rpartition(" ")[2].strip()
        self.session.name_version(version)
        last = self.session.lines[shown + 1]
        self.session.lines[shown + 1] = self.session.clean(last)
        return int(version)

    def wait(self, service, version):
        self.session.run("lentilsill", "status", "--wait", f"{service}@{version}")

    def test_operators_session(self):
        """An operator must be told of conflicts, findings and what is in force."""
        session = self.session
        self.start_nodes()
        self.write_file("slots.json5", make_document("slots", edit=1))
        self.write_file("bad.json5", make_document("slots") | {"rutes": []})
        session.run("lentilsill", "check", "slots.json5", "bad.json5")
        first = self.apply("slots.json5")
        self.wait("slots", first)
        session.run("lentilsill", "get", "slots")
        session.say("two operators edit the same version")
        self.write_file("anna.json5", make_document("slots", edit=2), first)
        self.write_file("bakyt.json5", make_document("slots", edit=3), first)
        second = self.apply("anna.json5")
        session.run("lentilsill", "apply", "bakyt.json5")
        self.wait("slots", second)
        session.run("lentilsill", "status")
        session.say("another program writes a version that is not valid")
        url = self.cluster.layout.platform_url
        invalid = make_document("slots") | {"rutes": []}
        bad = write_object(url, "service", "slots", invalid)
        session.name_version(bad)
        session.until_status(lambda s: s["slots"].get("rejected"))
        self.wait("slots", bad)
        session.run("lentilsill", "status")
        session.say("the next edit mends it")
        self.write_file("mended.json5", make_document("slots", edit=4), bad)
        mended = self.apply("mended.json5")
        self.wait("slots", mended)
        session.until_status(lambda s: not s["slots"].get("rejected"))
        session.run("lentilsill", "status")
        session.run("lentilsill", "delete", "slots")
        session.until_status(lambda s: "slots" not in s)
        session.run("lentilsill", "status")
        session.run("lentilsill", "get", "slots")
        verify(session.transcript())

    def test_node_session(self):
        """A node's log must tell its start, documents, upstreams and drain."""
        session = self.session
        host = self.cluster.layout.hosts[0]
        bad = self.cluster.layout.settings(host) | {"domian": "lahore"}
        self.write_file("bad-settings.json5", bad)
        self.write_file("settings.json5", self.cluster.layout.settings(host))
        session.run("lentilsilld", "--settings", "bad-settings.json5", "--check")
        session.run("lentilsilld", "--settings", "settings.json5", "--check")
        process = self.cluster.start_node(host)
        self.cluster.wait_ready(host)
        admin = f"http://{host.admin_address}/lentilsill"
        url = self.cluster.layout.platform_url
        write_object(url, "service", "slots", make_document("slots"))
        self.until_logged(process, "document_accepted")
        invalid = make_document("ledger") | {"routes": 7}
        write_object(url, "service", "ledger", invalid)
        self.until_logged(process, "document_rejected")
        worker = {"service": "slots", "address": "127.0.0.1:1", "slots": 6}
        upstream = f"{admin}/upstreams/w1"
        for state in ("starting", "ready"):
            put(upstream, worker | {"labels": {"release": "1"}, "state": state})
        put(upstream, {}, "DELETE")
        process.terminate()
        session.say(f"SIGTERM, exit {process.wait(BOUND_S)}")
        session.lines += normalised_log(process.log, LOGGED)
        verify(session.transcript())

    def until_logged(self, process, name):
        """Wait until a node has logged an event."""
        wait_until(
            lambda: name in (event["event"] for event in read_events(process.log)),
            BOUND_S,
            name,
        )
