"""Behaviour under overload and faults, compared with a simple client-side baseline.

Run as ``python -m bench.overload [SCENARIO...]``. The baseline calls the same upstreams
directly: each attempt goes to a random one, and up to three attempts follow each other
after an error or a third of the deadline. Arrivals are open loop at a fixed mean rate.
Prints one JSON object per line and takes less than 60 s.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from harness.layout import Layout
from harness.processes import Cluster, fetch_json, running_cluster, wait_until
from lentilsill.daemon.controllers.upstream_client import Exchange, UpstreamClient
from lentilsill.outcomes import Answer

from .latency import START_TIMEOUT_S, is_answering, make_document, put_document
from .report import Report

__all__ = ["main"]

SECOND_OCTET = 79
SEED = 7
UPSTREAMS = 3
SLOTS = 4
SERVICE_MS = 40.0
QUEUE_LIMIT = 12
DEADLINE_MS = 400
LOAD_S = 2.0
SETTLE_S = 0.2
MAX_ATTEMPTS = 3
# Calls/s that all slots together can answer.
CAPACITY_PER_S = UPSTREAMS * SLOTS * 1000 / SERVICE_MS
OUTCOME_HEADER = "lentilsill-outcome"

SCENARIOS = ("overload", "slow_one", "slow_start", "failing", "all_failing")
EJECTION_WAIT_S = 5.2
# The hedging budget is above the share of calls that a slow upstream gets.
HEDGE_PERCENT = 30

Call = Callable[[float], Awaitable[str]]


@dataclass
class LoadResult:
    """Results of one load; latencies are of answers within the deadline."""

    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 10_000_000, 3)
    )
    attempts: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile in ms of the answers within the deadline."""
        return self.latencies_us.get_value_at_percentile(percent) / 1000


