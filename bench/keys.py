"""Measures request keys: refusals after restarts, latency, memory and rates.

Run as ``python -m bench.keys [SEED]``; prints JSON lines. The sizes are those of one
failure domain (511 nodes) and of the fleet (9 domains).
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
KEY_COUNT = 1000
RESTARTED_SHARES = (0.05, 0.1, 0.2, 0.3, 0.5)
REPLICAS = 3
FANOUT = 8
FLEET_CLAIMS_PER_S = 100.0
LATENCY_CLAIM_COUNT = 2000
MEMORY_RECORD_COUNTS = (5000, 20_000)
ANSWER = Answer(200, (("content-type", "application/json"),), b"x" * 200)
ENTRY_INSTANCE = "e" * 16


class ReplicaSet:
    """Claim tables of a domain, by the instance that request keys name."""

    def __init__(self) -> None:
        self.tables: dict[str, ClaimTable] = {}
        self.attempts = 0

    def add(self, instance: str) -> None:
        """Add a replica without records."""
        self.tables[instance] = ClaimTable(instance, RETENTION_MS)

    def try_claim(self, key: RequestKey, is_ring: bool) -> bool:
        """Claim a key at its replicas; return whether the call can run.

        A replica that is gone doesn't reply. In a ring the key doesn't name its
        replicas, so each replica gets a key that names only itself.
        """
        claim_round = ClaimRound(key)
        self.attempts += 1
        attempt = str(Attempt(ENTRY_INSTANCE, self.attempts))
        for instance in key.instances:
            claimed_key = replace(key, instances=(instance,)) if is_ring else key
            table = self.tables.get(instance)
            if table is None:
                claim_round.mark_unreachable(instance)
            else:
                reply = table.claim(str(claimed_key), attempt, "f", NOW_MS)
                claim_round.add_reply(instance, reply)
        return isinstance(claim_round.give_up(), MayRun)


def emit(
    measure: str, value: float, unit: str, nodes: int, seed: int, **labels
) -> None:
    """Print one value as a JSON line."""
    row = {"measure": measure, "value": value, "unit": unit, "nodes": nodes}
    row |= {"seed": seed, "version": version("lentilsill")} | labels
    print(json.dumps(row), flush=True)


def measure_restarts(scheme: str, replica_count: int, share: float, seed: int) -> None:
    """Restart a share of the nodes between the issue of keys and their claims.

    Half of the keys are claimed before the restart and again after it: a second grant
    is a second execution. In the ring, the replicas of a key are the nodes that rank
    first at the time of the claim. The ranking is by name, which a restarted node
    keeps and a replaced host doesn't; half of the restarted nodes count as replaced.
    """
    rng = random.Random(seed)
    is_ring = scheme.startswith("ring")
    names = [f"{rng.getrandbits(64):016x}" for _ in range(NODES)]
    domain = ReplicaSet()
    for name in names:
        domain.add(name)

    def make_key(nonce: str, members: list[str]) -> RequestKey:
        instances = rng.sample(members, replica_count)
        if is_ring:
            instances = list(rank_members(members, nonce)[:replica_count])
        text = issue_key("lahore", NOW_MS, instances, nonce)
        return RequestKey.parse(text).unwrap()

    nonces = [f"{rng.getrandbits(64):016x}" for _ in range(KEY_COUNT)]
    keys = {nonce: make_key(nonce, names) for nonce in nonces}
    claimed, unclaimed = nonces[::2], nonces[1::2]
    for nonce in claimed:
        assert domain.try_claim(keys[nonce], is_ring)
    for number, name in enumerate(rng.sample(names, round(NODES * share))):
        del domain.tables[name]
        keeps_name = is_ring and number % 2 == 0
        domain.add(name if keeps_name else f"{rng.getrandbits(64):016x}")
    if is_ring:
        keys = {nonce: make_key(nonce, list(domain.tables)) for nonce in nonces}
    refused = sum(not domain.try_claim(keys[nonce], is_ring) for nonce in unclaimed)
    executed_twice = sum(domain.try_claim(keys[nonce], is_ring) for nonce in claimed)
    labels = {"scheme": scheme, "restarted": share}
    emit("keys.refused", refused / len(unclaimed), "share", NODES, seed, **labels)
    emit(
        "keys.executed_twice",
        executed_twice / len(claimed),
        "share",
        NODES,
        seed,
        **labels,
    )


async def measure_latency(seed: int) -> None:
    """Time claims at this node and two peers, over loopback in one process."""
    nodes = [make_node(number) for number in range(1, REPLICAS + 1)]
    register_members(*nodes)
    claims = [ClaimsController(ctx) for ctx in nodes]
    for controller in claims:
        controller.start()
    keys = [
        k for _ in range(2) for k in claims[0].issue_keys(LATENCY_CLAIM_COUNT // 2).keys
    ]
    latencies_us = HdrHistogram(1, 10_000_000, 3)
    for number, key in enumerate(keys):
        start_s = time.perf_counter()
        await claims[0].claim(key, str(number), "f", 1.0)
        latencies_us.record_value(round((time.perf_counter() - start_s) * 1e6))
    for percent in (50, 99):
        value = latencies_us.get_value_at_percentile(percent) / 1000
        emit(f"claim.latency_p{percent}", value, "ms", REPLICAS, seed)
    records = sum(len(controller.table) for controller in claims)
    emit("claim.records_per_key", records / len(keys), "records", REPLICAS, seed)
    for ctx in nodes:
        ctx.links.close()
        for task in ctx.tasks:
            task.cancel()


def measure_memory(seed: int, has_answer: bool) -> None:
    """Measure how a replica's memory grows with its number of records."""
    rng = random.Random(seed)
    instance = "a" * 16
    table = ClaimTable(instance, RETENTION_MS)
    traced_bytes = []
    tracemalloc.start()
    for step in MEMORY_RECORD_COUNTS:
        while len(table) < step:
            instances = [instance, *(f"{rng.getrandbits(64):016x}" for _ in range(2))]
            text = issue_key("lahore", NOW_MS, instances, f"{rng.getrandbits(64):016x}")
            attempt = str(Attempt(f"{rng.getrandbits(64):016x}", len(table)))
            table.claim(text, attempt, f"{rng.getrandbits(128):032x}", NOW_MS)
            if has_answer:
                body = rng.randbytes(len(ANSWER.body))
                table.store(text, attempt, Answer(200, ANSWER.headers, body), NOW_MS)
        traced_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    bytes_per_record = (traced_bytes[1] - traced_bytes[0]) / (
        MEMORY_RECORD_COUNTS[1] - MEMORY_RECORD_COUNTS[0]
    )
    answer_bytes = len(ANSWER.body) if has_answer else 0
    emit(
        "claim.bytes_per_record",
        bytes_per_record,
        "bytes",
        1,
        seed,
        answer_bytes=answer_bytes,
    )


