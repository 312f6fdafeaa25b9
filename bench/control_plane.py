"""Control plane of real processes on loopback; prints JSON lines.

For each number of nodes, in three domains: both values of ``optimise_for``,
and the baseline of nodes that watch the platform by themselves. Ratios are
baseline divided by node (above 1: the baseline takes more).
"""

import json
import os
import random
import statistics
import sys
import time
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from harness.layout import Host, Layout
from harness.objects import write_object
from harness.processes import Cluster, Process, fetch_json, running_cluster, wait_until

from .results import emit, version
from .sizes import document_text

__all__ = ["main"]

SIZES = (6, 18, 48)
DOMAINS = ("lahore", "faisalabad", "multan")
POLICIES = ("convergence", "control_bytes")
DOCUMENTS = 12
CHANGES = 12
CHANGE_GAP_S = 0.25
CHANGE_BOUND_S = 15.0
IDLE_S = 5.0
SETTLE_S = 2.0
# Records of a start are repeated on probes until each was sent often enough.
SETTLE_BOUND_S = 25.0
CHURN_S = 4.0
CHURN_PER_S = 10.0
READY_BOUND_S = 40.0
HERD_BOUND_S = 60.0
BASE = 60
SEED = 1
CALL_TYPES = ("get", "put", "list", "watch", "delete")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Run:
    """Processes of one measurement, and the labels of its lines."""

    cluster: Cluster
    measured: list[Process]
    hosts: list[Host]
    way: str
    values: dict[str, float] = field(default_factory=dict)

    def emit(self, measure: str, value: float, unit: str) -> None:
        """Print one line and keep the value for the ratios."""
        self.values[measure] = value
        nodes = len(self.measured)
        emit(
            measure, value, unit, nodes=nodes, way=self.way, seed=SEED, version=VERSION
        )

    def states(self) -> list[dict[str, Any]]:
        """Read the state dump of each node."""
        return [
            fetch_json(f"http://{host.admin_address}/lentilsill/state")
            for host in self.hosts
        ]

    def is_settled(self) -> bool:
        """Whether no node has records to repeat, and six nodes watch."""
        watchers = 2 * len(DOMAINS)
        if any(state["membership"]["unsent"] for state in self.states()):
            return False
        return self.counters()["watches_waiting"] <= watchers

    def sent_bytes(self) -> int:
        """Bytes that all nodes have sent on control links."""
        empty = {"sent_bytes": 0}
        parts = [state["traffic"].get("control", empty) for state in self.states()]
        return sum(part["sent_bytes"] for part in parts)

    def dials(self) -> int:
        """Control links that all nodes have dialed."""
        parts = [state["traffic"].get("control", {}) for state in self.states()]
        return sum(part.get("dials", 0) for part in parts)

    def cpu_s(self) -> float:
        """Processor time of the measured processes, in seconds."""
        return sum(_cpu_s(process.pid) for process in self.measured)

    def platform_calls(self) -> float:
        """Calls that the platform has taken; a watch is one when it starts."""
        counters = self.counters()
        return sum(counters.get(name, 0) for name in CALL_TYPES)

    def counters(self) -> dict[str, Any]:
        """Counters of the platform stand-in."""
        url = f"{self.cluster.layout.platform_url}/standin/counters"
        return fetch_json(url)


VERSION = version()


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_bytes(pid: int) -> int:
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _put(layout: Layout, number: int, note: str) -> tuple[int, float]:
    """Write a document; give its version and when the answer came."""
    name = f"service-{number}"
    value = json.loads(document_text(number, note))
    version = write_object(layout.platform_url, "service", name, value)
    return version, time.time()


def _in_force_times(process: Process, version: int) -> list[float]:
    """Times since the epoch at which a node put a version in force."""
    needle = f'"version": {version}'
    for line in process.log.read_text(encoding="utf-8").splitlines():
        if needle in line and "document_accepted" in line:
            event = json.loads(line)
            return [datetime.fromisoformat(event["time"]).timestamp()]
    return []