class OverloadRun:
    """Processes and HTTP clients of one run."""

    def __init__(self, cluster: Cluster, report: Report) -> None:
        self.cluster = cluster
        self.report = report
        self.rng = random.Random(SEED)
        hosts = cluster.layout.hosts
        self.entry_client = UpstreamClient(hosts[-1].caller_address)
        self.upstream_clients = [
            UpstreamClient(h.worker_address(0)) for h in hosts[:UPSTREAMS]
        ]
        self.load_result = LoadResult()

    # Calls

    async def call_by_node(self, deadline_s: float, path: str = "/pool/a") -> str:
        """Call through an entry node without a local upstream; return the outcome."""
        headers = (("Lentilsill-Deadline-Ms", str(int(deadline_s * 1000))),)
        result = await self.entry_client.send(
            Exchange(), "GET", path, headers, b"", True
        )
        if not isinstance(result, Answer):
            return result.outcome.value
        fields = {name.lower(): value for name, value in result.headers}
        if OUTCOME_HEADER in fields:
            return fields[OUTCOME_HEADER]
        return "answered" if result.status == 200 else "upstream_error"

    async def call_by_baseline(self, deadline_s: float) -> str:
        """Call random upstreams, with a third of the deadline for each attempt."""
        for _ in range(MAX_ATTEMPTS):
            self.load_result.attempts += 1
            client = self.rng.choice(self.upstream_clients)
            exchange = Exchange()
            loop = asyncio.get_running_loop()
            timer = loop.call_later(
                deadline_s / MAX_ATTEMPTS, exchange.abort, "timeout"
            )
            result = await client.send(exchange, "GET", "/a", (), b"", True)
            timer.cancel()
            if isinstance(result, Answer) and result.status == 200:
                return "answered"
        return "failed"

    async def load(
        self, call: Call, rate_per_s: float, duration_s: float
    ) -> LoadResult:
        """Start calls at random times, on average `rate_per_s`."""
        load_result = self.load_result = LoadResult()
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        load_start_s = arrival_s = loop.time()

        async def run_call() -> None:
            start_s = loop.time()
            outcome = await call(DEADLINE_MS / 1000)
            latency_s = loop.time() - start_s
            if outcome == "answered" and latency_s > DEADLINE_MS / 1000:
                outcome = "late"
            load_result.outcomes[outcome] += 1
            if outcome == "answered":
                load_result.latencies_us.record_value(int(latency_s * 1e6))

        while arrival_s < load_start_s + duration_s:
            arrival_s += self.rng.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, arrival_s - loop.time()))
            load_result.offered += 1
            task = asyncio.ensure_future(run_call())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=5)
        await asyncio.sleep(SETTLE_S)
        # Requests left in the queues would delay the next load.
        for number in range(UPSTREAMS):
            await self.configure(number, "reset=1")
        return load_result

    async def configure(self, number: int, query: str) -> int:
        """Set the behaviour of an upstream; return its number of executions so far."""
        client = self.upstream_clients[number]
        result = await client.send(Exchange(), "GET", f"/set?{query}", (), b"", True)
        assert isinstance(result, Answer)
        return int(result.body)

    async def count_executions(self) -> list[int]:
        """Return the number of executions of each upstream so far."""
        return [await self.configure(i, "x=") for i in range(UPSTREAMS)]

    # Scenarios

    async def overload(self) -> None:
        """Offer 0.5, 2 and 5 times the capacity."""
        for factor in (0.5, 2, 5):
            for name, call in (
                ("node", self.call_by_node),
                ("baseline", self.call_by_baseline),
            ):
                load_result = await self.load(call, factor * CAPACITY_PER_S, LOAD_S)
                prefix = f"overload.x{factor:g}.{name}"
                self.report_shares(prefix, load_result)
                good = load_result.outcomes["answered"] / LOAD_S / CAPACITY_PER_S
                self.report.add(f"{prefix}.goodput", good, "of capacity")
                self.report.add(f"{prefix}.p99", load_result.percentile_ms(99), "ms")

    async def failing(self) -> None:
        """One of three upstreams closes connections instead of answering."""
        await self.configure(0, "fail=close")
        for name, call in (
            ("node", self.call_by_node),
            ("baseline", self.call_by_baseline),
        ):
            before = await self.count_executions()
            load_result = await self.load(call, 0.5 * CAPACITY_PER_S, LOAD_S)
            after = await self.count_executions()
            executions = [b - a for a, b in zip(before, after, strict=True)]
            self.report_shares(f"one_fails.{name}", load_result)
            extra = sum(executions) / load_result.offered - 1
            self.report.add(f"one_fails.{name}.extra_attempts", extra, "of calls")
            share = executions[0] / sum(executions)
            self.report.add(f"one_fails.{name}.failing_share", share, "of attempts")
        await self.configure(0, "fail=none")

    async def all_failing(self) -> None:
        """All upstreams answer 500: at most half of them are ejected."""
        # Wait until the ejections of the previous scenario have ended.
        await asyncio.sleep(EJECTION_WAIT_S)
        for number in range(UPSTREAMS):
            await self.configure(number, "fail=status")
        before = await self.count_executions()
        load_result = await self.load(self.call_by_node, 0.25 * CAPACITY_PER_S, 1.5)
        after = await self.count_executions()
        executions = sum(after) - sum(before)
        self.report_shares("all_fail.node", load_result)
        self.report.add(
            "all_fail.node.attempts", executions / load_result.offered, "per call"
        )
        for number in range(UPSTREAMS):
            await self.configure(number, "fail=none")

    async def slow_one(self) -> None:
        """One upstream takes four times as long as the others."""
        await self.configure(0, f"ms={4 * SERVICE_MS:g}")
        calls: tuple[tuple[str, Call], ...] = (
            ("node", self.call_by_node),
            ("node_hedged", lambda s: self.call_by_node(s, "/pool/hedged/a")),
            ("baseline", self.call_by_baseline),
        )
        for name, call in calls:
            before = await self.count_executions()
            load_result = await self.load(call, 0.4 * CAPACITY_PER_S, LOAD_S)
            after = await self.count_executions()
            executions = [b - a for a, b in zip(before, after, strict=True)]
            self.report_shares(f"one_slow.{name}", load_result)
            for percent in (50, 95, 99):
                value = load_result.percentile_ms(percent)
                self.report.add(f"one_slow.{name}.p{percent}", value, "ms")
            share = executions[0] / sum(executions)
            self.report.add(f"one_slow.{name}.slow_share", share, "of attempts")
        await self.configure(0, f"ms={SERVICE_MS:g}")

    def report_shares(self, prefix: str, load_result: LoadResult) -> None:
        """Report the share of each outcome."""
        for outcome, count in sorted(load_result.outcomes.items()):
            share = count / load_result.offered
            self.report.add(f"{prefix}.{outcome}", share, "of calls")

    async def slow_start(self) -> None:
        """Restart an upstream: its share of calls grows during the slow start."""
        host = self.cluster.layout.hosts[0]
        url = f"http://{self.cluster.layout.hosts[-1].admin_address}/lentilsill/state"
        self.cluster.processes["pool-0"].kill()

        def has_upstreams(count: int) -> bool:
            upstreams = fetch_json(url)["entry"]["upstreams"]
            return len(upstreams) == count

        await asyncio.to_thread(wait_until, lambda: has_upstreams(2), 15, "withdrawal")
        start_upstream(self.cluster, 0, host)
        client = UpstreamClient(host.worker_address(0))
        self.upstream_clients[0] = client

        while not await client.is_accepting():
            await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)
        for period in ("0_2s", "2_4s"):
            before = await self.count_executions()
            await self.load(self.call_by_node, 0.4 * CAPACITY_PER_S, 1.5)
            after = await self.count_executions()
            executions = [b - a for a, b in zip(before, after, strict=True)]
            share = executions[0] / sum(executions)
            self.report.add(f"slow_start.share_{period}", share, "of calls")

    async def run(self, names: list[str]) -> None:
        """Run the named scenarios."""
        await self.load(self.call_by_node, 0.2 * CAPACITY_PER_S, 0.5)
        for name in names:
            await getattr(self, name)()


