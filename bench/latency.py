"""Latency that nodes add to calls, and the CPU time of the nodes per call.

Run as ``python -m bench.latency [KIND,... [CONCURRENCY,...]]``. Direct calls to an
upstream, calls through one node and calls through two nodes alternate, so that all are
measured under the same load of the machine. Prints one JSON object per line and takes
less than 60 s.
"""

import itertools
import sys
import time
from collections.abc import Iterator, Sequence
from functools import partial
from pathlib import Path

from harness.layout import Layout
from harness.objects import write_object
from harness.processes import Cluster, fetch_json, running_cluster, wait_until

from .raw_load import Samples, make_request, run_load
from .report import Report

__all__ = ["main", "start_services"]

SECOND_OCTET = 77
SEED = 1
ROUND_S = 0.4
ROUNDS = 3
WARM_UP_S = 0.25
CONCURRENCIES = (1, 8, 32)
KINDS = ("get", "post", "post_key")
KEYS_PER_ROUND = 1000
SLOTS = 64
START_TIMEOUT_S = 15.0


def make_document(service: str, slots: int = SLOTS, queue: int = SLOTS) -> dict:
    """Return a service's document: GET is idempotent, POST isn't."""
    targets = [{"service": service, "upstream_set": "all", "weight": 1}]
    base_route = {"targets": targets, "deadline_ms": 2000}
    return {
        "service": service,
        "upstream_sets": {"all": {"labels": {}, "leaving": False}},
        "routes": [
            base_route
            | {
                "name": method.lower(),
                "match": {"path_prefix": "/", "methods": [method]},
                "idempotent": method == "GET",
            }
            for method in ("GET", "POST")
        ],
        "limits": {"slots_per_upstream": slots, "queue_per_upstream": queue},
        "requires": [],
    }


def put_document(cluster: Cluster, document: dict) -> None:
    """Write a service's document to the platform."""
    url = cluster.layout.platform_url
    write_object(url, "service", document["service"], document)


def is_answering(address: str, path: str) -> bool:
    """Return whether a GET request is answered with 200."""
    try:
        fetch_json(f"http://{address}{path}")
    except OSError:
        return False
    return True


def start_services(cluster: Cluster) -> None:
    """Start three nodes, upstream `near` on the first host and `far` on the second."""
    hosts = cluster.layout.hosts
    for service in ("near", "far"):
        put_document(cluster, make_document(service))
    for host in hosts:
        cluster.start_node(host)
    for host in hosts:
        cluster.wait_ready(host)
    for service, host in zip(("near", "far"), hosts, strict=False):
        args = ["bench.raw_upstream", "--service", service, "--name", service]
        args += ["--address", host.worker_address(0), "--admin", host.admin_address]
        cluster.start(service, [*args, "--slots", str(SLOTS)])
    entry_address = hosts[0].caller_address
    for service in ("near", "far"):
        condition = partial(is_answering, entry_address, f"/{service}/a")
        wait_until(condition, START_TIMEOUT_S, f"{service} answers")


