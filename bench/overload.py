"""Behaviour under overload and faults, beside a plain client-side baseline.

Run as ``python -m bench.overload [SCENARIO...]``. The baseline calls the same upstreams
directly: one chosen at random, and up to three attempts after an error or when a
third of the deadline has passed. Arrivals are open loop at a fixed rate. One JSON
object per line; under 60 s.
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

from .latency import START_BOUND_S, answers, make_document, put_document
from .report import Report

__all__ = ["main"]

BASE = 79
SEED = 7
UPSTREAMS = 3
SLOTS = 4
SERVICE_MS = 40.0
QUEUE = 12
DEADLINE_MS = 400
LOAD_S = 2.0
SETTLE_S = 0.2
ATTEMPTS = 3
# Calls/s that all slots can answer.
CAPACITY = UPSTREAMS * SLOTS * 1000 / SERVICE_MS
OUTCOME = "lentilsill-outcome"

SCENARIOS = ("overload", "slow_one", "slow_start", "failing", "all_failing")
EJECTION_S = 5.2
# Above the share of calls that a slow upstream gets.
HEDGE_PERCENT = 30

Call = Callable[[float], Awaitable[str]]


@dataclass
class Tally:
    """Results of one load; `good` counts answers within the deadline."""

    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    hist: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10_000_000, 3))
    attempts: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Latency in ms of the answers within the deadline."""
        return self.hist.get_value_at_percentile(percent) / 1000


class Bench:
    """Processes and clients of one run."""

    def __init__(self, cluster: Cluster, report: Report) -> None:
        self.cluster = cluster
        self.report = report
        self.rng = random.Random(SEED)
        hosts = cluster.layout.hosts
        self.entry = UpstreamClient(hosts[-1].caller_address)
        self.direct = [UpstreamClient(h.worker_address(0)) for h in hosts[:UPSTREAMS]]
        self.tally = Tally()

    # Calls

    async def by_node(self, deadline_s: float, path: str = "/pool/a") -> str:
        """Call over an entry node that has no upstream of its own."""
        headers = (("Lentilsill-Deadline-Ms", str(int(deadline_s * 1000))),)
        result = await self.entry.send(Exchange(), "GET", path, headers, b"", True)
        if not isinstance(result, Answer):
            return result.outcome.value
        fields = {name.lower(): value for name, value in result.headers}
        if OUTCOME in fields:
            return fields[OUTCOME]
        return "answered" if result.status == 200 else "upstream_error"

    async def by_baseline(self, deadline_s: float) -> str:
        """Call random upstreams, each attempt for a third of the deadline."""
        for _ in range(ATTEMPTS):
            self.tally.attempts += 1
            client = self.rng.choice(self.direct)
            exchange = Exchange()
            loop = asyncio.get_running_loop()
            timer = loop.call_later(deadline_s / ATTEMPTS, exchange.abort, "timeout")
            result = await client.send(exchange, "GET", "/a", (), b"", True)
            timer.cancel()
            if isinstance(result, Answer) and result.status == 200:
                return "answered"
        return "failed"

    async def load(self, call: Call, rate: float, time_s: float) -> Tally:
        """Start calls at random moments with `rate` per second."""
        tally = self.tally = Tally()
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        start = at = loop.time()

        async def one() -> None:
            begun = loop.time()
            outcome = await call(DEADLINE_MS / 1000)
            taken = loop.time() - begun
            if outcome == "answered" and taken > DEADLINE_MS / 1000:
                outcome = "late"
            tally.outcomes[outcome] += 1
            if outcome == "answered":
                tally.hist.record_value(int(taken * 1e6))

        while at < start + time_s:
            at += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, at - loop.time()))
            tally.offered += 1
            task = asyncio.ensure_future(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=5)
        await asyncio.sleep(SETTLE_S)
        # What still waits would delay the next load.
        for number in range(UPSTREAMS):
            await self.configure(number, "reset=1")
        return tally

    async def configure(self, number: int, query: str) -> int:
        """Set the behaviour of an upstream; gives its executions so far."""
        client = self.direct[number]
        result = await client.send(Exchange(), "GET", f"/set?{query}", (), b"", True)
        assert isinstance(result, Answer)
        return int(result.body)

    async def executed(self) -> list[int]:
        """Executions of each upstream so far."""
        return [await self.configure(i, "x=") for i in range(UPSTREAMS)]

    # Scenarios

    async def overload(self) -> None:
        """Offer 0.5, 2 and 5 times the capacity."""
        for factor in (0.5, 2, 5):
            for name, call in (("node", self.by_node), ("baseline", self.by_baseline)):
                tally = await self.load(call, factor * CAPACITY, LOAD_S)
                prefix = f"overload.x{factor:g}.{name}"
                self.shares(prefix, tally)
                good = tally.outcomes["answered"] / LOAD_S / CAPACITY
                self.report.add(f"{prefix}.goodput", good, "of capacity")
                self.report.add(f"{prefix}.p99", tally.percentile_ms(99), "ms")

    async def failing(self) -> None:
        """One upstream of three closes the connection instead of an answer."""
        await self.configure(0, "fail=close")
        for name, call in (("node", self.by_node), ("baseline", self.by_baseline)):
            before = await self.executed()
            tally = await self.load(call, 0.5 * CAPACITY, LOAD_S)
            after = await self.executed()
            runs = [b - a for a, b in zip(before, after, strict=True)]
            self.shares(f"one_fails.{name}", tally)
            extra = sum(runs) / tally.offered - 1
            self.report.add(f"one_fails.{name}.extra_attempts", extra, "of calls")
            share = runs[0] / sum(runs)
            self.report.add(f"one_fails.{name}.failing_share", share, "of attempts")
        await self.configure(0, "fail=none")

    async def all_failing(self) -> None:
        """All upstreams answer 500: at most half of them are ejected."""
        # Ejections of the scenario before end first.
        await asyncio.sleep(EJECTION_S)
        for number in range(UPSTREAMS):
            await self.configure(number, "fail=status")
        before = await self.executed()
        tally = await self.load(self.by_node, 0.25 * CAPACITY, 1.5)
        after = await self.executed()
        runs = sum(after) - sum(before)
        self.shares("all_fail.node", tally)
        self.report.add("all_fail.node.attempts", runs / tally.offered, "per call")
        for number in range(UPSTREAMS):
            await self.configure(number, "fail=none")

    async def slow_one(self) -> None:
        """One upstream takes four times as long as the others."""
        await self.configure(0, f"ms={4 * SERVICE_MS:g}")
        calls: tuple[tuple[str, Call], ...] = (
            ("node", self.by_node),
            ("node_hedged", lambda s: self.by_node(s, "/pool/hedged/a")),
            ("baseline", self.by_baseline),
        )
        for name, call in calls:
            before = await self.executed()
            tally = await self.load(call, 0.4 * CAPACITY, LOAD_S)
            after = await self.executed()
            runs = [b - a for a, b in zip(before, after, strict=True)]
            self.shares(f"one_slow.{name}", tally)
            for percent in (50, 95, 99):
                value = tally.percentile_ms(percent)
                self.report.add(f"one_slow.{name}.p{percent}", value, "ms")
            share = runs[0] / sum(runs)
            self.report.add(f"one_slow.{name}.slow_share", share, "of attempts")
        await self.configure(0, f"ms={SERVICE_MS:g}")

    def shares(self, prefix: str, tally: Tally) -> None:
        """Write the share of each outcome."""
        for outcome, count in sorted(tally.outcomes.items()):
            share = count / tally.offered
            self.report.add(f"{prefix}.{outcome}", share, "of calls")

    async def slow_start(self) -> None:
        """Restart an upstream: its share of calls grows over the slow start."""
        host = self.cluster.layout.hosts[0]
        url = f"http://{self.cluster.layout.hosts[-1].admin_address}/lentilsill/state"
        self.cluster.processes["pool-0"].kill()

        def has_pool(count: int) -> bool:
            hosts = fetch_json(url)["entry"]["upstreams"]
            return len(hosts) == count

        await asyncio.to_thread(wait_until, lambda: has_pool(2), 15, "withdrawal")
        start_upstream(self.cluster, 0, host)
        up = UpstreamClient(host.worker_address(0))
        self.direct[0] = up

        while not await up.is_accepting():
            await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)
        for part in ("0_2s", "2_4s"):
            before = await self.executed()
            await self.load(self.by_node, 0.4 * CAPACITY, 1.5)
            after = await self.executed()
            runs = [b - a for a, b in zip(before, after, strict=True)]
            share = runs[0] / sum(runs)
            self.report.add(f"slow_start.share_{part}", share, "of calls")

    async def run(self, names: list[str]) -> None:
        """Run the named scenarios."""
        await self.load(self.by_node, 0.2 * CAPACITY, 0.5)
        for name in names:
            await getattr(self, name)()