def measure_claim_rate(seed: int) -> None:
    """Count the claims of all nodes of the fleet if each claims without pause."""
    claims_per_s = node_claim_rate(FLEET_CLAIMS_PER_S, DOMAINS, NODES)
    nodes = NODES * DOMAINS
    granted = Counter[int]()
    rng = random.Random(seed)
    duration_s = 600
    for _ in range(nodes):
        bucket = TokenBucket(claims_per_s)
        now_s = rng.random()
        while now_s < duration_s:
            wait_s = bucket.take_token(now_s)
            if wait_s == 0.0:
                granted[int(now_s)] += 1
            now_s += wait_s + 1e-6
    steady_count = sum(count for second, count in granted.items() if second >= 1)
    emit("platform_claims.rate", steady_count / (duration_s - 1), "1/s", nodes, seed)
    emit("platform_claims.first_second", granted[0], "claims", nodes, seed)


def measure_crash_report(seed: int) -> None:
    """Count the messages of one crash report over the fan-out tree."""
    names = [f"n{number}" for number in range(NODES)]
    sent = Counter({name: 0 for name in names})
    reached_nodes, waiting = {names[0]}, [names[0]]
    while waiting:
        node = waiting.pop()
        children = fanout_children(node, names[0], names, FANOUT)
        sent[node] += len(children)
        waiting += [child for child in children if child not in reached_nodes]
        reached_nodes |= set(children)
    emit("crash_report.messages", sent.total(), "messages", NODES, seed)
    emit("crash_report.reached", len(reached_nodes), "nodes", NODES, seed)
    emit("crash_report.per_node_max", max(sent.values()), "messages", NODES, seed)


def main(seed: int = 1) -> None:
    """Run all measurements; takes less than 30 s."""
    for share in RESTARTED_SHARES:
        measure_restarts("one replica", 1, share, seed)
        measure_restarts("2 of 3", REPLICAS, share, seed)
        measure_restarts("ring by hash, 2 of 3", REPLICAS, share, seed)
    asyncio.run(measure_latency(seed))
    measure_memory(seed, has_answer=False)
    measure_memory(seed, has_answer=True)
    measure_claim_rate(seed)
    measure_crash_report(seed)


if __name__ == "__main__":
    main(*(int(arg) for arg in sys.argv[1:]))
