"""Complete sessions with real nodes, compared with golden files."""

import json
import unittest
import urllib.request

from approvaltests import verify

from harness.addresses import reserved_second_octet
from harness.documents import make_document
from harness.layout import Layout
from harness.objects import write_object
from harness.processes import running_cluster, wait_until
from harness.recording import read_events
from harness.tests.sessions import Session, read_normalised_log

TIMEOUT_S = 15.0
LOGGED_EVENTS = (
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


def send_json(url, value, method="PUT"):
    """Send JSON and return the decoded JSON answer."""
    data = json.dumps(value).encode()
    req = urllib.request.Request(url, data, method=method)
    with urllib.request.urlopen(req, timeout=TIMEOUT_S) as resp:
        return json.loads(resp.read())


class GoldenSessionTests(unittest.TestCase):
    """Guards against unintended changes of command output and log events."""

    maxDiff = None

    def setUp(self):
        second_octet = self.enterContext(reserved_second_octet())
        layout = Layout(second_octet, ("lahore",), 2)
        self.cluster = self.enterContext(running_cluster(layout))
        self.session = Session(self.cluster)

    def start_nodes(self):
        for host in self.cluster.layout.hosts:
            self.cluster.start_node(host)
        for host in self.cluster.layout.hosts:
            self.cluster.wait_ready(host)

    def write_file(self, name, value, base_version=None):
        version_line = "" if base_version is None else f"// version: {base_version}\n"
        path = self.cluster.folder / name
        path.write_text(version_line + json.dumps(value), encoding="utf-8")

    def apply(self, name):
        """Apply a file and label the version that it was written as.

        The version is unknown until the command has run, so its output is
        normalised again.
        """
        command_index = len(self.session.lines)
        output = self.session.run("lentilsill", "apply", name)
        version = output.rpartition(" ")[2].strip()
        self.session.label_version(version)
        output_line = self.session.lines[command_index + 1]
        self.session.lines[command_index + 1] = self.session.normalise(output_line)
        return int(version)

    def wait_until_in_force(self, service, version):
        self.session.run("lentilsill", "status", "--wait", f"{service}@{version}")

    def test_operators_session(self):
        """Guards against changed output on conflicts, findings and versions."""
        session = self.session
        self.start_nodes()
        self.write_file("slots.json5", make_document("slots", edit=1))
        self.write_file("bad.json5", make_document("slots") | {"rutes": []})
        session.run("lentilsill", "check", "slots.json5", "bad.json5")
        first_version = self.apply("slots.json5")
        self.wait_until_in_force("slots", first_version)
        session.run("lentilsill", "get", "slots")
        session.add_comment("two operators edit the same version")
        self.write_file("anna.json5", make_document("slots", edit=2), first_version)
        self.write_file("bakyt.json5", make_document("slots", edit=3), first_version)
        second_version = self.apply("anna.json5")
        session.run("lentilsill", "apply", "bakyt.json5")
        self.wait_until_in_force("slots", second_version)
        session.run("lentilsill", "status")
        session.add_comment("another program writes a version that is not valid")
        url = self.cluster.layout.platform_url
        invalid_document = make_document("slots") | {"rutes": []}
        invalid_version = write_object(url, "service", "slots", invalid_document)
        session.label_version(invalid_version)
        session.wait_for_status(lambda s: s["slots"].get("rejected"))
        self.wait_until_in_force("slots", invalid_version)
        session.run("lentilsill", "status")
        session.add_comment("the next edit mends it")
        self.write_file("mended.json5", make_document("slots", edit=4), invalid_version)
        corrected_version = self.apply("mended.json5")
        self.wait_until_in_force("slots", corrected_version)
        session.wait_for_status(lambda s: not s["slots"].get("rejected"))
        session.run("lentilsill", "status")
        session.run("lentilsill", "delete", "slots")
        session.wait_for_status(lambda s: "slots" not in s)
        session.run("lentilsill", "status")
        session.run("lentilsill", "get", "slots")
        verify(session.transcript())

    def test_node_session(self):
        """Guards against changed events of start, documents, upstreams and drain."""
        session = self.session
        host = self.cluster.layout.hosts[0]
        bad_settings = self.cluster.layout.settings(host) | {"domian": "lahore"}
        self.write_file("bad-settings.json5", bad_settings)
        self.write_file("settings.json5", self.cluster.layout.settings(host))
        session.run("lentilsilld", "--settings", "bad-settings.json5", "--check")
        session.run("lentilsilld", "--settings", "settings.json5", "--check")
        process = self.cluster.start_node(host)
        self.cluster.wait_ready(host)
        admin_url = f"http://{host.admin_address}/lentilsill"
        url = self.cluster.layout.platform_url
        write_object(url, "service", "slots", make_document("slots"))
        self.wait_until_logged(process, "document_accepted")
        invalid_document = make_document("ledger") | {"routes": 7}
        write_object(url, "service", "ledger", invalid_document)
        self.wait_until_logged(process, "document_rejected")
        worker = {"service": "slots", "address": "127.0.0.1:1", "slots": 6}
        upstream = f"{admin_url}/upstreams/w1"
        for state in ("starting", "ready"):
            send_json(upstream, worker | {"labels": {"release": "1"}, "state": state})
        send_json(upstream, {}, "DELETE")
        process.terminate()
        session.add_comment(f"SIGTERM, exit {process.wait(TIMEOUT_S)}")
        session.lines += read_normalised_log(process.log, LOGGED_EVENTS)
        verify(session.transcript())

    def wait_until_logged(self, process, name):
        """Wait until a node has logged the event `name`."""
        wait_until(
            lambda: name in (event["event"] for event in read_events(process.log)),
            TIMEOUT_S,
            name,
        )
