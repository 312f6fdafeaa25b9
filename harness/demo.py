"""Demonstration: moves live traffic of three domains to new upstreams.

Prints each step with its measured time, checks the results, and ends with
``demo: ok`` or ``demo: failed: <reason>``.
"""

import asyncio
import json
import re
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import json5

from standins.caller import Caller, CallPlan, CallRecord

from .layout import Layout
from .processes import ROOT, Cluster, running_cluster

__all__ = ["DemoError", "main"]

EXAMPLES = ROOT / "examples" / "thandak-wapsi"
DOMAINS = ("lahore", "faisalabad", "multan")
SERVICES = ("slots", "ledger", "inventory")
SECOND_OCTET = 40
# Steps that run when the bound is reached may add STEP_BOUND_S; less than 60 s
# in all.
BOUND_S = 45.0
STEP_BOUND_S = 10.0
CLI_BOUND_S = 12.0
# Calls under way: far below the 18 slots of a service, so that a refusal is a
# fault and not a full queue.
CONCURRENCY = 6
CALLS_PER_CHECK = 60
SERVICE_MS = 10.0
MOVED = "slots"

PLANS = (
    CallPlan("/slots/lookup/1", service_ms=SERVICE_MS),
    CallPlan("/slots/book", "POST", False, b"slot 7", service_ms=SERVICE_MS),
    CallPlan("/ledger/balance/3", service_ms=SERVICE_MS),
    CallPlan("/ledger/pickup", "POST", False, b"3 packs", True, service_ms=SERVICE_MS),
    CallPlan("/slots/book", "POST", False, b"slot 9", True, service_ms=SERVICE_MS),
)
MOVED_PLANS = tuple(plan for plan in PLANS if plan.path.startswith(f"/{MOVED}/"))

T = TypeVar("T")


class DemoError(Exception):
    """A check of the demonstration failed."""


