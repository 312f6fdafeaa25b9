"""Measures request keys: refusals after restarts, latency, memory and rates.

Prints JSON lines. ``python -m bench.keys [SEED]``; the sizes are those of one
failure domain of the fleet (511 nodes) and of the fleet (9 domains).
"""

import asyncio
import json
import random
import sys
import time
import tracemalloc
from collections import Counter
from dataclasses import replace
from importlib.metadata import version

from hdrh.histogram import HdrHistogram

from lentilsill.daemon.controllers.claims import ClaimsController
from lentilsill.daemon.controllers.tests.claim_builders import (
    make_node,
    register_members,
)
from lentilsill.distribution import fanout_children, rank_members
from lentilsill.outcomes import (
    Answer,
    Attempt,
    ClaimRound,
    ClaimTable,
    MayRun,
    RequestKey,
    TokenBucket,
    issue_key,
    node_claim_rate,
)

__all__ = ["main"]

NODES = 511
DOMAINS = 9
RETENTION_MS = 600_000
NOW_MS = 1_700_000_000_000
KEYS = 1000
SHARES = (0.05, 0.1, 0.2, 0.3, 0.5)
REPLICAS = 3
FANOUT = 8
FLEET_CLAIMS_PER_S = 100.0
LATENCY_CLAIMS = 2000
MEMORY_STEPS = (5000, 20_000)
ANSWER = Answer(200, (("content-type", "application/json"),), b"x" * 200)
ENTRY = "e" * 16


class Replicas:
    """Replicas of a domain, by the instance that keys name."""

    def __init__(self) -> None:
        self.tables: dict[str, ClaimTable] = {}
        self.attempts = 0

    def add(self, instance: str) -> None:
        """Start a replica with no records."""
        self.tables[instance] = ClaimTable(instance, RETENTION_MS)

    def may_run(self, key: RequestKey, is_ring: bool) -> bool:
        """Make a round of claims; a replica that is gone does not answer.

        In a ring the replicas are no part of the key, so each is asked for a
        key that names only itself.
        """
        claims = ClaimRound(key)
        self.attempts += 1
        attempt = str(Attempt(ENTRY, self.attempts))
        for instance in key.instances:
            asked = replace(key, instances=(instance,)) if is_ring else key
            table = self.tables.get(instance)
            if table is None:
                claims.mark_unreachable(instance)
            else:
                answer = table.claim(str(asked), attempt, "f", NOW_MS)
                claims.add_reply(instance, answer)
        return isinstance(claims.give_up(), MayRun)


def emit(measure: str, value: float, unit: str, nodes: int, seed: int, **more) -> None:
    """Print one measure."""
    line = {"measure": measure, "value": value, "unit": unit, "nodes": nodes}
    line |= {"seed": seed, "version": version("lentilsill")} | more
    print(json.dumps(line), flush=True)


def measure_restarts(scheme: str, replicas: int, share: float, seed: int) -> None:
    """Restart a share of the nodes between a key's issue and its claim.

    Half of the keys are run before the restart and claimed again after it: a
    second grant is a second execution. In the ring, the replicas of a key are
    the first-ranked nodes at the time of the claim, by their names, which stay
    the same over a restart and are new when a host is replaced; half of the
    restarted nodes count as replaced.
    """
    rng = random.Random(seed)
    is_ring = scheme.startswith("ring")
    names = [f"{rng.getrandbits(64):016x}" for _ in range(NODES)]
    domain = Replicas()
    for name in names:
        domain.add(name)

    def key_of(nonce: str, members: list[str]) -> RequestKey:
        named = rng.sample(members, replicas)
        if is_ring:
            named = list(rank_members(members, nonce)[:replicas])
        text = issue_key("lahore", NOW_MS, named, nonce)
        return RequestKey.parse(text).unwrap()

    nonces = [f"{rng.getrandbits(64):016x}" for _ in range(KEYS)]
    keys = {nonce: key_of(nonce, names) for nonce in nonces}
    ran, fresh = nonces[::2], nonces[1::2]
    for nonce in ran:
        assert domain.may_run(keys[nonce], is_ring)
    for number, name in enumerate(rng.sample(names, round(NODES * share))):
        del domain.tables[name]
        keeps_name = is_ring and number % 2 == 0
        domain.add(name if keeps_name else f"{rng.getrandbits(64):016x}")
    if is_ring:
        keys = {nonce: key_of(nonce, list(domain.tables)) for nonce in nonces}
    refused = sum(not domain.may_run(keys[nonce], is_ring) for nonce in fresh)
    twice = sum(domain.may_run(keys[nonce], is_ring) for nonce in ran)
    more = {"scheme": scheme, "restarted": share}
    emit("keys.refused", refused / len(fresh), "share", NODES, seed, **more)
    emit("keys.executed_twice", twice / len(ran), "share", NODES, seed, **more)