def _baseline_times(process: Process, version: int) -> list[float]:
    offset_s = time.time() - time.monotonic()
    for line in process.log.read_text(encoding="utf-8").splitlines():
        event = json.loads(line) if line.startswith("{") else {}
        if version in event.get("versions", {}).values():
            return [event["at_s"] + offset_s]
    return []


def _measure_changes(
    run: Run, find: Callable[[Process, int], list[float]], has_links: bool
) -> None:
    sent = run.sent_bytes() if has_links else 0
    calls, cpu_s, start_s = run.platform_calls(), run.cpu_s(), time.monotonic()
    written = []
    for index in range(CHANGES):
        note = f"-{run.way}-{index}"
        written.append(_put(run.cluster.layout, index % DOCUMENTS, note))
        time.sleep(CHANGE_GAP_S)
    first_missing = {process.name: 0 for process in run.measured}

    def all_have() -> bool:
        last = written[-1][0]
        for process in run.measured:
            if not first_missing[process.name] and find(process, last):
                first_missing[process.name] = 1
        return all(first_missing.values())

    wait_until(all_have, CHANGE_BOUND_S, "last change in force")
    time.sleep(1.0)
    elapsed = time.monotonic() - start_s
    nodes = len(run.measured)
    run.emit("cpu_under_changes", (run.cpu_s() - cpu_s) / elapsed / nodes, "core")
    run.emit("platform_calls_per_change", (run.platform_calls() - calls) / CHANGES, "")
    if has_links:
        idle = run.values["idle_bytes"] * nodes * elapsed
        per_change = (run.sent_bytes() - sent - idle) / CHANGES / nodes
        run.emit("bytes_per_change", per_change, "B/node")
    delays = []
    for wanted, answered_s in written:
        found = [find(process, wanted) for process in run.measured]
        missing = sum(not times for times in found)
        if missing:
            run.emit("nodes_without_version", missing, "")
        times = [times[0] for times in found if times]
        delays.append(max(0.0, max(times, default=answered_s) - answered_s))
    delays.sort()
    run.emit("convergence_p50", statistics.median(delays) * 1000, "ms")
    p99 = delays[min(len(delays) - 1, int(len(delays) * 0.99))]
    run.emit("convergence_p99", p99 * 1000, "ms")
    run.emit("convergence_max", delays[-1] * 1000, "ms")


def _measure_idle(run: Run, has_links: bool) -> None:
    sent = run.sent_bytes() if has_links else 0
    dials = run.dials() if has_links else 0
    calls, cpu_s, start_s = run.platform_calls(), run.cpu_s(), time.monotonic()
    time.sleep(IDLE_S)
    elapsed = time.monotonic() - start_s
    nodes = len(run.measured)
    run.emit("idle_cpu", (run.cpu_s() - cpu_s) / elapsed / nodes, "core")
    rate = (run.platform_calls() - calls) / elapsed
    run.emit("idle_platform_calls", rate, "1/s")
    run.emit("platform_watches_waiting", run.counters()["watches_waiting"], "")
    if has_links:
        sent_rate = (run.sent_bytes() - sent) / elapsed / nodes
        run.emit("idle_bytes", sent_rate, "B/s/node")
        run.emit("idle_dials", (run.dials() - dials) / elapsed / nodes, "1/s/node")
    rss = [_rss_bytes(process.pid) for process in run.measured]
    run.emit("rss_max", max(rss) / 2**20, "MB")


def _announce(host: Host, state: str, number: int) -> None:
    url = f"http://{host.admin_address}/lentilsill/upstreams/u{number}"
    body = {"service": f"service-{number}", "address": f"{host.ip}:8101"}
    data = json.dumps(body | {"slots": 6, "labels": {}, "state": state}).encode()
    with urllib.request.urlopen(
        urllib.request.Request(url, data, method="PUT"), timeout=5.0
    ) as resp:
        resp.read()


