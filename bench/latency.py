"""Latency that nodes add to calls, and what a call costs them.

Run as ``python -m bench.latency [KIND,... [CONCURRENCY,...]]``. Direct calls to an
upstream, calls over one node and calls over two nodes take turns, so that all see
the same machine. One JSON object per line; under 60 s.
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

BASE = 77
SEED = 1
ROUND_S = 0.4
ROUNDS = 3
WARM_UP_S = 0.25
CONCURRENCIES = (1, 8, 32)
KINDS = ("get", "post", "post_key")
KEYS_PER_ROUND = 1000
SLOTS = 64
START_BOUND_S = 15.0


def make_document(service: str, slots: int = SLOTS, queue: int = SLOTS) -> dict:
    """Make a document: GET is idempotent, POST is not."""
    targets = [{"service": service, "upstream_set": "all", "weight": 1}]
    route = {"targets": targets, "deadline_ms": 2000}
    return {
        "service": service,
        "upstream_sets": {"all": {"labels": {}, "leaving": False}},
        "routes": [
            route
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
    """Write a document to the platform."""
    url = cluster.layout.platform_url
    write_object(url, "service", document["service"], document)


def answers(address: str, path: str) -> bool:
    """Whether a GET is answered with 200."""
    try:
        fetch_json(f"http://{address}{path}")
    except OSError:
        return False
    return True


def start_services(cluster: Cluster) -> None:
    """Start three nodes; `near` runs beside the first, `far` beside the second."""
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
    entry = hosts[0].caller_address
    for service in ("near", "far"):
        condition = partial(answers, entry, f"/{service}/a")
        wait_until(condition, START_BOUND_S, f"{service} answers")


def cpu_s(pid: int) -> float:
    """CPU time of a process's main thread, from the scheduler's statistics."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class Bench:
    """One run."""

    def __init__(self, cluster: Cluster, report: Report) -> None:
        hosts = cluster.layout.hosts
        self.cluster = cluster
        self.report = report
        self.entry = hosts[0].caller_address
        self.nodes = [cluster.processes[host.node].pid for host in hosts[:2]]
        self.paths = {
            "direct": (hosts[1].worker_address(0), "/a"),
            "one_node": (self.entry, "/near/a"),
            "two_nodes": (self.entry, "/far/a"),
        }

    def requests(self, way: str, kind: str) -> Iterator[bytes]:
        """Give requests of one kind."""
        address, path = self.paths[way]
        if kind != "post_key":
            method = "GET" if kind == "get" else "POST"
            return itertools.repeat(make_request(method, path, address))
        url = f"http://{self.entry}/lentilsill/keys?count={KEYS_PER_ROUND}"
        keys = fetch_json(url, {})["keys"]
        return iter([make_request("POST", path, address, key) for key in keys])

    def measure(self, kind: str, concurrency: int) -> None:
        """Measure one kind of call at one concurrency, all ways in turns."""
        ways = [way for way in self.paths if kind != "post_key" or way != "direct"]
        total = {way: Samples() for way in ways}
        cpu = {way: [0.0, 0.0] for way in ways}
        for _ in range(ROUNDS):
            for way in ways:
                requests = self.requests(way, kind)
                before = [cpu_s(pid) for pid in self.nodes]
                got = run_load(self.paths[way][0], requests, concurrency, ROUND_S)
                for i, pid in enumerate(self.nodes):
                    cpu[way][i] += cpu_s(pid) - before[i]
                if set(got.statuses) != {200}:
                    raise RuntimeError(f"{way} {kind}: statuses {got.statuses}")
                total[way].hist.add(got.hist)
                total[way].elapsed_s += got.elapsed_s
        for way, samples in total.items():
            self._write(f"{way}.{kind}.c{concurrency}", samples, cpu[way])
        if "direct" in total:
            self._write_added(f"{kind}.c{concurrency}", total)

    def _write(self, name: str, samples: Samples, cpu: list[float]) -> None:
        add = self.report.add
        add(f"{name}.p50", samples.percentile_ms(50), "ms")
        add(f"{name}.p99", samples.percentile_ms(99), "ms")
        add(f"{name}.rate", samples.calls / samples.elapsed_s, "calls/s")
        if not name.startswith("direct"):
            add(f"{name}.entry_cpu", cpu[0] / samples.calls * 1e6, "us/call")
        if name.startswith("two_nodes"):
            add(f"{name}.destination_cpu", cpu[1] / samples.calls * 1e6, "us/call")

    def _write_added(self, name: str, total: dict[str, Samples]) -> None:
        for way in ("one_node", "two_nodes"):
            for percent in (50, 99):
                direct = total["direct"].percentile_ms(percent)
                added = total[way].percentile_ms(percent) - direct
                self.report.add(f"added.{way}.{name}.p{percent}", added, "ms")

    def run(self, kinds: Sequence[str], concurrencies: Sequence[int]) -> None:
        """Warm up and measure."""
        for way, (address, _) in self.paths.items():
            run_load(address, self.requests(way, "get"), 8, WARM_UP_S)
        for concurrency in concurrencies:
            for kind in kinds:
                self.measure(kind, concurrency)


def main(argv: list[str]) -> int:
    """Run the measurements: ``[KIND,... [CONCURRENCY,...]]``."""
    kinds = argv[0].split(",") if argv else KINDS
    concurrencies = (
        [int(text) for text in argv[1].split(",")] if argv[1:] else CONCURRENCIES
    )
    start = time.monotonic()
    layout = Layout(BASE, ("lahore",), 3)
    with running_cluster(layout) as cluster:
        start_services(cluster)
        Bench(cluster, Report(len(layout.hosts), SEED)).run(kinds, concurrencies)
    print(f"{time.monotonic() - start:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