def start_upstream(cluster: Cluster, number: int, host) -> None:
    """Start one upstream of the pool."""
    name = f"pool-{number}"
    args = ["bench.raw_upstream", "--service", "pool", "--name", name]
    args += ["--address", host.worker_address(0), "--admin", host.admin_address]
    args += ["--slots", str(SLOTS), "--service-ms", str(SERVICE_MS)]
    cluster.start(name, args)


def pool_document() -> dict:
    """The pool's document, with a second route that is hedged."""
    document = make_document("pool", SLOTS, QUEUE)
    for route in document["routes"]:
        route["retry"] = {"max_attempts": ATTEMPTS, "budget_percent": 10}
    hedged = document["routes"][0] | {
        "name": "hedged",
        "match": {"path_prefix": "/hedged", "methods": ["GET"]},
        "hedge": {"delay_ms": int(2 * SERVICE_MS), "budget_percent": HEDGE_PERCENT},
    }
    document["routes"].append(hedged)
    return document


def start_pool(cluster: Cluster) -> None:
    """Start nodes, upstreams beside all but the last, and wait for all."""
    hosts = cluster.layout.hosts
    put_document(cluster, pool_document())
    for host in hosts:
        cluster.start_node(host)
    for host in hosts:
        cluster.wait_ready(host)
    for number, host in enumerate(hosts[:UPSTREAMS]):
        start_upstream(cluster, number, host)
    state = f"http://{hosts[-1].admin_address}/lentilsill/state"

    def all_known() -> bool:
        if not answers(hosts[-1].caller_address, "/pool/a"):
            return False
        return len(fetch_json(state)["entry"]["upstreams"]) == UPSTREAMS

    wait_until(all_known, START_BOUND_S, "pool answers")


def main(names: list[str]) -> int:
    """Run the named scenarios, or all."""
    start = time.monotonic()
    layout = Layout(BASE, ("lahore",), UPSTREAMS + 1)
    with running_cluster(layout) as cluster:
        start_pool(cluster)
        report = Report(len(layout.hosts), SEED)
        asyncio.run(Bench(cluster, report).run(names or list(SCENARIOS)))
    print(f"{time.monotonic() - start:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