def main_thread_cpu_s(pid: int) -> float:
    """Return the CPU time of a process's main thread, from scheduler statistics."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class LatencyRun:
    """Calls to a running cluster, and the report of their latency and CPU time."""

    def __init__(self, cluster: Cluster, report: Report) -> None:
        hosts = cluster.layout.hosts
        self.cluster = cluster
        self.report = report
        self.entry_address = hosts[0].caller_address
        self.node_pids = [cluster.processes[host.node].pid for host in hosts[:2]]
        self.targets = {
            "direct": (hosts[1].worker_address(0), "/a"),
            "one_node": (self.entry_address, "/near/a"),
            "two_nodes": (self.entry_address, "/far/a"),
        }

    def make_requests(self, call_path: str, kind: str) -> Iterator[bytes]:
        """Return endless requests of one kind, or KEYS_PER_ROUND requests with keys."""
        address, path = self.targets[call_path]
        if kind != "post_key":
            method = "GET" if kind == "get" else "POST"
            return itertools.repeat(make_request(method, path, address))
        url = f"http://{self.entry_address}/lentilsill/keys?count={KEYS_PER_ROUND}"
        keys = fetch_json(url, {})["keys"]
        return iter([make_request("POST", path, address, key) for key in keys])

    def measure(self, kind: str, concurrency: int) -> None:
        """Measure one kind of call at one concurrency, alternating the call paths."""
        call_paths = [
            call_path
            for call_path in self.targets
            if kind != "post_key" or call_path != "direct"
        ]
        totals = {call_path: Samples() for call_path in call_paths}
        cpu_s = {call_path: [0.0, 0.0] for call_path in call_paths}
        for _ in range(ROUNDS):
            for call_path in call_paths:
                requests = self.make_requests(call_path, kind)
                cpu_before_s = [main_thread_cpu_s(pid) for pid in self.node_pids]
                round_samples = run_load(
                    self.targets[call_path][0], requests, concurrency, ROUND_S
                )
                for i, pid in enumerate(self.node_pids):
                    cpu_s[call_path][i] += main_thread_cpu_s(pid) - cpu_before_s[i]
                if set(round_samples.status_counts) != {200}:
                    raise RuntimeError(
                        f"{call_path} {kind}: statuses {round_samples.status_counts}"
                    )
                totals[call_path].latencies_us.add(round_samples.latencies_us)
                totals[call_path].elapsed_s += round_samples.elapsed_s
        for call_path, samples in totals.items():
            self._report_call_path(
                f"{call_path}.{kind}.c{concurrency}", samples, cpu_s[call_path]
            )
        if "direct" in totals:
            self._report_added_latency(f"{kind}.c{concurrency}", totals)

    def _report_call_path(
        self, name: str, samples: Samples, cpu_s: list[float]
    ) -> None:
        add = self.report.add
        add(f"{name}.p50", samples.percentile_ms(50), "ms")
        add(f"{name}.p99", samples.percentile_ms(99), "ms")
        add(f"{name}.rate", samples.calls / samples.elapsed_s, "calls/s")
        if not name.startswith("direct"):
            add(f"{name}.entry_cpu", cpu_s[0] / samples.calls * 1e6, "us/call")
        if name.startswith("two_nodes"):
            add(f"{name}.destination_cpu", cpu_s[1] / samples.calls * 1e6, "us/call")

    def _report_added_latency(self, name: str, totals: dict[str, Samples]) -> None:
        for call_path in ("one_node", "two_nodes"):
            for percent in (50, 99):
                direct = totals["direct"].percentile_ms(percent)
                added = totals[call_path].percentile_ms(percent) - direct
                self.report.add(f"added.{call_path}.{name}.p{percent}", added, "ms")

    def run(self, kinds: Sequence[str], concurrencies: Sequence[int]) -> None:
        """Warm up, then measure each kind at each concurrency."""
        for call_path, (address, _) in self.targets.items():
            run_load(address, self.make_requests(call_path, "get"), 8, WARM_UP_S)
        for concurrency in concurrencies:
            for kind in kinds:
                self.measure(kind, concurrency)


def main(argv: list[str]) -> int:
    """Run the measurements: ``[KIND,... [CONCURRENCY,...]]``."""
    kinds = argv[0].split(",") if argv else KINDS
    concurrencies = (
        [int(text) for text in argv[1].split(",")] if argv[1:] else CONCURRENCIES
    )
    start_s = time.monotonic()
    layout = Layout(SECOND_OCTET, ("lahore",), 3)
    with running_cluster(layout) as cluster:
        start_services(cluster)
        LatencyRun(cluster, Report(len(layout.hosts), SEED)).run(kinds, concurrencies)
    print(f"{time.monotonic() - start_s:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
