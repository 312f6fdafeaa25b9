"""Resident memory of a node: after the imports, with a configuration, and under load.

Run as ``python -m bench.node_memory [PART,...]``; prints JSON lines. Each part runs in
processes of its own:

- ``imports``: the entry point on the users' platform after its imports.
- ``configuration``: a node that reads 12 versions of a configuration with 2,440 routes
  and 75 organisations from the platform.
- ``load``: the entry node of `bench.latency` under calls through two nodes.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from harness.layout import Layout
from harness.processes import running_cluster

from .latency import LatencyRun, main_thread_cpu_s, start_services
from .organisations import SETTINGS, make_configuration, make_delta
from .raw_load import run_load
from .report import Report
from .results import describe_version, emit

__all__ = ["main"]

SECOND_OCTET = 79
VERSIONS = 12
HOSTS = 40
ROUTES_PER_HOST = 61
CHANGED_ROUTES = 25
LOADS = ((32, 4.0), (128, 8.0))
# Leaves out the packages that are installed only for the command line.
IMPORTS_PROGRAM = """
import sys
sys.modules.update(rich=None, typer=None)
import lentilsill.platform.__main__
print(open("/proc/self/status").read())
"""


def read_memory_mb(pid: int | str, field: str = "VmRSS") -> float:
    """Return a size of a process from ``/proc/PID/status`` in MB."""
    return _find_size_mb(Path(f"/proc/{pid}/status").read_text(), field)


def _find_size_mb(status: str, field: str) -> float:
    for line in status.splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) / 1024
    raise LookupError(field)


def _make_answer(version: int) -> bytes:
    """Return the platform's answer to a list of the configuration."""
    cfg = make_configuration(75, 3)
    route = cfg["virtual_hosts"][0]["path_routes"][0]
    cfg["version"] = f"{version:x}"
    cfg["virtual_hosts"] = [
        {
            "host": f"host{host}.example",
            "path_routes": [
                route
                | {
                    "name": f"route-{host}-{number}",
                    "path_prefix": f"/area{host}/path{number}",
                    "timeout_ms": 1000 + 100 * (number % 5),
                    "target_latency_ms": 300 + 100 * (number % 7),
                    "priority": number % 4,
                    "max_attempts": 1 + number % 3,
                }
                for number in range(ROUTES_PER_HOST)
            ],
        }
        for host in range(HOSTS)
    ]
    for number in range(CHANGED_ROUTES):
        host = cfg["virtual_hosts"][(number + version) % HOSTS]
        host["path_routes"][number]["timeout_ms"] += version
    metadata = {"name": "main", "revision": version}
    items = [{"metadata": metadata, "spec": cfg}]
    return json.dumps({"items": items, "store_revision": version}).encode()


def _print_configuration() -> None:
    """Apply the versions that are read from standard input, one a line."""
    import structlog

    from lentilsill.daemon.controllers.bundle import BundleController
    from lentilsill.daemon.node import make_context
    from lentilsill.daemon.program import _configure_gc
    from lentilsill.documents import bundle_text
    from lentilsill.platform.answers import ListBody, parse_page
    from lentilsill.platform.configuration import ConfigurationDecoder
    from lentilsill.settings import NodeSettings

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    _configure_gc()
    started_mb = read_memory_mb("self")
    bundle = BundleController(make_context(NodeSettings.model_validate(SETTINGS)))
    decode = ConfigurationDecoder()
    cpu_s = 0.0
    for version in range(1, VERSIONS + 1):
        body = sys.stdin.buffer.readline()
        started_at_s = time.process_time()
        page = parse_page(ListBody, body).unwrap()
        value = decode(page.items[0].spec)
        del body, page
        delta = make_delta(version, bundle_text(value))
        del value
        bundle.merge(delta)
        del delta
        if version > 1:
            cpu_s += time.process_time() - started_at_s
    print(read_memory_mb("self", "VmHWM") - started_mb, cpu_s / (VERSIONS - 1) * 1000)


def _run_python(*args: str, data: bytes = b"") -> str:
    command = [sys.executable, *args]
    done = subprocess.run(command, input=data, capture_output=True, check=True)
    return done.stdout.decode()


def _measure_imports(labels: dict[str, Any]) -> None:
    size_mb = _find_size_mb(_run_python("-c", IMPORTS_PROGRAM), "VmRSS")
    emit("node memory after imports", size_mb, "MB", **labels)


def _measure_configuration(labels: dict[str, Any]) -> None:
    answers = [_make_answer(version) for version in range(1, VERSIONS + 1)]
    args = ("-m", "bench.node_memory", "--configuration")
    peak_mb, cpu_ms = _run_python(*args, data=b"\n".join(answers)).split()
    emit("configuration peak memory", float(peak_mb), "MB", **labels)
    emit("configuration cpu of a further version", float(cpu_ms), "ms", **labels)


def _measure_load(labels: dict[str, Any]) -> None:
    with running_cluster(Layout(SECOND_OCTET, ("lahore",), 3)) as cluster:
        start_services(cluster)
        run = LatencyRun(cluster, Report(3, 0, ""))
        pid = run.node_pids[0]
        emit("entry node at rest", read_memory_mb(pid), "MB", **labels)
        for concurrency, load_s in LOADS:
            cpu_s = main_thread_cpu_s(pid)
            requests = run.make_requests("two_nodes", "get")
            samples = run_load(run.entry_address, requests, concurrency, load_s)
            cpu_us = (main_thread_cpu_s(pid) - cpu_s) / samples.calls * 1e6
            size = {"concurrency": concurrency, **labels}
            emit("entry node peak", read_memory_mb(pid, "VmHWM"), "MB", **size)
            emit("entry node cpu per call", cpu_us, "us", **size)


PARTS: dict[str, Callable[[dict[str, Any]], None]] = {
    "imports": _measure_imports,
    "configuration": _measure_configuration,
    "load": _measure_load,
}


def main(argv: list[str]) -> int:
    """Measure the named parts, or all; `--configuration` serves the part."""
    if argv == ["--configuration"]:
        _print_configuration()
    else:
        labels = {"version": describe_version()}
        for name in argv[0].split(",") if argv else PARTS:
            PARTS[name](labels)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
