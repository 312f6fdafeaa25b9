"""Profiles a node under load, in process: ``python -m bench.profile_node KIND``.

Runs the nodes of `bench.latency` with the first two under cProfile, loads them
with calls over two nodes, and prints the functions with the most time of their
own. The profiler itself about doubles the time per call.
"""

import cProfile
import os
import pstats
import signal
import sys
from pathlib import Path

from harness.layout import Host, Layout
from harness.processes import Cluster, running_cluster, wait_until

from .latency import Bench, start_services
from .raw_load import run_load
from .report import Report

__all__ = ["main"]

BASE = 78
LOAD_S = 3.0
LINES = 45


def _run_node(settings: str, out: str) -> None:
    """Run a node; SIGUSR1 starts the profiler and a second one writes it."""
    from lentilsill.daemon.main import app

    profile = cProfile.Profile()
    running = False

    def toggle(number: int, frame: object) -> None:
        nonlocal running
        if not running:
            running = True
            profile.enable()
        else:
            profile.disable()
            profile.dump_stats(out + ".part")
            os.rename(out + ".part", out)

    signal.signal(signal.SIGUSR1, toggle)
    app(["--settings", settings])


class _ProfiledCluster(Cluster):
    def start(self, name: str, args: list[str]):
        if args[0] == "lentilsill.daemon.main":
            out = str(self.folder / f"{name}.prof")
            args = ["bench.profile_node", "--node", args[2], out]
        return super().start(name, args)


def _profile(cluster: Cluster, way: str, kind: str, concurrency: int) -> None:
    hosts: tuple[Host, ...] = cluster.layout.hosts
    bench = Bench(cluster, Report(len(hosts), 0, ""))
    address = bench.paths[way][0]
    run_load(address, bench.requests(way, kind), 8, 0.5)
    nodes = [cluster.processes[host.node] for host in hosts[:2]]
    for node in nodes:
        node.send_signal(signal.SIGUSR1)
    run_load(address, bench.requests(way, kind), concurrency, LOAD_S)
    for node in nodes:
        node.send_signal(signal.SIGUSR1)

    for node in nodes:
        out = Path(cluster.folder / f"{node.name}.prof")
        wait_until(out.exists, 5, "profile")
        print(f"== {node.name}")
        pstats.Stats(str(out)).sort_stats("tottime").print_stats(LINES)


def main(argv: list[str]) -> int:
    """Run a profiled node (`--node`), or the whole measurement."""
    if argv[:1] == ["--node"]:
        _run_node(argv[1], argv[2])
        return 0
    way, kind, concurrency = (
        (*argv, "two_nodes", "get", "1")[:3] if argv else ("two_nodes", "get", "1")
    )
    layout = Layout(BASE, ("lahore",), 3)
    with running_cluster(layout) as cluster:
        cluster.__class__ = _ProfiledCluster
        start_services(cluster)
        _profile(cluster, way, kind, int(concurrency))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
