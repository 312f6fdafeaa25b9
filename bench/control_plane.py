"""Control plane of real processes on loopback; prints JSON lines.

For each number of nodes, in three domains, it measures both values of ``optimise_for``
and the baseline, nodes that watch the platform themselves (`bench.baseline`). A ratio
is the value of the baseline divided by that of the nodes: above 1, the baseline uses
more.
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

from .results import describe_version, emit
from .sizes import make_document_text

__all__ = ["main"]

NODE_COUNTS = (6, 18, 48)
DOMAINS = ("lahore", "faisalabad", "multan")
POLICIES = ("convergence", "control_bytes")
DOCUMENT_COUNT = 12
CHANGE_COUNT = 12
CHANGE_GAP_S = 0.25
CHANGE_TIMEOUT_S = 15.0
IDLE_DURATION_S = 5.0
SETTLE_S = 2.0
# After a start, nodes repeat records on probes until each was sent often enough.
SETTLE_TIMEOUT_S = 25.0
CHURN_DURATION_S = 4.0
CHURN_CHANGES_PER_S = 10.0
READY_TIMEOUT_S = 40.0
MASS_RESTART_TIMEOUT_S = 60.0
SECOND_OCTET_START = 60
SEED = 1
CALL_TYPES = ("get", "put", "list", "watch", "delete")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Run:
    """Processes of one measurement, and the values measured so far."""

    cluster: Cluster
    processes: list[Process]
    hosts: list[Host]
    variant: str
    values: dict[str, float] = field(default_factory=dict)

    def emit(self, measure: str, value: float, unit: str) -> None:
        """Print one value as a JSON line and keep it for the ratios."""
        self.values[measure] = value
        nodes = len(self.processes)
        emit(
            measure,
            value,
            unit,
            nodes=nodes,
            way=self.variant,
            seed=SEED,
            version=VERSION,
        )

    def fetch_states(self) -> list[dict[str, Any]]:
        """Fetch the state dump of each node."""
        return [
            fetch_json(f"http://{host.admin_address}/lentilsill/state")
            for host in self.hosts
        ]

    def is_settled(self) -> bool:
        """Return whether no node repeats records and at most six nodes watch."""
        watchers = 2 * len(DOMAINS)
        if any(state["membership"]["unsent"] for state in self.fetch_states()):
            return False
        return self.fetch_counters()["watches_waiting"] <= watchers

    def count_sent_bytes(self) -> int:
        """Return the bytes that all nodes have sent on control links."""
        empty = {"sent_bytes": 0}
        parts = [
            state["traffic"].get("control", empty) for state in self.fetch_states()
        ]
        return sum(part["sent_bytes"] for part in parts)

    def count_dials(self) -> int:
        """Return the number of control links that all nodes have dialed."""
        parts = [state["traffic"].get("control", {}) for state in self.fetch_states()]
        return sum(part.get("dials", 0) for part in parts)

    def total_cpu_s(self) -> float:
        """Return the processor time of the measured processes, in seconds."""
        return sum(_read_cpu_s(process.pid) for process in self.processes)

    def count_platform_calls(self) -> float:
        """Return the calls received by the platform; a watch counts at its start."""
        counters = self.fetch_counters()
        return sum(counters.get(name, 0) for name in CALL_TYPES)

    def fetch_counters(self) -> dict[str, Any]:
        """Fetch the counters of the platform stand-in."""
        url = f"{self.cluster.layout.platform_url}/standin/counters"
        return fetch_json(url)


VERSION = describe_version()


def _read_cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_rss_bytes(pid: int) -> int:
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _put_document(layout: Layout, number: int, note: str) -> tuple[int, float]:
    """Write a document; return its version and the time of the answer."""
    name = f"service-{number}"
    value = json.loads(make_document_text(number, note))
    version = write_object(layout.platform_url, "service", name, value)
    return version, time.time()


def _find_node_times(process: Process, version: int) -> list[float]:
    """Return when a node put a version in force (s since the epoch), or nothing."""
    pattern = f'"version": {version}'
    for line in process.log.read_text(encoding="utf-8").splitlines():
        if pattern in line and "document_accepted" in line:
            event = json.loads(line)
            return [datetime.fromisoformat(event["time"]).timestamp()]
    return []


def _find_baseline_times(process: Process, version: int) -> list[float]:
    offset_s = time.time() - time.monotonic()
    for line in process.log.read_text(encoding="utf-8").splitlines():
        event = json.loads(line) if line.startswith("{") else {}
        if version in event.get("versions", {}).values():
            return [event["at_s"] + offset_s]
    return []


def _measure_changes(
    run: Run, find_times: Callable[[Process, int], list[float]], has_links: bool
) -> None:
    sent_bytes = run.count_sent_bytes() if has_links else 0
    calls, cpu_s, start_s = (
        run.count_platform_calls(),
        run.total_cpu_s(),
        time.monotonic(),
    )
    written = []
    for index in range(CHANGE_COUNT):
        note = f"-{run.variant}-{index}"
        written.append(_put_document(run.cluster.layout, index % DOCUMENT_COUNT, note))
        time.sleep(CHANGE_GAP_S)
    has_last = {process.name: 0 for process in run.processes}

    def is_in_force_everywhere() -> bool:
        last_version = written[-1][0]
        for process in run.processes:
            if not has_last[process.name] and find_times(process, last_version):
                has_last[process.name] = 1
        return all(has_last.values())

    wait_until(is_in_force_everywhere, CHANGE_TIMEOUT_S, "last change in force")
    time.sleep(1.0)
    elapsed_s = time.monotonic() - start_s
    nodes = len(run.processes)
    run.emit(
        "cpu_under_changes", (run.total_cpu_s() - cpu_s) / elapsed_s / nodes, "core"
    )
    run.emit(
        "platform_calls_per_change",
        (run.count_platform_calls() - calls) / CHANGE_COUNT,
        "",
    )
    if has_links:
        idle_bytes = run.values["idle_bytes"] * nodes * elapsed_s
        per_change = (
            (run.count_sent_bytes() - sent_bytes - idle_bytes) / CHANGE_COUNT / nodes
        )
        run.emit("bytes_per_change", per_change, "B/node")
    delays_s = []
    for version, answered_s in written:
        found_times = [find_times(process, version) for process in run.processes]
        missing = sum(not times for times in found_times)
        if missing:
            run.emit("nodes_without_version", missing, "")
        times = [times[0] for times in found_times if times]
        delays_s.append(max(0.0, max(times, default=answered_s) - answered_s))
    delays_s.sort()
    run.emit("convergence_p50", statistics.median(delays_s) * 1000, "ms")
    p99 = delays_s[min(len(delays_s) - 1, int(len(delays_s) * 0.99))]
    run.emit("convergence_p99", p99 * 1000, "ms")
    run.emit("convergence_max", delays_s[-1] * 1000, "ms")


def _measure_idle(run: Run, has_links: bool) -> None:
    sent_bytes = run.count_sent_bytes() if has_links else 0
    dials = run.count_dials() if has_links else 0
    calls, cpu_s, start_s = (
        run.count_platform_calls(),
        run.total_cpu_s(),
        time.monotonic(),
    )
    time.sleep(IDLE_DURATION_S)
    elapsed_s = time.monotonic() - start_s
    nodes = len(run.processes)
    run.emit("idle_cpu", (run.total_cpu_s() - cpu_s) / elapsed_s / nodes, "core")
    rate = (run.count_platform_calls() - calls) / elapsed_s
    run.emit("idle_platform_calls", rate, "1/s")
    run.emit("platform_watches_waiting", run.fetch_counters()["watches_waiting"], "")
    if has_links:
        sent_rate = (run.count_sent_bytes() - sent_bytes) / elapsed_s / nodes
        run.emit("idle_bytes", sent_rate, "B/s/node")
        run.emit(
            "idle_dials", (run.count_dials() - dials) / elapsed_s / nodes, "1/s/node"
        )
    rss_bytes = [_read_rss_bytes(process.pid) for process in run.processes]
    run.emit("rss_max", max(rss_bytes) / 2**20, "MB")


def _announce_upstream(host: Host, state: str, number: int) -> None:
    url = f"http://{host.admin_address}/lentilsill/upstreams/u{number}"
    body = {"service": f"service-{number}", "address": f"{host.ip}:8101"}
    data = json.dumps(body | {"slots": 6, "labels": {}, "state": state}).encode()
    with urllib.request.urlopen(
        urllib.request.Request(url, data, method="PUT"), timeout=5.0
    ) as resp:
        resp.read()


def _measure_churn(run: Run) -> None:
    rng = random.Random(SEED)
    sent_bytes, cpu_s, start_s = (
        run.count_sent_bytes(),
        run.total_cpu_s(),
        time.monotonic(),
    )
    count = 0
    while time.monotonic() - start_s < CHURN_DURATION_S:
        host = rng.choice(run.hosts)
        _announce_upstream(
            host, ("ready", "leaving")[count % 2], rng.randrange(DOCUMENT_COUNT)
        )
        count += 1
        time.sleep(1 / CHURN_CHANGES_PER_S)
    time.sleep(1.0)
    elapsed_s = time.monotonic() - start_s
    nodes = len(run.processes)
    rate = (run.count_sent_bytes() - sent_bytes) / elapsed_s / nodes
    run.emit("churn_bytes", rate, "B/s/node")
    per_change = (rate - run.values["idle_bytes"]) * elapsed_s / count
    run.emit("bytes_per_endpoint_change", per_change, "B/node")
    run.emit("churn_cpu", (run.total_cpu_s() - cpu_s) / elapsed_s / nodes, "core")


def _measure_mass_restart(run: Run) -> None:
    restarted = run.processes[::3]
    for process in restarted:
        process.kill()
    start_s = time.monotonic()
    for process in restarted:
        process.start()
    nodes_per_domain = len(run.hosts) // len(DOMAINS)

    def has_recovered() -> bool:
        hashes: dict[str, set[str]] = {}
        try:
            states = run.fetch_states()
        except OSError:
            return False
        for state in states:
            if not state["ready"] or state["members"] != nodes_per_domain:
                return False
            found = hashes.setdefault(state["domain"], set())
            found.add(state["membership"]["records_hash"])
        return all(len(found) == 1 for found in hashes.values())

    wait_until(has_recovered, MASS_RESTART_TIMEOUT_S, "recovery after the mass restart")
    run.emit("herd_recovery", time.monotonic() - start_s, "s")


def _run_nodes(second_octet: int, nodes: int, policy: str) -> dict[str, float]:
    sections = {"distribution": {"optimise_for": policy}}
    layout = Layout(second_octet, DOMAINS, nodes // len(DOMAINS), sections=sections)
    with running_cluster(layout) as cluster:
        for number in range(DOCUMENT_COUNT):
            _put_document(layout, number, "")
        hosts = list(layout.hosts)
        run = Run(cluster, [cluster.start_node(h) for h in hosts], hosts, policy)
        for host in hosts:
            cluster.wait_ready(host, READY_TIMEOUT_S)
        time.sleep(SETTLE_S)
        wait_until(run.is_settled, SETTLE_TIMEOUT_S, "no record left to repeat")
        _measure_idle(run, True)
        _measure_changes(run, _find_node_times, True)
        _measure_churn(run)
        _measure_mass_restart(run)
    return run.values


def _run_baseline(second_octet: int, nodes: int) -> dict[str, float]:
    layout = Layout(second_octet, DOMAINS, nodes // len(DOMAINS))
    with running_cluster(layout) as cluster:
        for number in range(DOCUMENT_COUNT):
            _put_document(layout, number, "")
        args = ["bench.baseline", layout.platform_url]
        started = [cluster.start(f"baseline-{i}", args) for i in range(nodes)]
        run = Run(cluster, started, [], "baseline")
        wait_until(
            lambda: run.fetch_counters()["watches_waiting"] == nodes,
            READY_TIMEOUT_S,
            "watches of the baseline",
        )
        _measure_idle(run, False)
        _measure_changes(run, _find_baseline_times, False)
    return run.values


def _emit_ratios(
    nodes: int, variant: str, values: dict[str, float], baseline: dict[str, float]
) -> None:
    for measure, value in values.items():
        if measure in baseline and value > 0:
            ratio = baseline[measure] / value
            labels = {"nodes": nodes, "way": variant, "seed": SEED, "version": VERSION}
            emit(f"ratio_{measure}", ratio, "baseline/node", **labels)


def main(argv: list[str]) -> None:
    """Measure all numbers of nodes, or those given as arguments."""
    node_counts = [int(arg) for arg in argv] or NODE_COUNTS
    second_octet = SECOND_OCTET_START
    for nodes in node_counts:
        baseline = _run_baseline(second_octet, nodes)
        for policy in POLICIES:
            second_octet += 1
            values = _run_nodes(second_octet, nodes, policy)
            _emit_ratios(nodes, policy, values, baseline)
        second_octet += 1


if __name__ == "__main__":
    main(sys.argv[1:])
