"""Demonstration: moves the live traffic of three domains to new upstreams.

Prints each step with the time it took, checks the results, and ends with
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
# A step that is in progress when this bound is reached can take STEP_TIMEOUT_S
# longer, so that the demonstration ends in less than 60 s.
TOTAL_TIMEOUT_S = 45.0
STEP_TIMEOUT_S = 10.0
CLI_TIMEOUT_S = 12.0
# Concurrent calls: far below the 18 slots of a service, so that a refusal means a
# fault and not a full queue.
CONCURRENCY = 6
CALLS_PER_CHECK = 60
SERVICE_MS = 10.0
MIGRATED_SERVICE = "slots"

PLANS = (
    CallPlan("/slots/lookup/1", service_ms=SERVICE_MS),
    CallPlan("/slots/book", "POST", False, b"slot 7", service_ms=SERVICE_MS),
    CallPlan("/ledger/balance/3", service_ms=SERVICE_MS),
    CallPlan("/ledger/pickup", "POST", False, b"3 packs", True, service_ms=SERVICE_MS),
    CallPlan("/slots/book", "POST", False, b"slot 9", True, service_ms=SERVICE_MS),
)
MIGRATED_SERVICE_PLANS = tuple(
    plan for plan in PLANS if plan.path.startswith(f"/{MIGRATED_SERVICE}/")
)

T = TypeVar("T")


class DemoError(Exception):
    """A check of the demonstration failed."""


@dataclass
class Demo:
    """Steps of the demonstration, with the processes and the caller they use."""

    cluster: Cluster
    caller: Caller
    is_stopped: bool = False
    base_version_line: str = ""
    start_s: float = field(default_factory=time.monotonic)

    async def step(self, title: str, work: Callable[[], Awaitable[T]]) -> T:
        """Run one step and print the time that it took."""
        start_s = time.monotonic()
        result = await work()
        end_s = time.monotonic()
        note = f": {result}" if isinstance(result, str) else ""
        total_s = end_s - self.start_s
        print(f"{total_s:6.2f} s  {title} ({end_s - start_s:.2f} s){note}", flush=True)
        return result

    async def run_cli(self, *args: str) -> str:
        """Run `lentilsill` and return its output; raises DemoError when it fails."""
        command = [sys.executable, "-m", "lentilsill.cli.main", *args]
        if args[0] != "check":
            command += ["--platform", self.cluster.layout.platform_url]

        def run() -> subprocess.CompletedProcess[str]:
            return subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=CLI_TIMEOUT_S
            )

        completed = await asyncio.to_thread(run)
        if completed.returncode != 0:
            raise DemoError(
                f"lentilsill {args[0]}: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    async def apply(self, path: Path) -> int:
        """Apply a document and return its version."""
        output = await self.run_cli("apply", str(path))
        match = re.search(r"written as version (\d+)", output)
        if match is None:
            raise DemoError(f"no version in the output of apply: {output}")
        return int(match.group(1))

    async def wait_in_force(self, service: str, version: int) -> None:
        """Wait until a version of a service's document is in force on every node."""
        options = [f"--domain={domain}" for domain in DOMAINS]
        wait = f"--wait={service}@{version}"
        timeout = f"--timeout-s={STEP_TIMEOUT_S:g}"
        await self.run_cli("status", wait, timeout, *options)

    # Steps

    async def start_nodes(self) -> str:
        """Start all nodes and wait until they accept calls."""
        hosts = self.cluster.layout.hosts
        for host in hosts:
            self.cluster.start_node(host)
        for host in hosts:
            await asyncio.to_thread(self.cluster.wait_ready, host, STEP_TIMEOUT_S)
        return f"{len(hosts)} nodes ready"

    async def apply_examples(self) -> str:
        """Apply the example documents and wait until they are in force."""
        versions = {}
        for service in SERVICES:
            versions[service] = await self.apply(EXAMPLES / f"{service}.json5")
        for service, version in versions.items():
            await self.wait_in_force(service, version)
        return ", ".join(f"{name} {version}" for name, version in versions.items())

    async def start_workers(self) -> str:
        """Start one worker per host; wait until nodes answer calls of every kind."""
        count = self._start_release("1", 0, SERVICES)
        for plan in PLANS:
            await self._wait_until_answered(plan)
        return f"{count} workers"

    async def start_new_workers(self) -> str:
        """Start workers of the migrated service with the label of the new release."""
        return f"{self._start_release('2', 1, (MIGRATED_SERVICE,))} workers"

    def _start_release(
        self, release: str, worker_number: int, services: tuple[str, ...]
    ) -> int:
        count = 0
        hosts = self.cluster.layout.hosts
        for index, host in enumerate(hosts):
            service = SERVICES[index % len(SERVICES)]
            if service in services:
                self.cluster.start_worker(host, service, worker_number, release)
                count += 1
        return count

    async def _wait_until_answered(self, plan: CallPlan) -> None:
        """Repeat a kind of call until every node has answered one."""
        probe = Caller(self.caller.nodes)
        end_s = time.monotonic() + STEP_TIMEOUT_S
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

    async def add_preview_route(self) -> str:
        """Add the new upstream set with a preview route, and call that route.

        If all traffic moved before every node knows the new upstreams, calls
        would be refused.
        """
        value = await self._read_document()
        value["upstream_sets"]["next"] = {"labels": {"release": "2"}, "leaving": False}
        target = {"service": MIGRATED_SERVICE, "upstream_set": "next", "weight": 100}
        route = value["routes"][0] | {"name": "preview", "targets": [target]}
        route["match"] = {"path_prefix": "/preview", "methods": []}
        value["routes"].append(route)
        version = await self._apply_edited(value)
        await self._wait_until_answered(
            CallPlan(f"/{MIGRATED_SERVICE}/preview", service_ms=SERVICE_MS)
        )
        return f"{MIGRATED_SERVICE} {version}, new upstreams answer on every node"

    async def move_traffic(self) -> str:
        """Point the routes at the new upstreams and mark the old ones as leaving."""
        value = await self._read_document()
        value["upstream_sets"]["current"]["leaving"] = True
        for route in value["routes"]:
            for target in route["targets"]:
                target["upstream_set"] = "next"
        version = await self._apply_edited(value)
        return f"{MIGRATED_SERVICE} {version} in force on every node"

    async def _read_document(self) -> Any:
        text = await self.run_cli("get", MIGRATED_SERVICE)
        self.base_version_line = text.splitlines()[0]
        return json5.loads(text)

    async def _apply_edited(self, value: Any) -> int:
        path = self.cluster.folder / f"{MIGRATED_SERVICE}.json5"
        text = f"{self.base_version_line}\n{json.dumps(value, indent=2)}\n"
        path.write_text(text, encoding="utf-8")
        await self.run_cli("check", str(path))
        version = await self.apply(path)
        await self.wait_in_force(MIGRATED_SERVICE, version)
        return version

    async def check_moved(self) -> str:
        """Check that new calls run only on the new upstreams."""
        records = await self.caller.run(
            MIGRATED_SERVICE_PLANS,
            calls=CALLS_PER_CHECK,
            concurrency=CONCURRENCY,
            max_duration_s=STEP_TIMEOUT_S,
        )
        upstreams = Counter(record.upstream for record in records)
        old_upstreams = [
            name for name in upstreams if name.startswith(f"{MIGRATED_SERVICE}-1-")
        ]
        if old_upstreams:
            raise DemoError(
                f"calls ran on old upstreams after the move: {old_upstreams}"
            )
        return f"{len(records)} calls on {len(upstreams)} new upstreams"

    async def check_status(self) -> str:
        """Check that all nodes of all domains report the same versions in force."""
        reports = json.loads(await self.run_cli("status", "--json"))
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

    async def retire_old_workers(self) -> str:
        """Stop the old workers gracefully while the load runs."""
        return await self._terminate(
            [n for n in self._running_names() if n.startswith(f"{MIGRATED_SERVICE}-1")]
        )

    async def shut_down(self) -> str:
        """Stop the remaining workers gracefully, then the nodes."""
        nodes = [host.node for host in self.cluster.layout.hosts]
        names = [name for name in self._running_names() if name not in nodes]
        workers = await self._terminate([name for name in names if name != "platform"])
        return f"{workers} workers, {await self._terminate(nodes)} nodes"

    def _running_names(self) -> list[str]:
        running = self.cluster.processes.items()
        return [name for name, process in running if process.is_running]

    async def _terminate(self, names: list[str]) -> str:
        for name in names:
            self.cluster.processes[name].terminate()
        for name in names:
            process = self.cluster.processes[name]
            status = await asyncio.to_thread(process.wait, STEP_TIMEOUT_S)
            if status != 0:
                tail = process.log_tail()
                raise DemoError(f"{name}: exit status {status}\n{tail}")
        return str(len(names))

    async def run_load(self) -> list[CallRecord]:
        """Make idempotent and non-idempotent calls until the load is stopped."""
        return await self.caller.run(
            PLANS,
            calls=1_000_000,
            concurrency=CONCURRENCY,
            max_duration_s=TOTAL_TIMEOUT_S,
            stop=lambda: self.is_stopped,
        )

    def check_calls(self) -> str:
        """Compare the records of all calls with the executions on the workers."""
        records = self.caller.records
        outcomes = Counter(record.outcome for record in records)
        unanswered = [r for r in records if r.outcome != "answered"]
        if unanswered:
            raise DemoError(f"outcomes {dict(outcomes)}, first: {unanswered[0]}")
        executions = self.cluster.executions()
        execution_counts = Counter(run["call_id"] for run in executions)
        non_idempotent = [record for record in records if not record.idempotent]
        wrong_counts = {
            r.call_id: execution_counts[r.call_id]
            for r in non_idempotent
            if execution_counts[r.call_id] != 1
        }
        if wrong_counts or not non_idempotent or len(non_idempotent) == len(records):
            raise DemoError(f"executions of non-idempotent calls: {wrong_counts}")
        keys = Counter(run["request_key"] for run in executions if run["request_key"])
        repeated = [key for key, number in keys.items() if number > 1]
        if repeated:
            raise DemoError(f"request keys executed twice: {repeated}")
        return (
            f"{len(records)} calls answered, {len(non_idempotent)} of them "
            f"non-idempotent, {len(keys)} with a key, none twice"
        )


