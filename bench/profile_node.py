"""Profiles nodes under load: ``python -m bench.profile_node [PATH KIND CONCURRENCY]``.

Starts the nodes of `bench.latency`, profiles the first two with cProfile under a load
of calls through two nodes unless PATH is given, and prints the functions with the
longest own time (``tottime``). The profiler itself about doubles the time per call.
"""

import cProfile
import os
import pstats
import signal
import sys
from pathlib import Path

from harness.layout import Host, Layout
from harness.processes import Cluster, running_cluster, wait_until

from .latency import LatencyRun, start_services
from .raw_load import run_load
from .report import Report

__all__ = ["main"]

SECOND_OCTET = 78
LOAD_S = 3.0
MAX_FUNCTIONS = 45


def _run_node(settings: str, stats_path: str) -> None:
    """Run a node; a first SIGUSR1 starts the profiler, a second writes its data."""
    from lentilsill.daemon.main import app

    profile = cProfile.Profile()
    is_profiling = False

    def toggle(signal_number: int, frame: object) -> None:
        nonlocal is_profiling
        if not is_profiling:
            is_profiling = True
            profile.enable()
        else:
            profile.disable()
            profile.dump_stats(stats_path + ".part")
            os.rename(stats_path + ".part", stats_path)

    signal.signal(signal.SIGUSR1, toggle)
    app(["--settings", settings])


class _ProfiledCluster(Cluster):
    def start(self, name: str, args: list[str]):
        if args[0] == "lentilsill.daemon.main":
            stats_path = str(self.folder / f"{name}.prof")
            args = ["bench.profile_node", "--node", args[2], stats_path]
        return super().start(name, args)


def _profile_nodes(
    cluster: Cluster, call_path: str, kind: str, concurrency: int
) -> None:
    hosts: tuple[Host, ...] = cluster.layout.hosts
    run = LatencyRun(cluster, Report(len(hosts), 0, ""))
    address = run.targets[call_path][0]
    run_load(address, run.make_requests(call_path, kind), 8, 0.5)
    nodes = [cluster.processes[host.node] for host in hosts[:2]]
    for node in nodes:
        node.send_signal(signal.SIGUSR1)
    run_load(address, run.make_requests(call_path, kind), concurrency, LOAD_S)
    for node in nodes:
        node.send_signal(signal.SIGUSR1)

    for node in nodes:
        stats_path = Path(cluster.folder / f"{node.name}.prof")
        wait_until(stats_path.exists, 5, "profile")
        print(f"== {node.name}")
        pstats.Stats(str(stats_path)).sort_stats("tottime").print_stats(MAX_FUNCTIONS)


def main(argv: list[str]) -> int:
    """Run a node that can be profiled (`--node`), or the whole measurement."""
    if argv[:1] == ["--node"]:
        _run_node(argv[1], argv[2])
        return 0
    call_path, kind, concurrency = (
        (*argv, "two_nodes", "get", "1")[:3] if argv else ("two_nodes", "get", "1")
    )
    layout = Layout(SECOND_OCTET, ("lahore",), 3)
    with running_cluster(layout) as cluster:
        cluster.__class__ = _ProfiledCluster
        start_services(cluster)
        _profile_nodes(cluster, call_path, kind, int(concurrency))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