def _measure_churn(run: Run) -> None:
    rng = random.Random(SEED)
    sent, cpu_s, start_s = run.sent_bytes(), run.cpu_s(), time.monotonic()
    count = 0
    while time.monotonic() - start_s < CHURN_S:
        host = rng.choice(run.hosts)
        _announce(host, ("ready", "leaving")[count % 2], rng.randrange(DOCUMENTS))
        count += 1
        time.sleep(1 / CHURN_PER_S)
    time.sleep(1.0)
    elapsed = time.monotonic() - start_s
    nodes = len(run.measured)
    rate = (run.sent_bytes() - sent) / elapsed / nodes
    run.emit("churn_bytes", rate, "B/s/node")
    per_change = (rate - run.values["idle_bytes"]) * elapsed / count
    run.emit("bytes_per_endpoint_change", per_change, "B/node")
    run.emit("churn_cpu", (run.cpu_s() - cpu_s) / elapsed / nodes, "core")


def _measure_herd(run: Run) -> None:
    victims = run.measured[::3]
    for process in victims:
        process.kill()
    start_s = time.monotonic()
    for process in victims:
        process.start()
    per_domain = len(run.hosts) // len(DOMAINS)

    def has_recovered() -> bool:
        hashes: dict[str, set[str]] = {}
        try:
            states = run.states()
        except OSError:
            return False
        for state in states:
            if not state["ready"] or state["members"] != per_domain:
                return False
            found = hashes.setdefault(state["domain"], set())
            found.add(state["membership"]["records_hash"])
        return all(len(found) == 1 for found in hashes.values())

    wait_until(has_recovered, HERD_BOUND_S, "recovery after the herd restart")
    run.emit("herd_recovery", time.monotonic() - start_s, "s")


def _run_nodes(base: int, nodes: int, policy: str) -> dict[str, float]:
    sections = {"distribution": {"optimise_for": policy}}
    layout = Layout(base, DOMAINS, nodes // len(DOMAINS), sections=sections)
    with running_cluster(layout) as cluster:
        for number in range(DOCUMENTS):
            _put(layout, number, "")
        hosts = list(layout.hosts)
        run = Run(cluster, [cluster.start_node(h) for h in hosts], hosts, policy)
        for host in hosts:
            cluster.wait_ready(host, READY_BOUND_S)
        time.sleep(SETTLE_S)
        wait_until(run.is_settled, SETTLE_BOUND_S, "no record left to repeat")
        _measure_idle(run, True)
        _measure_changes(run, _in_force_times, True)
        _measure_churn(run)
        _measure_herd(run)
    return run.values


def _run_baseline(base: int, nodes: int) -> dict[str, float]:
    layout = Layout(base, DOMAINS, nodes // len(DOMAINS))
    with running_cluster(layout) as cluster:
        for number in range(DOCUMENTS):
            _put(layout, number, "")
        args = ["bench.baseline", layout.platform_url]
        started = [cluster.start(f"baseline-{i}", args) for i in range(nodes)]
        run = Run(cluster, started, [], "baseline")
        wait_until(
            lambda: run.counters()["watches_waiting"] == nodes,
            READY_BOUND_S,
            "watches of the baseline",
        )
        _measure_idle(run, False)
        _measure_changes(run, _baseline_times, False)
    return run.values


def _emit_ratios(
    nodes: int, way: str, values: dict[str, float], baseline: dict[str, float]
) -> None:
    for measure, value in values.items():
        if measure in baseline and value > 0:
            ratio = baseline[measure] / value
            labels = {"nodes": nodes, "way": way, "seed": SEED, "version": VERSION}
            emit(f"ratio_{measure}", ratio, "baseline/node", **labels)


def main(argv: list[str]) -> None:
    """Run all sizes, or those given as arguments."""
    sizes = [int(arg) for arg in argv] or SIZES
    base = BASE
    for nodes in sizes:
        baseline = _run_baseline(base, nodes)
        for policy in POLICIES:
            base += 1
            values = _run_nodes(base, nodes, policy)
            _emit_ratios(nodes, policy, values, baseline)
        base += 1


if __name__ == "__main__":
    main(sys.argv[1:])