@dataclass
class Demo:
    """Processes, callers and the load of the demonstration."""

    cluster: Cluster
    caller: Caller
    is_stopped: bool = False
    base_line: str = ""
    start_s: float = field(default_factory=time.monotonic)

    async def step(self, title: str, work: Callable[[], Awaitable[T]]) -> T:
        """Run one step and print its time."""
        start_s = time.monotonic()
        result = await work()
        end_s = time.monotonic()
        note = f": {result}" if isinstance(result, str) else ""
        total_s = end_s - self.start_s
        print(f"{total_s:6.2f} s  {title} ({end_s - start_s:.2f} s){note}", flush=True)
        return result

    async def cli(self, *args: str) -> str:
        """Run `lentilsill` and give its output."""
        command = [sys.executable, "-m", "lentilsill.cli.main", *args]
        if args[0] != "check":
            command += ["--platform", self.cluster.layout.platform_url]

        def run() -> subprocess.CompletedProcess[str]:
            return subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=CLI_BOUND_S
            )

        done = await asyncio.to_thread(run)
        if done.returncode != 0:
            raise DemoError(f"lentilsill {args[0]}: {done.stdout}{done.stderr}")
        return done.stdout

    async def apply(self, path: Path) -> int:
        """Apply a document and give its version."""
        output = await self.cli("apply", str(path))
        match = re.search(r"written as version (\d+)", output)
        if match is None:
            raise DemoError(f"no version in the output of apply: {output}")
        return int(match.group(1))

    async def wait_in_force(self, service: str, version: int) -> None:
        """Wait until every node has a version in force."""
        options = [f"--domain={domain}" for domain in DOMAINS]
        wait = f"--wait={service}@{version}"
        bound = f"--timeout-s={STEP_BOUND_S:g}"
        await self.cli("status", wait, bound, *options)

    # Steps

    async def start_nodes(self) -> str:
        """Start all nodes and wait until they take calls."""
        hosts = self.cluster.layout.hosts
        for host in hosts:
            self.cluster.start_node(host)
        for host in hosts:
            await asyncio.to_thread(self.cluster.wait_ready, host, STEP_BOUND_S)
        return f"{len(hosts)} nodes ready"

    async def apply_examples(self) -> str:
        """Apply the documents of the examples and wait for them."""
        versions = {}
        for service in SERVICES:
            versions[service] = await self.apply(EXAMPLES / f"{service}.json5")
        for service, version in versions.items():
            await self.wait_in_force(service, version)
        return ", ".join(f"{name} {version}" for name, version in versions.items())

    async def start_workers(self) -> str:
        """Start one worker per host and wait until every service answers."""
        count = self._start_release("1", 0, SERVICES)
        for plan in PLANS:
            await self._answered(plan)
        return f"{count} workers"

    async def start_successors(self) -> str:
        """Start the new workers of the moved service, with their own label."""
        return f"{self._start_release('2', 1, (MOVED,))} workers"

    def _start_release(
        self, release: str, number: int, services: tuple[str, ...]
    ) -> int:
        count = 0
        hosts = self.cluster.layout.hosts
        for index, host in enumerate(hosts):
            service = SERVICES[index % len(SERVICES)]
            if service in services:
                self.cluster.start_worker(host, service, number, release)
                count += 1
        return count

    async def _answered(self, plan: CallPlan) -> None:
        """Probe with calls of one kind until one is answered on every node."""
        probe = Caller(self.caller.nodes)
        end_s = time.monotonic() + STEP_BOUND_S
        waiting = list(self.caller.nodes)
        try:
            while waiting:
                record = await probe.call(plan, node=waiting[0])
                if record.outcome == "answered":
                    waiting.pop(0)
                elif record.outcome not in ("not_run", "no_route"):
                    raise DemoError(f"{plan.path}: {record.outcome}: {record.reason}")
                elif time.monotonic() > end_s:
                    raise DemoError(f"{plan.path} on {waiting[0]}: {record.reason}")
        finally:
            probe.close()

    async def preview(self) -> str:
        """Add the new upstream set with a route of its own, and try it.

        Moving all traffic before every node knows the new upstreams would
        have calls refused.
        """
        value = await self._read_document()
        value["upstream_sets"]["next"] = {"labels": {"release": "2"}, "leaving": False}
        target = {"service": MOVED, "upstream_set": "next", "weight": 100}
        route = value["routes"][0] | {"name": "preview", "targets": [target]}
        route["match"] = {"path_prefix": "/preview", "methods": []}
        value["routes"].append(route)
        version = await self._edit(value)
        await self._answered(CallPlan(f"/{MOVED}/preview", service_ms=SERVICE_MS))
        return f"{MOVED} {version}, new upstreams answer on every node"

    async def move(self) -> str:
        """Point the routes at the new upstreams; the old ones leave."""
        value = await self._read_document()
        value["upstream_sets"]["current"]["leaving"] = True
        for route in value["routes"]:
            for target in route["targets"]:
                target["upstream_set"] = "next"
        version = await self._edit(value)
        return f"{MOVED} {version} in force on every node"

    async def _read_document(self) -> Any:
        text = await self.cli("get", MOVED)
        self.base_line = text.splitlines()[0]
        return json5.loads(text)

    async def _edit(self, value: Any) -> int:
        path = self.cluster.folder / f"{MOVED}.json5"
        text = f"{self.base_line}\n{json.dumps(value, indent=2)}\n"
        path.write_text(text, encoding="utf-8")
        await self.cli("check", str(path))
        version = await self.apply(path)
        await self.wait_in_force(MOVED, version)
        return version

    async def check_moved(self) -> str:
        """Check that calls made from now on run on the new upstreams only."""
        records = await self.caller.run(
            MOVED_PLANS,
            calls=CALLS_PER_CHECK,
            concurrency=CONCURRENCY,
            bound_s=STEP_BOUND_S,
        )
        upstreams = Counter(record.upstream for record in records)
        old = [name for name in upstreams if name.startswith(f"{MOVED}-1-")]
        if old:
            raise DemoError(f"calls ran on old upstreams after the move: {old}")
        return f"{len(records)} calls on {len(upstreams)} new upstreams"

    async def check_status(self) -> str:
        """Check that every node of every domain has the same versions."""
        reports = json.loads(await self.cli("status", "--json"))
        if sorted(report["domain"] for report in reports) != sorted(DOMAINS):
            raise DemoError(f"domains that report: {reports}")
        versions: dict[str, set[int]] = {}
        for report in reports:
            for name, entry in report["services"].items():
                versions.setdefault(name, set()).add(entry["in_force"])
                if not entry["nodes"] == entry["nodes_heard"] == 3:
                    raise DemoError(f"{report['domain']}: {name}: {entry}")
        if sorted(versions) != sorted(SERVICES) or any(
            len(found) != 1 for found in versions.values()
        ):
            raise DemoError(f"versions differ: {versions}")
        return ", ".join(f"{name} {min(v)}" for name, v in sorted(versions.items()))

    async def retire(self) -> str:
        """End the old workers gracefully while the load runs."""
        return await self._end([n for n in self._names() if n.startswith(f"{MOVED}-1")])

    async def shut_down(self) -> str:
        """End the other workers, then the nodes, gracefully."""
        nodes = [host.node for host in self.cluster.layout.hosts]
        names = [name for name in self._names() if name not in nodes]
        workers = await self._end([name for name in names if name != "platform"])
        return f"{workers} workers, {await self._end(nodes)} nodes"

    def _names(self) -> list[str]:
        running = self.cluster.processes.items()
        return [name for name, process in running if process.is_running]

    async def _end(self, names: list[str]) -> str:
        for name in names:
            self.cluster.processes[name].terminate()
        for name in names:
            process = self.cluster.processes[name]
            status = await asyncio.to_thread(process.wait, STEP_BOUND_S)
            if status != 0:
                tail = process.log_tail()
                raise DemoError(f"{name}: exit status {status}\n{tail}")
        return str(len(names))

    async def load(self) -> list[CallRecord]:
        """Make calls of both kinds until the load is stopped."""
        return await self.caller.run(
            PLANS,
            calls=1_000_000,
            concurrency=CONCURRENCY,
            bound_s=BOUND_S,
            stop=lambda: self.is_stopped,
        )

    def check_calls(self) -> str:
        """Check the history of all calls against the executions."""
        records = self.caller.records
        outcomes = Counter(record.outcome for record in records)
        bad = [r for r in records if r.outcome != "answered"]
        if bad:
            raise DemoError(f"outcomes {dict(outcomes)}, first: {bad[0]}")
        found = self.cluster.executions()
        runs = Counter(run["call_id"] for run in found)
        once = [record for record in records if not record.idempotent]
        wrong = {r.call_id: runs[r.call_id] for r in once if runs[r.call_id] != 1}
        if wrong or not once or len(once) == len(records):
            raise DemoError(f"executions of non-idempotent calls: {wrong}")
        keys = Counter(run["request_key"] for run in found if run["request_key"])
        repeated = [key for key, number in keys.items() if number > 1]
        if repeated:
            raise DemoError(f"request keys executed twice: {repeated}")
        return (
            f"{len(records)} calls answered, {len(once)} of them non-idempotent, "
            f"{len(keys)} with a key, none twice"
        )


