"""A liveness report of another writer displaces a worker; see `claim.txt`."""

import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mesh2 import (  # noqa: E402
    CONTROL,
    Cluster,
    Node,
    Record,
    call,
    configuration,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Times from the start of the requests.
REPORTS_S, END_S = 5.0, 50.0
REQUESTERS_PER_HOST = 2
INTERVAL_S = 0.25
TIMEOUT_MS = 1500
# Kinds of requests, by the prefix of their paths.
KINDS = {"/look/": "service a", "/book/": "service b"}


def odd_report() -> bytes:
    """Return a report that names a service which does not exist."""
    value = {
        "service": "nosuch",
        "address": "127.0.0.1:9",
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    return json.dumps(value).encode()


async def main() -> int:
    record = Record(HERE / "record.txt")
    places = [("z1", "a"), ("z1", "b"), ("z2", "a"), ("z2", "b"), ("z3", "a")]
    cluster = Cluster(record, [*places, ("z3", "b")])
    for worker in cluster.workers:
        worker.work_s = 0.05
    routes = [
        route("look", "/look/", "safe", "a"),
        route("book", "/book/", "unsafe", "b"),
    ]
    async with cluster.running(configuration(12, ["a", "b"], routes)):
        asked: Counter[str] = Counter()
        served: Counter[str] = Counter()
        later: Counter[str] = Counter()
        numbers = iter(range(1, 1_000_000))
        began_at = time.monotonic()

        async def request(node: Node, prefix: str) -> None:
            while (sent_s := time.monotonic() - began_at) < END_S:
                attempt = f"r-{next(numbers)}"
                headers = {
                    "Host": "h.example",
                    "X-Lentilsill-Attempt-Id": attempt,
                    "X-Lentilsill-Timeout-Ms": str(TIMEOUT_MS),
                }
                record.write(f"{attempt} sent at {node.name}: {prefix}")
                try:
                    answer = await asyncio.wait_for(
                        call(node.outbound, "GET", f"{prefix}{attempt}", headers),
                        TIMEOUT_MS / 1000,
                    )
                    result = str(answer.status)
                except TimeoutError:
                    result = "no answer"
                except (OSError, asyncio.IncompleteReadError):
                    result = "connection lost"
                record.write(f"{attempt} answered: {result}")
                asked[prefix] += 1
                served[prefix] += result == "200"
                if sent_s > REPORTS_S + 1.0:
                    later[f"{prefix} {result}"] += 1
                await asyncio.sleep(INTERVAL_S)

        tasks = [
            asyncio.create_task(request(node, prefix))
            for node in cluster.nodes
            for prefix in KINDS
            for _ in range(REQUESTERS_PER_HOST)
        ]
        await asyncio.sleep(REPORTS_S)
        hit = [w for w in cluster.workers if w.service == "b"]
        ack_counts = [len(worker.acks) for worker in hit]
        if TROUBLE:
            for index, worker in enumerate(hit):
                answer = await asyncio.wait_for(
                    call(
                        (worker.ip, CONTROL),
                        "PUT",
                        f"/instances/odd-{index}",
                        {"Content-Type": "application/json"},
                        odd_report(),
                    ),
                    1.0,
                )
                record.write(f"odd report beside {worker.name} got {answer.status}")
        await asyncio.gather(*tasks)
        for worker, count in zip(hit, ack_counts, strict=True):
            text = f"{len(worker.acks) - count} later reports of {worker.name} got 200"
            record.write(text)
            print(text)

        shares = {prefix: served[prefix] / asked[prefix] for prefix in KINDS}
        of_all = sum(served.values()) / sum(asked.values())
        summary = (
            f"served, by kind: {shares}; of all: {of_all:.2f}; "
            f"later than 1 s after the odd reports: {dict(later)}"
        )
        record.write(summary)
        print(summary)
        return 1 if min(shares.values()) < of_all / 4 else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
