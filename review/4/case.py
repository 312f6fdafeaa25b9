"""A configuration whose virtual host has the name of a service never comes in force."""

import asyncio
import os
import sys

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
HOST = "hulo84.example"
APPLY_S = 2.0
# Requests are sent for this long after the version must be in force.
WATCH_S = 8.0


async def play(case: Case) -> None:
    store = Store(case)
    await store.start()
    services = ["groups", "wishlists"]
    old_routes = [route("r-1", "/xapu/", "groups")]
    store.put("config", "main", configuration(7, services, {HOST: old_routes}))
    nodes = [
        Node(case, f"sidecar-{zone}-{number}", zone, ZONES, service, store)
        for zone in ZONES
        for number, service in enumerate(services, start=1)
    ]
    workers = [Worker(case, node.service, node.ip, node.zone) for node in nodes]
    for node in nodes:
        await node.start()
    for worker in workers:
        await worker.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(STABLE_S)

    # The new version moves a route and adds a virtual host.
    new_host = "wishlists" if case.has_trouble else "wishlists.example"
    hosts = {
        HOST: [route("r-1", "/xapu/", "wishlists")],
        new_host: [route("r-2", "/lepu/", "wishlists")],
    }
    revision = store.put("config", "main", configuration(9, services, hosts))
    case.log(f"version 9 is acknowledged at revision {revision}, new host {new_host}")
    await asyncio.sleep(APPLY_S + 1.0)

    service_of = {worker.id: worker.service for worker in workers}
    end = case.now() + WATCH_S
    while case.now() < end:
        for node in nodes:
            moved = await send_request(case, node, HOST, "/xapu/1")
            if moved.answer is not None and moved.status == 200:
                worker_id = moved.answer.body.decode().split(" ")[0]
                if service_of[worker_id] != "wishlists":
                    case.violate(
                        f"CONFIG: {moved.attempt} at {node.name} is run by the old "
                        f"service {service_of[worker_id]}"
                    )
            added = await send_request(case, node, new_host, "/lepu/1")
            if added.status == 404:
                case.violate(
                    f"CONFIG: {added.attempt} at {node.name} is refused with 404 "
                    "though the route is there"
                )
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), play))