async def run_demo(cluster: Cluster) -> None:
    """Run all steps; raises DemoError or TimeoutError."""
    nodes = [host.caller_address for host in cluster.layout.hosts]
    demo = Demo(cluster, Caller(nodes))
    await demo.step("start nodes", demo.start_nodes)
    await demo.step("apply documents", demo.apply_examples)
    await demo.step("start workers", demo.start_workers)
    load = asyncio.ensure_future(demo.load())
    try:
        await demo.step("start new workers under load", demo.start_successors)
        await demo.step("add the new upstreams to the document", demo.preview)
        await demo.step("move traffic by editing the document", demo.move)
        await demo.step("check where calls run", demo.check_moved)
        await demo.step("read back what is in force", demo.check_status)
        await demo.step("retire old workers under load", demo.retire)
    finally:
        demo.is_stopped = True
        await load
    await demo.step("shut down", demo.shut_down)
    print(f"          {demo.check_calls()}")
    demo.caller.close()


def main() -> int:
    """Run the demonstration; the exit status is 0 when every check holds."""
    layout = Layout(SECOND_OCTET, DOMAINS, len(SERVICES))
    try:
        with running_cluster(layout) as cluster:
            asyncio.run(asyncio.wait_for(run_demo(cluster), BOUND_S))
    except TimeoutError as exc:
        print(f"demo: failed: {exc or f'not done within {BOUND_S:g} s'}")
        return 1
    except (DemoError, RuntimeError, OSError) as exc:
        print(f"demo: failed: {exc}")
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