async def run_demo(cluster: Cluster) -> None:
    """Run all steps; raises DemoError or TimeoutError when one fails."""
    nodes = [host.caller_address for host in cluster.layout.hosts]
    demo = Demo(cluster, Caller(nodes))
    await demo.step("start nodes", demo.start_nodes)
    await demo.step("apply documents", demo.apply_examples)
    await demo.step("start workers", demo.start_workers)
    load = asyncio.ensure_future(demo.run_load())
    try:
        await demo.step("start new workers under load", demo.start_new_workers)
        await demo.step("add the new upstreams to the document", demo.add_preview_route)
        await demo.step("move traffic by editing the document", demo.move_traffic)
        await demo.step("check where calls run", demo.check_moved)
        await demo.step("read back what is in force", demo.check_status)
        await demo.step("retire old workers under load", demo.retire_old_workers)
    finally:
        demo.is_stopped = True
        await load
    await demo.step("shut down", demo.shut_down)
    print(f"          {demo.check_calls()}")
    demo.caller.close()


def main() -> int:
    """Run the demonstration; the exit status is 0 when every check passes."""
    layout = Layout(SECOND_OCTET, DOMAINS, len(SERVICES))
    try:
        with running_cluster(layout) as cluster:
            asyncio.run(asyncio.wait_for(run_demo(cluster), TOTAL_TIMEOUT_S))
    except TimeoutError as exc:
        print(f"demo: failed: {exc or f'not done within {TOTAL_TIMEOUT_S:g} s'}")
        return 1
    except (DemoError, RuntimeError, OSError) as exc:
        print(f"demo: failed: {exc}")
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
