"""After workers of one zone crash together, harmless requests are refused for good."""

import asyncio
import os
import sys
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from mesh import (  # noqa: E402
    STABLE_S,
    Case,
    Node,
    Store,
    Worker,
    configuration,
    route,
    run_case,
    send_request,
)

ZONES = ["almaty-a", "almaty-b", "almaty-c"]
HOST = "jepu9.example"
TRAFFIC_S = 70.0
CRASH_AT_S = 4.0
DOWN_S = 4.5
# Workers that are lost together don't end in the same millisecond.
CRASH_GAP_S = 0.01
PERIOD_S = 0.1


async def play(case: Case) -> None:
    store = Store(case)
    await store.start()
    routes = [
        route("r-wishlist", "/lepu/", "wishlists"),
        route("r-match", "/xapu/", "groups"),
    ]
    config = configuration(7, ["wishlists", "groups"], {HOST: routes})
    store.put("config", "main", config)
    services = ["wishlists", "wishlists", "groups"]
    nodes = [
        Node(case, f"sidecar-{zone}-{number}", zone, ZONES, service, store)
        for zone in ZONES
        for number, service in enumerate(services, start=1)
    ]
    workers = [
        Worker(case, node.service, node.ip, node.zone, work_s=0.2) for node in nodes
    ]
    for node in nodes:
        await node.start()
    for worker in workers:
        await worker.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(STABLE_S)

    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()

    async def ask(node: Node, kind: str, target: str) -> None:
        asked[kind] += 1
        sent = await send_request(case, node, HOST, target)
        served[kind] += sent.status == 200

    async def requests() -> None:
        number = 0
        while True:
            for node in nodes:
                number += 1
                case.spawn(ask(node, "wishlist", "/lepu/top"))
                case.spawn(ask(node, "match", f"/xapu/{number}"))
            await asyncio.sleep(PERIOD_S)

    traffic = case.spawn(requests())
    await asyncio.sleep(CRASH_AT_S)
    if case.has_trouble:
        crashed = [
            worker
            for worker in workers
            if worker.zone == ZONES[0] and worker.service == "wishlists"
        ]
        for worker in crashed:
            worker.end()
            await asyncio.sleep(CRASH_GAP_S)
        await asyncio.sleep(DOWN_S)
        for worker in crashed:
            restarted = Worker(case, worker.service, worker.ip, worker.zone)
            await restarted.start()
            case.log(f"worker {restarted.id} has started at {worker.address}")
    await asyncio.sleep(TRAFFIC_S - CRASH_AT_S - DOWN_S * case.has_trouble)
    traffic.cancel()
    await asyncio.sleep(1.5)
    share = {kind: served[kind] / asked[kind] for kind in asked}
    share_of_all = sum(served.values()) / sum(asked.values())
    case.log(f"served: {share}, of all requests {share_of_all:.3f}")
    for kind, of_kind in share.items():
        if of_kind < 0.25 * share_of_all:
            case.violate(
                f"Starved: {kind} is served {of_kind:.3f}, all requests are served "
                f"{share_of_all:.3f}"
            )


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), play))