async def measure_latency(seed: int) -> None:
    """Time claims at two peers and this node, over loopback in one process."""
    nodes = [make_node(number) for number in range(1, REPLICAS + 1)]
    register_members(*nodes)
    claims = [ClaimsController(ctx) for ctx in nodes]
    for controller in claims:
        controller.start()
    keys = [k for _ in range(2) for k in claims[0].issue_keys(LATENCY_CLAIMS // 2).keys]
    histogram = HdrHistogram(1, 10_000_000, 3)
    for number, key in enumerate(keys):
        start = time.perf_counter()
        await claims[0].claim(key, str(number), "f", 1.0)
        histogram.record_value(round((time.perf_counter() - start) * 1e6))
    for percent in (50, 99):
        value = histogram.get_value_at_percentile(percent) / 1000
        emit(f"claim.latency_p{percent}", value, "ms", REPLICAS, seed)
    records = sum(len(controller.table) for controller in claims)
    emit("claim.records_per_key", records / len(keys), "records", REPLICAS, seed)
    for ctx in nodes:
        ctx.links.close()
        for task in ctx.tasks:
            task.cancel()


def measure_memory(seed: int, with_answer: bool) -> None:
    """Measure the slope of a replica's memory over its records."""
    rng = random.Random(seed)
    instance = "a" * 16
    table = ClaimTable(instance, RETENTION_MS)
    sizes = []
    tracemalloc.start()
    for step in MEMORY_STEPS:
        while len(table) < step:
            named = [instance, *(f"{rng.getrandbits(64):016x}" for _ in range(2))]
            text = issue_key("lahore", NOW_MS, named, f"{rng.getrandbits(64):016x}")
            attempt = str(Attempt(f"{rng.getrandbits(64):016x}", len(table)))
            table.claim(text, attempt, f"{rng.getrandbits(128):032x}", NOW_MS)
            if with_answer:
                body = rng.randbytes(len(ANSWER.body))
                table.store(text, attempt, Answer(200, ANSWER.headers, body), NOW_MS)
        sizes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    slope = (sizes[1] - sizes[0]) / (MEMORY_STEPS[1] - MEMORY_STEPS[0])
    answer_bytes = len(ANSWER.body) if with_answer else 0
    emit("claim.bytes_per_record", slope, "bytes", 1, seed, answer_bytes=answer_bytes)


def measure_claim_rate(seed: int) -> None:
    """Count what all nodes of the fleet let through when each always asks."""
    rate = node_claim_rate(FLEET_CLAIMS_PER_S, DOMAINS, NODES)
    nodes = NODES * DOMAINS
    granted = Counter[int]()
    rng = random.Random(seed)
    seconds = 600
    for _ in range(nodes):
        bucket = TokenBucket(rate)
        at = rng.random()
        while at < seconds:
            wait_s = bucket.wait_s(at)
            if wait_s == 0.0:
                granted[int(at)] += 1
            at += wait_s + 1e-6
    steady = sum(count for second, count in granted.items() if second >= 1)
    emit("platform_claims.rate", steady / (seconds - 1), "1/s", nodes, seed)
    emit("platform_claims.first_second", granted[0], "claims", nodes, seed)


def measure_crash_report(seed: int) -> None:
    """Count the messages of one report over the fan-out tree."""
    names = [f"n{number}" for number in range(NODES)]
    sent = Counter({name: 0 for name in names})
    reached, waiting = {names[0]}, [names[0]]
    while waiting:
        node = waiting.pop()
        children = fanout_children(node, names[0], names, FANOUT)
        sent[node] += len(children)
        waiting += [child for child in children if child not in reached]
        reached |= set(children)
    emit("crash_report.messages", sent.total(), "messages", NODES, seed)
    emit("crash_report.reached", len(reached), "nodes", NODES, seed)
    emit("crash_report.per_node_max", max(sent.values()), "messages", NODES, seed)


def main(seed: int = 1) -> None:
    """Make all measurements; takes less than 30 s."""
    for share in SHARES:
        measure_restarts("one replica", 1, share, seed)
        measure_restarts("2 of 3", REPLICAS, share, seed)
        measure_restarts("ring by hash, 2 of 3", REPLICAS, share, seed)
    asyncio.run(measure_latency(seed))
    measure_memory(seed, with_answer=False)
    measure_memory(seed, with_answer=True)
    measure_claim_rate(seed)
    measure_crash_report(seed)


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