def start_upstream(cluster: Cluster, number: int, host) -> None:
    """Start one upstream of the pool."""
    name = f"pool-{number}"
    args = ["bench.raw_upstream", "--service", "pool", "--name", name]
    args += ["--address", host.worker_address(0), "--admin", host.admin_address]
    args += ["--slots", str(SLOTS), "--service-ms", str(SERVICE_MS)]
    cluster.start(name, args)


def make_pool_document() -> dict:
    """Return the pool's document, with an extra GET route that is hedged."""
    document = make_document("pool", SLOTS, QUEUE_LIMIT)
    for route in document["routes"]:
        route["retry"] = {"max_attempts": MAX_ATTEMPTS, "budget_percent": 10}
    hedged_route = document["routes"][0] | {
        "name": "hedged",
        "match": {"path_prefix": "/hedged", "methods": ["GET"]},
        "hedge": {"delay_ms": int(2 * SERVICE_MS), "budget_percent": HEDGE_PERCENT},
    }
    document["routes"].append(hedged_route)
    return document


def start_pool(cluster: Cluster) -> None:
    """Start the nodes, and an upstream on each host but the last; wait for all."""
    hosts = cluster.layout.hosts
    put_document(cluster, make_pool_document())
    for host in hosts:
        cluster.start_node(host)
    for host in hosts:
        cluster.wait_ready(host)
    for number, host in enumerate(hosts[:UPSTREAMS]):
        start_upstream(cluster, number, host)
    state_url = f"http://{hosts[-1].admin_address}/lentilsill/state"

    def has_all_upstreams() -> bool:
        if not is_answering(hosts[-1].caller_address, "/pool/a"):
            return False
        return len(fetch_json(state_url)["entry"]["upstreams"]) == UPSTREAMS

    wait_until(has_all_upstreams, START_TIMEOUT_S, "pool answers")


def main(names: list[str]) -> int:
    """Run the named scenarios, or all of them."""
    start_s = time.monotonic()
    layout = Layout(SECOND_OCTET, ("lahore",), UPSTREAMS + 1)
    with running_cluster(layout) as cluster:
        start_pool(cluster)
        report = Report(len(layout.hosts), SEED)
        asyncio.run(OverloadRun(cluster, report).run(names or list(SCENARIOS)))
    print(f"{time.monotonic() - start_s:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
