"""Requests stay unanswered while a worker sends a body without end."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from mesh import (  # noqa: E402
    STABLE_S,
    CannotRun,
    Case,
    Node,
    Run,
    Sent,
    Store,
    Worker,
    configuration,
    route,
    run_case,
    send_request,
)

ZONES = ["almaty-a", "almaty-b", "almaty-c"]
MACHINES = [("almaty-a", 1), ("almaty-a", 2), ("almaty-b", 1), ("almaty-c", 1)]
HOST = "jepu9.example"
# The route's limit, and the time budget that requesters give.
ROUTE_TIMEOUT_MS = 1200
TIME_BUDGET_MS = 2500
SLACK_S = 0.5
# Half of the workers spoil this share of their answers for this long.
SPOILT_SHARE = 0.05
FAULT_S = 5.5
# At each machine.
REQUESTS_PER_S = 100
MIN_LATE = 8


async def play(case: Case) -> None:
    store = Store(case)
    await store.start()
    routes = [route("r-1", "/lepu/", "groups", timeout_ms=ROUTE_TIMEOUT_MS)]
    store.put("config", "main", configuration(7, ["groups"], {HOST: routes}))
    nodes = [
        Node(case, f"sidecar-{zone}-{number}", zone, ZONES, "groups", store)
        for zone, number in MACHINES
    ]
    workers = [Worker(case, node.service, node.ip, node.zone) for node in nodes]
    for node in nodes:
        await node.start()
    for worker in workers:
        await worker.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(STABLE_S)

    results: list[Sent] = []
    number = 0

    async def ask(node: Node, target: str) -> None:
        results.append(
            await send_request(case, node, HOST, target, timeout_ms=TIME_BUDGET_MS)
        )

    async def requests() -> None:
        nonlocal number
        while True:
            for node in nodes:
                number += 1
                case.spawn(ask(node, f"/lepu/{number}"))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def is_endless(run: Run) -> bool:
        return case.rng.random() < SPOILT_SHARE

    faulty = workers[2:]
    case.max_lag_s = 0.0
    traffic = case.spawn(requests())
    await asyncio.sleep(2.0)
    if case.has_trouble:
        ids = [worker.id for worker in faulty]
        case.log(f"workers {ids} begin to spoil answers")
        for worker in faulty:
            worker.is_endless = is_endless
    await asyncio.sleep(FAULT_S)
    for worker in faulty:
        worker.is_endless = None
    case.log("no further answers are spoilt")
    await asyncio.sleep(5.0)
    traffic.cancel()
    await asyncio.sleep(TIME_BUDGET_MS / 1000 + 1.5)

    if case.max_lag_s > SLACK_S / 2:
        raise CannotRun(f"the stand-ins were late by {case.max_lag_s:.3f} s")
    limit_s = ROUTE_TIMEOUT_MS / 1000
    unanswered = [sent for sent in results if sent.ended_at - sent.at > limit_s]
    late = [sent for sent in unanswered if sent.ended_at - sent.at > limit_s + SLACK_S]
    without_answer = [sent for sent in late if not sent.status]
    case.log(
        f"{len(results)} requests, unanswered at the route's limit {len(unanswered)}, "
        f"{SLACK_S} s later {len(late)}, never answered {len(without_answer)}"
    )
    if len(late) >= MIN_LATE and len(late) > len(unanswered) / 4:
        case.violate(
            f"CONFIG: {len(late)} of {len(unanswered)} requests that last longer than "
            f"their route's timeout_ms have no answer {SLACK_S} s after it"
        )


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), play))
